package packing

import (
	"maps"
	"math"
	"time"
)

const (
	// interactiveOnRate is the rate in interactive requests per second from which a
	// model counts as interactive, and interactiveOffRate the rate below which it
	// no longer does.
	interactiveOnRate  = 0.3
	interactiveOffRate = 0.03
	// replicaPrefillShare is the target share of its time that a replica's runner
	// spends on prefill for the model. Prefill runs between the decoding steps of
	// running streams, so a higher share makes these uneven long before all slots
	// are occupied.
	replicaPrefillShare = 0.1
	// replicaSlotShare is the target share of a runner's slots occupied by one
	// replica's requests, so that most requests find a free slot immediately.
	replicaSlotShare = 0.4
	// loadTimeConstant is the time after which past load has decayed to 1/e in the
	// means.
	loadTimeConstant = 2 * time.Second
	// minInteractiveReplicas is the minimum number of replicas of an interactive
	// model, so that the loss of one runner doesn't delay its requests.
	minInteractiveReplicas = 2
	// scaleDownDelay is how long demand must be lower before replicas are removed.
	scaleDownDelay = 10 * time.Second
)

// ModelLoad is the load by requests for one model, either current or on average.
type ModelLoad struct {
	// Rate is in requests per second.
	Rate float64
	// Prefill is the time that runners spend on prefill, in seconds per second.
	Prefill float64
	// Busy is the number of running or waiting requests.
	Busy float64
}

// ReplicaSizer tracks the demand for models and determines how many replicas of
// the interactive ones to keep. Replicas are added immediately and removed with a
// delay.
type ReplicaSizer struct {
	sizes map[string]*modelSize
	at    time.Time
}

// modelSize is the state of an interactive model.
type modelSize struct {
	replicas int
	// mean is the exponentially decaying average of the load.
	mean ModelLoad
	// surplusSince is since when fewer replicas would suffice; zero if they
	// wouldn't.
	surplusSince time.Time
}

// NewReplicaSizer returns a sizer that starts with the kept replicas of the
// interactive models in the active placement.
func NewReplicaSizer(current *Placement) *ReplicaSizer {
	s := &ReplicaSizer{sizes: make(map[string]*modelSize)}
	if current == nil {
		return s
	}
	for _, placed := range current.Models {
		if kept := placed.kept(); placed.Interactive && kept >= minInteractiveReplicas {
			s.sizes[placed.Model] = &modelSize{replicas: kept}
		}
	}
	return s
}

// Update applies the current load of the models and returns the wanted replicas of
// the interactive ones. slots is the number of concurrent requests of a runner.
func (s *ReplicaSizer) Update(now time.Time, slots int, loads map[string]ModelLoad) map[string]int {
	for model, load := range loads {
		if s.sizes[model] == nil && load.Rate >= interactiveOnRate {
			s.sizes[model] = &modelSize{mean: load}
		}
	}
	elapsed := now.Sub(s.at)
	if s.at.IsZero() {
		elapsed = 0
	}
	s.at = now
	wanted := make(map[string]int, len(s.sizes))
	for model, known := range maps.All(s.sizes) {
		known.updateMean(elapsed, loads[model])
		if known.update(now, slots, loads[model].Rate) == 0 {
			delete(s.sizes, model)
			continue
		}
		wanted[model] = known.replicas
	}
	return wanted
}

// MeanLoads returns the mean loads of the interactive models.
func (s *ReplicaSizer) MeanLoads() map[string]ModelLoad {
	means := make(map[string]ModelLoad, len(s.sizes))
	for model, known := range s.sizes {
		means[model] = known.mean
	}
	return means
}

// updateMean updates the mean load.
func (s *modelSize) updateMean(elapsed time.Duration, load ModelLoad) {
	gain := 1 - math.Exp(-elapsed.Seconds()/loadTimeConstant.Seconds())
	s.mean.Busy += gain * (load.Busy - s.mean.Busy)
	s.mean.Prefill += gain * (load.Prefill - s.mean.Prefill)
	s.mean.Rate += gain * (load.Rate - s.mean.Rate)
}

func (s *modelSize) update(now time.Time, slots int, rate float64) int {
	wanted := 0
	if rate >= interactiveOffRate {
		byPrefill := int(math.Ceil(s.mean.Prefill / replicaPrefillShare))
		byBusy := int(math.Ceil(s.mean.Busy / (replicaSlotShare * float64(max(slots, 1)))))
		wanted = max(byPrefill, byBusy, minInteractiveReplicas)
	}
	switch {
	case wanted >= s.replicas:
		s.replicas = wanted
		s.surplusSince = time.Time{}
	case s.surplusSince.IsZero():
		s.surplusSince = now
	case now.Sub(s.surplusSince) >= scaleDownDelay:
		s.replicas = wanted
		s.surplusSince = time.Time{}
	}
	return s.replicas
}

package packing

import (
	"maps"
	"math"
	"time"
)

const (
	// hotRate is the rate of interactive requests a second from which a model
	// counts as hot, coolRate the one below which it no longer does.
	hotRate  = 0.3
	coolRate = 0.03
	// replicaReading is the part of its time that one replica's runner should read
	// prompts for the model. They are read between the steps of running streams, so
	// more of them make these uneven long before the slots are taken.
	replicaReading = 0.1
	// replicaBusy is the part of a runner's slots that one replica's requests should
	// take on average, so that most find a free one at once.
	replicaBusy = 0.4
	// loadMemory is the time in which the means of the load forget two thirds of what
	// was.
	loadMemory = 2 * time.Second
	// minHotReplicas is the least number of replicas of a hot model, so that the
	// loss of one runner doesn't hold its requests up.
	minHotReplicas = 2
	// sizeDelay is how long the demand must have fallen before replicas are given
	// up.
	sizeDelay = 10 * time.Second
)

// ModelLoad is what requests ask of one model, now or on average.
type ModelLoad struct {
	// Rate is in requests a second.
	Rate float64
	// Reading is the time that runners spend reading the prompts, in seconds a second.
	Reading float64
	// Busy is the number of requests that run or wait.
	Busy float64
}

// ReplicaSizer follows the demand for models and says how many replicas of the hot ones
// are to be kept. Replicas are added at once and given up late.
type ReplicaSizer struct {
	sizes map[string]*size
	at    time.Time
}

// size is what a Sizer knows of a hot model.
type size struct {
	replicas int
	// mean is the load over the last seconds.
	mean ModelLoad
	// lowSince is since when fewer replicas would do; zero if they wouldn't.
	lowSince time.Time
}

// NewReplicaSizer returns a sizer that starts with the replicas that the placement in
// force keeps of interactive models.
func NewReplicaSizer(current *Placement) *ReplicaSizer {
	s := &ReplicaSizer{sizes: make(map[string]*size)}
	if current == nil {
		return s
	}
	for _, placed := range current.Models {
		if kept := placed.kept(); placed.Interactive && kept >= minHotReplicas {
			s.sizes[placed.Model] = &size{replicas: kept}
		}
	}
	return s
}

// kept counts the replicas that are kept.
func (p *ModelPlacement) kept() int {
	count := 0
	for _, permit := range p.Permits {
		if permit.Keep {
			count++
		}
	}
	return count
}

// Update takes in the present load of the models, of which each runner serves a
// number of requests at once, and returns the wanted replicas of the hot ones.
func (s *ReplicaSizer) Update(now time.Time, slots int, loads map[string]ModelLoad) map[string]int {
	for model, load := range loads {
		if s.sizes[model] == nil && load.Rate >= hotRate {
			s.sizes[model] = &size{mean: load}
		}
	}
	elapsed := now.Sub(s.at)
	if s.at.IsZero() {
		elapsed = 0
	}
	s.at = now
	wanted := make(map[string]int, len(s.sizes))
	for model, known := range maps.All(s.sizes) {
		known.follow(elapsed, loads[model])
		if known.update(now, slots, loads[model].Rate) == 0 {
			delete(s.sizes, model)
			continue
		}
		wanted[model] = known.replicas
	}
	return wanted
}

// MeanLoads returns the mean loads of the hot models.
func (s *ReplicaSizer) MeanLoads() map[string]ModelLoad {
	means := make(map[string]ModelLoad, len(s.sizes))
	for model, known := range s.sizes {
		means[model] = known.mean
	}
	return means
}

// follow brings the mean up to date.
func (s *size) follow(elapsed time.Duration, load ModelLoad) {
	gain := 1 - math.Exp(-elapsed.Seconds()/loadMemory.Seconds())
	s.mean.Busy += gain * (load.Busy - s.mean.Busy)
	s.mean.Reading += gain * (load.Reading - s.mean.Reading)
	s.mean.Rate += gain * (load.Rate - s.mean.Rate)
}

func (s *size) update(now time.Time, slots int, rate float64) int {
	wanted := 0
	if rate >= coolRate {
		byReading := int(math.Ceil(s.mean.Reading / replicaReading))
		byBusy := int(math.Ceil(s.mean.Busy / (replicaBusy * float64(max(slots, 1)))))
		wanted = max(byReading, byBusy, minHotReplicas)
	}
	switch {
	case wanted >= s.replicas:
		s.replicas = wanted
		s.lowSince = time.Time{}
	case s.lowSince.IsZero():
		s.lowSince = now
	case now.Sub(s.lowSince) >= sizeDelay:
		s.replicas = wanted
		s.lowSince = time.Time{}
	}
	return s.replicas
}

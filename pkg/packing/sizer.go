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
	// replicaRate is the rate of interactive requests a second for which one
	// replica is kept. Prompts are read between the steps of running streams, so
	// more of them make these uneven long before the slots are taken.
	replicaRate = 7.0
	// replicaBusy is the part of a runner's slots that one replica's requests should
	// take on average, so that most find a free one at once.
	replicaBusy = 0.4
	// busyMemory is the time in which the mean of the busy slots forgets two thirds
	// of what was.
	busyMemory = 2 * time.Second
	// minHotReplicas is the least number of replicas of a hot model, so that the
	// loss of one runner doesn't hold its requests up.
	minHotReplicas = 2
	// sizeDelay is how long the demand must have fallen before replicas are given
	// up.
	sizeDelay = 10 * time.Second
)

// ModelLoad is what requests ask of one model now.
type ModelLoad struct {
	// Rate is in requests a second.
	Rate float64
	// Busy is the number of requests that run or wait.
	Busy int
}

// Sizer follows the demand for models and says how many replicas of the hot ones
// are to be kept. Replicas are added at once and given up late.
type Sizer struct {
	sizes map[string]*size
	at    time.Time
}

// size is what a Sizer knows of a hot model.
type size struct {
	replicas int
	// busy is the mean number of requests that run or wait.
	busy float64
	// lowSince is since when fewer replicas would do; zero if they wouldn't.
	lowSince time.Time
}

// NewSizer returns a sizer that starts with the replicas that the placement in
// force keeps of interactive models.
func NewSizer(current *Placement) *Sizer {
	s := &Sizer{sizes: make(map[string]*size)}
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
func (p *Placed) kept() int {
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
func (s *Sizer) Update(now time.Time, slots int, loads map[string]ModelLoad) map[string]int {
	for model, load := range loads {
		if s.sizes[model] == nil && load.Rate >= hotRate {
			s.sizes[model] = &size{busy: float64(load.Busy)}
		}
	}
	elapsed := now.Sub(s.at)
	if s.at.IsZero() {
		elapsed = 0
	}
	s.at = now
	wanted := make(map[string]int, len(s.sizes))
	for model, known := range maps.All(s.sizes) {
		known.follow(elapsed, loads[model].Busy)
		if known.update(now, slots, loads[model].Rate) == 0 {
			delete(s.sizes, model)
			continue
		}
		wanted[model] = known.replicas
	}
	return wanted
}

// Busy returns the mean number of requests that run or wait, by hot model.
func (s *Sizer) Busy() map[string]float64 {
	busy := make(map[string]float64, len(s.sizes))
	for model, known := range s.sizes {
		busy[model] = known.busy
	}
	return busy
}

// follow brings the mean of the busy slots up to date.
func (s *size) follow(elapsed time.Duration, busy int) {
	gain := 1 - math.Exp(-elapsed.Seconds()/busyMemory.Seconds())
	s.busy += gain * (float64(busy) - s.busy)
}

func (s *size) update(now time.Time, slots int, rate float64) int {
	wanted := 0
	if rate >= coolRate {
		byRate := int(math.Ceil(rate / replicaRate))
		byBusy := int(math.Ceil(s.busy / (replicaBusy * float64(max(slots, 1)))))
		wanted = max(byRate, byBusy, minHotReplicas)
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

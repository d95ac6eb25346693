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
	// minHotReplicas is the least number of replicas of a hot model, so that the
	// loss of one runner doesn't hold its requests up.
	minHotReplicas = 2
	// sizeDelay is how long the demand must have fallen before replicas are given
	// up.
	sizeDelay = 10 * time.Second
)

// Sizer follows the demand for models and says how many replicas of the hot ones
// are to be kept. Replicas are added at once and given up late.
type Sizer struct {
	sizes map[string]*size
}

// size is what a Sizer knows of a hot model.
type size struct {
	replicas int
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

// Update takes in the present rates of interactive requests a second and returns
// the wanted replicas of the hot models.
func (s *Sizer) Update(now time.Time, rates map[string]float64) map[string]int {
	for model, rate := range rates {
		if s.sizes[model] == nil && rate >= hotRate {
			s.sizes[model] = &size{}
		}
	}
	wanted := make(map[string]int, len(s.sizes))
	for model, known := range maps.All(s.sizes) {
		if known.update(now, rates[model]) == 0 {
			delete(s.sizes, model)
			continue
		}
		wanted[model] = known.replicas
	}
	return wanted
}

func (s *size) update(now time.Time, rate float64) int {
	wanted := 0
	if rate >= coolRate {
		wanted = max(int(math.Ceil(rate/replicaRate)), minHotReplicas)
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

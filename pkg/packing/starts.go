package packing

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// startTTL is how long a granted start counts before the agent's status shows
	// the load.
	startTTL = 1500 * time.Millisecond
	// startBurst is how many starts may follow each other at once, beside the rate
	// that the weight store allows.
	startBurst = 2
	// patientWorth is what a patient request is worth in interactive ones, when loads
	// compete for the weight store. A load takes longer than either can wait, and
	// patient requests are for whole reports.
	patientWorth = 8
)

// Load is a load from the weight store at one runner.
type Load struct {
	Host  string
	Model string
}

// LoadStatus is what an agent says of a load from the weight store.
type LoadStatus struct {
	Load
	// Running tells that it is under way; else it waits for its start.
	Running bool
	// Expected is the time of the load while the weight store isn't busy.
	Expected time.Duration
	// Demand is what the whole site asks of the model.
	Demand Demand
	// Waiting counts the requests that wait for the load.
	Waiting int
}

// Demand is what a site asks of a model, and how many runners hold it.
type Demand struct {
	// Interactive and Patient are requests a second that can't wait for a load, and
	// that can.
	Interactive float64
	Batch       float64
	Loaded      int
}

// gain is what one more runner that holds the model is worth, if some load it
// already.
func (d Demand) gain(loading int) float64 {
	return (d.Interactive + patientWorth*d.Batch) / float64(1+d.Loaded+loading)
}

// LoadLimits are the limits of the weight store.
type LoadLimits struct {
	// MaxConcurrent is how many loads run at full speed; zero has it learned.
	MaxConcurrent int
	// PerSecond is how many loads may begin in a second; zero means no limit.
	PerSecond float64
}

// LoadScheduler hands out the starts of loads from the weight store. Its state is soft:
// a new leader learns the loads under way from the agents. Use NewLoadScheduler.
type LoadScheduler struct {
	// granted holds the starts that no status shows yet.
	granted    map[Load]time.Time
	pace       *rate.Limiter
	throughput *Throughput
	// running and atOnce are what the last decision rested on.
	running int
	atOnce  int
}

// NewLoadScheduler returns a value without granted starts. As a leader before it may
// have just granted some, the first ones are spaced.
func NewLoadScheduler(now time.Time) *LoadScheduler {
	const notYet = 0
	pace := rate.NewLimiter(notYet, startBurst)
	pace.AllowN(now, startBurst)
	return &LoadScheduler{granted: make(map[Load]time.Time), pace: pace, throughput: NewThroughput()}
}

// setPace sets the rate of starts; zero means no limit.
func (s *LoadScheduler) setPace(now time.Time, perSecond float64) {
	limit := rate.Inf
	if perSecond > 0 {
		limit = rate.Limit(perSecond)
	}
	if s.pace.Limit() != limit {
		s.pace.SetLimitAt(now, limit)
	}
}

// MaxConcurrent is how many loads may run at once.
func (s *LoadScheduler) MaxConcurrent(limits LoadLimits) int {
	if limits.MaxConcurrent > 0 {
		return limits.MaxConcurrent
	}
	return s.throughput.AtOnce()
}

// Next returns the loads that may start now within the limits, those first that the
// site gains most by.
func (s *LoadScheduler) Next(now time.Time, statuses []LoadStatus, limits LoadLimits) []Load {
	s.setPace(now, limits.PerSecond)
	loading, running, waiting := s.sort(now, statuses)
	atOnce := s.MaxConcurrent(limits)
	s.running, s.atOnce = running, atOnce
	var started []Load
	for len(waiting) > 0 && running < atOnce && s.pace.AllowN(now, 1) {
		best := slices.MinFunc(waiting, func(a, b LoadStatus) int { return compareWaiting(loading, a, b) })
		waiting = slices.DeleteFunc(waiting, func(l LoadStatus) bool { return l.Load == best.Load })
		running++
		loading[best.Model]++
		s.granted[best.Load] = now
		started = append(started, best.Load)
	}
	return started
}

// LastCounts tells for the log what the last decision rested on: the loads that ran or
// were granted, and how many may.
func (s *LoadScheduler) LastCounts() (running, atOnce int) { return s.running, s.atOnce }

// sort counts the loads that run or were granted, by model and together, and
// returns those that wait.
func (s *LoadScheduler) sort(now time.Time, statuses []LoadStatus) (loading map[string]int, running int, waiting []LoadStatus) {
	loading = make(map[string]int)
	transfers := make(map[Load]time.Duration)
	for _, status := range statuses {
		switch {
		case status.Running:
			running++
			loading[status.Model]++
			transfers[status.Load] = status.Expected
			delete(s.granted, status.Load)
		case s.granted[status.Load].IsZero():
			waiting = append(waiting, status)
		}
	}
	s.throughput.Observe(now, transfers)
	for load, at := range s.granted {
		if now.Sub(at) > startTTL {
			delete(s.granted, load)
			continue
		}
		running++
		loading[load.Model]++
	}
	return loading, running, waiting
}

// compareWaiting puts the loads first that the site gains most by; loading counts
// the loads that run, by model.
func compareWaiting(loading map[string]int, a, b LoadStatus) int {
	return cmp.Or(
		cmp.Compare(b.Demand.gain(loading[b.Model]), a.Demand.gain(loading[a.Model])),
		cmp.Compare(loading[a.Model], loading[b.Model]),
		cmp.Compare(b.Waiting, a.Waiting),
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Host, b.Host),
	)
}

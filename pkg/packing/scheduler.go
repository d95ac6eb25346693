package packing

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// grantTTL is how long a load grant counts as running before the agent's status
	// shows the load.
	grantTTL = 1500 * time.Millisecond
	// grantBurst is the number of grants that may exceed the weight store's rate
	// in a burst.
	grantBurst = 2
	// batchWeight is the value of a batch request relative to an interactive one
	// when loads compete for the weight store. A load takes longer than either
	// can wait, and batch requests produce complete reports.
	batchWeight = 8
)

// Load is a load from the weight store by one runner.
type Load struct {
	Host  string
	Model string
}

// LoadStatus is an agent's report about a load from the weight store.
type LoadStatus struct {
	Load
	// Running indicates that the load is in progress; otherwise it waits for a
	// grant.
	Running bool
	// Expected is the duration of the load if the weight store is idle.
	Expected time.Duration
	// Demand is the whole site's demand for the model.
	Demand Demand
	// Waiting is the number of requests that wait for the load.
	Waiting int
}

// Demand is a site's demand for a model, with the number of runners that hold it.
type Demand struct {
	// Interactive and Batch are in requests per second. Interactive requests
	// can't wait for a load, batch requests can.
	Interactive float64
	Batch       float64
	Loaded      int
}

// gain returns the value of one more runner with the model, in addition to those
// that are already loading it.
func (d Demand) gain(loading int) float64 {
	return (d.Interactive + batchWeight*d.Batch) / float64(1+d.Loaded+loading)
}

// LoadLimits are the weight store's limits.
type LoadLimits struct {
	// MaxConcurrent is the number of loads that run at full speed; zero selects the
	// estimated number.
	MaxConcurrent int
	// PerSecond limits the load starts per second; zero means no limit.
	PerSecond float64
}

// LoadScheduler grants loads from the weight store. Its state is soft: a new leader
// reconstructs the running loads from the agents' statuses. Use NewLoadScheduler.
type LoadScheduler struct {
	// granted holds the grants that aren't visible in a status yet.
	granted   map[Load]time.Time
	limiter   *rate.Limiter
	estimator *ConcurrencyEstimator
	// running and maxConcurrent are the counts at the last decision.
	running       int
	maxConcurrent int
}

// NewLoadScheduler returns a scheduler without grants. Its burst is used up
// initially, because a previous leader may have just granted loads.
func NewLoadScheduler(now time.Time) *LoadScheduler {
	const notYet = 0
	limiter := rate.NewLimiter(notYet, grantBurst)
	limiter.AllowN(now, grantBurst)
	return &LoadScheduler{granted: make(map[Load]time.Time), limiter: limiter, estimator: NewConcurrencyEstimator()}
}

// setRate sets the rate of grants; zero means no limit.
func (s *LoadScheduler) setRate(now time.Time, perSecond float64) {
	limit := rate.Inf
	if perSecond > 0 {
		limit = rate.Limit(perSecond)
	}
	if s.limiter.Limit() != limit {
		s.limiter.SetLimitAt(now, limit)
	}
}

// MaxConcurrent returns the number of loads that may run concurrently.
func (s *LoadScheduler) MaxConcurrent(limits LoadLimits) int {
	if limits.MaxConcurrent > 0 {
		return limits.MaxConcurrent
	}
	return s.estimator.MaxConcurrent()
}

// Next returns the loads that may start now within the limits, in descending order
// of their gain for the site.
func (s *LoadScheduler) Next(now time.Time, statuses []LoadStatus, limits LoadLimits) []Load {
	s.setRate(now, limits.PerSecond)
	loading, running, waiting := s.classify(now, statuses)
	maxConcurrent := s.MaxConcurrent(limits)
	s.running, s.maxConcurrent = running, maxConcurrent
	var started []Load
	for len(waiting) > 0 && running < maxConcurrent && s.limiter.AllowN(now, 1) {
		best := slices.MinFunc(waiting, func(a, b LoadStatus) int { return compareWaiting(loading, a, b) })
		waiting = slices.DeleteFunc(waiting, func(l LoadStatus) bool { return l.Load == best.Load })
		running++
		loading[best.Model]++
		s.granted[best.Load] = now
		started = append(started, best.Load)
	}
	return started
}

// LastCounts returns for the log the counts at the last decision: the running and
// granted loads, and their maximum.
func (s *LoadScheduler) LastCounts() (running, maxConcurrent int) { return s.running, s.maxConcurrent }

// classify counts the running and granted loads, by model and in total, and returns
// the waiting ones.
func (s *LoadScheduler) classify(now time.Time, statuses []LoadStatus) (loading map[string]int, running int, waiting []LoadStatus) {
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
	s.estimator.Observe(now, transfers)
	for load, at := range s.granted {
		if now.Sub(at) > grantTTL {
			delete(s.granted, load)
			continue
		}
		running++
		loading[load.Model]++
	}
	return loading, running, waiting
}

// compareWaiting sorts loads by descending gain for the site; loading counts the
// running loads by model.
func compareWaiting(loading map[string]int, a, b LoadStatus) int {
	return cmp.Or(
		cmp.Compare(b.Demand.gain(loading[b.Model]), a.Demand.gain(loading[a.Model])),
		cmp.Compare(loading[a.Model], loading[b.Model]),
		cmp.Compare(b.Waiting, a.Waiting),
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Host, b.Host),
	)
}

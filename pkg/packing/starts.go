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
	startTTL = time.Second
	// startBurst is how many starts may follow each other at once, beside the rate
	// that the weight store allows.
	startBurst = 2
	// maxStartsPerModel bounds the loads of one model that run at once: a second
	// one only helps if the first runner is lost.
	maxStartsPerModel = 2
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
	Patient     float64
	Loaded      int
}

// interactiveWeight is what an interactive request is worth in patient ones, when
// loads compete for the weight store.
const interactiveWeight = 20

// gain is what one more runner that holds the model is worth.
func (d Demand) gain() float64 {
	return (interactiveWeight*d.Interactive + d.Patient) / float64(1+d.Loaded)
}

// StartLimits are the limits of the weight store.
type StartLimits struct {
	// AtOnce is how many loads run at full speed.
	AtOnce int
	// PerSecond is how many loads may begin in a second; zero means no limit.
	PerSecond float64
}

// Starts hands out the starts of loads from the weight store. Its state is soft:
// a new leader learns the loads under way from the agents. Use NewStarts.
type Starts struct {
	// granted holds the starts that no status shows yet.
	granted map[Load]time.Time
	pace    *rate.Limiter
}

// NewStarts returns a value without granted starts. As a leader before it may
// have just granted some, the first ones are spaced.
func NewStarts(now time.Time) *Starts {
	const notYet = 0
	pace := rate.NewLimiter(notYet, startBurst)
	pace.AllowN(now, startBurst)
	return &Starts{granted: make(map[Load]time.Time), pace: pace}
}

// setPace sets the rate of starts; zero means no limit.
func (s *Starts) setPace(now time.Time, perSecond float64) {
	limit := rate.Inf
	if perSecond > 0 {
		limit = rate.Limit(perSecond)
	}
	if s.pace.Limit() != limit {
		s.pace.SetLimitAt(now, limit)
	}
}

// Next returns the loads that may start now within the limits, the most wanted
// first.
func (s *Starts) Next(now time.Time, statuses []LoadStatus, limits StartLimits) []Load {
	s.setPace(now, limits.PerSecond)
	perModel := make(map[string]int)
	running := 0
	var waiting []LoadStatus
	for _, status := range statuses {
		switch {
		case status.Running:
			running++
			perModel[status.Model]++
			delete(s.granted, status.Load)
		case s.granted[status.Load].IsZero():
			waiting = append(waiting, status)
		}
	}
	for load, at := range s.granted {
		if now.Sub(at) > startTTL {
			delete(s.granted, load)
			continue
		}
		running++
		perModel[load.Model]++
	}
	slices.SortFunc(waiting, compareWaiting)
	var started []Load
	for _, status := range waiting {
		if perModel[status.Model] >= maxStartsPerModel {
			continue
		}
		if running >= limits.AtOnce || !s.pace.AllowN(now, 1) {
			break
		}
		running++
		perModel[status.Model]++
		s.granted[status.Load] = now
		started = append(started, status.Load)
	}
	return started
}

// compareWaiting puts the loads first that the site gains most by.
func compareWaiting(a, b LoadStatus) int {
	return cmp.Or(
		cmp.Compare(b.Demand.gain(), a.Demand.gain()),
		cmp.Compare(b.Waiting, a.Waiting),
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Host, b.Host),
	)
}

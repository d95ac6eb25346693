package packing

import (
	"math"
	"time"
)

const (
	// firstAtOnce is how many loads run at once before anything is known of the
	// weight store.
	firstAtOnce = 3
	// maxAtOnce bounds what is learned.
	maxAtOnce = 16
	// fullSpeed is the longest time of a load at full speed, in expected times, and
	// overdue the time from which a load shows that too many run, though it hasn't
	// ended.
	fullSpeed = 1.1
	overdue   = 1.2
	// abandoned is the time, in expected times, before which the end of a load means
	// that it was given up.
	abandoned = 0.9
)

// Throughput learns how many loads the weight store serves at full speed, from how
// long loads take beside others. Beyond that number each load takes longer in
// proportion, so that more of them only end later. Use NewThroughput.
type Throughput struct {
	atOnce  int
	at      time.Time
	running map[Load]*transfer
}

// transfer is a load that runs.
type transfer struct {
	since    time.Time
	expected time.Duration
	// beside is the sum over time of the loads that ran, in seconds.
	beside float64
	// judged tells that it has shown already that too many run.
	judged bool
}

// mean is the mean number of loads that ran beside a transfer, itself included.
func (t *transfer) mean(now time.Time) float64 {
	return t.beside / max(now.Sub(t.since).Seconds(), time.Millisecond.Seconds())
}

// took is the time of a transfer in expected times.
func (t *transfer) took(now time.Time) float64 {
	return now.Sub(t.since).Seconds() / t.expected.Seconds()
}

// NewThroughput returns what is assumed of a weight store of which nothing is
// known.
func NewThroughput() *Throughput {
	return &Throughput{atOnce: firstAtOnce, running: make(map[Load]*transfer)}
}

// MaxConcurrent is the number of loads that the weight store is taken to serve at full
// speed.
func (p *Throughput) AtOnce() int { return p.atOnce }

// Observe takes in the loads that run now, with their expected times alone.
func (p *Throughput) Observe(now time.Time, running map[Load]time.Duration) {
	elapsed := now.Sub(p.at).Seconds()
	for load, t := range p.running {
		t.beside += elapsed * float64(len(p.running))
		if _, runs := running[load]; !runs {
			delete(p.running, load)
			p.ended(now, t)
			continue
		}
		if !t.judged && t.took(now) > overdue {
			t.judged = true
			p.atOnce = max(1, min(p.atOnce, int(t.mean(now)/t.took(now))))
		}
	}
	for load, expected := range running {
		if p.running[load] == nil && expected > 0 {
			p.running[load] = &transfer{since: now, expected: expected}
		}
	}
	p.at = now
}

// ended takes in the end of a load.
func (p *Throughput) ended(now time.Time, t *transfer) {
	took := t.took(now)
	switch {
	case took < abandoned:
		return
	case took > fullSpeed:
		p.atOnce = max(1, int(math.Round(t.mean(now)/took)))
	case t.mean(now) > float64(p.atOnce)-0.5:
		p.atOnce = min(p.atOnce+1, maxAtOnce)
	}
}

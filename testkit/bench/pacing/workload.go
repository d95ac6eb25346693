package main

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// model is one model of a site.
type model struct {
	index int
	// loadTime is the duration of a load at full speed.
	loadTime  time.Duration
	memoryMiB int64
	// popularityRank is the rank by popularity; the most popular model has 0.
	popularityRank int
}

const (
	// runnerMemoryMiB is the accelerator memory of a runner in MiB.
	runnerMemoryMiB = 80 << 10
	// minLoadShare and maxLoadShare bound a model's load time relative to the
	// site's mean.
	minLoadShare = 0.4
	maxLoadShare = 1.6
	// meanModelMiB is the memory in MiB of a model with the mean load time.
	meanModelMiB = 16 << 10
)

func newModels(s site, rng *rand.Rand) []model {
	ranks := rng.Perm(s.models)
	models := make([]model, s.models)
	for i := range models {
		share := minLoadShare + (maxLoadShare-minLoadShare)*rng.Float64()
		models[i] = model{
			index:          i,
			loadTime:       time.Duration(share * float64(s.loadTime())),
			memoryMiB:      int64(share * meanModelMiB),
			popularityRank: ranks[i],
		}
	}
	return models
}

// arrival is one request.
type arrival struct {
	at       time.Duration
	model    int
	entry    int
	duration time.Duration
	deadline time.Duration
}

// workload generates the arrivals of a run.
type workload func(s site, models []model, rng *rand.Rand) []arrival

const (
	requestMean = 4 * time.Second
	minDeadline = 10 * time.Second
	maxDeadline = 60 * time.Second
)

func newArrival(s site, at time.Duration, m int, rng *rand.Rand) arrival {
	spread := float64(maxDeadline - minDeadline)
	return arrival{
		at:       at,
		model:    m,
		entry:    rng.IntN(s.entries),
		duration: exponential(requestMean, rng),
		deadline: at + minDeadline + time.Duration(rng.Float64()*spread),
	}
}

func exponential(mean time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

func sortByTime(list []arrival) []arrival {
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return list
}

const (
	burstInterval = 5 * time.Minute
	burstSpan     = 2 * time.Second
	bursts        = 40
)

// burstArrivals generates bursts of first requests for many models concurrently.
func burstArrivals(s site, models []model, rng *rand.Rand) []arrival {
	var list []arrival
	for burst := range bursts {
		start := time.Duration(burst) * burstInterval
		requested := s.models/4 + rng.IntN(s.models/2)
		for _, m := range rng.Perm(s.models)[:requested] {
			for range 1 + int(rng.ExpFloat64()*20/float64(models[m].popularityRank+2)) {
				at := start + time.Duration(rng.Float64()*float64(burstSpan))
				list = append(list, newArrival(s, at, m, rng))
			}
		}
	}
	return sortByTime(list)
}

const (
	dayLength = 24 * time.Hour
	// sessionsPerDay is the number of sessions of the most popular model.
	sessionsPerDay = 300
	// popularitySkew is the exponent of the models' popularity.
	popularitySkew = 1.1
	sessionMean    = 8
	sessionGap     = 20 * time.Second
	// regularModelStride makes each nth model one that is requested periodically.
	regularModelStride = 4
	regularMin         = 3 * time.Minute
	regularMax         = 40 * time.Minute
)

// dayArrivals generates one day: for most models sessions with skewed popularity
// and an activity that depends on the hour, and periodic jobs for the rest.
func dayArrivals(s site, models []model, rng *rand.Rand) []arrival {
	var list []arrival
	for _, m := range models {
		if m.index%regularModelStride == 0 {
			list = append(list, regularJobs(s, m, rng)...)
		} else {
			list = append(list, sessions(s, m, rng)...)
		}
	}
	return sortByTime(list)
}

func regularJobs(s site, m model, rng *rand.Rand) []arrival {
	var list []arrival
	period := regularMin + time.Duration(rng.Float64()*float64(regularMax-regularMin))
	for at := time.Duration(rng.Float64() * float64(period)); at < dayLength; at += period {
		jitter := time.Duration(rng.Float64() * float64(period) / 20)
		list = append(list, newArrival(s, at+jitter, m.index, rng))
	}
	return list
}

func sessions(s site, m model, rng *rand.Rand) []arrival {
	var list []arrival
	perDay := sessionsPerDay / math.Pow(float64(m.popularityRank+1), popularitySkew)
	mean := time.Duration(float64(dayLength) / perDay / 2)
	for at := exponential(mean, rng); at < dayLength; at += exponential(mean, rng) {
		if rng.Float64() > activity(at) {
			continue
		}
		when := at
		for range 1 + int(rng.ExpFloat64()*sessionMean) {
			list = append(list, newArrival(s, when, m.index, rng))
			when += exponential(sessionGap, rng)
		}
	}
	return list
}

// activity returns the share of sessions that take place at a time of day.
func activity(at time.Duration) float64 {
	return 0.5 - 0.5*math.Cos(2*math.Pi*at.Hours()/24)
}

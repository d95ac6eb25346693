package agent

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
)

const (
	// estimateWeight is the weight of the newest load in the moving average.
	estimateWeight = 0.3

	// The starting values of the averages, by cache tier.
	initialMemoryLoad = 200 * time.Millisecond
	initialDiskLoad   = time.Second
	initialRemoteLoad = 3 * time.Second
)

// loadEstimator predicts the duration of a load from the checkpoint's cache tier.
type loadEstimator struct {
	memory time.Duration
	disk   time.Duration
	remote time.Duration
}

func newLoadEstimator() *loadEstimator {
	return &loadEstimator{
		memory: initialMemoryLoad,
		disk:   initialDiskLoad,
		remote: initialRemoteLoad,
	}
}

func (e *loadEstimator) field(tier engine.CacheTier) *time.Duration {
	switch tier {
	case engine.CacheMemory:
		return &e.memory
	case engine.CacheDisk:
		return &e.disk
	default:
		return &e.remote
	}
}

// expected returns the predicted duration of a load.
func (e *loadEstimator) expected(tier engine.CacheTier) time.Duration {
	return *e.field(tier)
}

// observe updates the estimate with the duration of a finished load.
func (e *loadEstimator) observe(tier engine.CacheTier, took time.Duration) {
	estimate := e.field(tier)
	*estimate += time.Duration(estimateWeight * float64(took-*estimate))
}

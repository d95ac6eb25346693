package residency

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// orderOverhead is the expected time of giving an order and noticing its end.
	orderOverhead = 50 * time.Millisecond
	// remoteSlowdown is how much longer than alone a load from the weight store is
	// expected to take.
	remoteSlowdown = 1.5
	// crowdedWait is the expected wait until a model that is in use now is idle and
	// may make way.
	crowdedWait = 2 * time.Second
	// waitStep is the resolution of the waits that entries learn, so that they don't
	// get a status for each small change.
	waitStep = 250 * time.Millisecond
)

func millis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// loadTime is the time of a load on its own.
func (known *model) loadTime(tier wire.CacheTier) time.Duration {
	switch tier {
	case wire.CacheMemory:
		return millis(known.MemoryLoadMillis)
	case wire.CacheDisk:
		return millis(known.DiskLoadMillis)
	default:
		return millis(known.RemoteLoadMillis)
	}
}

// expectedLoad is the expected time of a load among others.
func (known *model) expectedLoad(tier wire.CacheTier) time.Duration {
	alone := known.loadTime(tier)
	if tier == wire.CacheRemote {
		alone = time.Duration(remoteSlowdown * float64(alone))
	}
	return alone + orderOverhead
}

// changeRest is how much longer the order under way is going to take, at least or
// as expected.
func (m *Manager) changeRest(now time.Time, expected bool) time.Duration {
	c := m.changing
	if c == nil {
		return 0
	}
	whole := orderOverhead
	if known := m.models[c.order.Model]; known != nil && c.order.Operation == modelrunner.Load {
		whole = known.loadTime(c.tier)
		if expected {
			whole = known.expectedLoad(c.tier)
		}
	}
	return max(whole-now.Sub(c.started), 0)
}

// soonest is the least time until a model is loaded.
func (m *Manager) soonest(now time.Time, known *model) time.Duration {
	switch m.state(known) {
	case wire.ModelLoaded:
		return 0
	case wire.ModelLoading:
		return m.changeRest(now, false)
	default:
		return m.changeRest(now, false) + known.loadTime(known.tier)
	}
}

// expectedLoaded is the expected time until a model is loaded if its load comes
// next.
func (m *Manager) expectedLoaded(now time.Time, known *model) time.Duration {
	switch m.state(known) {
	case wire.ModelLoaded:
		return 0
	case wire.ModelLoading:
		return max(m.changeRest(now, true), orderOverhead)
	default:
		return m.changeRest(now, true) + known.expectedLoad(known.tier)
	}
}

// expectedWait is the expected time until a permitted model is loaded if it is
// asked for now, behind those that are wanted already.
func (m *Manager) expectedWait(now time.Time, known *model) time.Duration {
	wait := m.expectedLoaded(now, known)
	if m.state(known) != wire.ModelAbsent {
		return wait
	}
	for _, other := range m.models {
		if other != known && other.Permitted && m.state(other) == wire.ModelAbsent && other.isWanted(now) &&
			compareUrgency(now, other, known) < 0 {
			wait += other.expectedLoad(other.tier)
		}
	}
	if !m.canMakeRoom(now, known) {
		wait += crowdedWait
	}
	if !m.mayStart(now, known) {
		wait += m.startWait(now)
	}
	return wait
}

// startWait is the expected wait for leave to load from the weight store: as long
// again as it has lasted.
func (m *Manager) startWait(now time.Time) time.Duration {
	if m.startWanted == "" {
		return 0
	}
	return now.Sub(m.startAsked)
}

// canMakeRoom tells whether free memory and idle models are enough for a model.
func (m *Manager) canMakeRoom(now time.Time, known *model) bool {
	room := m.ledger.Free()
	for _, victim := range m.victims(now, known.Name, isIdle) {
		room += victim.MiB
	}
	return room >= known.MiB
}

// waitMillis is what entries learn of a model's wait.
func (m *Manager) waitMillis(now time.Time, known *model) uint32 {
	if known.held || !known.Permitted {
		return 0
	}
	wait := m.expectedWait(now, known)
	steps := (wait + waitStep - 1) / waitStep
	return uint32((steps * waitStep).Milliseconds())
}

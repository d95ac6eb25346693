package gateway

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// busyGoroutines is the number of goroutines that compete with the end of a stop.
const busyGoroutines = 4

// Guards against a stop that outlasts the time reserved for its end, as the processor is busy.
func TestWaitForCutOffRequestsKeepsItsTimeOnABusyProcessor(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var ended atomic.Bool
	var busy sync.WaitGroup
	defer busy.Wait()
	defer ended.Store(true)
	for range busyGoroutines {
		busy.Go(func() {
			for !ended.Load() {
			}
		})
	}
	g := &Gateway{handler: &handler{}}
	g.handler.inFlight.Store(1)
	begun := time.Now()
	g.awaitRequests()
	if took := time.Since(begun); took > drainMargin {
		t.Errorf("waited %s, longer than the %s that are left", took, drainMargin)
	}
}

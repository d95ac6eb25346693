package eventloop

import (
	"context"
	"testing"
	"time"
)

// TestThrottle makes three calls within the minimum interval, and one after it.
func TestThrottle(t *testing.T) {
	const minInterval = 20 * time.Millisecond
	loop := New()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go loop.Run(ctx)
	throttle := Throttle{MinInterval: minInterval}
	var runs []time.Time
	work := func() {
		now := time.Now()
		throttle.Ran(now)
		runs = append(runs, now)
	}
	count := func() (n int) {
		loop.Do(func() { n = len(runs) })
		return n
	}
	for range 3 {
		loop.Do(func() { throttle.Do(loop, time.Now(), work) })
	}
	for deadline := time.Now().Add(5 * time.Second); count() < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * minInterval)
	if n := count(); n != 2 || runs[1].Sub(runs[0]) < minInterval {
		t.Fatalf("%d runs at %v, want an immediate one and one for the other calls", n, runs)
	}
	loop.Do(func() { throttle.Do(loop, time.Now(), work) })
	if n := count(); n != 3 {
		t.Errorf("%d runs after the minimum interval, want one more", n)
	}
}

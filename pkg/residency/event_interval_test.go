package residency

import (
	"testing"
	"time"
)

func TestEventInterval(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var e eventInterval
	e.observe(start, 0)
	e.observe(start, 40*time.Millisecond)
	if got := e.publishedMillis(start); got != 0 {
		t.Errorf("after one stream %d ms, want it unknown", got)
	}
	e.observe(start, 52*time.Millisecond)
	e.observe(start, 46*time.Millisecond)
	if got := e.publishedMillis(start); got != 45 {
		t.Errorf("after three streams %d ms, want 45", got)
	}
	if got := e.publishedMillis(start.Add(eventIntervalTimeConstant)); got != 0 {
		t.Errorf("long after the streams %d ms, want it unknown", got)
	}
	later := start.Add(2 * eventIntervalTimeConstant)
	for range 5 {
		e.observe(later, 100*time.Millisecond)
	}
	if got := e.publishedMillis(later); got < 90 {
		t.Errorf("after slower streams %d ms, want about 100", got)
	}
}

package logging

import (
	"testing"
	"time"
)

func TestSamplerBoundsLinesAndCountsTheRest(t *testing.T) {
	const perSecond = 10
	sampler := NewSampler(perSecond)
	now := time.Unix(1000, 0)
	written := 0
	for range 100 {
		if sampler.Allow(now) {
			written++
		}
	}
	if written != perSecond || sampler.TakeSkipped() != 100-perSecond {
		t.Errorf("%d lines written at once, want %d and the others counted", written, perSecond)
	}
	if sampler.TakeSkipped() != 0 {
		t.Error("skipped lines are counted twice")
	}
	if !sampler.Allow(now.Add(time.Second)) {
		t.Error("no line a second later")
	}
}

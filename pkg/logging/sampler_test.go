package logging

import (
	"testing"
	"time"
)

func TestSamplerLimitsRateAndCountsSkippedLines(t *testing.T) {
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
		t.Errorf("%d lines allowed in one burst, want %d and the rest counted as skipped", written, perSecond)
	}
	if sampler.TakeSkipped() != 0 {
		t.Error("skipped lines were counted twice")
	}
	if !sampler.Allow(now.Add(time.Second)) {
		t.Error("no line was allowed a second later")
	}
}

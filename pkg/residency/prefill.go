package residency

import (
	"math"
	"slices"
	"time"
)

const (
	// targetPrefillShare is the share of its time that a runner should spend on
	// prefill. Prefill runs between the decoding steps of running streams, and
	// several concurrent prompts would delay those.
	targetPrefillShare = 0.5
	// prefillBurst is how far admission may run ahead of targetPrefillShare.
	prefillBurst = 50 * time.Millisecond
	// paceDoublingQueue is the number of waiting requests at which the admission
	// rate doubles, because a late first event is worse than an uneven stream.
	paceDoublingQueue = 4
)

// prefillPacer spaces the admission of prompts to a runner. The zero value is
// ready.
type prefillPacer struct {
	// completeAt is when the admitted prompts are processed at targetPrefillShare.
	completeAt time.Time
}

// nextAdmission returns when the next prompt may be admitted; a time in the past
// means immediately.
func (p *prefillPacer) nextAdmission() time.Time { return p.completeAt.Add(-prefillBurst) }

// admit records an admitted prompt with its prefill time and the number of requests
// that are waiting.
func (p *prefillPacer) admit(now time.Time, prefill time.Duration, waiting int) {
	if p.completeAt.Before(now) {
		p.completeAt = now
	}
	spaced := time.Duration(float64(prefill) / targetPrefillShare)
	p.completeAt = p.completeAt.Add(spaced * paceDoublingQueue / time.Duration(paceDoublingQueue+waiting))
}

const (
	// defaultTokenTime is the prefill time per prompt token and defaultOverhead the
	// remaining time to a first event, before either has been measured.
	defaultTokenTime = 26 * time.Microsecond
	defaultOverhead  = 12 * time.Millisecond
	// minTokenTime and maxTokenTime limit the estimate.
	minTokenTime = time.Microsecond
	maxTokenTime = 2 * time.Millisecond
	// shortPrompt is the length in tokens up to which the time to the first event
	// is used to estimate the overhead, and longPrompt the length from which it
	// is used to estimate the prefill time.
	shortPrompt = 150
	longPrompt  = 400
	// prefillQuantile is the share of prompts that are assumed to be processed
	// without queueing behind others; the rest take longer to their first event.
	prefillQuantile = 0.25
	// prefillGain is the weight of a new sample, and initialSamples the number of
	// samples that the first estimate is based on.
	prefillGain    = 0.05
	initialSamples = 8
	// overheadGain is the rate at which the overhead estimate rises again when the
	// measured times stay above it.
	overheadGain = 0.01
)

// prefillEstimator estimates a runner's prefill time per prompt token from the
// times to the first events of requests. Use newPrefillEstimator.
type prefillEstimator struct {
	// tokenTime and overhead are in seconds.
	tokenTime float64
	overhead  float64
	// initial holds the first samples of tokenTime.
	initial []float64
}

func newPrefillEstimator() prefillEstimator {
	return prefillEstimator{tokenTime: defaultTokenTime.Seconds(), overhead: defaultOverhead.Seconds()}
}

// setDefault sets the site's token time, which is used until this runner's own is
// measured.
func (e *prefillEstimator) setDefault(tokenNanos int64) {
	if tokenNanos > 0 && !e.isCalibrated() {
		e.setTokenTime(time.Duration(tokenNanos).Seconds())
	}
}

// isCalibrated reports whether the token time was measured on this runner.
func (e *prefillEstimator) isCalibrated() bool { return len(e.initial) >= initialSamples }

// tokenNanos returns the measured prefill time per token in nanoseconds, or zero if
// the runner hasn't been measured yet.
func (e *prefillEstimator) tokenNanos() int64 {
	if !e.isCalibrated() {
		return 0
	}
	return int64(e.tokenTime * float64(time.Second))
}

// prefillTime returns the estimated prefill time of a prompt.
func (e *prefillEstimator) prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) * e.tokenTime * float64(time.Second))
}

// observe records the time from sending a request to its first event.
func (e *prefillEstimator) observe(tokens int64, first time.Duration) {
	if first <= 0 {
		return
	}
	if tokens <= shortPrompt {
		e.overhead += overheadGain * (first.Seconds() - e.overhead)
		e.overhead = min(e.overhead, first.Seconds())
		return
	}
	if tokens < longPrompt {
		return
	}
	e.learn(max(first.Seconds()-e.overhead, 0) / float64(tokens))
}

// learn tracks a quantile of the time per token.
func (e *prefillEstimator) learn(sample float64) {
	if !e.isCalibrated() {
		e.initial = append(e.initial, sample)
		if e.isCalibrated() {
			slices.Sort(e.initial)
			e.setTokenTime(e.initial[int(prefillQuantile*initialSamples)])
		}
		return
	}
	if sample < e.tokenTime {
		e.setTokenTime(e.tokenTime * (1 - prefillGain*(1-prefillQuantile)))
		return
	}
	e.setTokenTime(e.tokenTime * (1 + prefillGain*prefillQuantile))
}

func (e *prefillEstimator) setTokenTime(tokenTime float64) {
	e.tokenTime = min(max(tokenTime, minTokenTime.Seconds()), maxTokenTime.Seconds())
}

// prefillTimeConstant is the time after which past prefill has decayed to 1/e.
const prefillTimeConstant = 3 * time.Second

// prefillShare tracks the share of its time that a runner spends on prefill, as an
// exponentially decaying average. The zero value is ready.
type prefillShare struct {
	value float64
	at    time.Time
}

func (s *prefillShare) record(now time.Time, prefill time.Duration) {
	s.value = s.current(now) + prefill.Seconds()/prefillTimeConstant.Seconds()
	s.at = now
}

func (s *prefillShare) current(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return s.value * math.Exp(-now.Sub(s.at).Seconds()/prefillTimeConstant.Seconds())
}

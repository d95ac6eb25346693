package residency

import (
	"math"
	"slices"
	"time"
)

const (
	// promptShare is the part of its time that a runner should spend reading prompts.
	// A prompt is read between the steps of the streams that run, and several at once
	// would hold these up.
	promptShare = 0.5
	// promptBurst is how far ahead of that share prompts may be let in.
	promptBurst = 50 * time.Millisecond
	// promptHurry is the number of waiting requests that doubles the pace, since a
	// late first event is worse than an uneven stream.
	promptHurry = 4
)

// promptPacer spaces the prompts that a runner gets. The zero value is ready.
type promptPacer struct {
	// clearAt is when the prompts that were let in have been read, at promptShare.
	clearAt time.Time
}

// opensAt is when the next prompt may be let in; a time that has passed means
// now.
func (p *promptPacer) opensAt() time.Time { return p.clearAt.Add(-promptBurst) }

// admit notes a prompt that is let in, with the time that it takes to read, while
// others wait.
func (p *promptPacer) admit(now time.Time, reading time.Duration, waiting int) {
	if p.clearAt.Before(now) {
		p.clearAt = now
	}
	spaced := time.Duration(float64(reading) / promptShare)
	p.clearAt = p.clearAt.Add(spaced * promptHurry / time.Duration(promptHurry+waiting))
}

const (
	// assumedPerToken is the time to read a token of a prompt, and assumedOverhead
	// that to a first event beside reading, before either is known.
	assumedPerToken = 26 * time.Microsecond
	assumedOverhead = 12 * time.Millisecond
	// minPerToken and maxPerToken bound what is learned.
	minPerToken = time.Microsecond
	maxPerToken = 2 * time.Millisecond
	// shortPrompt is the length, in tokens, up to which the first event tells of the
	// overhead, and longPrompt that from which it tells of the reading.
	shortPrompt = 150
	longPrompt  = 400
	// readingQuantile is the part of the prompts that are read without waiting for
	// others; the rest take longer to their first event.
	readingQuantile = 0.25
	// readingGain is the weight of a new prompt, and readingSamples how many are
	// looked at together at first.
	readingGain    = 0.05
	readingSamples = 8
	// overheadGain is how fast an overhead that is no longer reached is forgotten.
	overheadGain = 0.01
)

// promptReader learns how long a runner takes to read a token of a prompt, from the
// times to the first events of requests. Use newPromptReader.
type promptReader struct {
	// perToken and overhead are in seconds.
	perToken float64
	overhead float64
	// first holds the first samples of perToken.
	first []float64
}

func newPromptReader() promptReader {
	return promptReader{perToken: assumedPerToken.Seconds(), overhead: assumedOverhead.Seconds()}
}

// assume takes in what other runners of the site have shown, which counts until this
// one has shown it itself.
func (r *promptReader) assume(tokenNanos int64) {
	if tokenNanos > 0 && !r.isLearned() {
		r.set(time.Duration(tokenNanos).Seconds())
	}
}

// isLearned tells whether the runner itself has shown how fast it reads.
func (r *promptReader) isLearned() bool { return len(r.first) >= readingSamples }

// tokenNanos is the time to read a token in nanoseconds, or zero if the runner hasn't
// shown it.
func (r *promptReader) tokenNanos() int64 {
	if !r.isLearned() {
		return 0
	}
	return int64(r.perToken * float64(time.Second))
}

// reading is the time that a prompt of a number of tokens takes.
func (r *promptReader) reading(tokens int64) time.Duration {
	return time.Duration(float64(tokens) * r.perToken * float64(time.Second))
}

// observe takes in the time from the sending of a request to its first event.
func (r *promptReader) observe(tokens int64, first time.Duration) {
	if first <= 0 {
		return
	}
	if tokens <= shortPrompt {
		r.overhead += overheadGain * (first.Seconds() - r.overhead)
		r.overhead = min(r.overhead, first.Seconds())
		return
	}
	if tokens < longPrompt {
		return
	}
	r.learn(max(first.Seconds()-r.overhead, 0) / float64(tokens))
}

// learn follows a quantile of the time per token.
func (r *promptReader) learn(sample float64) {
	if !r.isLearned() {
		r.first = append(r.first, sample)
		if r.isLearned() {
			slices.Sort(r.first)
			r.set(r.first[int(readingQuantile*readingSamples)])
		}
		return
	}
	if sample < r.perToken {
		r.set(r.perToken * (1 - readingGain*(1-readingQuantile)))
		return
	}
	r.set(r.perToken * (1 + readingGain*readingQuantile))
}

func (r *promptReader) set(perToken float64) {
	r.perToken = min(max(perToken, minPerToken.Seconds()), maxPerToken.Seconds())
}

// readingMemory is the time in which the share of reading forgets two thirds of what
// was.
const readingMemory = 3 * time.Second

// readingShare follows the part of its time that a runner reads prompts. The zero
// value is none.
type readingShare struct {
	value float64
	at    time.Time
}

func (s *readingShare) note(now time.Time, reading time.Duration) {
	s.value = s.current(now) + reading.Seconds()/readingMemory.Seconds()
	s.at = now
}

func (s *readingShare) current(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return s.value * math.Exp(-now.Sub(s.at).Seconds()/readingMemory.Seconds())
}

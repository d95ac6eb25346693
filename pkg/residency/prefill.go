package residency

import "time"

const (
	// promptRate is the pace, in prompt tokens a second, at which requests are let
	// into a runner. A prompt is read between the steps of the streams that run,
	// and several at once would hold these up.
	promptRate = 20000
	// promptBurst is the number of prompt tokens that may be let in at once.
	promptBurst = 1000
	// promptHurry is the number of waiting requests that doubles the pace, since a
	// late first event is worse than an uneven stream.
	promptHurry = 4
)

// promptPacer spaces the prompts that a runner gets. The zero value is ready.
type promptPacer struct {
	// clearAt is when the prompts that were let in have been read at promptRate.
	clearAt time.Time
}

// opensAt is when the next prompt may be let in; a time that has passed means
// now.
func (p *promptPacer) opensAt() time.Time {
	return p.clearAt.Add(-tokenTime(promptBurst))
}

// admit notes a prompt that is let in while others wait.
func (p *promptPacer) admit(now time.Time, tokens int64, waiting int) {
	if p.clearAt.Before(now) {
		p.clearAt = now
	}
	p.clearAt = p.clearAt.Add(tokenTime(tokens * promptHurry / int64(promptHurry+waiting)))
}

func tokenTime(tokens int64) time.Duration {
	return time.Duration(tokens) * time.Second / promptRate
}

package resumption

import "time"

// Source is how the version of a stream is known.
type Source uint8

// The sources.
const (
	// SourceNone: the version isn't known.
	SourceNone Source = iota
	// SourceEntry: the entry that resolves it has recorded it.
	SourceEntry
	// SourceAgent: an agent has.
	SourceAgent
	// SourceOnlyVersion: no other version was in service.
	SourceOnlyVersion
)

// String returns the source's name in logs and metrics.
func (s Source) String() string {
	switch s {
	case SourceEntry:
		return "entry"
	case SourceAgent:
		return "agent"
	case SourceOnlyVersion:
		return "only-version"
	default:
		return "unknown"
	}
}

// Answer is an origin as one place knows it.
type Answer struct {
	Origin
	// Source is SourceEntry or SourceAgent, Place the ID of the host.
	Source Source
	Place  string
	// Age is the time since the origin was recorded.
	Age time.Duration
}

// Resolution returns the version that the origin names.
func (a *Answer) Resolution() Resolution {
	return Resolution{Service: a.Service, Software: a.Software, Source: a.Source, Place: a.Place, Age: a.Age}
}

// Resolution is the version at which a stream has to go on.
type Resolution struct {
	// Service is empty if only the version is known, Software is empty if nothing is.
	Service  string
	Software string
	Source   Source
	// Place and Age are those of the answer, if an answer gave the version.
	Place string
	Age   time.Duration
}

// IsKnown reports whether the stream may go on.
func (r Resolution) IsKnown() bool { return r.Source != SourceNone }

// Inquiry collects what several places know of the origin of one stream. The zero value
// has asked nobody.
type Inquiry struct {
	asked    int
	answered int
	failed   int
	// latest is the answer that counts so far; nil if there is none.
	latest *Answer
	// conflict is set if two answers that count alike name different versions.
	conflict bool
}

// Ask records that a number of further places is asked.
func (q *Inquiry) Ask(places int) { q.asked += places }

// Answered records that a place answers; answer is nil if it doesn't know the stream.
func (q *Inquiry) Answered(answer *Answer) {
	q.answered++
	if answer == nil || answer.Software == "" {
		return
	}
	switch {
	case q.latest == nil || isLater(answer, q.latest):
		q.latest = answer
		q.conflict = false
	case !isLater(q.latest, answer) && !q.latest.isSame(answer.Origin):
		q.conflict = true
	}
}

// Failed records that a place can't be asked or doesn't answer.
func (q *Inquiry) Failed() { q.failed++ }

// Failures returns the number of places that can't be asked or don't answer.
func (q *Inquiry) Failures() int { return q.failed }

// isLater reports whether an answer counts more than another one.
func isLater(a, b *Answer) bool {
	if a.Confirmed != b.Confirmed {
		return a.Confirmed
	}
	return !a.Confirmed && a.Attempt.Ordinal > b.Attempt.Ordinal
}

// IsConclusive reports whether further answers can't change the resolution.
func (q *Inquiry) IsConclusive() bool {
	return q.answered+q.failed >= q.asked || (q.latest != nil && q.latest.Confirmed)
}

// IsSettled reports whether places that weren't asked yet can't change the resolution: if an
// answer is confirmed, or only one version was in service. An attempt that isn't confirmed
// may have been followed by a later one elsewhere.
func (q *Inquiry) IsSettled(recent []string) bool {
	return (q.latest != nil && q.latest.Confirmed) || (!q.conflict && len(recent) == 1)
}

// Asked returns the number of places that were asked.
func (q *Inquiry) Asked() int { return q.asked }

// Answers returns the number of places that have answered.
func (q *Inquiry) Answers() int { return q.answered }

// Silent returns the number of places that haven't answered.
func (q *Inquiry) Silent() int { return q.asked - q.answered }

// Resolve returns the version at which the stream has to go on. recent holds the versions
// of its service that were in service for as long as its caller may come back; it is empty
// if they aren't known.
func (q *Inquiry) Resolve(recent []string) Resolution {
	switch {
	case q.conflict:
		return Resolution{}
	case q.latest != nil:
		return q.latest.Resolution()
	case len(recent) == 1:
		return Resolution{Software: recent[0], Source: SourceOnlyVersion}
	default:
		return Resolution{}
	}
}

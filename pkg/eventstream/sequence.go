package eventstream

import (
	"errors"
	"fmt"
	"strconv"
)

// The reasons for which the event of another server isn't the next one.
var (
	// ErrRepeated means that the event, or one after it, was received before.
	ErrRepeated = errors.New("event was received before")
	// ErrGap means that events are missing before it.
	ErrGap = errors.New("events are missing")
	// ErrNoID means that it has no ID that tells its place in the stream.
	ErrNoID = errors.New("event has no ID")
)

// startNumber stands before the first event of a stream whose IDs count by one.
const startNumber = "0"

// Sequence accepts the events of one stream in their order. Events without data and ID
// don't count, as they change nothing for clients. The zero value is a stream that begins.
type Sequence struct {
	firstID string
	// lastID is the ID of the last event that the client has.
	lastID string
	// hasID is set if the last event had an ID.
	hasID bool
	// count is the number of events.
	count int
	// hasStep is set if the distance between two IDs is known.
	hasStep bool
	// resumed is set if the next event is the first one of another server.
	resumed bool
	// irregular is set if the IDs don't count by one.
	irregular bool
}

// After returns the rest of a stream of which the client has the events up to an ID; all of
// the stream if the ID is empty.
func After(id string) Sequence { return Sequence{lastID: id} }

// Count returns the number of events that were accepted.
func (s *Sequence) Count() int { return s.count }

// LastID returns the ID of the last event that had one, or the one that the rest of a
// stream follows; empty if there was none.
func (s *Sequence) LastID() string { return s.lastID }

// CanResume reports whether the last event can be named, so that another server can send
// the rest of the stream. A sequence without events can begin again.
func (s *Sequence) CanResume() bool { return s.count == 0 || s.hasID }

// BeginRun records that the next event comes from another server.
func (s *Sequence) BeginRun() { s.resumed = s.count > 0 || s.lastID != "" }

// Accept records the next event. The error wraps ErrRepeated, ErrGap or ErrNoID; the
// event isn't recorded then.
func (s *Sequence) Accept(event Event) error {
	if !event.HasData && event.ID == "" {
		return nil
	}
	if s.resumed {
		if err := s.checkNext(event); err != nil {
			return fmt.Errorf("%w: %q after %q", err, event.ID, s.lastID)
		}
	}
	s.resumed = false
	s.record(event)
	return nil
}

// checkNext reports why an event can't follow.
func (s *Sequence) checkNext(event Event) error {
	switch event.ID {
	case "":
		return ErrNoID
	case s.firstID, s.lastID:
		return ErrRepeated
	}
	last, number, ok := numbers(s.lastID, event.ID)
	switch {
	case ok && number < last:
		return ErrRepeated
	case ok && !s.irregular && s.hasStep && number != last+1:
		return ErrGap
	default:
		return nil
	}
}

func (s *Sequence) record(event Event) {
	s.recordStep(event.ID)
	if s.count == 0 {
		s.firstID = event.ID
	}
	s.count++
	s.hasID = event.ID != ""
	if s.hasID {
		s.lastID = event.ID
	}
}

// recordStep records the distance of an ID from the one before it. That of the first event
// is known only if the IDs count by one.
func (s *Sequence) recordStep(id string) {
	previous := s.lastID
	if s.count == 0 && previous == "" {
		previous = startNumber
	}
	last, number, ok := numbers(previous, id)
	isNext := ok && number == last+1
	if s.count == 0 {
		s.hasStep = isNext
		return
	}
	s.hasStep = true
	if !isNext {
		s.irregular = true
	}
}

// numbers returns two IDs as numbers if both are.
func numbers(a, b string) (first, second int64, ok bool) {
	first, firstErr := strconv.ParseInt(a, 10, 64)
	second, secondErr := strconv.ParseInt(b, 10, 64)
	return first, second, firstErr == nil && secondErr == nil
}

package eventstream

import "bytes"

// maxLineBytes limits how much of a line is kept. Only IDs and short first lines matter.
const maxLineBytes = 1 << 10

// Event is one complete event of a stream.
type Event struct {
	// ID is the value of its field "id"; empty if it has none. An empty value resets the
	// ID of the stream, so that no event can be named.
	ID string
	// HasData is set if it has a field "data". Without, clients get no event.
	HasData bool
	// First is its first line that isn't a comment, without the line's end; cut off if it
	// is long.
	First string
}

// Scanner finds the events in the bytes of a stream, which may arrive in any parts. The
// zero value is at the start of a stream.
type Scanner struct {
	event Event
	line  []byte
	// inEvent is set between the first line of an event that isn't a comment and the empty
	// line that ends it.
	inEvent bool
	// afterCR is set if the last byte was a CR, so that an LF belongs to it.
	afterCR bool
}

// Next scans data up to the end of the next event. It returns the number of bytes scanned,
// and the event if one is complete. The LF of a CR LF that ends an event comes as an event
// without data of its own, since it may arrive later.
func (s *Scanner) Next(data []byte) (size int, event Event, ok bool) {
	for size < len(data) {
		if s.afterCR && data[size] == '\n' {
			size++
			s.afterCR = false
			if !s.InEvent() {
				return size, Event{}, true
			}
			continue
		}
		s.afterCR = false
		end := bytes.IndexAny(data[size:], "\r\n")
		if end < 0 {
			s.keep(data[size:])
			return len(data), Event{}, false
		}
		s.keep(data[size : size+end])
		size += end + 1
		s.afterCR = data[size-1] == '\r'
		if event, ok := s.endLine(); ok {
			return size, event, true
		}
	}
	return size, Event{}, false
}

// InEvent reports whether the scanned bytes end inside an event.
func (s *Scanner) InEvent() bool { return s.inEvent || len(s.line) > 0 }

// keep adds a part of the current line.
func (s *Scanner) keep(part []byte) {
	s.line = append(s.line, part[:min(len(part), maxLineBytes-len(s.line))]...)
}

// endLine ends the current line, and returns the event if the line is empty and ends one.
func (s *Scanner) endLine() (Event, bool) {
	line := s.line
	s.line = s.line[:0]
	if len(line) > 0 {
		s.addLine(line)
		return Event{}, false
	}
	event, ended := s.event, s.inEvent
	s.event, s.inEvent = Event{}, false
	return event, ended
}

// addLine adds a line, which isn't empty. A line that begins with a colon is a comment.
func (s *Scanner) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if len(name) == 0 {
		return
	}
	if !s.inEvent {
		s.event.First = string(line)
	}
	s.inEvent = true
	switch string(name) {
	case "id":
		s.event.ID = string(bytes.TrimSpace(value))
	case "data":
		s.event.HasData = true
	}
}

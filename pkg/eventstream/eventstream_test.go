package eventstream

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// scan returns the IDs of the events of received bytes, and whether they end inside one.
func scan(s *Scanner, received string) (ids []string, inEvent bool) {
	for len(received) > 0 {
		size, event, ok := s.Next([]byte(received))
		if ok && (event.HasData || event.ID != "") {
			ids = append(ids, event.ID)
		}
		received = received[size:]
	}
	return ids, s.InEvent()
}

func TestEventsEndWithEmptyLine(t *testing.T) {
	for _, c := range []struct {
		received string
		ids      []string
		inEvent  bool
	}{
		{"id: 1\ndata: a\n\nid: 2\nda", []string{"1"}, true},
		{"id: 1\ndata: a\n", nil, true},
		{"id: 1\r\ndata: a\r\n\r\n", []string{"1"}, false},
		{"id: 1\rdata: a\r\r", []string{"1"}, false},
		{"id: 1\r\n\r\nid: 2\r\n\r", []string{"1", "2"}, false},
		{": comment\n\n\nid:7\n\n", []string{"7"}, false},
		{"retry: 1\n\ndata: a\n\n", []string{""}, false},
		{"data: a\n\n: comment\n", []string{""}, false},
		{"data: a\n\n: comment", []string{""}, true},
		{"id: 1\nid: 2\n\n", []string{"2"}, false},
		{"id: " + strings.Repeat("x", 2*maxLineBytes), nil, true},
		{"", nil, false},
	} {
		ids, inEvent := scan(&Scanner{}, c.received)
		if !slices.Equal(ids, c.ids) || inEvent != c.inEvent {
			t.Errorf("%q: events %q, inside one %t, want %q and %t", c.received, ids, inEvent, c.ids, c.inEvent)
		}
	}
}

func TestCompleteEventsLength(t *testing.T) {
	for data, want := range map[string]int{
		"": 0, "id: 1\n": 0, "id: 1\n\n": 7, "id: 1\n\nid: 2\nda": 7, "id: 1\n\nid: 2\n\n": 14,
	} {
		var s Scanner
		scanned, got := 0, 0
		for scanned < len(data) {
			size, _, ok := s.Next([]byte(data[scanned:]))
			scanned += size
			if ok {
				got = scanned
			}
		}
		if got != want {
			t.Errorf("%q: %d, want %d", data, got, want)
		}
	}
}

// TestEventsAreTheSameInAnyParts receives a stream in parts of any size.
func TestEventsAreTheSameInAnyParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newline := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "newline")
		count := rapid.IntRange(0, 6).Draw(t, "events")
		var text strings.Builder
		var want []string
		for id := range count {
			want = append(want, fmt.Sprint(id))
			fmt.Fprintf(&text, "id: %d%sdata: x%s%s", id, newline, newline, newline)
		}
		left := text.String()
		var got []string
		var s Scanner
		inEvent := false
		for len(left) > 0 {
			size := rapid.IntRange(1, len(left)).Draw(t, "part")
			var ids []string
			ids, inEvent = scan(&s, left[:size])
			got = append(got, ids...)
			left = left[size:]
		}
		if !slices.Equal(got, want) || inEvent {
			t.Fatalf("events %q, inside one %t, want %q", got, inEvent, want)
		}
	})
}

func TestResumedStreamGoesOnAfterItsLastEvent(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []string
		next   Event
		want   error
	}{
		{"the next one", []string{"1", "2"}, Event{ID: "3"}, nil},
		{"the last one", []string{"1", "2"}, Event{ID: "2"}, ErrRepeated},
		{"the first one", []string{"1", "2"}, Event{ID: "1"}, ErrRepeated},
		{"one too many", []string{"1", "2"}, Event{ID: "4"}, ErrGap},
		{"without an ID", []string{"1", "2"}, Event{}, ErrNoID},
		{"after IDs with gaps", []string{"6", "12"}, Event{ID: "14"}, nil},
		{"after one event", []string{"6"}, Event{ID: "12"}, nil},
		{"one too many after the first event", []string{"1"}, Event{ID: "3"}, ErrGap},
		{"the next one after the first event", []string{"1"}, Event{ID: "2"}, nil},
		{"after a first event from zero", []string{"0"}, Event{ID: "6"}, nil},
		{"after IDs that begin with 1 and don't count by one", []string{"1", "7"}, Event{ID: "9"}, nil},
		{"IDs that are no numbers", []string{"a", "b"}, Event{ID: "c"}, nil},
		{"the last of these", []string{"a", "b"}, Event{ID: "b"}, ErrRepeated},
		{"the first of these", []string{"a", "b"}, Event{ID: "a"}, ErrRepeated},
		{"a stream without events", nil, Event{ID: "1"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Sequence
			for _, id := range c.before {
				if err := s.Accept(Event{ID: id, HasData: true}); err != nil {
					t.Fatal(err)
				}
			}
			s.BeginRun()
			if err := s.Accept(Event{}); err != nil {
				t.Errorf("fields without data: %v", err)
			}
			c.next.HasData = true
			if err := s.Accept(c.next); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

func TestStreamWhoseLastEventHasNoIDCannotBeResumed(t *testing.T) {
	var s Sequence
	for _, step := range []struct {
		event Event
		want  bool
	}{
		{Event{}, true},
		{Event{HasData: true}, false},
		{Event{HasData: true, ID: "1"}, true},
		{Event{HasData: true}, false},
	} {
		if err := s.Accept(step.event); err != nil {
			t.Fatal(err)
		}
		if got := s.CanResume(); got != step.want {
			t.Errorf("after %+v: %t, want %t", step.event, got, step.want)
		}
	}
}

// TestRestOfAStreamBeginsAfterTheClientsEvents has a client that has the events up to 5.
func TestRestOfAStreamBeginsAfterTheClientsEvents(t *testing.T) {
	for _, c := range []struct {
		name string
		ids  []string
		want error
	}{
		{"the next ones", []string{"6", "7"}, nil},
		{"the last one", []string{"5"}, ErrRepeated},
		{"the first one", []string{"1"}, ErrRepeated},
		{"IDs that don't count by one", []string{"11", "17"}, nil},
		{"an ID that is no number", []string{"a"}, nil},
		{"without an ID", []string{""}, ErrNoID},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := After("5")
			s.BeginRun()
			var err error
			for _, id := range c.ids {
				err = errors.Join(err, s.Accept(Event{ID: id, HasData: true}))
			}
			if !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			if c.want != nil && (s.Count() != 0 || s.LastID() != "5" || !s.CanResume()) {
				t.Errorf("%d events, last %q, want none after 5", s.Count(), s.LastID())
			}
		})
	}
}

func TestGapAfterFirstEventOfTheRestIsRejected(t *testing.T) {
	s := After("5")
	s.BeginRun()
	if err := s.Accept(Event{ID: "6", HasData: true}); err != nil {
		t.Fatal(err)
	}
	s.BeginRun()
	if err := s.Accept(Event{ID: "8", HasData: true}); !errors.Is(err, ErrGap) {
		t.Errorf("error %v, want %v", err, ErrGap)
	}
}

package backendserver

import (
	"fmt"
	"strings"
)

// ReceivedEvent is an event of a planned stream, as a caller reads it.
type ReceivedEvent struct {
	Number, Last int
	// RequestID is the request that the server made the event for.
	RequestID string
	// Software is the version of the software that made it.
	Software string
}

// ParseEvents returns the complete events at the start of a planned stream, and what
// follows them.
func ParseEvents(body string) (events []ReceivedEvent, rest string, err error) {
	for {
		text, after, complete := strings.Cut(body, "\n\n")
		if !complete {
			return events, body, nil
		}
		event, err := parseEvent(text)
		if err != nil {
			return events, body, err
		}
		events = append(events, event)
		body = after
	}
}

// parseEvent parses an event without the blank line at its end.
func parseEvent(text string) (ReceivedEvent, error) {
	var event ReceivedEvent
	var number int
	header, software, _ := strings.Cut(text, softwareMark)
	_, err := fmt.Sscanf(header, "id: %d\ndata: %s %d of %d", &event.Number, &event.RequestID, &number, &event.Last)
	if err != nil || number != event.Number {
		return event, fmt.Errorf("%q is no event of a planned stream: %w", text, err)
	}
	event.Software = strings.TrimRight(software, ".")
	return event, nil
}

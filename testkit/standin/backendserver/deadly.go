package backendserver

import (
	"bufio"
	"net/http"
	"strings"
	"time"
)

// Deadly describes the requests that end the server's process once it begins to respond
// to them.
type Deadly struct {
	// Marks are the texts of which such a request has one in its body or its prompt.
	Marks []string
	// Events is the number of events of a stream before the end, AfterMillis the time
	// between them, or the header, and the end, in milliseconds.
	Events, AfterMillis int
}

// Crash is the end of a server's process because of a request.
type Crash struct {
	// Mark is the one that the request has.
	Mark      string
	RequestID string
	At        time.Time
}

// markOf returns the mark of a deadly request, or an empty string.
func (d *Deadly) markOf(r *http.Request, body string) string {
	for _, mark := range d.Marks {
		if strings.Contains(body, mark) || strings.Contains(r.Header.Get(HeaderPrompt), mark) {
			return mark
		}
	}
	return ""
}

// endIfDeadly ends the process if the request does. A stream has its header by then.
func (s *Server) endIfDeadly(w http.ResponseWriter, r *http.Request, body string, isStream bool) {
	deadly := s.options.Deadly
	if deadly == nil || deadly.markOf(r, body) == "" {
		return
	}
	id := r.Header.Get(HeaderRequestID)
	if isStream {
		w.Header().Set("Content-Type", eventStreamType)
		w.WriteHeader(http.StatusOK)
		out := bufio.NewWriter(w)
		for number := 1; number <= deadly.Events; number++ {
			_, _ = out.WriteString(Event(id, number, s.options.Events))
		}
		_ = out.Flush()
		_ = http.NewResponseController(w).Flush()
	}
	time.Sleep(time.Duration(deadly.AfterMillis) * time.Millisecond)
	s.options.OnDeadly(Crash{Mark: deadly.markOf(r, body), RequestID: id, At: time.Now()})
}

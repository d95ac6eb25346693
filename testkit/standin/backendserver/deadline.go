package backendserver

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

// withDeadline returns a request whose context ends at the deadline that it names, and a
// function that stops the timer.
func (s *Server) withDeadline(r *http.Request) (*http.Request, context.CancelFunc) {
	millis, err := strconv.Atoi(r.Header.Get(HeaderBudget))
	if err != nil || !s.options.KeepDeadlines {
		return r, func() {}
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
	return r.WithContext(ctx), cancel
}

// respondOverdue responds to a request whose deadline has passed while it ran, or ends the
// connection of one whose caller has left.
func respondOverdue(w http.ResponseWriter, r *http.Request) {
	if !errors.Is(r.Context().Err(), context.DeadlineExceeded) {
		httpapi.Abort()
	}
	w.WriteHeader(http.StatusGatewayTimeout)
}

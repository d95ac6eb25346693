package backendserver

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// deadlineOf returns a context that ends when the time that a request names is over, if the
// server keeps deadlines.
func (s *Server) deadlineOf(r *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.Atoi(r.Header.Get(HeaderBudget))
	if !s.options.KeepDeadlines || err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
}

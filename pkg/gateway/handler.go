package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/attempt"
	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// defaultBudget is the time for an answer when neither the caller nor the
	// route names one.
	defaultBudget = 30 * time.Second
	// defaultMaxBody bounds a body when the configuration names no bound.
	defaultMaxBody = 4 << 20
	// configurationPatience bounds the wait for the configuration, and
	// configurationShare is the part of its time that a request waits at most.
	configurationPatience = 500 * time.Millisecond
	configurationShare    = 8
	// unconfiguredRetry is when to come back after a refusal of an entry that has no
	// configuration; the balancer sends the caller to another one.
	unconfiguredRetry = 50 * time.Millisecond
)

// handler serves callers.
type handler struct {
	control *control
	dialect forward.HeaderCodec
	pool    *forward.Pool
	tracker *backends.Tracker
	// gate holds which servers want no requests from this host.
	gate *backpressure.Gate
	// node is nil until the site's secret is known.
	node     atomic.Pointer[wire.Node]
	budget   *attempt.Budget
	domain   string
	observer *observer
	// inFlight counts requests until their last byte.
	inFlight atomic.Int64
	// closing tells that kept connections should end after their answer.
	closing atomic.Bool
	// unsent ends when a stopping entry gives up the requests that still wait for
	// a runner.
	unsent       context.Context
	giveUpUnsent context.CancelFunc
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	x, failure := h.accept(w, r, arrived)
	if failure != nil {
		refuse(w, *failure)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.run(ctx)
}

// accept finds a request's route and reads the request.
func (h *handler) accept(w http.ResponseWriter, r *http.Request, arrived time.Time) (*exchange, *refusal) {
	caller, err := h.dialect.DecodeRequest(r.Header)
	h.awaitConfiguration(r.Context(), caller.Budget)
	current := h.control.current()
	var version int64
	reject := func(why refusal) (*exchange, *refusal) {
		h.observer.refusedEarly(r, caller.RequestID, arrived, version, why)
		return nil, &why
	}
	if current.table == nil {
		return reject(refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: unconfiguredRetry})
	}
	version = current.table.Configuration().Version
	route := current.table.Match(r.Host, rawPath(r))
	if route == nil {
		return reject(refusal{status: http.StatusNotFound, reason: "no route"})
	}
	if err != nil {
		return reject(refusal{status: http.StatusBadRequest, reason: err.Error()})
	}
	body, failure := readBody(w, r, current.table.Configuration().Limits)
	if failure != nil {
		return reject(*failure)
	}
	return h.newExchange(w, r, route, caller, body, arrived), nil
}

// awaitConfiguration lets a request to an entry that has just started wait a moment
// for the configuration.
func (h *handler) awaitConfiguration(ctx context.Context, budget time.Duration) {
	if h.control.current().table != nil {
		return
	}
	patience := configurationPatience
	if budget > 0 {
		patience = min(patience, budget/configurationShare)
	}
	timeout := time.NewTimer(patience)
	defer timeout.Stop()
	for {
		changed := h.control.changes()
		if h.control.current().table != nil {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// rawPath is the path as the caller sent it, without the query.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(target(r), "?")
	return path
}

// target is the request target in origin form.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func readBody(w http.ResponseWriter, r *http.Request, limits fleet.Limits) ([]byte, *refusal) {
	bound := limits.MaxBodyBytes
	if bound <= 0 {
		bound = defaultMaxBody
	}
	if r.ContentLength > bound {
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, bodyFailure(err)
		}
		return body, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bound))
	if err != nil {
		return nil, bodyFailure(err)
	}
	return body, nil
}

func bodyFailure(err error) *refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	return &refusal{status: http.StatusRequestTimeout, reason: "body incomplete"}
}

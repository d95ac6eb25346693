package callers

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"

	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

// ErrConfig tells that a Config can't be used.
var ErrConfig = errors.New("callers: configuration")

// Config holds what a Handler works with.
type Config struct {
	Resolver   Resolver
	Dispatcher Dispatcher
	// Limits must have its defaults filled in.
	Limits settings.EntryLimits
	// Metrics may be nil.
	Metrics *metrics.Entry
	// Logger may be nil.
	Logger *slog.Logger
	// Ready tells whether the process can serve; nil means always.
	Ready func() bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Handler serves callers. It is an http.Handler for a server that its user owns.
type Handler struct {
	resolver   Resolver
	dispatcher Dispatcher
	limits     settings.EntryLimits
	metrics    *metrics.Entry
	logger     *slog.Logger
	ready      func() bool
	now        func() time.Time
	// bodyTimeout bounds the arrival of a request's body.
	bodyTimeout time.Duration
	// writeGrace is how long after its deadline a caller may take to read the
	// last of the answer.
	writeGrace time.Duration

	app      *iris.Application
	requests gate
	plans    planGates
	buffers  byteBudget
}

// New returns a Handler.
func New(config Config) (*Handler, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	config.fill()
	h := &Handler{
		resolver:    config.Resolver,
		dispatcher:  config.Dispatcher,
		limits:      config.Limits,
		metrics:     config.Metrics,
		logger:      config.Logger,
		ready:       config.Ready,
		now:         config.Now,
		bodyTimeout: defaultBodyTimeout,
		writeGrace:  defaultWriteGrace,
	}
	h.requests.limit = int64(config.Limits.MaxRequests)
	h.buffers.limit = max(minBufferBytes, 2*config.Limits.MaxBodyBytes)
	app, err := h.buildApplication()
	if err != nil {
		return nil, fmt.Errorf("callers: routes: %w", err)
	}
	h.app = app
	return h, nil
}

func (c *Config) check() error {
	switch {
	case c.Resolver == nil:
		return fmt.Errorf("%w: Resolver is missing", ErrConfig)
	case c.Dispatcher == nil:
		return fmt.Errorf("%w: Dispatcher is missing", ErrConfig)
	case c.Limits.MaxBodyBytes <= 0:
		return fmt.Errorf("%w: Limits.MaxBodyBytes must be positive", ErrConfig)
	case c.Limits.MaxRequests <= 0:
		return fmt.Errorf("%w: Limits.MaxRequests must be positive", ErrConfig)
	case c.Limits.DefaultDeadlineMillis <= 0:
		return fmt.Errorf("%w: Limits.DefaultDeadlineMillis must be positive", ErrConfig)
	case c.Limits.MaxDeadlineMillis <= 0:
		return fmt.Errorf("%w: Limits.MaxDeadlineMillis must be positive", ErrConfig)
	}
	return nil
}

func (c *Config) fill() {
	if c.Metrics == nil {
		c.Metrics = metrics.NewEntry(metrics.Discard())
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Ready == nil {
		c.Ready = func() bool { return true }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.app.ServeHTTP(w, r)
}

// InFlight returns the number of requests that are being served.
func (h *Handler) InFlight() int {
	return int(h.requests.running.Load())
}

// PlanUse is what the plan's requests at this entry came to.
type PlanUse struct {
	Plan     string
	Running  int
	Answered int64
	Refused  int64
}

// PlanUses returns the use of all plans seen since the start, sorted by name.
func (h *Handler) PlanUses() []PlanUse {
	var uses []PlanUse
	h.plans.uses.Range(func(name, value any) bool {
		use := value.(*planUse)
		uses = append(uses, PlanUse{
			Plan:     name.(string),
			Running:  int(use.running.Load()),
			Answered: use.answered.Load(),
			Refused:  use.refused.Load(),
		})
		return true
	})
	slices.SortFunc(uses, func(a, b PlanUse) int { return cmp.Compare(a.Plan, b.Plan) })
	return uses
}

// StartDraining refuses requests that arrive from now on; running ones go on.
// Readiness turns false. It may be called more than once.
func (h *Handler) StartDraining() {
	h.requests.closed.Store(true)
}

// gate counts what runs and admits no more than its limit.
type gate struct {
	limit   int64
	running atomic.Int64
	closed  atomic.Bool
}

// enter counts one more. It counts before it looks at closed, so that whoever
// closes the gate and then reads zero knows that nothing runs or will run.
func (g *gate) enter(limit int64) error {
	running := g.running.Add(1)
	if g.closed.Load() {
		g.leave()
		return errGateClosed
	}
	if limit > 0 && running > limit {
		g.leave()
		return errGateFull
	}
	return nil
}

func (g *gate) leave() { g.running.Add(-1) }

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

// ErrConfig is returned for an invalid Config.
var ErrConfig = errors.New("callers: invalid configuration")

// Config holds a Handler's dependencies and limits.
type Config struct {
	Resolver   Resolver
	Dispatcher Dispatcher
	// Limits must have its defaults filled in.
	Limits settings.EntryLimits
	// Metrics may be nil.
	Metrics *metrics.Entry
	// Logger may be nil.
	Logger *slog.Logger
	// Ready reports whether the process can serve; nil means always.
	Ready func() bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Handler serves the callers' API. It implements http.Handler; the server that uses
// it belongs to the caller of New.
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
	// writeGrace is how long after the request's deadline a caller may take to read
	// the rest of the response.
	writeGrace time.Duration

	app      *iris.Application
	requests concurrencyLimiter
	plans    planLimiters
	buffers  byteBudget
}

// New returns a Handler.
func New(config Config) (*Handler, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	config.setDefaults()
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

func (c *Config) validate() error {
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

func (c *Config) setDefaults() {
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

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int {
	return int(h.requests.running.Load())
}

// PlanUsage counts a plan's requests at this entry.
type PlanUsage struct {
	Plan     string
	Running  int
	Answered int64
	Refused  int64
}

// PlanUsages returns the usage of all plans seen since the start, sorted by name.
func (h *Handler) PlanUsages() []PlanUsage {
	var usages []PlanUsage
	h.plans.usages.Range(func(name, value any) bool {
		usage := value.(*planUsage)
		usages = append(usages, PlanUsage{
			Plan:     name.(string),
			Running:  int(usage.running.Load()),
			Answered: usage.completed.Load(),
			Refused:  usage.refused.Load(),
		})
		return true
	})
	slices.SortFunc(usages, func(a, b PlanUsage) int { return cmp.Compare(a.Plan, b.Plan) })
	return usages
}

// StartDraining refuses new requests; requests in flight continue. Readiness turns
// false. It may be called more than once.
func (h *Handler) StartDraining() {
	h.requests.draining.Store(true)
}

// concurrencyLimiter counts the requests in flight and limits their number.
type concurrencyLimiter struct {
	limit    int64
	running  atomic.Int64
	draining atomic.Bool
}

// acquire counts one more request. It counts before it checks draining, so that
// whoever sets draining and then reads zero knows that no request is or will be in
// flight.
func (l *concurrencyLimiter) acquire(limit int64) error {
	running := l.running.Add(1)
	if l.draining.Load() {
		l.release()
		return errShuttingDown
	}
	if limit > 0 && running > limit {
		l.release()
		return errTooManyRequests
	}
	return nil
}

func (l *concurrencyLimiter) release() { l.running.Add(-1) }

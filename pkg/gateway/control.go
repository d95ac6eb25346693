package gateway

import (
	"log/slog"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/eventloop"
	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// control owns the control state. Its methods run on the loop, but for current.
type control struct {
	loop     *eventloop.Loop
	logger   *slog.Logger
	registry *backends.Registry
	table    *fleet.Table
	view     atomic.Pointer[view]
}

func newControl(logger *slog.Logger) *control {
	c := &control{loop: eventloop.New(), logger: logger, registry: backends.NewRegistry()}
	c.publish()
	return c
}

// current returns the newest view. Any goroutine may call it.
func (c *control) current() *view { return c.view.Load() }

func (c *control) publish() {
	c.view.Store(newView(c.table, c.registry.Backends()))
}

// configured puts a configuration in force unless a newer one is.
func (c *control) configured(configuration *fleet.Configuration) {
	if c.table != nil && configuration.Version <= c.table.Configuration().Version {
		return
	}
	c.table = fleet.NewTable(configuration)
	c.publish()
	c.logger.Info("configuration in force", "version", configuration.Version,
		"routes", len(configuration.Routes), "services", len(configuration.Services))
}

// registrations takes in changes of the registered backend servers.
func (c *control) registrations(change func(registry *backends.Registry) bool) {
	if change(c.registry) {
		c.publish()
		c.logger.Info("backend servers changed", "usable", len(c.registry.Backends()))
	}
}

// storeUnstable notes that a call of the store failed.
func (c *control) storeUnstable(now time.Time) { c.registry.StoreUnstable(now) }

// expire drops the servers whose grace has ended.
func (c *control) expire(now time.Time) {
	c.registrations(func(registry *backends.Registry) bool { return registry.Expire(now) })
}

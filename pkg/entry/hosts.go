package entry

import (
	"context"
	"log/slog"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// hostPoller updates the members from the platform's host list. The entries that
// watch the key-value service read the list and relay it to the others, which read
// it themselves only while they reach no relaying entry.
type hostPoller struct {
	lister   hostlist.Lister
	interval time.Duration
	control  *controlState
	syncer   *stateSyncer
	node     *wire.Node
	metrics  *metrics.Entry
	logger   *slog.Logger
	// ownership is used only by the poller's goroutine.
	ownership *ownership
}

// run polls until ctx ends.
func (p *hostPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.poll(ctx)
		backoff.Sleep(ctx, p.interval)
	}
}

func (p *hostPoller) poll(ctx context.Context) {
	if p.needsRead() && p.read(ctx) {
		p.recordMetrics()
		return
	}
	listing := p.control.syncState.hosts.Current()
	if listing == nil {
		return
	}
	// An unchanged list is applied as well, because the members track how long a
	// host has been absent.
	p.control.loop.Do(func() { p.control.hostsRelayed(time.Now(), listing.Hosts) })
	p.recordMetrics()
}

func (p *hostPoller) recordMetrics() {
	p.metrics.Members(len(p.control.current().members.Agents()))
	p.metrics.Connections(p.node.Connections())
}

// needsRead reports whether this entry reads the list itself: nobody relays it, or
// a host may be missing whose permits this entry decides on. A relayed list may be
// too old to show that.
func (p *hostPoller) needsRead() bool {
	return p.syncer.readsHostsDirectly.Load() || p.control.syncState.hosts.Current() == nil || p.ownsModelOfMissingHost()
}

func (p *hostPoller) ownsModelOfMissingHost() bool {
	members := p.control.current().members
	p.ownership.update(members)
	for _, known := range p.control.syncState.allPlacements() {
		for _, permit := range known.Permits {
			if !members.Missing(permit.Runner) {
				continue
			}
			if p.ownership.owns(placement.ModelVersionOf(&known)) {
				return true
			}
		}
	}
	return false
}

// read reads the list and reports whether it succeeded.
func (p *hostPoller) read(ctx context.Context) bool {
	listing, err := p.lister.Hosts(ctx)
	if err != nil {
		p.logger.Warn("host list read failed", "error", err)
		return false
	}
	if err := p.control.syncState.setHosts(listing); err != nil {
		p.logger.Error("encoding the host list for relay failed", "error", err)
	}
	p.control.loop.Do(func() { p.control.hostsListed(time.Now(), listing.Hosts) })
	return true
}

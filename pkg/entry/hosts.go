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

// hostPoller keeps the members up to date with the platform's list of hosts. The
// entries that watch the key-value service read the list; the others get it from
// them, and read it themselves while they reach none.
type hostPoller struct {
	lister   hostlist.Lister
	interval time.Duration
	control  *control
	source   *source
	node     *wire.Node
	metrics  *metrics.Entry
	logger   *slog.Logger
	// ownership is this goroutine's own.
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
	if p.mustRead() && p.read(ctx) {
		p.measure()
		return
	}
	listing := p.control.feed.hosts.Current()
	if listing == nil {
		return
	}
	// An unchanged list is taken in as well: how long a host is absent counts.
	p.control.loop.Do(func() { p.control.hostsRelayed(time.Now(), listing.Hosts) })
	p.measure()
}

func (p *hostPoller) measure() {
	p.metrics.Members(len(p.control.current().members.Agents()))
	p.metrics.Connections(p.node.Connections())
}

// mustRead tells whether this entry reads the list itself: nobody relays it, or
// a host may be gone whose permits this entry decides on. A relayed list may be
// too old to show that.
func (p *hostPoller) mustRead() bool {
	return p.source.cutOff.Load() || p.control.feed.hosts.Current() == nil || p.ownsMissing()
}

func (p *hostPoller) ownsMissing() bool {
	members := p.control.current().members
	p.ownership.update(members)
	for _, known := range p.control.feed.allPlacements() {
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

// read reads the list and tells whether that worked.
func (p *hostPoller) read(ctx context.Context) bool {
	listing, err := p.lister.Hosts(ctx)
	if err != nil {
		p.logger.Warn("host list unreadable", "error", err)
		return false
	}
	if err := p.control.feed.setHosts(listing); err != nil {
		p.logger.Error("host list can't be relayed", "error", err)
	}
	p.control.loop.Do(func() { p.control.hostsListed(time.Now(), listing.Hosts) })
	return true
}

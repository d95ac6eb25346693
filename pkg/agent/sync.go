package agent

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/eventloop"
	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// hostListInterval is the interval at which agents read the host list. They need
	// only the entries' addresses, so that it is long; a failed call to an entry
	// triggers a read, at least hostListMinInterval after the last one.
	hostListInterval    = 2 * time.Minute
	hostListMinInterval = 2 * time.Second
	// hostListRetryDelay is the delay after a failed or empty read.
	hostListRetryDelay = time.Second
	// syncTimeout is how long an entry may hold a Sync while there are no changes.
	syncTimeout = 20 * time.Second
	// syncGrace is added to syncTimeout for the call's deadline.
	syncGrace = 3 * time.Second
	// syncDelay is the delay after an update with placements beyond the revision up
	// to which the entry knows all placements; it would contain them again.
	syncDelay = 200 * time.Millisecond
	// coordinatorKey selects the entry that coordinates loads, by rendezvous
	// hashing.
	coordinatorKey = "weight-store"
)

// entryDirectory tracks the entries that this agent communicates with.
type entryDirectory struct {
	host   settings.Host
	lister hostlist.Lister
	logger *slog.Logger
	seed   uint64
	// runnersChanged is called with the number of listed model runners.
	runnersChanged func(int)
	peers          atomic.Pointer[[]peer]
	coordinator    atomic.Pointer[peer]
	// refreshNow holds a token after a call to an entry failed.
	refreshNow chan struct{}
}

// peer is an entry's identity and address.
type peer struct {
	id      string
	address string
}

// refresh periodically reads the host list until ctx ends.
func (d *entryDirectory) refresh(ctx context.Context) {
	view := membership.NewView()
	for ctx.Err() == nil {
		listing, err := d.lister.Hosts(ctx)
		if err != nil {
			d.logger.Warn("host list read failed", "error", err)
			backoff.Sleep(ctx, hostListRetryDelay)
			continue
		}
		view.HostsListed(time.Now(), listing.Hosts)
		d.selectPeers(view.Snapshot())
		if len(d.preferredPeers()) == 0 {
			backoff.Sleep(ctx, hostListRetryDelay)
			continue
		}
		backoff.Sleep(ctx, hostListMinInterval)
		d.waitForRefresh(ctx)
	}
}

// waitForRefresh waits for hostListInterval or until a call to an entry fails.
func (d *entryDirectory) waitForRefresh(ctx context.Context) {
	timer := time.NewTimer(hostListInterval - hostListMinInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.refreshNow:
	}
}

// requestRefresh triggers a read of the host list after a failed call to an entry.
func (d *entryDirectory) requestRefresh() {
	select {
	case d.refreshNow <- struct{}{}:
	default:
	}
}

func (d *entryDirectory) selectPeers(snapshot *membership.Snapshot) {
	self := membership.Entry{ID: d.host.ID, FailureDomain: d.host.FailureDomain, Region: d.host.Region}
	entries := snapshot.Entries()
	addresses := make(map[string]string, len(entries))
	for _, entry := range entries {
		addresses[entry.ID] = entry.Address
	}
	coordinator := membership.RendezvousOwner(coordinatorKey, liveIDs(entries))
	if coordinator != "" {
		d.coordinator.Store(&peer{id: coordinator, address: addresses[coordinator]})
	}
	d.runnersChanged(countRunners(snapshot))
	var peers []peer
	for _, id := range membership.SyncPeers(self, entries, d.seed) {
		peers = append(peers, peer{id: id, address: addresses[id]})
	}
	d.peers.Store(&peers)
}

func liveIDs(entries []*membership.Entry) []string {
	var ids []string
	for _, entry := range entries {
		if !entry.Leaving {
			ids = append(ids, entry.ID)
		}
	}
	return ids
}

func countRunners(snapshot *membership.Snapshot) int {
	count := 0
	for _, agent := range snapshot.Agents() {
		if len(agent.Services()) == 0 {
			count++
		}
	}
	return count
}

// loadCoordinator returns the entry that coordinates loads, or nil.
func (d *entryDirectory) loadCoordinator() *peer { return d.coordinator.Load() }

// preferredPeers returns the entries in order of preference.
func (d *entryDirectory) preferredPeers() []peer {
	peers := d.peers.Load()
	if peers == nil {
		return nil
	}
	return *peers
}

// permitSyncer delivers placements to the model table.
type permitSyncer struct {
	loop      *eventloop.Loop
	table     *modelTable
	store     keyvalue.Store
	node      *wire.Node
	directory *entryDirectory
	logger    *slog.Logger
	runner    string
}

// readUntilDone reads all placements from the key-value service, retrying until it
// succeeds. No permit is used before.
func (p *permitSyncer) readUntilDone(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		read, err := p.readOnce(ctx)
		if err == nil {
			p.loop.Do(func() { p.table.execute(p.table.enforcer.Step(read)) })
			p.logger.Info("permits read from the key-value service", "revision", read.Revision, "placements", len(read.Placements))
			return
		}
		p.logger.Warn("permit read failed", "error", err)
		backoff.Sleep(ctx, backoff.Duration(failures))
	}
}

func (p *permitSyncer) readOnce(ctx context.Context) (placement.PlacementRead, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result, err := p.store.Range(callCtx, placement.KeyPrefix, true)
	if err != nil {
		return placement.PlacementRead{}, err
	}
	read := placement.PlacementRead{Revision: result.Revision}
	for _, value := range result.Values {
		decoded, err := placement.Decode(value)
		if err != nil {
			p.logger.Error("placement decoding failed", "key", value.Key, "error", err)
			continue
		}
		read.Placements = append(read.Placements, decoded)
	}
	return read, nil
}

// follow requests newer placements from entries until ctx ends.
func (p *permitSyncer) follow(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if p.followOnce(ctx, failures) {
			failures = 0
			continue
		}
		backoff.Sleep(ctx, backoff.Duration(failures))
		failures++
	}
}

func (p *permitSyncer) followOnce(ctx context.Context, failures int) bool {
	peers := p.directory.preferredPeers()
	if len(peers) == 0 {
		return false
	}
	entry := peers[failures%len(peers)]
	var revision int64
	p.loop.Do(func() { revision = p.table.enforcer.Revision() })
	update, err := p.requestUpdate(ctx, entry, revision)
	if err != nil {
		p.logger.Debug("update request to an entry failed", "entry", entry.id, "error", err)
		p.directory.requestRefresh()
		return false
	}
	p.loop.Do(func() { p.applyUpdate(update) })
	if len(update.Placements) > 0 && update.PlacementRevision <= revision {
		// The entry knows single placements beyond its revision and would return them
		// again without waiting.
		backoff.Sleep(ctx, syncDelay)
	}
	return true
}

func (p *permitSyncer) requestUpdate(ctx context.Context, entry peer, revision int64) (*wire.Update, error) {
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout+syncGrace)
	defer cancel()
	response, err := p.node.Call(callCtx, entry.id, entry.address, &wire.Frame{Sync: &wire.Sync{
		PlacementRevision: revision,
		WaitMillis:        millis(syncTimeout),
		Runner:            p.runner,
	}})
	if err != nil {
		return nil, err
	}
	if response.Update == nil {
		return nil, errUnexpectedResponse
	}
	return response.Update, nil
}

func (p *permitSyncer) applyUpdate(update *wire.Update) {
	for _, relayed := range update.Placements {
		p.table.execute(p.table.enforcer.Step(placement.PlacementRelayed{Placement: relayed}))
	}
	p.table.execute(p.table.enforcer.Step(placement.RelayedUpTo{Revision: update.PlacementRevision}))
	p.table.controller.schedule(time.Now())
}

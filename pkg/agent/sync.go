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
	// hostListInterval is the time between two reads of the host list. Agents
	// need only the entries' addresses, so they read it seldom, and at once after
	// an entry didn't answer, but not within hostListPause of the last read.
	hostListInterval = 2 * time.Minute
	hostListPause    = 2 * time.Second
	// hostListRetry is the time to the next read after a failed or empty one.
	hostListRetry = time.Second
	// syncWait is how long an entry holds a Sync back without news.
	syncWait = 20 * time.Second
	// syncSlack is how much longer than syncWait an agent waits for the answer.
	syncSlack = 3 * time.Second
	// syncPause is the wait after an answer that holds placements beyond the
	// revision up to which the entry knows all, and would hold them again.
	syncPause = 200 * time.Millisecond
	// coordinatorKey chooses the entry that coordinates loads, by rendezvous
	// hashing.
	coordinatorKey = "weight-store"
)

// entryDirectory knows the entries that this agent talks to.
type entryDirectory struct {
	host   settings.Host
	lister hostlist.Lister
	logger *slog.Logger
	seed   uint64
	// runnersChanged is told how many model runners are listed.
	runnersChanged func(int)
	peers          atomic.Pointer[[]peer]
	coordinator    atomic.Pointer[peer]
	// outdated holds a token after an entry didn't answer.
	outdated chan struct{}
}

// peer is an entry's identity and address.
type peer struct {
	id      string
	address string
}

// refresh reads the host list until ctx ends.
func (d *entryDirectory) refresh(ctx context.Context) {
	view := membership.NewView()
	for ctx.Err() == nil {
		listing, err := d.lister.Hosts(ctx)
		if err != nil {
			d.logger.Warn("host list unreadable", "error", err)
			backoff.Sleep(ctx, hostListRetry)
			continue
		}
		view.HostsListed(time.Now(), listing.Hosts)
		d.choose(view.Snapshot())
		if len(d.list()) == 0 {
			backoff.Sleep(ctx, hostListRetry)
			continue
		}
		backoff.Sleep(ctx, hostListPause)
		d.awaitNext(ctx)
	}
}

// awaitNext waits for hostListInterval or until an entry doesn't answer.
func (d *entryDirectory) awaitNext(ctx context.Context) {
	timer := time.NewTimer(hostListInterval - hostListPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.outdated:
	}
}

// noAnswer notes that an entry didn't answer.
func (d *entryDirectory) noAnswer() {
	select {
	case d.outdated <- struct{}{}:
	default:
	}
}

func (d *entryDirectory) choose(snapshot *membership.Snapshot) {
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

// list returns the entries in order of preference.
func (d *entryDirectory) list() []peer {
	peers := d.peers.Load()
	if peers == nil {
		return nil
	}
	return *peers
}

// permitReader brings placements to the modelTable.
type permitReader struct {
	loop      *eventloop.Loop
	table     *modelTable
	store     keyvalue.Store
	node      *wire.Node
	directory *entryDirectory
	logger    *slog.Logger
	runner    string
}

// readOwn reads all placements from the key-value service. No permit is used
// before this has succeeded.
func (p *permitReader) readOwn(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		read, err := p.readOnce(ctx)
		if err == nil {
			p.loop.Do(func() { p.table.perform(p.table.holder.Step(read)) })
			p.logger.Info("permits read", "revision", read.Revision, "placements", len(read.Placements))
			return
		}
		p.logger.Warn("permits unreadable", "error", err)
		backoff.Sleep(ctx, backoff.Duration(failures))
	}
}

func (p *permitReader) readOnce(ctx context.Context) (placement.PlacementRead, error) {
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
			p.logger.Error("placement unreadable", "key", value.Key, "error", err)
			continue
		}
		read.Placements = append(read.Placements, decoded)
	}
	return read, nil
}

// follow asks entries for newer placements until ctx ends.
func (p *permitReader) follow(ctx context.Context) {
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

func (p *permitReader) followOnce(ctx context.Context, failures int) bool {
	peers := p.directory.list()
	if len(peers) == 0 {
		return false
	}
	entry := peers[failures%len(peers)]
	var revision int64
	p.loop.Do(func() { revision = p.table.holder.Revision() })
	update, err := p.ask(ctx, entry, revision)
	if err != nil {
		p.logger.Debug("sync failed", "entry", entry.id, "error", err)
		p.directory.noAnswer()
		return false
	}
	p.loop.Do(func() { p.take(update) })
	if len(update.Placements) > 0 && update.PlacementRevision <= revision {
		// The entry knows single placements ahead of all others and would answer
		// at once again.
		backoff.Sleep(ctx, syncPause)
	}
	return true
}

func (p *permitReader) ask(ctx context.Context, entry peer, revision int64) (*wire.Update, error) {
	callCtx, cancel := context.WithTimeout(ctx, syncWait+syncSlack)
	defer cancel()
	answer, err := p.node.Call(callCtx, entry.id, entry.address, &wire.Frame{Sync: &wire.Sync{
		PlacementRevision: revision,
		WaitMillis:        millis(syncWait),
		Runner:            p.runner,
	}})
	if err != nil {
		return nil, err
	}
	if answer.Update == nil {
		return nil, errUnexpectedFrame
	}
	return answer.Update, nil
}

func (p *permitReader) take(update *wire.Update) {
	for _, relayed := range update.Placements {
		p.table.perform(p.table.holder.Step(placement.PlacementRelayed{Placement: relayed}))
	}
	p.table.perform(p.table.holder.Step(placement.RelayedUpTo{Revision: update.PlacementRevision}))
	p.table.controller.advance(time.Now())
}

package entry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/hostrelay"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// storeTimeout bounds one read of the key-value service.
	storeTimeout = 5 * time.Second
	// syncTimeout is how long a peer may hold a Sync while there are no changes.
	syncTimeout = 20 * time.Second
	// syncGrace is added to the timeout of a Sync for the call's deadline.
	syncGrace = 3 * time.Second
	// syncDelay is the delay after an update that didn't advance the revision up to
	// which all placements are known.
	syncDelay = 200 * time.Millisecond
	// memberRetryDelay is the delay while no host list has been read.
	memberRetryDelay = 200 * time.Millisecond
	// directReadInterval is the minimum interval between reads of the key-value
	// service by an entry that doesn't watch it.
	directReadInterval = 10 * time.Second
	// watchDuration is the time after which an entry checks again whether it should
	// watch the key-value service.
	watchDuration = 15 * time.Second
)

// stateSyncer keeps the entry's lists and placements up to date. A few entries of
// each failure domain watch the key-value service; the others sync with them, as
// all entries do while the key-value service is unavailable.
type stateSyncer struct {
	self    string
	control *controlState
	store   keyvalue.Store
	lists   *lists.Store
	node    *wire.Node
	metrics *metrics.Entry
	logger  *slog.Logger
	seed    uint64
	// lastDirectRead is when this entry last read the key-value service without
	// watching it.
	lastDirectRead time.Time
	// needsFullLists is set if the last delta of the lists couldn't be applied, so
	// that the next Sync requests the complete lists.
	needsFullLists bool
	// needsFullHosts does the same for the host list.
	needsFullHosts bool
	// readsHostsDirectly is set if the last Sync failed or this entry watches the
	// key-value service, so that it must read the host list itself.
	readsHostsDirectly atomic.Bool
}

// run follows lists and placements until ctx ends.
func (s *stateSyncer) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		members := s.control.current().members
		if len(members.Entries()) == 0 {
			backoff.Sleep(ctx, memberRetryDelay)
			continue
		}
		if s.followOnce(ctx, members, failures) {
			failures = 0
			continue
		}
		backoff.Sleep(ctx, backoff.Duration(failures))
		failures++
	}
}

// followOnce follows the key-value service or a peer for a limited time. It returns
// false on failure.
func (s *stateSyncer) followOnce(ctx context.Context, members *membership.Snapshot, failures int) bool {
	if s.isWatcher(members) {
		s.readsHostsDirectly.Store(true)
		if err := s.watch(ctx); err == nil {
			return true
		} else if ctx.Err() == nil {
			s.logger.Warn("key-value service read failed", "error", err)
		}
		return s.syncAll(ctx, members)
	}
	if s.syncOne(ctx, members, failures, syncTimeout) {
		return true
	}
	s.readsHostsDirectly.Store(true)
	s.readDirectly(ctx)
	return false
}

// isWatcher reports whether this entry watches the key-value service and reads the
// host list for the others.
func (s *stateSyncer) isWatcher(members *membership.Snapshot) bool {
	return slices.Contains(membership.Watchers(members.Entries()), s.self)
}

// syncAll syncs with all peers without long polling, so that the newest revision
// among them is found, and reports whether any peer responded.
func (s *stateSyncer) syncAll(ctx context.Context, members *membership.Snapshot) bool {
	responded := false
	peers := s.peers(members)
	for i := range peers {
		if s.syncWith(ctx, peers[i], 0) {
			responded = true
		}
	}
	if responded {
		backoff.Sleep(ctx, time.Second)
	}
	return responded
}

func (s *stateSyncer) syncOne(ctx context.Context, members *membership.Snapshot, failures int, wait time.Duration) bool {
	peers := s.peers(members)
	if len(peers) == 0 {
		return false
	}
	return s.syncWith(ctx, peers[failures%len(peers)], wait)
}

func (s *stateSyncer) peers(members *membership.Snapshot) []*membership.Entry {
	byID := make(map[string]*membership.Entry)
	for _, entry := range members.Entries() {
		byID[entry.ID] = entry
	}
	self := byID[s.self]
	if self == nil {
		self = &membership.Entry{ID: s.self}
	}
	var peers []*membership.Entry
	for _, id := range membership.SyncPeers(*self, members.Entries(), s.seed) {
		if entry := byID[id]; entry != nil && id != s.self {
			peers = append(peers, entry)
		}
	}
	return peers
}

func (s *stateSyncer) syncWith(ctx context.Context, peer *membership.Entry, wait time.Duration) bool {
	callCtx, cancel := context.WithTimeout(ctx, wait+syncGrace)
	defer cancel()
	listsRevision, placementRevision := s.control.syncState.revisions()
	if s.needsFullLists {
		listsRevision = 0
	}
	hostsSum := s.control.syncState.hosts.Sum()
	if s.needsFullHosts {
		hostsSum = 0
	}
	if wait == 0 {
		// This entry watches the key-value service and reads the host list itself.
		hostsSum = wire.NoHosts
	}
	response, err := s.node.Call(callCtx, peer.ID, peer.Address, &wire.Frame{Sync: &wire.Sync{
		ListsRevision:     listsRevision,
		PlacementRevision: placementRevision,
		HostsSum:          hostsSum,
		WaitMillis:        uint32(wait.Milliseconds()),
	}})
	if err != nil || response.Update == nil {
		s.metrics.Sync(metrics.ResultError, 0)
		s.logger.Debug("update request to another entry failed", "entry", peer.ID, "error", err)
		return false
	}
	s.metrics.Sync(metrics.ResultOK, len(response.Update.Lists))
	s.readsHostsDirectly.Store(wait == 0)
	s.applyUpdate(response.Update)
	if len(response.Update.Placements) > 0 && response.Update.PlacementRevision <= placementRevision {
		// The peer knows single placements beyond its revision and would return them
		// again without waiting.
		backoff.Sleep(ctx, syncDelay)
	}
	return true
}

func (s *stateSyncer) applyUpdate(update *wire.Update) {
	s.control.loop.Do(func() {
		s.control.placementsRead(time.Now(), update.PlacementRevision, update.Placements)
	})
	s.applyHosts(update.Hosts)
	if len(update.Lists) == 0 {
		return
	}
	snapshot, err := s.control.syncState.relay.DecodeUpdate(update.Lists)
	s.needsFullLists = errors.Is(err, lists.ErrMissingChunks)
	if err != nil {
		s.logger.Error("decoding relayed lists failed", "revision", update.ListsRevision, "error", err)
		return
	}
	s.control.activateLists(snapshot)
	s.metrics.ListsRevision(s.control.register.Revision())
}

func (s *stateSyncer) applyHosts(update *wire.HostUpdate) {
	if update == nil {
		return
	}
	err := s.control.syncState.applyHosts(update)
	s.needsFullHosts = errors.Is(err, hostrelay.ErrUnknownBase)
	if err != nil {
		s.logger.Debug("decoding the relayed host list failed", "error", err)
	}
}

// newSeed returns a random seed, so that the entries choose different peers.
func newSeed() uint64 { return rand.Uint64() }

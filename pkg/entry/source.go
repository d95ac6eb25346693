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
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// storeTimeout bounds one read of the key-value service.
	storeTimeout = 5 * time.Second
	// syncWait is how long a peer holds a Sync back without news.
	syncWait = 20 * time.Second
	// syncSlack is how much longer than its wait a Sync may take.
	syncSlack = 3 * time.Second
	// syncPause is the wait after an answer that didn't move the revision up to
	// which all placements are known.
	syncPause = 200 * time.Millisecond
	// memberWait is the pause while no host list has been read.
	memberWait = 200 * time.Millisecond
	// directReadInterval is the least time between two reads of the key-value
	// service by an entry that doesn't watch it.
	directReadInterval = 10 * time.Second
	// roleReview is how often an entry looks whether it should watch.
	roleReview = 15 * time.Second
)

// source keeps the entry's lists and placements up to date. A few entries of
// each failure domain watch the key-value service; the others learn from them,
// as all do while the key-value service is away.
type source struct {
	self    string
	control *control
	store   keyvalue.Store
	lists   *lists.Store
	node    *wire.Node
	metrics *metrics.Entry
	logger  *slog.Logger
	seed    uint64
	// lastDirect is when an entry that doesn't watch last read the key-value
	// service.
	lastDirect time.Time
	// wantsAll asks for the whole lists after an update that couldn't be put
	// together.
	wantsAll bool
	// wantsAllHosts is the same for the host list.
	wantsAllHosts bool
	// cutOff tells that the last Sync failed or that this entry watches, so that
	// the host list must be read directly.
	cutOff atomic.Bool
}

// run follows lists and placements until ctx ends.
func (s *source) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		members := s.control.current().members
		if len(members.Entries()) == 0 {
			backoff.Sleep(ctx, memberWait)
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

// followOnce follows the key-value service or a peer for a while. It returns
// false on failure.
func (s *source) followOnce(ctx context.Context, members *membership.Snapshot, failures int) bool {
	if s.watches(members) {
		s.cutOff.Store(true)
		if err := s.watch(ctx); err == nil {
			return true
		} else if ctx.Err() == nil {
			s.logger.Warn("key-value service unreadable", "error", err)
		}
		return s.syncAll(ctx, members)
	}
	if s.syncOne(ctx, members, failures, syncWait) {
		return true
	}
	s.cutOff.Store(true)
	s.readDirectly(ctx)
	return false
}

// watches tells whether this entry watches the key-value service and reads the
// host list for the others.
func (s *source) watches(members *membership.Snapshot) bool {
	return slices.Contains(membership.Watchers(members.Entries()), s.self)
}

// readDirectly reads the key-value service for an entry that reaches no peer.
func (s *source) readDirectly(ctx context.Context) {
	now := time.Now()
	if now.Sub(s.lastDirect) < directReadInterval {
		return
	}
	s.lastDirect = now
	if _, err := s.read(ctx); err != nil {
		s.logger.Warn("key-value service unreadable", "error", err)
	}
}

// watch reads everything and then follows changes for roleReview or until the
// watch breaks.
func (s *source) watch(ctx context.Context) error {
	revision, err := s.read(ctx)
	if err != nil {
		return err
	}
	watchCtx, cancel := context.WithTimeout(ctx, roleReview)
	defer cancel()
	results := make(chan error, 2)
	go func() { results <- s.watchPlacements(watchCtx, revision) }()
	go func() { results <- s.watchLists(watchCtx, revision) }()
	first := <-results
	cancel()
	second := <-results
	if errors.Is(first, context.DeadlineExceeded) || watchCtx.Err() == context.DeadlineExceeded {
		return nil
	}
	return errors.Join(first, second)
}

// read reads lists and placements and returns the revision from which a watch
// misses nothing.
func (s *source) read(ctx context.Context) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result, err := s.store.Range(callCtx, placement.KeyPrefix, true)
	if err != nil {
		return 0, err
	}
	placements := s.decode(result.Values)
	s.control.loop.Do(func() { s.control.placementsRead(time.Now(), result.Revision, placements) })
	if err := s.readLists(callCtx); err != nil {
		return 0, err
	}
	return result.Revision, nil
}

func (s *source) decode(values []keyvalue.KeyValue) []wire.Placement {
	placements := make([]wire.Placement, 0, len(values))
	for _, value := range values {
		decoded, err := placement.Decode(value)
		if err != nil {
			s.logger.Error("placement unreadable", "key", value.Key, "error", err)
			continue
		}
		placements = append(placements, decoded)
	}
	return placements
}

func (s *source) readLists(ctx context.Context) error {
	snapshot, err := s.lists.Get(ctx)
	var unreadable *lists.UnreadableError
	if errors.As(err, &unreadable) {
		s.control.listsUnreadable(unreadable.Revision, err)
		return nil
	}
	if err != nil {
		return err
	}
	s.control.offerLists(snapshot)
	s.metrics.ListsRevision(s.control.register.Revision())
	return nil
}

func (s *source) watchPlacements(ctx context.Context, after int64) error {
	return s.store.Watch(ctx, placement.KeyPrefix, after, func(revision int64, events []keyvalue.WatchEvent) {
		var values []keyvalue.KeyValue
		for _, event := range events {
			if !event.Deleted {
				values = append(values, event.Value)
			}
		}
		placements := s.decode(values)
		s.control.loop.Do(func() { s.control.placementsRead(time.Now(), revision, placements) })
	})
}

func (s *source) watchLists(ctx context.Context, after int64) error {
	var readErr error
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := s.store.Watch(watchCtx, s.lists.ManifestKey(), after, func(int64, []keyvalue.WatchEvent) {
		callCtx, cancelCall := context.WithTimeout(ctx, storeTimeout)
		defer cancelCall()
		if readErr = s.readLists(callCtx); readErr != nil {
			cancel()
		}
	})
	if readErr != nil {
		return readErr
	}
	return err
}

// syncAll asks all its peers at once without waiting, so that the newest
// revision among them is found, and tells whether any answered.
func (s *source) syncAll(ctx context.Context, members *membership.Snapshot) bool {
	answered := false
	peers := s.peers(members)
	for i := range peers {
		if s.syncWith(ctx, peers[i], 0) {
			answered = true
		}
	}
	if answered {
		backoff.Sleep(ctx, time.Second)
	}
	return answered
}

func (s *source) syncOne(ctx context.Context, members *membership.Snapshot, failures int, wait time.Duration) bool {
	peers := s.peers(members)
	if len(peers) == 0 {
		return false
	}
	return s.syncWith(ctx, peers[failures%len(peers)], wait)
}

func (s *source) peers(members *membership.Snapshot) []*membership.Entry {
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

func (s *source) syncWith(ctx context.Context, peer *membership.Entry, wait time.Duration) bool {
	callCtx, cancel := context.WithTimeout(ctx, wait+syncSlack)
	defer cancel()
	listsRevision, placementRevision := s.control.feed.revisions()
	if s.wantsAll {
		listsRevision = 0
	}
	hostsSum := s.control.feed.hosts.Sum()
	if s.wantsAllHosts {
		hostsSum = 0
	}
	if wait == 0 {
		// This entry watches and reads the host list itself.
		hostsSum = wire.NoHosts
	}
	answer, err := s.node.Call(callCtx, peer.ID, peer.Address, &wire.Frame{Sync: &wire.Sync{
		ListsRevision:     listsRevision,
		PlacementRevision: placementRevision,
		HostsSum:          hostsSum,
		WaitMillis:        uint32(wait.Milliseconds()),
	}})
	if err != nil || answer.Update == nil {
		s.metrics.Sync(metrics.ResultError, 0)
		s.logger.Debug("sync failed", "entry", peer.ID, "error", err)
		return false
	}
	s.metrics.Sync(metrics.ResultOK, len(answer.Update.Lists))
	s.cutOff.Store(wait == 0)
	s.take(answer.Update)
	if len(answer.Update.Placements) > 0 && answer.Update.PlacementRevision <= placementRevision {
		// The peer knows single placements ahead of all others and would answer
		// at once again.
		backoff.Sleep(ctx, syncPause)
	}
	return true
}

func (s *source) take(update *wire.Update) {
	s.control.loop.Do(func() {
		s.control.placementsRead(time.Now(), update.PlacementRevision, update.Placements)
	})
	s.takeHosts(update.Hosts)
	if len(update.Lists) == 0 {
		return
	}
	snapshot, err := s.control.feed.relay.DecodeUpdate(update.Lists)
	s.wantsAll = errors.Is(err, lists.ErrMissingChunks)
	if err != nil {
		s.logger.Error("relayed lists unreadable", "revision", update.ListsRevision, "error", err)
		return
	}
	s.control.offerLists(snapshot)
	s.metrics.ListsRevision(s.control.register.Revision())
}

func (s *source) takeHosts(update *wire.HostUpdate) {
	if update == nil {
		return
	}
	err := s.control.feed.takeHosts(update)
	s.wantsAllHosts = errors.Is(err, hostrelay.ErrUnknownBase)
	if err != nil {
		s.logger.Debug("relayed host list unreadable", "error", err)
	}
}

// newSeed spreads the entries over their peers.
func newSeed() uint64 { return rand.Uint64() }

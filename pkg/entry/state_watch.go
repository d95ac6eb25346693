package entry

import (
	"context"
	"errors"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// readDirectly reads the key-value service when the entry reaches no peer.
func (s *stateSyncer) readDirectly(ctx context.Context) {
	now := time.Now()
	if now.Sub(s.lastDirectRead) < directReadInterval {
		return
	}
	s.lastDirectRead = now
	if _, err := s.read(ctx); err != nil {
		s.logger.Warn("key-value service read failed", "error", err)
	}
}

// watch reads everything and then follows changes for watchDuration or until the
// watch fails.
func (s *stateSyncer) watch(ctx context.Context) error {
	revision, err := s.read(ctx)
	if err != nil {
		return err
	}
	watchCtx, cancel := context.WithTimeout(ctx, watchDuration)
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
// misses no change.
func (s *stateSyncer) read(ctx context.Context) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result, err := s.store.Range(callCtx, placement.KeyPrefix, true)
	if err != nil {
		return 0, err
	}
	placements := s.decodePlacements(result.Values)
	s.control.loop.Do(func() { s.control.placementsRead(time.Now(), result.Revision, placements) })
	if err := s.readLists(callCtx); err != nil {
		return 0, err
	}
	return result.Revision, nil
}

func (s *stateSyncer) decodePlacements(values []keyvalue.KeyValue) []wire.Placement {
	placements := make([]wire.Placement, 0, len(values))
	for _, value := range values {
		decoded, err := placement.Decode(value)
		if err != nil {
			s.logger.Error("placement decoding failed", "key", value.Key, "error", err)
			continue
		}
		placements = append(placements, decoded)
	}
	return placements
}

func (s *stateSyncer) readLists(ctx context.Context) error {
	snapshot, err := s.lists.Get(ctx)
	var unreadable *lists.UnreadableError
	if errors.As(err, &unreadable) {
		s.control.rejectUnreadable(unreadable.Revision, err)
		return nil
	}
	if err != nil {
		return err
	}
	s.control.activateLists(snapshot)
	s.metrics.ListsRevision(s.control.register.Revision())
	return nil
}

func (s *stateSyncer) watchPlacements(ctx context.Context, after int64) error {
	return s.store.Watch(ctx, placement.KeyPrefix, after, func(revision int64, events []keyvalue.WatchEvent) {
		var values []keyvalue.KeyValue
		for _, event := range events {
			if !event.Deleted {
				values = append(values, event.Value)
			}
		}
		placements := s.decodePlacements(values)
		s.control.loop.Do(func() { s.control.placementsRead(time.Now(), revision, placements) })
	})
}

func (s *stateSyncer) watchLists(ctx context.Context, after int64) error {
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

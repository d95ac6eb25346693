package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

const (
	// leaseTTL is how long a leader that fell silent keeps the others from taking
	// over.
	leaseTTL = 3 * time.Second
	// leaseRenewal is the time between two renewals.
	leaseRenewal = time.Second
	// electionJitter spreads the entries' tries to become leader.
	electionJitter = 200 * time.Millisecond
	// decideInterval is the time between two looks at the placement.
	decideInterval = 200 * time.Millisecond
)

// leadership makes one entry at a time decide the placement and hand out the
// starts of loads from the weight store. It only avoids that entries get in each
// other's way: the placement is written by compare-and-swap.
type leadership struct {
	self    string
	store   keyvalue.LeaseStore
	control *control
	decider *decider
	logger  *slog.Logger
}

// run takes part in elections until ctx ends.
func (l *leadership) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := l.control.changes()
		current := l.control.current()
		if current.asOf > 0 && current.leader == "" {
			l.stand(ctx)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// stand tries to become leader, and leads as long as the lease lasts.
func (l *leadership) stand(ctx context.Context) {
	backoff.Sleep(ctx, rand.N(electionJitter))
	if l.control.current().leader != "" {
		return
	}
	lease, revision, err := l.elect(ctx)
	if err != nil {
		l.logger.Info("not elected", "error", err)
		backoff.Sleep(ctx, storeRetry)
		return
	}
	l.logger.Info("leading", "revision", revision)
	l.control.loop.Do(func() { l.control.siteChanged(siteChange{leader: l.self}) })
	l.lead(ctx, lease, revision)
}

// errLedByOther tells that another entry is leader.
var errLedByOther = errors.New("another entry leads")

func (l *leadership) elect(ctx context.Context) (lease, revision int64, err error) {
	lease, err = l.store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, 0, err
	}
	const absent = 0
	result, err := l.store.Txn(ctx, []keyvalue.Compare{{Key: leaderKey, ModRevision: absent}},
		[]keyvalue.Op{{Key: leaderKey, Value: []byte(l.self), Lease: lease}})
	if err != nil {
		return 0, 0, err
	}
	if !result.Succeeded {
		return 0, 0, errLedByOther
	}
	return lease, result.Revision, nil
}

// lead decides until the lease is lost or ctx ends.
func (l *leadership) lead(ctx context.Context, lease, revision int64) {
	renewed := time.Now()
	l.decider.begin(revision)
	for ctx.Err() == nil {
		backoff.Sleep(ctx, decideInterval)
		if time.Since(renewed) >= leaseRenewal {
			err := l.store.KeepAlive(ctx, lease)
			if errors.Is(err, keyvalue.ErrLeaseEnded) {
				l.logger.Warn("leadership lost", "error", err)
				l.control.loop.Do(func() { l.control.siteChanged(siteChange{leaderGone: true}) })
				return
			}
			if err != nil {
				l.logger.Info("lease not renewed", "error", err)
			}
			renewed = time.Now()
		}
		if other := l.control.current().leader; other != "" && other != l.self {
			l.logger.Warn("leadership lost", "leader", other)
			return
		}
		l.decider.decide(ctx, time.Now())
	}
	l.resign(lease)
}

// resign ends the lease of a stopping leader, so that another one takes over at
// once.
func (l *leadership) resign(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := l.store.Revoke(ctx, lease); err != nil {
		l.logger.Info("lease not ended", "error", err)
	}
}

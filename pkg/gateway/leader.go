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
	// standInterval is the longest time between two looks at whether to stand.
	standInterval = time.Second
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
		// A key with this host's own name is left over from an earlier incarnation.
		if l.control.isRelaying() && current.asOf > 0 && (current.leader.host == "" || current.leader.host == l.self) {
			l.stand(ctx, current)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(standInterval):
		}
	}
}

// stand tries to become leader, and leads as long as the lease lasts.
func (l *leadership) stand(ctx context.Context, current *view) {
	if current.leader.host == "" {
		backoff.Sleep(ctx, rand.N(electionJitter))
		current = l.control.current()
		if current.leader.host != "" {
			return
		}
	}
	lease, revision, err := l.elect(ctx, current.leader.key)
	if err != nil {
		l.logger.Info("not elected", "error", err)
		backoff.Sleep(ctx, storeRetry)
		return
	}
	l.logger.Info("leading", "belief", "leader", "revision", revision)
	l.learn(leaderKnown{host: l.self, key: revision, at: revision})
	l.lead(ctx, lease, revision)
}

// errLedByOther tells that another entry is leader.
var errLedByOther = errors.New("another entry leads")

// elect writes the leader's key if it is still as it was at a revision; zero
// means that there was none.
func (l *leadership) elect(ctx context.Context, before int64) (lease, revision int64, err error) {
	lease, err = l.store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, 0, err
	}
	result, err := l.store.Txn(ctx, []keyvalue.Compare{{Key: leaderKey, ModRevision: before}},
		[]keyvalue.Op{{Key: leaderKey, Value: []byte(l.self), Lease: lease}})
	if err != nil {
		return 0, 0, err
	}
	if !result.Succeeded {
		l.takeLeader(result)
		return 0, 0, errLedByOther
	}
	return lease, result.Revision, nil
}

// takeLeader takes in the leader's key as it stood when an election failed.
func (l *leadership) takeLeader(result keyvalue.TxnResult) {
	for _, current := range result.Current {
		if current.Key == leaderKey && current.ModRevision > 0 {
			l.learn(leaderKnown{host: string(current.Value), key: current.ModRevision, at: current.ModRevision})
		}
	}
}

func (l *leadership) learn(known leaderKnown) {
	l.control.loop.Do(func() { l.control.siteChanged(siteChange{leader: &known}) })
}

// lead decides until the lease is lost or ctx ends.
func (l *leadership) lead(ctx context.Context, lease, revision int64) {
	renewed := time.Now()
	l.decider.begin(revision)
	for ctx.Err() == nil && l.control.isRelaying() {
		backoff.Sleep(ctx, decideInterval)
		if time.Since(renewed) >= leaseRenewal {
			err := l.store.KeepAlive(ctx, lease)
			if errors.Is(err, keyvalue.ErrLeaseEnded) {
				l.logger.Warn("leadership lost", "belief", "leader", "error", err)
				l.learn(leaderKnown{at: revision})
				return
			}
			if err != nil {
				l.logger.Info("lease not renewed", "error", err)
			}
			renewed = time.Now()
		}
		if now := l.control.current().leader; now.key != revision {
			l.logger.Warn("leadership lost", "belief", "leader", "leader", now.host)
			return
		}
		l.decider.decide(ctx, time.Now())
	}
	l.resign(lease)
}

// resignTimeout bounds the last call of a stopping leader.
const resignTimeout = time.Second

// resign ends the lease of a stopping leader, so that another one takes over at
// once.
func (l *leadership) resign(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := l.store.Revoke(ctx, lease); err != nil {
		l.logger.Info("lease not ended", "error", err)
	}
}

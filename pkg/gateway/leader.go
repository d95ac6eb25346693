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
	// leaseTTL is how long after a leader's failure its lease blocks an election.
	leaseTTL = 3 * time.Second
	// leaseRenewal is the time between two renewals of the lease.
	leaseRenewal = time.Second
	// campaignInterval is the maximum time between two checks whether to campaign.
	campaignInterval = time.Second
	// electionJitter spreads the entries' attempts to become leader.
	electionJitter = 200 * time.Millisecond
	// decideInterval is the time between two decisions.
	decideInterval = 200 * time.Millisecond
)

// leadership elects one entry that decides the placement and grants loads from the
// weight store. Safety doesn't depend on it: it only avoids conflicting decisions,
// as the placement is written by compare-and-swap.
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
		// A key with this host's own ID was written by an earlier incarnation.
		if l.control.isRelaying() && current.asOf > 0 && (current.leader.host == "" || current.leader.host == l.self) {
			l.campaign(ctx, current)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(campaignInterval):
		}
	}
}

// campaign tries to become leader, and leads as long as the lease lasts.
func (l *leadership) campaign(ctx context.Context, current *view) {
	if current.leader.host == "" {
		backoff.Sleep(ctx, rand.N(electionJitter))
		current = l.control.current()
		if current.leader.host != "" {
			return
		}
	}
	lease, revision, err := l.elect(ctx, current.leader.keyRevision)
	if err != nil {
		l.logger.Info("campaign for leadership failed", "error", err)
		backoff.Sleep(ctx, storeRetryDelay)
		return
	}
	l.logger.Info("elected leader", "belief", "leader", "revision", revision)
	l.setKnownLeader(leaderState{host: l.self, keyRevision: revision, knownAt: revision})
	l.lead(ctx, lease, revision)
}

// errOtherLeader means that another entry is leader.
var errOtherLeader = errors.New("leader key changed in the meantime, another entry may be leader")

// elect writes the leader key if its revision is still the given one; zero means
// that the key does not exist.
func (l *leadership) elect(ctx context.Context, keyRevision int64) (lease, revision int64, err error) {
	lease, err = l.store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, 0, err
	}
	result, err := l.store.Txn(ctx, []keyvalue.Compare{{Key: leaderKey, ModRevision: keyRevision}},
		[]keyvalue.Op{{Key: leaderKey, Value: []byte(l.self), Lease: lease}})
	if err != nil {
		return 0, 0, err
	}
	if !result.Succeeded {
		l.adoptLeader(result)
		return 0, 0, errOtherLeader
	}
	return lease, result.Revision, nil
}

// adoptLeader records the leader key that a failed election returned.
func (l *leadership) adoptLeader(result keyvalue.TxnResult) {
	for _, current := range result.Current {
		if current.Key == leaderKey && current.ModRevision > 0 {
			l.setKnownLeader(leaderState{host: string(current.Value), keyRevision: current.ModRevision, knownAt: current.ModRevision})
		}
	}
}

func (l *leadership) setKnownLeader(known leaderState) {
	l.control.loop.Do(func() { l.control.applySiteChange(siteChange{leader: &known}) })
}

// lead decides until the lease is lost or ctx ends.
func (l *leadership) lead(ctx context.Context, lease, revision int64) {
	renewed := time.Now()
	l.decider.startTerm(revision)
	for ctx.Err() == nil && l.control.isRelaying() {
		backoff.Sleep(ctx, decideInterval)
		if time.Since(renewed) >= leaseRenewal {
			err := l.store.KeepAlive(ctx, lease)
			if errors.Is(err, keyvalue.ErrLeaseEnded) {
				l.logger.Warn("leadership lost", "belief", "leader", "error", err)
				l.setKnownLeader(leaderState{knownAt: revision})
				return
			}
			if err != nil {
				l.logger.Info("leader lease renewal failed", "error", err)
			}
			renewed = time.Now()
		}
		if now := l.control.current().leader; now.keyRevision != revision {
			l.logger.Warn("leadership lost", "belief", "leader", "leader", now.host)
			return
		}
		l.decider.decide(ctx, time.Now())
	}
	l.resign(lease)
}

// resignTimeout limits the call that ends the lease.
const resignTimeout = time.Second

// resign revokes the lease of a stopping leader, so that another one can take over
// immediately.
func (l *leadership) resign(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := l.store.Revoke(ctx, lease); err != nil {
		l.logger.Info("leader lease revocation failed", "error", err)
	}
}

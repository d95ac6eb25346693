package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/roster"
)

const (
	// unlistedTimeout is how long this host must be missing in the host list until the entry
	// looks for its registration in the store.
	unlistedTimeout = time.Second
	// restoreJitter spreads the hosts' registrations after the store has lost them.
	restoreJitter = time.Second
)

// registrationKeeper registers this host again if the store has lost it: a store that comes
// back from a copy doesn't have the newest changes.
type registrationKeeper struct {
	store   keyvalue.Store
	secret  []byte
	host    roster.Host
	control *control
	logger  *slog.Logger
}

// run looks for the host in the host list until ctx ends.
func (k *registrationKeeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		backoff.Sleep(ctx, unlistedTimeout)
		if k.isListed() {
			continue
		}
		backoff.Sleep(ctx, rand.N(restoreJitter))
		if ctx.Err() != nil || k.isListed() {
			continue
		}
		k.restore(ctx)
	}
}

// isListed reports whether the host is in the host list, or there is none yet.
func (k *registrationKeeper) isListed() bool {
	current := k.control.current()
	_, listed := current.hosts[k.host.ID]
	return listed || current.asOf == 0
}

func (k *registrationKeeper) restore(ctx context.Context) {
	revision, restored, err := roster.Restore(ctx, k.store, k.secret, k.host)
	switch {
	case err != nil:
		k.logger.Warn("lost host not registered again", "error", err)
	case restored:
		k.logger.Warn("host registered again, the store had lost it", "belief", "site", "revision", revision)
	}
}

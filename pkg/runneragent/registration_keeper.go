package runneragent

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
	// firstRestoreDelay is how long no entry may be subscribed until the agent looks for its
	// registration in the store, maxRestoreDelay the longest time between two looks.
	firstRestoreDelay = 2 * time.Second
	maxRestoreDelay   = 8 * time.Second
)

// registrationKeeper registers this host again if the store has lost it: a store that comes
// back from a copy doesn't have the newest changes. Entries subscribe to all agents that they
// find in the store, so that no look is needed while one is subscribed.
type registrationKeeper struct {
	store      keyvalue.Store
	secret     []byte
	host       roster.Host
	controller *controller
	logger     *slog.Logger
}

// run keeps the registration until ctx ends.
func (k *registrationKeeper) run(ctx context.Context) {
	delay := firstRestoreDelay
	for ctx.Err() == nil {
		backoff.Sleep(ctx, delay/2+rand.N(delay))
		if ctx.Err() != nil {
			return
		}
		if k.controller.subscribers.count() > 0 {
			delay = firstRestoreDelay
			continue
		}
		k.restore(ctx)
		delay = min(2*delay, maxRestoreDelay)
	}
}

func (k *registrationKeeper) restore(ctx context.Context) {
	fence, restored, err := roster.Restore(ctx, k.store, k.secret, k.host)
	switch {
	case err != nil:
		k.logger.Warn("lost host not registered again", "error", err)
	case restored:
		k.controller.loop.Do(func() { k.controller.setFence(time.Now(), fence) })
		k.logger.Warn("host registered again, the store had lost it", "belief", "site", "fence", fence)
	}
}

package agent

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/engine"
)

// claimer makes this incarnation the only one that the engine listens to.
type claimer struct {
	engine       engine.Engine
	checksFences bool
	incarnation  string
	logger       *slog.Logger
}

// claimed is what a new incarnation knows of its engine.
type claimed struct {
	fence int64
	state engine.State
}

// claim takes a fencing number above all earlier ones and waits until no order
// of an earlier incarnation is under way. An engine that ignores fencing numbers
// is given time to carry out what was still on its way.
func (c *claimer) claim(ctx context.Context) (claimed, error) {
	fence, err := c.fence(ctx)
	if err != nil {
		return claimed{}, err
	}
	if !c.checksFences {
		backoff.Sleep(ctx, settleDelay)
	}
	for ctx.Err() == nil {
		state, err := c.readState(ctx)
		if err == nil && !isChanging(state) {
			return claimed{fence: fence, state: state}, nil
		}
		if err != nil {
			c.logger.Warn("engine state unreadable", "error", err)
		}
		backoff.Sleep(ctx, engineRetry)
	}
	return claimed{}, fmt.Errorf("claim the engine: %w", ctx.Err())
}

// fence orders the engine's present role under a new fencing number, so that an
// engine that checks the numbers refuses all earlier ones from then on.
func (c *claimer) fence(ctx context.Context) (int64, error) {
	for ctx.Err() == nil {
		state, err := c.readState(ctx)
		if err == nil {
			fence := max(state.Fence+1, time.Now().UnixMilli())
			err = c.engine.SetRole(ctx, engine.Order{ID: c.incarnation + "-claim", Fence: fence, Role: state.Role})
			if err == nil {
				return fence, nil
			}
		}
		c.logger.Warn("engine can't be claimed yet", "error", err)
		backoff.Sleep(ctx, engineRetry)
	}
	return 0, fmt.Errorf("claim the engine: %w", ctx.Err())
}

func (c *claimer) readState(ctx context.Context) (engine.State, error) {
	callCtx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	return c.engine.State(callCtx)
}

func isChanging(state engine.State) bool {
	for _, resident := range state.Residents {
		if resident.State == engine.StateLoading || resident.State == engine.StateUnloading {
			return true
		}
	}
	return false
}

package agent

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/engine"
)

// engineClaimer makes this incarnation the only one whose orders the engine
// accepts.
type engineClaimer struct {
	engine       engine.Engine
	checksFences bool
	incarnation  string
	logger       *slog.Logger
}

// claimResult is a new incarnation's fencing token and its engine's state.
type claimResult struct {
	fence int64
	state engine.State
}

// claim acquires a fencing token above all earlier ones and waits until no
// order of an earlier incarnation is in progress. An engine that doesn't check
// fencing tokens gets time to complete orders that are still in transit.
func (c *engineClaimer) claim(ctx context.Context) (claimResult, error) {
	fence, err := c.acquireFence(ctx)
	if err != nil {
		return claimResult{}, err
	}
	if !c.checksFences {
		backoff.Sleep(ctx, lateEffectWindow)
	}
	for ctx.Err() == nil {
		state, err := c.readState(ctx)
		if err == nil && !isChanging(state) {
			return claimResult{fence: fence, state: state}, nil
		}
		if err != nil {
			c.logger.Warn("engine state read failed", "error", err)
		}
		backoff.Sleep(ctx, engineRetryInterval)
	}
	return claimResult{}, fmt.Errorf("claim the engine: %w", ctx.Err())
}

// acquireFence sends the engine its current role with a new fencing token, so that
// an engine that checks tokens refuses all earlier ones from then on.
func (c *engineClaimer) acquireFence(ctx context.Context) (int64, error) {
	for ctx.Err() == nil {
		state, err := c.readState(ctx)
		if err == nil {
			fence := max(state.Fence+1, time.Now().UnixMilli())
			err = c.engine.SetRole(ctx, engine.Order{ID: c.incarnation + "-claim", Fence: fence, Role: state.Role})
			if err == nil {
				return fence, nil
			}
		}
		c.logger.Warn("engine claim failed, retrying", "error", err)
		backoff.Sleep(ctx, engineRetryInterval)
	}
	return 0, fmt.Errorf("claim the engine: %w", ctx.Err())
}

func (c *engineClaimer) readState(ctx context.Context) (engine.State, error) {
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

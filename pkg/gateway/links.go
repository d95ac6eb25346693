package gateway

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// linkRetry is the pause before a broken stream to an agent is opened again. It
	// doubles up to maxLinkRetry while nothing is heard.
	linkRetry    = 300 * time.Millisecond
	maxLinkRetry = 1200 * time.Millisecond
	// linkSilence is the time without a status after which a stream counts as
	// broken.
	linkSilence = 2500 * time.Millisecond
	// linkTimeout bounds the opening of a stream.
	linkTimeout = time.Second
)

// links keep a stream of statuses open to each agent that this entry follows
// itself, and tell these agents of the placement. They are used by one goroutine.
type links struct {
	self    string
	node    *wire.Node
	control *control
	logger  *slog.Logger
	open    map[string]*link
	wait    sync.WaitGroup
}

// link is the stream to one agent.
type link struct {
	host   roster.Host
	from   *source
	cancel context.CancelFunc
}

// follow opens and closes links so that the given agents are followed.
func (l *links) follow(ctx context.Context, agents map[string]roster.Host) {
	for id, open := range l.open {
		if host, ok := agents[id]; !ok || host.Revision != open.host.Revision {
			open.cancel()
			delete(l.open, id)
		}
	}
	for id, host := range agents {
		if l.open[id] != nil {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		opened := &link{host: host, from: &source{}, cancel: cancel}
		l.open[id] = opened
		l.wait.Go(func() { l.keep(linkCtx, opened) })
	}
}

// keep holds a stream to an agent open until ctx ends.
func (l *links) keep(ctx context.Context, k *link) {
	known := true
	pause := linkRetry
	for ctx.Err() == nil {
		heard, err := l.listen(ctx, k)
		if ctx.Err() != nil {
			// The agent is followed in another way from now on, or not at all.
			return
		}
		l.control.loop.Do(func() { l.control.agentLost(k.host.ID, k.from) })
		if heard {
			known = true
			pause = linkRetry
		}
		if known {
			l.logger.Warn("agent lost", "belief", "agent:"+k.host.ID, "agent", k.host.ID, "error", err)
		}
		known = false
		l.node.Retire(k.host.ID)
		backoff.Sleep(ctx, pause)
		pause = min(2*pause, maxLinkRetry)
	}
}

// listen opens a stream and takes statuses in until it breaks. It tells whether
// the agent was heard.
func (l *links) listen(ctx context.Context, k *link) (heard bool, err error) {
	openCtx, cancel := context.WithTimeout(ctx, linkTimeout)
	stream, err := l.node.Open(openCtx, k.host.ID, k.host.InternalAddress)
	cancel()
	if err != nil {
		return false, err
	}
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	if err := stream.Send(&wire.Frame{Subscribe: &wire.Subscribe{Entry: l.self}}); err != nil {
		return false, err
	}
	ended := make(chan struct{})
	var plans sync.WaitGroup
	plans.Go(func() { l.sendPlans(stream, k.host, ended) })
	defer plans.Wait()
	defer close(ended)
	return l.takeStatuses(stream, k)
}

func (l *links) takeStatuses(stream *wire.Stream, k *link) (heard bool, err error) {
	for {
		stream.SetReadDeadline(time.Now().Add(linkSilence))
		frame, err := stream.Receive()
		if err != nil {
			return heard, err
		}
		if frame.RunnerStatus == nil {
			continue
		}
		heard = true
		l.control.loop.Do(func() { l.control.agentSaid(time.Now(), k.from, k.host.ID, frame.RunnerStatus) })
	}
}

// sendPlans sends the agent its part of the placement and each change of it.
func (l *links) sendPlans(stream *wire.Stream, host roster.Host, ended <-chan struct{}) {
	var last *wire.RunnerPlacement
	for {
		changed := l.control.changes()
		current := l.control.current()
		plan := current.planFor(host)
		if plan != nil && isNews(plan, last, current.agents[host.ID]) {
			if err := stream.Send(&wire.Frame{RunnerPlacement: withoutKnown(plan, last)}); err != nil {
				return
			}
			last = plan
		}
		select {
		case <-ended:
			return
		case <-changed:
		}
	}
}

// withoutKnown leaves out the engine if it was sent before.
func withoutKnown(plan, last *wire.RunnerPlacement) *wire.RunnerPlacement {
	if last == nil || last.Engine != plan.Engine {
		return plan
	}
	shorter := *plan
	shorter.Engine = nil
	return &shorter
}

// isNews tells whether an agent needs a plan: it decides something else than the
// last one, or the agent has not taken that one because it was not known to be new
// enough.
func isNews(plan, last *wire.RunnerPlacement, state *agentState) bool {
	if last == nil {
		return true
	}
	if plan.Instance != last.Instance || plan.StartedAtMillis != last.StartedAtMillis || plan.Engine != last.Engine ||
		(plan.Revision > 0) != (last.Revision > 0) || !slices.EqualFunc(plan.Permits, last.Permits, samePermit) {
		return true
	}
	ignored := state != nil && state.Status != nil && state.Status.PlacementRevision < last.Revision
	return ignored && plan.AsOf > last.AsOf
}

// samePermit tells whether two permits differ at most in the demand that they tell.
func samePermit(a, b wire.ModelPermit) bool {
	a.Rate, b.Rate = 0, 0
	return a == b
}

// startLoad gives an agent leave to load a model from the weight store.
func (l *links) startLoad(ctx context.Context, host, inner, model string) {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	stream, err := l.node.Open(ctx, host, inner)
	if err == nil {
		err = stream.Send(&wire.Frame{StartLoad: &wire.StartLoad{Model: model}})
		stream.Close()
	}
	if err != nil {
		l.logger.Warn("leave to load not sent", "agent", host, "model", model, "error", err)
	}
}

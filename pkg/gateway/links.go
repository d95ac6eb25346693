package gateway

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/keys"
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

// links keep a stream of statuses open to each agent and tell the agents of the
// placement.
type links struct {
	self    string
	node    *wire.Node
	control *control
	logger  *slog.Logger

	mu   sync.Mutex
	open map[string]*link
	wait sync.WaitGroup
}

// link is the stream to one agent.
type link struct {
	host   roster.Host
	cancel context.CancelFunc

	mu sync.Mutex
	// stream is nil while none is open.
	stream *wire.Stream
}

// run opens and closes links as hosts come and go, until ctx ends.
func (l *links) run(ctx context.Context) {
	defer l.wait.Wait()
	for ctx.Err() == nil {
		changed := l.control.changes()
		l.reconcile(ctx, l.control.current())
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (l *links) reconcile(ctx context.Context, current *view) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, open := range l.open {
		if host, ok := current.hosts[id]; !ok || host.Revision != open.host.Revision {
			open.cancel()
			delete(l.open, id)
		}
	}
	for id, host := range current.hosts {
		if host.Role != keys.RoleAgent || l.open[id] != nil {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		opened := &link{host: host, cancel: cancel}
		l.open[id] = opened
		l.wait.Go(func() { l.keep(linkCtx, opened) })
	}
}

// keep holds a stream to an agent open until ctx ends.
func (l *links) keep(ctx context.Context, k *link) {
	known := true
	pause := linkRetry
	for ctx.Err() == nil {
		heard, err := l.follow(ctx, k)
		l.control.loop.Do(func() { l.control.agentLost(k.host.ID) })
		if ctx.Err() != nil {
			return
		}
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

// follow opens a stream and takes statuses in until it breaks. It tells whether
// the agent was heard.
func (l *links) follow(ctx context.Context, k *link) (heard bool, err error) {
	openCtx, cancel := context.WithTimeout(ctx, linkTimeout)
	stream, err := l.node.Open(openCtx, k.host.ID, k.host.Inner)
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
	k.set(stream)
	defer k.set(nil)
	ended := make(chan struct{})
	var plans sync.WaitGroup
	plans.Go(func() { l.sendPlans(stream, k.host, ended) })
	defer plans.Wait()
	defer close(ended)
	return l.takeStatuses(stream, k.host)
}

func (k *link) set(stream *wire.Stream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stream = stream
}

func (l *links) takeStatuses(stream *wire.Stream, host roster.Host) (heard bool, err error) {
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
		l.control.loop.Do(func() { l.control.agentSaid(time.Now(), host.ID, frame.RunnerStatus) })
	}
}

// sendPlans sends the agent its part of the placement and each change of it.
func (l *links) sendPlans(stream *wire.Stream, host roster.Host, ended <-chan struct{}) {
	var last *wire.RunnerPlan
	for {
		changed := l.control.changes()
		current := l.control.current()
		plan := current.planFor(host)
		if plan != nil && isNews(plan, last, current.agents[host.ID]) {
			if err := stream.Send(&wire.Frame{RunnerPlan: plan}); err != nil {
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

// isNews tells whether an agent needs a plan: it differs from the last one, or
// the agent has not taken that one because it was not known to be new enough.
func isNews(plan, last *wire.RunnerPlan, state *agentState) bool {
	if last == nil {
		return true
	}
	if plan.Revision != last.Revision || plan.Instance != last.Instance || plan.BornMillis != last.BornMillis ||
		plan.Slots != last.Slots || plan.MiB != last.MiB || plan.AdapterSlots != last.AdapterSlots ||
		!slices.Equal(plan.Models, last.Models) {
		return true
	}
	ignored := state != nil && state.status != nil && state.status.PlanRevision != plan.Revision
	return ignored && plan.AsOf > last.AsOf
}

// startLoad gives an agent leave to load a model from the weight store.
func (l *links) startLoad(host, model string) bool {
	l.mu.Lock()
	k := l.open[host]
	l.mu.Unlock()
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stream == nil {
		return false
	}
	return k.stream.Send(&wire.Frame{StartLoad: &wire.StartLoad{Model: model}}) == nil
}

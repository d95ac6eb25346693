package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/quarantine"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// keepersPerReport is the number of other entries that keep an entry's reports of
	// crashes, so that these survive it, and keepersTried how many are tried.
	keepersPerReport = 2
	keepersTried     = 4
	// keeperLabel separates the choice of keepers from other choices among the entries.
	keeperLabel = "keeper "
	// maxPeersAsked is the number of entries that an entry asks for blocks at its start,
	// enoughAnswers that of the answers that it waits for, queryTimeout the limit of it.
	maxPeersAsked = 5
	enoughAnswers = 2
	queryTimeout  = 400 * time.Millisecond
	// startupTimeout is how long after the start of the process requests wait for blocks;
	// each one at most its own timeout divided by configurationTimeoutDivisor.
	startupTimeout = time.Second
)

// startup is what an entry waits for at its start: the blocks of other entries.
type startup struct {
	until time.Time
	// learned is closed once the blocks are known or won't be.
	learned chan struct{}
}

func newStartup(now time.Time) *startup {
	return &startup{until: now.Add(startupTimeout), learned: make(chan struct{})}
}

// awaitBlocks delays a request to an entry that has just started until the blocks are known
// or a timeout has passed.
func (c *quarantineClient) awaitBlocks(ctx context.Context, callerTimeout time.Duration) {
	if c.startup == nil {
		return
	}
	wait := time.Until(c.startup.until)
	if callerTimeout > 0 {
		wait = min(wait, callerTimeout/configurationTimeoutDivisor)
	}
	if wait <= 0 {
		return
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-c.startup.learned:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// learnBlocks asks other entries which requests they refuse, once they are known.
func (c *quarantineClient) learnBlocks(ctx context.Context, node *wire.Node) {
	defer close(c.startup.learned)
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, c.startup.until)
	defer cancel()
	c.awaitHosts(ctx)
	peers := c.otherEntries()
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	peers = peers[:min(len(peers), maxPeersAsked)]
	ctx, cancelQueries := context.WithTimeout(ctx, queryTimeout)
	defer cancelQueries()
	answers := make(chan *wire.BlockAnswer, len(peers))
	for _, peer := range peers {
		go func() { answers <- c.queryBlocks(ctx, node, peer) }()
	}
	answered, blocks := 0, 0
	for range peers {
		answer := <-answers
		if answer == nil {
			continue
		}
		now := time.Now()
		learned := c.list.Learn(now, wire.DecodeBlocks(now, answer.Blocks, answer.Kept))
		c.logListChanges(learned)
		blocks += len(learned)
		if answer.Starting {
			continue
		}
		answered++
		if answered == enoughAnswers {
			break
		}
	}
	c.logger.Info("blocks asked for at other entries", "asked", len(peers), "answered", answered, "blocks", blocks,
		"took_ms", time.Since(began).Milliseconds())
}

// isStarting reports whether this entry hasn't learned the blocks of others yet.
func (c *quarantineClient) isStarting() bool {
	if c.startup == nil {
		return false
	}
	select {
	case <-c.startup.learned:
		return false
	default:
		return true
	}
}

// awaitHosts waits until the site's hosts are known.
func (c *quarantineClient) awaitHosts(ctx context.Context) {
	for {
		changed := c.control.changes()
		if len(c.control.current().hosts) > 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// queryBlocks returns an entry's blocks; nil if it doesn't answer.
func (c *quarantineClient) queryBlocks(ctx context.Context, node *wire.Node, peer roster.Host) *wire.BlockAnswer {
	frame, err := node.Call(ctx, peer.ID, peer.InternalAddress, &wire.Frame{BlockQuery: &wire.BlockQuery{}})
	if err != nil {
		c.logger.Info("entry didn't say which requests it refuses", "entry", peer.ID, "error", err)
		return nil
	}
	return frame.BlockAnswer
}

// otherEntries returns the site's other entries.
func (c *quarantineClient) otherEntries() []roster.Host {
	var entries []roster.Host
	for id, host := range c.control.current().hosts {
		if host.Role == keys.RoleEntry && id != c.self {
			entries = append(entries, host)
		}
	}
	return entries
}

// answerQuery answers another entry's query.
func (c *quarantineClient) answerQuery(now time.Time, stream *wire.Stream) {
	answer := &wire.BlockAnswer{Starting: c.isStarting()}
	c.update(now)
	answer.Blocks, answer.Kept = wire.EncodeBlocks(now, c.list.All())
	if err := stream.Send(&wire.Frame{BlockAnswer: answer}); err != nil {
		c.logger.Info("blocks not given to another entry", "error", err)
	}
}

// giveToKeepers has other entries keep a report, in case this one is lost.
func (c *quarantineClient) giveToKeepers(service string, crash *quarantine.Crash) {
	node := c.node.Load()
	if node == nil {
		return
	}
	ranked := c.keepers()
	for first := range min(len(ranked), keepersPerReport) {
		go func() {
			for i := first; i < len(ranked); i += keepersPerReport {
				host := ranked[i]
				frame := &wire.Frame{CrashReport: c.encodeCrash(time.Now(), service, crash)}
				err := confirm(node, host.ID, host.InternalAddress, frame)
				if err == nil {
					return
				}
				c.logger.Info("report of a crash not kept at another entry", "entry", host.ID, "service", service, "error", err)
			}
		}()
	}
}

// keepers returns the entries that keep this one's evidence, the first ones first.
func (c *quarantineClient) keepers() []roster.Host {
	hosts := make(map[string]roster.Host)
	var ids []string
	for _, host := range c.otherEntries() {
		hosts[host.ID] = host
		ids = append(ids, host.ID)
	}
	ranked := membership.RendezvousRank(keeperLabel+c.self, ids)
	var keepers []roster.Host
	for _, id := range ranked[:min(len(ranked), keepersTried)] {
		keepers = append(keepers, hosts[id])
	}
	return keepers
}

// giveStartsToKeepers has other entries keep starts too, so that the crashes that they keep
// aren't taken for later than these.
func (c *quarantineClient) giveStartsToKeepers(service string, starts []quarantine.Start) {
	node := c.node.Load()
	if node == nil {
		return
	}
	keepers := c.keepers()
	for _, host := range keepers[:min(len(keepers), keepersPerReport)] {
		go func() {
			frame := &wire.Frame{StartReport: &wire.StartReport{Service: service, Starts: encodeStarts(time.Now(), starts)}}
			if err := confirm(node, host.ID, host.InternalAddress, frame); err != nil {
				c.logger.Info("starts not kept at another entry", "entry", host.ID, "service", service, "error", err)
			}
		}()
	}
}

// keepStartsForPeer keeps another entry's starts.
func (c *quarantineClient) keepStartsForPeer(now time.Time, report *wire.StartReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.RecordStarts(report.Service, wire.DecodeStarts(now, report.Starts))
}

// keepForPeer keeps another entry's report.
func (c *quarantineClient) keepForPeer(now time.Time, report *wire.CrashReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.memory.RecordForeignCrash(now, report.Service, report.Decode(now)) {
		c.logger.Warn("report of a crash not kept, too many services", "service", report.Service)
	}
}

package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const testService = "desk"

// limitedSite is a group of entries with one plain server that names a limit.
type limitedSite struct {
	t         *testing.T
	exchanges map[string]*exchange
	nodes     map[string]*wire.Node
}

// newLimitedSite starts the nodes of entries that all know each other.
func newLimitedSite(t *testing.T, ids ...string) *limitedSite {
	t.Helper()
	store := keyvaluetest.NewStore(1)
	secret, err := roster.Secret(t.Context(), store, store, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	site := &limitedSite{t: t, exchanges: map[string]*exchange{}, nodes: map[string]*wire.Node{}}
	var hosts []roster.Host
	for _, id := range ids {
		c := newTestControl(time.Now())
		c.registry.Put(time.Now(), fleet.Backend{ID: "p-1", Service: testService, Address: "addr-p-1", StartedAtMillis: 1})
		x := newLeaseExchange(t, 0, c, nil)
		x.service, x.caller.Model = testService, ""
		x.handler.limiters = newLimiterClient(id, c)
		handler := &peerServer{relay: &relayServer{control: c}, limiter: x.handler.limiters.server, logger: discardLogger()}
		node := newNode(t, secret, id, keys.RoleEntry, keys.RoleEntry, handler)
		x.handler.node.Store(node)
		site.exchanges[id], site.nodes[id] = x, node
		hosts = append(hosts, roster.Host{ID: id, Role: keys.RoleEntry, InternalAddress: node.Address()})
	}
	for _, x := range site.exchanges {
		x.handler.control.applySiteChange(siteChange{asOf: 11, hosts: hosts})
	}
	return site
}

// server returns the plain server as an entry knows it.
func (s *limitedSite) server(id string) *server {
	return s.exchanges[id].handler.control.current().servers[testService][0]
}

// name has the server name a limit in a response to an entry.
func (s *limitedSite) name(id string, limit ratelimit.Limit) {
	x := s.exchanges[id]
	x.recordLimit(time.Now(), s.server(id), &forward.Response{Status: http.StatusOK, Info: forward.ResponseInfo{Limit: limit}})
}

// takeFor has all entries take rate tokens for some time, and returns how many they
// got.
func (s *limitedSite) takeFor(duration time.Duration) int {
	var mu sync.Mutex
	var wait sync.WaitGroup
	taken := 0
	end := time.Now().Add(duration)
	for id, x := range s.exchanges {
		wait.Go(func() {
			for time.Now().Before(end) {
				granted, result := x.acquireRateToken(s.t.Context(), s.server(id))
				if result == leaseAcquired {
					mu.Lock()
					taken++
					mu.Unlock()
				}
				granted.release(false, 0)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return taken
}

func TestEntriesShareRateTokensOfServer(t *testing.T) {
	site := newLimitedSite(t, "front-1", "front-2", "front-3", "front-4")
	for id := range site.exchanges {
		site.name(id, ratelimit.PerSecond(10))
	}
	if got := site.takeFor(2 * time.Second); got < 10 || got > 24 {
		t.Errorf("%d tokens in 2 s at 10 a second", got)
	}
}

func TestServerWithoutLimitNeedsNoRateToken(t *testing.T) {
	site := newLimitedSite(t, "front-1", "front-2")
	if granted, result := site.exchanges["front-1"].acquireRateToken(t.Context(), site.server("front-1")); granted != nil || result != leaseAcquired {
		t.Errorf("got %v, result %d", granted, result)
	}
}

// Guards against two limiters that both issue the whole limit.
func TestSecondLimiterIssuesPartOfLimit(t *testing.T) {
	site := newLimitedSite(t, "front-1", "front-2", "front-3")
	first := limiterEntries(site.exchanges["front-1"].handler.control.current().hosts, "p-1")[0].ID
	site.nodes[first].Close()
	delete(site.exchanges, first)
	for id := range site.exchanges {
		site.name(id, ratelimit.PerSecond(20))
	}
	if got := site.takeFor(2 * time.Second); got < 8 || got > 20 {
		t.Errorf("%d tokens in 2 s at 20 a second from the second limiter, want about 16", got)
	}
}

func TestLimitedServerIsNotUsedWithoutLimiter(t *testing.T) {
	site := newLimitedSite(t, "front-1", "front-2", "front-3")
	x := site.exchanges["front-1"]
	site.name("front-1", ratelimit.PerSecond(10))
	x.handler.node.Store(nil)
	granted, result := x.acquireRateToken(t.Context(), site.server("front-1"))
	if granted != nil || result != leaseDelayed {
		t.Errorf("got %v, result %d", granted, result)
	}
	if x.handler.gate.AcceptsRequests(time.Now(), site.server("front-1").incarnation()) {
		t.Error("the server accepts requests")
	}
}

// TestReportedEndOfLimitReachesOtherEntries has one entry find out that the limit has
// ended.
func TestReportedEndOfLimitReachesOtherEntries(t *testing.T) {
	site := newLimitedSite(t, "front-1", "front-2")
	for id := range site.exchanges {
		site.name(id, ratelimit.PerSecond(20))
	}
	x := site.exchanges["front-1"]
	var granted *lease
	for result := leaseDelayed; result != leaseAcquired; time.Sleep(10 * time.Millisecond) {
		granted, result = x.acquireRateToken(t.Context(), site.server("front-1"))
	}
	x.reportLimit(site.server("front-1"), granted, &forward.Response{})
	granted.release(false, 0)
	// The report arrives a moment after the end of the request.
	time.Sleep(100 * time.Millisecond)
	delete(site.exchanges, "front-1")
	if got := site.takeFor(time.Second); got < 40 {
		t.Errorf("%d tokens in a second after the end of the limit", got)
	}
}

func TestEntriesAgreeOnLimiters(t *testing.T) {
	hosts := map[string]roster.Host{}
	for _, id := range []string{"a", "b", "c", "d"} {
		hosts[id] = roster.Host{ID: id, Role: keys.RoleEntry}
	}
	hosts["agent"] = roster.Host{ID: "agent", Role: keys.RoleAgent}
	chosen := map[string]bool{}
	for _, server := range []string{"p-1", "p-2", "p-3", "p-4", "p-5", "p-6"} {
		ranked := limiterEntries(hosts, server)
		if len(ranked) != limitersPerServer || ranked[0].ID == ranked[1].ID || ranked[0].Role != keys.RoleEntry {
			t.Fatalf("limiters %+v", ranked)
		}
		chosen[ranked[0].ID] = true
	}
	if len(chosen) < 2 {
		t.Errorf("all servers have the same limiter: %v", chosen)
	}
	if got := limiterEntries(nil, "p-1"); len(got) != 0 {
		t.Errorf("limiters %+v without hosts", got)
	}
}

// Guards against a runner whose limit is ignored because its agent doesn't respond.
func TestRunnerWithLimitAndWithoutAgentNeedsRateToken(t *testing.T) {
	status := statusOf(0, wire.RunnerModel{State: wire.ModelLoaded})
	status.Limited, status.LimitPerSecond = true, 2
	c := newTestControl(time.Now(), testRunner{id: "a", permitted: true, disconnected: true, status: status})
	x := newLeaseExchange(t, 0, c, nil)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	x.deadline = time.Now().Add(time.Second)
	if _, _, ok := x.acquireServer(ctx); ok {
		t.Error("sent without a lease or a rate token")
	}
	if x.retryAfter <= 0 {
		t.Error("refused without a retry delay")
	}
}

func TestServersWithoutLimitAreChosenFirst(t *testing.T) {
	now := time.Now()
	c := newTestControl(now)
	for _, id := range []string{"p-1", "p-2"} {
		c.registry.Put(now, fleet.Backend{ID: id, Service: testService, Address: "addr-" + id, StartedAtMillis: 1})
	}
	c.publish()
	sel := selectionAt(now, c, backends.NewTracker())
	sel.service, sel.model = testService, ""
	limited := c.current().servers[testService][0]
	sel.limits.Observe(limited.incarnation(), ratelimit.Observation{Limit: ratelimit.PerSecond(2), SentAt: now, ReceivedAt: now})
	if got := sel.choose(); got == nil || got.ID == limited.ID {
		t.Errorf("chose %v", got)
	}
	sel.now = now.Add(limitRecheckInterval)
	if got := sel.choose(); got == nil || got.ID != limited.ID {
		t.Errorf("chose %v though it is time to find out whether the limit holds", got)
	}
}

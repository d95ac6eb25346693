package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
	"teaselgauge.example/teaselgauge/pkg/quota"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// quotaSite is a group of entries with one organisation.
type quotaSite struct {
	t            *testing.T
	organisation *fleet.Organisation
	exchanges    map[string]*exchange
	nodes        map[string]*wire.Node
}

// newQuotaSite starts the nodes of entries that all know each other.
func newQuotaSite(t *testing.T, limit fleet.Quota, ids ...string) *quotaSite {
	t.Helper()
	store := keyvaluetest.NewStore(1)
	secret, err := roster.Secret(t.Context(), store, store, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	site := &quotaSite{t: t, organisation: &fleet.Organisation{Name: "ink", Quota: limit}, exchanges: map[string]*exchange{}, nodes: map[string]*wire.Node{}}
	var hosts []roster.Host
	for _, id := range ids {
		c := newTestControl(time.Now())
		x := newLeaseExchange(t, 0, c, nil)
		x.organisation = site.organisation
		h := x.handler
		h.quotas = newQuotaClient(id, time.Now(), quota.Bounds{Window: 8 * time.Second, Over: 0.1}, c, &h.node, newObserver(discardLogger(), h.observer.metrics))
		node := newNode(t, secret, id, keys.RoleEntry, keys.RoleEntry, &peerServer{quotas: h.quotas.server, logger: discardLogger()})
		h.node.Store(node)
		site.exchanges[id], site.nodes[id] = x, node
		hosts = append(hosts, roster.Host{ID: id, Role: keys.RoleEntry, InternalAddress: node.Address()})
	}
	for _, x := range site.exchanges {
		x.handler.control.applySiteChange(siteChange{asOf: 11, hosts: hosts})
	}
	return site
}

// owner returns the entry that is asked first.
func (s *quotaSite) owner() string {
	for _, x := range s.exchanges {
		_, ranked := x.handler.quotas.rankedEntries(s.organisation.Name)
		return ranked[0]
	}
	return ""
}

// chargeFor has all entries charge requests for some time. It returns how many were
// charged, and the last refusal.
func (s *quotaSite) chargeFor(duration time.Duration) (charged int, last *refusal) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	end := time.Now().Add(duration)
	for _, x := range s.exchanges {
		wait.Go(func() {
			for time.Now().Before(end) {
				failure := x.chargeQuota(s.t.Context(), 1)
				mu.Lock()
				if failure == nil {
					charged++
				} else {
					last = failure
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return charged, last
}

// Guards against entries that each allow the whole limit.
func TestEntriesShareQuota(t *testing.T) {
	site := newQuotaSite(t, fleet.Quota{PerSecond: 40, Burst: 10}, "front-1", "front-2", "front-3", "front-4")
	charged, last := site.chargeFor(2 * time.Second)
	if charged < 40 || charged > 90 {
		t.Errorf("%d requests in 2 s at 40 a second", charged)
	}
	if last == nil || last.status != http.StatusTooManyRequests || last.retryAfter <= 0 || last.retryAfter > 4*time.Second {
		t.Errorf("last refusal %+v", last)
	}
}

// Guards against refusals when the owner of a quota is gone.
func TestSubstituteIssuesCredit(t *testing.T) {
	site := newQuotaSite(t, fleet.Quota{PerSecond: 400, Burst: 100}, "front-1", "front-2", "front-3")
	site.chargeFor(time.Second)
	owner := site.owner()
	site.nodes[owner].Close()
	delete(site.exchanges, owner)
	if charged, last := site.chargeFor(2 * time.Second); charged < 120 {
		t.Errorf("%d requests charged in 2 s without the owner, last refusal %+v", charged, last)
	}
}

func TestChargeIsGivenBackIfRequestHasNotRun(t *testing.T) {
	for _, test := range []struct {
		outcome outcome
		again   bool
	}{{outcomeNotRun, true}, {outcomeCallerLeft, true}, {outcomeCompleted, false}, {outcomeUnknown, false}, {outcomeBroken, false}} {
		site := newQuotaSite(t, fleet.Quota{PerSecond: 0.1, Burst: 1}, "front-1")
		x := site.exchanges["front-1"]
		owner := x.handler.quotas.server.owner
		owner.Own(time.Now().Add(-time.Minute), "ink", quota.LimitOf(site.organisation.Quota, x.handler.quotas.server.bounds))
		if failure := x.chargeQuota(t.Context(), 1); failure != nil {
			t.Fatalf("%s: first request refused: %+v", test.outcome, failure)
		}
		x.result.outcome = test.outcome
		x.returnQuota(time.Now())
		if got := x.chargeQuota(t.Context(), 1) == nil; got != test.again {
			t.Errorf("%s: another request charged: %v, want %v", test.outcome, got, test.again)
		}
	}
}

func TestRequestWithoutQuotaIsNotCharged(t *testing.T) {
	site := newQuotaSite(t, fleet.Quota{}, "front-1")
	x := site.exchanges["front-1"]
	x.handler.quotas = nil
	for _, organisation := range []*fleet.Organisation{nil, site.organisation} {
		x.organisation = organisation
		if failure := x.chargeQuota(t.Context(), 1); failure != nil {
			t.Errorf("refused: %+v", failure)
		}
	}
}

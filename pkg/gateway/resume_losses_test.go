package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Guards against broken streams that are refused where new ones begin: at runners whose agents
// don't respond, of a service with a single version.
func TestStreamOfOnlyVersionGoesOnWhileNoAgentResponds(t *testing.T) {
	loaded := wire.RunnerModel{State: wire.ModelLoaded}
	c := newTestControl(time.Now(),
		testRunner{id: "a", software: "v1", loaded: true, permitted: true, status: statusOf(0, loaded), disconnected: true},
		testRunner{id: "b", software: "v1", loaded: true, permitted: true, status: statusOf(0, loaded), disconnected: true})
	x := newResumingExchange(t, c, nil)
	if x.selection(time.Now()).choose() == nil {
		t.Fatal("no server for a new stream")
	}
	if !x.resumeStream(t.Context()) || x.software != "v1" {
		t.Fatalf("software %q, ended as %+v", x.software, x.result)
	}
	if x.selection(time.Now()).choose() == nil {
		t.Error("no server for the rest of a stream")
	}
}

// Guards against an attempt without an event, of which the end was not reported, that counts
// more than a later one whose runner has no copy of the model any more.
func TestLaterAttemptAtAgentWithoutTheModelCounts(t *testing.T) {
	for _, confirmed := range []bool{false, true} {
		c := newTestControl(time.Now(), versionedRunner("a", "v1"), versionedRunner("b", "v2"),
			testRunner{id: "emptied", software: "v2", status: &wire.RunnerStatus{Slots: 10}})
		x := newResumingExchange(t, c, map[string]*originAgent{
			"a": newOriginAgent(originOf("v1", 1, false)), "b": newOriginAgent(nil), "emptied": newOriginAgent(originOf("v2", 2, confirmed)),
		})
		x.lookUpOrigin(t.Context())
		if !x.resumeStream(t.Context()) || x.software != "v2" {
			t.Errorf("confirmed %t: software %q, ended as %+v", confirmed, x.software, x.result)
		}
	}
}

// Guards against a join at a server of a version whose registration names none before.
func TestStreamOfServerWithoutVersionIsNotJoined(t *testing.T) {
	site := startVersionedSite(t, streamRoute, []string{"", "v2"}, breakOnce)
	checkNotComplete(t, site.call(t, "HTTP/1.1", false), events(1, 3))
	checkServers(t, site, "p-1")
}

// Guards against streams of servers without agents that only the entry which served them can
// continue.
func TestStreamOfPlainServiceGoesOnAtAnotherEntry(t *testing.T) {
	now := time.Now()
	c := newTestControl(now, versionedRunner("a", "v1"))
	route := fleet.Route{
		Name: "r-1", Host: "desk.example", PathPrefix: "/", Kind: fleet.Streaming, Resumable: true, MaxAttempts: 1, Timeout: 5 * time.Second,
		Destinations: []fleet.Destination{{Service: testService, Weight: 1}},
	}
	c.applyConfiguration(&fleet.Configuration{Version: 2, Routes: []fleet.Route{route}, Services: []fleet.Service{{Name: testService}}})
	for _, version := range []string{"v1", "v2", "v1", "v2"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		backend := &rawBackend{listener: listener, respond: func(_ *rawBackend, conn *net.TCPConn, request *http.Request) {
			writeVersionedStream(conn, request, version)
		}}
		backend.serving.Go(backend.serve)
		t.Cleanup(func() {
			backend.end()
			backend.serving.Wait()
		})
		c.registry.Put(now, fleet.Backend{ID: "i-" + listener.Addr().String(), Service: testService, Address: listener.Addr().String(), Software: version, StartedAtMillis: 1})
	}
	recordVersions(c)
	first, second := newEndHandler(t, c), newEndHandler(t, c)
	first.headerCodec, second.headerCodec = resumeCodec{}, resumeCodec{}
	begun := (&resumeSite{address: serveHandler(t, first)}).get(t, "first")
	rest := (&resumeSite{address: serveHandler(t, second)}).get(t, "second", "Last-Event-Id: 2", "X-Resumes: first")
	if rest.status != http.StatusOK || len(versionsIn(begun.body+rest.body)) != 1 {
		t.Errorf("stream %q goes on with %s", begun.body, rest)
	}
}

// Guards against a history of versions that can never be written again since its value is
// unreadable.
func TestUnreadableVersionHistoryIsReplaced(t *testing.T) {
	store := newStore(t)
	if _, err := store.Txn(t.Context(), nil, []keyvalue.Op{{Key: historyKey, Value: []byte("{")}}); err != nil {
		t.Fatal(err)
	}
	entry := startContender(t, store, "front-1")
	defer entry.stop()
	registerVersion(entry.control, "v1")
	awaitRecent(t, entry.control, "v1")
}

// Guards against a deleted history that is never written again.
func TestDeletedVersionHistoryIsReplaced(t *testing.T) {
	store := newStore(t)
	entry := startContender(t, store, "front-1")
	defer entry.stop()
	registerVersion(entry.control, "v1")
	awaitRecent(t, entry.control, "v1")
	if _, err := store.Txn(t.Context(), nil, []keyvalue.Op{{Key: historyKey, Delete: true}}); err != nil {
		t.Fatal(err)
	}
	registerVersion(entry.control, "v2")
	awaitWritten(t, store, "v2")
}

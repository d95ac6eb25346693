package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"time"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/routing"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

var (
	adapterSizes = []int{1500, 3000, 6000, targetAdapters}
	hostSizes    = []int{325, 650, 1300, targetEntries + targetRunners}
)

// measureLists measures the active lists and the relaying of a change of one
// adapter.
func measureLists(ctx context.Context, report *report) error {
	heap := &series{name: "lists: active snapshot and index, heap", unit: "B", per: "adapter"}
	relayHeap := &series{name: "lists: relay of them, heap", unit: "B", per: "adapter"}
	full := &series{name: "lists: relayed to an entry without lists", unit: "B", per: "adapter"}
	changed := &series{name: "lists: relayed change of one adapter", unit: "B", per: "adapter"}
	publish := &series{name: "lists: publish and encode such a change, processor", unit: "µs", per: "adapter"}
	apply := &series{name: "lists: decode, check and index such a change, processor", unit: "µs", per: "adapter"}
	stored := &series{name: "lists: stored bytes of such a change", unit: "B", per: "adapter"}
	calls := &series{name: "lists: key-value calls of such a change and one read of it", unit: "calls", per: "adapter"}
	for _, size := range adapterSizes {
		bytes, index := measureHeap(func() *lists.Index { return lists.NewIndex(makeLists(size)) })
		heap.add(size, bytes)
		snapshot := index.Snapshot()
		change, err := measureRelay(snapshot)
		if err != nil {
			return err
		}
		relayHeap.add(size, change.heap)
		full.add(size, change.full)
		changed.add(size, change.changed)
		publish.add(size, change.publish)
		apply.add(size, change.apply)
		written, callCount, err := measureStoredChange(ctx, snapshot)
		if err != nil {
			return err
		}
		stored.add(size, written)
		calls.add(size, callCount)
	}
	report.add(heap, relayHeap, full, changed, publish, apply, stored, calls)
	return nil
}

// relayCost is the cost of relaying one change between two entries.
type relayCost struct {
	heap, full, changed float64
	publish, apply      float64
}

func measureRelay(snapshot lists.Snapshot) (relayCost, error) {
	var cost relayCost
	var sender *lists.Relay
	cost.heap, sender = measureHeap(func() *lists.Relay { return newPublishedRelay(snapshot) })
	receiver := newPublishedRelay(snapshot)
	full, err := sender.Update(0)
	if err != nil {
		return cost, err
	}
	cost.full = float64(len(full))
	next := withChangedAdapter(snapshot)
	next.Revision++
	cost.publish = measureCost(func() {
		relay := newPublishedRelay(snapshot)
		_, _ = relay.Publish(next)
		_, _ = relay.Update(snapshot.Revision)
	}).micros - measureCost(func() { newPublishedRelay(snapshot) }).micros
	if _, err := sender.Publish(next); err != nil {
		return cost, err
	}
	update, err := sender.Update(snapshot.Revision)
	if err != nil {
		return cost, err
	}
	cost.changed = float64(len(update))
	cost.apply = measureCost(func() {
		decoded, err := receiver.DecodeUpdate(update)
		if err == nil {
			lists.NewRegister().Offer(decoded)
		}
	}).micros
	return cost, nil
}

func newPublishedRelay(snapshot lists.Snapshot) *lists.Relay {
	relay := lists.NewRelay()
	// The lists of the bench are always below the size limit.
	_, _ = relay.Publish(snapshot)
	return relay
}

func withChangedAdapter(snapshot lists.Snapshot) lists.Snapshot {
	snapshot.Allowances.Adapters = slices.Clone(snapshot.Allowances.Adapters)
	snapshot.Allowances.Adapters[len(snapshot.Allowances.Adapters)/2].MemoryMiB++
	return snapshot
}

// countingStore counts the bytes of all written changes.
type countingStore struct {
	*keyvaluetest.Store
	written int
}

func (s *countingStore) Txn(ctx context.Context, conditions []keyvalue.Compare, changes []keyvalue.Op) (keyvalue.TxnResult, error) {
	for _, change := range changes {
		s.written += len(change.Key) + len(change.Value)
	}
	return s.Store.Txn(ctx, conditions, changes)
}

func measureStoredChange(ctx context.Context, snapshot lists.Snapshot) (written, calls float64, err error) {
	const seed = 1
	store := &countingStore{Store: keyvaluetest.NewStore(seed)}
	listStore := lists.NewStore(store, "")
	revision, err := listStore.Put(ctx, 0, snapshot.Plans, snapshot.Allowances, "bench")
	if err != nil {
		return 0, 0, err
	}
	if _, err := listStore.Get(ctx); err != nil {
		return 0, 0, err
	}
	next := withChangedAdapter(snapshot)
	store.written = 0
	before := store.Calls()
	if _, err := listStore.Put(ctx, revision, next.Plans, next.Allowances, "bench"); err != nil {
		return 0, 0, err
	}
	if _, err := listStore.Get(ctx); err != nil {
		return 0, 0, err
	}
	return float64(store.written), float64(store.Calls() - before), nil
}

// measureMembers measures the membership view of all hosts.
func measureMembers(_ context.Context, report *report) error {
	heap := &series{name: "membership: view and snapshot with all statuses, heap", unit: "B", per: "host"}
	listed := &series{name: "membership: apply a host list, processor", unit: "µs", per: "host"}
	status := &series{name: "membership: apply a status and publish, processor", unit: "µs", per: "host"}
	for _, size := range hostSizes {
		now := time.Unix(0, 0)
		hosts := makeHosts(size)
		sequence := 1
		bytes, view := measureHeap(func() *membership.View { return fullView(now, hosts) })
		heap.add(size, bytes)
		listed.add(size, measureCost(func() {
			view.HostsListed(now, hosts)
			view.Snapshot()
		}).micros)
		table := routing.NewTable(view.Snapshot(), nil)
		status.add(size, measureCost(func() {
			sequence++
			view.StatusReceived(now, makeStatus(size-1, sequence))
			table = table.WithMembers(view.Snapshot())
		}).micros)
		runtime.KeepAlive(table)
	}
	report.add(heap, listed, status)
	return nil
}

func fullView(now time.Time, hosts []hostlist.Host) *membership.View {
	view := membership.NewView()
	view.HostsListed(now, hosts)
	for i, host := range hosts {
		if host.Role == hostlist.RoleAgent {
			view.StatusReceived(now, makeStatus(i, 1))
		}
	}
	view.Snapshot()
	return view
}

// measureHostList measures one read of the platform's host list.
func measureHostList(ctx context.Context, report *report) error {
	size := &series{name: "host list: one read, body", unit: "B", per: "host"}
	read := &series{name: "host list: one read, processor of both ends", unit: "µs", per: "host"}
	for _, count := range hostSizes {
		body, err := json.Marshal(makeHosts(count))
		if err != nil {
			return err
		}
		size.add(count, float64(len(body)))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body)
		}))
		client := hostlist.New(settings.HostList{URL: server.URL})
		_, err = client.Hosts(ctx)
		read.add(count, measureCost(func() { _, _ = client.Hosts(ctx) }).micros)
		client.Close()
		server.Close()
		if err != nil {
			return err
		}
	}
	report.add(size, read)
	return nil
}

// frameBytes returns the encoded size of a frame.
func frameBytes(frame *wire.Frame) float64 {
	counter := &byteCounter{}
	if err := wire.WriteFrame(counter, frame); err != nil {
		return 0
	}
	return float64(counter.count)
}

type byteCounter struct{ count int }

func (c *byteCounter) Write(data []byte) (int, error) {
	c.count += len(data)
	return len(data), nil
}

package lists

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

func publish(t interface{ Fatal(...any) }, relay *Relay, snapshot Snapshot) {
	if _, err := relay.Publish(snapshot); err != nil {
		t.Fatal(err)
	}
}

// TestRelayUpdatesLaggingReceivers lets two receivers fall behind a sender by varying
// numbers of revisions.
func TestRelayUpdatesLaggingReceivers(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			relayRevisions(t, rand.New(rand.NewPCG(seed, 0)))
		})
	}
}

func relayRevisions(t *testing.T, random *rand.Rand) {
	sender := NewRelay()
	receivers := []*Relay{NewRelay(), NewRelay()}
	var latest Snapshot
	for revision := range int64(2 * maxRelayHistory) {
		latest = longNames(random.IntN(4))
		latest.Revision = revision + 1
		publish(t, sender, latest)
		if i := random.IntN(8); i < len(receivers) {
			update(t, sender, receivers[i], latest)
		}
	}
	for _, receiver := range receivers {
		update(t, sender, receiver, latest)
	}
	if data, err := sender.Update(latest.Revision); data != nil || err != nil {
		t.Fatalf("update without changes: %d bytes, %v", len(data), err)
	}
}

// longNames returns lists with few records and several chunks.
func longNames(content int) Snapshot {
	plans, allowances := large(40, fmt.Sprint(content))
	for i := range allowances.Adapters {
		allowances.Adapters[i].Name = strings.Repeat("a", 1500) + fmt.Sprint(i)
	}
	return Snapshot{Plans: plans, Allowances: allowances}
}

// update brings a receiver to the current revision of a sender.
func update(t *testing.T, sender, receiver *Relay, want Snapshot) {
	data, err := sender.Update(receiver.Revision())
	if err != nil {
		t.Fatal(err)
	}
	if data == nil {
		return
	}
	got, err := receiver.DecodeUpdate(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("revision %d was received with different content", want.Revision)
	}
	publish(t, receiver, got)
}

func TestRelaySendsChangedChunksOnly(t *testing.T) {
	plans, allowances := large(12_000, "1")
	for i := range allowances.Adapters {
		allowances.Adapters[i].Version = sumOf([]byte{byte(i), byte(i >> 8)})[:40]
	}
	sender, receiver := NewRelay(), NewRelay()
	publish(t, sender, Snapshot{Revision: 1, Plans: plans, Allowances: allowances})
	full, err := sender.Update(0)
	if err != nil {
		t.Fatal(err)
	}
	first, err := receiver.DecodeUpdate(full)
	if err != nil {
		t.Fatal(err)
	}
	publish(t, receiver, first)
	allowances.Adapters = allowances.Adapters[1:]
	publish(t, sender, Snapshot{Revision: 2, Plans: plans, Allowances: allowances})
	delta, err := sender.Update(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("12,000 adapters: full update %d bytes, update for one removed adapter %d bytes", len(full), len(delta))
	if len(delta) > len(full)/4 {
		t.Errorf("%d bytes for a small change, full update has %d", len(delta), len(full))
	}
	if _, err := NewRelay().DecodeUpdate(delta); !errors.Is(err, ErrMissingChunks) {
		t.Errorf("update with omitted chunks: %v", err)
	}
	if again, err := sender.Publish(first); again || err != nil {
		t.Errorf("older revision published: %v, %v", again, err)
	}
}

// FuzzDecodeUpdate checks that corrupt updates return errors and do not panic.
func FuzzDecodeUpdate(f *testing.F) {
	relay := NewRelay()
	plans, allowances := sample()
	publish(f, relay, Snapshot{Revision: 1, Plans: plans, Allowances: allowances})
	data, err := relay.Update(0)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		snapshot, err := NewRelay().DecodeUpdate(data)
		if err == nil && snapshot.Revision != 0 {
			NewRegister().Offer(snapshot)
		}
	})
}

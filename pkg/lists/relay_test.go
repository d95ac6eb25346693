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

// TestRelay lets two receivers fall behind a sender by any number of revisions.
func TestRelay(t *testing.T) {
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
	for revision := range int64(2 * relayedRevisions) {
		latest = longNames(random.IntN(4))
		latest.Revision = revision + 1
		publish(t, sender, latest)
		if i := random.IntN(8); i < len(receivers) {
			follow(t, sender, receivers[i], latest)
		}
	}
	for _, receiver := range receivers {
		follow(t, sender, receiver, latest)
	}
	if data, err := sender.Update(latest.Revision); data != nil || err != nil {
		t.Fatalf("update without news: %d bytes, %v", len(data), err)
	}
}

// longNames returns lists of few records and several chunks.
func longNames(content int) Snapshot {
	plans, allowances := large(40, fmt.Sprint(content))
	for i := range allowances.Adapters {
		allowances.Adapters[i].Name = strings.Repeat("a", 1500) + fmt.Sprint(i)
	}
	return Snapshot{Plans: plans, Allowances: allowances}
}

func follow(t *testing.T, sender, receiver *Relay, want Snapshot) {
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
		t.Fatalf("revision %d arrived as another document", want.Revision)
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
	whole, err := sender.Update(0)
	if err != nil {
		t.Fatal(err)
	}
	first, err := receiver.DecodeUpdate(whole)
	if err != nil {
		t.Fatal(err)
	}
	publish(t, receiver, first)
	allowances.Adapters = allowances.Adapters[1:]
	publish(t, sender, Snapshot{Revision: 2, Plans: plans, Allowances: allowances})
	part, err := sender.Update(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("12,000 adapters: %d bytes whole, %d bytes for one removed adapter", len(whole), len(part))
	if len(part) > len(whole)/4 {
		t.Errorf("%d bytes for a small change, %d for everything", len(part), len(whole))
	}
	if _, err := NewRelay().DecodeUpdate(part); !errors.Is(err, ErrMissingChunks) {
		t.Errorf("update without its base: %v", err)
	}
	if again, err := sender.Publish(first); again || err != nil {
		t.Errorf("older revision published: %v, %v", again, err)
	}
}

// FuzzTake checks that damaged updates give errors.
func FuzzTake(f *testing.F) {
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

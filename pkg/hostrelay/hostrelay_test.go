package hostrelay

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
)

func genListing(t *rapid.T) *hostlist.Listing {
	listing := &hostlist.Listing{}
	for i := range rapid.IntRange(1, 6).Draw(t, "hosts") {
		state := rapid.SampledFrom([]hostlist.State{hostlist.Live, hostlist.Leaving}).Draw(t, "state")
		if rapid.Bool().Draw(t, "listed") {
			listing.Hosts = append(listing.Hosts, hostlist.Host{ID: fmt.Sprint(6 - i), Role: hostlist.RoleAgent, State: state})
		}
	}
	return listing
}

// TestRelayLeadsToTheSameList lets a receiver follow a relay with pauses, also
// longer than what the relay remembers.
func TestRelayLeadsToTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, receiver := New(), New()
		known := uint64(0)
		for range rapid.IntRange(1, 3*remembered).Draw(t, "versions") {
			if _, err := source.Publish(genListing(t)); err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 9).Draw(t, "pause") > 0 {
				continue
			}
			if update := source.Update(known); update != nil {
				if err := receiver.Apply(update); err != nil {
					t.Fatal(err)
				}
			}
			known = receiver.Sum()
			if known != source.Sum() {
				t.Fatalf("list %x, want %x", known, source.Sum())
			}
		}
	})
}

func TestRelaySendsDifferences(t *testing.T) {
	source, receiver := New(), New()
	publish := func(hosts ...hostlist.Host) {
		if _, err := source.Publish(&hostlist.Listing{Hosts: hosts}); err != nil {
			t.Fatal(err)
		}
	}
	a, b, c := hostlist.Host{ID: "a"}, hostlist.Host{ID: "b"}, hostlist.Host{ID: "c"}
	publish(a, b)
	first := source.Sum()
	publish(c, b)
	update := source.Update(first)
	if len(update.Hosts) != 1 || update.Hosts[0].ID != "c" || len(update.Removed) != 1 || update.Removed[0] != "a" {
		t.Errorf("update %+v, want c new and a removed", update)
	}
	if err := receiver.Apply(update); !errors.Is(err, ErrUnknownBase) {
		t.Errorf("update without its base: %v, want %v", err, ErrUnknownBase)
	}
	if err := receiver.Apply(source.Update(receiver.Sum())); err != nil || receiver.Sum() != source.Sum() {
		t.Errorf("whole list: %v, %x, want %x", err, receiver.Sum(), source.Sum())
	}
}

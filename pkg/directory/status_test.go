package directory

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// drawStatus draws a status with a few models, ordered by name.
func drawStatus(t *rapid.T) *wire.RunnerStatus {
	status := &wire.RunnerStatus{
		Instance:        rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "instance"),
		StartedAtMillis: rapid.Int64Range(1, 2).Draw(t, "born"),
		Down:            rapid.Bool().Draw(t, "down"),
		Slots:           12,
		Running:         rapid.IntRange(0, 12).Draw(t, "running"),
		Waiting:         rapid.IntRange(0, 3).Draw(t, "waiting"),
		LoadPercent:     rapid.IntRange(0, 30).Draw(t, "load"),
	}
	for i := range 5 {
		if !rapid.Bool().Draw(t, "present") {
			continue
		}
		status.Models = append(status.Models, wire.RunnerModel{
			Name:        fmt.Sprintf("m%d", i),
			State:       wire.ModelState(rapid.IntRange(0, 3).Draw(t, "state")),
			Tier:        wire.CacheTier(rapid.IntRange(0, 2).Draw(t, "tier")),
			Interactive: float64(rapid.IntRange(0, 2).Draw(t, "rate")),
			PermitRank:  rapid.IntRange(0, 1).Draw(t, "permit"),
		})
	}
	return status
}

func TestMergeAppliesDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawStatus(t), drawStatus(t)
		change := Difference(before, after)
		if change == nil {
			if !reflect.DeepEqual(before, after) {
				t.Fatalf("no difference reported between %+v and %+v", before, after)
			}
			return
		}
		merged := Merge(before, change)
		if len(merged.Models) == 0 {
			merged.Models = nil
		}
		if !reflect.DeepEqual(merged, after) {
			t.Fatalf("merging %+v with %+v returned %+v, want %+v", before, change, merged, after)
		}
	})
}

func TestFirstDifferenceIsComplete(t *testing.T) {
	status := &wire.RunnerStatus{Slots: 4, Models: []wire.RunnerModel{{Name: "m"}}}
	if change := Difference(nil, status); change.Partial || len(change.Models) != 1 {
		t.Errorf("change %+v", change)
	}
	same := *status
	if change := Difference(status, &same); change != nil {
		t.Errorf("change %+v between equal statuses", change)
	}
}

// TestFollowersConvergeWithRelay changes agents at random and sends the updates to
// the followers at random times.
func TestFollowersConvergeWithRelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := map[string]*AgentRecord{}
		followers := map[string]map[string]*AgentRecord{"": {}, "z-1": {}}
		cursors := map[string]*Cursor{"": NewCursor(""), "z-1": NewCursor("z-1")}
		host := func() string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host") }
		domains := map[string]string{"a": "z-1", "b": "z-2", "c": "z-1"}
		deliver := func(domain string) {
			updates, removed := cursors[domain].Next(records)
			for i := range updates {
				followers[domain][updates[i].Host] = Apply(followers[domain][updates[i].Host], &updates[i])
			}
			for _, id := range removed {
				delete(followers[domain], id)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"said": func(t *rapid.T) {
				id := host()
				record := &AgentRecord{Host: id, FailureDomain: domains[id], Connected: true}
				if before := records[id]; before != nil {
					record = before
				}
				records[id] = record.With(drawStatus(t))
			},
			"lost": func(*rapid.T) {
				if before := records[host()]; before != nil {
					lost := *before
					lost.Connected = false
					records[before.Host] = &lost
				}
			},
			"gone": func(*rapid.T) { delete(records, host()) },
			"pass": func(t *rapid.T) { deliver(rapid.SampledFrom([]string{"", "z-1"}).Draw(t, "to")) },
		})
		deliver("")
		deliver("z-1")
		checkFollower(t, records, followers[""], "", func(r *AgentRecord) *wire.RunnerStatus { return r.Summary })
		checkFollower(t, records, followers["z-1"], "z-1", func(r *AgentRecord) *wire.RunnerStatus { return r.Status })
	})
}

func checkFollower(t *rapid.T, records, known map[string]*AgentRecord, domain string, statusOf func(*AgentRecord) *wire.RunnerStatus) {
	for _, id := range slices.Sorted(maps.Keys(records)) {
		record := records[id]
		if domain != "" && record.FailureDomain != domain {
			if known[id] != nil {
				t.Fatalf("%s was sent to a follower of domain %s", id, domain)
			}
			continue
		}
		got := known[id]
		if got == nil || got.Connected != record.Connected || Difference(got.Status, statusOf(record)) != nil {
			t.Fatalf("%s: follower has %+v, want %+v", id, got, record)
		}
	}
	for id := range known {
		if records[id] == nil {
			t.Fatalf("%s is still known after its removal", id)
		}
	}
}

func TestSummaryOmitsUnneededFields(t *testing.T) {
	status := &wire.RunnerStatus{Slots: 12, Running: 5, Waiting: 1, LoadPercent: 52, Models: []wire.RunnerModel{
		{Name: "held", State: wire.ModelLoaded, Running: 3, Interactive: 2},
		{Name: "near", Tier: wire.CacheDisk},
		{Name: "permitted", Tier: wire.CacheDisk, PermitRank: 2, WaitMillis: 500},
	}}
	got := Summarize(status)
	want := []wire.RunnerModel{
		{Name: "held", State: wire.ModelLoaded},
		{Name: "permitted", Tier: wire.CacheDisk, PermitRank: 2, WaitMillis: 500},
	}
	if !slices.Equal(got.Models, want) || got.Running != 0 || got.LoadPercent != 50 {
		t.Errorf("summary %+v", got)
	}
	record := (&AgentRecord{Host: "a"}).With(status)
	busier := *status
	busier.LoadPercent = 54
	if next := record.With(&busier); next.Summary != record.Summary {
		t.Error("the summary pointer changed although the summary is equal")
	}
}

package resumption

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var historyStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against an entry that takes the only version in service for the one that began all streams.
func TestVersionIsRecentUntilItsStreamsHaveEnded(t *testing.T) {
	history := (*History)(nil).Next(historyStart, map[string][]string{"s": {"v1"}})
	gone := historyStart.Add(time.Minute)
	history = history.Next(gone, map[string][]string{"s": {"v2"}})
	for after, want := range map[time.Duration][]string{
		0: {"v1", "v2"}, Retention - time.Millisecond: {"v1", "v2"}, Retention: {"v2"},
	} {
		if got := history.Recent(gone.Add(after), "s", []string{"v2"}); !slices.Equal(got, want) {
			t.Errorf("%s after the last server: recent %q, want %q", after, got, want)
		}
	}
	if got := history.Recent(gone, "s", []string{"v3"}); !slices.Equal(got, []string{"v1", "v2", "v3"}) {
		t.Errorf("a version that isn't in the history yet: recent %q", got)
	}
}

// Guards against a guess where nothing is known of the versions before.
func TestUnknownHistoryListsNoVersions(t *testing.T) {
	known := (*History)(nil).Next(historyStart, map[string][]string{"s": {"v1"}})
	for _, history := range []*History{nil, {}, known} {
		if got := history.Recent(historyStart, "other", []string{"v1"}); len(got) != 0 {
			t.Errorf("recent %q without a history of the service", got)
		}
	}
}

// TestHistoryKeepsEachVersionForItsRetention draws which versions serve at random times, and
// checks the history, stored and read again after each change, against them.
func TestHistoryKeepsEachVersionForItsRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := historyStart
		var history *History
		lastSeen := make(map[string]time.Time)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			present := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), 0, 3, rapid.ID[string]).Draw(t, "present")
			history = stored(t, history.Next(now, map[string][]string{"s": present}))
			for version, seen := range lastSeen {
				if slices.Contains(history.Recent(now, "s", present), version) != (now.Sub(seen) < Retention || slices.Contains(present, version)) {
					t.Fatalf("%s was last in service %s ago, recent are %q", version, now.Sub(seen), history.Recent(now, "s", present))
				}
			}
			for _, version := range present {
				// The version serves until the next change.
				lastSeen[version] = now
			}
			passed := time.Duration(rapid.IntRange(0, 100).Draw(t, "s")) * time.Second
			now = now.Add(passed)
			for _, version := range present {
				lastSeen[version] = now
			}
		}
	})
}

// stored returns a history after it was stored and read.
func stored(t *rapid.T, history *History) *History {
	value, err := history.Encode()
	if err != nil {
		t.Fatal(err)
	}
	read, err := DecodeHistory(value, 7)
	if err != nil || !read.Equal(history) {
		t.Fatalf("read %+v, %v, want %+v", read, err, history)
	}
	return read
}

func TestMalformedHistoryIsRejected(t *testing.T) {
	if _, err := DecodeHistory([]byte("{"), 7); err == nil {
		t.Error("no error")
	}
}

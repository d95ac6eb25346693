package membership

import (
	"slices"
	"strconv"
)

const (
	// WatchersPerDomain is the number of entries in each failure domain that
	// watch the key-value service.
	WatchersPerDomain = 2
	// SyncFanOut limits the entries that synchronise with the same entry, as long
	// as all of them have the same view of the members.
	SyncFanOut = 8
	// SyncCandidates limits the peers returned by SyncPeers.
	SyncCandidates = 4

	watchKey = "watch"
)

// Watchers returns the ids of the entries that watch the key-value service:
// WatchersPerDomain in each failure domain. Entries that are leaving are chosen
// only if their domain has no others.
func Watchers(entries []*Entry) []string {
	var watchers []string
	for _, domain := range domains(entries) {
		ranked := rankDomain(entries, domain)
		watchers = append(watchers, ranked[:min(WatchersPerDomain, len(ranked))]...)
	}
	return watchers
}

// SyncPeers returns the entries that self synchronises with, in order of
// preference: its parent in a tree with fan-out SyncFanOut below the watchers of
// its own failure domain, then these watchers, then watchers of other domains in an
// order that depends on the seed. Agents, which aren't in the list of entries, use
// it as well and are distributed over the entries of their own domain. A watcher
// gets the other watchers, as a source while the key-value service is unavailable.
func SyncPeers(self Entry, entries []*Entry, seed uint64) []string {
	ranked := rankDomain(entries, self.FailureDomain)
	position := slices.Index(ranked, self.ID)
	var peers []string
	if position < 0 {
		peers = firstN(RendezvousRank(self.ID, ranked), 2)
	}
	if position >= WatchersPerDomain {
		parent := (position - WatchersPerDomain) / SyncFanOut
		peers = append(peers, ranked[parent])
	}
	watchers := firstN(ranked, WatchersPerDomain)
	seedKey := strconv.FormatUint(seed, 16)
	peers = append(peers, RendezvousRank(self.ID, watchers)...)
	peers = append(peers, RendezvousRank(self.ID+seedKey, Watchers(entries))...)
	return distinctPeers(self.ID, peers)
}

func distinctPeers(selfID string, peers []string) []string {
	result := make([]string, 0, SyncCandidates)
	for _, id := range peers {
		if id == selfID || slices.Contains(result, id) {
			continue
		}
		result = append(result, id)
		if len(result) == SyncCandidates {
			break
		}
	}
	return result
}

func firstN(ids []string, n int) []string {
	return ids[:min(n, len(ids))]
}

// rankDomain ranks the entries of a failure domain, with leaving ones last.
func rankDomain(entries []*Entry, domain string) []string {
	var staying, leaving []string
	for _, entry := range entries {
		switch {
		case entry.FailureDomain != domain:
		case entry.Leaving:
			leaving = append(leaving, entry.ID)
		default:
			staying = append(staying, entry.ID)
		}
	}
	return append(RendezvousRank(watchKey, staying), RendezvousRank(watchKey, leaving)...)
}

func domains(entries []*Entry) []string {
	var names []string
	for _, entry := range entries {
		names = append(names, entry.FailureDomain)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

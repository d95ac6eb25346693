// Package membership maintains an entry host's view of the other processes: which
// agents and entries exist, what agents report about themselves, and which hosts
// are leaving, suspected or gone.
//
// It merges three sources, listed here in descending order of trust: an agent's own
// status, failed or successful calls, and the platform's host list, which lags
// behind. A View is used by a single goroutine; a Snapshot is immutable and may be
// read by any. The package reads no clock: each event carries its time, and times
// must not decrease.
//
// The package also computes the assignments that depend only on a set of members:
// rendezvous hashing, the entries that watch the key-value service, and the peers
// that the other entries synchronise with.
package membership

// Package membership keeps an entry host's view of the other processes: which
// agents and entries exist, what agents say of themselves, and which hosts are
// leaving, suspected or gone.
//
// Three sources are merged, the most trusted first: an agent's own status,
// calls that failed or succeeded, and the platform's list, which lags. A View
// is driven by one goroutine; a Snapshot is immutable and may be read by any.
// The package has no clock: times come in with each event, and must not go
// back.
//
// The package also holds the assignments that follow from a set of members
// alone: rendezvous hashing, the entries that watch the key-value service, and
// the peers that the others synchronise with.
package membership

// Package keyvalue defines the interface of the platform's key-value service,
// wrappers for it, and a client for etcd's v3 JSON/HTTP gateway.
package keyvalue

import (
	"context"
	"time"
)

// KeyValue is one key of the key-value service.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision int64
	// ModRevision is the revision of the last change; zero means that the key does
	// not exist.
	ModRevision int64
}

// Compare is a condition of a transaction: the key's modification revision must equal
// ModRevision. Zero requires that the key does not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Op is one change of a transaction.
type Op struct {
	Key    string
	Value  []byte
	Delete bool
	// Lease is the lease to which a put is attached; zero means none.
	Lease int64
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	// Succeeded reports whether all conditions held and the changes were applied.
	Succeeded bool
	Revision  int64
	// Current holds the state of the compared keys if a condition failed.
	Current []KeyValue
}

// RangeResult is the result of a range read.
type RangeResult struct {
	Revision int64
	Values   []KeyValue
}

// WatchEvent is one change reported by a watch.
type WatchEvent struct {
	Deleted bool
	Value   KeyValue
}

// Store is the platform's key-value service. Errors are *StoreError.
type Store interface {
	// Range reads a key, or all keys with a prefix.
	Range(ctx context.Context, key string, prefix bool) (RangeResult, error)
	// Txn applies all changes if all conditions hold.
	Txn(ctx context.Context, conditions []Compare, changes []Op) (TxnResult, error)
	// Watch calls fn for batches of changes after the revision, in order, until ctx
	// ends or the watch fails. If the revision was compacted, IsCompacted reports
	// true for the error.
	Watch(ctx context.Context, prefix string, after int64, fn func(revision int64, events []WatchEvent)) error
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
}

// LeaseStore is a Store whose leases can be renewed and revoked.
type LeaseStore interface {
	Store
	// KeepAlive renews a lease. Its error is ErrLeaseEnded if the lease has ended.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
}

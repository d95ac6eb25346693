// Package keyvalue holds the interface of the key-value service that the platform
// gives, views of it, and its client for etcd's v3 JSON/HTTP gateway.
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
	// ModRevision is the revision of the last change; zero means absent.
	ModRevision int64
}

// Compare is a condition of a transaction: the key's modification revision must
// equal ModRevision; zero demands that the key is absent.
type Compare struct {
	Key         string
	ModRevision int64
}

// Op is one change of a transaction.
type Op struct {
	Key    string
	Value  []byte
	Delete bool
	// Lease attaches a put to a lease; zero means none.
	Lease int64
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	// Succeeded tells whether all conditions held and the changes were made.
	Succeeded bool
	Revision  int64
	// Current holds the compared keys as they stood when a condition failed.
	Current []KeyValue
}

// RangeResult is the result of a range read.
type RangeResult struct {
	Revision int64
	Values   []KeyValue
}

// WatchEvent is one change seen by a watch.
type WatchEvent struct {
	Deleted bool
	Value   KeyValue
}

// Store is the platform's key-value service. Errors are *StoreError.
type Store interface {
	// Range reads a key, or all keys with a prefix.
	Range(ctx context.Context, key string, prefix bool) (RangeResult, error)
	// Txn makes all changes if all conditions hold.
	Txn(ctx context.Context, conditions []Compare, changes []Op) (TxnResult, error)
	// Watch calls fn for batches of changes after the revision, in order, until
	// ctx ends or the watch breaks. It returns an error that IsCompacted tells
	// apart when the revision is too old.
	Watch(ctx context.Context, prefix string, after int64, fn func(revision int64, events []WatchEvent)) error
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
}

// LeaseStore is a Store whose leases can be renewed and ended.
type LeaseStore interface {
	Store
	// KeepAlive renews a lease. Its error is ErrLeaseEnded if there is none.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
}

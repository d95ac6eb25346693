package keyvalue

import (
	"context"
	"time"
)

// Operation names a call of the key-value service.
type Operation string

// The operations.
const (
	OpRange Operation = "range"
	OpTxn   Operation = "txn"
	OpWatch Operation = "watch"
	OpLease Operation = "lease"
	OpRenew Operation = "renew"
)

// Observer is told of each call, its duration and its failure, if any.
type Observer func(op Operation, took time.Duration, err error)

// observed tells an observer of each call.
type observed struct {
	store   Store
	observe Observer
}

// WithObserver returns a view of a store that tells an observer of each call.
func WithObserver(store Store, observe Observer) Store {
	return &observed{store: store, observe: observe}
}

func (o *observed) Range(ctx context.Context, key string, prefix bool) (RangeResult, error) {
	started := time.Now()
	result, err := o.store.Range(ctx, key, prefix)
	o.observe(OpRange, time.Since(started), err)
	return result, err
}

func (o *observed) Txn(ctx context.Context, conditions []Compare, changes []Op) (TxnResult, error) {
	started := time.Now()
	result, err := o.store.Txn(ctx, conditions, changes)
	o.observe(OpTxn, time.Since(started), err)
	return result, err
}

func (o *observed) Watch(ctx context.Context, prefix string, after int64, fn func(int64, []WatchEvent)) error {
	started := time.Now()
	err := o.store.Watch(ctx, prefix, after, fn)
	if ctx.Err() != nil {
		o.observe(OpWatch, time.Since(started), nil)
		return err
	}
	o.observe(OpWatch, time.Since(started), err)
	return err
}

func (o *observed) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	started := time.Now()
	lease, err := o.store.Grant(ctx, ttl)
	o.observe(OpLease, time.Since(started), err)
	return lease, err
}

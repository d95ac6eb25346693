package keyvalue

import (
	"context"
	"time"
)

// Operation names a call of the key-value service.
type Operation string

// Operations of the key-value service.
const (
	OpRange Operation = "range"
	OpTxn   Operation = "txn"
	OpWatch Operation = "watch"
	OpLease Operation = "lease"
	OpRenew Operation = "renew"
)

// Observer is called after each call with its duration and its error, if any.
type Observer func(op Operation, took time.Duration, err error)

// observedStore reports each call to an observer.
type observedStore struct {
	store   Store
	observe Observer
}

// WithObserver returns a wrapper of a store that reports each call to an observer.
func WithObserver(store Store, observe Observer) Store {
	return &observedStore{store: store, observe: observe}
}

func (o *observedStore) Range(ctx context.Context, key string, prefix bool) (RangeResult, error) {
	started := time.Now()
	result, err := o.store.Range(ctx, key, prefix)
	o.observe(OpRange, time.Since(started), err)
	return result, err
}

func (o *observedStore) Txn(ctx context.Context, conditions []Compare, changes []Op) (TxnResult, error) {
	started := time.Now()
	result, err := o.store.Txn(ctx, conditions, changes)
	o.observe(OpTxn, time.Since(started), err)
	return result, err
}

func (o *observedStore) Watch(ctx context.Context, prefix string, after int64, fn func(int64, []WatchEvent)) error {
	started := time.Now()
	err := o.store.Watch(ctx, prefix, after, fn)
	if ctx.Err() != nil {
		o.observe(OpWatch, time.Since(started), nil)
		return err
	}
	o.observe(OpWatch, time.Since(started), err)
	return err
}

func (o *observedStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	started := time.Now()
	lease, err := o.store.Grant(ctx, ttl)
	o.observe(OpLease, time.Since(started), err)
	return lease, err
}

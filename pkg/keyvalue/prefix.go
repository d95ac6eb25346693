package keyvalue

import (
	"context"
	"strings"
	"time"
)

// prefixedStore adds a prefix to the keys of one site.
type prefixedStore struct {
	store  Store
	prefix string
}

// WithPrefix returns a wrapper of a store in which all keys are relative to a prefix.
func WithPrefix(store Store, prefix string) Store {
	return &prefixedStore{store: store, prefix: strings.TrimSuffix(prefix, "/") + "/"}
}

func (p *prefixedStore) Range(ctx context.Context, key string, prefix bool) (RangeResult, error) {
	result, err := p.store.Range(ctx, p.prefix+key, prefix)
	if err != nil {
		return RangeResult{}, err
	}
	result.Values = p.strip(result.Values)
	return result, nil
}

func (p *prefixedStore) Txn(ctx context.Context, conditions []Compare, changes []Op) (TxnResult, error) {
	full := make([]Compare, len(conditions))
	for i, condition := range conditions {
		condition.Key = p.prefix + condition.Key
		full[i] = condition
	}
	ops := make([]Op, len(changes))
	for i, change := range changes {
		change.Key = p.prefix + change.Key
		ops[i] = change
	}
	result, err := p.store.Txn(ctx, full, ops)
	if err != nil {
		return TxnResult{}, err
	}
	result.Current = p.strip(result.Current)
	return result, nil
}

func (p *prefixedStore) Watch(ctx context.Context, prefix string, after int64, fn func(int64, []WatchEvent)) error {
	return p.store.Watch(ctx, p.prefix+prefix, after, func(revision int64, events []WatchEvent) {
		stripped := make([]WatchEvent, len(events))
		for i, event := range events {
			event.Value.Key = strings.TrimPrefix(event.Value.Key, p.prefix)
			stripped[i] = event
		}
		fn(revision, stripped)
	})
}

func (p *prefixedStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	return p.store.Grant(ctx, ttl)
}

func (p *prefixedStore) strip(values []KeyValue) []KeyValue {
	stripped := make([]KeyValue, len(values))
	for i, value := range values {
		value.Key = strings.TrimPrefix(value.Key, p.prefix)
		stripped[i] = value
	}
	return stripped
}

package lists

import (
	"context"
	"fmt"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

const (
	// storeAttempts bounds the attempts of one call to the key-value service.
	storeAttempts = 5
	// firstRetryDelay doubles with each attempt.
	firstRetryDelay = 20 * time.Millisecond
)

// manifestSwitch replaces the manifest by compare-and-swap. Attempts are
// idempotent: all demand the same expected revision, so that at most one takes
// effect, and the change ID in the manifest tells whether one did.
type manifestSwitch struct {
	store    *Store
	expected int64
	next     *manifest
	// uncertain is set once an attempt may have taken effect.
	uncertain bool
}

// run returns the revision at which the change was accepted.
func (w *manifestSwitch) run(ctx context.Context) (int64, error) {
	deleted := w.collectGarbage()
	value, err := w.next.encode()
	if err != nil {
		return 0, fmt.Errorf("lists: encode manifest: %w", err)
	}
	var result keyvalue.TxnResult
	err = retry(ctx, func() error {
		var txnErr error
		result, txnErr = w.attempt(ctx, value, deleted)
		w.uncertain = w.uncertain || keyvalue.IsUncertain(txnErr)
		return txnErr
	})
	switch {
	case err != nil && w.uncertain:
		return 0, &UncertainError{ChangeID: w.next.ChangeID, Err: err}
	case err != nil:
		return 0, fmt.Errorf("lists: change not made: %w", err)
	case result.Succeeded:
		w.store.forgetOrphans(slices.Concat(deleted, w.next.Chunks))
		return result.Revision, nil
	default:
		return w.settle(result)
	}
}

// collectGarbage takes chunks to delete from the manifest's garbage and from
// this store's orphans. Deleting in the same transaction as the switch is safe:
// a writer whose later switch can succeed reads the manifest after this one, and
// writes all chunks again that the manifest doesn't keep.
func (w *manifestSwitch) collectGarbage() []string {
	garbage := slices.Concat(w.next.Garbage, w.store.orphansOutside(w.next))
	slices.Sort(garbage)
	garbage = slices.Compact(garbage)
	count := min(len(garbage), maxBatchOps-1)
	w.next.Garbage = garbage[count:]
	return garbage[:count]
}

func (w *manifestSwitch) attempt(ctx context.Context, value []byte, deleted []string) (keyvalue.TxnResult, error) {
	changes := []keyvalue.Op{{Key: w.store.manifestKey, Value: value}}
	for _, sum := range deleted {
		changes = append(changes, keyvalue.Op{Key: w.store.chunkPrefix + sum, Delete: true})
	}
	condition := keyvalue.Compare{Key: w.store.manifestKey, ModRevision: w.expected}
	return w.store.kv.Txn(ctx, []keyvalue.Compare{condition}, changes)
}

// settle decides a refused compare-and-swap by reading back the own change ID:
// an earlier attempt, whose answer was lost, may have been the one that changed
// the manifest.
func (w *manifestSwitch) settle(result keyvalue.TxnResult) (int64, error) {
	if len(result.Current) == 0 || result.Current[0].ModRevision == 0 {
		return 0, &ConflictError{Expected: w.expected}
	}
	value := result.Current[0]
	conflict := &ConflictError{Expected: w.expected, Current: value.ModRevision}
	if !w.uncertain {
		return 0, conflict
	}
	current, err := parseManifest(value.Value)
	if err != nil {
		return 0, &UncertainError{ChangeID: w.next.ChangeID, Err: err}
	}
	if revision, ok := current.revisionOf(w.next.ChangeID, value.ModRevision); ok {
		w.store.forgetOrphans(w.next.Chunks)
		return revision, nil
	}
	if !current.reaches(w.expected) {
		return 0, &UncertainError{ChangeID: w.next.ChangeID, Err: conflict}
	}
	return 0, conflict
}

// retry calls fn until it succeeds, storeAttempts are used up or ctx ends, with
// growing pauses. It returns fn's last error.
func retry(ctx context.Context, fn func() error) error {
	delay := firstRetryDelay
	for attempt := 1; ; attempt++ {
		err := fn()
		if err == nil || attempt == storeAttempts {
			return err
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
		delay *= 2
	}
}

package lists

import (
	"context"
	"fmt"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

const (
	// storeAttempts limits the number of attempts of one call to the key-value
	// service.
	storeAttempts = 5
	// minRetryDelay and maxRetryDelay limit the delay between two attempts, which
	// doubles with each.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// manifestReplacement replaces the manifest by compare-and-swap. Attempts are
// idempotent: all expect the same revision, so at most one takes effect, and the
// change ID in the manifest shows whether one did.
type manifestReplacement struct {
	store    *Store
	expected int64
	next     *manifest
	// uncertain is set when an attempt may have taken effect.
	uncertain bool
}

// run returns the revision at which the change was accepted.
func (w *manifestReplacement) run(ctx context.Context) (int64, error) {
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
		w.store.removeOrphans(slices.Concat(deleted, w.next.Chunks))
		return result.Revision, nil
	default:
		return w.resolveConflict(result)
	}
}

// collectGarbage selects the chunks to delete from the manifest's garbage and from
// this store's orphaned chunks. Deleting them in the transaction that replaces the
// manifest is safe: a writer whose later replacement can succeed reads the manifest
// after this one and rewrites all chunks that the manifest does not reference.
func (w *manifestReplacement) collectGarbage() []string {
	garbage := slices.Concat(w.next.Garbage, w.store.unreferencedOrphans(w.next))
	slices.Sort(garbage)
	garbage = slices.Compact(garbage)
	count := min(len(garbage), maxBatchOps-1)
	w.next.Garbage = garbage[count:]
	return garbage[:count]
}

func (w *manifestReplacement) attempt(ctx context.Context, value []byte, deleted []string) (keyvalue.TxnResult, error) {
	changes := []keyvalue.Op{{Key: w.store.manifestKey, Value: value}}
	for _, sum := range deleted {
		changes = append(changes, keyvalue.Op{Key: w.store.chunkPrefix + sum, Delete: true})
	}
	condition := keyvalue.Compare{Key: w.store.manifestKey, ModRevision: w.expected}
	return w.store.kv.Txn(ctx, []keyvalue.Compare{condition}, changes)
}

// resolveConflict resolves a failed compare-and-swap by looking for this change's
// ID in the stored manifest: an earlier attempt whose response was lost may have
// replaced it.
func (w *manifestReplacement) resolveConflict(result keyvalue.TxnResult) (int64, error) {
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
		w.store.removeOrphans(w.next.Chunks)
		return revision, nil
	}
	if !current.historyIncludes(w.expected) {
		return 0, &UncertainError{ChangeID: w.next.ChangeID, Err: conflict}
	}
	return 0, conflict
}

// retry calls fn until it succeeds, storeAttempts are used up or ctx ends, with
// exponential backoff. It returns the last error of fn.
func retry(ctx context.Context, fn func() error) error {
	for failures := 0; ; failures++ {
		err := fn()
		if err == nil || failures == storeAttempts-1 {
			return err
		}
		backoff.Sleep(ctx, backoff.Exponential(minRetryDelay, maxRetryDelay, failures))
		if ctx.Err() != nil {
			return err
		}
	}
}

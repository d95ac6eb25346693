package keyvalue

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/httpjson"
)

// errWatchEnded indicates that the service closed the stream of a watch.
var errWatchEnded = errors.New("watch ended by the service")

// errWatchNotOpened indicates that no endpoint opened a watch within the timeout.
var errWatchNotOpened = errors.New("watch not opened before the timeout")

// IsCompacted reports whether a watch failed because its revision was compacted.
func IsCompacted(err error) bool {
	return errors.Is(err, ErrCompacted)
}

// Watch calls fn for batches of changes after the revision, in order. It uses one
// endpoint and returns when the stream ends. The caller restarts it from the last
// revision that was passed to fn. If ctx ends, its error is returned.
func (e *Etcd) Watch(ctx context.Context, prefix string, after int64, fn func(revision int64, events []WatchEvent)) error {
	key, end := prefixRange(prefix)
	body, err := json.Marshal(watchRequest{Create: watchCreate{Key: key, RangeEnd: end, StartRevision: after + 1}})
	if err != nil {
		return &StoreError{Op: "watch", Err: fmt.Errorf("encode request: %w", err)}
	}
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := e.openWatch(streamCtx, cancel, body)
	if err != nil {
		return watchFailure(ctx, err)
	}
	defer stream.Close()
	return watchFailure(ctx, readWatch(stream, fn))
}

// openWatch returns the stream of the first endpoint that responds within the call
// timeout. After a failure, the next endpoint becomes the preferred one.
func (e *Etcd) openWatch(ctx context.Context, cancel context.CancelCauseFunc, body []byte) (io.ReadCloser, error) {
	timer := time.AfterFunc(e.timeout, func() { cancel(errWatchNotOpened) })
	defer timer.Stop()
	var last error
	for _, index := range e.endpointOrder() {
		stream, err := e.openWatchAt(ctx, index, body)
		if err == nil {
			return stream, nil
		}
		e.preferred.Store(int64((index + 1) % len(e.endpoints)))
		if errors.Is(context.Cause(ctx), errWatchNotOpened) {
			return nil, errWatchNotOpened
		}
		last = err
	}
	return nil, last
}

func (e *Etcd) openWatchAt(ctx context.Context, index int, body []byte) (io.ReadCloser, error) {
	request, err := newPost(ctx, e.endpoints[index]+"/v3/watch", body)
	if err != nil {
		return nil, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, httpjson.StatusError(response)
	}
	e.preferred.Store(int64(index))
	return response.Body, nil
}

func readWatch(stream io.Reader, fn func(revision int64, events []WatchEvent)) error {
	limited := &io.LimitedReader{R: stream, N: maxResponseBytes}
	decoder := json.NewDecoder(limited)
	for {
		var message watchMessage
		if err := decoder.Decode(&message); err != nil {
			if limited.N <= 0 {
				return httpjson.ErrTooLarge
			}
			return fmt.Errorf("%w: %w", errWatchEnded, err)
		}
		limited.N = maxResponseBytes
		if err := handleWatchMessage(message, fn); err != nil {
			return err
		}
	}
}

func handleWatchMessage(message watchMessage, fn func(revision int64, events []WatchEvent)) error {
	if message.Error != nil {
		return errors.New(message.Error.Message)
	}
	result := message.Result
	if result == nil {
		return errors.New("watch message without a result")
	}
	if result.CompactRevision > 0 {
		return fmt.Errorf("%w: oldest retained revision is %d", ErrCompacted, result.CompactRevision)
	}
	if result.Canceled {
		return fmt.Errorf("%w: %s", errWatchEnded, result.CancelReason)
	}
	if len(result.Events) == 0 {
		return nil
	}
	events := make([]WatchEvent, 0, len(result.Events))
	for _, change := range result.Events {
		events = append(events, WatchEvent{Deleted: change.Type == "DELETE", Value: decodeKeyValue(change.KV)})
	}
	fn(result.Header.Revision, events)
	return nil
}

func watchFailure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return &StoreError{Op: "watch", Err: err}
}

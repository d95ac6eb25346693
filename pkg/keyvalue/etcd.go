package keyvalue

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/httpjson"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

const (
	// maxConnsPerEndpoint limits the connections to one endpoint.
	maxConnsPerEndpoint = 64
	// maxResponseBytes limits the response to one call and each watch message.
	maxResponseBytes = 64 << 20
)

// Etcd is a client of etcd's v3 JSON/HTTP gateway. It is safe for concurrent use.
type Etcd struct {
	endpoints []string
	timeout   time.Duration
	client    *http.Client
	// preferred is the index of the endpoint that last responded.
	preferred atomic.Int64
}

var _ Store = (*Etcd)(nil)

// NewEtcd returns a client of the configured endpoints. It opens no connection.
func NewEtcd(config settings.KeyValue) (*Etcd, error) {
	if len(config.Endpoints) == 0 {
		return nil, errors.New("key-value service: no endpoints configured")
	}
	timeout := time.Duration(config.TimeoutMillis) * time.Millisecond
	if timeout <= 0 {
		timeout = settings.DefaultKeyValueTimeout
	}
	endpoints := make([]string, 0, len(config.Endpoints))
	for _, endpoint := range config.Endpoints {
		endpoints = append(endpoints, strings.TrimRight(endpoint, "/"))
	}
	return &Etcd{
		endpoints: endpoints,
		timeout:   timeout,
		client:    &http.Client{Transport: httpjson.NewTransport(maxConnsPerEndpoint), CheckRedirect: httpjson.RefuseRedirect},
	}, nil
}

// Close closes the idle connections.
func (e *Etcd) Close() {
	e.client.CloseIdleConnections()
}

// Range reads a key, or all keys with a prefix. It tries each endpoint at most once.
func (e *Etcd) Range(ctx context.Context, key string, prefix bool) (RangeResult, error) {
	request := rangeRequest{Key: []byte(key)}
	if prefix {
		request.Key, request.RangeEnd = prefixRange(key)
	}
	var response rangeResponse
	if err := e.read(ctx, "range", "/v3/kv/range", request, &response); err != nil {
		return RangeResult{}, err
	}
	return RangeResult{Revision: response.Header.Revision, Values: decodeKeyValues(response.KVs)}, nil
}

// Txn applies all changes if all conditions hold. A transaction that may have been
// delivered is never resent; its error is uncertain.
func (e *Etcd) Txn(ctx context.Context, conditions []Compare, changes []Op) (TxnResult, error) {
	var response txnResponse
	request := newTxnRequest(conditions, changes)
	if err := e.write(ctx, "txn", "/v3/kv/txn", request, &response); err != nil {
		return TxnResult{}, err
	}
	result := TxnResult{Succeeded: response.Succeeded, Revision: response.Header.Revision}
	if !response.Succeeded {
		for _, part := range response.Responses {
			if part.Range != nil {
				result.Current = append(result.Current, decodeKeyValues(part.Range.KVs)...)
			}
		}
	}
	return result, nil
}

// Grant creates a lease. The etcd gateway uses whole seconds, so ttl is rounded up.
func (e *Etcd) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var response leaseGrantResponse
	if err := e.write(ctx, "lease grant", "/v3/lease/grant", leaseGrantRequest{TTL: seconds}, &response); err != nil {
		return 0, err
	}
	if response.Error != "" {
		return 0, &StoreError{Op: "lease grant", Err: errors.New(response.Error)}
	}
	return response.ID, nil
}

// read sends an idempotent call to the preferred endpoint, then to the others until
// one responds.
func (e *Etcd) read(ctx context.Context, op, path string, request any, response checkedResponse) error {
	isRetryable := func(callOutcome) bool { return true }
	if outcome := e.call(ctx, path, request, response, isRetryable); outcome.err != nil {
		return &StoreError{Op: op, Err: outcome.err}
	}
	return nil
}

// write sends a change. It tries the next endpoint only if the change was certainly
// not applied.
func (e *Etcd) write(ctx context.Context, op, path string, request any, response checkedResponse) error {
	isRetryable := func(outcome callOutcome) bool { return !outcome.delivered }
	if outcome := e.call(ctx, path, request, response, isRetryable); outcome.err != nil {
		return &StoreError{Op: op, Uncertain: outcome.delivered && !outcome.refused, Err: outcome.err}
	}
	return nil
}

// call sends a request to one endpoint after the other, as long as its outcome is
// retryable and ctx lasts. It returns the last outcome.
func (e *Etcd) call(ctx context.Context, path string, request any, response checkedResponse, isRetryable func(callOutcome) bool) callOutcome {
	body, err := json.Marshal(request)
	if err != nil {
		return callOutcome{err: fmt.Errorf("encode request: %w", err)}
	}
	var outcome callOutcome
	for _, index := range e.endpointOrder() {
		outcome = e.post(ctx, index, path, body, response)
		if outcome.err == nil {
			e.preferred.Store(int64(index))
			return outcome
		}
		if !isRetryable(outcome) || ctx.Err() != nil {
			return outcome
		}
	}
	return outcome
}

// endpointOrder returns the indices of all endpoints, the preferred one first.
func (e *Etcd) endpointOrder() []int {
	first := int(e.preferred.Load())
	order := make([]int, len(e.endpoints))
	for i := range order {
		order[i] = (first + i) % len(e.endpoints)
	}
	return order
}

// callOutcome is the outcome of one HTTP call.
type callOutcome struct {
	err error
	// delivered indicates that a connection was established, so the request may
	// have been received.
	delivered bool
	// refused indicates a response stating that nothing was changed.
	refused bool
}

func (e *Etcd) post(ctx context.Context, index int, path string, body []byte, response checkedResponse) callOutcome {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newPost(httptrace.WithClientTrace(ctx, trace), e.endpoints[index]+path, body)
	if err != nil {
		return callOutcome{err: err}
	}
	httpResponse, err := e.client.Do(request)
	if err != nil {
		return callOutcome{err: err, delivered: connected.Load()}
	}
	defer httpResponse.Body.Close()
	if httpResponse.StatusCode != http.StatusOK {
		return callOutcome{err: httpjson.StatusError(httpResponse), delivered: true, refused: isRefusal(httpResponse.StatusCode)}
	}
	err = httpjson.Decode(httpResponse.Body, maxResponseBytes, response)
	if err == nil {
		err = response.check()
	}
	return callOutcome{err: err, delivered: true}
}

// isRefusal reports whether a status guarantees that the request changed nothing.
// Other failures, such as a timeout within the service, leave the outcome uncertain.
func isRefusal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden,
		http.StatusNotFound, http.StatusMethodNotAllowed,
		http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return true
	default:
		return false
	}
}

func newPost(ctx context.Context, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

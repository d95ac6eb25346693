package keyvalue

import "errors"

// Messages of etcd's v3 JSON gateway. Bytes are base64 strings and 64-bit
// integers are decimal strings. Fields with zero values are omitted.

// checkedResponse is the response to a call.
type checkedResponse interface {
	// check returns an error if a field is missing that each response has.
	check() error
}

// errIncompleteResponse indicates that a response lacks a field.
var errIncompleteResponse = errors.New("response lacks a field")

type responseHeader struct {
	Revision int64 `json:"revision,string"`
}

// check returns an error if there is no revision, which is above zero.
func (h responseHeader) check() error {
	if h.Revision <= 0 {
		return errIncompleteResponse
	}
	return nil
}

type storedKeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header responseHeader   `json:"header"`
	KVs    []storedKeyValue `json:"kvs"`
}

func (r *rangeResponse) check() error { return r.Header.check() }

type txnRequest struct {
	Compare []txnCompare `json:"compare,omitempty"`
	Success []txnOp      `json:"success,omitempty"`
	Failure []txnOp      `json:"failure,omitempty"`
}

type txnCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type txnOp struct {
	Range  *rangeRequest  `json:"requestRange,omitempty"`
	Put    *putRequest    `json:"requestPut,omitempty"`
	Delete *deleteRequest `json:"requestDeleteRange,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty,string"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type txnResponse struct {
	Header    responseHeader   `json:"header"`
	Succeeded bool             `json:"succeeded"`
	Responses []txnOpsResponse `json:"responses"`
}

func (r *txnResponse) check() error { return r.Header.check() }

type txnOpsResponse struct {
	Range *rangeResponse `json:"response_range"`
}

type leaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

type leaseGrantResponse struct {
	ID    int64  `json:"ID,string"`
	Error string `json:"error"`
}

func (r *leaseGrantResponse) check() error {
	if r.Error == "" && r.ID <= 0 {
		return errIncompleteResponse
	}
	return nil
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,omitempty,string"`
}

type watchMessage struct {
	Result *watchResult `json:"result"`
	Error  *watchError  `json:"error"`
}

type watchResult struct {
	Header          responseHeader `json:"header"`
	Created         bool           `json:"created"`
	Canceled        bool           `json:"canceled"`
	CompactRevision int64          `json:"compact_revision,string"`
	CancelReason    string         `json:"cancel_reason"`
	Events          []watchChange  `json:"events"`
}

type watchError struct {
	Message string `json:"message"`
}

type watchChange struct {
	// Type is DELETE for a deletion, and PUT or empty for a put.
	Type string         `json:"type"`
	KV   storedKeyValue `json:"kv"`
}

// newTxnRequest adds a read of each compared key to the failure branch, so that a
// transaction whose conditions fail returns the current state of these keys.
func newTxnRequest(conditions []Compare, changes []Op) txnRequest {
	var request txnRequest
	for _, condition := range conditions {
		key := []byte(condition.Key)
		request.Compare = append(request.Compare, txnCompare{
			Key: key, Target: "MOD", Result: "EQUAL", ModRevision: condition.ModRevision,
		})
		request.Failure = append(request.Failure, txnOp{Range: &rangeRequest{Key: key}})
	}
	for _, change := range changes {
		key := []byte(change.Key)
		if change.Delete {
			request.Success = append(request.Success, txnOp{Delete: &deleteRequest{Key: key}})
			continue
		}
		put := &putRequest{Key: key, Value: change.Value, Lease: change.Lease}
		request.Success = append(request.Success, txnOp{Put: put})
	}
	return request
}

func decodeKeyValues(stored []storedKeyValue) []KeyValue {
	values := make([]KeyValue, 0, len(stored))
	for _, kv := range stored {
		values = append(values, decodeKeyValue(kv))
	}
	return values
}

func decodeKeyValue(kv storedKeyValue) KeyValue {
	return KeyValue{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: kv.CreateRevision,
		ModRevision:    kv.ModRevision,
	}
}

// prefixRange returns the first key and the end key of the range of all keys with a
// prefix. The etcd gateway encodes the range of all keys, which is that of the empty
// prefix, with a zero byte as first and as end key.
func prefixRange(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return []byte(prefix), end[:i+1]
		}
	}
	return []byte(prefix), []byte{0}
}

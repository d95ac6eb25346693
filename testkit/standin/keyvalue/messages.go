package keyvalue

import (
	"fmt"

	"teaselgauge.example/teaselgauge/testkit/standin/revisions"
)

type header struct {
	Revision int64 `json:"revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type rangeResponse struct {
	Header header             `json:"header"`
	KVs    []revisions.Record `json:"kvs,omitempty"`
	Count  int64              `json:"count,omitempty,string"`
}

type txnRequest struct {
	Compare []compare `json:"compare"`
	Success []txnOp   `json:"success"`
	Failure []txnOp   `json:"failure"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type txnOp struct {
	Range  *rangeRequest  `json:"requestRange"`
	Put    *putRequest    `json:"requestPut"`
	Delete *deleteRequest `json:"requestDeleteRange"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []opResponse `json:"responses,omitempty"`
}

type opResponse struct {
	Range  *rangeResponse  `json:"response_range,omitempty"`
	Put    *changeResponse `json:"response_put,omitempty"`
	Delete *changeResponse `json:"response_delete_range,omitempty"`
}

type changeResponse struct {
	Header  header `json:"header"`
	Deleted int64  `json:"deleted,omitempty,string"`
}

type compactionRequest struct {
	Revision int64 `json:"revision,string"`
}

type compactionResponse struct {
	Header header `json:"header"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type leaseResponse struct {
	Header header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,omitempty,string"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchMessage struct {
	Result watchResult `json:"result"`
}

type watchResult struct {
	Header          header            `json:"header"`
	Created         bool              `json:"created,omitempty"`
	Canceled        bool              `json:"canceled,omitempty"`
	CompactRevision int64             `json:"compact_revision,omitempty,string"`
	Events          []revisions.Event `json:"events,omitempty"`
}

// check rejects operations that the stand-in doesn't support and requests that
// exceed its limits.
func (t txnRequest) check() error {
	for _, c := range t.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" {
			return fmt.Errorf("compare %s %s is not supported", c.Target, c.Result)
		}
	}
	if len(t.Success) > maxTxnOps || len(t.Failure) > maxTxnOps || len(t.Compare) > maxTxnOps {
		return fmt.Errorf("too many operations in txn request, the limit is %d", maxTxnOps)
	}
	changed := map[string]struct{}{}
	for _, op := range t.Success {
		if op.Put == nil {
			continue
		}
		if len(op.Put.Value) > maxValueBytes {
			return fmt.Errorf("value of %q is too large: %d bytes, the limit is %d", op.Put.Key, len(op.Put.Value), maxValueBytes)
		}
		if _, ok := changed[string(op.Put.Key)]; ok {
			return fmt.Errorf("duplicate key %q given in txn request", op.Put.Key)
		}
		changed[string(op.Put.Key)] = struct{}{}
	}
	return nil
}

// txn runs a transaction in one revision.
func txn(s *revisions.Store, request txnRequest) (txnResponse, error) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	succeeded := true
	for _, c := range request.Compare {
		succeeded = succeeded && s.Keys[string(c.Key)].ModRevision == c.ModRevision
	}
	ops := request.Failure
	if succeeded {
		ops = request.Success
	}
	if err := checkLeases(s, ops); err != nil {
		return txnResponse{}, err
	}
	responses := apply(s, ops)
	return txnResponse{Header: header{Revision: s.Revision}, Succeeded: succeeded, Responses: responses}, nil
}

func checkLeases(s *revisions.Store, ops []txnOp) error {
	for _, op := range ops {
		if op.Put != nil && op.Put.Lease != 0 && !s.HasLease(op.Put.Lease) {
			return revisions.ErrNoLease
		}
	}
	return nil
}

func apply(s *revisions.Store, ops []txnOp) []opResponse {
	responses := make([]opResponse, 0, len(ops))
	s.Change(func() {
		for _, op := range ops {
			responses = append(responses, applyOne(s, op))
		}
	})
	return responses
}

func applyOne(s *revisions.Store, op txnOp) opResponse {
	at := header{Revision: s.Revision}
	switch {
	case op.Put != nil:
		s.Put(op.Put.Key, op.Put.Value, op.Put.Lease)
		return opResponse{Put: &changeResponse{Header: at}}
	case op.Delete != nil:
		deleted := int64(0)
		for _, kv := range s.Range(op.Delete.Key, op.Delete.RangeEnd) {
			if s.Remove(kv.Key) {
				deleted++
			}
		}
		return opResponse{Delete: &changeResponse{Header: at, Deleted: deleted}}
	case op.Range != nil:
		kvs := s.Range(op.Range.Key, op.Range.RangeEnd)
		return opResponse{Range: &rangeResponse{Header: at, KVs: kvs, Count: int64(len(kvs))}}
	default:
		return opResponse{}
	}
}

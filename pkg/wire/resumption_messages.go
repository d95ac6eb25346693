package wire

import (
	"errors"
	"time"

	"github.com/quic-go/quic-go"

	"teaselgauge.example/teaselgauge/pkg/resumption"
)

// StreamAttempt describes, within Acquire, the attempt to get a part of a stream that the
// caller may resume. The agent records from it where the stream began.
type StreamAttempt struct {
	// StreamID is the ID of the request that brought the stream's first event, or of this
	// request if there is no event yet.
	StreamID string `cbor:"1,keyasint"`
	// Service and Software are the service of the runner, and the version of its software
	// that the gateway believes it has.
	Service  string `cbor:"2,keyasint"`
	Software string `cbor:"3,keyasint,omitempty"`
	// Ordinal numbers the lease requests for the gateway's request, from 1.
	Ordinal int `cbor:"4,keyasint"`
	// StartedAtMillis is the incarnation of the runner that the gateway believes in; zero
	// if it isn't known. A runner of another incarnation may have other software.
	StartedAtMillis int64 `cbor:"5,keyasint,omitempty"`
	// KeepMillis is how long the origin is to be kept.
	KeepMillis uint32 `cbor:"6,keyasint"`
	// Begun is set if the caller has an event of the stream already.
	Begun bool `cbor:"7,keyasint,omitempty"`
}

// Origin returns the origin to record for an attempt of a request.
func (a *StreamAttempt) Origin(now time.Time, requestID string) resumption.Origin {
	return resumption.Origin{
		Service:    a.Service,
		Software:   a.Software,
		Attempt:    resumption.Attempt{RequestID: requestID, Ordinal: a.Ordinal},
		Confirmed:  a.Begun,
		RecordedAt: now,
	}
}

// Retention returns how long the origin is to be kept.
func (a *StreamAttempt) Retention() time.Duration { return retention(a.KeepMillis) }

// OriginQuery asks an agent where a stream began. The response is OriginAnswer.
type OriginQuery struct {
	StreamID string `cbor:"1,keyasint"`
}

// OriginAnswer is the response to OriginQuery.
type OriginAnswer struct {
	// Origin is nil if the agent doesn't know the stream.
	Origin *StreamOrigin `cbor:"1,keyasint,omitempty"`
}

// StreamOrigin is a recorded origin of a stream.
type StreamOrigin struct {
	Service   string `cbor:"1,keyasint"`
	Software  string `cbor:"2,keyasint"`
	RequestID string `cbor:"3,keyasint"`
	Ordinal   int    `cbor:"4,keyasint,omitempty"`
	// Confirmed is set if the caller has an event of the stream.
	Confirmed bool `cbor:"5,keyasint,omitempty"`
	// AgeMillis is the time since the origin was recorded.
	AgeMillis uint32 `cbor:"6,keyasint,omitempty"`
}

// NewStreamOrigin describes an origin at the time now.
func NewStreamOrigin(now time.Time, origin resumption.Origin) *StreamOrigin {
	return &StreamOrigin{
		Service:   origin.Service,
		Software:  origin.Software,
		RequestID: origin.Attempt.RequestID,
		Ordinal:   origin.Attempt.Ordinal,
		Confirmed: origin.Confirmed,
		AgeMillis: uint32(max(now.Sub(origin.RecordedAt), 0).Milliseconds()),
	}
}

// Age returns the time since the origin was recorded.
func (o *StreamOrigin) Age() time.Duration { return time.Duration(o.AgeMillis) * time.Millisecond }

// Received returns the origin as of its receipt at the time now.
func (o *StreamOrigin) Received(now time.Time) resumption.Origin {
	return resumption.Origin{
		Service:    o.Service,
		Software:   o.Software,
		Attempt:    resumption.Attempt{RequestID: o.RequestID, Ordinal: o.Ordinal},
		Confirmed:  o.Confirmed,
		RecordedAt: now.Add(-o.Age()),
	}
}

// OriginHandover gives an agent the origin of a stream that broke off, to be kept in place
// of the agent that recorded it.
type OriginHandover struct {
	StreamID string       `cbor:"1,keyasint"`
	Origin   StreamOrigin `cbor:"2,keyasint"`
	// KeepMillis is how long the origin is to be kept.
	KeepMillis uint32 `cbor:"3,keyasint"`
}

// Retention returns how long the origin is to be kept.
func (h *OriginHandover) Retention() time.Duration { return retention(h.KeepMillis) }

func retention(keepMillis uint32) time.Duration {
	return min(time.Duration(keepMillis)*time.Millisecond, resumption.Retention)
}

// IsCancelled reports whether an error of Receive means that the peer has cancelled the
// stream, so that the peer's process was running then.
func IsCancelled(err error) bool {
	var cancelled *quic.StreamError
	return errors.As(err, &cancelled) && cancelled.Remote
}

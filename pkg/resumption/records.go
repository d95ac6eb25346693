package resumption

import (
	"container/heap"
	"crypto/sha256"
	"encoding/base64"
	"time"
)

const (
	// ReturnSlack is how long an origin is kept after the caller's own deadline. It covers
	// the time until the caller's last request has reached an entry.
	ReturnSlack = 5 * time.Second
	// MaxRecords limits the number of origins at one place.
	MaxRecords = 1 << 14
)

// RetentionFor returns how long the origin of a stream is kept whose caller waits for
// another timeout at most.
func RetentionFor(timeout time.Duration) time.Duration {
	return min(max(timeout, 0)+ReturnSlack, Retention)
}

// Attempt identifies one attempt of a request to get a response from a server.
type Attempt struct {
	RequestID string
	// Ordinal numbers the attempts of a request, from 1.
	Ordinal int
}

func (a Attempt) compact() Attempt {
	a.RequestID = compact(a.RequestID)
	return a
}

// maxIDBytes is the size up to which an ID is kept as it is. Callers choose their IDs, and
// may choose long ones.
const maxIDBytes = 64

// compact returns an ID of at most maxIDBytes in place of a longer one, always the same.
func compact(id string) string {
	if len(id) <= maxIDBytes {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return "sha256:" + base64.RawURLEncoding.EncodeToString(sum[:])
}

// Origin is where a stream began.
type Origin struct {
	// Service and Software are the service, and the version of its software, of the
	// server.
	Service  string
	Software string
	// Attempt recorded the origin.
	Attempt Attempt
	// Confirmed is set once the caller has an event of the stream.
	Confirmed bool
	// RecordedAt is when the origin became known.
	RecordedAt time.Time
}

// isSame reports whether two origins name the same version of the same service.
func (o Origin) isSame(other Origin) bool {
	return o.Service == other.Service && o.Software == other.Software
}

// Records holds the origins of streams at one place, by the ID of the stream. The zero
// value is empty. It isn't safe for concurrent use.
type Records struct {
	byStream map[string]*record
	// byExpiry holds the same records as a heap, the one that expires first on top.
	byExpiry expiryHeap
}

// record is the origin of one stream.
type record struct {
	Origin
	stream  string
	expires time.Time
	// index is the record's place in the heap.
	index int
}

// Put records an origin for the time retention, and reports whether another one had to be
// dropped for it. An origin without a version isn't recorded. The version of a confirmed
// origin doesn't change, and an unconfirmed one is replaced.
func (r *Records) Put(now time.Time, stream string, origin Origin, retention time.Duration) (dropped bool) {
	r.expire(now)
	stream, origin.Attempt = compact(stream), origin.Attempt.compact()
	if stream == "" || origin.Software == "" {
		return false
	}
	expires := now.Add(retention)
	if known := r.byStream[stream]; known != nil {
		r.update(known, origin, expires)
		return false
	}
	if len(r.byExpiry) >= MaxRecords {
		r.remove(r.byExpiry[0])
		dropped = true
	}
	if r.byStream == nil {
		r.byStream = make(map[string]*record)
	}
	added := &record{Origin: origin, stream: stream, expires: expires}
	r.byStream[stream] = added
	heap.Push(&r.byExpiry, added)
	return dropped
}

// update applies another origin of a recorded stream.
func (r *Records) update(known *record, origin Origin, expires time.Time) {
	if known.Confirmed && !known.isSame(origin) {
		return
	}
	if !known.Confirmed {
		known.Origin = origin
	}
	if expires.After(known.expires) {
		known.expires = expires
		heap.Fix(&r.byExpiry, known.index)
	}
}

// Confirm records that the caller has an event from the attempt that recorded the stream's
// origin. It does nothing if another attempt did.
func (r *Records) Confirm(stream string, attempt Attempt) {
	if known := r.byStream[compact(stream)]; known != nil && known.Attempt == attempt.compact() {
		known.Confirmed = true
	}
}

// Forget removes the origin of a stream if the attempt recorded it and brought no event.
func (r *Records) Forget(stream string, attempt Attempt) {
	if known := r.byStream[compact(stream)]; known != nil && known.Attempt == attempt.compact() && !known.Confirmed {
		r.remove(known)
	}
}

// Find returns the origin of a stream, if it is recorded.
func (r *Records) Find(now time.Time, stream string) (Origin, bool) {
	r.expire(now)
	known := r.byStream[compact(stream)]
	if known == nil {
		return Origin{}, false
	}
	return known.Origin, true
}

// Len returns the number of origins, including those that have expired since the last
// change.
func (r *Records) Len() int { return len(r.byExpiry) }

func (r *Records) expire(now time.Time) {
	for len(r.byExpiry) > 0 && !now.Before(r.byExpiry[0].expires) {
		r.remove(r.byExpiry[0])
	}
}

func (r *Records) remove(known *record) {
	heap.Remove(&r.byExpiry, known.index)
	delete(r.byStream, known.stream)
}

// expiryHeap implements heap.Interface.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *expiryHeap) Push(added any) {
	known := added.(*record)
	known.index = len(*h)
	*h = append(*h, known)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return removed
}

package once

import "time"

const (
	// MaxBatch is the maximum number of records in one transaction.
	MaxBatch = 64
	// DefaultBatchDelay is how long a record waits for others to join its batch.
	DefaultBatchDelay = 2 * time.Millisecond
)

// Batch is a set of records to create in one transaction, on the condition that none
// of their keys exists.
type Batch struct {
	Writes []WriteRecord
}

// Batcher groups records into transactions. Use NewBatcher.
type Batcher struct {
	delay   time.Duration
	pending []WriteRecord
	keys    map[Key]struct{}
	due     time.Time
}

// NewBatcher returns an empty batcher. A delay of zero or less means
// DefaultBatchDelay.
func NewBatcher(delay time.Duration) *Batcher {
	return &Batcher{
		delay: orDefault(delay, DefaultBatchDelay),
		keys:  map[Key]struct{}{},
	}
}

// Add queues a record and returns a batch if one is full. A key that is already
// queued isn't added again.
func (b *Batcher) Add(now time.Time, write WriteRecord) (Batch, bool) {
	if _, ok := b.keys[write.Key]; ok {
		return Batch{}, false
	}
	if len(b.pending) == 0 {
		b.due = now.Add(b.delay)
	}
	b.pending = append(b.pending, write)
	b.keys[write.Key] = struct{}{}
	if len(b.pending) < MaxBatch {
		return Batch{}, false
	}
	return b.flush(), true
}

// Due returns the queued records as a batch if their delay has passed.
func (b *Batcher) Due(now time.Time) (Batch, bool) {
	if len(b.pending) == 0 || now.Before(b.due) {
		return Batch{}, false
	}
	return b.flush(), true
}

// NextDue returns when Due will return a batch, or the zero time.
func (b *Batcher) NextDue() time.Time {
	if len(b.pending) == 0 {
		return time.Time{}
	}
	return b.due
}

func (b *Batcher) flush() Batch {
	batch := Batch{Writes: b.pending}
	b.pending = nil
	clear(b.keys)
	return batch
}

// Created returns the events of a batch whose transaction succeeded.
func (b Batch) Created() []Event {
	events := make([]Event, 0, len(b.Writes))
	for _, w := range b.Writes {
		events = append(events, RecordCreated{Key: w.Key})
	}
	return events
}

// Failed returns the events of a batch whose transaction failed.
func (b Batch) Failed(uncertain bool) []Event {
	events := make([]Event, 0, len(b.Writes))
	for _, w := range b.Writes {
		events = append(events, RecordFailed{Key: w.Key, Uncertain: uncertain})
	}
	return events
}

// Split handles a batch whose condition failed because some keys exist: it returns
// the events of these keys and a batch of the others, which must be written again.
// If none of the batch's keys is in existing, the whole batch must be written
// again.
func (b Batch) Split(existing map[Key]Record) ([]Event, Batch) {
	var events []Event
	var rest Batch
	for _, w := range b.Writes {
		if owner, ok := existing[w.Key]; ok {
			events = append(events, RecordExists{Key: w.Key, Owner: owner})
		} else {
			rest.Writes = append(rest.Writes, w)
		}
	}
	return events, rest
}

package ledger

import (
	"errors"
	"fmt"
	"maps"

	"teaselgauge.example/teaselgauge/pkg/engine"
)

// Key identifies what holds memory: a model version, or an adapter version on top of
// its base model.
type Key = engine.Target

// The errors of the ledger.
var (
	// ErrNoMemory reports that a reservation exceeds the free memory.
	ErrNoMemory = errors.New("ledger: not enough accelerator memory")
	// ErrExists reports that the key already holds memory.
	ErrExists = errors.New("ledger: key already holds memory")
	// ErrNoBase reports that an adapter's base model holds no memory or is being
	// unloaded.
	ErrNoBase = errors.New("ledger: base model isn't loaded")
	// ErrInUse reports that a model can't be released while adapters are loaded on
	// it.
	ErrInUse = errors.New("ledger: adapters are loaded on the model")
	// ErrState reports an operation that the key's state doesn't allow.
	ErrState = errors.New("ledger: operation not allowed in this state")
	// ErrSize reports a size that isn't positive.
	ErrSize = errors.New("ledger: size must be positive")
)

// OvercommitError reports that an engine holds more memory than its capacity.
type OvercommitError struct {
	CapacityMiB int64
	HeldMiB     int64
}

// Error implements error.
func (e *OvercommitError) Error() string {
	return fmt.Sprintf("ledger: engine holds %d MiB, capacity %d MiB", e.HeldMiB, e.CapacityMiB)
}

// State is the state of a key.
type State uint8

// The states. A key that is Absent has no entry.
const (
	Absent State = iota
	// Reserved means that a load is or will be ordered.
	Reserved
	// Held means that the engine confirmed the load.
	Held
	// Releasing means that an unload is ordered.
	Releasing
	// Uncertain means that the response to an order was lost.
	Uncertain
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Absent:
		return "absent"
	case Reserved:
		return "reserved"
	case Held:
		return "held"
	case Releasing:
		return "releasing"
	default:
		return "uncertain"
	}
}

// Entry is the state and the memory of one key.
type Entry struct {
	State State
	MiB   int64
}

// Ledger tracks the memory of one engine. Use New.
type Ledger struct {
	capacity int64
	used     int64
	entries  map[Key]Entry
}

// New returns an empty ledger for an engine with the given capacity in MiB.
func New(capacityMiB int64) *Ledger {
	return &Ledger{capacity: capacityMiB, entries: map[Key]Entry{}}
}

// Reserve reserves memory for a load that is about to be ordered. Its errors match
// ErrSize, ErrExists, ErrNoBase or ErrNoMemory.
func (l *Ledger) Reserve(key Key, mib int64) error {
	if mib <= 0 {
		return fmt.Errorf("%w: %d MiB", ErrSize, mib)
	}
	if e, ok := l.entries[key]; ok {
		return fmt.Errorf("%w: %s", ErrExists, e.State)
	}
	if !l.hasUsableBase(key) {
		return ErrNoBase
	}
	if mib > l.Free() {
		return fmt.Errorf("%w: %d MiB requested, %d MiB free", ErrNoMemory, mib, l.Free())
	}
	l.set(key, Entry{State: Reserved, MiB: mib})
	return nil
}

// Cancel frees a reservation whose load was certainly never ordered.
func (l *Ledger) Cancel(key Key) error {
	if err := l.expectState(key, Reserved); err != nil {
		return err
	}
	l.remove(key)
	return nil
}

// ConfirmLoad records that the engine confirmed the load.
func (l *Ledger) ConfirmLoad(key Key) error {
	if err := l.expectState(key, Reserved); err != nil {
		return err
	}
	l.setState(key, Held)
	return nil
}

// Release records that an unload is about to be ordered. The memory counts as used
// until Resolve. A model can be released only after its adapters are unloaded.
func (l *Ledger) Release(key Key) error {
	if err := l.expectState(key, Held); err != nil {
		return err
	}
	if l.hasAdapters(key) {
		return ErrInUse
	}
	l.setState(key, Releasing)
	return nil
}

// MarkUncertain records that the response to the key's order was lost. The key
// counts as present until Resolve.
func (l *Ledger) MarkUncertain(key Key) error {
	if _, ok := l.entries[key]; !ok {
		return fmt.Errorf("%w: %s", ErrState, Absent)
	}
	l.setState(key, Uncertain)
	return nil
}

// Resolve records the engine's state of a key after its last order ended: a present
// key becomes Held, the memory of an absent one becomes free. For an uncertain key,
// the engine's state must have been read when no order for the key could be in
// flight any more. If a key without an entry is present, Resolve returns ErrState;
// SyncFromEngine adds such keys.
func (l *Ledger) Resolve(key Key, present bool) error {
	if _, ok := l.entries[key]; !ok {
		if !present {
			return nil
		}
		return fmt.Errorf("%w: %s", ErrState, Absent)
	}
	if present {
		l.setState(key, Held)
		return nil
	}
	l.remove(key)
	return nil
}

// SyncFromEngine replaces all entries by the engine's own state, read at the start
// of an agent's incarnation. Targets that are being loaded or unloaded become
// uncertain. If the engine reports more than the capacity, all of it is recorded
// and an *OvercommitError is returned.
func (l *Ledger) SyncFromEngine(state engine.State) error {
	l.capacity = state.MemoryMiB
	l.used = 0
	clear(l.entries)
	for _, r := range state.Residents {
		if s := stateFromEngine(r.State); s != Absent {
			l.set(r.Target, Entry{State: s, MiB: max(r.MemoryMiB, 0)})
		}
	}
	return l.checkCapacity()
}

func stateFromEngine(s engine.LoadState) State {
	switch s {
	case engine.StateAbsent:
		return Absent
	case engine.StateLoaded:
		return Held
	default:
		return Uncertain
	}
}

// Resize records the size that the engine reports for a present key.
func (l *Ledger) Resize(key Key, mib int64) error {
	e, ok := l.entries[key]
	if !ok {
		return fmt.Errorf("%w: %s", ErrState, Absent)
	}
	if mib < 0 {
		return fmt.Errorf("%w: %d MiB", ErrSize, mib)
	}
	e.MiB = mib
	l.set(key, e)
	return l.checkCapacity()
}

// Free returns the memory in MiB that can be reserved.
func (l *Ledger) Free() int64 { return max(l.capacity-l.used, 0) }

// Used returns the used and reserved memory in MiB.
func (l *Ledger) Used() int64 { return l.used }

// Capacity returns the engine's memory in MiB.
func (l *Ledger) Capacity() int64 { return l.capacity }

// Get returns the entry of a key; its state is Absent if there is none.
func (l *Ledger) Get(key Key) Entry { return l.entries[key] }

// Entries returns a copy of all entries.
func (l *Ledger) Entries() map[Key]Entry {
	return maps.Clone(l.entries)
}

func (l *Ledger) checkCapacity() error {
	if l.used > l.capacity {
		return &OvercommitError{CapacityMiB: l.capacity, HeldMiB: l.used}
	}
	return nil
}

func (l *Ledger) expectState(key Key, want State) error {
	if have := l.entries[key].State; have != want {
		return fmt.Errorf("%w: %s, want %s", ErrState, have, want)
	}
	return nil
}

func (l *Ledger) set(key Key, e Entry) {
	l.used += e.MiB - l.entries[key].MiB
	l.entries[key] = e
}

func (l *Ledger) setState(key Key, s State) {
	e := l.entries[key]
	e.State = s
	l.entries[key] = e
}

func (l *Ledger) remove(key Key) {
	l.used -= l.entries[key].MiB
	delete(l.entries, key)
}

func base(key Key) Key {
	return Key{Model: key.Model, Version: key.Version}
}

// hasUsableBase reports whether an adapter's base model is loaded or being loaded.
// It returns true for models.
func (l *Ledger) hasUsableBase(key Key) bool {
	if key.Adapter == "" {
		return true
	}
	s := l.entries[base(key)].State
	return s == Reserved || s == Held
}

func (l *Ledger) hasAdapters(key Key) bool {
	if key.Adapter != "" {
		return false
	}
	for other := range l.entries {
		if other.Adapter != "" && base(other) == key {
			return true
		}
	}
	return false
}

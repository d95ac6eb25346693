package backends

import (
	"cmp"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

const (
	// removedMemory is how long a removed entry's incarnation and sequence are
	// remembered, so that a late write of it is recognised.
	removedMemory = time.Minute
	// lapseGrace is how long an entry that is missing after an outage of the
	// store counts as lapsed instead of gone. Living servers are back within
	// about two seconds.
	lapseGrace = 2500 * time.Millisecond
)

// entry is what is known of one server.
type entry struct {
	backend fleet.Backend
	// usable is false after the entry was removed or overwritten by bytes that
	// can't be read.
	usable bool
	// lapsedUntil is set while a missing entry is still taken for a lapsed one.
	lapsedUntil time.Time
	removedAt   time.Time
}

// Registry holds the registered backend servers. Use NewRegistry.
type Registry struct {
	entries map[string]*entry
	// unstableUntil is until when missing entries count as lapsed.
	unstableUntil time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: make(map[string]*entry)}
}

// StoreUnstable notes that the store failed just now. Entries that go missing
// from now until it has been back for a while are kept as lapsed.
func (r *Registry) StoreUnstable(now time.Time) {
	r.unstableUntil = now.Add(lapseGrace)
}

// Put takes in a registration. A write that is older than what is known of the
// same server is ignored; it returns whether anything but the heartbeat's
// sequence changed.
func (r *Registry) Put(now time.Time, backend fleet.Backend) bool {
	if !r.supersede(now, &backend) {
		return false
	}
	known := r.entries[backend.ID]
	if known == nil {
		r.entries[backend.ID] = &entry{backend: backend, usable: true}
		return true
	}
	if isOlder(&backend, &known.backend) {
		return false
	}
	changed := !known.usable || !known.lapsedUntil.IsZero() || differs(&backend, &known.backend)
	known.backend = backend
	known.usable = true
	known.lapsedUntil = time.Time{}
	return changed
}

// supersede drops the servers that had an address before. It returns false if a
// later server has the address.
func (r *Registry) supersede(now time.Time, backend *fleet.Backend) bool {
	for id, other := range r.entries {
		if id == backend.ID || other.backend.Address != backend.Address || !other.usable {
			continue
		}
		if other.backend.StartedAtMillis > backend.StartedAtMillis {
			return false
		}
		if other.backend.StartedAtMillis < backend.StartedAtMillis {
			other.drop(now)
		}
	}
	return true
}

// isOlder tells whether a registration was written before another one of the
// same server.
func isOlder(a, b *fleet.Backend) bool {
	if a.StartedAtMillis != b.StartedAtMillis {
		return a.StartedAtMillis < b.StartedAtMillis
	}
	return a.Address == b.Address && a.Sequence < b.Sequence
}

func differs(a, b *fleet.Backend) bool {
	return a.Service != b.Service || a.Address != b.Address || a.FailureDomain != b.FailureDomain ||
		a.Slots != b.Slots || a.State != b.State || a.StartedAtMillis != b.StartedAtMillis ||
		!slices.EqualFunc(a.Models, b.Models, sameModel)
}

func sameModel(a, b fleet.LoadedModel) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// Remove takes in the removal of an entry. It returns whether the server is no
// longer usable.
func (r *Registry) Remove(now time.Time, id string) bool {
	known := r.entries[id]
	if known == nil || !known.usable {
		return false
	}
	if now.Before(r.unstableUntil) {
		if known.lapsedUntil.IsZero() {
			known.lapsedUntil = now.Add(lapseGrace)
		}
		return false
	}
	known.drop(now)
	return true
}

// Drop takes in that an entry names no server, outage or not: it is gone, or can't be
// read. It returns whether the server was usable.
func (r *Registry) Drop(now time.Time, id string) bool {
	known := r.entries[id]
	if known == nil || !known.usable {
		return false
	}
	known.drop(now)
	return true
}

func (e *entry) drop(now time.Time) {
	e.usable = false
	e.lapsedUntil = time.Time{}
	e.removedAt = now
}

// Replace takes in a complete reading of the registrations. Servers that it
// lacks are removed.
func (r *Registry) Replace(now time.Time, listed []fleet.Backend) bool {
	changed := false
	present := make(map[string]bool, len(listed))
	for _, backend := range listed {
		present[backend.ID] = true
		changed = r.Put(now, backend) || changed
	}
	for id := range r.entries {
		if !present[id] {
			changed = r.Remove(now, id) || changed
		}
	}
	return changed
}

// Expire drops lapsed servers that did not come back and forgets removed ones.
// It returns whether a server is no longer usable.
func (r *Registry) Expire(now time.Time) bool {
	changed := false
	for id, known := range r.entries {
		if known.usable && !known.lapsedUntil.IsZero() && !now.Before(known.lapsedUntil) {
			known.drop(now)
			changed = true
		}
		if !known.usable && now.Sub(known.removedAt) > removedMemory {
			delete(r.entries, id)
		}
	}
	return changed
}

// NextExpiry returns when Expire has a lapsed server to drop, or the zero time.
func (r *Registry) NextExpiry() time.Time {
	var first time.Time
	for _, known := range r.entries {
		if known.usable && !known.lapsedUntil.IsZero() && (first.IsZero() || known.lapsedUntil.Before(first)) {
			first = known.lapsedUntil
		}
	}
	return first
}

// Backends returns the usable servers ordered by ID, draining ones included.
func (r *Registry) Backends() []fleet.Backend {
	usable := make([]fleet.Backend, 0, len(r.entries))
	for _, known := range r.entries {
		if known.usable {
			usable = append(usable, known.backend)
		}
	}
	slices.SortFunc(usable, func(a, b fleet.Backend) int { return cmp.Compare(a.ID, b.ID) })
	return usable
}

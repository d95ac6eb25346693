package backends

import (
	"cmp"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

const (
	// removedRetention is how long a removed server's incarnation and sequence are
	// kept, so that a delayed write of its registration is recognised.
	removedRetention = time.Minute
	// storeGrace is how long after an outage of the store a registration that has been
	// missing since then is kept. Running servers register again within about two seconds.
	storeGrace = 2500 * time.Millisecond
	// outageDivisor is the part of a heartbeat that the shortest outage lasts. A shorter one is
	// a call that failed once and was repeated; it keeps no server from more than a heartbeat.
	outageDivisor = 2
	// defaultHeartbeat is how often servers write their registrations, unless SetHeartbeat is
	// called.
	defaultHeartbeat = time.Second
)

// registration is the state of one server.
type registration struct {
	backend fleet.Backend
	// usable is false once the registration was removed or overwritten with
	// unreadable bytes.
	usable bool
	// mayHaveLapsed is set from the end of an outage of the store until the registration is
	// seen again: if it is missing then, its lease may have ended in the outage.
	mayHaveLapsed bool
	// missingUntil is set while a missing registration is kept after a store outage.
	missingUntil time.Time
	removedAt    time.Time
}

// Registry holds the registered backend servers. Use NewRegistry.
type Registry struct {
	registrations map[string]*registration
	// services are those of the configuration; nil before there is one.
	services  map[string]bool
	heartbeat time.Duration
	outage    outageDetector
	// keepUntil is until when registrations that were missing when the store came back are
	// kept.
	keepUntil time.Time
	// kept are the registrations that were kept though they are missing, since TakeKept was
	// called last.
	kept []Kept
}

// Kept is a registration that is kept for a time though it is missing.
type Kept struct {
	ID    string
	Until time.Time
}

// TakeKept returns the registrations that were kept though they are missing since the last
// call, for the log.
func (r *Registry) TakeKept() []Kept {
	kept := r.kept
	r.kept = nil
	return kept
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{registrations: make(map[string]*registration), heartbeat: defaultHeartbeat}
}

// SetHeartbeat sets how often servers write their registrations.
func (r *Registry) SetHeartbeat(interval time.Duration) { r.heartbeat = interval }

// ConnectionLost records that a call to the store on a connection in use had no answer since a
// time. The connection may have gone silent while the store was there.
func (r *Registry) ConnectionLost(since time.Time) { r.outage.connectionLost(since) }

// StoreFailed records that the store didn't respond properly to a call, or not at all on a new
// connection. since is when it may have begun to fail: when the call was sent if there was no
// response, else when it failed.
func (r *Registry) StoreFailed(since time.Time) { r.outage.storeFailed(since) }

// StoreRead records that all registrations were read from the store on a new connection, by a
// call that was sent at a time. If that is the end of an outage in which leases may have ended,
// registrations that are missing from now on are kept until storeGrace later, unless they are
// seen before. It returns how long the outage was; zero if there was none.
func (r *Registry) StoreRead(sentAt, now time.Time) time.Duration {
	away := r.outage.read(sentAt, now, r.heartbeat/outageDivisor)
	if away == 0 {
		return 0
	}
	r.keepUntil = now.Add(storeGrace)
	for _, known := range r.registrations {
		known.mayHaveLapsed = known.usable
	}
	return away
}

// RelayRead records that a relay has read the registrations at a time. It decides which ones
// have lapsed.
func (r *Registry) RelayRead(at time.Time) { r.outage.relayRead(at) }

// SetServices sets the names of the services of the configuration. Registrations for other
// services may come from another writer and take no address.
func (r *Registry) SetServices(now time.Time, names []string) {
	known := make(map[string]bool, len(names))
	for _, name := range names {
		known[name] = true
	}
	added := slices.ContainsFunc(names, func(name string) bool { return !r.services[name] })
	r.services = known
	if !added {
		return
	}
	for _, registered := range r.registrations {
		if registered.usable && !r.claimAddress(now, &registered.backend) {
			registered.remove(now)
		}
	}
}

// isOfService reports whether a registration is for a service of the configuration, as far
// as that is known.
func (r *Registry) isOfService(backend *fleet.Backend) bool {
	return r.services == nil || r.services[backend.Service]
}

// Put applies a registration and ignores writes that are older than the known
// registration of the same server. It reports whether anything but the heartbeat's
// sequence changed.
func (r *Registry) Put(now time.Time, backend fleet.Backend) bool {
	if !r.claimAddress(now, &backend) {
		return false
	}
	backend.Software = cmp.Or(backend.Software, fleet.UnnamedSoftware)
	known := r.registrations[backend.ID]
	if known == nil {
		r.registrations[backend.ID] = &registration{backend: backend, usable: true}
		return true
	}
	if isOlder(&backend, &known.backend) {
		return false
	}
	changed := !known.usable || !known.missingUntil.IsZero() || differs(&backend, &known.backend)
	known.backend = backend
	known.usable = true
	known.mayHaveLapsed = false
	known.missingUntil = time.Time{}
	return changed
}

// claimAddress removes the servers that used an address before. It returns false if
// a newer server uses the address. Registrations for unknown services neither take an
// address nor hold one.
func (r *Registry) claimAddress(now time.Time, backend *fleet.Backend) bool {
	if !r.isOfService(backend) {
		return true
	}
	for id, other := range r.registrations {
		if id == backend.ID || other.backend.Address != backend.Address || !other.usable || !r.isOfService(&other.backend) {
			continue
		}
		if other.backend.StartedAtMillis > backend.StartedAtMillis {
			return false
		}
		if other.backend.StartedAtMillis < backend.StartedAtMillis {
			other.remove(now)
		}
	}
	return true
}

// isOlder reports whether a registration was written before another one of the same
// server.
func isOlder(a, b *fleet.Backend) bool {
	if a.StartedAtMillis != b.StartedAtMillis {
		return a.StartedAtMillis < b.StartedAtMillis
	}
	return isSameIncarnation(a, b) && a.Sequence < b.Sequence
}

// isSameIncarnation reports whether two registrations of a server are of the same start of it.
func isSameIncarnation(a, b *fleet.Backend) bool {
	return a.StartedAtMillis == b.StartedAtMillis && a.Address == b.Address
}

func differs(a, b *fleet.Backend) bool {
	return a.Service != b.Service || a.Address != b.Address || a.FailureDomain != b.FailureDomain ||
		a.Software != b.Software || a.Slots != b.Slots || a.State != b.State || a.StartedAtMillis != b.StartedAtMillis ||
		!slices.EqualFunc(a.Models, b.Models, sameModel)
}

func sameModel(a, b fleet.LoadedModel) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// Remove applies the removal of a registration. One that may have lapsed in an outage of the
// store, and hasn't been seen since, is kept as missing instead. It reports whether the server
// is no longer usable.
func (r *Registry) Remove(now time.Time, id string) bool {
	known := r.registrations[id]
	if known == nil || !known.usable {
		return false
	}
	if known.mayHaveLapsed && now.Before(r.keepUntil) {
		if known.missingUntil.IsZero() {
			known.missingUntil = r.keepUntil
			r.kept = append(r.kept, Kept{ID: id, Until: known.missingUntil})
		}
		return false
	}
	known.remove(now)
	return true
}

// AwaitsMissing reports whether a missing registration is kept, so that it matters how soon
// the next one is read.
func (r *Registry) AwaitsMissing() bool {
	for _, known := range r.registrations {
		if known.usable && !known.missingUntil.IsZero() {
			return true
		}
	}
	return false
}

// Drop removes a server whose registration was deleted or can't be read, even
// during a store outage. It reports whether the server was usable.
func (r *Registry) Drop(now time.Time, id string) bool {
	known := r.registrations[id]
	if known == nil || !known.usable {
		return false
	}
	known.remove(now)
	return true
}

func (r *registration) remove(now time.Time) {
	r.usable = false
	r.mayHaveLapsed = false
	r.missingUntil = time.Time{}
	r.removedAt = now
}

// Replace applies a complete list of the registrations and removes servers that it
// doesn't contain. It reports whether anything changed.
func (r *Registry) Replace(now time.Time, listed []fleet.Backend) bool {
	changed := false
	present := make(map[string]bool, len(listed))
	for _, backend := range listed {
		present[backend.ID] = true
		changed = r.Put(now, backend) || changed
	}
	for id := range r.registrations {
		if !present[id] {
			changed = r.Remove(now, id) || changed
		}
	}
	return changed
}

// Adopt applies the complete list of a relay, which decides which servers are registered,
// also during an outage of the store. A relay passes no heartbeats on, so a server may be
// listed with an older sequence than is known of it. It reports whether anything changed.
func (r *Registry) Adopt(now time.Time, listed []fleet.Backend) bool {
	changed := false
	present := make(map[string]bool, len(listed))
	for _, backend := range listed {
		present[backend.ID] = true
		if known := r.registrations[backend.ID]; known != nil && isSameIncarnation(&backend, &known.backend) {
			backend.Sequence = max(backend.Sequence, known.backend.Sequence)
		}
		changed = r.Put(now, backend) || changed
	}
	for id := range r.registrations {
		if !present[id] {
			changed = r.Drop(now, id) || changed
		}
	}
	return changed
}

// Expire removes missing servers whose grace period has ended and deletes expired
// records of removed ones. It reports whether a server is no longer usable.
func (r *Registry) Expire(now time.Time) bool {
	changed := false
	for id, known := range r.registrations {
		if known.usable && !known.missingUntil.IsZero() && !now.Before(known.missingUntil) {
			known.remove(now)
			changed = true
		}
		if !known.usable && now.Sub(known.removedAt) > removedRetention {
			delete(r.registrations, id)
		}
	}
	return changed
}

// Backends returns the usable servers ordered by ID, including draining ones.
func (r *Registry) Backends() []fleet.Backend {
	usable := make([]fleet.Backend, 0, len(r.registrations))
	for _, known := range r.registrations {
		if known.usable {
			usable = append(usable, known.backend)
		}
	}
	slices.SortFunc(usable, func(a, b fleet.Backend) int { return cmp.Compare(a.ID, b.ID) })
	return usable
}

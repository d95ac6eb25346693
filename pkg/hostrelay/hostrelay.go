// Package hostrelay transfers the platform's host list from the entries that read
// it to those that don't, as diffs between versions.
package hostrelay

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// maxVersions is the number of versions kept as a base for diffs.
const maxVersions = 32

// ErrUnknownBase means that the base of an update is not known here, or that
// applying the update doesn't result in the expected list. A request that names no
// known list gets a complete one.
var ErrUnknownBase = errors.New("host list update has an unknown base")

// version is one list, sorted by ID.
type version struct {
	// sum is the checksum of the list.
	sum     uint64
	listing *hostlist.Listing
}

// Relay holds the newest host list and some earlier ones. It is safe for
// concurrent use.
type Relay struct {
	mu sync.Mutex
	// source is the last published listing, before sorting.
	source   *hostlist.Listing
	versions []version
}

// New returns a relay without a list.
func New() *Relay { return &Relay{} }

// Publish makes a listing the newest one and reports whether it differs from the
// previous one.
func (r *Relay) Publish(listing *hostlist.Listing) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if listing == r.source {
		return false, nil
	}
	sorted := slices.Clone(listing.Hosts)
	slices.SortFunc(sorted, func(a, b hostlist.Host) int { return cmp.Compare(a.ID, b.ID) })
	sum, err := checksum(sorted)
	if err != nil {
		return false, err
	}
	r.source = listing
	return r.add(version{sum: sum, listing: &hostlist.Listing{Hosts: sorted}}), nil
}

// add appends a version unless it is already the newest.
func (r *Relay) add(next version) bool {
	if next.sum == r.newest().sum {
		return false
	}
	r.versions = append(r.versions, next)
	if len(r.versions) > maxVersions {
		r.versions = slices.Delete(r.versions, 0, 1)
	}
	return true
}

// checksum returns the checksum of a sorted list. Zero is reserved for no list.
func checksum(hosts []hostlist.Host) (uint64, error) {
	hash := xxhash.New()
	encoder := json.NewEncoder(hash)
	for i := range hosts {
		if err := encoder.Encode(&hosts[i]); err != nil {
			return 0, fmt.Errorf("host list: compute checksum: %w", err)
		}
	}
	return max(hash.Sum64(), 1), nil
}

func (r *Relay) newest() version {
	if len(r.versions) == 0 {
		return version{}
	}
	return r.versions[len(r.versions)-1]
}

// Current returns the newest list, or nil.
func (r *Relay) Current() *hostlist.Listing {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest().listing
}

// Sum returns the checksum of the newest list; zero means none.
func (r *Relay) Sum() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest().sum
}

// Update returns the update from a known list to the newest one; nil if they are the
// same, if there is none, or if the requester wants none.
func (r *Relay) Update(known uint64) *wire.HostUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := r.newest()
	if newest.sum == 0 || known == newest.sum || known == wire.NoHosts {
		return nil
	}
	base := r.find(known)
	if base == nil {
		return &wire.HostUpdate{Sum: newest.sum, Hosts: newest.listing.Hosts}
	}
	update := diff(base.Hosts, newest.listing.Hosts)
	update.Sum = newest.sum
	update.Base = known
	return update
}

func (r *Relay) find(sum uint64) *hostlist.Listing {
	for _, known := range r.versions {
		if known.sum == sum {
			return known.listing
		}
	}
	return nil
}

// diff returns the update from one sorted list to another, without checksums.
func diff(from, to []hostlist.Host) *wire.HostUpdate {
	before := byID(from)
	update := &wire.HostUpdate{}
	for _, host := range to {
		previous, known := before[host.ID]
		if !known || !equal(previous, host) {
			update.Hosts = append(update.Hosts, host)
		}
		delete(before, host.ID)
	}
	for id := range before {
		update.Removed = append(update.Removed, id)
	}
	slices.Sort(update.Removed)
	return update
}

func byID(hosts []hostlist.Host) map[string]hostlist.Host {
	index := make(map[string]hostlist.Host, len(hosts))
	for _, host := range hosts {
		index[host.ID] = host
	}
	return index
}

func equal(a, b hostlist.Host) bool {
	return a.ID == b.ID && a.Role == b.Role && a.State == b.State &&
		a.FailureDomain == b.FailureDomain && a.Region == b.Region &&
		a.Address == b.Address && slices.Equal(a.Services, b.Services)
}

// Apply applies an update and makes the result the newest list. The error wraps
// ErrUnknownBase if the update can't be applied.
func (r *Relay) Apply(update *wire.HostUpdate) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := update.Hosts
	if update.Base != 0 {
		base := r.find(update.Base)
		if base == nil {
			return fmt.Errorf("host list with checksum %x: %w", update.Base, ErrUnknownBase)
		}
		hosts = apply(base.Hosts, update)
	}
	sum, err := checksum(hosts)
	if err != nil {
		return err
	}
	if sum != update.Sum {
		return fmt.Errorf("host list has checksum %x, want %x: %w", sum, update.Sum, ErrUnknownBase)
	}
	r.source = nil
	r.add(version{sum: sum, listing: &hostlist.Listing{Hosts: hosts}})
	return nil
}

func apply(base []hostlist.Host, update *wire.HostUpdate) []hostlist.Host {
	index := byID(base)
	for _, id := range update.Removed {
		delete(index, id)
	}
	for _, host := range update.Hosts {
		index[host.ID] = host
	}
	hosts := make([]hostlist.Host, 0, len(index))
	for _, host := range index {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b hostlist.Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts
}

package resumption

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Retention is how long a version counts as recent after its last server was gone. It
// exceeds the time for which callers resume their streams, and the differences between
// the clocks of hosts.
const Retention = 2 * time.Minute

// ErrMalformed indicates that a stored history can't be decoded.
var ErrMalformed = errors.New("malformed history of software versions")

// Usage is a version of the software that servers of a service run or ran lately.
type Usage struct {
	Software string `cbor:"1,keyasint" json:"software"`
	// GoneAtMillis is the Unix time in milliseconds at which its last server was found
	// gone; zero while there is one.
	GoneAtMillis int64 `cbor:"2,keyasint,omitempty" json:"gone_ms,omitempty"`
}

// History lists the versions of software that were in service lately, by service. It is
// immutable.
type History struct {
	// Revision is that of the key in the key-value service; it isn't stored in the value.
	Revision int64              `json:"-"`
	Services map[string][]Usage `json:"services"`
}

// Encode returns the value to be stored.
func (h *History) Encode() ([]byte, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("resumption: encode history: %w", err)
	}
	return value, nil
}

// DecodeHistory decodes the value of a stored history with the revision of its key. Its
// errors wrap ErrMalformed.
func DecodeHistory(value []byte, revision int64) (*History, error) {
	history := &History{Revision: revision}
	if err := json.Unmarshal(value, history); err != nil {
		return nil, fmt.Errorf("resumption: %w: %w", ErrMalformed, err)
	}
	return history, nil
}

// Next returns the history that follows when the servers of each service run the present
// versions. It may be called on nil. Versions that are gone for longer than Retention are
// left out.
func (h *History) Next(now time.Time, present map[string][]string) *History {
	next := &History{Services: make(map[string][]Usage)}
	for service, usages := range h.services() {
		for _, usage := range usages {
			if usage.GoneAtMillis == 0 {
				usage.GoneAtMillis = now.UnixMilli()
			}
			if usage.isRecent(now) && !slices.Contains(present[service], usage.Software) {
				next.Services[service] = append(next.Services[service], usage)
			}
		}
	}
	for service, versions := range present {
		for _, software := range versions {
			next.Services[service] = append(next.Services[service], Usage{Software: software})
		}
	}
	for _, usages := range next.Services {
		slices.SortFunc(usages, func(a, b Usage) int { return cmp.Compare(a.Software, b.Software) })
	}
	return next
}

// Equal reports whether two histories list the same versions. Either may be nil.
func (h *History) Equal(other *History) bool {
	return maps.EqualFunc(h.services(), other.services(), slices.Equal)
}

// Recent returns the versions of a service that were in service within Retention, sorted,
// including those that its servers run at present. It returns none if the history isn't
// known or doesn't list the service: then any version may have been in service. It may be
// called on nil.
func (h *History) Recent(now time.Time, service string, present []string) []string {
	usages := h.services()[service]
	if len(usages) == 0 {
		return nil
	}
	recent := slices.Clone(present)
	for _, usage := range usages {
		if usage.isRecent(now) {
			recent = append(recent, usage.Software)
		}
	}
	slices.Sort(recent)
	return slices.Compact(recent)
}

// isRecent reports whether a server ran the version within Retention.
func (u Usage) isRecent(now time.Time) bool {
	return u.GoneAtMillis == 0 || now.Sub(time.UnixMilli(u.GoneAtMillis)) < Retention
}

// services returns the versions by service; nil for a nil history.
func (h *History) services() map[string][]Usage {
	if h == nil {
		return nil
	}
	return h.Services
}

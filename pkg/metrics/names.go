package metrics

import "sync"

const (
	// maxOrganisations is the number of organisations that have counters of their own.
	maxOrganisations = 200
	// otherOrganisations stands for the rest.
	otherOrganisations = "other"
)

// nameLimit bounds the number of different values of a tag. It is safe for concurrent use.
type nameLimit struct {
	maximum int
	other   string

	mu    sync.Mutex
	names map[string]bool
}

func newNameLimit(maximum int, other string) *nameLimit {
	return &nameLimit{maximum: maximum, other: other, names: make(map[string]bool)}
}

// tag returns the name, or the common name of the rest once there are too many names.
func (l *nameLimit) tag(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.names[name] {
		return name
	}
	if len(l.names) >= l.maximum {
		return l.other
	}
	l.names[name] = true
	return name
}

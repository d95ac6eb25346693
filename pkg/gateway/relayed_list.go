package gateway

import (
	"maps"
	"slices"
)

// relayedList is a list that a relay has sent so far, by ID. A relay sends each change once, so
// each update is recorded, whether this entry uses the list at that time or reads the store
// itself. The zero value is empty. It isn't safe for concurrent use.
type relayedList[T any] struct {
	byID map[string]T
	// complete is set once the relay has sent its whole list.
	complete bool
}

// record applies an update to the list: the whole list if it is complete, else changes. id
// returns the ID of an element.
func (r *relayedList[T]) record(complete bool, updated []T, id func(*T) string, removed []string) {
	if complete || r.byID == nil {
		r.byID = make(map[string]T)
	}
	r.complete = r.complete || complete
	for i := range updated {
		r.byID[id(&updated[i])] = updated[i]
	}
	for _, gone := range removed {
		delete(r.byID, gone)
	}
}

// list returns the elements ordered by ID.
func (r *relayedList[T]) list() []T {
	elements := make([]T, 0, len(r.byID))
	for _, id := range slices.Sorted(maps.Keys(r.byID)) {
		elements = append(elements, r.byID[id])
	}
	return elements
}

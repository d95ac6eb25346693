package entry

import (
	"slices"

	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/placement"
)

// ownership caches which models this entry decides on until the set of entries
// changes. It is not safe for concurrent use.
type ownership struct {
	self    string
	entries []string
	owned   map[placement.ModelVersion]bool
}

func newOwnership(self string) *ownership {
	return &ownership{self: self, owned: make(map[placement.ModelVersion]bool)}
}

// update applies the current set of entries.
func (o *ownership) update(members *membership.Snapshot) {
	entries := entryIDs(members)
	if slices.Equal(entries, o.entries) {
		return
	}
	o.entries = entries
	clear(o.owned)
}

// owns reports whether this entry decides on a model.
func (o *ownership) owns(id placement.ModelVersion) bool {
	owned, known := o.owned[id]
	if !known {
		owned = membership.RendezvousOwner(id.String(), o.entries) == o.self
		o.owned[id] = owned
	}
	return owned
}

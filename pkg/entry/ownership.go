package entry

import (
	"slices"

	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/placement"
)

// ownership remembers which models this entry decides on while the entries stay
// the same. It is used from one goroutine.
type ownership struct {
	self    string
	entries []string
	owned   map[placement.ModelVersion]bool
}

func newOwnership(self string) *ownership {
	return &ownership{self: self, owned: make(map[placement.ModelVersion]bool)}
}

// update takes in the entries that are members.
func (o *ownership) update(members *membership.Snapshot) {
	entries := entryIDs(members)
	if slices.Equal(entries, o.entries) {
		return
	}
	o.entries = entries
	clear(o.owned)
}

// owns tells whether this entry decides on a model.
func (o *ownership) owns(id placement.ModelVersion) bool {
	owned, known := o.owned[id]
	if !known {
		owned = membership.RendezvousOwner(id.String(), o.entries) == o.self
		o.owned[id] = owned
	}
	return owned
}

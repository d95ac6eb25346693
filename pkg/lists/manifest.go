package lists

import (
	"encoding/json"
	"fmt"
	"slices"

	"teaselgauge.example/teaselgauge/pkg/schema"
)

const (
	// manifestFormat is the version of the stored form.
	manifestFormat = 1
	// keptManifests is the number of manifests whose chunks are kept, the
	// current one among them.
	keptManifests = 8
)

// manifest names the chunks of the current revision, which is the manifest's
// own modification revision.
type manifest struct {
	Format   int      `json:"format"`
	ChangeID string   `json:"change_id"`
	Author   string   `json:"author"`
	Chunks   []string `json:"chunks"`
	// Previous holds the replaced manifests, the newest first.
	Previous []previousManifest `json:"previous,omitempty"`
	// Garbage names chunks that no kept manifest needs and that are still
	// stored. The next accepted change deletes them.
	Garbage []string `json:"garbage,omitempty"`
}

type previousManifest struct {
	Revision int64    `json:"revision"`
	ChangeID string   `json:"change_id"`
	Chunks   []string `json:"chunks"`
}

func parseManifest(data []byte) (*manifest, error) {
	var m manifest
	if err := schema.Decode(data, &m); err != nil {
		return nil, fmt.Errorf("manifest: %w", err)
	}
	if m.Format != manifestFormat {
		return nil, fmt.Errorf("manifest: format %d, must be %d", m.Format, manifestFormat)
	}
	return &m, nil
}

func (m *manifest) encode() ([]byte, error) {
	return json.Marshal(m)
}

// successor returns the manifest that replaces m, which has the revision; m is
// nil for the first.
func (m *manifest) successor(revision int64, changeID, author string, chunks []string) *manifest {
	next := &manifest{
		Format:   manifestFormat,
		ChangeID: changeID,
		Author:   author,
		Chunks:   chunks,
	}
	if m == nil {
		return next
	}
	replaced := previousManifest{Revision: revision, ChangeID: m.ChangeID, Chunks: m.Chunks}
	history := append([]previousManifest{replaced}, m.Previous...)
	kept := min(len(history), keptManifests-1)
	next.Previous = history[:kept]
	next.Garbage = next.unreferenced(m.Garbage, history[kept:])
	return next
}

// unreferenced returns the chunks of dropped manifests and old garbage that no
// kept manifest needs.
func (m *manifest) unreferenced(old []string, dropped []previousManifest) []string {
	candidates := slices.Clone(old)
	for _, entry := range dropped {
		candidates = append(candidates, entry.Chunks...)
	}
	slices.Sort(candidates)
	candidates = slices.Compact(candidates)
	kept := m.references()
	return slices.DeleteFunc(candidates, func(sum string) bool { return kept[sum] })
}

// references returns the chunks of m and of the kept previous manifests. They
// are surely stored while m is current.
func (m *manifest) references() map[string]bool {
	refs := make(map[string]bool)
	if m == nil {
		return refs
	}
	for _, sum := range m.Chunks {
		refs[sum] = true
	}
	for _, entry := range m.Previous {
		for _, sum := range entry.Chunks {
			refs[sum] = true
		}
	}
	return refs
}

// revisionOf returns the revision of a change, by the revision of m itself.
func (m *manifest) revisionOf(changeID string, revision int64) (int64, bool) {
	if m.ChangeID == changeID {
		return revision, true
	}
	for _, entry := range m.Previous {
		if entry.ChangeID == changeID {
			return entry.Revision, true
		}
	}
	return 0, false
}

// reaches tells whether the history kept in m goes back to a revision, so that
// the absence of a change made on top of it is certain.
func (m *manifest) reaches(revision int64) bool {
	if revision == 0 {
		return len(m.Previous) < keptManifests-1
	}
	return slices.ContainsFunc(m.Previous, func(entry previousManifest) bool {
		return entry.Revision == revision
	})
}

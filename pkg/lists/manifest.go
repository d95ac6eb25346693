package lists

import (
	"encoding/json"
	"fmt"
	"slices"

	"teaselgauge.example/teaselgauge/pkg/schema"
)

const (
	// manifestFormat is the version of the storage format.
	manifestFormat = 1
	// retainedManifests is the number of manifests whose chunks are retained,
	// including the current one.
	retainedManifests = 8
)

// manifest lists the chunks of the current revision. The revision of the lists is
// the manifest's modification revision.
type manifest struct {
	Format   int      `json:"format"`
	ChangeID string   `json:"change_id"`
	Author   string   `json:"author"`
	Chunks   []string `json:"chunks"`
	// Previous holds the replaced manifests, newest first.
	Previous []previousManifest `json:"previous,omitempty"`
	// Garbage lists stored chunks that no retained manifest references. The next
	// accepted change deletes them.
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

// successor returns the manifest that replaces m at the given revision. m is nil if
// there is none yet.
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
	retained := min(len(history), retainedManifests-1)
	next.Previous = history[:retained]
	next.Garbage = next.unreferenced(m.Garbage, history[retained:])
	return next
}

// unreferenced returns the chunks of dropped manifests and of the old garbage that no
// retained manifest references.
func (m *manifest) unreferenced(old []string, dropped []previousManifest) []string {
	candidates := slices.Clone(old)
	for _, entry := range dropped {
		candidates = append(candidates, entry.Chunks...)
	}
	slices.Sort(candidates)
	candidates = slices.Compact(candidates)
	retained := m.references()
	return slices.DeleteFunc(candidates, func(sum string) bool { return retained[sum] })
}

// references returns the chunks of m and of the retained previous manifests. They are
// guaranteed to be stored while m is current.
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

// revisionOf returns the revision of a change. revision is that of m itself.
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

// historyIncludes reports whether the history in m goes back to a revision. If it
// does, the absence of a change based on that revision is certain.
func (m *manifest) historyIncludes(revision int64) bool {
	if revision == 0 {
		return len(m.Previous) < retainedManifests-1
	}
	return slices.ContainsFunc(m.Previous, func(entry previousManifest) bool {
		return entry.Revision == revision
	})
}

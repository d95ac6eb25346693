package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RendezvousScore returns the score of an id for a key. The id with the highest
// score owns the key.
func RendezvousScore(key, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writes to a digest never fail.
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// RendezvousOwner returns the id that owns the key, or "" if there are no ids. When
// ids are added or removed, only the keys of those ids change their owner.
func RendezvousOwner(key string, ids []string) string {
	owner := ""
	best := uint64(0)
	for _, id := range ids {
		score := RendezvousScore(key, id)
		if owner == "" || score > best || (score == best && id < owner) {
			owner = id
			best = score
		}
	}
	return owner
}

// RendezvousRank returns the ids in descending order of their scores for the key.
func RendezvousRank(key string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	ranked := make([]scored, len(ids))
	for i, id := range ids {
		ranked[i] = scored{id: id, score: RendezvousScore(key, id)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	result := make([]string, len(ranked))
	for i := range ranked {
		result[i] = ranked[i].id
	}
	return result
}

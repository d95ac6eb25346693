package packing

import (
	"cmp"
	"slices"
)

// minVersionPermits is the number of runners of each software version that should have a
// permit for a model while several versions are in service: a stream goes on only at the
// version that began it, so there must be another runner than the one it broke off at.
const minVersionPermits = 2

// versionStandbys returns the standbys by which each software version gets
// minVersionPermits, as far as it has runners. Runners with a local copy of the weights
// come first, but others are chosen as well: a load from the weight store still serves the
// streams that can wait. There are none with a single version.
func (p *packer) versionStandbys(it *item, copies []*bin) []*bin {
	if !p.hasSeveralVersions() {
		return nil
	}
	permitted := make(map[string]int)
	for _, b := range it.keptOn {
		permitted[b.Software]++
	}
	possible := p.possibleStandbys(it, p.bins, copies)
	slices.SortStableFunc(possible, it.compareVersionStandbys)
	var chosen []*bin
	for _, b := range possible {
		if permitted[b.Software] < minVersionPermits {
			permitted[b.Software]++
			chosen = append(chosen, b)
		}
	}
	return chosen
}

// compareVersionStandbys sorts runners with a local copy first, then those without adapters
// in demand, and then those that have a permit in the active placement, whatever its rank.
func (it *item) compareVersionStandbys(a, b *bin) int {
	return cmp.Or(
		cmp.Compare(boolToInt(a.Locality[it.model.Name] == Remote), boolToInt(b.Locality[it.model.Name] == Remote)),
		cmp.Compare(boolToInt(a.activeAdapters), boolToInt(b.activeAdapters)),
		cmp.Compare(boolToInt(!it.wasPermitted(a.Host)), boolToInt(!it.wasPermitted(b.Host))),
	)
}

// wasPermitted reports whether a host has a permit in the active placement.
func (it *item) wasPermitted(host string) bool {
	return it.previous != nil && slices.ContainsFunc(it.previous.Permits, func(permit Permit) bool { return permit.Host == host })
}

// hasSeveralVersions reports whether the runners differ in the version of their software.
func (p *packer) hasSeveralVersions() bool {
	return slices.ContainsFunc(p.bins, func(b *bin) bool { return b.Software != p.bins[0].Software })
}

package gateway

import (
	"fmt"
	"slices"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/roster"
)

// Guards against quotas that small entries own, which an organisation far over its quota
// overloads.
func TestLargeEntriesOwnQuotas(t *testing.T) {
	hosts := map[string]roster.Host{"agent": {ID: "agent", Role: keys.RoleAgent, CPUShare: 4}}
	for i := range 10 {
		id := fmt.Sprintf("entry-%d", i)
		hosts[id] = roster.Host{ID: id, Role: keys.RoleEntry, CPUShare: []float64{0.8, 0.144, 0.144, 0.144, 0.144}[i%5]}
	}
	large := []string{"entry-0", "entry-5"}
	owners := make(map[string]bool)
	for i := range 50 {
		ranked := rankOwners(hosts, fmt.Sprint("organisation ", i))
		if len(ranked) != 10 || !slices.Contains(large, ranked[0]) || !slices.Contains(large, ranked[1]) {
			t.Fatalf("ranked %v", ranked)
		}
		owners[ranked[0]] = true
	}
	if len(owners) != len(large) {
		t.Errorf("owners %v", owners)
	}
}

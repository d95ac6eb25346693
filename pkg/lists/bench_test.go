package lists

import (
	"fmt"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
)

// sizes are numbers of adapters: today's larger site and the target.
var sizes = []int{100, 1_000, 12_000}

func benchmarkSizes(b *testing.B, run func(b *testing.B, snapshot Snapshot)) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("adapters=%d", size), func(b *testing.B) {
			plans, allowances := large(size, "1")
			b.ReportAllocs()
			run(b, Snapshot{Revision: 1, Plans: plans, Allowances: allowances})
		})
	}
}

// BenchmarkOffer is the cost of one accepted revision at one process: the check
// and the index.
func BenchmarkOffer(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, snapshot Snapshot) {
		for b.Loop() {
			if !NewRegister().Offer(snapshot) {
				b.Fatal("refused")
			}
		}
	})
}

// BenchmarkTakeWhole is the cost of taking lists from another process.
func BenchmarkTakeWhole(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, snapshot Snapshot) {
		data := wholeUpdate(b, snapshot)
		for b.Loop() {
			if _, err := NewRelay().DecodeUpdate(data); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "wire-bytes")
	})
}

// BenchmarkGetAfterPut is the cost of writing a changed revision and reading it
// at a process that has the one before.
func BenchmarkGetAfterPut(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, snapshot Snapshot) {
		kv := keyvaluetest.NewStore(1)
		store := NewStore(kv, "/site")
		revision := int64(0)
		calls := kv.Calls()
		for b.Loop() {
			snapshot.Plans.Plans[0].Weight = snapshot.Plans.Plans[0].Weight%1000 + 1
			var err error
			if revision, err = store.Put(b.Context(), revision, snapshot.Plans, snapshot.Allowances, "bench"); err != nil {
				b.Fatal(err)
			}
			if _, err := store.Get(b.Context()); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(kv.Calls()-calls)/float64(b.N), "calls/op")
	})
}

// BenchmarkResolve is the cost of one request's look-ups.
func BenchmarkResolve(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, snapshot Snapshot) {
		index := NewIndex(snapshot)
		hash := keyHash(0xa1)
		for b.Loop() {
			plan, ok := index.PlanByKeyHash(hash)
			if !ok {
				b.Fatal("no plan")
			}
			if _, err := index.ResolveModel(plan.Name, "m:adapter-00042"); err != nil {
				b.Fatal(err)
			}
		}
	})
}

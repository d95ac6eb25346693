package lists

import (
	"fmt"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
)

// sizes are numbers of adapters: the current size of the larger site and the target.
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

// BenchmarkOffer measures applying one revision in a process: validation and
// indexing.
func BenchmarkOffer(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, snapshot Snapshot) {
		for b.Loop() {
			if !NewRegister().Offer(snapshot) {
				b.Fatal("refused")
			}
		}
	})
}

// BenchmarkDecodeFullUpdate measures decoding a full update from another process.
func BenchmarkDecodeFullUpdate(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, snapshot Snapshot) {
		data := fullUpdate(b, snapshot)
		for b.Loop() {
			if _, err := NewRelay().DecodeUpdate(data); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "wire-bytes")
	})
}

// BenchmarkGetAfterPut measures writing a changed revision and reading it with a
// store that has the previous one cached.
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

// BenchmarkResolve measures the lookups for one request.
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

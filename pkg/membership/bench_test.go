package membership

import (
	"fmt"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

func BenchmarkView(b *testing.B) {
	for _, agents := range []int{550, 1100, 2200} {
		var ids []string
		for i := range agents {
			ids = append(ids, fmt.Sprint("runner-", i))
		}
		hosts := agentHosts(hostlist.Live, ids...)
		view := NewView()
		b.Run(fmt.Sprint("list/agents=", agents), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				view.HostsListed(testStart, hosts)
			}
		})
		b.Run(fmt.Sprint("status+snapshot/agents=", agents), func(b *testing.B) {
			b.ReportAllocs()
			sequence := uint64(0)
			for b.Loop() {
				sequence++
				view.StatusReceived(testStart, wire.Status{Runner: ids[0], Sequence: sequence})
				view.Snapshot()
			}
		})
	}
}

func BenchmarkSyncPeers(b *testing.B) {
	for _, perDomain := range []int{16, 32, 65} {
		entries := testEntries(6, perDomain)
		b.Run(fmt.Sprint("entries=", len(entries)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				SyncPeers(*entries[0], entries, 1)
			}
		})
	}
}

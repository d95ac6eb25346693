package routing

import (
	"fmt"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

func BenchmarkChoose(b *testing.B) {
	for _, permits := range []int{2, 8, 32} {
		b.Run(fmt.Sprint("permits=", permits), func(b *testing.B) {
			var ids []string
			for i := range permits {
				ids = append(ids, fmt.Sprint("runner-", i))
			}
			view := viewOf(ids...)
			for _, id := range ids {
				view.StatusReceived(start, statusOf(id, wire.ModelLoaded, 9000))
			}
			table := NewTable(view.Snapshot(), placementOf(ids...))
			b.ReportAllocs()
			for b.Loop() {
				table.Choose(start, Query{Model: "m", Version: "1"}, nil, 1)
			}
		})
	}
	for _, providers := range []int{4, 64, 512} {
		b.Run(fmt.Sprint("providers=", providers), func(b *testing.B) {
			var ids []string
			for i := range providers {
				ids = append(ids, fmt.Sprint("host-", i))
			}
			table := NewTable(viewOf(ids...).Snapshot(), nil)
			b.ReportAllocs()
			for b.Loop() {
				table.Choose(start, Query{Service: "orders"}, nil, 1)
			}
		})
	}
}

func BenchmarkAttempt(b *testing.B) {
	view := viewOf("a", "b")
	table := NewTable(view.Snapshot(), placementOf("a", "b"))
	budget := NewRetryBudget()
	b.ReportAllocs()
	for b.Loop() {
		attempt := NewAttempt(Request{Query: Query{Model: "m", Version: "1"}, Deadline: start.Add(time.Minute)}, budget, 1)
		attempt.Start(start, table)
		attempt.Step(start, Accepted{Incarnation: "1"}, table)
		attempt.Step(start, Completed{}, table)
	}
}

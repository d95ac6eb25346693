package metrics

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// labels holds the values of up to three tags. It is the key of the cached metrics.
type labels [3]string

// vector caches the metrics of one name by their tag values, because creating a
// tagged scope costs more than updating the metric.
type vector[M any] struct {
	scope   tally.Scope
	name    string
	tags    []string
	make    func(scope tally.Scope, name string) M
	metrics sync.Map // labels to M
}

func (v *vector[M]) with(values labels) M {
	if metric, ok := v.metrics.Load(values); ok {
		return metric.(M)
	}
	tags := make(map[string]string, len(v.tags))
	for i, tag := range v.tags {
		tags[tag] = values[i]
	}
	metric, _ := v.metrics.LoadOrStore(values, v.make(v.scope.Tagged(tags), v.name))
	return metric.(M)
}

func newCounters(scope tally.Scope, name string, tags ...string) *vector[tally.Counter] {
	return &vector[tally.Counter]{
		scope: scope, name: name, tags: tags,
		make: func(scope tally.Scope, name string) tally.Counter { return scope.Counter(name) },
	}
}

func newGauges(scope tally.Scope, name string, tags ...string) *vector[tally.Gauge] {
	return &vector[tally.Gauge]{
		scope: scope, name: name, tags: tags,
		make: func(scope tally.Scope, name string) tally.Gauge { return scope.Gauge(name) },
	}
}

func newTimers(scope tally.Scope, name string, tags ...string) *vector[tally.Timer] {
	return &vector[tally.Timer]{
		scope: scope, name: name, tags: tags,
		make: func(scope tally.Scope, name string) tally.Timer { return scope.Timer(name) },
	}
}

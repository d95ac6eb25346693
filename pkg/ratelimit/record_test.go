package ratelimit

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

func TestOvertakenResponsesNeitherRaiseNorEndLimit(t *testing.T) {
	none := Limit{}
	tests := []struct {
		name         string
		observations []Observation
		want         Limit
	}{
		{"named", []Observation{{PerSecond(2), at(0), at(10)}}, PerSecond(2)},
		{"ended by a later request", []Observation{{PerSecond(2), at(0), at(10)}, {none, at(10), at(20)}}, none},
		{"not ended by an earlier request", []Observation{{PerSecond(2), at(0), at(10)}, {none, at(9), at(20)}}, PerSecond(2)},
		{"raised by a later request", []Observation{{PerSecond(2), at(0), at(10)}, {PerSecond(3), at(10), at(20)}}, PerSecond(3)},
		{"not raised by an earlier request", []Observation{{PerSecond(2), at(0), at(10)}, {PerSecond(3), at(5), at(20)}}, PerSecond(2)},
		{"lowered by an earlier request", []Observation{{PerSecond(2), at(0), at(10)}, {PerSecond(1), at(5), at(20)}}, PerSecond(1)},
		{"lowered to zero", []Observation{{PerSecond(2), at(0), at(10)}, {PerSecond(0), at(5), at(20)}}, PerSecond(0)},
		{"late response from before the end", []Observation{{PerSecond(2), at(0), at(10)}, {none, at(30), at(40)}, {PerSecond(2), at(0), at(20)}}, none},
		{"named again after the end", []Observation{{PerSecond(2), at(0), at(10)}, {none, at(30), at(40)}, {PerSecond(2), at(35), at(50)}}, PerSecond(2)},
		{"older knowledge of a lower limit", []Observation{{PerSecond(5), at(20), at(30)}, {PerSecond(1), at(10), at(10)}}, PerSecond(5)},
		{"none after none", []Observation{{none, at(0), at(10)}, {none, at(0), at(5)}}, none},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r Record
			for _, o := range test.observations {
				r.Observe(o)
			}
			if got := r.Limit(); got != test.want {
				t.Errorf("limit %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestLimitIsThatOfOneIncarnation(t *testing.T) {
	r := NewRegistry()
	before := backpressure.Incarnation{ID: "a", StartedAtMillis: 1}
	after := backpressure.Incarnation{ID: "a", StartedAtMillis: 2}
	r.Observe(before, Observation{PerSecond(2), at(0), at(10)})
	if limit, namedAt := r.Known(before); limit != PerSecond(2) || !namedAt.Equal(at(10)) {
		t.Errorf("limit %+v named at %s", limit, namedAt)
	}
	if limit, _ := r.Known(after); limit.Named {
		t.Errorf("the next incarnation has the limit %+v", limit)
	}
	if r.Limited() != 1 {
		t.Errorf("%d limited servers, want 1", r.Limited())
	}
	r.Sweep(at(10).Add(recordRetention))
	if r.Limited() != 1 {
		t.Error("the limit was forgotten")
	}
	r.Sweep(at(11).Add(recordRetention))
	if r.Limited() != 0 {
		t.Error("the limit of a server that has left is kept")
	}
}

func TestTighter(t *testing.T) {
	tests := []struct{ a, b, want Limit }{
		{Limit{}, Limit{}, Limit{}},
		{PerSecond(2), Limit{}, PerSecond(2)},
		{Limit{}, PerSecond(2), PerSecond(2)},
		{PerSecond(2), PerSecond(0), PerSecond(0)},
		{PerSecond(1), PerSecond(2), PerSecond(1)},
	}
	for _, test := range tests {
		if got := Tighter(test.a, test.b); got != test.want {
			t.Errorf("tighter of %+v and %+v is %+v, want %+v", test.a, test.b, got, test.want)
		}
	}
}

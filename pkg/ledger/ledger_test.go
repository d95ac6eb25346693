package ledger

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/engine"
)

const testCapacity = 100

// order is an order that may still take effect at the engine.
type order struct {
	key  Key
	mib  int64
	load bool
}

// simulation runs a ledger against an engine that performs late, lost and
// unanswered orders.
type simulation struct {
	ledger *Ledger
	engine map[Key]int64
	flight []order
}

func drawKey(t *rapid.T) Key {
	key := Key{Model: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "model"), Version: "1"}
	if rapid.Bool().Draw(t, "isAdapter") {
		key.Adapter = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "adapter")
	}
	return key
}

func (s *simulation) order(t *rapid.T) {
	key := drawKey(t)
	if rapid.Bool().Draw(t, "load") {
		mib := rapid.Int64Range(1, 60).Draw(t, "mib")
		if s.ledger.Reserve(key, mib) == nil {
			s.flight = append(s.flight, order{key: key, mib: mib, load: true})
		}
		return
	}
	if s.ledger.Release(key) == nil {
		s.flight = append(s.flight, order{key: key})
	}
}

func (s *simulation) deliver(t *rapid.T) {
	if len(s.flight) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(s.flight)-1).Draw(t, "order")
	o := s.flight[i]
	performed := rapid.Bool().Draw(t, "performed") && s.perform(t, o)
	s.flight = append(s.flight[:i], s.flight[i+1:]...)
	if rapid.Bool().Draw(t, "answerLost") {
		s.uncertain(t, o.key)
		return
	}
	s.settle(t, o.key, performed == o.load)
}

func (s *simulation) uncertain(t *rapid.T, key Key) {
	if err := s.ledger.MarkUncertain(key); err != nil {
		t.Fatal(err)
	}
}

func (s *simulation) settle(t *rapid.T, key Key, present bool) {
	if err := s.ledger.Resolve(key, present); err != nil {
		t.Fatal(err)
	}
}

// loseAnswer reports an answer as lost while the order is still in flight.
func (s *simulation) loseAnswer(t *rapid.T) {
	if len(s.flight) == 0 {
		t.Skip("nothing in flight")
	}
	s.uncertain(t, rapid.SampledFrom(s.flight).Draw(t, "order").key)
}

func (s *simulation) perform(t *rapid.T, o order) bool {
	if !o.load {
		for other := range s.engine {
			if o.key.Adapter == "" && other.Adapter != "" && base(other) == o.key {
				t.Fatalf("%v unloaded below an adapter", o.key)
			}
		}
		delete(s.engine, o.key)
		return true
	}
	if _, ok := s.engine[base(o.key)]; o.key.Adapter != "" && !ok {
		return false
	}
	s.engine[o.key] = o.mib
	return true
}

func (s *simulation) readState(t *rapid.T) {
	key := drawKey(t)
	for _, o := range s.flight {
		if o.key == key {
			t.Skip("an order is in flight")
		}
	}
	if s.ledger.Get(key).State == Uncertain {
		_, present := s.engine[key]
		s.settle(t, key, present)
	}
}

// restart replaces the ledger after all orders have taken effect or been lost.
func (s *simulation) restart(t *rapid.T) {
	for _, o := range s.flight {
		if rapid.Bool().Draw(t, "performed") {
			s.perform(t, o)
		}
	}
	s.flight = nil
	state := engine.State{MemoryMiB: testCapacity}
	for key, mib := range s.engine {
		state.Residents = append(state.Residents, engine.Resident{Target: key, State: engine.StateLoaded, MemoryMiB: mib})
	}
	s.ledger = New(testCapacity)
	if err := s.ledger.SyncFromEngine(state); err != nil {
		t.Fatal(err)
	}
}

func (s *simulation) check(t *rapid.T) {
	worst := map[Key]int64{}
	for key, mib := range s.engine {
		worst[key] = mib
	}
	for _, o := range s.flight {
		if o.load {
			worst[o.key] = o.mib
		}
	}
	var sum, used int64
	for key, mib := range worst {
		sum += mib
		if s.ledger.Get(key).MiB < mib {
			t.Fatalf("%v may hold %d MiB, the ledger has %+v", key, mib, s.ledger.Get(key))
		}
	}
	for _, e := range s.ledger.Entries() {
		used += e.MiB
	}
	if sum > testCapacity || used != s.ledger.Used() || used > testCapacity {
		t.Fatalf("engine %d, entries %d, used %d", sum, used, s.ledger.Used())
	}
}

func TestLedgerIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{ledger: New(testCapacity), engine: map[Key]int64{}}
		t.Repeat(map[string]func(*rapid.T){
			"order":      s.order,
			"orderMore":  s.order,
			"deliver":    s.deliver,
			"loseAnswer": s.loseAnswer,
			"readState":  s.readState,
			"restart":    s.restart,
			"":           s.check,
		})
	})
}

func TestAdoptReportsOvercommit(t *testing.T) {
	l := New(0)
	err := l.SyncFromEngine(engine.State{MemoryMiB: 10, Residents: []engine.Resident{
		{Target: Key{Model: "a"}, State: engine.StateLoaded, MemoryMiB: 8},
		{Target: Key{Model: "b"}, State: engine.StateUnloading, MemoryMiB: 8},
		{Target: Key{Model: "c"}, State: engine.StateAbsent, MemoryMiB: 8},
	}})
	var overcommit *OvercommitError
	if !errors.As(err, &overcommit) || overcommit.HeldMiB != 16 {
		t.Fatalf("error %v", err)
	}
	if l.Free() != 0 || !errors.Is(l.Reserve(Key{Model: "d"}, 1), ErrNoMemory) {
		t.Error("memory is given out while the engine holds too much")
	}
	if err := l.Resolve(Key{Model: "b"}, false); err != nil {
		t.Fatal(err)
	}
	if l.Free() != 2 {
		t.Errorf("free %d MiB", l.Free())
	}
}

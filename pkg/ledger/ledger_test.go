package ledger

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/engine"
)

const testCapacity = 100

// order is an order that can still take effect at the engine.
type order struct {
	key  Key
	mib  int64
	load bool
}

// simulation runs a ledger against an engine that may perform orders late or not at
// all, and whose responses may be lost.
type simulation struct {
	ledger   *Ledger
	engine   map[Key]int64
	inFlight []order
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
			s.inFlight = append(s.inFlight, order{key: key, mib: mib, load: true})
		}
		return
	}
	if s.ledger.Release(key) == nil {
		s.inFlight = append(s.inFlight, order{key: key})
	}
}

func (s *simulation) deliver(t *rapid.T) {
	if len(s.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "order")
	o := s.inFlight[i]
	performed := rapid.Bool().Draw(t, "performed") && s.perform(t, o)
	s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	if rapid.Bool().Draw(t, "answerLost") {
		s.markUncertain(t, o.key)
		return
	}
	s.resolve(t, o.key, performed == o.load)
}

func (s *simulation) markUncertain(t *rapid.T, key Key) {
	if err := s.ledger.MarkUncertain(key); err != nil {
		t.Fatal(err)
	}
}

func (s *simulation) resolve(t *rapid.T, key Key, present bool) {
	if err := s.ledger.Resolve(key, present); err != nil {
		t.Fatal(err)
	}
}

// loseResponse reports a response as lost while the order is still in flight.
func (s *simulation) loseResponse(t *rapid.T) {
	if len(s.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	s.markUncertain(t, rapid.SampledFrom(s.inFlight).Draw(t, "order").key)
}

func (s *simulation) perform(t *rapid.T, o order) bool {
	if !o.load {
		for other := range s.engine {
			if o.key.Adapter == "" && other.Adapter != "" && base(other) == o.key {
				t.Fatalf("%v unloaded while an adapter is loaded on it", o.key)
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
	for _, o := range s.inFlight {
		if o.key == key {
			t.Skip("an order is in flight")
		}
	}
	if s.ledger.Get(key).State == Uncertain {
		_, present := s.engine[key]
		s.resolve(t, key, present)
	}
}

// restart replaces the ledger after every order has either taken effect or been
// lost.
func (s *simulation) restart(t *rapid.T) {
	for _, o := range s.inFlight {
		if rapid.Bool().Draw(t, "performed") {
			s.perform(t, o)
		}
	}
	s.inFlight = nil
	state := engine.State{MemoryMiB: testCapacity}
	for key, mib := range s.engine {
		state.Residents = append(state.Residents, engine.Resident{Target: key, State: engine.StateLoaded, MemoryMiB: mib})
	}
	s.ledger = New(testCapacity)
	if err := s.ledger.SyncFromEngine(state); err != nil {
		t.Fatal(err)
	}
}

// check compares the ledger with the largest memory that the engine can hold once
// the orders in flight have taken effect.
func (s *simulation) check(t *rapid.T) {
	largest := map[Key]int64{}
	for key, mib := range s.engine {
		largest[key] = mib
	}
	for _, o := range s.inFlight {
		if o.load {
			largest[o.key] = o.mib
		}
	}
	var sum, used int64
	for key, mib := range largest {
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

func TestLedgerNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{ledger: New(testCapacity), engine: map[Key]int64{}}
		t.Repeat(map[string]func(*rapid.T){
			"order":      s.order,
			"orderMore":  s.order,
			"deliver":    s.deliver,
			"loseAnswer": s.loseResponse,
			"readState":  s.readState,
			"restart":    s.restart,
			"":           s.check,
		})
	})
}

func TestSyncFromEngineReportsOvercommit(t *testing.T) {
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
		t.Error("memory can be reserved while the engine is overcommitted")
	}
	if err := l.Resolve(Key{Model: "b"}, false); err != nil {
		t.Fatal(err)
	}
	if l.Free() != 2 {
		t.Errorf("free %d MiB", l.Free())
	}
}

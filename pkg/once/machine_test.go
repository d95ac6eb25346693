package once

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// opKind is a kind of operation in a checked history.
type opKind int

const (
	opCall opKind = iota
	opBind
	opExecute
)

// opInput is one operation on a key.
type opInput struct {
	kind opKind
	key  Key
	fp   Fingerprint
}

// keyState is the sequential state of a key.
type keyState struct {
	bound bool
	fp    Fingerprint
	ran   bool
}

// keyModel is a key that is bound once, runs at most once, and answers only
// after it ran.
var keyModel = porcupine.Model{
	Partition: partition,
	Init:      func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		return stepKey(state.(keyState), input.(opInput), output)
	},
}

func partition(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[Key][]porcupine.Operation{}
	for _, op := range history {
		key := op.Input.(opInput).key
		byKey[key] = append(byKey[key], op)
	}
	var parts [][]porcupine.Operation
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}

func stepKey(s keyState, in opInput, output any) (bool, keyState) {
	same := s.bound && s.fp == in.fp
	switch in.kind {
	case opBind:
		return !s.bound, keyState{bound: true, fp: in.fp}
	case opExecute:
		return same && !s.ran, keyState{bound: true, fp: in.fp, ran: true}
	}
	r := output.(Reply)
	switch {
	case r.Refusal == nil:
		return same && s.ran, s
	case r.Refusal.Reason == wire.ReasonKeyReused:
		return s.bound && !same, s
	case r.Refusal.Outcome == wire.OutcomeRan:
		return same && s.ran, s
	}
	return true, s
}

func (s *simulation) history() []porcupine.Operation {
	var ops []porcupine.Operation
	for _, l := range s.landings {
		ops = append(ops, porcupine.Operation{Input: opInput{opBind, l.key, l.fp}, Call: l.at, Return: l.at})
	}
	for _, e := range s.executions {
		ops = append(ops, porcupine.Operation{Input: opInput{opExecute, e.key, e.fp}, Call: e.started, Return: e.ended})
	}
	for _, c := range s.calls {
		if c.returned != 0 {
			ops = append(ops, porcupine.Operation{
				Input: opInput{opCall, c.Key, c.Fingerprint}, Call: c.invoked, Output: c.reply, Return: c.returned,
			})
		}
	}
	return ops
}

func TestMachineRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"call": s.call, "callMore": s.call, "write": s.write, "writeMore": s.write, "landLate": s.landLate,
			"read": s.read, "run": s.run, "runMore": s.run, "crash": s.crash, "cancel": s.cancel, "advance": s.advance,
		})
		s.drain()
		if !porcupine.CheckOperations(keyModel, s.history()) {
			t.Fatalf("the history of calls, records and runs has no order")
		}
	})
}

// newTestMachine returns a machine with one call whose record is being written.
func newTestMachine(config Config) (*Machine, Call) {
	config.Agent, config.Incarnation = "a", "1"
	m := NewMachine(config)
	c := Call{Key: Key{1}, Fingerprint: Fingerprint{1}, RequestID: "first"}
	m.Step(testStart, c)
	return m, c
}

func onlyReply(t *testing.T, actions []Action) Reply {
	t.Helper()
	if len(actions) != 1 {
		t.Fatalf("actions %+v", actions)
	}
	r, ok := actions[0].(Reply)
	if !ok {
		t.Fatalf("action %+v", actions[0])
	}
	return r
}

func TestDroppedAnswerIsRan(t *testing.T) {
	m, c := newTestMachine(Config{AnswerTTL: time.Second})
	m.Step(testStart, RecordCreated{Key: c.Key})
	m.Step(testStart, RunFinished{Key: c.Key, Outcome: RunCompleted})
	if r := onlyReply(t, m.Step(testStart, c)); r.Response == nil {
		t.Fatalf("reply %+v", r.Refusal)
	}
	m.Step(testStart.Add(time.Second), Tick{})
	if r := onlyReply(t, m.Step(testStart, c)); r.Refusal == nil || r.Refusal.Outcome != wire.OutcomeRan {
		t.Fatalf("reply %+v", r)
	}
}

func TestLateRecordMayRunLater(t *testing.T) {
	m, c := newTestMachine(Config{})
	m.Step(testStart, RecordFailed{Key: c.Key, Uncertain: true})
	r := onlyReply(t, m.Step(testStart, RecordRead{Key: c.Key, Failed: true}))
	if r.Refusal == nil || r.Refusal.Outcome != wire.OutcomeNotRun || r.Refusal.Reason != wire.ReasonStore {
		t.Fatalf("reply %+v", r)
	}
	m.Step(testStart, c)
	late := Record{Agent: "a", Incarnation: "1", Sequence: 1, Fingerprint: c.Fingerprint}
	actions := m.Step(testStart, RecordExists{Key: c.Key, Owner: late})
	if len(actions) != 1 || actions[0] != (Run{Key: c.Key, RequestID: "first"}) {
		t.Fatalf("actions %+v", actions)
	}
}

func TestForgottenRunIsUnknown(t *testing.T) {
	m, c := newTestMachine(Config{MaxKeys: 1, MaxAnswers: 1, MaxAnswerBytes: 1})
	finish := func(c Call) {
		m.Step(testStart, RecordCreated{Key: c.Key})
		m.Step(testStart, RunFinished{Key: c.Key, Outcome: RunCompleted, Response: Response{Body: []byte("long")}})
	}
	finish(c)
	other := Call{Key: Key{2}, Fingerprint: Fingerprint{1}, RequestID: "other"}
	m.Step(testStart, other)
	finish(other)
	m.Step(testStart, c)
	owner := Record{Agent: "a", Incarnation: "1", Sequence: 1, Fingerprint: c.Fingerprint}
	r := onlyReply(t, m.Step(testStart, RecordExists{Key: c.Key, Owner: owner}))
	if r.Refusal == nil || r.Refusal.Outcome != wire.OutcomeUnknown {
		t.Fatalf("reply %+v", r)
	}
}

func TestForeignRecords(t *testing.T) {
	fp := Fingerprint{1}
	tests := []struct {
		name    string
		owner   Record
		reason  wire.Reason
		outcome wire.Outcome
	}{
		{"other agent", Record{Agent: "b", Incarnation: "7", Fingerprint: fp}, wire.ReasonBoundElse, wire.OutcomeUnknown},
		{"other incarnation", Record{Agent: "a", Incarnation: "0", Fingerprint: fp}, wire.ReasonBoundLost, wire.OutcomeUnknown},
		{"other request", Record{Agent: "b", Incarnation: "7"}, wire.ReasonKeyReused, wire.OutcomeNotRun},
		{"malformed", Record{}, wire.ReasonBoundLost, wire.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, c := newTestMachine(Config{})
			r := onlyReply(t, m.Step(testStart, RecordExists{Key: c.Key, Owner: tt.owner}))
			if r.Refusal == nil || r.Refusal.Reason != tt.reason || r.Refusal.Outcome != tt.outcome {
				t.Fatalf("reply %+v", r.Refusal)
			}
			if tt.reason == wire.ReasonBoundElse && r.Refusal.BetterIncarnation != "7" {
				t.Error("the owner isn't named")
			}
		})
	}
}

func TestBatcherAnswersEachWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBatcher(time.Millisecond)
		now := testStart
		open := map[Key]bool{}
		settle := func(batch Batch) {
			for len(batch.Writes) > 0 {
				existing := map[Key]Record{}
				for _, w := range batch.Writes {
					if rapid.Bool().Draw(t, "exists") {
						existing[w.Key] = Record{}
					}
				}
				events := batch.Created()
				if len(existing) > 0 {
					events, batch = batch.Split(existing)
				} else {
					batch = Batch{}
				}
				for _, ev := range events {
					key := keyOf(ev)
					if !open[key] {
						t.Fatalf("key %v was answered twice", key[0])
					}
					delete(open, key)
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "writes") {
			w := WriteRecord{Key: Key{byte(rapid.IntRange(0, 255).Draw(t, "key"))}}
			open[w.Key] = true
			if batch, ok := b.Add(now, w); ok {
				if len(batch.Writes) != MaxBatch {
					t.Fatalf("full batch of %d", len(batch.Writes))
				}
				settle(batch)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "us")) * time.Microsecond)
			if batch, ok := b.Due(now); ok {
				settle(batch)
			}
		}
		batch, _ := b.Due(now.Add(time.Second))
		settle(batch)
		if len(open) > 0 {
			t.Fatalf("%d writes got no answer", len(open))
		}
	})
}

func keyOf(ev Event) Key {
	switch e := ev.(type) {
	case RecordCreated:
		return e.Key
	case RecordExists:
		return e.Key
	default:
		return Key{}
	}
}

func FuzzDecodeRecord(f *testing.F) {
	valid, err := Record{Agent: "a", Incarnation: "1", Sequence: 3}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte(`{"agent":"a","fingerprint":"00"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := DecodeRecord(value)
		if err != nil {
			return
		}
		again, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if back, err := DecodeRecord(again); err != nil || back != r {
			t.Fatalf("%+v became %+v, %v", r, back, err)
		}
	})
}

package lists

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
)

// The outcomes of operations in a history.
const (
	accepted = iota
	conflicted
	uncertain
	failed
)

// input is an operator's operation; a read if content is empty.
type input struct {
	expected int64
	content  string
}

// output is what the operator saw.
type output struct {
	outcome  int
	revision int64
	content  string
}

// register is the state of the model. A change of unknown outcome that was made
// has a revision above floor that a later operation tells.
type register struct {
	known    bool
	revision int64
	floor    int64
	content  string
}

// at returns the register with its revision known, if that can be.
func (r register) at(revision int64) (register, bool) {
	if r.known {
		return r, r.revision == revision
	}
	return register{known: true, revision: revision, content: r.content}, revision > r.floor
}

// registerModel is a register with compare-and-swap on its revision.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{known: true}} },
	Step: func(state, in, out any) []any {
		next, ok := step(state.(register), in.(input), out.(output))
		if !ok {
			return nil
		}
		return next
	},
}

func step(state register, in input, out output) ([]any, bool) {
	switch {
	case out.outcome == failed:
		return []any{state}, true
	case in.content == "":
		next, ok := state.at(out.revision)
		return []any{next}, ok && next.content == out.content
	case out.outcome == conflicted:
		next, ok := state.at(out.revision)
		return []any{next}, ok && out.revision != in.expected
	case out.outcome == accepted:
		_, ok := state.at(in.expected)
		return []any{register{known: true, revision: out.revision, content: in.content}}, ok && out.revision > in.expected
	default: // uncertain: not made, or made with a revision not known yet
		states := []any{state}
		if _, ok := state.at(in.expected); ok {
			states = append(states, register{floor: in.expected, content: in.content})
		}
		return states, true
	}
}

// recorder keeps the operations of all operators with logical times.
type recorder struct {
	mu         sync.Mutex
	clock      atomic.Int64
	operations []porcupine.Operation
}

func (r *recorder) record(client int, in input, run func() output) output {
	call := r.clock.Add(1)
	out := run()
	end := r.clock.Add(1)
	if out.outcome == uncertain {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
	return out
}

// TestRacingOperators checks histories of operators who race each other while
// the key-value service is slow, goes down and loses answers. Each operator has
// a store of its own, as at different entry hosts.
func TestRacingOperators(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				history := race(t, seed)
				result := porcupine.CheckOperationsTimeout(registerModel.ToModel(), history.operations, 0)
				if result != porcupine.Ok {
					t.Errorf("history is %v", result)
				}
				countOutcomes(t, history.operations)
			})
		})
	}
}

func race(t *testing.T, seed uint64) *recorder {
	const (
		operators  = 4
		operations = 15
	)
	kv := keyvaluetest.NewStore(seed)
	history := &recorder{}
	var clients sync.WaitGroup
	for client := range operators {
		clients.Go(func() {
			operator := &operator{
				t: t, client: client, store: NewStore(kv, "/site"), history: history,
				random: rand.New(rand.NewPCG(seed, uint64(client))),
			}
			for i := range operations {
				operator.step(i)
				time.Sleep(time.Duration(operator.random.IntN(200)) * time.Millisecond)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		clients.Wait()
		close(done)
	}()
	injectFaults(kv, rand.New(rand.NewPCG(seed, operators)), done)
	kv.SetFaults(keyvaluetest.Faults{})
	last := &operator{t: t, client: operators, store: NewStore(kv, "/site"), history: history}
	if out := last.read(); out.outcome == failed {
		t.Error("the last read failed")
	}
	return history
}

// injectFaults changes the faults at random until done is closed.
func injectFaults(kv *keyvaluetest.Store, random *rand.Rand, done <-chan struct{}) {
	for {
		kv.SetFaults(keyvaluetest.Faults{
			Down:          random.IntN(4) == 0,
			LoseResponses: random.Float64() * 0.6,
			LoseRequests:  random.Float64() * 0.3,
			MaxDelay:      50 * time.Millisecond,
		})
		select {
		case <-done:
			return
		case <-time.After(time.Duration(random.IntN(300)) * time.Millisecond):
		}
	}
}

type operator struct {
	t       *testing.T
	client  int
	store   *Store
	history *recorder
	random  *rand.Rand
}

// step reads the lists and changes them. Contents have one unique part and
// parts that come again, so that deleted chunks are needed again.
func (o *operator) step(i int) {
	seen := o.read()
	if seen.outcome == failed {
		return
	}
	content := fmt.Sprintf("%d-%d", o.client, i)
	plans, allowances := large(500, fmt.Sprint(o.random.IntN(2*keptManifests)))
	plans.Plans[0].Customer = content
	in := input{expected: seen.revision, content: content}
	o.history.record(o.client, in, func() output {
		revision, err := o.store.Put(o.t.Context(), seen.revision, plans, allowances, content)
		return putOutput(revision, err)
	})
}

func putOutput(revision int64, err error) output {
	var conflict *ConflictError
	var unknown *UncertainError
	switch {
	case err == nil:
		return output{outcome: accepted, revision: revision}
	case errors.As(err, &conflict):
		return output{outcome: conflicted, revision: conflict.Current}
	case errors.As(err, &unknown):
		return output{outcome: uncertain}
	default:
		return output{outcome: failed}
	}
}

func (o *operator) read() output {
	return o.history.record(o.client, input{}, func() output {
		snapshot, err := o.store.Get(o.t.Context())
		var unreadable *UnreadableError
		if errors.As(err, &unreadable) {
			o.t.Error(err)
		}
		if err != nil {
			return output{outcome: failed}
		}
		out := output{outcome: accepted, revision: snapshot.Revision}
		if snapshot.Revision != 0 {
			out.content = snapshot.Plans.Plans[0].Customer
		}
		return out
	})
}

func countOutcomes(t *testing.T, operations []porcupine.Operation) {
	t.Helper()
	var counts [failed + 1]int
	for _, operation := range operations {
		if operation.Input.(input).content != "" {
			counts[operation.Output.(output).outcome]++
		}
	}
	t.Logf("changes: %d accepted, %d conflicts, %d uncertain, %d not made", counts[accepted], counts[conflicted], counts[uncertain], counts[failed])
}

package placement

import (
	"math"

	"github.com/anishathalye/porcupine"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// recorder records the history of each runner's permit of each model, as the
// processes observe it, for the linearizability check. A nil recorder records
// nothing.
type recorder struct {
	clock      int64
	operations []porcupine.Operation
}

type permitOp struct {
	model, runner string
	kind          opKind
	epoch         int64
}

type opKind uint8

const (
	opGrant opKind = iota
	opRevoke
	opRemove
	opLoad
	opUnload
)

// permitState is the sequential model of a permit that a replica may be using.
type permitState struct {
	epoch         int64
	valid         bool
	revoked, used bool
}

func (r *recorder) now() int64 {
	if r == nil {
		return 0
	}
	r.clock++
	return r.clock
}

func (r *recorder) add(call, end int64, input permitOp) {
	if r != nil {
		r.operations = append(r.operations, porcupine.Operation{
			ClientId: len(r.operations), Input: input, Call: call, Return: end,
		})
	}
}

// recordWrite records the effects of an applied write. One without a response has
// no known end.
func (r *recorder) recordWrite(sent *write, before *wire.Placement, acknowledged bool) {
	end := r.now()
	if !acknowledged {
		end = math.MaxInt64
	}
	after := &sent.change.Placement
	for _, permit := range after.Permits {
		was := permitOf(before.Permits, permit.Runner)
		input := permitOp{model: after.Model, runner: permit.Runner, epoch: permit.Epoch}
		if was < 0 {
			r.add(sent.call, end, input)
		} else if permit.Revoked && !before.Permits[was].Revoked {
			input.kind = opRevoke
			r.add(sent.call, end, input)
		}
	}
	for _, permit := range before.Permits {
		if permitOf(after.Permits, permit.Runner) < 0 {
			r.add(sent.call, end, permitOp{after.Model, permit.Runner, opRemove, permit.Epoch})
		}
	}
}

func permitModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := make(map[[2]string][]porcupine.Operation)
			for _, op := range history {
				input := op.Input.(permitOp)
				key := [2]string{input.model, input.runner}
				parts[key] = append(parts[key], op)
			}
			var result [][]porcupine.Operation
			for _, part := range parts {
				result = append(result, part)
			}
			return result
		},
		Init: func() any { return permitState{} },
		Step: func(state, input, _ any) (bool, any) { return input.(permitOp).apply(state.(permitState)) },
	}
}

func (op permitOp) apply(s permitState) (bool, permitState) {
	same := s.valid && s.epoch == op.epoch
	switch op.kind {
	case opGrant:
		return !s.valid && op.epoch > s.epoch, permitState{epoch: op.epoch, valid: true}
	case opRevoke:
		s.revoked = true
		return same, s
	case opRemove:
		return same && !s.used, permitState{epoch: s.epoch}
	case opLoad:
		s.used = true
		return same, s
	default:
		s.used = false
		return true, s
	}
}

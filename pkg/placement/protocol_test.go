package placement

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

var states = flag.Int("states", 30_000, "limit on the states of each exhaustive exploration, shared by its runners")

// TestProtocolExhaustively explores all moves from each state, breadth first, with
// two deciders and up to two runners, until the limit on states is reached.
func TestProtocolExhaustively(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		for runners := 1; runners <= 2; runners++ {
			t.Run(fmt.Sprintf("fenced=%t/runners=%d", fenced, runners), func(t *testing.T) {
				t.Parallel()
				start := newSimulation(1, runners, 2)
				start.fenced = fenced
				start.bounded = true
				start.maxRev = int64(6 / runners)
				explore(t, start, *states/runners)
			})
		}
	}
}

type node struct {
	*simulation
	parent *node
	move   move
	depth  int
}

func explore(t *testing.T, start *simulation, limit int) {
	seen := map[uint64]bool{xxhash.Sum64String(start.fingerprint()): true}
	queue := []*node{{simulation: start}}
	deepest := 0
	for len(queue) > 0 && len(seen) < limit {
		at := queue[0]
		queue = queue[1:]
		deepest = at.depth
		for _, move := range at.moves() {
			next := &node{simulation: at.clone(), parent: at, move: move, depth: at.depth + 1}
			move.run(next.simulation)
			if violation := next.check(); violation != "" {
				t.Fatalf("%s after %d states:\n%s", violation, len(seen), next.path())
			}
			hash := xxhash.Sum64String(next.fingerprint())
			if !seen[hash] {
				seen[hash] = true
				queue = append(queue, next)
			}
		}
		at.simulation = nil
	}
	t.Logf("%d states, depth %d, complete: %v", len(seen), deepest, len(queue) == 0)
}

func (n *node) path() string {
	var names []string
	for ; n.parent != nil; n = n.parent {
		names = append(names, n.move.String())
	}
	slices.Reverse(names)
	return strings.Join(names, "\n")
}

// TestProtocolRandomHistories runs long random histories of two models, three
// runners and two deciders, with lost hosts, crashes, pauses, late relays and lost
// responses.
func TestProtocolRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(2, 3, 2)
		s.fenced = rapid.Bool().Draw(t, "fenced")
		s.hostLoss = rapid.Bool().Draw(t, "host loss")
		s.record = &recorder{}
		for range rapid.IntRange(1, 300).Draw(t, "length") {
			s.drawMove(t).run(s)
			if violation := s.check(); violation != "" {
				t.Fatal(violation)
			}
		}
		if !porcupine.CheckOperations(permitModel(), s.record.operations) {
			t.Fatalf("permits aren't linearizable: %+v", s.record.operations)
		}
		s.converge(t)
	})
}

// drawMove draws the actor before the move, because deciders have many moves.
func (s *simulation) drawMove(t *rapid.T) move {
	moves := s.moves()
	actor := rapid.IntRange(0, len(s.runners)+1).Draw(t, "actor")
	own := slices.DeleteFunc(slices.Clone(moves), func(m move) bool { return m.actor != actor })
	if len(own) == 0 {
		own = moves
	}
	i := rapid.IntRange(0, len(own)-1).Draw(t, "move")
	t.Log(own[i])
	return own[i]
}

// converge ends all failures and checks that the permits converge to the decision.
func (s *simulation) converge(t *rapid.T) {
	for len(s.network) > 0 {
		s.deliver(0, true, true)
	}
	for round := range 30 {
		for r, runner := range s.runners {
			if !runner.dead {
				s.convergeRunner(r)
			}
		}
		s.read(0)
		changes := (Decider{}).Decide(s.problem(s.views[0], 2, -1))
		if len(changes) == 0 && round > 10 {
			break
		}
		s.decide(0, 2, -1)
		for len(s.network) > 0 {
			s.deliver(0, true, true)
		}
	}
	alive := 0
	for _, runner := range s.runners {
		if !runner.dead {
			alive++
		}
	}
	for _, placement := range s.stored {
		unrevoked := slices.DeleteFunc(slices.Clone(placement.Permits), func(p wire.Permit) bool { return p.Revoked })
		if len(unrevoked) != min(2, alive) || len(unrevoked) != len(placement.Permits) {
			t.Fatalf("converged with %d of %d runners alive to %+v", alive, len(s.runners), placement)
		}
	}
	if violation := s.check(); violation != "" {
		t.Fatal(violation)
	}
}

// convergeRunner replaces the runner's agents by a single one and processes its
// events.
func (s *simulation) convergeRunner(r int) {
	runner := s.runners[r]
	for len(runner.crashedOrders) > 0 {
		s.executeCrashedOrder(r)
	}
	if len(runner.agents) != 1 || s.refused(r, runner.agents[0]) {
		runner.agents = nil
		s.startAgent(r)
	}
	s.engineRead(r, 0)
	s.storeRead(r, 0)
	a := runner.agents[0]
	for _, placement := range s.stored {
		s.step(r, 0, PlacementChanged{placement})
	}
	for len(a.queue)+len(a.responses)+len(a.orders) > 0 {
		switch {
		case len(a.orders) > 0:
			s.executeOrder(r, 0)
		case len(a.responses) > 0:
			s.response(r, 0)
		default:
			s.performAction(r, 0)
		}
	}
}

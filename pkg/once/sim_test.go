package once

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// agent is an agent of a simulation. After a crash it continues as a new
// incarnation.
type agent struct {
	name        string
	incarnation int
	machine     *Machine
	writes      []WriteRecord
	reads       []ReadRecord
	runs        []Run
}

// call is a caller's request and its result.
type call struct {
	Call
	agent   *agent
	invoked int64
	// returned is the time of the reply, or zero.
	returned int64
	reply    Reply
	// abandoned is set if no reply is due: the caller cancelled or the agent crashed.
	abandoned bool
}

// execution is one run of a call.
type execution struct {
	key     Key
	fp      Fingerprint
	started int64
	ended   int64
}

// appliedWrite is a record that took effect.
type appliedWrite struct {
	key Key
	fp  Fingerprint
	at  int64
}

// simulation runs two agents with one store that loses responses, fails, and
// performs writes late.
type simulation struct {
	t          *rapid.T
	now        time.Time
	step       int64
	agents     []*agent
	store      map[Key]Record
	delayed    []WriteRecord
	calls      map[string]*call
	executions []execution
	applied    []appliedWrite
	// notRun is the step of the last refusal with the outcome "not run", by request
	// and incarnation.
	notRun map[string]int64
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: testStart, store: map[Key]Record{}, calls: map[string]*call{}, notRun: map[string]int64{}}
	for _, name := range []string{"a", "b"} {
		ag := &agent{name: name}
		s.start(ag)
		s.agents = append(s.agents, ag)
	}
	return s
}

func (s *simulation) start(ag *agent) {
	ag.incarnation++
	ag.writes, ag.reads, ag.runs = nil, nil, nil
	ag.machine = NewMachine(Config{
		Agent: ag.name, Incarnation: fmt.Sprint(ag.incarnation),
		MaxOpen: 3, MaxWaiters: 3, MaxResponses: 1, MaxKeys: 1, MaxResponseBytes: 40, ResponseTTL: time.Minute,
	})
}

func (s *simulation) nextStep() int64 {
	s.step++
	return s.step
}

func (s *simulation) drawAgent() *agent {
	return rapid.SampledFrom(s.agents).Draw(s.t, "agent")
}

func (s *simulation) deliver(ag *agent, ev Event) {
	for _, action := range ag.machine.Step(s.now, ev) {
		switch a := action.(type) {
		case WriteRecord:
			ag.writes = append(ag.writes, a)
		case ReadRecord:
			ag.reads = append(ag.reads, a)
		case Run:
			s.checkRun(ag, a)
			ag.runs = append(ag.runs, a)
		case Reply:
			s.reply(ag, a)
		}
	}
}

// checkRun checks that a call runs under its own incarnation's record, and that no
// call that was refused as not run caused the run.
func (s *simulation) checkRun(ag *agent, r Run) {
	c := s.calls[r.RequestID]
	owner := s.store[r.Key]
	if owner.Agent != ag.name || owner.Incarnation != fmt.Sprint(ag.incarnation) || owner.Fingerprint != c.Fingerprint {
		s.t.Fatalf("%s runs %s under the record %+v", ag.name, r.RequestID, owner)
	}
	if last := s.notRun[requestOf(ag, c)]; c.invoked < last {
		s.t.Fatalf("%s runs after the request was refused as not run at %d", r.RequestID, last)
	}
}

// requestOf identifies a request at an incarnation.
func requestOf(ag *agent, c *call) string {
	return fmt.Sprint(ag.name, ag.incarnation, c.Key[0], c.Fingerprint[0])
}

func (s *simulation) reply(ag *agent, r Reply) {
	c := s.calls[r.RequestID]
	if c.abandoned || c.returned != 0 {
		s.t.Fatalf("second reply to %s: %+v", r.RequestID, r)
	}
	c.returned = s.nextStep()
	c.reply = r
	if r.Refusal == nil {
		if string(r.Response.Body) != string(body(c.Key, c.Fingerprint)) {
			s.t.Fatalf("%s got the response %q", r.RequestID, r.Response.Body)
		}
		return
	}
	if r.Refusal.Outcome != wire.OutcomeNotRun {
		return
	}
	s.notRun[requestOf(ag, c)] = c.returned
	for _, e := range s.executions {
		if e.key == c.Key && e.fp == c.Fingerprint && e.started > c.invoked && c.agent == ag && s.ownRecord(ag, c) {
			s.t.Fatalf("%s was refused as not run, but ran at %d", r.RequestID, e.started)
		}
	}
}

func (s *simulation) ownRecord(ag *agent, c *call) bool {
	owner := s.store[c.Key]
	return owner.Agent == ag.name && owner.Incarnation == fmt.Sprint(ag.incarnation)
}

func body(key Key, fp Fingerprint) []byte {
	return slices.Repeat([]byte{key[0], fp[0]}, int(key[0])*7)
}

func (s *simulation) call(t *rapid.T) {
	ag := s.drawAgent()
	c := &call{agent: ag, invoked: s.nextStep()}
	c.Key = Key{byte(rapid.IntRange(1, 5).Draw(t, "key"))}
	c.Fingerprint = Fingerprint{byte(rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "fp"))}
	c.RequestID = fmt.Sprint("r", c.invoked)
	if rapid.Bool().Draw(t, "hasDeadline") {
		c.Deadline = s.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second)
	}
	s.calls[c.RequestID] = c
	s.deliver(ag, c.Call)
}

func (s *simulation) applyWrite(w WriteRecord) bool {
	if _, ok := s.store[w.Key]; ok {
		return false
	}
	s.store[w.Key] = w.Record
	s.applied = append(s.applied, appliedWrite{key: w.Key, fp: w.Record.Fingerprint, at: s.nextStep()})
	return true
}

func (s *simulation) write(t *rapid.T) {
	ag := s.drawAgent()
	if len(ag.writes) == 0 {
		t.Skip("no write")
	}
	w := ag.writes[0]
	ag.writes = ag.writes[1:]
	switch rapid.SampledFrom([]string{"ok", "ok", "lostAnswer", "floats", "failed"}).Draw(t, "result") {
	case "ok":
		if s.applyWrite(w) {
			s.deliver(ag, RecordCreated{Key: w.Key})
			return
		}
		s.deliver(ag, RecordExists{Key: w.Key, Owner: s.store[w.Key]})
	case "lostAnswer":
		s.applyWrite(w)
		s.deliver(ag, RecordFailed{Key: w.Key, Uncertain: true})
	case "floats":
		s.delayed = append(s.delayed, w)
		s.deliver(ag, RecordFailed{Key: w.Key, Uncertain: true})
	default:
		s.deliver(ag, RecordFailed{Key: w.Key})
	}
}

func (s *simulation) applyDelayed(t *rapid.T) {
	if len(s.delayed) == 0 {
		t.Skip("no delayed write")
	}
	s.applyWrite(s.delayed[0])
	s.delayed = s.delayed[1:]
}

func (s *simulation) read(t *rapid.T) {
	ag := s.drawAgent()
	if len(ag.reads) == 0 {
		t.Skip("no read")
	}
	r := ag.reads[0]
	ag.reads = ag.reads[1:]
	failed := rapid.Bool().Draw(t, "failed")
	owner, found := s.store[r.Key]
	if failed {
		owner, found = Record{}, false
	}
	s.deliver(ag, RecordRead{Key: r.Key, Found: found, Owner: owner, Failed: failed})
}

func (s *simulation) execute(ag *agent, r Run) {
	started := s.nextStep()
	c := s.calls[r.RequestID]
	if last := s.notRun[requestOf(ag, c)]; c.invoked < last {
		s.t.Fatalf("%s runs after the request was refused as not run at %d", r.RequestID, last)
	}
	for _, e := range s.executions {
		if e.key == r.Key {
			s.t.Fatalf("key %d ran twice", r.Key[0])
		}
	}
	s.executions = append(s.executions, execution{key: r.Key, fp: c.Fingerprint, started: started, ended: s.nextStep()})
}

func (s *simulation) run(t *rapid.T) {
	ag := s.drawAgent()
	if len(ag.runs) == 0 {
		t.Skip("no run")
	}
	r := ag.runs[0]
	ag.runs = ag.runs[1:]
	switch rapid.SampledFrom([]string{"answered", "answered", "lost", "notRun"}).Draw(t, "result") {
	case "answered":
		s.execute(ag, r)
		response := Response{Body: body(r.Key, s.calls[r.RequestID].Fingerprint)}
		s.deliver(ag, RunFinished{Key: r.Key, Outcome: RunCompleted, Response: response})
	case "lost":
		if rapid.Bool().Draw(t, "executed") {
			s.execute(ag, r)
		}
		s.deliver(ag, RunFinished{Key: r.Key, Outcome: RunUnknown})
	default:
		s.deliver(ag, RunFinished{Key: r.Key, Outcome: RunNotRun, Refusal: wire.Refusal{Reason: wire.ReasonQueueFull}})
	}
}

func (s *simulation) crash(t *rapid.T) {
	ag := s.drawAgent()
	for _, w := range ag.writes {
		if rapid.Bool().Draw(t, "floats") {
			s.delayed = append(s.delayed, w)
		}
	}
	for _, r := range ag.runs {
		if rapid.Bool().Draw(t, "executed") {
			s.execute(ag, r)
		}
	}
	for _, c := range s.calls {
		if c.agent == ag && c.returned == 0 {
			c.abandoned = true
		}
	}
	s.start(ag)
}

func (s *simulation) cancel(t *rapid.T) {
	for step := range s.step {
		c := s.calls[fmt.Sprint("r", step)]
		if c != nil && c.returned == 0 && !c.abandoned {
			c.abandoned = true
			s.deliver(c.agent, Cancel{Key: c.Key, RequestID: c.RequestID})
			return
		}
	}
	t.Skip("no waiting call")
}

func (s *simulation) advance(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "s")) * time.Second)
	for _, ag := range s.agents {
		s.deliver(ag, Tick{})
	}
}

// drain completes everything in flight and checks that each call got a reply.
func (s *simulation) drain() {
	for _, ag := range s.agents {
		for len(ag.writes)+len(ag.reads)+len(ag.runs) > 0 {
			for _, w := range ag.writes {
				ag.writes = ag.writes[1:]
				s.deliver(ag, RecordFailed{Key: w.Key, Uncertain: true})
			}
			for _, r := range ag.reads {
				ag.reads = ag.reads[1:]
				s.deliver(ag, RecordRead{Key: r.Key, Failed: true})
			}
			for _, r := range ag.runs {
				ag.runs = ag.runs[1:]
				s.deliver(ag, RunFinished{Key: r.Key, Outcome: RunNotRun})
			}
		}
		if ag.machine.Open() != 0 {
			s.t.Fatalf("%d keys are open at the end", ag.machine.Open())
		}
	}
	for id, c := range s.calls {
		if c.returned == 0 && !c.abandoned {
			s.t.Fatalf("%s got no reply", id)
		}
	}
}

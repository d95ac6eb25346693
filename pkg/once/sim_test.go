package once

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// agent is one agent of a simulation. It is replaced by a new incarnation when
// it crashes.
type agent struct {
	name        string
	incarnation int
	machine     *Machine
	writes      []WriteRecord
	reads       []ReadRecord
	runs        []Run
}

// call is one caller's request and what became of it.
type call struct {
	Call
	agent   *agent
	invoked int64
	// returned is the time of the reply, or zero.
	returned int64
	reply    Reply
	// gone tells that no reply is due: the caller cancelled or the agent died.
	gone bool
}

// execution is one run of the work.
type execution struct {
	key     Key
	fp      Fingerprint
	started int64
	ended   int64
}

// landing is the moment at which a record took effect.
type landing struct {
	key Key
	fp  Fingerprint
	at  int64
}

// simulation runs two agents over one store that loses answers, fails and
// performs writes late.
type simulation struct {
	t          *rapid.T
	now        time.Time
	step       int64
	agents     []*agent
	store      map[Key]Record
	floating   []WriteRecord
	calls      map[string]*call
	executions []execution
	landings   []landing
	// notRun is the time of the last "not run" at an incarnation for a request.
	notRun map[string]int64
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: testStart, store: map[Key]Record{}, calls: map[string]*call{}, notRun: map[string]int64{}}
	for _, name := range []string{"a", "b"} {
		ag := &agent{name: name}
		s.boot(ag)
		s.agents = append(s.agents, ag)
	}
	return s
}

func (s *simulation) boot(ag *agent) {
	ag.incarnation++
	ag.writes, ag.reads, ag.runs = nil, nil, nil
	ag.machine = NewMachine(Config{
		Agent: ag.name, Incarnation: fmt.Sprint(ag.incarnation),
		MaxOpen: 3, MaxWaiters: 3, MaxAnswers: 1, MaxKeys: 1, MaxAnswerBytes: 40, AnswerTTL: time.Minute,
	})
}

func (s *simulation) tickTime() int64 {
	s.step++
	return s.step
}

func (s *simulation) drawAgent() *agent {
	return rapid.SampledFrom(s.agents).Draw(s.t, "agent")
}

func (s *simulation) feed(ag *agent, ev Event) {
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

// checkRun demands that a call runs under its own record and that no call that
// was told "not run" caused it.
func (s *simulation) checkRun(ag *agent, r Run) {
	c := s.calls[r.RequestID]
	owner := s.store[r.Key]
	if owner.Agent != ag.name || owner.Incarnation != fmt.Sprint(ag.incarnation) || owner.Fingerprint != c.Fingerprint {
		s.t.Fatalf("%s runs %s under the record %+v", ag.name, r.RequestID, owner)
	}
	if last := s.notRun[requestOf(ag, c)]; c.invoked < last {
		s.t.Fatalf("%s runs after the work was refused as not run at %d", r.RequestID, last)
	}
}

// requestOf names a request at an incarnation.
func requestOf(ag *agent, c *call) string {
	return fmt.Sprint(ag.name, ag.incarnation, c.Key[0], c.Fingerprint[0])
}

func (s *simulation) reply(ag *agent, r Reply) {
	c := s.calls[r.RequestID]
	if c.gone || c.returned != 0 {
		s.t.Fatalf("second reply to %s: %+v", r.RequestID, r)
	}
	c.returned = s.tickTime()
	c.reply = r
	if r.Refusal == nil {
		if string(r.Response.Body) != string(body(c.Key, c.Fingerprint)) {
			s.t.Fatalf("%s got the answer %q", r.RequestID, r.Response.Body)
		}
		return
	}
	if r.Refusal.Outcome != wire.OutcomeNotRun {
		return
	}
	s.notRun[requestOf(ag, c)] = c.returned
	for _, e := range s.executions {
		if e.key == c.Key && e.fp == c.Fingerprint && e.started > c.invoked && c.agent == ag && s.ownRecord(ag, c) {
			s.t.Fatalf("%s was told it did not run, but ran at %d", r.RequestID, e.started)
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
	c := &call{agent: ag, invoked: s.tickTime()}
	c.Key = Key{byte(rapid.IntRange(1, 5).Draw(t, "key"))}
	c.Fingerprint = Fingerprint{byte(rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "fp"))}
	c.RequestID = fmt.Sprint("r", c.invoked)
	if rapid.Bool().Draw(t, "hasDeadline") {
		c.Deadline = s.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second)
	}
	s.calls[c.RequestID] = c
	s.feed(ag, c.Call)
}

func (s *simulation) land(w WriteRecord) bool {
	if _, ok := s.store[w.Key]; ok {
		return false
	}
	s.store[w.Key] = w.Record
	s.landings = append(s.landings, landing{key: w.Key, fp: w.Record.Fingerprint, at: s.tickTime()})
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
		if s.land(w) {
			s.feed(ag, RecordCreated{Key: w.Key})
			return
		}
		s.feed(ag, RecordExists{Key: w.Key, Owner: s.store[w.Key]})
	case "lostAnswer":
		s.land(w)
		s.feed(ag, RecordFailed{Key: w.Key, Uncertain: true})
	case "floats":
		s.floating = append(s.floating, w)
		s.feed(ag, RecordFailed{Key: w.Key, Uncertain: true})
	default:
		s.feed(ag, RecordFailed{Key: w.Key})
	}
}

func (s *simulation) landLate(t *rapid.T) {
	if len(s.floating) == 0 {
		t.Skip("nothing floats")
	}
	s.land(s.floating[0])
	s.floating = s.floating[1:]
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
	s.feed(ag, RecordRead{Key: r.Key, Found: found, Owner: owner, Failed: failed})
}

func (s *simulation) execute(ag *agent, r Run) {
	started := s.tickTime()
	c := s.calls[r.RequestID]
	if last := s.notRun[requestOf(ag, c)]; c.invoked < last {
		s.t.Fatalf("%s runs after the work was refused as not run at %d", r.RequestID, last)
	}
	for _, e := range s.executions {
		if e.key == r.Key {
			s.t.Fatalf("key %d ran twice", r.Key[0])
		}
	}
	s.executions = append(s.executions, execution{key: r.Key, fp: c.Fingerprint, started: started, ended: s.tickTime()})
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
		answer := Response{Body: body(r.Key, s.calls[r.RequestID].Fingerprint)}
		s.feed(ag, RunFinished{Key: r.Key, Outcome: RunCompleted, Response: answer})
	case "lost":
		if rapid.Bool().Draw(t, "executed") {
			s.execute(ag, r)
		}
		s.feed(ag, RunFinished{Key: r.Key, Outcome: RunUnknown})
	default:
		s.feed(ag, RunFinished{Key: r.Key, Outcome: RunNotRun, Refusal: wire.Refusal{Reason: wire.ReasonQueueFull}})
	}
}

func (s *simulation) crash(t *rapid.T) {
	ag := s.drawAgent()
	for _, w := range ag.writes {
		if rapid.Bool().Draw(t, "floats") {
			s.floating = append(s.floating, w)
		}
	}
	for _, r := range ag.runs {
		if rapid.Bool().Draw(t, "executed") {
			s.execute(ag, r)
		}
	}
	for _, c := range s.calls {
		if c.agent == ag && c.returned == 0 {
			c.gone = true
		}
	}
	s.boot(ag)
}

func (s *simulation) cancel(t *rapid.T) {
	for step := range s.step {
		c := s.calls[fmt.Sprint("r", step)]
		if c != nil && c.returned == 0 && !c.gone {
			c.gone = true
			s.feed(c.agent, Cancel{Key: c.Key, RequestID: c.RequestID})
			return
		}
	}
	t.Skip("nobody waits")
}

func (s *simulation) advance(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "s")) * time.Second)
	for _, ag := range s.agents {
		s.feed(ag, Tick{})
	}
}

// drain ends all that is in flight and demands a reply to each call.
func (s *simulation) drain() {
	for _, ag := range s.agents {
		for len(ag.writes)+len(ag.reads)+len(ag.runs) > 0 {
			for _, w := range ag.writes {
				ag.writes = ag.writes[1:]
				s.feed(ag, RecordFailed{Key: w.Key, Uncertain: true})
			}
			for _, r := range ag.reads {
				ag.reads = ag.reads[1:]
				s.feed(ag, RecordRead{Key: r.Key, Failed: true})
			}
			for _, r := range ag.runs {
				ag.runs = ag.runs[1:]
				s.feed(ag, RunFinished{Key: r.Key, Outcome: RunNotRun})
			}
		}
		if ag.machine.Open() != 0 {
			s.t.Fatalf("%d keys are open at the end", ag.machine.Open())
		}
	}
	for id, c := range s.calls {
		if c.returned == 0 && !c.gone {
			s.t.Fatalf("%s got no reply", id)
		}
	}
}

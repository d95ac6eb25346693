package quarantine

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
)

// The bounds that the users set: sends of requests that crash servers, from contactTime
// after a number of crashes by a part of the prompt or by one request.
const (
	contactTime             = 3 * time.Second
	maxCrashesBefore        = 5
	maxCrashesBeforeRepeats = 3
	maxSendsAfter           = 3
)

// world describes one simulated site.
type world struct {
	entries, servers int
	// rate is the number of sound requests per second, deadlyRate that of requests
	// that crash servers, crashRate that of crashes of other causes.
	rate, deadlyRate, crashRate float64
	// isRepeated makes one request crash servers again and again, whose parts sound
	// requests have as well.
	isRepeated bool
	// deadlySubjects is the number of second parts of requests that crash servers.
	deadlySubjects int
	// subjects is the number of second parts.
	subjects int
	// prefill is the mean time to the begin of a response, run that of a response.
	prefill, run time.Duration
	downTime     time.Duration
	// together is the number of servers that crash at once for other causes.
	together int
	// restartPeriod is the time between two restarts of the detector, which lose its
	// evidence; zero for none.
	restartPeriod time.Duration
	duration      time.Duration
}

// simulatedRequest is a request in a simulation.
type simulatedRequest struct {
	fingerprints Fingerprints
	isDeadly     bool
	entry        int
	// begunAt, eventAt and startedAt are the times of the response's header, of its first
	// event, and from which on its server has survived the start; zero before.
	begunAt, eventAt, startedAt time.Time
}

type simulatedServer struct {
	incarnation int64
	downUntil   time.Time
	running     map[*simulatedRequest]bool
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, k int) bool { return q[i].at.Before(q[k].at) }
func (q eventQueue) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs a site in virtual time with one detector.
type simulation struct {
	world
	random   *rand.Rand
	now      time.Time
	queue    eventQueue
	detector Detector
	// instance numbers the detector's processes; isDown is set while none runs.
	instance uint64
	isDown   bool
	lists    []*List
	memories []*Memory
	servers  []*simulatedServer
	// crashes are the times of the crashes by requests, deadlySends the times at which
	// requests that crash servers reached one.
	crashes, deadlySends []time.Time
	// blocked counts the sound requests that were refused.
	blocked int
	changes []BlockChange
	// lastWhole numbers the requests.
	lastWhole uint64
	// lastReport numbers the reports of crashes.
	lastReport uint64
	// inFlight sums the requests on a server at each crash.
	inFlight, allCrashes int
}

func newSimulation(w world, seed uint64) *simulation {
	s := &simulation{world: w, random: rand.New(rand.NewPCG(seed, 1)), now: testStart}
	for range w.entries {
		s.lists = append(s.lists, &List{})
		s.memories = append(s.memories, &Memory{})
	}
	for range w.servers {
		s.servers = append(s.servers, &simulatedServer{running: map[*simulatedRequest]bool{}})
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.queue, event{s.now.Add(d), do})
}

// between returns a random duration.
func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Float64()*float64(high-low))
}

func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// repeat calls do at random times with a rate.
func (s *simulation) repeat(rate float64, do func()) {
	if rate == 0 {
		return
	}
	s.after(s.exponential(time.Duration(float64(time.Second)/rate)), func() {
		do()
		s.repeat(rate, do)
	})
}

func (s *simulation) runAll() {
	const warmUp = 4 * time.Second
	const tick = 50 * time.Millisecond
	s.repeat(s.rate, func() { s.arrive(false) })
	s.after(warmUp, func() { s.repeat(s.deadlyRate, func() { s.arrive(true) }) })
	s.after(warmUp, func() { s.repeat(s.crashRate, s.crashSome) })
	var review func()
	review = func() {
		s.record(s.detector.Update(s.now))
		s.publish()
		s.after(tick, review)
	}
	s.after(tick, review)
	if s.restartPeriod > 0 {
		s.after(s.restartPeriod, s.restartDetector)
	}
	for end := testStart.Add(s.duration); len(s.queue) > 0 && s.queue[0].at.Before(end); {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.do()
	}
}

func (s *simulation) record(changes []BlockChange) { s.changes = append(s.changes, changes...) }

// publish sends the detector's state to each entry after a delay.
func (s *simulation) publish() {
	state := s.detector.State()
	if state == nil || s.isDown {
		return
	}
	state = s.published(state)
	for _, list := range s.lists {
		s.after(s.between(50*time.Millisecond, 300*time.Millisecond), func() { list.Update(s.now, map[string]*State{"detector": state}) })
	}
}

// fingerprintsOf draws the parts of a prompt: one of three first parts and one of many
// second ones. Requests that crash servers have fixed ones, and a third one or the
// same body.
func (s *simulation) fingerprintsOf(isDeadly bool) Fingerprints {
	const firsts, secondBase, deadly, wholeBase = 3, 1000, 9999, 1 << 32
	s.lastWhole++
	whole := Fingerprint(wholeBase + s.lastWhole)
	switch {
	case isDeadly && s.isRepeated:
		return Fingerprints{Parts: []Fingerprint{1, secondBase}, Whole: deadly}
	case isDeadly:
		second := Fingerprint(secondBase + s.random.IntN(s.deadlySubjects))
		return Fingerprints{Parts: []Fingerprint{1, second, deadly}, Whole: whole}
	default:
		parts := []Fingerprint{Fingerprint(1 + s.random.IntN(firsts)), Fingerprint(secondBase + s.random.IntN(s.subjects))}
		return Fingerprints{Parts: parts, Whole: whole}
	}
}

func (s *simulation) arrive(isDeadly bool) {
	request := &simulatedRequest{fingerprints: s.fingerprintsOf(isDeadly), isDeadly: isDeadly, entry: s.random.IntN(s.entries)}
	if _, refused := s.lists[request.entry].Check(s.now, request.fingerprints.All()); refused {
		if !isDeadly {
			s.blocked++
		}
		return
	}
	var up []*simulatedServer
	for _, server := range s.servers {
		if !s.now.Before(server.downUntil) {
			up = append(up, server)
		}
	}
	if len(up) == 0 {
		return
	}
	server := up[s.random.IntN(len(up))]
	if isDeadly {
		s.deadlySends = append(s.deadlySends, s.now)
	}
	server.running[request] = true
	s.after(s.exponential(s.prefill), func() { s.begin(server, request) })
}

func (s *simulation) begin(server *simulatedServer, request *simulatedRequest) {
	if !server.running[request] {
		return
	}
	request.begunAt = s.now
	if request.isDeadly {
		s.after(s.between(time.Millisecond, 110*time.Millisecond), func() {
			if server.running[request] {
				s.crashes = append(s.crashes, s.now)
				s.crash(server)
			}
		})
		return
	}
	const startGrace = 500 * time.Millisecond
	firstEvent := s.between(20*time.Millisecond, 80*time.Millisecond)
	run := firstEvent + s.exponential(s.run)
	s.after(firstEvent, func() { request.eventAt = s.now })
	s.after(min(run, firstEvent+startGrace), func() { s.started(server, request) })
	s.after(run, func() { delete(server.running, request) })
}

func (s *simulation) started(server *simulatedServer, request *simulatedRequest) {
	if !server.running[request] {
		return
	}
	request.startedAt = s.now
	var starts []Start
	for _, fingerprint := range s.lists[request.entry].RecordStart(s.now, request.eventAt, request.fingerprints) {
		starts = append(starts, Start{fingerprint, request.eventAt})
	}
	if len(starts) > 0 {
		s.memories[request.entry].RecordStarts(simulatedService, starts)
		s.after(s.between(time.Millisecond, 50*time.Millisecond), func() {
			if !s.isDown {
				s.record(s.detector.RecordStarts(s.now, starts))
			}
		})
	}
}

// crashSome crashes servers for another cause.
func (s *simulation) crashSome() {
	for _, i := range s.random.Perm(len(s.servers))[:s.together] {
		server := s.servers[i]
		s.after(s.between(0, 20*time.Millisecond), func() { s.crash(server) })
	}
}

func (s *simulation) crash(server *simulatedServer) {
	if s.now.Before(server.downUntil) {
		return
	}
	s.allCrashes++
	s.inFlight += len(server.running)
	server.downUntil = s.now.Add(s.downTime)
	incarnation := backpressure.Incarnation{ID: fmt.Sprint(slices.Index(s.servers, server)), StartedAtMillis: server.incarnation}
	server.incarnation++
	suspects := make([][]Suspect, s.entries)
	for request := range server.running {
		if request.startedAt.IsZero() {
			suspects[request.entry] = append(suspects[request.entry], Suspect{
				Fingerprints: request.fingerprints.All(),
				Begun:        !request.begunAt.IsZero() && request.eventAt.IsZero(),
			})
		}
	}
	server.running = map[*simulatedRequest]bool{}
	at := s.now
	for entry, of := range suspects {
		if len(of) == 0 {
			continue
		}
		s.after(s.between(50*time.Millisecond, 350*time.Millisecond), func() {
			s.report(entry, Crash{Server: incarnation, At: at, Suspects: of, Starts: s.lists[entry].Starts(s.now, of)})
		})
	}
}

// sendsAfterBound counts the sends that the users' bound is about.
func (s *simulation) sendsAfterBound() int {
	allowed := maxCrashesBefore
	if s.isRepeated {
		allowed = maxCrashesBeforeRepeats
	}
	if len(s.crashes) < allowed {
		return 0
	}
	slices.SortFunc(s.crashes, time.Time.Compare)
	after := s.crashes[allowed-1].Add(contactTime)
	count := 0
	for _, at := range s.deadlySends {
		if at.After(after) {
			count++
		}
	}
	return count
}

// describe lists changes of blocks.
func describe(changes []BlockChange) string {
	text := ""
	for _, change := range changes {
		text += fmt.Sprintf(" %s %v after %.2f s by %d crashes, %d begun;", change.Change, []Fingerprint(change.Signature),
			change.FirstCrash.Sub(testStart).Seconds(), change.Crashes, change.Begun)
	}
	return text
}

// site returns a world of nine servers with a mean number of requests on each.
func site(requestsPerServer float64) world {
	const servers, run, prefill = 9, time.Second, 200 * time.Millisecond
	return world{
		entries: 4, servers: servers, subjects: 118, deadlySubjects: 1, prefill: prefill, run: run, downTime: 3300 * time.Millisecond,
		rate: requestsPerServer * servers / (run + prefill).Seconds(), duration: 34 * time.Second,
	}
}

// simulationSeeds is the number of seeds of each world.
var simulationSeeds = flag.Uint64("simulation-seeds", 4, "number of seeds of each simulated world")

// checkDeadly plays a world on all seeds and checks both bounds of the users.
func checkDeadly(t *testing.T, w world) {
	t.Helper()
	crashes, blocked, late := 0, 0, 0
	for seed := range *simulationSeeds {
		s := newSimulation(w, seed)
		s.runAll()
		crashes += len(s.crashes)
		blocked += s.blocked
		sends := s.sendsAfterBound()
		late = max(late, sends)
		if sends > maxSendsAfter || s.blocked > 0 {
			t.Errorf("seed %d: %d sends after the bound, %d sound requests refused, %d crashes, blocks: %s",
				seed, sends, s.blocked, len(s.crashes), describe(s.changes))
		}
	}
	t.Logf("%.1f crashes a day, at most %d sends after the bound, %d sound requests refused", float64(crashes)/float64(*simulationSeeds), late, blocked)
}

func TestCrashesByPartEndInTimeAndBlockNoSoundPart(t *testing.T) {
	for _, load := range []float64{1, 3, 10, 30} {
		for _, deadlyRate := range []float64{0.3, 1, 3, 8} {
			t.Run(fmt.Sprintf("requests=%g,deadly=%g", load, deadlyRate), func(t *testing.T) {
				w := site(load)
				w.deadlyRate = deadlyRate
				checkDeadly(t, w)
			})
		}
	}
}

func TestCrashesByRequestEndInTimeAndBlockNoSoundOne(t *testing.T) {
	for _, load := range []float64{1, 3, 10, 30} {
		for _, deadlyRate := range []float64{0.3, 1, 3} {
			t.Run(fmt.Sprintf("requests=%g,deadly=%g", load, deadlyRate), func(t *testing.T) {
				w := site(load)
				w.deadlyRate, w.isRepeated = deadlyRate, true
				checkDeadly(t, w)
			})
		}
	}
}

// The second part is the same in most of the first crashes and then another one.
func TestCrashesByPartWithFewOtherPartsEndInTime(t *testing.T) {
	for _, load := range []float64{1, 3, 10} {
		for _, subjects := range []int{2, 3, 10} {
			for _, deadlyRate := range []float64{0.3, 1, 3} {
				t.Run(fmt.Sprintf("requests=%g,subjects=%d,deadly=%g", load, subjects, deadlyRate), func(t *testing.T) {
					w := site(load)
					w.subjects, w.deadlySubjects, w.deadlyRate = 400, subjects, deadlyRate
					checkDeadly(t, w)
				})
			}
		}
	}
}

func TestCrashesByPartEndInTimeBesideOtherCrashes(t *testing.T) {
	for _, entries := range []int{4, 68} {
		for _, together := range []int{1, 4} {
			t.Run(fmt.Sprintf("entries=%d,together=%d", entries, together), func(t *testing.T) {
				w := site(10)
				w.entries, w.together = entries, together
				w.deadlyRate, w.crashRate = 1, 0.3
				checkDeadly(t, w)
			})
		}
	}
}

func TestCrashesOfOtherCausesBlockNobody(t *testing.T) {
	for _, load := range []float64{1, 3, 10, 30} {
		for _, c := range []struct {
			rate     float64
			together int
		}{{0.3, 1}, {1, 1}, {3, 1}, {0.3, 4}, {0.3, 9}} {
			t.Run(fmt.Sprintf("requests=%g,crashes=%g,together=%d", load, c.rate, c.together), func(t *testing.T) {
				crashes, blocked, suspects := 0, 0, 0
				for seed := range *simulationSeeds {
					w := site(load)
					w.crashRate, w.together = c.rate, c.together
					s := newSimulation(w, seed)
					s.runAll()
					crashes += s.allCrashes
					suspects += s.inFlight
					blocked += s.blocked
					if len(s.changes) > 0 {
						t.Errorf("seed %d: %d crashes, blocks: %s", seed, s.allCrashes, describe(s.changes))
					}
				}
				t.Logf("%.1f crashes a day with %.1f requests each, %d sound requests refused",
					float64(crashes)/float64(*simulationSeeds), float64(suspects)/float64(crashes), blocked)
			})
		}
	}
}

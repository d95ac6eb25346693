package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/membership"
)

const (
	simEntries              = 29
	simWarmUp               = 14 * time.Second
	simLength               = 48 * time.Second
	simOneWay               = 4 * time.Millisecond
	simTimeout              = 80 * time.Millisecond
	simMaxLoss              = 0.05
	simMaxLossWithoutFaults = 0.01
	// simUsualPart is the usual demand of an organisation as a part of its rate.
	simUsualPart = 0.55
	// The rates of the organisations, in units a second, and the mean size of a request.
	simOrganisations = 16
	simLargestRate   = 299_900.0
	simLeastRate     = 1900.0
	simSkew          = 1.2
	simMeanCost      = 900.0
)

var simBounds = Bounds{Window: 8 * time.Second, Over: 0.1, Slack: 7500}

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simEntry is one entry.
type simEntry struct {
	name        string
	weight      float64
	owner       *Owner
	accounts    map[string]*Account
	reach       *Reachability
	incarnation int64
	down        bool
	frozen      bool
	// side is its side of a partition.
	side int
	// sees are the entries that it knows.
	sees []string
}

// simOrganisation is one organisation with what it sent and used.
type simOrganisation struct {
	name    string
	quota   fleet.Quota
	demand  func(at time.Duration) float64
	sent    []use
	used    []use
	refused float64
}

// use is a number of units at a time.
type use struct {
	at    time.Duration
	units float64
}

type simulation struct {
	random        *rand.Rand
	now           time.Duration
	queue         eventQueue
	entries       []*simEntry
	organisations []*simOrganisation
	ranks         map[string][]string
}

var simStart = time.Unix(1000, 0)

func (s *simulation) clock() time.Time { return simStart.Add(s.now) }

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.queue, event{s.now + d, do})
}

func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{ranks: make(map[string][]string), random: rand.New(rand.NewPCG(seed, 1))}
	var names []string
	for i := range simEntries {
		names = append(names, fmt.Sprint("entry-", i))
	}
	for _, name := range names {
		e := &simEntry{name: name, weight: 0.2 + 2*s.random.Float64(), sees: names}
		s.begin(e)
		s.entries = append(s.entries, e)
	}
	return s
}

// begin starts a process that knows nothing.
func (s *simulation) begin(e *simEntry) {
	e.owner, e.accounts, e.reach = NewOwner(), make(map[string]*Account), NewReachability()
	e.incarnation++
	e.down = false
}

// add adds an organisation whose requests come at random, each of a size around mean.
func (s *simulation) add(name string, rate, mean float64, factor func(time.Duration) float64) {
	o := &simOrganisation{name: name, quota: fleet.Quota{Unit: fleet.QuotaTokens, PerSecond: rate, Burst: rate}}
	o.demand = func(at time.Duration) float64 { return simUsualPart * rate * factor(at) }
	s.organisations = append(s.organisations, o)
	var next func()
	next = func() {
		s.arrive(o, mean*(0.6+0.8*s.random.Float64()))
		s.after(s.gap(o, mean), next)
	}
	heap.Push(&s.queue, event{simWarmUp, next})
}

func (s *simulation) gap(o *simOrganisation, mean float64) time.Duration {
	return time.Duration(s.random.ExpFloat64() * mean / o.demand(s.now) * float64(time.Second))
}

// arrive sends a request to one of the entries that are up.
func (s *simulation) arrive(o *simOrganisation, cost float64) {
	total := 0.0
	for _, e := range s.entries {
		if !e.down {
			total += e.weight
		}
	}
	at := s.random.Float64() * total
	for _, e := range s.entries {
		if e.down {
			continue
		}
		if at -= e.weight; at >= 0 {
			continue
		}
		if e.frozen {
			return
		}
		o.sent = append(o.sent, use{s.now, cost})
		s.charge(e, o, cost)
		return
	}
}

func (s *simulation) account(e *simEntry, o *simOrganisation) *Account {
	if e.accounts[o.name] == nil {
		e.accounts[o.name] = &Account{}
	}
	return e.accounts[o.name]
}

func (s *simulation) charge(e *simEntry, o *simOrganisation, cost float64) {
	account := s.account(e, o)
	outcome, _ := account.Take(s.clock(), cost)
	if outcome == NeedsCredit {
		s.ask(e, o, account, cost, e.reach.Targets(s.clock(), s.ranked(o, e)))
		return
	}
	s.end(o, outcome, cost)
}

func (s *simulation) end(o *simOrganisation, outcome Outcome, cost float64) {
	if outcome == Charged && cost > 0 {
		o.used = append(o.used, use{s.now, cost})
	} else if cost > 0 {
		o.refused += cost
	}
}

// ask asks the targets one after the other.
func (s *simulation) ask(e *simEntry, o *simOrganisation, account *Account, cost float64, targets []Target) {
	incarnation := e.incarnation
	isGone := func() bool { return e.incarnation != incarnation || e.down }
	if len(targets) == 0 {
		if cost > 0 {
			outcome, _ := account.TakeAlone(s.clock(), LimitOf(o.quota, simBounds), cost)
			s.end(o, outcome, cost)
		}
		return
	}
	target := s.named(targets[0].Entry)
	r := account.Request(s.clock(), cost)
	r.Organisation, r.Entry, r.Incarnation, r.Entries, r.Substitute = o.name, e.name, e.incarnation, len(e.sees), targets[0].Substitute
	done := false
	delay := simOneWay
	if target == e {
		delay = 0
	}
	s.after(delay, func() {
		if target == nil || target.down || target.frozen || target.side != e.side {
			return
		}
		g := target.owner.Decide(s.clock(), LimitOf(o.quota, simBounds), r)
		s.after(delay, func() {
			if isGone() || done || e.frozen {
				return
			}
			done = true
			e.reach.Responded(target.name)
			outcome, _ := account.Apply(s.clock(), cost, g)
			s.end(o, outcome, cost)
		})
	})
	s.after(simTimeout, func() {
		if isGone() || done {
			return
		}
		done = true
		e.reach.Failed(s.clock(), targets[0].Entry)
		s.ask(e, o, account, cost, targets[1:])
	})
}

func (s *simulation) named(name string) *simEntry {
	for _, e := range s.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// tick reports, and lets entries own quotas, as the gateway does.
func (s *simulation) tick() {
	for _, e := range s.entries {
		if e.down || e.frozen {
			continue
		}
		for _, o := range s.organisations {
			ranked := s.ranked(o, e)
			if ranked[0] == e.name {
				e.owner.Own(s.clock(), o.name, LimitOf(o.quota, simBounds))
			}
			if account := s.account(e, o); account.IsReportDue(s.clock()) {
				s.ask(e, o, account, 0, e.reach.Targets(s.clock(), ranked))
			}
		}
	}
	s.after(100*time.Millisecond, s.tick)
}

// The faults that a seed chooses from.

func (s *simulation) pick(share float64) []*simEntry {
	shuffled := slices.Clone(s.entries)
	s.random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:max(1, int(share*float64(len(shuffled))))]
}

// ranked returns the entries in the order in which an entry asks them.
func (s *simulation) ranked(o *simOrganisation, e *simEntry) []string {
	key := fmt.Sprint(o.name, len(e.sees))
	if s.ranks[key] == nil {
		s.ranks[key] = membership.RendezvousRank("quota "+o.name, e.sees)
	}
	return s.ranks[key]
}

// ownerOf returns the owner of an organisation's quota.
func (s *simulation) ownerOf(o *simOrganisation) *simEntry {
	return s.named(membership.RendezvousRank("quota "+o.name, s.entries[0].sees)[0])
}

func (s *simulation) kill(es []*simEntry, length time.Duration) {
	for _, e := range es {
		e.down = true
		s.after(length+time.Duration(s.random.Int64N(int64(time.Second))), func() { s.begin(e) })
	}
}

func (s *simulation) freeze(es []*simEntry, length time.Duration) {
	for _, e := range es {
		e.frozen = true
		s.after(length, func() { e.frozen = false })
	}
}

func (s *simulation) cut(es []*simEntry, length time.Duration) {
	for _, e := range es {
		e.side = 1
	}
	s.after(length, func() {
		for _, e := range es {
			e.side = 0
		}
	})
}

// replace removes an entry for good, which stays in the list, and adds another one,
// which the entries learn of within two seconds.
func (s *simulation) replace(e *simEntry) {
	e.down = true
	added := &simEntry{name: e.name + "-new", weight: e.weight}
	all := append(slices.Clone(e.sees), added.name)
	added.sees = all
	s.begin(added)
	s.entries = append(s.entries, added)
	for _, other := range s.entries {
		s.after(time.Duration(s.random.Int64N(int64(2*time.Second))), func() { other.sees = all })
	}
}

// disturb draws the faults of a seed.
func (s *simulation) disturb(hot *simOrganisation) []string {
	faults := []struct {
		name string
		do   func()
	}{
		{"owner killed", func() { s.kill([]*simEntry{s.ownerOf(hot)}, 2*time.Second) }},
		{"owner frozen", func() { s.freeze([]*simEntry{s.ownerOf(hot)}, 4*time.Second) }},
		{"owner replaced", func() { s.replace(s.ownerOf(hot)) }},
		{"half killed", func() { s.kill(s.pick(0.55), 2*time.Second) }},
		{"all killed", func() { s.kill(s.pick(1), time.Second) }},
		{"fifth frozen", func() { s.freeze(s.pick(0.2), 4*time.Second) }},
		{"third cut", func() { s.cut(s.pick(0.35), 8*time.Second) }},
		{"owner cut", func() { s.cut([]*simEntry{s.ownerOf(hot)}, 6*time.Second) }},
		{"half cut", func() { s.cut(s.pick(0.5), 5*time.Second) }},
	}
	var chosen []string
	for range 1 + s.random.IntN(3) {
		fault := faults[s.random.IntN(len(faults))]
		at := simWarmUp + time.Duration(3+s.random.IntN(22))*time.Second
		chosen = append(chosen, fmt.Sprintf("%s at %s", fault.name, at))
		heap.Push(&s.queue, event{at, fault.do})
	}
	return chosen
}

// mostInWindow returns the largest sum in any window.
func mostInWindow(used []use, window time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, u := range used {
		sum += u.units
		for u.at-used[first].at > window {
			sum -= used[first].units
			first++
		}
		most = max(most, sum)
	}
	return most
}

// owed returns what a single bucket for all requests would let through.
func owed(o *simOrganisation) float64 {
	level, last, total := o.quota.Burst, time.Duration(0), 0.0
	for _, u := range o.sent {
		level = min(level+o.quota.PerSecond*(u.at-last).Seconds(), o.quota.Burst)
		last = u.at
		if level >= u.units {
			level -= u.units
			total += u.units
		}
	}
	return total
}

func total(uses []use) (sum float64) {
	for _, u := range uses {
		sum += u.units
	}
	return sum
}

// result is what one seed led to.
type result struct {
	// use is the largest use of an organisation in a window, as a part of the bound.
	use float64
	// lost is what was refused below the limits, owed what the limits allow of what came.
	lost, owed  float64
	description string
}

// play plays one seed.
func play(seed uint64, withFaults bool) (r result) {
	s := newSimulation(seed)
	hotAt := simWarmUp + time.Duration(2+s.random.IntN(12))*time.Second
	hotFactor := 3 + 4*s.random.Float64()
	phase := 2 * math.Pi * s.random.Float64()
	usual := func(at time.Duration) float64 { return 1 + 0.27*math.Sin(phase+2*math.Pi*at.Seconds()/11) }
	hotRank := s.random.IntN(3)
	for rank := range simOrganisations {
		factor := usual
		if rank == hotRank {
			factor = func(at time.Duration) float64 {
				if at >= hotAt && at < hotAt+7*time.Second {
					return hotFactor * usual(at)
				}
				return usual(at)
			}
		}
		s.add(fmt.Sprint("organisation-", rank), max(simLargestRate/math.Pow(float64(rank+1), simSkew), simLeastRate), simMeanCost, factor)
	}
	var faults []string
	if withFaults {
		faults = s.disturb(s.organisations[hotRank])
	}
	heap.Push(&s.queue, event{0, s.tick})
	s.run(simLength)
	r.description = fmt.Sprintf("seed %d, organisation-%d hot from %s times %.1f, %q:", seed, hotRank, hotAt, hotFactor, faults)
	for _, o := range s.organisations {
		part := mostInWindow(o.used, simBounds.Window) / simBounds.Most(o.quota)
		missing := max(owed(o)-total(o.used), 0)
		if part > 0.9 || missing > 0.01*owed(o) {
			r.description += fmt.Sprintf(" %s: %.3f of the bound, %.3f lost of %.0f (refused %.0f);", o.name, part, missing/owed(o), owed(o), o.refused)
		}
		r.use = max(r.use, part)
		r.lost += missing
		r.owed += owed(o)
	}
	return r
}

// Guards against more use than the bound in any window, and against refusals below the
// limit, while entries are killed, frozen, cut off and replaced.
func TestQuotaHoldsThroughFaults(t *testing.T) {
	const seeds = 60
	for seed := range uint64(seeds) {
		r := play(seed, true)
		t.Log(r.description)
		if r.use > 1 || r.lost > simMaxLoss*r.owed {
			t.Errorf("%.3f of the bound used, %.3f of what is owed lost: %s", r.use, r.lost/r.owed, r.description)
		}
	}
}

func TestNothingIsRefusedBelowLimitWithoutFaults(t *testing.T) {
	for seed := range uint64(10) {
		if r := play(seed, false); r.use > 1 || r.lost > simMaxLossWithoutFaults*r.owed {
			t.Errorf("%.3f of the bound used, %.4f of what is owed lost: %s", r.use, r.lost/r.owed, r.description)
		}
	}
}

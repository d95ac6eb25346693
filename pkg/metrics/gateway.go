package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

// View names what a process knows from elsewhere and decides by.
type View string

// The beliefs.
const (
	ViewConfiguration View = "configuration"
	ViewRegistrations View = "registrations"
	ViewPlacement     View = "placement"
	ViewSite          View = "site"
	ViewReport        View = "report"
)

// storeCalls counts the calls of the platform's store.
type storeCalls struct {
	calls *vector[tally.Counter]
	times *vector[tally.Timer]
}

func newStoreCalls(scope tally.Scope) storeCalls {
	return storeCalls{
		calls: newCounters(scope, "store_calls_total", "operation", "result"),
		times: newTimers(scope, "store_call_seconds", "operation"),
	}
}

// ObserveStore is a keyvalue.Observer that counts calls.
func (s *storeCalls) ObserveStore(op keyvalue.Operation, took time.Duration, err error) {
	s.calls.with(labels{string(op), string(ResultOf(err))}).Inc(1)
	s.times.with(labels{string(op)}).Record(took)
}

// beliefGauges show how old and of which version a process's beliefs are.
type beliefGauges struct {
	versions *vector[tally.Gauge]
	ages     *vector[tally.Gauge]
}

func newBeliefGauges(scope tally.Scope) beliefGauges {
	return beliefGauges{
		versions: newGauges(scope, "belief_version", "belief"),
		ages:     newGauges(scope, "belief_age_seconds", "belief"),
	}
}

// ObserveView shows the version of a belief and how long ago it was confirmed.
func (b *beliefGauges) ObserveView(belief View, version int64, age time.Duration) {
	b.versions.with(labels{string(belief)}).Update(float64(version))
	b.ages.with(labels{string(belief)}).Update(age.Seconds())
}

// Gateway holds the metrics of an entry before an operator's platform. Its
// methods are safe for concurrent use.
type Gateway struct {
	storeCalls
	beliefGauges
	requests     *vector[tally.Counter]
	requestTimes *vector[tally.Timer]
	firstBytes   *vector[tally.Timer]
	sends        *vector[tally.Counter]
	leaseWaits   *vector[tally.Timer]
	verdicts     *vector[tally.Counter]
	connects     *vector[tally.Counter]
	inFlight     tally.Gauge
	backends     tally.Gauge
	agents       tally.Gauge
	leading      tally.Gauge
	turnedAway   tally.Counter
	unlogged     tally.Counter
}

// NewGateway returns a gateway's metrics in scope.
func NewGateway(scope tally.Scope) *Gateway {
	gateway := scope.SubScope("gateway")
	return &Gateway{
		storeCalls:   newStoreCalls(gateway),
		beliefGauges: newBeliefGauges(gateway),
		requests:     newCounters(gateway, "requests_total", "route", "kind", "outcome"),
		requestTimes: newTimers(gateway, "request_seconds", "kind"),
		firstBytes:   newTimers(gateway, "first_byte_seconds", "kind"),
		sends:        newCounters(gateway, "sends_total", "event"),
		leaseWaits:   newTimers(gateway, "lease_wait_seconds", "outcome"),
		verdicts:     newCounters(gateway, "retry_verdicts_total", "verdict"),
		connects:     newCounters(gateway, "connects_total", "result"),
		inFlight:     gateway.Gauge("requests_in_flight"),
		backends:     gateway.Gauge("backends"),
		agents:       gateway.Gauge("agents_connected"),
		leading:      gateway.Gauge("leading"),
		turnedAway:   gateway.Counter("turned_away_total"),
		unlogged:     gateway.Counter("answers_not_logged_total"),
	}
}

// RequestDone counts a request of a route.
func (g *Gateway) RequestDone(route, kind, outcome string, took time.Duration) {
	g.requests.with(labels{route, kind, outcome}).Inc(1)
	g.requestTimes.with(labels{kind}).Record(took)
}

// FirstByte records the time to the head of an answer.
func (g *Gateway) FirstByte(kind string, took time.Duration) {
	g.firstBytes.with(labels{kind}).Record(took)
}

// Send counts a request that was sent to a backend server, by what became of it.
func (g *Gateway) Send(event string) { g.sends.with(labels{event}).Inc(1) }

// LeaseWait records the wait for the use of a model; outcome is granted, silent,
// left for another runner, or the reason of a refusal.
func (g *Gateway) LeaseWait(outcome string, took time.Duration) {
	g.leaseWaits.with(labels{outcome}).Record(took)
}

// RetryDecision counts what followed from a failed send.
func (g *Gateway) RetryDecision(verdict string) { g.verdicts.with(labels{verdict}).Inc(1) }

// Connect counts a connection to a backend server.
func (g *Gateway) Connect(result Result) { g.connects.with(labels{string(result)}).Inc(1) }

// State shows the requests in flight, the usable backend servers, the agents that
// are connected, and whether this entry leads.
func (g *Gateway) State(inFlight, backends, agents int, leading bool) {
	g.inFlight.Update(float64(inFlight))
	g.backends.Update(float64(backends))
	g.agents.Update(float64(agents))
	g.leading.Update(boolGauge(leading))
}

// RetryAfterReceived counts a backend server's answer that it wants no requests for a
// while.
func (g *Gateway) RetryAfterReceived() { g.turnedAway.Inc(1) }

// ResponseNotLogged counts an answer that was left out of the log.
func (g *Gateway) ResponseNotLogged() { g.unlogged.Inc(1) }

func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

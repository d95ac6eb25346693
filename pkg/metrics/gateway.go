package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

// View identifies a process's versioned copy of remote state.
type View string

// The views.
const (
	ViewConfiguration View = "configuration"
	ViewRegistrations View = "registrations"
	ViewPlacement     View = "placement"
	ViewSite          View = "site"
	ViewReport        View = "report"
)

// storeCalls counts the calls to the platform's store.
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

// ObserveStore is a keyvalue.Observer that records calls.
func (s *storeCalls) ObserveStore(op keyvalue.Operation, took time.Duration, err error) {
	s.calls.with(labels{string(op), string(ResultOf(err))}).Inc(1)
	s.times.with(labels{string(op)}).Record(took)
}

// viewGauges expose the version and the age of a process's views.
type viewGauges struct {
	versions *vector[tally.Gauge]
	ages     *vector[tally.Gauge]
}

func newViewGauges(scope tally.Scope) viewGauges {
	return viewGauges{
		versions: newGauges(scope, "belief_version", "belief"),
		ages:     newGauges(scope, "belief_age_seconds", "belief"),
	}
}

// ObserveView sets the version of a view and the time since it was last confirmed.
func (v *viewGauges) ObserveView(view View, version int64, age time.Duration) {
	v.versions.with(labels{string(view)}).Update(float64(version))
	v.ages.with(labels{string(view)}).Update(age.Seconds())
}

// Gateway holds the metrics of an entry in front of an external platform. Its methods
// are safe for concurrent use.
type Gateway struct {
	storeCalls
	viewGauges
	requests           *vector[tally.Counter]
	requestTimes       *vector[tally.Timer]
	firstBytes         *vector[tally.Timer]
	sends              *vector[tally.Counter]
	leaseWaits         *vector[tally.Timer]
	retryDecisions     *vector[tally.Counter]
	connects           *vector[tally.Counter]
	inFlight           tally.Gauge
	backends           tally.Gauge
	agents             tally.Gauge
	leading            tally.Gauge
	retryAfters        tally.Counter
	limitedServers     tally.Gauge
	limitedSends       tally.Counter
	skippedResponses   tally.Counter
	malformedResponses tally.Counter
	rateTokens         *vector[tally.Counter]
	quotaCharges       *vector[tally.Counter]
	crashChecks        *vector[tally.Counter]
	quarantined        tally.Counter
	blocks             tally.Gauge
	responsesNotLogged tally.Counter
	responseEnds       *vector[tally.Counter]
	responseCuts       *vector[tally.Counter]
	unframedEnds       *vector[tally.Counter]
	resumptions        *vector[tally.Counter]
	origins            tally.Gauge
	originsDropped     tally.Counter
	unidentified       *vector[tally.Counter]
	organisations      *vector[tally.Counter]
	organisationNames  *nameLimit
	limitsExceeded     *vector[tally.Counter]
	heldBytes          *vector[tally.Gauge]
	callerConnections  tally.Gauge
}

// NewGateway registers a gateway's metrics in scope.
func NewGateway(scope tally.Scope) *Gateway {
	gateway := scope.SubScope("gateway")
	return &Gateway{
		storeCalls:         newStoreCalls(gateway),
		viewGauges:         newViewGauges(gateway),
		requests:           newCounters(gateway, "requests_total", "route", "kind", "outcome"),
		requestTimes:       newTimers(gateway, "request_seconds", "kind"),
		firstBytes:         newTimers(gateway, "first_byte_seconds", "kind"),
		sends:              newCounters(gateway, "sends_total", "event"),
		leaseWaits:         newTimers(gateway, "lease_wait_seconds", "outcome"),
		retryDecisions:     newCounters(gateway, "retry_verdicts_total", "verdict"),
		connects:           newCounters(gateway, "connects_total", "result"),
		inFlight:           gateway.Gauge("requests_in_flight"),
		backends:           gateway.Gauge("backends"),
		agents:             gateway.Gauge("agents_connected"),
		leading:            gateway.Gauge("leading"),
		retryAfters:        gateway.Counter("turned_away_total"),
		limitedServers:     gateway.Gauge("limited_backends"),
		limitedSends:       gateway.Counter("limited_sends_total"),
		skippedResponses:   gateway.Counter("skipped_responses_total"),
		malformedResponses: gateway.Counter("malformed_responses_total"),
		rateTokens:         newCounters(gateway, "rate_tokens_total", "outcome"),
		quotaCharges:       newCounters(gateway, "quota_charges_total", "outcome"),
		crashChecks:        newCounters(gateway, "crash_checks_total", "result"),
		quarantined:        gateway.Counter("quarantined_requests_total"),
		blocks:             gateway.Gauge("blocked_signatures"),
		responsesNotLogged: gateway.Counter("answers_not_logged_total"),
		responseEnds:       newCounters(gateway, "response_ends_total", "framing", "outcome"),
		responseCuts:       newCounters(gateway, "response_cuts_total", "cause"),
		unframedEnds:       newCounters(gateway, "unframed_ends_total", "evidence"),
		resumptions:        newCounters(gateway, "resumptions_total", "outcome"),
		origins:            gateway.Gauge("stream_origins"),
		originsDropped:     gateway.Counter("dropped_stream_origins_total"),
		unidentified:       newCounters(gateway, "unidentified_requests_total", "reason"),
		organisations:      newCounters(gateway, "organisation_requests_total", "organisation", "outcome"),
		organisationNames:  newNameLimit(maxOrganisations, otherOrganisations),
		limitsExceeded:     newCounters(gateway, "limits_exceeded_total", "cause"),
		heldBytes:          newGauges(gateway, "callers_held_bytes", "kind"),
		callerConnections:  gateway.Gauge("caller_connections"),
	}
}

// RequestDone records a finished request of a route.
func (g *Gateway) RequestDone(route, kind, outcome string, took time.Duration) {
	g.requests.with(labels{route, kind, outcome}).Inc(1)
	g.requestTimes.with(labels{kind}).Record(took)
}

// FirstByte records the time until the response headers.
func (g *Gateway) FirstByte(kind string, took time.Duration) {
	g.firstBytes.with(labels{kind}).Record(took)
}

// ResponseEnd counts a response that was started towards a caller, by the framing of the
// server's response and the outcome of the request.
func (g *Gateway) ResponseEnd(framing, outcome string) {
	g.responseEnds.with(labels{framing, outcome}).Inc(1)
}

// ResponseCut counts a request whose caller has no complete response, by why.
func (g *Gateway) ResponseCut(cause string) { g.responseCuts.with(labels{cause}).Inc(1) }

// UnframedEnd counts a response that ended with its connection, by what shows whether it is
// complete.
func (g *Gateway) UnframedEnd(evidence string) { g.unframedEnds.with(labels{evidence}).Inc(1) }

// Send counts a request sent to a backend server, by its outcome.
func (g *Gateway) Send(event string) { g.sends.with(labels{event}).Inc(1) }

// LeaseWait records the wait for a lease on a model. The outcome is "granted",
// "silent" if the agent did not respond, "left" if the request was moved to a better
// runner, or the reason of a refusal.
func (g *Gateway) LeaseWait(outcome string, took time.Duration) {
	g.leaseWaits.with(labels{outcome}).Record(took)
}

// RetryDecision counts a decision after a failed attempt.
func (g *Gateway) RetryDecision(decision string) { g.retryDecisions.with(labels{decision}).Inc(1) }

// Connect counts an attempt to connect to a backend server.
func (g *Gateway) Connect(result Result) { g.connects.with(labels{string(result)}).Inc(1) }

// State sets the number of requests in flight, of usable backend servers and of
// connected agents, and whether this entry is the leader.
func (g *Gateway) State(inFlight, backends, agents int, leading bool) {
	g.inFlight.Update(float64(inFlight))
	g.backends.Update(float64(backends))
	g.agents.Update(float64(agents))
	g.leading.Update(boolGauge(leading))
}

// RetryAfterReceived counts a response by which a backend server rejects requests for
// some time.
func (g *Gateway) RetryAfterReceived() { g.retryAfters.Inc(1) }

// LimitedServers sets the number of backend servers that name a rate limit.
func (g *Gateway) LimitedServers(count int) { g.limitedServers.Update(float64(count)) }

// LimitedSend counts a request sent to a backend server that names a rate limit.
func (g *Gateway) LimitedSend() { g.limitedSends.Inc(1) }

// SkippedResponses counts responses of backend servers that belong to earlier requests.
func (g *Gateway) SkippedResponses(n int) { g.skippedResponses.Inc(int64(n)) }

// MalformedResponse counts a response of a backend server that isn't one by the grammar of
// HTTP.
func (g *Gateway) MalformedResponse() { g.malformedResponses.Inc(1) }

// RateToken counts a request for a rate token of a server with a rate limit. The outcome is
// "granted", "refused", or "silent" if an entry that issues tokens didn't respond.
func (g *Gateway) RateToken(outcome string) { g.rateTokens.with(labels{outcome}).Inc(1) }

// ResponseNotLogged counts a response that was omitted from the log.
func (g *Gateway) ResponseNotLogged() { g.responsesNotLogged.Inc(1) }

func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// CrashResult is whether failed connections were due to a crash of their server.
type CrashResult string

// The results of checks for a crash.
const (
	CrashConfirmed   CrashResult = "confirmed"
	CrashUnconfirmed CrashResult = "unconfirmed"
)

// CrashCheck counts a check whether a backend server has crashed.
func (g *Gateway) CrashCheck(result CrashResult) { g.crashChecks.with(labels{string(result)}).Inc(1) }

// Quarantined counts a request that was refused since it would crash its server.
func (g *Gateway) Quarantined() { g.quarantined.Inc(1) }

// Blocks sets the number of blocks on requests that crash servers.
func (g *Gateway) Blocks(count int) { g.blocks.Update(float64(count)) }

// Resumption counts a request that resumes a stream. The outcome is how the version of the
// stream is known, or why the request was refused.
func (g *Gateway) Resumption(outcome string) { g.resumptions.with(labels{outcome}).Inc(1) }

// Origins sets the number of streams whose origin is kept for callers that resume them.
func (g *Gateway) Origins(count int) { g.origins.Update(float64(count)) }

// QuotaCharge counts a request that was charged to a quota, refused or given its charge
// back. The outcome is one of a fixed set.
func (g *Gateway) QuotaCharge(outcome string) { g.quotaCharges.with(labels{outcome}).Inc(1) }

// OriginDropped counts an origin of a stream that was dropped, as there were too many.
func (g *Gateway) OriginDropped() { g.originsDropped.Inc(1) }

// Unidentified counts a request that was refused since it has no valid key.
func (g *Gateway) Unidentified(reason string) { g.unidentified.with(labels{reason}).Inc(1) }

// OrganisationRequest counts a finished request of an organisation. Once there are too many
// organisations, further ones are counted together.
func (g *Gateway) OrganisationRequest(organisation, outcome string) {
	g.organisations.with(labels{g.organisationNames.tag(organisation), outcome}).Inc(1)
}

// LimitExceeded counts a refused request or a closed connection, by the limit that its caller
// exceeded.
func (g *Gateway) LimitExceeded(cause string) { g.limitsExceeded.with(labels{cause}).Inc(1) }

// HeldBytes sets the memory that is reserved for callers, by what it is for.
func (g *Gateway) HeldBytes(kind string, bytes int64) {
	g.heldBytes.with(labels{kind}).Update(float64(bytes))
}

// CallerConnections sets the number of connections of callers.
func (g *Gateway) CallerConnections(count int) { g.callerConnections.Update(float64(count)) }

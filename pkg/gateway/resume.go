package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/resumption"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// maxOriginQueries limits the number of agents that are asked for the origin of one
	// stream.
	maxOriginQueries = 128
	// originCheckInterval is the time between two lookups of the origin of a stream.
	originCheckInterval = 100 * time.Millisecond
	// maxVersionsAge is the age of the registrations from which they don't show any more
	// that only one version was in service.
	maxVersionsAge = 10 * time.Second
)

// The metric's and the log's outcomes of a stream that isn't continued, in addition to the
// sources of its version.
const (
	resumeUnknown  = "unknown"
	resumeNoServer = "no-server"
)

// originLookup is what was found out about the origin of a stream.
type originLookup struct {
	resumption.Resolution
	inquiry resumption.Inquiry
	// recent holds the versions that were in service for as long as the caller may come
	// back; empty if they aren't known.
	recent []string
}

// recentVersions returns the versions of the service that were in service for as long as
// the caller may come back; none if that isn't known.
func (x *exchange) recentVersions(now time.Time) []string {
	age := x.handler.control.freshness.age(now, metrics.ViewRegistrations)
	if age == neverConfirmed || age > maxVersionsAge {
		return nil
	}
	return x.handler.control.current().recentVersions(now, x.service)
}

// isOnlySoftware reports whether the required version of the software is the only one that
// was in service for as long as the caller may come back.
func (x *exchange) isOnlySoftware(now time.Time) bool {
	if x.software == "" {
		return false
	}
	recent := x.recentVersions(now)
	return len(recent) == 1 && recent[0] == x.software
}

// resumeStream has a request that resumes a stream go on at the version of the software
// that began it. It returns false if that isn't possible and the request was refused.
func (x *exchange) resumeStream(ctx context.Context) bool {
	if x.stream == "" || x.caller.LastEventID == "" {
		return true
	}
	startedAt := time.Now()
	found := x.lookUpOrigin(ctx)
	for !x.canContinue(found) && x.canAwaitOrigin(ctx, found) {
		backoff.Sleep(ctx, originCheckInterval)
		found = x.lookUpOrigin(ctx)
	}
	switch {
	case x.callerLeft():
		return false
	case !found.IsKnown():
		x.refuseResumption(startedAt, found, resumeUnknown, "version of the stream unknown")
		return false
	case !x.canContinue(found):
		x.refuseResumption(startedAt, found, resumeNoServer, "no server of the stream's version")
		return false
	}
	x.goOnAt(found)
	x.handler.observer.metrics.Resumption(found.Source.String())
	x.logger.Info("stream resumed at the version that began it", found.attributes(x, startedAt)...)
	return true
}

// goOnAt has the request go to servers of the service and version that began its stream.
func (x *exchange) goOnAt(found originLookup) {
	x.software = found.Software
	if service := x.serviceOf(found); service != x.service {
		x.service = service
		x.machine = x.newMachine()
	}
}

// serviceOf returns the service at which the stream must go on.
func (x *exchange) serviceOf(found originLookup) string {
	if found.Service == "" {
		return x.service
	}
	return found.Service
}

// canContinue reports whether a version is known, and a server of it is registered that
// the route still allows.
func (x *exchange) canContinue(found originLookup) bool {
	if !found.IsKnown() {
		return false
	}
	sel := x.selection(time.Now())
	sel.service = x.serviceOf(found)
	sel.software = found.Software
	isAllowed := func(d fleet.Destination) bool { return d.Service == sel.service && d.Weight > 0 }
	if sel.service != x.service && !slices.ContainsFunc(x.route.Destinations, isAllowed) {
		return false
	}
	return slices.ContainsFunc(sel.view.servers[sel.service], sel.isRegisteredSoftware)
}

// canAwaitOrigin reports whether a request whose stream can't go on by what this entry
// knows may look again: if the entry has just started, or agents haven't answered.
func (x *exchange) canAwaitOrigin(ctx context.Context, found originLookup) bool {
	current := x.handler.control.current()
	versionsKnown := len(found.recent) > 0 || len(current.servers[x.service]) == 0
	isComplete := current.agentsKnown && versionsKnown && (found.IsKnown() || found.inquiry.Failures() == 0)
	if isComplete || ctx.Err() != nil || x.handler.queued.Err() != nil {
		return false
	}
	return time.Now().Before(x.arrived.Add(x.route.TargetLatency))
}

// refuseResumption refuses a request whose stream can't go on.
func (x *exchange) refuseResumption(startedAt time.Time, found originLookup, outcome, reason string) {
	x.handler.observer.metrics.Resumption(outcome)
	x.logger.Info("stream not resumed", append(found.attributes(x, startedAt), "cause", outcome)...)
	x.fail(refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: noBackendRetryAfter})
}

// attributes describes for the log how the version of a stream is known.
func (l *originLookup) attributes(x *exchange, startedAt time.Time) []any {
	return []any{
		"resumes", x.caller.Resumes, "resumed_after", x.caller.LastEventID, "service", x.service,
		"software", l.Software, "source", l.Source.String(), "place", l.Place, "age_ms", l.Age.Milliseconds(),
		"agents_asked", l.inquiry.Asked(), "agents_answered", l.inquiry.Answers(), "agents_silent", l.inquiry.Silent(),
		"recent_versions", l.recent, "agents_known", x.handler.control.current().agentsKnown, "took_ms", time.Since(startedAt).Milliseconds(),
	}
}

// lookUpOrigin looks for the origin of the stream: in this entry's own records, then at
// the agents of the model, and then at the other agents of the service if what they know may
// change the version.
func (x *exchange) lookUpOrigin(ctx context.Context) originLookup {
	found := originLookup{recent: x.recentVersions(time.Now())}
	if x.caller.Resumes == "" {
		found.Resolution = found.inquiry.Resolve(found.recent)
		return found
	}
	now := time.Now()
	if origin, ok := x.handler.origins.find(now, x.stream); ok {
		own := resumption.Answer{Origin: origin, Source: resumption.SourceEntry, Age: now.Sub(origin.RecordedAt)}
		found.Resolution = own.Resolution()
		return found
	}
	likely, others := x.originAgents()
	for _, agents := range [][]agentAddress{likely, others} {
		x.askAgents(ctx, agents, &found.inquiry)
		found.Resolution = found.inquiry.Resolve(found.recent)
		if found.inquiry.IsSettled(found.recent) {
			break
		}
	}
	return found
}

// originAgents returns the agents to ask for the origin of the stream: those whose runner
// has or may load the model, and the others. An agent outlives the registration of its
// runner.
func (x *exchange) originAgents() (likely, others []agentAddress) {
	current := x.handler.control.current()
	registered := current.agentsListing(x.service, x.caller.Model)
	for host, state := range current.agents {
		address := agentAddress{host, state.InternalAddress}
		switch {
		case !state.Connected:
		case registered[host] || state.lists(x.caller.Model):
			likely = append(likely, address)
		default:
			others = append(others, address)
		}
	}
	likely = likely[:min(len(likely), maxOriginQueries)]
	return likely, others[:min(len(others), maxOriginQueries-len(likely))]
}

// lists reports whether the agent's status names a model.
func (a *agentState) lists(model string) bool {
	if a.Status == nil {
		return false
	}
	_, ok := wire.FindModel(a.Status.Models, model)
	return ok
}

// agentsListing returns the agents of a service's servers whose registration names a model.
func (v *view) agentsListing(service, model string) map[string]bool {
	agents := make(map[string]bool)
	for _, s := range v.servers[service] {
		if s.agent != "" && slices.ContainsFunc(s.Models, func(m fleet.LoadedModel) bool { return m.Name == model }) {
			agents[s.agent] = true
		}
	}
	return agents
}

// askAgents asks agents for the origin of the stream, all at once, until their answers
// are conclusive or agentTimeout is over.
func (x *exchange) askAgents(ctx context.Context, agents []agentAddress, inquiry *resumption.Inquiry) {
	node := x.handler.node.Load()
	if node == nil || len(agents) == 0 {
		return
	}
	askCtx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	inquiry.Ask(len(agents))
	results := make(chan originResult, len(agents))
	for _, agent := range agents {
		go func() { results <- queryOrigin(askCtx, node, agent, x.stream) }()
	}
	for range agents {
		result := <-results
		if result.err != nil {
			inquiry.Failed()
			x.logSilentAgent(inquiry, result)
		} else {
			inquiry.Answered(result.answer)
		}
		if inquiry.IsConclusive() {
			return
		}
	}
}

// logSilentAgent logs the first agent that doesn't answer. The line on the resumption has
// the number of all.
func (x *exchange) logSilentAgent(inquiry *resumption.Inquiry, result originResult) {
	if inquiry.Failures() == 1 {
		x.logger.Info("agent not responding to a query for a stream's origin", "agent", result.agent, "error", result.err)
	}
}

// originResult is the result of asking one agent.
type originResult struct {
	agent string
	// answer is nil if the agent doesn't know the stream.
	answer *resumption.Answer
	err    error
}

// queryOrigin asks an agent for the origin of a stream.
func queryOrigin(ctx context.Context, node *wire.Node, agent agentAddress, stream string) originResult {
	result := originResult{agent: agent.host}
	frame, err := node.Call(ctx, agent.host, agent.internalAddress, &wire.Frame{OriginQuery: &wire.OriginQuery{StreamID: stream}})
	switch {
	case err != nil:
		result.err = err
	case frame.OriginAnswer == nil:
		result.err = errUnexpectedFrame
	case frame.OriginAnswer.Origin != nil:
		origin := frame.OriginAnswer.Origin
		result.answer = &resumption.Answer{Origin: origin.Received(time.Now()), Source: resumption.SourceAgent, Place: agent.host, Age: origin.Age()}
	}
	return result
}

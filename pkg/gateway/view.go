package gateway

import (
	"slices"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/directory"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/packing"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/resumption"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// server is a backend server with its agent, if it has one.
type server struct {
	*fleet.Backend
	// agent is the host ID of its agent; empty if there is none.
	agent           string
	internalAddress string
	// state is the last state received from the agent; nil if there is none for
	// this incarnation.
	state *agentState
	// replaced is set if the agent reports a later incarnation of the runner, so
	// that the registration is out of date.
	replaced bool
}

// incarnation identifies the current incarnation of the server.
func (s *server) incarnation() backpressure.Incarnation {
	return backpressure.Incarnation{ID: s.ID, StartedAtMillis: s.StartedAtMillis}
}

// hasFreshStatus reports whether the agent's status is still valid.
func (s *server) hasFreshStatus(now time.Time) bool { return s.state.isFresh(now) }

// statusAge is the time since the agent's last status; negative if there is none.
func (s *server) statusAge(now time.Time) time.Duration {
	if s.state == nil {
		return -1
	}
	return s.state.source.age(now)
}

// reportedLimit returns the rate limit that the agent reports.
func (s *server) reportedLimit() ratelimit.Limit {
	if s.state == nil {
		return ratelimit.Limit{}
	}
	return ratelimit.Limit{Named: s.state.Status.Limited, PerSecond: s.state.Status.LimitPerSecond}
}

// model returns the last reported status of a model; nil if the agent doesn't
// report it, as for models of which the runner's host has no copy.
func (s *server) model(name string) *wire.RunnerModel {
	if s.state == nil {
		return nil
	}
	at, ok := wire.FindModel(s.state.Status.Models, name)
	if !ok {
		return nil
	}
	return &s.state.Status.Models[at]
}

// isPermitted reports whether the server's runner may hold a model.
func (s *server) isPermitted(model string) bool {
	known := s.model(model)
	return known != nil && known.PermitRank > 0
}

// view is an immutable snapshot of the control state for the request path.
type view struct {
	// table is nil before the first configuration.
	table *fleet.Table
	// servers holds the usable servers by service.
	servers map[string][]*server
	hosts   map[string]roster.Host
	agents  map[string]*agentState
	// records returns the directory records of agents. Only relaying entries use
	// it.
	records func() map[string]*directory.AgentRecord
	// agentsKnown is that of control.
	agentsKnown bool
	// placement is nil before the first one, and at entries that get their state
	// from a relay.
	placement *packing.Placement
	// placementLost is set if the store doesn't have the placement any more.
	placementLost bool
	// history is nil before it is known.
	history *resumption.History
	leader  leaderState
	engines map[string]*wire.Engine
	asOf    int64
}

func newView(c *control) *view {
	agents := c.agents
	v := &view{
		table:       c.table,
		servers:     make(map[string][]*server),
		hosts:       c.hosts,
		agentsKnown: c.agentsKnown,
		agents:      agents,
		records:     sync.OnceValue(func() map[string]*directory.AgentRecord { return recordsOf(agents) }),
		placement:   c.placement,

		placementLost: c.placementLost,
		history:       c.history,
		leader:        c.leader,
		engines:       c.engines,
		asOf:          c.asOf,
	}
	c.agentsShared = true
	agentOf := agentsByRunner(v)
	listed := c.registry.Backends()
	for i := range listed {
		s := &server{Backend: &listed[i]}
		if agent, ok := agentOf[s.Address]; ok && v.mayHaveAgent(s.Backend) {
			s.agent = agent.host
			s.internalAddress = agent.internalAddress
			s.state = stateOf(v.agents[agent.host], s.Backend)
			s.replaced = isReplaced(v.agents[agent.host], s.Backend)
		}
		v.servers[s.Service] = append(v.servers[s.Service], s)
	}
	return v
}

// mayHaveAgent reports whether a server may be the one that an agent at its address stands
// beside: servers of services without an engine have none, but may get the address of a model
// runner that has ended.
func (v *view) mayHaveAgent(backend *fleet.Backend) bool {
	if v.table == nil {
		return true
	}
	service := v.table.Service(backend.Service)
	return service == nil || service.Engine != nil
}

func recordsOf(agents map[string]*agentState) map[string]*directory.AgentRecord {
	records := make(map[string]*directory.AgentRecord, len(agents))
	for host, state := range agents {
		records[host] = state.AgentRecord
	}
	return records
}

// agentAddress is the address of an agent.
type agentAddress struct{ host, internalAddress string }

// agentsByRunner indexes the agents by the addresses of their runners.
func agentsByRunner(v *view) map[string]agentAddress {
	agents := make(map[string]agentAddress, len(v.agents))
	for host, state := range v.agents {
		agents[state.Runner] = agentAddress{host, state.InternalAddress}
	}
	for _, host := range v.hosts {
		if host.Role == keys.RoleAgent {
			agents[host.Runner] = agentAddress{host.ID, host.InternalAddress}
		}
	}
	return agents
}

// stateOf returns the state of a server's agent, or nil if it describes another
// incarnation of the server.
func stateOf(state *agentState, backend *fleet.Backend) *agentState {
	if state == nil || state.Status == nil {
		return nil
	}
	if backend.StartedAtMillis != 0 && state.Status.StartedAtMillis != 0 && backend.StartedAtMillis != state.Status.StartedAtMillis {
		return nil
	}
	return state
}

// isReplaced reports whether an agent describes a later incarnation of a server
// than the registered one.
func isReplaced(state *agentState, backend *fleet.Backend) bool {
	return state != nil && state.Status != nil && backend.StartedAtMillis != 0 && state.Status.StartedAtMillis > backend.StartedAtMillis
}

// listed returns a server as it is registered now; nil if it isn't.
func (v *view) listed(target *server) *server {
	servers := v.servers[target.Service]
	at := slices.IndexFunc(servers, func(s *server) bool { return s.ID == target.ID })
	if at < 0 {
		return nil
	}
	return servers[at]
}

// entries counts the site's entries.
func (v *view) entries() int {
	count := 0
	for _, host := range v.hosts {
		if host.Role == keys.RoleEntry {
			count++
		}
	}
	return count
}

// placementFor returns an agent's part of the placement, or nil if its runner isn't
// registered or there is no configuration.
func (v *view) placementFor(host roster.Host) *wire.RunnerPlacement {
	if v.table == nil {
		return nil
	}
	for _, service := range v.table.Engines() {
		for _, s := range v.servers[service.Name] {
			if s.agent == host.ID {
				return v.runnerPlacement(service, s)
			}
		}
	}
	return nil
}

func (v *view) runnerPlacement(service *fleet.Service, s *server) *wire.RunnerPlacement {
	runnerPlacement := &wire.RunnerPlacement{
		AsOf:            v.asOf,
		Instance:        s.ID,
		StartedAtMillis: s.StartedAtMillis,
		Engine:          v.engines[service.Name],
	}
	if v.placement == nil {
		return runnerPlacement
	}
	runnerPlacement.Revision = v.placement.Revision
	runnerPlacement.PrefillNanosPerToken = v.placement.PrefillNanosPerToken
	for i := range v.placement.Models {
		placed := &v.placement.Models[i]
		if placed.Service != service.Name {
			continue
		}
		if permit, ok := permitOf(placed, s.agent); ok {
			runnerPlacement.Permits = append(runnerPlacement.Permits, permit)
		}
	}
	return runnerPlacement
}

// permitOf returns a host's permit for a model, if it has one.
func permitOf(placed *packing.ModelPlacement, host string) (wire.ModelPermit, bool) {
	for i, permit := range placed.Permits {
		if permit.Host == host {
			return wire.ModelPermit{
				Model:       placed.Model,
				Rank:        i + 1,
				Keep:        permit.Keep,
				Interactive: placed.Interactive,
				Copy:        permit.Copy,
				Rate:        placed.Rate,
			}, true
		}
	}
	return wire.ModelPermit{}, false
}

// wireEngine returns the engine description that agents receive.
func wireEngine(version int64, engine *fleet.Engine) *wire.Engine {
	described := &wire.Engine{
		Version:      version,
		Slots:        engine.Slots,
		MiB:          engine.MiB,
		AdapterSlots: engine.AdapterSlots,
		Models:       make([]wire.EngineModel, 0, len(engine.Models)),
	}
	for i := range engine.Models {
		model := &engine.Models[i]
		described.Models = append(described.Models, wire.EngineModel{
			Name:             model.Name,
			MiB:              model.MiB,
			AdapterMiB:       model.AdapterMiB,
			RemoteLoadMillis: uint32(model.RemoteLoad.Milliseconds()),
			DiskLoadMillis:   uint32(model.DiskLoad.Milliseconds()),
			MemoryLoadMillis: uint32(model.MemoryLoad.Milliseconds()),
		})
	}
	return described
}

package gateway

import (
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/directory"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/packing"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// server is a backend server with its agent, if it has one.
type server struct {
	*fleet.Backend
	// agent is the host of its agent; empty if there is none.
	agent string
	inner string
	// state is what the agent last said; nil before it said anything of this
	// incarnation.
	state *agentState
	// replaced tells that the agent speaks of a later start of the runner, so that the
	// registration is that of one that is gone.
	replaced bool
}

// incarnation names the present start of the server.
func (s *server) incarnation() backpressure.Incarnation {
	return backpressure.Incarnation{ID: s.ID, StartedAtMillis: s.StartedAtMillis}
}

// hears tells whether the agent's status is recent.
func (s *server) hears(now time.Time) bool { return s.state.hears(now) }

// statusAge is the time since the agent's last status; below zero if there is
// none.
func (s *server) statusAge(now time.Time) time.Duration {
	if s.state == nil {
		return -1
	}
	return s.state.from.age(now)
}

// model returns what the agent last said of a model; nil if it is neither held
// nor near.
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

// isPermitted tells whether the server's runner may hold a model.
func (s *server) isPermitted(model string) bool {
	known := s.model(model)
	return known != nil && known.PermitRank > 0
}

// view is what request traffic reads of the control state. It is immutable.
type view struct {
	// table is nil before the first configuration.
	table *fleet.Table
	// servers holds the usable servers by service.
	servers map[string][]*server
	hosts   map[string]roster.Host
	agents  map[string]*agentState
	// rows returns those of agents. Only entries that relay ask for them.
	rows func() map[string]*directory.AgentRecord
	// informed tells that all agents that there are have been heard of.
	informed bool
	// placement is nil before the first, and at entries that follow a relay.
	placement *packing.Placement
	leader    leaderKnown
	engines   map[string]*wire.Engine
	asOf      int64
}

func newView(c *control) *view {
	agents := c.agents
	v := &view{
		table:     c.table,
		servers:   make(map[string][]*server),
		hosts:     c.hosts,
		informed:  c.informed,
		agents:    agents,
		rows:      sync.OnceValue(func() map[string]*directory.AgentRecord { return rowsOf(agents) }),
		placement: c.placement,
		leader:    c.leader,
		engines:   c.engines,
		asOf:      c.asOf,
	}
	c.agentsShared = true
	agentOf := agentsByRunner(v)
	listed := c.registry.Backends()
	for i := range listed {
		s := &server{Backend: &listed[i]}
		if agent, ok := agentOf[s.Address]; ok {
			s.agent = agent.host
			s.inner = agent.inner
			s.state = stateOf(v.agents[agent.host], s.Backend)
			s.replaced = isReplaced(v.agents[agent.host], s.Backend)
		}
		v.servers[s.Service] = append(v.servers[s.Service], s)
	}
	return v
}

func rowsOf(agents map[string]*agentState) map[string]*directory.AgentRecord {
	rows := make(map[string]*directory.AgentRecord, len(agents))
	for host, state := range agents {
		rows[host] = state.AgentRecord
	}
	return rows
}

// agentAddress is where an agent is.
type agentAddress struct{ host, inner string }

// agentsByRunner lists the agents by the addresses of the runners beside them.
func agentsByRunner(v *view) map[string]agentAddress {
	agents := make(map[string]agentAddress, len(v.agents))
	for host, state := range v.agents {
		agents[state.Runner] = agentAddress{host, state.Inner}
	}
	for _, host := range v.hosts {
		if host.Role == keys.RoleAgent {
			agents[host.Runner] = agentAddress{host.ID, host.InternalAddress}
		}
	}
	return agents
}

// stateOf returns what an agent said of a server, or nil if it speaks of another
// incarnation.
func stateOf(state *agentState, backend *fleet.Backend) *agentState {
	if state == nil || state.Status == nil {
		return nil
	}
	if backend.StartedAtMillis != 0 && state.Status.StartedAtMillis != 0 && backend.StartedAtMillis != state.Status.StartedAtMillis {
		return nil
	}
	return state
}

// isReplaced tells whether an agent speaks of a later incarnation of a server than the
// one that is registered.
func isReplaced(state *agentState, backend *fleet.Backend) bool {
	return state != nil && state.Status != nil && backend.StartedAtMillis != 0 && state.Status.StartedAtMillis > backend.StartedAtMillis
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

// planFor returns what an agent needs of the placement, or nil if its runner
// isn't registered or there is no configuration.
func (v *view) planFor(host roster.Host) *wire.RunnerPlacement {
	if v.table == nil {
		return nil
	}
	for _, service := range v.table.Engines() {
		for _, s := range v.servers[service.Name] {
			if s.agent == host.ID {
				return v.plan(service, s)
			}
		}
	}
	return nil
}

func (v *view) plan(service *fleet.Service, s *server) *wire.RunnerPlacement {
	plan := &wire.RunnerPlacement{
		AsOf:            v.asOf,
		Instance:        s.ID,
		StartedAtMillis: s.StartedAtMillis,
		Engine:          v.engines[service.Name],
	}
	if v.placement == nil {
		return plan
	}
	plan.Revision = v.placement.Revision
	plan.PrefillNanosPerToken = v.placement.TokenNanos
	for i := range v.placement.Models {
		placed := &v.placement.Models[i]
		if placed.Service != service.Name {
			continue
		}
		if permit, ok := permitOf(placed, s.agent); ok {
			plan.Permits = append(plan.Permits, permit)
		}
	}
	return plan
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

// engineOf is what agents are told of a service's engine.
func engineOf(version int64, engine *fleet.Engine) *wire.Engine {
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

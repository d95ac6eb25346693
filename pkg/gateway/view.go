package gateway

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/packing"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// statusTTL is how long an agent's status counts after it was heard.
const statusTTL = 1800 * time.Millisecond

// server is a backend server with its agent, if it has one.
type server struct {
	*fleet.Backend
	// agent is the host of its agent; empty if there is none.
	agent string
	inner string
	// state is what the agent last said; nil before it said anything of this
	// incarnation.
	state *agentState
}

// incarnation names the present start of the server.
func (s *server) incarnation() backpressure.Incarnation {
	return backpressure.Incarnation{ID: s.ID, BornMillis: s.BornMillis}
}

// hears tells whether the agent's status is recent.
func (s *server) hears(now time.Time) bool {
	return s.state != nil && s.state.connected && now.Sub(s.state.heard) < statusTTL
}

// statusAge is the time since the agent's last status; below zero if there is
// none.
func (s *server) statusAge(now time.Time) time.Duration {
	if s.state == nil {
		return -1
	}
	return now.Sub(s.state.heard)
}

// model returns what the agent last said of a model; nil if it is neither held
// nor near.
func (s *server) model(name string) *wire.RunnerModel {
	if s.state == nil {
		return nil
	}
	for i := range s.state.status.Models {
		if s.state.status.Models[i].Name == name {
			return &s.state.status.Models[i]
		}
	}
	return nil
}

// modelKey names a model of a service.
type modelKey struct{ service, model string }

// view is what request traffic reads of the control state. It is immutable.
type view struct {
	// table is nil before the first configuration.
	table *fleet.Table
	// servers holds the usable servers by service.
	servers map[string][]*server
	hosts   map[string]roster.Host
	agents  map[string]*agentState
	// placement is nil before the first.
	placement *packing.Placement
	permits   map[modelKey][]packing.Permit
	leader    leaderKnown
	asOf      int64
}

func newView(c *control) *view {
	v := &view{
		table:     c.table,
		servers:   make(map[string][]*server),
		hosts:     c.hosts,
		agents:    c.agents,
		placement: c.placement,
		permits:   c.permits,
		leader:    c.leader,
		asOf:      c.asOf,
	}
	agentOf := make(map[string]roster.Host)
	for _, host := range v.hosts {
		if host.Role == keys.RoleAgent {
			agentOf[host.Runner] = host
		}
	}
	listed := c.registry.Backends()
	for i := range listed {
		s := &server{Backend: &listed[i]}
		if host, ok := agentOf[s.Address]; ok {
			s.agent = host.ID
			s.inner = host.Inner
			s.state = stateOf(v.agents[host.ID], s.Backend)
		}
		v.servers[s.Service] = append(v.servers[s.Service], s)
	}
	return v
}

func permitsOf(placement *packing.Placement) map[modelKey][]packing.Permit {
	permits := make(map[modelKey][]packing.Permit, len(placement.Models))
	for _, placed := range placement.Models {
		permits[modelKey{placed.Service, placed.Model}] = placed.Permits
	}
	return permits
}

// stateOf returns what an agent said of a server, or nil if it speaks of another
// incarnation.
func stateOf(state *agentState, backend *fleet.Backend) *agentState {
	if state == nil || state.status == nil {
		return nil
	}
	if backend.BornMillis != 0 && state.status.BornMillis != 0 && backend.BornMillis != state.status.BornMillis {
		return nil
	}
	return state
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
func (v *view) planFor(host roster.Host) *wire.RunnerPlan {
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

func (v *view) plan(service *fleet.Service, s *server) *wire.RunnerPlan {
	engine := service.Engine
	plan := &wire.RunnerPlan{
		AsOf:         v.asOf,
		Instance:     s.ID,
		BornMillis:   s.BornMillis,
		Slots:        engine.Slots,
		MiB:          engine.MiB,
		AdapterSlots: engine.AdapterSlots,
	}
	if v.placement != nil {
		plan.Revision = v.placement.Revision
	}
	placed := v.placed(service.Name)
	for i := range engine.Models {
		plan.Models = append(plan.Models, planned(&engine.Models[i], placed[engine.Models[i].Name], s.agent))
	}
	return plan
}

func (v *view) placed(service string) map[string]*packing.Placed {
	placed := make(map[string]*packing.Placed)
	if v.placement == nil {
		return placed
	}
	for i := range v.placement.Models {
		if v.placement.Models[i].Service == service {
			placed[v.placement.Models[i].Model] = &v.placement.Models[i]
		}
	}
	return placed
}

func planned(model *fleet.Model, placed *packing.Placed, host string) wire.PlannedModel {
	p := wire.PlannedModel{
		Name:             model.Name,
		MiB:              model.MiB,
		AdapterMiB:       model.AdapterMiB,
		RemoteLoadMillis: uint32(model.RemoteLoad.Milliseconds()),
		DiskLoadMillis:   uint32(model.DiskLoad.Milliseconds()),
		MemoryLoadMillis: uint32(model.MemoryLoad.Milliseconds()),
	}
	if placed == nil {
		return p
	}
	p.Interactive = placed.Interactive
	for _, permit := range placed.Permits {
		if permit.Host == host {
			p.Permitted = true
			p.Keep = permit.Keep
			p.Copy = permit.Copy
		}
	}
	return p
}

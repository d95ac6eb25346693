package gateway

import (
	"cmp"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/quarantine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// DumpName is the name of the gateway's part of the state dump.
const DumpName = "gateway"

// Dump is the gateway's part of the state dump: its current control state.
type Dump struct {
	Configuration int64  `json:"configuration"`
	Leader        string `json:"leader"`
	Leading       bool   `json:"leading"`
	// Freshness holds the version and age of each part of the control state.
	Freshness map[metrics.View]FreshnessDump `json:"beliefs"`
	InFlight  int64                          `json:"requests_in_flight"`
	Entries   int                            `json:"entries"`
	Servers   []ServerDump                   `json:"servers"`
	Models    []ModelDump                    `json:"models"`
	// Organisations is empty on a site whose callers have no keys.
	Organisations []OrganisationDump `json:"organisations,omitempty"`
	// Blocked are the signatures of the requests that are refused since requests like
	// them crash servers.
	Blocked []quarantine.Signature `json:"blocked_signatures,omitempty"`
	// Origins is the number of streams whose origin is kept for callers that resume them.
	Origins int `json:"stream_origins"`
}

// FreshnessDump is the version of a part of the control state and its age.
type FreshnessDump struct {
	Version   int64 `json:"version"`
	AgeMillis int64 `json:"age_ms"`
}

// OrganisationDump describes an organisation without its keys.
type OrganisationDump struct {
	Name string `json:"name"`
	// Keys is the number of its keys.
	Keys int `json:"keys"`
	// Priority is nil if the routes' priorities apply.
	Priority *int `json:"priority,omitempty"`
	// Quota is nil if the organisation is not limited.
	Quota *QuotaDump `json:"quota,omitempty"`
}

// ServerDump is the state of one backend server.
type ServerDump struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Software is the version of the server's software.
	Software string `json:"software,omitempty"`
	State    string `json:"state"`
	// Agent is empty for servers without one. StatusAgeMillis is negative if no
	// status was received.
	Agent           string `json:"agent,omitempty"`
	StatusAgeMillis int64  `json:"status_age_ms,omitempty"`
	Running         int    `json:"running"`
	Waiting         int    `json:"waiting"`
	Slots           int    `json:"slots"`
	Avoided         bool   `json:"avoided"`
	Unresponsive    bool   `json:"silent"`
	// LimitPerSecond is the rate limit that the server names; nil if it names none.
	LimitPerSecond *float64 `json:"limit_per_s,omitempty"`
}

// ModelDump counts a model's replicas and the requests for it.
type ModelDump struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	// Permitted counts the runners that may hold the model, Kept those that must;
	// the latter is unknown to an entry that gets its state from a relay.
	Permitted   int     `json:"permitted"`
	Kept        int     `json:"kept"`
	Loaded      int     `json:"loaded"`
	Loading     int     `json:"loading"`
	InMemory    int     `json:"in_memory"`
	OnDisk      int     `json:"on_disk"`
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	Interactive float64 `json:"interactive_per_s"`
	Batch       float64 `json:"patient_per_s"`
}

// dump describes the gateway. Any goroutine may call it.
func (g *Gateway) dump() any {
	now := time.Now()
	current := g.control.current()
	d := Dump{
		Leader:    current.leader.host,
		Leading:   current.leader.host == g.config.Host.ID,
		Freshness: g.control.freshness.dump(now),
		InFlight:  g.handler.inFlight.Load(),
		Entries:   current.entries(),
		Blocked:   g.handler.quarantine.blocks(now),
		Origins:   g.handler.origins.count(),
	}
	if current.table == nil {
		return d
	}
	d.Configuration = current.table.Configuration().Version
	d.Organisations = dumpOrganisations(current.table.Configuration().Organisations)
	for i := range d.Organisations {
		d.Organisations[i].Quota = g.handler.quotas.dump(now, &current.table.Configuration().Organisations[i])
	}
	for _, servers := range current.servers {
		for _, s := range servers {
			dumped := dumpServer(now, s, g.handler.tracker)
			if limit, _ := g.handler.limits.Known(s.incarnation()); limit.Named {
				dumped.LimitPerSecond = &limit.PerSecond
			}
			d.Servers = append(d.Servers, dumped)
		}
	}
	slices.SortFunc(d.Servers, func(a, b ServerDump) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	for _, service := range current.table.Engines() {
		for i := range service.Engine.Models {
			d.Models = append(d.Models, dumpModel(current, service, service.Engine.Models[i].Name))
		}
	}
	return d
}

func dumpOrganisations(organisations []fleet.Organisation) []OrganisationDump {
	dumped := make([]OrganisationDump, 0, len(organisations))
	for i := range organisations {
		organisation := &organisations[i]
		dumped = append(dumped, OrganisationDump{Name: organisation.Name, Keys: len(organisation.KeyHashes), Priority: organisation.Priority})
	}
	return dumped
}

func (f *freshness) dump(now time.Time) map[metrics.View]FreshnessDump {
	f.mu.Lock()
	defer f.mu.Unlock()
	dumped := make(map[metrics.View]FreshnessDump, len(f.confirmed))
	for part, known := range f.confirmed {
		dumped[part] = FreshnessDump{Version: known.version, AgeMillis: now.Sub(known.at).Milliseconds()}
	}
	return dumped
}

func dumpServer(now time.Time, s *server, tracker *backends.Tracker) ServerDump {
	health := tracker.Health(now, s.ID)
	d := ServerDump{
		ID: s.ID, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain, Software: s.Software, State: s.State.String(),
		Agent: s.agent, Running: health.InFlight, Slots: s.Slots, Avoided: health.Avoid, Unresponsive: health.Unresponsive,
	}
	if s.agent != "" {
		d.StatusAgeMillis = s.statusAge(now).Milliseconds()
	}
	if s.state != nil {
		d.Running = s.state.Status.Running
		d.Waiting = s.state.Status.Waiting
	}
	return d
}

func dumpModel(current *view, service *fleet.Service, name string) ModelDump {
	d := ModelDump{Service: service.Name, Model: name}
	if current.placement != nil {
		d.Kept = current.placement.Kept(service.Name, name)
	}
	for _, s := range current.servers[service.Name] {
		if known := s.model(name); known != nil {
			d.addReplica(known)
		}
	}
	return d
}

func (d *ModelDump) addReplica(known *wire.RunnerModel) {
	if known.PermitRank > 0 {
		d.Permitted++
	}
	d.Running += known.Running
	d.Waiting += known.Waiting
	d.Interactive += known.Interactive
	d.Batch += known.Batch
	switch {
	case known.State == wire.ModelLoaded:
		d.Loaded++
	case known.State == wire.ModelLoading:
		d.Loading++
	case known.Tier == wire.CacheMemory:
		d.InMemory++
	case known.Tier == wire.CacheDisk:
		d.OnDisk++
	}
}

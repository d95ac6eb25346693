package gateway

import (
	"cmp"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// DumpName is the name of the gateway's part of the state dump.
const DumpName = "gateway"

// Dump is the gateway's part of the state dump: what it believes.
type Dump struct {
	Configuration int64  `json:"configuration"`
	Leader        string `json:"leader"`
	Leading       bool   `json:"leading"`
	// Beliefs tells of each belief its version and how old it is.
	Beliefs  map[metrics.View]BeliefDump `json:"beliefs"`
	InFlight int64                       `json:"requests_in_flight"`
	Entries  int                         `json:"entries"`
	Servers  []ServerDump                `json:"servers"`
	Models   []ModelDump                 `json:"models"`
}

// BeliefDump is the version of a belief and the time since it was confirmed.
type BeliefDump struct {
	Version   int64 `json:"version"`
	AgeMillis int64 `json:"age_ms"`
}

// ServerDump is what is known of one backend server.
type ServerDump struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	// Agent is empty for servers without one. StatusAgeMillis is below zero if it
	// was never heard.
	Agent           string `json:"agent,omitempty"`
	StatusAgeMillis int64  `json:"status_age_ms,omitempty"`
	Running         int    `json:"running"`
	Waiting         int    `json:"waiting"`
	Slots           int    `json:"slots"`
	Avoided         bool   `json:"avoided"`
	Silent          bool   `json:"silent"`
}

// ModelDump counts a model's copies, and the requests for it.
type ModelDump struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	// Permitted counts the runners that may hold it, Kept those that are to; an entry
	// that follows a relay doesn't know the latter.
	Permitted   int     `json:"permitted"`
	Kept        int     `json:"kept"`
	Loaded      int     `json:"loaded"`
	Loading     int     `json:"loading"`
	InMemory    int     `json:"in_memory"`
	OnDisk      int     `json:"on_disk"`
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	Interactive float64 `json:"interactive_per_s"`
	Patient     float64 `json:"patient_per_s"`
}

// dump describes the gateway. Any goroutine may call it.
func (g *Gateway) dump() any {
	now := time.Now()
	current := g.control.current()
	d := Dump{
		Leader:   current.leader.host,
		Leading:  current.leader.host == g.config.Host.ID,
		Beliefs:  g.control.beliefs.dump(now),
		InFlight: g.handler.inFlight.Load(),
		Entries:  current.entries(),
	}
	if current.table == nil {
		return d
	}
	d.Configuration = current.table.Configuration().Version
	for _, servers := range current.servers {
		for _, s := range servers {
			d.Servers = append(d.Servers, dumpServer(now, s, g.handler.tracker))
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

func (b *beliefs) dump(now time.Time) map[metrics.View]BeliefDump {
	b.mu.Lock()
	defer b.mu.Unlock()
	dumped := make(map[metrics.View]BeliefDump, len(b.confirmed))
	for belief, known := range b.confirmed {
		dumped[belief] = BeliefDump{Version: known.version, AgeMillis: now.Sub(known.at).Milliseconds()}
	}
	return dumped
}

func dumpServer(now time.Time, s *server, tracker *backends.Tracker) ServerDump {
	health := tracker.Health(now, s.ID)
	d := ServerDump{
		ID: s.ID, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain, State: s.State.String(),
		Agent: s.agent, Running: health.InFlight, Slots: s.Slots, Avoided: health.Avoid, Silent: health.Unresponsive,
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
			d.addCopy(known)
		}
	}
	return d
}

func (d *ModelDump) addCopy(known *wire.RunnerModel) {
	if known.PermitRank > 0 {
		d.Permitted++
	}
	d.Running += known.Running
	d.Waiting += known.Waiting
	d.Interactive += known.Interactive
	d.Patient += known.Batch
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

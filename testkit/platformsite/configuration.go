package platformsite

import (
	"cmp"
	"encoding/json"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// The names used by the configuration of DefaultOptions.
const (
	Host          = "desk.example"
	EngineService = "engine"
	PlainService  = "desk"
	// AdvicePath is a stream that must run at most once, BatchPath a resumable one.
	AdvicePath = backendserver.StreamPath + "advice/"
	BatchPath  = backendserver.StreamPath + "batch/"
	// BookingPath must run at most once, StockPath is idempotent.
	BookingPath = "/booking/"
	StockPath   = "/stock/"
)

// Route is a route in the operator's format.
type Route struct {
	Name         string  `json:"name"`
	Host         string  `json:"host"`
	PathPrefix   string  `json:"pathPrefix"`
	RouteType    string  `json:"routeType"`
	TimeoutMs    float64 `json:"timeoutMs"`
	TargetMs     float64 `json:"targetLatencyMs"`
	MaxAttempts  int     `json:"maxAttempts"`
	Priority     int     `json:"priority"`
	Resumable    bool    `json:"resumable,omitempty"`
	Public       bool    `json:"public,omitempty"`
	GapAimMs     float64 `json:"gapAimMs,omitempty"`
	Service      string  `json:"service,omitempty"`
	TrafficSplit []Split `json:"trafficSplit,omitempty"`
}

// Split is a destination's share of a route.
type Split struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Configuration is a configuration in the operator's format.
type Configuration struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants,omitempty"`
}

// Tenant is an organisation in the operator's format.
type Tenant struct {
	Name        string   `json:"name"`
	APIKeys     []string `json:"apiKeys"`
	Priority    *int     `json:"priority,omitempty"`
	Unit        string   `json:"unit,omitempty"`
	PlainTokens float64  `json:"plainTokens,omitempty"`
	RatePerS    float64  `json:"ratePerS,omitempty"`
	Burst       float64  `json:"burst,omitempty"`
}

// Service is a service in the operator's format.
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`
	MaxConnections int     `json:"maxConnections"`
	Engine         *Engine `json:"engine,omitempty"`
}

// Engine describes model runners in the operator's format.
type Engine struct {
	Slots        int     `json:"slots"`
	MB           float64 `json:"weightsMb"`
	AdapterSlots int     `json:"adapterSlots"`
	LoadsPerS    float64 `json:"loadsPerS"`
	Models       []Model `json:"models"`
}

// Model is a model in the operator's format.
type Model struct {
	Name      string  `json:"name"`
	MB        float64 `json:"weightsMb"`
	Adapters  int     `json:"adapters"`
	AdapterMB float64 `json:"adapterMb"`
	LoadS     float64 `json:"loadS"`
	DiskS     float64 `json:"diskS"`
	WarmS     float64 `json:"warmS"`
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`
	MaxBodyBytes    int     `json:"maxBodyBytes"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`
}

func (o *Options) configuration(version int64) Configuration {
	engine := &Engine{Slots: o.Slots, MB: o.RunnerMB, AdapterSlots: o.AdapterSlots, LoadsPerS: o.LoadsPerSecond}
	for _, model := range o.Models {
		engine.Models = append(engine.Models, Model{
			Name: model.Name, MB: model.MB, Adapters: 2, AdapterMB: model.AdapterMB,
			LoadS: model.FromStore.Seconds(), DiskS: model.FromDisk.Seconds(), WarmS: model.FromMemory.Seconds(),
		})
	}
	return Configuration{
		Version: version,
		Routes: []Route{
			{
				Name: "advice", PathPrefix: AdvicePath, RouteType: "streaming", TimeoutMs: 12000, TargetMs: 300,
				MaxAttempts: 1, Priority: 1, GapAimMs: 200, Service: EngineService,
			},
			{
				Name: "batch", PathPrefix: BatchPath, RouteType: "streaming", TimeoutMs: 25000, TargetMs: 3000,
				MaxAttempts: 2, Priority: 1, GapAimMs: 200, Resumable: true, Service: EngineService,
			},
			{
				Name: "booking", PathPrefix: BookingPath, RouteType: "non_idempotent", TimeoutMs: 1000, TargetMs: 120,
				MaxAttempts: 1, Priority: 2, Service: PlainService,
			},
			{
				Name: "stock", PathPrefix: StockPath, RouteType: "idempotent", TimeoutMs: 1000, TargetMs: 120,
				MaxAttempts: 3, Priority: 2, Service: PlainService,
			},
		},
		Services: []Service{
			{Name: EngineService, HealthPath: "/health", MaxConnections: 250, Engine: engine},
			{Name: PlainService, HealthPath: "/health", MaxConnections: 100},
		},
		Limits: Limits{MaxHeaderBytes: 16384, MaxBodyBytes: cmp.Or(o.MaxBodyBytes, 1<<20), HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}

// Configure writes the site's configuration, modified by change, with the next version.
func (s *Site) Configure(change func(*Configuration)) {
	s.version++
	written := s.options.configuration(s.version)
	if change != nil {
		change(&written)
	}
	for i := range written.Routes {
		if written.Routes[i].Host == "" {
			written.Routes[i].Host = Host
		}
	}
	value, err := json.Marshal(written)
	if err != nil {
		panic(err)
	}
	s.Store.Put("op/config", value)
}

// DefaultOptions returns the options of a small site: 2 entries, 3 model runners and
// 2 plain servers, with models of which two fit into a runner.
func DefaultOptions() Options {
	o := Options{
		Entries: 2, Runners: 3, Plain: 2,
		Zones:    []string{"zone-1", "zone-2", "zone-3"},
		RunnerMB: 100_000, AdapterSlots: 2, Slots: 8, LoadsPerSecond: 10,
		Work: 5 * time.Millisecond, Events: 10,
		LogLevel: "debug",
	}
	for _, name := range []string{"m1", "m2", "m3", "m4"} {
		o.Models = append(o.Models, backendserver.Model{
			Name: name, MB: 40_000, AdapterMB: 100,
			FromStore: 300 * time.Millisecond, FromDisk: 60 * time.Millisecond, FromMemory: 20 * time.Millisecond,
		})
	}
	return o
}

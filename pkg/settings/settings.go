// Package settings holds the typed settings of both processes. They are read
// from one JSON file, filled with defaults and checked before a process listens.
package settings

// Host says who a process is. The platform's list of hosts uses the same ID.
type Host struct {
	ID            string `json:"id" validate:"required,identifier"`
	Region        string `json:"region" validate:"required,identifier"`
	FailureDomain string `json:"failure_domain" validate:"required,identifier"`
}

// InternalTLS names the files of the mutual TLS between our processes.
type InternalTLS struct {
	CAFile   string `json:"ca_file" validate:"required,file"`
	CertFile string `json:"cert_file" validate:"required,file"`
	KeyFile  string `json:"key_file" validate:"required,file"`
}

// CallersTLS names the files of the TLS towards callers and administrators.
type CallersTLS struct {
	CertFile string `json:"cert_file" validate:"required,file"`
	KeyFile  string `json:"key_file" validate:"required,file"`
}

// KeyValue says where the platform's key-value service is.
type KeyValue struct {
	// Endpoints are base URLs of the etcd v3 JSON gateway.
	Endpoints []string `json:"endpoints" validate:"required,min=1,dive,http_url"`
	// Prefix starts all keys of the site.
	Prefix string `json:"prefix" validate:"required,startswith=/"`
	// TimeoutMillis bounds one call in milliseconds. Default 2000.
	TimeoutMillis int `json:"timeout_ms,omitempty" validate:"min=0,max=60000"`
}

// HostList says where the platform's list of hosts is.
type HostList struct {
	URL string `json:"url" validate:"required,http_url"`
	// PollMillis is the time between two reads in milliseconds. Default 1000.
	PollMillis int `json:"poll_ms,omitempty" validate:"min=0,max=60000"`
}

// WeightStore states the limits of the platform's weight store, for all runners
// of the site together.
type WeightStore struct {
	// LoadsPerSecond is the rate of load starts. Default 4.
	LoadsPerSecond float64 `json:"loads_per_second,omitempty" validate:"min=0,max=1000000"`
	// LoadsAtOnce is the number of loads that run at full speed. Default 4.
	LoadsAtOnce int `json:"loads_at_once,omitempty" validate:"min=0,max=1000000"`
}

// Log says what is logged.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `json:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// AdminRole is what an administrator's credential allows.
type AdminRole string

// The administrators' roles.
const (
	AdminReader AdminRole = "reader"
	AdminEditor AdminRole = "editor"
)

// AdminCredential is one administrator's token, stored as its SHA-256 digest.
type AdminCredential struct {
	Name      string    `json:"name" validate:"required,identifier"`
	TokenHash string    `json:"token_hash" validate:"required,len=64,hexadecimal"`
	Role      AdminRole `json:"role" validate:"oneof=reader editor"`
}

// EntryListen holds an entry's addresses, each an IP and a port.
type EntryListen struct {
	Callers string `json:"callers" validate:"required,ip_port"`
	Admin   string `json:"admin" validate:"required,ip_port"`
	// Internal is the UDP address of the inner protocol.
	Internal string `json:"inner" validate:"required,ip_port"`
}

// EntryLimits bounds what an entry takes from outside.
type EntryLimits struct {
	// MaxBodyBytes bounds a request's body. Default 4 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty" validate:"min=0,max=67108864"`
	// MaxRequests bounds the requests in flight. Default 8192.
	MaxRequests int `json:"max_requests,omitempty" validate:"min=0,max=1000000"`
	// MaxConnections bounds the open connections at each of the addresses for
	// callers and administrators. Default 16384.
	MaxConnections int `json:"max_connections,omitempty" validate:"min=0,max=1000000"`
	// DefaultDeadlineMillis is the deadline of a request that names none, in
	// milliseconds. Default 60000.
	DefaultDeadlineMillis int `json:"default_deadline_ms,omitempty" validate:"min=0,max=3600000"`
	// MaxDeadlineMillis bounds a named deadline, in milliseconds. Default
	// 3600000.
	MaxDeadlineMillis int `json:"max_deadline_ms,omitempty" validate:"min=0,max=86400000"`
	// DrainMillis is how long a stopping process waits for requests in flight,
	// in milliseconds. Default 600000.
	DrainMillis int `json:"drain_ms,omitempty" validate:"min=0,max=86400000"`
}

// Entry holds the settings of teaselgauge-entry.
type Entry struct {
	Host        Host              `json:"host"`
	Listen      EntryListen       `json:"listen"`
	TLS         InternalTLS       `json:"tls"`
	CallersTLS  *CallersTLS       `json:"callers_tls,omitempty"`
	KeyValue    KeyValue          `json:"key_value"`
	HostList    HostList          `json:"host_list"`
	Admin       []AdminCredential `json:"admin,omitempty" validate:"dive"`
	Limits      EntryLimits       `json:"limits"`
	WeightStore WeightStore       `json:"weight_store"`
	Log         Log               `json:"log"`
}

// BackendKind tells what stands behind an agent.
type BackendKind string

// The kinds of backend servers.
const (
	BackendEngine  BackendKind = "engine"
	BackendService BackendKind = "service"
)

// Backend describes the backend server beside the agent.
type Backend struct {
	Kind BackendKind `json:"kind" validate:"oneof=engine service"`
	URL  string      `json:"url" validate:"required,http_url"`
	// Services names the plain services that the backend server offers.
	Services []string `json:"services,omitempty" validate:"dive,identifier"`
	// ChecksFences tells that the engine refuses orders with an old fencing
	// number. Default false.
	ChecksFences bool `json:"checks_fences,omitempty"`
	// Slots is how many requests run at once. Default 8 for a service; an
	// engine reports its own.
	Slots int `json:"slots,omitempty" validate:"min=0,max=100000"`
}

// AgentListen holds an agent's addresses, each an IP and a port.
type AgentListen struct {
	// Internal is the UDP address of the inner protocol.
	Internal string `json:"inner" validate:"required,ip_port"`
	// Admin is the loopback address of health, metrics and the state dump.
	Admin string `json:"admin" validate:"required,ip_port"`
	// InstanceLock is a loopback TCP address that the agent holds for its whole life,
	// so that no second agent serves the same backend server.
	InstanceLock string `json:"guard" validate:"required,ip_port"`
}

// AgentLimits bounds what an agent takes.
type AgentLimits struct {
	// MaxQueued bounds the waiting requests of all plans. Default 1024.
	MaxQueued int `json:"max_queued,omitempty" validate:"min=0,max=1000000"`
	// DrainMillis is how long a stopping process waits for requests in flight,
	// in milliseconds. Default 600000.
	DrainMillis int `json:"drain_ms,omitempty" validate:"min=0,max=86400000"`
}

// Agent holds the settings of teaselgauge-agent.
type Agent struct {
	Host        Host        `json:"host"`
	Listen      AgentListen `json:"listen"`
	TLS         InternalTLS `json:"tls"`
	KeyValue    KeyValue    `json:"key_value"`
	HostList    HostList    `json:"host_list"`
	Backend     Backend     `json:"backend"`
	Limits      AgentLimits `json:"limits"`
	WeightStore WeightStore `json:"weight_store"`
	Log         Log         `json:"log"`
}

// Package settings defines the settings of all processes. They are read from one JSON
// file, completed with defaults and validated before a process starts to listen.
package settings

// Host identifies a host. The platform's host list uses the same ID.
type Host struct {
	ID            string `json:"id" validate:"required,identifier"`
	Region        string `json:"region" validate:"required,identifier"`
	FailureDomain string `json:"failure_domain" validate:"required,identifier"`
}

// InternalTLS holds the files for mutual TLS between teaselgauge's processes.
type InternalTLS struct {
	CAFile   string `json:"ca_file" validate:"required,file"`
	CertFile string `json:"cert_file" validate:"required,file"`
	KeyFile  string `json:"key_file" validate:"required,file"`
}

// CallersTLS holds the files for TLS with callers and administrators.
type CallersTLS struct {
	CertFile string `json:"cert_file" validate:"required,file"`
	KeyFile  string `json:"key_file" validate:"required,file"`
}

// KeyValue configures the access to the platform's key-value service.
type KeyValue struct {
	// Endpoints are base URLs of the etcd v3 JSON gateway.
	Endpoints []string `json:"endpoints" validate:"required,min=1,dive,http_url"`
	// Prefix precedes all keys of the site.
	Prefix string `json:"prefix" validate:"required,startswith=/"`
	// TimeoutMillis is the timeout of one call in milliseconds. Default 2000.
	TimeoutMillis int `json:"timeout_ms,omitempty" validate:"min=0,max=60000"`
}

// HostList configures the access to the platform's host list.
type HostList struct {
	URL string `json:"url" validate:"required,http_url"`
	// PollMillis is the polling interval in milliseconds. Default 1000.
	PollMillis int `json:"poll_ms,omitempty" validate:"min=0,max=60000"`
}

// WeightStore holds the limits of the platform's weight store. They apply to all
// runners of the site together.
type WeightStore struct {
	// LoadsPerSecond limits the rate at which loads start. Default 4.
	LoadsPerSecond float64 `json:"loads_per_second,omitempty" validate:"min=0,max=1000000"`
	// MaxConcurrentLoads is the number of concurrent loads that run at full speed.
	// Default 4.
	MaxConcurrentLoads int `json:"loads_at_once,omitempty" validate:"min=0,max=1000000"`
}

// Log configures the logger.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `json:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// AdminRole is the set of operations that an administrator's credential permits.
type AdminRole string

// Roles of administrators.
const (
	AdminReader AdminRole = "reader"
	AdminEditor AdminRole = "editor"
)

// AdminCredential is an administrator's token, stored as its SHA-256 digest.
type AdminCredential struct {
	Name      string    `json:"name" validate:"required,identifier"`
	TokenHash string    `json:"token_hash" validate:"required,len=64,hexadecimal"`
	Role      AdminRole `json:"role" validate:"oneof=reader editor"`
}

// EntryListen holds an entry's listen addresses, each an IP address and a port.
type EntryListen struct {
	Callers string `json:"callers" validate:"required,ip_port"`
	Admin   string `json:"admin" validate:"required,ip_port"`
	// Internal is the UDP address of the internal protocol.
	Internal string `json:"inner" validate:"required,ip_port"`
}

// EntryLimits limits the requests and connections that an entry accepts.
type EntryLimits struct {
	// MaxBodyBytes limits a request's body. Default 4 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty" validate:"min=0,max=67108864"`
	// MaxRequests limits the requests in flight. Default 8192.
	MaxRequests int `json:"max_requests,omitempty" validate:"min=0,max=1000000"`
	// MaxConnections limits the open connections of each listener for callers and
	// administrators. Default 16384.
	MaxConnections int `json:"max_connections,omitempty" validate:"min=0,max=1000000"`
	// DefaultDeadlineMillis is the deadline of a request without one, in
	// milliseconds. Default 60000.
	DefaultDeadlineMillis int `json:"default_deadline_ms,omitempty" validate:"min=0,max=3600000"`
	// MaxDeadlineMillis limits the deadline of a request, in milliseconds. Default
	// 3600000.
	MaxDeadlineMillis int `json:"max_deadline_ms,omitempty" validate:"min=0,max=86400000"`
	// DrainMillis is how long a process that shuts down waits for requests in flight,
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

// BackendKind is the kind of a backend server.
type BackendKind string

// Kinds of backend servers.
const (
	BackendEngine  BackendKind = "engine"
	BackendService BackendKind = "service"
)

// Backend describes the agent's backend server.
type Backend struct {
	Kind BackendKind `json:"kind" validate:"oneof=engine service"`
	URL  string      `json:"url" validate:"required,http_url"`
	// Services names the services without models that the backend server offers.
	Services []string `json:"services,omitempty" validate:"dive,identifier"`
	// ChecksFences indicates that the engine rejects orders with an outdated fencing
	// token. Default false.
	ChecksFences bool `json:"checks_fences,omitempty"`
	// Slots is the number of concurrent requests. Default 8 for a service; an engine
	// reports its own value.
	Slots int `json:"slots,omitempty" validate:"min=0,max=100000"`
}

// AgentListen holds an agent's listen addresses, each an IP address and a port.
type AgentListen struct {
	// Internal is the UDP address of the internal protocol.
	Internal string `json:"inner" validate:"required,ip_port"`
	// Admin is the loopback address for health checks, metrics and the state dump.
	Admin string `json:"admin" validate:"required,ip_port"`
	// InstanceLock is a loopback TCP address that the agent binds for its whole
	// lifetime, so that no second agent serves the same backend server.
	InstanceLock string `json:"guard" validate:"required,ip_port"`
}

// AgentLimits limits the requests that an agent accepts.
type AgentLimits struct {
	// MaxQueued limits the queued requests of all plans. Default 1024.
	MaxQueued int `json:"max_queued,omitempty" validate:"min=0,max=1000000"`
	// DrainMillis is how long a process that shuts down waits for requests in flight,
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

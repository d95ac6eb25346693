package settings

// GatewayListen holds a gateway's listen addresses, each an IP address and a port.
type GatewayListen struct {
	Callers string `json:"callers" validate:"required,ip_port"`
	// Readiness is the address of the readiness check for the platform's load
	// balancer.
	Readiness string `json:"readiness" validate:"required,ip_port"`
	// Internal is the UDP address of the internal protocol.
	Internal string `json:"inner" validate:"required,ip_port"`
	// Metrics is the address for metrics and the state dump.
	Metrics string `json:"metrics" validate:"required,ip_port"`
}

// MetadataStore configures the access to the platform's metadata store.
type MetadataStore struct {
	Address string `json:"address" validate:"required,ip_port"`
}

// Retries limits the retries to a service, for all entries together.
type Retries struct {
	// Ratio is the number of retries allowed for each request. Default 0.2.
	Ratio float64 `json:"ratio,omitempty" validate:"min=0,max=10"`
	// Slack is the number of retries allowed in each window in addition to the ratio.
	// Default 20.
	Slack float64 `json:"slack,omitempty" validate:"min=0,max=1000000"`
	// WindowSeconds is the window in which requests and retries are counted.
	// Default 10.
	WindowSeconds float64 `json:"window_s,omitempty" validate:"min=0,max=3600"`
}

// Quotas is what the use of the quotas of organisations is judged by, over all entries
// together.
type Quotas struct {
	// WindowSeconds is the length of the sliding window. Zero means that there is no
	// tolerance.
	WindowSeconds float64 `json:"window_s,omitempty" validate:"min=0,max=3600"`
	// Over is the part of a limit that may be used in addition.
	Over float64 `json:"over,omitempty" validate:"min=0,max=10"`
	// Slack is the number of units that may be used in addition in each window.
	Slack float64 `json:"slack,omitempty" validate:"min=0,max=1000000000"`
}

// ProcessLimits are the limits that a host sets to one process.
type ProcessLimits struct {
	// MemoryMB is the memory of the process in megabytes of 10^6 bytes. Zero means that
	// of the machine.
	MemoryMB float64 `json:"memory_mb,omitempty" validate:"min=0,max=1000000"`
	// MaxDescriptors is the number of file descriptors of the process, including those
	// for files. Zero means the limit that the process was started with.
	MaxDescriptors int `json:"max_descriptors,omitempty" validate:"min=0,max=10000000"`
}

// Gateway holds the settings of an entry in front of an external platform.
type Gateway struct {
	Host    Host          `json:"host"`
	Listen  GatewayListen `json:"listen"`
	Store   MetadataStore `json:"store"`
	Retries Retries       `json:"retries"`
	// Quotas is what the use of quotas is judged by.
	Quotas Quotas `json:"quotas"`
	// WeightStore holds the limits of the weight store. The rate of load starts comes
	// from the operator's configuration. The number of concurrent loads is learned if
	// it is not given.
	WeightStore WeightStore `json:"weight_store"`
	// ProcessorShare is the share of a processor core available to the entry. The
	// entries with the largest shares become the relays of their failure domain. Zero
	// means unknown.
	ProcessorShare float64 `json:"processor_share,omitempty" validate:"min=0,max=1000000"`
	// HeartbeatMillis is how often backend servers write their registrations, in milliseconds.
	// Default 1000.
	HeartbeatMillis int `json:"heartbeat_ms,omitempty" validate:"min=0,max=600000"`
	// Limits are those of the host on the process.
	Limits ProcessLimits `json:"limits,omitzero"`
	// DrainMillis is the time between SIGTERM and SIGKILL, in milliseconds. Default
	// 8000.
	DrainMillis int `json:"drain_ms,omitempty" validate:"min=0,max=600000"`
	Log         Log `json:"log"`
}

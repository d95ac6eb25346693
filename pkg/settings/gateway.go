package settings

// GatewayListen holds a gateway's addresses, each an IP and a port.
type GatewayListen struct {
	Callers string `json:"callers" validate:"required,ip_port"`
	// Readiness is where the platform's balancer asks whether to send callers.
	Readiness string `json:"readiness" validate:"required,ip_port"`
	// Internal is the UDP address of the inner protocol.
	Internal string `json:"inner" validate:"required,ip_port"`
	// Metrics is the address of metrics and the state dump.
	Metrics string `json:"metrics" validate:"required,ip_port"`
}

// MetadataStore says where the platform's metadata store is.
type MetadataStore struct {
	Address string `json:"address" validate:"required,ip_port"`
}

// Retries bound the repeated sends to a service from all entries together.
type Retries struct {
	// Ratio is the number of repeated sends for each request. Default 0.2.
	Ratio float64 `json:"ratio,omitempty" validate:"min=0,max=10"`
	// Slack is allowed beside the ratio in each window. Default 20.
	Slack float64 `json:"slack,omitempty" validate:"min=0,max=1000000"`
	// WindowSeconds is the span in which both are counted. Default 10.
	WindowSeconds float64 `json:"window_s,omitempty" validate:"min=0,max=3600"`
}

// Gateway holds the settings of an entry before an operator's own platform.
type Gateway struct {
	Host    Host          `json:"host"`
	Listen  GatewayListen `json:"listen"`
	Store   MetadataStore `json:"store"`
	Retries Retries       `json:"retries"`
	// WeightStore states the limits of the weight store. The rate of starts comes
	// with the operator's configuration. The loads at once are learned if they
	// aren't given.
	WeightStore WeightStore `json:"weight_store"`
	// ProcessorShare is the share of a processor core that the entry has. Entries
	// with more of it take over what is done for others. Zero means unknown.
	ProcessorShare float64 `json:"processor_share,omitempty" validate:"min=0,max=1000000"`
	// DrainMillis is the time between SIGTERM and SIGKILL, in milliseconds.
	// Default 8000.
	DrainMillis int `json:"drain_ms,omitempty" validate:"min=0,max=600000"`
	Log         Log `json:"log"`
}

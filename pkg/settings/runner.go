package settings

// RunnerListen holds the listen addresses of an agent next to a model runner,
// each an IP address and a port.
type RunnerListen struct {
	// Internal is the UDP address of the internal protocol.
	Internal string `json:"inner" validate:"required,ip_port"`
	// Metrics is the address for metrics and the state dump.
	Metrics string `json:"metrics" validate:"required,ip_port"`
}

// Runner holds the settings of an agent next to a model runner of an external
// platform.
type Runner struct {
	Host   Host          `json:"host"`
	Listen RunnerListen  `json:"listen"`
	Store  MetadataStore `json:"store"`
	// Runner is the address of the model runner.
	Runner string `json:"runner" validate:"required,ip_port"`
	// Limits are those of the host on the process. The number of descriptors isn't used.
	Limits ProcessLimits `json:"limits,omitzero"`
	Log    Log           `json:"log"`
}

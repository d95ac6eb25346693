package settings

// RunnerListen holds the addresses of an agent beside a model runner, each an IP
// and a port.
type RunnerListen struct {
	// Internal is the UDP address of the inner protocol.
	Internal string `json:"inner" validate:"required,ip_port"`
	// Metrics is the address of metrics and the state dump.
	Metrics string `json:"metrics" validate:"required,ip_port"`
}

// Runner holds the settings of an agent beside a model runner of an operator's
// own platform.
type Runner struct {
	Host   Host          `json:"host"`
	Listen RunnerListen  `json:"listen"`
	Store  MetadataStore `json:"store"`
	// Runner is the address of the model runner.
	Runner string `json:"runner" validate:"required,ip_port"`
	Log    Log    `json:"log"`
}

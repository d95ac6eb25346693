package lists

// Plans is the first of the operators' documents: who may call, and with which
// share.
type Plans struct {
	Plans []Plan `json:"plans" validate:"required,min=1,dive"`
}

// Plan is one customer's contract.
type Plan struct {
	// Name identifies the plan in the allowances, in metrics and in logs.
	Name string `json:"name" validate:"required,identifier"`
	// Customer is the party that holds the plan.
	Customer string `json:"customer" validate:"required,max=128"`
	// APIKeyHashes holds the SHA-256 digests of the plan's API keys, in hex.
	APIKeyHashes []string `json:"api_key_hashes" validate:"required,min=1,dive,len=64,hexadecimal"`
	// Weight is the plan's share of contended capacity relative to other plans,
	// from 1 to 1000.
	Weight int `json:"weight" validate:"min=1,max=1000"`
	// MaxQueued bounds the plan's waiting requests at one backend server.
	// Zero means the default of 64.
	MaxQueued int `json:"max_queued,omitempty" validate:"min=0,max=10000"`
}

// Allowances is the second of the operators' documents: models, adapters and
// services that exist, and what each plan may use of them.
type Allowances struct {
	Policy     Policy      `json:"policy"`
	Models     []Model     `json:"models" validate:"dive"`
	Adapters   []Adapter   `json:"adapters" validate:"dive"`
	Services   []Service   `json:"services" validate:"dive"`
	Allowances []Allowance `json:"allowances" validate:"dive"`
}

// Policy holds the site's relative cost of its two measures.
type Policy struct {
	// ColdStartWeight is the cost of one second that a caller waits for a load.
	// Zero means the default of 1.
	ColdStartWeight float64 `json:"cold_start_weight,omitempty" validate:"min=0,max=1000000"`
	// IdleWeight is the cost of one idle accelerator-second. Zero means the
	// default of 0.01.
	IdleWeight float64 `json:"idle_weight,omitempty" validate:"min=0,max=1000000"`
}

// Model is one version of a model. Name and version together are unique.
type Model struct {
	Name    string `json:"name" validate:"required,identifier"`
	Version string `json:"version" validate:"required,identifier"`
	// MemoryMiB is the accelerator memory that one loaded replica holds.
	MemoryMiB int64 `json:"memory_mib" validate:"min=1,max=16777216"`
	// MinReplicas is the number of replicas that stay loaded.
	MinReplicas int `json:"min_replicas,omitempty" validate:"min=0,max=10000"`
	// MaxReplicas bounds the replicas that may be loaded at once.
	MaxReplicas int `json:"max_replicas" validate:"min=1,max=10000"`
}

// Adapter is one version of a low-rank adapter on top of a model.
type Adapter struct {
	Name    string `json:"name" validate:"required,identifier"`
	Version string `json:"version" validate:"required,identifier"`
	// Model names the base model; any version of it serves.
	Model string `json:"model" validate:"required,identifier"`
	// MemoryMiB is the accelerator memory that the loaded adapter holds.
	MemoryMiB int64 `json:"memory_mib" validate:"min=1,max=1048576"`
}

// Service is a plain service that stands beside the model engines.
type Service struct {
	Name string `json:"name" validate:"required,identifier"`
	// IdempotentMethods lists the HTTP methods whose calls may be repeated.
	IdempotentMethods []string `json:"idempotent_methods,omitempty" validate:"dive,oneof=GET HEAD PUT DELETE POST PATCH OPTIONS"`
}

// Allowance states what one plan may use. An entry of "*" stands for all.
type Allowance struct {
	Plan string `json:"plan" validate:"required,identifier"`
	// Models holds "name" for the newest version listed, or "name@version".
	Models []string `json:"models,omitempty"`
	// Adapters holds "name" or "name@version".
	Adapters []string `json:"adapters,omitempty"`
	Services []string `json:"services,omitempty"`
	// MaxConcurrent bounds the plan's running requests at one entry host. Zero
	// means no bound.
	MaxConcurrent int `json:"max_concurrent,omitempty" validate:"min=0,max=1000000"`
	// TokensPerSecond bounds the plan's generated tokens at one backend server.
	// Zero means no bound.
	TokensPerSecond int `json:"tokens_per_second,omitempty" validate:"min=0,max=100000000"`
}

// Snapshot is one accepted revision of both documents. It is immutable.
type Snapshot struct {
	// Revision is the key-value revision at which the pair was switched on.
	Revision   int64      `json:"revision"`
	Plans      Plans      `json:"plans"`
	Allowances Allowances `json:"allowances"`
}

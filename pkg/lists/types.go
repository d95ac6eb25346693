package lists

// Plans is the document that lists who may send requests, and the share of each plan.
type Plans struct {
	Plans []Plan `json:"plans" validate:"required,min=1,dive"`
}

// Plan is one customer's contract.
type Plan struct {
	// Name identifies the plan in the allowances, in metrics and in logs.
	Name string `json:"name" validate:"required,identifier"`
	// Customer is the organisation that owns the plan.
	Customer string `json:"customer" validate:"required,max=128"`
	// APIKeyHashes holds the SHA-256 digests of the plan's API keys, in hexadecimal.
	APIKeyHashes []string `json:"api_key_hashes" validate:"required,min=1,dive,len=64,hexadecimal"`
	// Weight is the plan's share of contended capacity relative to other plans, from
	// 1 to 1000.
	Weight int `json:"weight" validate:"min=1,max=1000"`
	// MaxQueued limits the plan's queued requests at one backend server. Zero means
	// the default of 64.
	MaxQueued int `json:"max_queued,omitempty" validate:"min=0,max=10000"`
}

// Allowances is the document that lists the models, adapters and services, and what
// each plan may use.
type Allowances struct {
	Policy     Policy      `json:"policy"`
	Models     []Model     `json:"models" validate:"dive"`
	Adapters   []Adapter   `json:"adapters" validate:"dive"`
	Services   []Service   `json:"services" validate:"dive"`
	Allowances []Allowance `json:"allowances" validate:"dive"`
}

// Policy holds the relative costs of waiting callers and idle accelerators.
type Policy struct {
	// ColdStartWeight is the cost of one second that a caller waits for a load. Zero
	// means the default of 1.
	ColdStartWeight float64 `json:"cold_start_weight,omitempty" validate:"min=0,max=1000000"`
	// IdleWeight is the cost of one idle accelerator-second. Zero means the
	// default of 0.01.
	IdleWeight float64 `json:"idle_weight,omitempty" validate:"min=0,max=1000000"`
}

// Model is one version of a model. Name and version together are unique.
type Model struct {
	Name    string `json:"name" validate:"required,identifier"`
	Version string `json:"version" validate:"required,identifier"`
	// MemoryMiB is the accelerator memory of one loaded replica.
	MemoryMiB int64 `json:"memory_mib" validate:"min=1,max=16777216"`
	// MinReplicas is the number of replicas that always stay loaded.
	MinReplicas int `json:"min_replicas,omitempty" validate:"min=0,max=10000"`
	// MaxReplicas limits the number of loaded replicas.
	MaxReplicas int `json:"max_replicas" validate:"min=1,max=10000"`
}

// Adapter is one version of a low-rank adapter on top of a model.
type Adapter struct {
	Name    string `json:"name" validate:"required,identifier"`
	Version string `json:"version" validate:"required,identifier"`
	// Model names the base model. The adapter works with any version of it.
	Model string `json:"model" validate:"required,identifier"`
	// MemoryMiB is the accelerator memory of the loaded adapter.
	MemoryMiB int64 `json:"memory_mib" validate:"min=1,max=1048576"`
}

// Service is a service without models.
type Service struct {
	Name string `json:"name" validate:"required,identifier"`
	// IdempotentMethods lists the HTTP methods whose requests may be retried.
	IdempotentMethods []string `json:"idempotent_methods,omitempty" validate:"dive,oneof=GET HEAD PUT DELETE POST PATCH OPTIONS"`
}

// Allowance states what one plan may use. The entry "*" is a wildcard.
type Allowance struct {
	Plan string `json:"plan" validate:"required,identifier"`
	// Models holds "name" for the newest listed version, or "name@version".
	Models []string `json:"models,omitempty"`
	// Adapters holds "name" or "name@version".
	Adapters []string `json:"adapters,omitempty"`
	Services []string `json:"services,omitempty"`
	// MaxConcurrent limits the plan's concurrent requests at one entry host. Zero
	// means no limit.
	MaxConcurrent int `json:"max_concurrent,omitempty" validate:"min=0,max=1000000"`
	// TokensPerSecond limits the plan's generated tokens at one backend server. Zero
	// means no limit.
	TokensPerSecond int `json:"tokens_per_second,omitempty" validate:"min=0,max=100000000"`
}

// Snapshot is one accepted revision of both documents. It is immutable.
type Snapshot struct {
	// Revision is the key-value revision at which both documents became current.
	Revision   int64      `json:"revision"`
	Plans      Plans      `json:"plans"`
	Allowances Allowances `json:"allowances"`
}

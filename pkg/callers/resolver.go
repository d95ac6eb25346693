package callers

import "crypto/sha256"

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// Resolver returns callers' rights from the active lists. Its methods never block.
type Resolver interface {
	// Access returns the rights of the plan with the API key, and false for an
	// unknown key. The result belongs to one revision of the lists.
	Access(key KeyDigest) (Access, bool)
	// Loaded reports whether any lists are active.
	Loaded() bool
}

// Access holds one plan's rights at one revision of the lists. It is immutable.
type Access interface {
	// Plan returns the plan's parameters.
	Plan() Plan
	// ListsRevision returns the revision of the lists.
	ListsRevision() int64
	// Model resolves a model name in one of the forms "model", "model@version",
	// "model:adapter" and "model:adapter@version". It returns false if the model
	// isn't listed or the plan may not use it.
	Model(name string) (Target, bool)
	// Models returns the names that the plan may use, sorted.
	Models() []string
	// Service returns a service, and false if it isn't listed or the plan may not
	// use it.
	Service(name string) (Service, bool)
}

// Plan holds the parameters of a customer's plan that requests carry.
type Plan struct {
	Name string
	// Weight is the plan's share of contended capacity.
	Weight int
	// MaxQueued limits the plan's queued requests at one backend server.
	MaxQueued int
	// MaxConcurrent limits the plan's requests in flight at this entry host; zero
	// means no limit.
	MaxConcurrent int
	// TokensPerSecond limits the plan's token rate at one backend server; zero means
	// no limit.
	TokensPerSecond int
}

// Target is a model version, with an adapter version if Adapter is set.
type Target struct {
	Model          string
	Version        string
	Adapter        string
	AdapterVersion string
}

// Service is a plain service that the plan may call.
type Service struct {
	Name string
	// IdempotentMethods lists the methods whose calls may run more than once; empty
	// means GET, HEAD and OPTIONS.
	IdempotentMethods []string
}

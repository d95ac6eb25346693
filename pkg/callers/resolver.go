package callers

import "crypto/sha256"

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// Resolver gives callers' rights from the lists in force. Its methods never wait.
type Resolver interface {
	// Access returns what the plan with the API key may use, and false for an
	// unknown key. The result belongs to one revision of the lists.
	Access(key KeyDigest) (Access, bool)
	// Loaded tells whether any lists are in force.
	Loaded() bool
}

// Access is what one plan may use at one revision of the lists. It is immutable.
type Access interface {
	// Plan returns the plan's terms.
	Plan() Plan
	// ListsRevision returns the revision of the lists.
	ListsRevision() int64
	// Model resolves a name as callers write it: "model", "model@version",
	// "model:adapter", "model:adapter@version". It returns false if the name isn't
	// listed or the plan may not use it.
	Model(name string) (Target, bool)
	// Models returns the names that the plan may use, sorted.
	Models() []string
	// Service returns false if the service isn't listed or the plan may not use
	// it.
	Service(name string) (Service, bool)
}

// Plan holds the terms of a customer's plan that requests carry.
type Plan struct {
	Name string
	// Weight is the plan's share of contended capacity.
	Weight int
	// MaxQueued bounds the plan's waiting requests at one backend server.
	MaxQueued int
	// MaxConcurrent bounds the plan's running requests at this entry host; zero
	// means no bound.
	MaxConcurrent int
	// TokensPerSecond bounds the plan's tokens at one backend server; zero means
	// no bound.
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
	// IdempotentMethods lists the methods whose calls may be repeated; empty
	// means GET, HEAD and OPTIONS.
	IdempotentMethods []string
}

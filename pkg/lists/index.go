package lists

import (
	"fmt"
	"strings"
)

// Defaults of values that are zero in the documents.
const (
	DefaultMaxQueued       = 64
	DefaultColdStartWeight = 1.0
	DefaultIdleWeight      = 0.01
)

// Target is a model version, optionally with an adapter version.
type Target struct {
	Model Model
	// Adapter is nil for the base model.
	Adapter *Adapter
}

// ID returns "model@version" or "model@version:adapter@version".
func (t Target) ID() string {
	id := reference(t.Model.Name, t.Model.Version)
	if t.Adapter == nil {
		return id
	}
	return id + ":" + reference(t.Adapter.Name, t.Adapter.Version)
}

// Index provides lookups in one snapshot. It is immutable and safe for concurrent
// use. The newest version of a model or an adapter is the one that is listed last.
type Index struct {
	snapshot  Snapshot
	policy    Policy
	plans     map[string]Plan
	keyHashes map[string]string
	grants    map[string]*grant
	// models and adapters hold all versions by name, in list order.
	models   map[string][]Model
	adapters map[string][]Adapter
	services map[string]Service
}

// grant is an allowance indexed for lookup.
type grant struct {
	allowance Allowance
	models    nameSet
	adapters  nameSet
	services  nameSet
}

// NewIndex indexes a snapshot that Check accepts.
func NewIndex(snapshot Snapshot) *Index {
	index := &Index{
		snapshot:  snapshot,
		policy:    snapshot.Allowances.Policy.WithDefaults(),
		plans:     make(map[string]Plan),
		keyHashes: make(map[string]string),
		grants:    make(map[string]*grant),
		models:    make(map[string][]Model),
		adapters:  make(map[string][]Adapter),
		services:  make(map[string]Service),
	}
	index.addPlans()
	for _, model := range snapshot.Allowances.Models {
		index.models[model.Name] = append(index.models[model.Name], model)
	}
	for _, adapter := range snapshot.Allowances.Adapters {
		index.adapters[adapter.Name] = append(index.adapters[adapter.Name], adapter)
	}
	for _, service := range snapshot.Allowances.Services {
		index.services[service.Name] = service
	}
	index.addGrants()
	return index
}

// WithDefaults returns the policy with the default weights filled in.
func (p Policy) WithDefaults() Policy {
	if p.ColdStartWeight == 0 {
		p.ColdStartWeight = DefaultColdStartWeight
	}
	if p.IdleWeight == 0 {
		p.IdleWeight = DefaultIdleWeight
	}
	return p
}

func (x *Index) addPlans() {
	for _, plan := range x.snapshot.Plans.Plans {
		if plan.MaxQueued == 0 {
			plan.MaxQueued = DefaultMaxQueued
		}
		x.plans[plan.Name] = plan
		for _, hash := range plan.APIKeyHashes {
			x.keyHashes[strings.ToLower(hash)] = plan.Name
		}
	}
}

func (x *Index) addGrants() {
	for _, allowance := range x.snapshot.Allowances.Allowances {
		x.grants[allowance.Plan] = &grant{
			allowance: allowance,
			models:    newNameSet(allowance.Models, x.newestModel),
			adapters:  newNameSet(allowance.Adapters, x.newestAdapter),
			services:  newNameSet(allowance.Services, nil),
		}
	}
}

func (x *Index) newestModel(name string) (string, bool) {
	versions := x.models[name]
	if len(versions) == 0 {
		return "", false
	}
	return versions[len(versions)-1].Version, true
}

func (x *Index) newestAdapter(name string) (string, bool) {
	versions := x.adapters[name]
	if len(versions) == 0 {
		return "", false
	}
	return versions[len(versions)-1].Version, true
}

// Revision returns the snapshot's revision.
func (x *Index) Revision() int64 { return x.snapshot.Revision }

// Snapshot returns the indexed snapshot.
func (x *Index) Snapshot() Snapshot { return x.snapshot }

// Policy returns the site's cost weights with defaults filled in.
func (x *Index) Policy() Policy { return x.policy }

// Models returns all model versions in list order.
func (x *Index) Models() []Model { return x.snapshot.Allowances.Models }

// Plan returns a plan by name, with defaults filled in.
func (x *Index) Plan(name string) (Plan, bool) {
	plan, ok := x.plans[name]
	return plan, ok
}

// PlanByKeyHash returns the plan that owns an API key, by the key's SHA-256 digest
// in lower-case hexadecimal.
func (x *Index) PlanByKeyHash(hash string) (Plan, bool) {
	name, ok := x.keyHashes[hash]
	if !ok {
		return Plan{}, false
	}
	return x.Plan(name)
}

// Allowance returns what a plan may use.
func (x *Index) Allowance(plan string) (Allowance, bool) {
	g, ok := x.grants[plan]
	if !ok {
		return Allowance{}, false
	}
	return g.allowance, true
}

// Model returns a model version.
func (x *Index) Model(name, version string) (Model, bool) {
	for _, model := range x.models[name] {
		if model.Version == version {
			return model, true
		}
	}
	return Model{}, false
}

// Adapter returns an adapter version.
func (x *Index) Adapter(name, version string) (Adapter, bool) {
	for _, adapter := range x.adapters[name] {
		if adapter.Version == version {
			return adapter, true
		}
	}
	return Adapter{}, false
}

// Service returns a service that the plan may call. The error wraps
// ErrNotListed or ErrNotAllowed.
func (x *Index) Service(plan, name string) (Service, error) {
	service, ok := x.services[name]
	if !ok {
		return Service{}, fmt.Errorf("lists: service %q: %w", name, ErrNotListed)
	}
	g, ok := x.grants[plan]
	if !ok || !g.services.has(name) {
		return Service{}, fmt.Errorf("lists: service %q: %w", name, ErrNotAllowed)
	}
	return service, nil
}

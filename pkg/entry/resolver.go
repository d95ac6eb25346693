package entry

import (
	"encoding/hex"
	"slices"

	"teaselgauge.example/teaselgauge/pkg/callers"
	"teaselgauge.example/teaselgauge/pkg/lists"
)

// resolver gives callers' rights from the lists in force. It implements
// callers.Resolver.
type resolver struct {
	control *control
}

// Access implements callers.Resolver.
func (r *resolver) Access(key callers.KeyDigest) (callers.Access, bool) {
	index := r.control.current().index
	if index == nil {
		return nil, false
	}
	plan, ok := index.PlanByKeyHash(hex.EncodeToString(key[:]))
	if !ok {
		return nil, false
	}
	return &access{index: index, plan: plan}, true
}

// Loaded implements callers.Resolver.
func (r *resolver) Loaded() bool { return r.control.current().index != nil }

// access is what one plan may use at one revision. It implements callers.Access.
type access struct {
	index *lists.Index
	plan  lists.Plan
}

// Plan implements callers.Access.
func (a *access) Plan() callers.Plan {
	allowance, _ := a.index.Allowance(a.plan.Name)
	return callers.Plan{
		Name:            a.plan.Name,
		Weight:          a.plan.Weight,
		MaxQueued:       a.plan.MaxQueued,
		MaxConcurrent:   allowance.MaxConcurrent,
		TokensPerSecond: allowance.TokensPerSecond,
	}
}

// ListsRevision implements callers.Access.
func (a *access) ListsRevision() int64 { return a.index.Revision() }

// Model implements callers.Access.
func (a *access) Model(name string) (callers.Target, bool) {
	target, err := a.index.ResolveModel(a.plan.Name, name)
	if err != nil {
		return callers.Target{}, false
	}
	resolved := callers.Target{Model: target.Model.Name, Version: target.Model.Version}
	if target.Adapter != nil {
		resolved.Adapter = target.Adapter.Name
		resolved.AdapterVersion = target.Adapter.Version
	}
	return resolved, true
}

// Models implements callers.Access.
func (a *access) Models() []string {
	visible := a.index.VisibleModels(a.plan.Name)
	names := make([]string, 0, len(visible))
	for _, target := range visible {
		names = append(names, target.ID())
	}
	slices.Sort(names)
	return names
}

// Service implements callers.Access.
func (a *access) Service(name string) (callers.Service, bool) {
	service, err := a.index.Service(a.plan.Name, name)
	if err != nil {
		return callers.Service{}, false
	}
	return callers.Service{Name: service.Name, IdempotentMethods: service.IdempotentMethods}, true
}

package entry

import (
	"encoding/hex"
	"slices"

	"teaselgauge.example/teaselgauge/pkg/callers"
	"teaselgauge.example/teaselgauge/pkg/lists"
)

// accessResolver resolves callers' rights from the active lists. It implements
// callers.Resolver.
type accessResolver struct {
	control *controlState
}

// Access implements callers.Resolver.
func (r *accessResolver) Access(key callers.KeyDigest) (callers.Access, bool) {
	index := r.control.current().index
	if index == nil {
		return nil, false
	}
	plan, ok := index.PlanByKeyHash(hex.EncodeToString(key[:]))
	if !ok {
		return nil, false
	}
	return &planAccess{index: index, plan: plan}, true
}

// Loaded implements callers.Resolver.
func (r *accessResolver) Loaded() bool { return r.control.current().index != nil }

// planAccess gives one plan's rights at one revision. It implements callers.Access.
type planAccess struct {
	index *lists.Index
	plan  lists.Plan
}

// Plan implements callers.Access.
func (a *planAccess) Plan() callers.Plan {
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
func (a *planAccess) ListsRevision() int64 { return a.index.Revision() }

// Model implements callers.Access.
func (a *planAccess) Model(name string) (callers.Target, bool) {
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
func (a *planAccess) Models() []string {
	visible := a.index.VisibleModels(a.plan.Name)
	names := make([]string, 0, len(visible))
	for _, target := range visible {
		names = append(names, target.ID())
	}
	slices.Sort(names)
	return names
}

// Service implements callers.Access.
func (a *planAccess) Service(name string) (callers.Service, bool) {
	service, err := a.index.Service(a.plan.Name, name)
	if err != nil {
		return callers.Service{}, false
	}
	return callers.Service{Name: service.Name, IdempotentMethods: service.IdempotentMethods}, true
}

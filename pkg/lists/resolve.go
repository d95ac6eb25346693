package lists

import (
	"fmt"
	"strings"
)

// nameSet is a set of references that may contain the wildcard "*".
type nameSet struct {
	wildcard bool
	names    map[string]struct{}
}

// newNameSet returns the set of an allowance's entries. An entry without a version
// gets the version that newest returns. If newest is nil, names have no versions.
func newNameSet(entries []string, newest func(name string) (string, bool)) nameSet {
	set := nameSet{names: make(map[string]struct{}, len(entries))}
	for _, entry := range entries {
		if entry == wildcard {
			set.wildcard = true
			continue
		}
		if newest != nil && !strings.Contains(entry, "@") {
			version, _ := newest(entry)
			entry = reference(entry, version)
		}
		set.names[entry] = struct{}{}
	}
	return set
}

func (s nameSet) has(name string) bool {
	if s.wildcard {
		return true
	}
	_, ok := s.names[name]
	return ok
}

func (g *grant) allowsModel(model Model) bool {
	return g.models.has(reference(model.Name, model.Version))
}

func (g *grant) allowsAdapter(adapter Adapter) bool {
	return g.adapters.has(reference(adapter.Name, adapter.Version))
}

// ResolveModel resolves a name given by a caller: "model", "model@version",
// "model:adapter" or any combination with versions, such as "model@2:adapter@1". A
// name without a version resolves to the newest version that the plan may use. The
// error wraps ErrNotListed or ErrNotAllowed.
func (x *Index) ResolveModel(plan, name string) (Target, error) {
	modelRef, adapterRef, hasAdapter := strings.Cut(name, ":")
	g, ok := x.grants[plan]
	if !ok {
		return Target{}, fmt.Errorf("lists: plan %q: %w", plan, ErrNotAllowed)
	}
	model, err := x.resolveModel(g, modelRef)
	if err != nil {
		return Target{}, err
	}
	if !hasAdapter {
		return Target{Model: model}, nil
	}
	adapter, err := x.resolveAdapter(g, model.Name, adapterRef)
	if err != nil {
		return Target{}, err
	}
	return Target{Model: model, Adapter: &adapter}, nil
}

func (x *Index) resolveModel(g *grant, ref string) (Model, error) {
	name, version, hasVersion := strings.Cut(ref, "@")
	listed := false
	versions := x.models[name]
	for i := len(versions) - 1; i >= 0; i-- {
		model := versions[i]
		if hasVersion && model.Version != version {
			continue
		}
		listed = true
		if g.allowsModel(model) {
			return model, nil
		}
	}
	return Model{}, fmt.Errorf("lists: model %q: %w", ref, resolveError(listed))
}

func (x *Index) resolveAdapter(g *grant, modelName, ref string) (Adapter, error) {
	name, version, hasVersion := strings.Cut(ref, "@")
	listed := false
	versions := x.adapters[name]
	for i := len(versions) - 1; i >= 0; i-- {
		adapter := versions[i]
		if adapter.Model != modelName || hasVersion && adapter.Version != version {
			continue
		}
		listed = true
		if g.allowsAdapter(adapter) {
			return adapter, nil
		}
	}
	return Adapter{}, fmt.Errorf("lists: adapter %q of model %q: %w", ref, modelName, resolveError(listed))
}

func resolveError(listed bool) error {
	if listed {
		return ErrNotAllowed
	}
	return ErrNotListed
}

// VisibleModels returns all names that a plan may use as a model, base models first,
// in list order. An adapter is combined with the newest version of its model that
// the plan may use.
func (x *Index) VisibleModels(plan string) []Target {
	g, ok := x.grants[plan]
	if !ok {
		return nil
	}
	var targets []Target
	for _, model := range x.snapshot.Allowances.Models {
		if g.allowsModel(model) {
			targets = append(targets, Target{Model: model})
		}
	}
	for i := range x.snapshot.Allowances.Adapters {
		adapter := x.snapshot.Allowances.Adapters[i]
		if !g.allowsAdapter(adapter) {
			continue
		}
		model, err := x.resolveModel(g, adapter.Model)
		if err != nil {
			continue
		}
		targets = append(targets, Target{Model: model, Adapter: &adapter})
	}
	return targets
}

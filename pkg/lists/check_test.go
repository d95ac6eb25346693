package lists

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

func keyHash(n int) string { return fmt.Sprintf("%064x", n) }

// sample returns a valid pair of documents with two plans.
func sample() (Plans, Allowances) {
	plans := Plans{Plans: []Plan{
		{Name: "gold", Customer: "Gold", APIKeyHashes: []string{strings.ToUpper(keyHash(0xa1))}, Weight: 3},
		{Name: "iron", Customer: "Iron", APIKeyHashes: []string{keyHash(2)}, Weight: 1, MaxQueued: 5},
	}}
	allowances := Allowances{
		Models: []Model{
			{Name: "m", Version: "1", MemoryMiB: 10, MaxReplicas: 2},
			{Name: "m", Version: "2", MemoryMiB: 10, MinReplicas: 1, MaxReplicas: 2},
			{Name: "n", Version: "1", MemoryMiB: 10, MaxReplicas: 1},
		},
		Adapters: []Adapter{
			{Name: "a", Version: "1", Model: "m", MemoryMiB: 1},
			{Name: "a", Version: "2", Model: "m", MemoryMiB: 1},
			{Name: "b", Version: "1", Model: "n", MemoryMiB: 1},
		},
		Services: []Service{{Name: "orders", IdempotentMethods: []string{"GET"}}},
		Allowances: []Allowance{
			{Plan: "gold", Models: []string{"*"}, Adapters: []string{"*"}, Services: []string{"*"}},
			{Plan: "iron", Models: []string{"m@1"}, Adapters: []string{"a"}},
		},
	}
	return plans, allowances
}

func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		change func(p *Plans, a *Allowances)
		want   string
	}{
		{"valid", func(*Plans, *Allowances) {}, ""},
		{"no plans", func(p *Plans, a *Allowances) { p.Plans, a.Allowances = nil, nil }, "plans.plans: is missing"},
		{"plan twice", func(p *Plans, _ *Allowances) { p.Plans[1].Name = "gold" }, `plans.plans[1].name: "gold" is listed twice`},
		{"key hash at two plans", func(p *Plans, _ *Allowances) { p.Plans[1].APIKeyHashes[0] = keyHash(0xa1) }, "plans.plans[1].api_key_hashes[0]: the same hash stands at plans.plans[0].api_key_hashes[0]"},
		{"weight", func(p *Plans, _ *Allowances) { p.Plans[0].Weight = 0 }, "plans.plans[0].weight: 0 is not allowed, must be at least 1"},
		{"plan without allowance", func(_ *Plans, a *Allowances) { a.Allowances = a.Allowances[:1] }, `plans.plans[1].name: "iron" has no allowance`},
		{"two allowances", func(_ *Plans, a *Allowances) { a.Allowances = append(a.Allowances, Allowance{Plan: "iron"}) }, `allowances.allowances[2].plan: "iron" has two allowances`},
		{"unknown plan", func(_ *Plans, a *Allowances) { a.Allowances = append(a.Allowances, Allowance{Plan: "zinc"}) }, `allowances.allowances[2].plan: "zinc" is not a listed plan`},
		{"unknown model", func(_ *Plans, a *Allowances) { a.Allowances[1].Models = []string{"m", "m@3"} }, `allowances.allowances[1].models[1]: "m@3" is not a listed model`},
		{"unknown adapter", func(_ *Plans, a *Allowances) { a.Allowances[1].Adapters[0] = "z" }, `allowances.allowances[1].adapters[0]: "z" is not a listed adapter`},
		{"unknown service", func(_ *Plans, a *Allowances) { a.Allowances[1].Services = []string{"z"} }, `allowances.allowances[1].services[0]: "z" is not a listed service`},
		{"reference twice", func(_ *Plans, a *Allowances) { a.Allowances[1].Models = []string{"m", "m"} }, `allowances.allowances[1].models[1]: "m" is listed twice`},
		{"model twice", func(_ *Plans, a *Allowances) { a.Models[1].Version = "1" }, `allowances.models[1]: "m@1" is listed twice`},
		{"replicas", func(_ *Plans, a *Allowances) { a.Models[1].MinReplicas = 3 }, "allowances.models[1].max_replicas: 2 is not allowed, must be at least min_replicas, 3"},
		{"adapter twice", func(_ *Plans, a *Allowances) { a.Adapters[1].Version = "1" }, `allowances.adapters[1]: "a@1" is listed twice`},
		{"adapter of an unknown model", func(_ *Plans, a *Allowances) { a.Adapters[2].Model = "z" }, `allowances.adapters[2].model: "z" is not a listed model`},
		{"service twice", func(_ *Plans, a *Allowances) { a.Services = append(a.Services, a.Services[0]) }, `allowances.services[1].name: "orders" is listed twice`},
		{"method", func(_ *Plans, a *Allowances) { a.Services[0].IdempotentMethods[0] = "get" }, "allowances.services[0].idempotent_methods[0]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			plans, allowances := sample()
			c.change(&plans, &allowances)
			err := Check(plans, allowances)
			if c.want == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			var checkErr *CheckError
			if !errors.As(err, &checkErr) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

func TestCheckReportsAllProblems(t *testing.T) {
	_, _, err := Parse([]byte(`{"plans": [], "more": 1}`), []byte(`{"models": 3}`))
	want := "plans: unknown field \"more\"\nallowances.models: is a JSON number, must be []lists.Model"
	if err == nil || err.Error() != want {
		t.Errorf("got %v\nwant %s", err, want)
	}
}

func TestResolveModel(t *testing.T) {
	index := sampleIndex()
	cases := []struct {
		plan, name, want string
		err              error
	}{
		{"gold", "m", "m@2", nil},
		{"gold", "m@1", "m@1", nil},
		{"gold", "m:a", "m@2:a@2", nil},
		{"gold", "m@1:a@1", "m@1:a@1", nil},
		{"gold", "m@3", "", ErrNotListed},
		{"gold", "m@", "", ErrNotListed},
		{"gold", "", "", ErrNotListed},
		{"gold", "m:", "", ErrNotListed},
		{"gold", "m:b", "", ErrNotListed},
		{"gold", "m:a:a", "", ErrNotListed},
		{"iron", "m", "m@1", nil},
		{"iron", "m@2", "", ErrNotAllowed},
		{"iron", "n", "", ErrNotAllowed},
		{"iron", "m:a", "m@1:a@2", nil},
		{"iron", "m:a@1", "", ErrNotAllowed},
		{"zinc", "m", "", ErrNotAllowed},
	}
	for _, c := range cases {
		target, err := index.ResolveModel(c.plan, c.name)
		if !errors.Is(err, c.err) || err == nil && target.ID() != c.want {
			t.Errorf("plan %s, name %q: %v, %v; want %q, %v", c.plan, c.name, target, err, c.want, c.err)
		}
	}
}

func sampleIndex() *Index {
	plans, allowances := sample()
	return NewIndex(Snapshot{Revision: 7, Plans: plans, Allowances: allowances})
}

func TestIndex(t *testing.T) {
	index := sampleIndex()
	plan, ok := index.PlanByKeyHash(keyHash(0xa1))
	if !ok || plan.Name != "gold" || plan.MaxQueued != DefaultMaxQueued {
		t.Errorf("plan by key hash: %+v, %v", plan, ok)
	}
	if _, ok := index.PlanByKeyHash(keyHash(3)); ok {
		t.Error("unknown key hash found")
	}
	if _, err := index.Service("gold", "orders"); err != nil {
		t.Error(err)
	}
	if _, err := index.Service("iron", "orders"); !errors.Is(err, ErrNotAllowed) {
		t.Errorf("service that is not allowed: %v", err)
	}
	if _, err := index.Service("gold", "z"); !errors.Is(err, ErrNotListed) {
		t.Errorf("service that is not listed: %v", err)
	}
	if index.Policy() != (Policy{ColdStartWeight: 1, IdleWeight: 0.01}) {
		t.Errorf("policy %+v", index.Policy())
	}
	for plan, want := range map[string][]string{
		"gold": {"m@1", "m@2", "n@1", "m@2:a@1", "m@2:a@2", "n@1:b@1"},
		"iron": {"m@1", "m@1:a@2"},
		"zinc": nil,
	} {
		var got []string
		for _, target := range index.VisibleModels(plan) {
			got = append(got, target.ID())
		}
		if !slices.Equal(got, want) {
			t.Errorf("plan %s sees %q, want %q", plan, got, want)
		}
	}
}

// FuzzParseLists checks that any input is either rejected with typed problems or
// survives encoding and decoding unchanged, and that no accepted input breaks the
// index.
func FuzzParseLists(f *testing.F) {
	f.Add([]byte(`{"plans":[{"name":"p","customer":"c","api_key_hashes":["`+keyHash(1)+`"],"weight":1}]}`),
		[]byte(`{"models":[{"name":"m","version":"1","memory_mib":1,"max_replicas":1}],"allowances":[{"plan":"p","models":["*"]}]}`), "m:a")
	f.Add([]byte(`{"plans":null}`), []byte(`[]`), "@:@")
	f.Fuzz(func(t *testing.T, plansJSON, allowancesJSON []byte, name string) {
		plans, allowances, err := Parse(plansJSON, allowancesJSON)
		var checkErr *CheckError
		if err != nil {
			if !errors.As(err, &checkErr) || len(checkErr.Problems) == 0 {
				t.Errorf("error %v has type %T", err, err)
			}
			return
		}
		index := NewIndex(Snapshot{Revision: 1, Plans: plans, Allowances: allowances})
		for _, plan := range plans.Plans {
			_, _ = index.ResolveModel(plan.Name, name)
			for _, target := range index.VisibleModels(plan.Name) {
				if resolved, err := index.ResolveModel(plan.Name, target.ID()); err != nil || resolved.ID() != target.ID() {
					t.Errorf("visible %q resolves to %q, %v", target.ID(), resolved.ID(), err)
				}
			}
		}
		chunks, err := split(plans, allowances)
		if err != nil {
			t.Fatal(err)
		}
		var raw []byte
		for _, part := range chunks {
			raw = append(raw, part.raw...)
		}
		plansBack, allowancesBack, err := join(raw)
		if err != nil || Check(plansBack, allowancesBack) != nil {
			t.Errorf("encoded lists cannot be decoded: %v", err)
		}
		again, err := split(plansBack, allowancesBack)
		if err != nil || !slices.Equal(sums(again), sums(chunks)) {
			t.Errorf("encoded lists changed: %v", err)
		}
	})
}

package lists

import (
	"fmt"
	"strings"

	"teaselgauge.example/teaselgauge/pkg/schema"
)

// wildcard is the wildcard entry of an allowance: it matches everything listed.
const wildcard = "*"

// Check validates both documents, individually and together. It returns nil or a
// *CheckError with all problems.
func Check(plans Plans, allowances Allowances) error {
	c := newChecker(&plans, &allowances)
	c.checkPlans()
	c.checkModels()
	c.checkAdapters()
	c.checkServices()
	c.checkAllowances()
	return joinProblems(
		toCheckErrorOrNil("plans", schema.Validate(&plans)),
		toCheckErrorOrNil("allowances", schema.Validate(&allowances)),
		c.err(),
	)
}

func toCheckErrorOrNil(document string, err error) error {
	if err == nil {
		return nil
	}
	return toCheckError(document, err)
}

// checker collects the problems that involve several fields.
type checker struct {
	plans      *Plans
	allowances *Allowances
	problems   []schema.Problem

	planNames  map[string]bool
	modelNames map[string]bool
	// models and adapters hold "name" and "name@version", services holds names.
	models   map[string]bool
	adapters map[string]bool
	services map[string]bool
}

func newChecker(plans *Plans, allowances *Allowances) *checker {
	return &checker{
		plans:      plans,
		allowances: allowances,
		planNames:  make(map[string]bool),
		modelNames: make(map[string]bool),
		models:     make(map[string]bool),
		adapters:   make(map[string]bool),
		services:   make(map[string]bool),
	}
}

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, schema.Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &CheckError{Problems: c.problems}
}

func (c *checker) checkPlans() {
	hashes := make(map[string]string)
	for i, plan := range c.plans.Plans {
		path := fmt.Sprintf("plans.plans[%d]", i)
		if c.planNames[plan.Name] {
			c.add(path+".name", "%q is listed twice, must be unique", plan.Name)
		}
		c.planNames[plan.Name] = true
		for j, hash := range plan.APIKeyHashes {
			hashPath := fmt.Sprintf("%s.api_key_hashes[%d]", path, j)
			lower := strings.ToLower(hash)
			if first, duplicate := hashes[lower]; duplicate {
				c.add(hashPath, "the same hash stands at %s, must be unique", first)
				continue
			}
			hashes[lower] = hashPath
		}
	}
}

func (c *checker) checkModels() {
	for i, model := range c.allowances.Models {
		path := fmt.Sprintf("allowances.models[%d]", i)
		key := reference(model.Name, model.Version)
		if c.models[key] {
			c.add(path, "%q is listed twice, name and version must be unique", key)
		}
		c.models[key] = true
		c.models[model.Name] = true
		c.modelNames[model.Name] = true
		if model.MaxReplicas < model.MinReplicas {
			c.add(path+".max_replicas", "%d is not allowed, must be at least min_replicas, %d",
				model.MaxReplicas, model.MinReplicas)
		}
	}
}

func (c *checker) checkAdapters() {
	for i, adapter := range c.allowances.Adapters {
		path := fmt.Sprintf("allowances.adapters[%d]", i)
		key := reference(adapter.Name, adapter.Version)
		if c.adapters[key] {
			c.add(path, "%q is listed twice, name and version must be unique", key)
		}
		c.adapters[key] = true
		c.adapters[adapter.Name] = true
		if !c.modelNames[adapter.Model] {
			c.add(path+".model", "%q is not a listed model", adapter.Model)
		}
	}
}

func (c *checker) checkServices() {
	for i, service := range c.allowances.Services {
		if c.services[service.Name] {
			c.add(fmt.Sprintf("allowances.services[%d].name", i), "%q is listed twice, must be unique", service.Name)
		}
		c.services[service.Name] = true
	}
}

func (c *checker) checkAllowances() {
	granted := make(map[string]bool)
	for i, allowance := range c.allowances.Allowances {
		path := fmt.Sprintf("allowances.allowances[%d]", i)
		if !c.planNames[allowance.Plan] {
			c.add(path+".plan", "%q is not a listed plan", allowance.Plan)
		}
		if granted[allowance.Plan] {
			c.add(path+".plan", "%q has two allowances, must have one", allowance.Plan)
		}
		granted[allowance.Plan] = true
		c.checkReferences(path+".models", "model", allowance.Models, c.models)
		c.checkReferences(path+".adapters", "adapter", allowance.Adapters, c.adapters)
		c.checkReferences(path+".services", "service", allowance.Services, c.services)
	}
	for i, plan := range c.plans.Plans {
		if !granted[plan.Name] {
			c.add(fmt.Sprintf("plans.plans[%d].name", i), "%q has no allowance, must have one", plan.Name)
		}
	}
}

func (c *checker) checkReferences(path, kind string, entries []string, listed map[string]bool) {
	seen := make(map[string]bool, len(entries))
	for i, entry := range entries {
		entryPath := fmt.Sprintf("%s[%d]", path, i)
		if entry != wildcard && !listed[entry] {
			c.add(entryPath, "%q is not a listed %s, nor %q for all", entry, kind, wildcard)
		}
		if seen[entry] {
			c.add(entryPath, "%q is listed twice, must be unique", entry)
		}
		seen[entry] = true
	}
}

// reference joins a name and a version.
func reference(name, version string) string {
	return name + "@" + version
}

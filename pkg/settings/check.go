package settings

import (
	"errors"
	"fmt"
	"net/netip"

	"teaselgauge.example/teaselgauge/pkg/schema"
)

// check joins the problems found by the validation tags with those of rules
// over several fields.
func check(document any, more []schema.Problem) error {
	err := schema.Validate(document)
	var schemaErr *schema.Error
	if err != nil && !errors.As(err, &schemaErr) {
		return err
	}
	var problems []schema.Problem
	if schemaErr != nil {
		problems = schemaErr.Problems
	}
	problems = append(problems, more...)
	if len(problems) == 0 {
		return nil
	}
	return &schema.Error{Problems: problems}
}

func entryProblems(entry *Entry) []schema.Problem {
	var problems []schema.Problem
	limits := entry.Limits
	if limits.DefaultDeadlineMillis > limits.MaxDeadlineMillis {
		problems = append(problems, schema.Problem{
			Path: "limits.default_deadline_ms",
			Message: fmt.Sprintf("%d is not allowed, must be at most max_deadline_ms, %d",
				limits.DefaultDeadlineMillis, limits.MaxDeadlineMillis),
		})
	}
	seen := make(map[string]int)
	for i, credential := range entry.Admin {
		first, duplicate := seen[credential.Name]
		if duplicate {
			problems = append(problems, schema.Problem{
				Path:    fmt.Sprintf("admin[%d].name", i),
				Message: fmt.Sprintf("%q is also the name of admin[%d], must be unique", credential.Name, first),
			})
			continue
		}
		seen[credential.Name] = i
	}
	return problems
}

func agentProblems(agent *Agent) []schema.Problem {
	var problems []schema.Problem
	problems = appendLoopback(problems, "listen.admin", agent.Listen.Admin)
	problems = appendLoopback(problems, "listen.guard", agent.Listen.InstanceLock)
	backend := agent.Backend
	if backend.Kind == BackendService && len(backend.Services) == 0 {
		problems = append(problems, schema.Problem{
			Path:    "backend.services",
			Message: "is empty, must name at least one service for a backend of kind service",
		})
	}
	if backend.Kind == BackendEngine && len(backend.Services) != 0 {
		problems = append(problems, schema.Problem{
			Path:    "backend.services",
			Message: "is set, must be left out for a backend of kind engine",
		})
	}
	return problems
}

// gatewayProblems finds addresses that stand twice.
func gatewayProblems(gateway *Gateway) []schema.Problem {
	listen := gateway.Listen
	return duplicateAddresses([]namedAddress{
		{"listen.callers", listen.Callers},
		{"listen.readiness", listen.Readiness},
		{"listen.metrics", listen.Metrics},
	})
}

// namedAddress is a TCP address and its place in the settings.
type namedAddress struct{ path, address string }

func duplicateAddresses(addresses []namedAddress) []schema.Problem {
	var problems []schema.Problem
	first := make(map[string]string)
	for _, named := range addresses {
		if other, ok := first[named.address]; ok && named.address != "" {
			problems = append(problems, schema.Problem{
				Path:    named.path,
				Message: fmt.Sprintf("%q is also %s, must be another address", named.address, other),
			})
			continue
		}
		first[named.address] = named.path
	}
	return problems
}

// appendLoopback adds a problem if the address is valid and not on loopback.
func appendLoopback(problems []schema.Problem, path, address string) []schema.Problem {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Addr().IsLoopback() {
		return problems
	}
	return append(problems, schema.Problem{
		Path:    path,
		Message: fmt.Sprintf("%q is not allowed, must be a loopback address", address),
	})
}

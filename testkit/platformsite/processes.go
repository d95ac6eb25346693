package platformsite

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"teaselgauge.example/teaselgauge/testkit/site"
)

// Processes returns the processes of all entries and agents, and of the backend servers
// that are processes of their own.
func (s *Site) Processes() []*site.Process {
	all := append(s.EntryProcesses(), s.AgentProcesses()...)
	for _, server := range s.Servers {
		all = append(all, server.Process)
	}
	return all
}

// EntryProcesses returns the processes of all entries.
func (s *Site) EntryProcesses() []*site.Process {
	var all []*site.Process
	for _, entry := range s.Entries {
		all = append(all, entry.Process)
	}
	return all
}

// AgentProcesses returns the processes of all agents.
func (s *Site) AgentProcesses() []*site.Process {
	var all []*site.Process
	for _, runner := range s.Runners {
		all = append(all, runner.Process)
	}
	return all
}

// AwaitEntries waits until all entries are ready.
func (s *Site) AwaitEntries(ctx context.Context) error {
	for _, entry := range s.Entries {
		if err := entry.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until the entry reports that it is ready.
func (e *Entry) AwaitReady(ctx context.Context) error {
	return site.Eventually(ctx, func() error {
		ready, err := e.IsReady(ctx)
		if err == nil && !ready {
			err = fmt.Errorf("platform site: %s isn't ready", e.ID)
		}
		return err
	})
}

// IsReady reports whether the entry is ready. It uses the same endpoint as the
// platform's load balancer.
func (e *Entry) IsReady(ctx context.Context) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Readiness+"/v1/ready", nil)
	if err != nil {
		return false, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK, nil
}

// errNotPlaced means that the store has no placement yet.
var errNotPlaced = errors.New("platform site: models aren't placed")

// AwaitPlacement waits until the models are placed.
func (s *Site) AwaitPlacement(ctx context.Context) error {
	return site.Eventually(ctx, func() error {
		if _, revision := s.Store.Get("teaselgauge/placement"); revision == 0 {
			return errNotPlaced
		}
		return nil
	})
}

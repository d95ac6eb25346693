package platformsite

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"

	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
	"teaselgauge.example/teaselgauge/testkit/standin/metadatastore"
)

// ServerProcess is a backend server that runs as a process of its own.
type ServerProcess struct {
	*site.Process
	ID      string
	Address string
	// registeredAddress is the address at which entries reach the server.
	registeredAddress string
	options           backendserver.Options
	store             *metadatastore.Server
}

// addServerProcess starts a backend server as a process and registers it.
func (s *Site) addServerProcess(ctx context.Context, options backendserver.Options) (*ServerProcess, error) {
	addresses, err := site.FreeAddresses(1)
	if err != nil {
		return nil, err
	}
	server := &ServerProcess{
		ID: options.ID, Address: addresses[0], registeredAddress: addresses[0], options: options, store: s.Store,
	}
	if s.options.RelayTo != nil {
		if server.registeredAddress, err = s.options.RelayTo(server.Address); err != nil {
			return nil, err
		}
	}
	args, err := server.arguments()
	if err != nil {
		return nil, err
	}
	server.Process = site.NewProcess(options.ID, s.binaries.Standin, args, s.logPath(options.ID))
	s.Servers = append(s.Servers, server)
	if err := server.Start(); err != nil {
		return nil, err
	}
	return server, server.Register(ctx)
}

// arguments returns the arguments of the server's process.
func (p *ServerProcess) arguments() ([]string, error) {
	encoded, err := json.Marshal(p.options)
	if err != nil {
		return nil, fmt.Errorf("platform site: options of %s: %w", p.ID, err)
	}
	return []string{"backend", "--listen", p.Address, "--options", string(encoded)}, nil
}

// Software returns the version of the server's software.
func (p *ServerProcess) Software() string { return p.options.Software }

// RestartAs kills the server and starts it again under its ID with another version of its
// software. Its entry in the store stays as it was.
func (p *ServerProcess) RestartAs(software string) error {
	p.options.Software = software
	args, err := p.arguments()
	if err != nil {
		return err
	}
	p.SetArgs(args)
	return p.Restart()
}

// ReplaceBy is RestartAs with an ID of its own, which takes the place of the server's. The
// server's entry in the store is removed.
func (p *ServerProcess) ReplaceBy(id, software string) error {
	p.Deregister()
	p.ID = id
	p.options.ID = id
	return p.RestartAs(software)
}

// Register waits until the server listens, and writes its entry in the store.
func (p *ServerProcess) Register(ctx context.Context) error { return p.register(ctx, nil) }

// AnnounceDrain writes in the server's entry that it is leaving.
func (p *ServerProcess) AnnounceDrain(ctx context.Context) error {
	return p.register(ctx, map[string]any{"state": "draining"})
}

// Deregister removes the server's entry.
func (p *ServerProcess) Deregister() { p.store.Remove(serverKeyPrefix + p.ID) }

// serverKeyPrefix is the prefix of the keys of backend servers' entries.
const serverKeyPrefix = "servers/"

// register writes the server's entry with changed fields.
func (p *ServerProcess) register(ctx context.Context, changes map[string]any) error {
	var registration backendserver.Registration
	err := site.Eventually(ctx, func() error {
		return p.call(ctx, http.MethodGet, backendserver.RegistrationPath, &registration)
	})
	if err != nil {
		return err
	}
	var value map[string]any
	if err := json.Unmarshal(registration.Value, &value); err != nil {
		return fmt.Errorf("platform site: registration of %s: %w", p.ID, err)
	}
	value["address"] = p.registeredAddress
	maps.Copy(value, changes)
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("platform site: registration of %s: %w", p.ID, err)
	}
	p.store.Put(registration.Key, encoded)
	return nil
}

// Release makes stalled responses to a request go on.
func (p *ServerProcess) Release(ctx context.Context, requestID string) error {
	return p.call(ctx, http.MethodPost, backendserver.ReleasePath+requestID, nil)
}

// call calls the server's control interface and decodes the response's body.
func (p *ServerProcess) call(ctx context.Context, method, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.Address+path, nil)
	if err != nil {
		return fmt.Errorf("platform site: call %s: %w", p.ID, err)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("platform site: call %s: %w", p.ID, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("platform site: call %s: status %d", p.ID, response.StatusCode)
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return fmt.Errorf("platform site: call %s: %w", p.ID, err)
	}
	return nil
}

// Arrivals returns the requests that all incarnations of the server have received, if
// some requests end it.
func (p *ServerProcess) Arrivals() []backendserver.Run {
	return records[backendserver.Run](p.Log(), backendserver.ArrivalMark)
}

// Crashes returns the ends of the server's incarnations that requests have caused.
func (p *ServerProcess) Crashes() []backendserver.Crash {
	return records[backendserver.Crash](p.Log(), backendserver.CrashMark)
}

// records returns the records of a log that have a mark. A line that its process didn't
// complete is none.
func records[T any](log, mark string) []T {
	var all []T
	for line := range strings.Lines(log) {
		encoded, marked := strings.CutPrefix(line, mark)
		var record T
		if marked && json.Unmarshal([]byte(encoded), &record) == nil {
			all = append(all, record)
		}
	}
	return all
}

// Runs returns the runs of a request in all incarnations of the server.
func (p *ServerProcess) Runs(requestID string) []backendserver.Run {
	var runs []backendserver.Run
	for line := range strings.Lines(p.Log()) {
		var run backendserver.Run
		if err := json.Unmarshal([]byte(line), &run); err == nil && run.ID == requestID {
			runs = append(runs, run)
		}
	}
	return runs
}

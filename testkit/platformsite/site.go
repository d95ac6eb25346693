// Package platformsite runs the programs as processes on loopback addresses, with
// stand-ins for the users' platform: entries in front of backend servers, and an agent
// beside each model runner. The stand-ins run in the calling process, so that tests
// set their faults and read their journals directly.
package platformsite

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
	"teaselgauge.example/teaselgauge/testkit/standin/metadatastore"
)

// Options describe a site.
type Options struct {
	// Entries, Runners and Plain are the numbers of entries, of model runners with
	// their agents, and of plain servers.
	Entries, Runners, Plain int
	// Zones are assigned to them in turn.
	Zones []string
	// RunnerMB is the accelerator memory of each runner.
	RunnerMB     float64
	AdapterSlots int
	Slots        int
	// RunnerPlaces is the number of requests that a runner runs, RunnerQueue the number that
	// may wait there; zero for Slots and twice as many. A runner with fewer places than the
	// configuration names rejects requests that its agent lets through.
	RunnerPlaces, RunnerQueue int
	// CopyRejections and SpoilResponses are those of all backend servers.
	CopyRejections, SpoilResponses int
	// PlainPlaces is the number of requests that a plain server runs, PlainQueue the number
	// that may wait there; zero for Slots. PlainSpread is the WorkSpread of a plain server.
	PlainPlaces, PlainQueue int
	PlainSpread             time.Duration
	// ReceiveBuffer is that of the connections of all backend servers.
	ReceiveBuffer int
	// ExtraResponses and KeepDeadlines are those of all backend servers.
	ExtraResponses, KeepDeadlines bool
	LoadsPerSecond                float64
	Models                        []backendserver.Model
	// Work is the processing time of a plain request and of each event of a stream.
	// Events is the number of events of a stream.
	Work   time.Duration
	Events int
	// DrainMillis is the time, in milliseconds, between SIGTERM and an entry's exit.
	DrainMillis int
	// MaxBodyBytes is the length of the longest body that the configuration allows; zero for
	// one MiB.
	MaxBodyBytes int
	// Retries limits the retries of the entries; the zero value leaves the defaults.
	Retries settings.Retries
	// Limits are those of each entry's process; the zero value leaves the defaults.
	Limits   settings.ProcessLimits
	LogLevel string
	// ConfigureEngine changes the engine of the i-th runner before it starts.
	ConfigureEngine func(i int, engine *backendserver.Engine)
	// Software returns the software version of the i-th runner; nil for the default one.
	Software func(i int) string
	// ServerProcesses runs each backend server as a process of its own.
	ServerProcesses bool
	// Deadly are the requests that end server processes; nil for none.
	Deadly *backendserver.Deadly
	// RelayTo returns the address at which entries reach the server process that listens
	// on an address; nil: its own.
	RelayTo func(address string) (string, error)
	// RelayToStore returns the address at which entries and agents reach the store, which
	// listens on an address; nil: its own.
	RelayToStore func(address string) (string, error)
}

// Entry is an entry with its process and addresses.
type Entry struct {
	*site.Process
	ID, Zone     string
	Callers      string
	Readiness    string
	Metrics      string
	settingsPath string
}

// Runner is a model runner with its agent's process.
type Runner struct {
	*site.Process
	ID, Zone string
	Metrics  string
	// Backend is nil if the server is a process of its own.
	Backend      *backendserver.Server
	settingsPath string
}

// Site is a running site. Its methods are called from one goroutine.
type Site struct {
	Store   *metadatastore.Server
	Entries []*Entry
	Runners []*Runner
	// Plain are the plain servers, unless backend servers are processes of their own:
	// then all of them are in Servers.
	Plain   []*backendserver.Server
	Servers []*ServerProcess

	options     Options
	binaries    site.Binaries
	dir         string
	storeServer *httptest.Server
	// storeAddress is the address at which entries and agents reach the store.
	storeAddress string
	version      int64
	nextID       int
}

// startTimeout bounds the start of a site.
const startTimeout = 30 * time.Second

// Start starts all processes and waits until the entries are ready and the models are
// placed. On failure it stops what it started.
func Start(ctx context.Context, binaries site.Binaries, options Options) (*Site, error) {
	dir, err := os.MkdirTemp("", "teaselgauge-platform-")
	if err != nil {
		return nil, fmt.Errorf("platform site: %w", err)
	}
	s := &Site{Store: metadatastore.New(), options: options, binaries: binaries, dir: dir}
	s.storeServer = httptest.NewServer(s.Store)
	s.storeAddress = strings.TrimPrefix(s.storeServer.URL, "http://")
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.start(ctx); err != nil {
		err = errors.Join(err, errors.New(s.Logs()))
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	if s.options.RelayToStore != nil {
		address, err := s.options.RelayToStore(s.storeAddress)
		if err != nil {
			return err
		}
		s.storeAddress = address
	}
	s.Configure(nil)
	for i := range s.options.Plain {
		if err := s.addPlainServer(ctx, i); err != nil {
			return err
		}
	}
	for range s.options.Runners {
		if _, err := s.addRunner(ctx); err != nil {
			return err
		}
	}
	for i := range s.options.Entries {
		if err := s.addEntry(i); err != nil {
			return err
		}
	}
	if err := s.AwaitEntries(ctx); err != nil {
		return err
	}
	return s.AwaitPlacement(ctx)
}

func (s *Site) zone(i int) string { return s.options.Zones[i%len(s.options.Zones)] }

func (s *Site) addPlainServer(ctx context.Context, i int) error {
	options := backendserver.Options{
		ID: fmt.Sprintf("p-%d", i+1), Service: PlainService, Zone: s.zone(i),
		Slots: cmp.Or(s.options.PlainPlaces, s.options.Slots), Queue: cmp.Or(s.options.PlainQueue, s.options.Slots),
		Work: s.options.Work, WorkSpread: s.options.PlainSpread, KeepDeadlines: s.options.KeepDeadlines, ExtraResponses: s.options.ExtraResponses, ReceiveBuffer: s.options.ReceiveBuffer,
		CopyRejections: s.options.CopyRejections, SpoilResponses: s.options.SpoilResponses, Deadly: s.options.Deadly,
	}
	if s.options.ServerProcesses {
		_, err := s.addServerProcess(ctx, options)
		return err
	}
	backend, err := backendserver.Start("127.0.0.1:0", s.Store, options)
	if err != nil {
		return err
	}
	s.Plain = append(s.Plain, backend)
	return nil
}

// AddRunner starts a model runner and its agent.
func (s *Site) AddRunner() (*Runner, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return s.addRunner(ctx)
}

func (s *Site) addRunner(ctx context.Context) (*Runner, error) {
	i := len(s.Runners)
	engine := &backendserver.Engine{MB: s.options.RunnerMB, AdapterSlots: s.options.AdapterSlots, Models: s.options.Models}
	if s.options.ConfigureEngine != nil {
		s.options.ConfigureEngine(i, engine)
	}
	software := ""
	if s.options.Software != nil {
		software = s.options.Software(i)
	}
	backend, address, err := s.startRunnerServer(ctx, backendserver.Options{
		ID: fmt.Sprintf("r-%d", i+1), Service: EngineService, Zone: s.zone(i), Software: software, Engine: engine,
		Slots: cmp.Or(s.options.RunnerPlaces, s.options.Slots), Queue: cmp.Or(s.options.RunnerQueue, 2*s.options.Slots),
		Work: s.options.Work, Events: s.options.Events, CopyRejections: s.options.CopyRejections, SpoilResponses: s.options.SpoilResponses,
		KeepDeadlines: s.options.KeepDeadlines, ExtraResponses: s.options.ExtraResponses, ReceiveBuffer: s.options.ReceiveBuffer, Deadly: s.options.Deadly,
	})
	if err != nil {
		return nil, err
	}
	addresses, err := site.FreeAddresses(2)
	if err != nil {
		return nil, err
	}
	runner := &Runner{ID: fmt.Sprintf("side-%d", i+1), Zone: s.zone(i), Metrics: addresses[1], Backend: backend}
	s.Runners = append(s.Runners, runner)
	config := settings.Runner{
		Host:   s.hostSettings(runner.ID, runner.Zone),
		Listen: settings.RunnerListen{Internal: addresses[0], Metrics: addresses[1]},
		Store:  settings.MetadataStore{Address: s.storeAddress},
		Runner: address,
		Log:    settings.Log{Level: s.options.LogLevel},
	}
	runner.settingsPath, err = s.writeSettings(runner.ID, config)
	if err != nil {
		return nil, err
	}
	runner.Process = s.process(runner.ID, s.binaries.Agent, "runner", runner.settingsPath)
	return runner, runner.Start()
}

// startRunnerServer starts a model runner and returns its address. The server is nil if
// it is a process of its own.
func (s *Site) startRunnerServer(ctx context.Context, options backendserver.Options) (*backendserver.Server, string, error) {
	if s.options.ServerProcesses {
		server, err := s.addServerProcess(ctx, options)
		if err != nil {
			return nil, "", err
		}
		// The agent finds the server's entry in the store by this address.
		return nil, server.registeredAddress, nil
	}
	backend, err := backendserver.Start("127.0.0.1:0", s.Store, options)
	if err != nil {
		return nil, "", err
	}
	return backend, backend.Address(), nil
}

func (s *Site) addEntry(i int) error {
	addresses, err := site.FreeAddresses(4)
	if err != nil {
		return err
	}
	entry := &Entry{
		ID: fmt.Sprintf("front-%d", i+1), Zone: s.zone(i),
		Callers: addresses[0], Readiness: addresses[1], Metrics: addresses[2],
	}
	s.Entries = append(s.Entries, entry)
	config := settings.Gateway{
		Host: s.hostSettings(entry.ID, entry.Zone),
		Listen: settings.GatewayListen{
			Callers: entry.Callers, Readiness: entry.Readiness, Metrics: entry.Metrics, Internal: addresses[3],
		},
		Store:       settings.MetadataStore{Address: s.storeAddress},
		Retries:     s.options.Retries,
		DrainMillis: s.options.DrainMillis,
		Limits:      s.options.Limits,
		Log:         settings.Log{Level: s.options.LogLevel},
	}
	entry.settingsPath, err = s.writeSettings(entry.ID, config)
	if err != nil {
		return err
	}
	entry.Process = s.process(entry.ID, s.binaries.Entry, "gateway", entry.settingsPath)
	return entry.Start()
}

func (s *Site) hostSettings(id, zone string) settings.Host {
	return settings.Host{ID: id, Region: "region-1", FailureDomain: zone}
}

func (s *Site) writeSettings(id string, config any) (string, error) {
	path := filepath.Join(s.dir, id+".json")
	data, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return "", fmt.Errorf("platform site: settings of %s: %w", id, err)
	}
	// A process that starts or reloads meanwhile reads the old file or the new one.
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return "", fmt.Errorf("platform site: settings of %s: %w", id, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return "", fmt.Errorf("platform site: settings of %s: %w", id, err)
	}
	return path, nil
}

func (s *Site) process(id, binary, command, path string) *site.Process {
	return site.NewProcess(id, binary, []string{command, "--settings", path}, s.logPath(id))
}

func (s *Site) logPath(id string) string { return filepath.Join(s.dir, id+".log") }

// ResetStoreConnections closes all connections to the store.
func (s *Site) ResetStoreConnections() { s.storeServer.CloseClientConnections() }

// Close stops all processes and stand-ins and removes the site's files.
func (s *Site) Close() error {
	var failures []error
	for _, process := range s.Processes() {
		if process != nil && process.Running() {
			failures = append(failures, process.Kill())
		}
	}
	for _, backend := range s.Backends() {
		backend.Close()
	}
	s.storeServer.CloseClientConnections()
	s.Store.Close()
	s.storeServer.Close()
	return errors.Join(append(failures, os.RemoveAll(s.dir))...)
}

// Backends returns all backend servers in the calling process.
func (s *Site) Backends() []*backendserver.Server {
	all := append([]*backendserver.Server{}, s.Plain...)
	for _, runner := range s.Runners {
		if runner.Backend != nil {
			all = append(all, runner.Backend)
		}
	}
	return all
}

// Logs returns the last part of each process's log.
func (s *Site) Logs() string {
	const tailBytes = 6000
	var text strings.Builder
	for _, process := range s.Processes() {
		if process == nil {
			continue
		}
		log := process.Log()
		fmt.Fprintf(&text, "--- %s\n%s\n", process.Name, log[max(0, len(log)-tailBytes):])
	}
	return text.String()
}

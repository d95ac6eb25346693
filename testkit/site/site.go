package site

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/keys"
)

// StartTimeout bounds the start of a site.
const StartTimeout = 60 * time.Second

// Site is a running site. Its methods are called from one goroutine.
type Site struct {
	KeyValue    *Standin
	WeightStore *Standin
	HostList    *Standin
	// Entries, Runners and Services are the hosts of each kind.
	Entries  []*Host
	Runners  []*Host
	Services []*Host

	options    Options
	binaries   Binaries
	dir        string
	adminToken string
	processes  []*Process
	// hostStates holds the states of the hosts in the platform's host list.
	hostStates map[string]hostlist.State
}

// Start starts all processes of a site, puts its lists and waits until all processes
// are ready and each entry has a permitted runner for each model. On failure it stops
// the processes that it started.
func Start(ctx context.Context, binaries Binaries, options Options) (*Site, error) {
	dir, err := os.MkdirTemp("", "teaselgauge-site-")
	if err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	s := &Site{
		options:    options,
		binaries:   binaries,
		dir:        dir,
		adminToken: keys.NewAPIKey(),
		hostStates: map[string]hostlist.State{},
	}
	ctx, cancel := context.WithTimeout(ctx, StartTimeout)
	defer cancel()
	if err := s.start(ctx); err != nil {
		err = errors.Join(err, errors.New(s.Logs()))
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		s.assignAddresses,
		s.createKeys,
		s.startStandins,
		s.putHostList,
		s.startHosts,
		s.putInitialLists,
		s.awaitReady,
		s.awaitPermits,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all processes and removes the site's files.
func (s *Site) Close() error {
	var failures []error
	for i := len(s.processes) - 1; i >= 0; i-- {
		if s.processes[i].Running() {
			failures = append(failures, s.processes[i].Kill())
		}
	}
	return errors.Join(append(failures, os.RemoveAll(s.dir))...)
}

// AdminToken returns the token of an administrator who may edit the lists.
func (s *Site) AdminToken() string { return s.adminToken }

// Dir returns the directory with the site's keys and settings.
func (s *Site) Dir() string { return s.dir }

// Logs returns the last part of each process's log.
func (s *Site) Logs() string {
	const tailBytes = 4000
	var text strings.Builder
	for _, process := range s.processes {
		log := process.Log()
		fmt.Fprintf(&text, "--- %s\n%s\n", process.Name, log[max(0, len(log)-tailBytes):])
	}
	return text.String()
}

// assignAddresses assigns loopback addresses to all hosts and stand-ins and creates
// their processes.
func (s *Site) assignAddresses(context.Context) error {
	allocator := &addressAllocator{nextFixed: s.options.BasePort}
	defer allocator.release()
	// Callers' addresses are assigned first, so that they are easy to remember if the
	// ports start at a fixed base.
	for i := range s.options.Entries {
		host := &Host{ID: "entry-" + strconv.Itoa(i+1), FailureDomain: s.options.failureDomain(i)}
		if err := allocateAll(allocator, &host.Callers, &host.Admin, &host.Internal); err != nil {
			return err
		}
		s.addHost(&s.Entries, host, s.binaries.Entry)
	}
	if err := s.addStandins(allocator); err != nil {
		return err
	}
	for i := range s.options.Runners {
		host := &Host{ID: "runner-" + strconv.Itoa(i+1), FailureDomain: s.options.failureDomain(i)}
		flags := append(s.engineFlags(), s.options.EngineFlags...)
		if err := s.addAgent(allocator, &s.Runners, host, "engine", flags); err != nil {
			return err
		}
	}
	for i := range s.options.Services {
		host := &Host{ID: "service-" + strconv.Itoa(i+1), FailureDomain: s.options.failureDomain(i)}
		host.Services = []string{s.options.ServiceName}
		if err := s.addAgent(allocator, &s.Services, host, "service", []string{"--name", s.options.ServiceName}); err != nil {
			return err
		}
	}
	return nil
}

// allocateAll sets each address to a newly allocated one.
func allocateAll(allocator *addressAllocator, addresses ...*string) error {
	for _, address := range addresses {
		allocated, err := allocator.allocate()
		if err != nil {
			return err
		}
		*address = allocated
	}
	return nil
}

func (s *Site) engineFlags() []string {
	return []string{
		"--memory-mib", strconv.FormatInt(s.options.RunnerMemoryMiB, 10),
		"--weightstore", s.WeightStore.URL(),
		"--check-fences=" + strconv.FormatBool(s.options.CheckFences),
	}
}

func (s *Site) addStandins(allocator *addressAllocator) error {
	var err error
	if s.KeyValue, err = s.addStandin(allocator, "keyvalue", "keyvalue", nil); err != nil {
		return err
	}
	if s.WeightStore, err = s.addStandin(allocator, "weightstore", "weightstore", s.options.WeightStoreFlags); err != nil {
		return err
	}
	s.HostList, err = s.addStandin(allocator, "hostlist", "hostlist", []string{"--lag", s.options.hostListLag().String()})
	return err
}

func (s *Site) addStandin(allocator *addressAllocator, name, kind string, flags []string) (*Standin, error) {
	address, err := allocator.allocate()
	if err != nil {
		return nil, err
	}
	args := append([]string{kind, "--listen", address}, flags...)
	return &Standin{Process: s.addProcess(name, s.binaries.Standin, args), Address: address}, nil
}

func (s *Site) addAgent(allocator *addressAllocator, hosts *[]*Host, host *Host, kind string, flags []string) error {
	var err error
	if host.Backend, err = s.addStandin(allocator, host.ID+"-backend", kind, flags); err != nil {
		return err
	}
	if err := allocateAll(allocator, &host.Internal, &host.Admin, &host.InstanceLock); err != nil {
		return err
	}
	s.addHost(hosts, host, s.binaries.Agent)
	return nil
}

func (s *Site) addHost(hosts *[]*Host, host *Host, binary string) {
	host.Process = s.addProcess(host.ID, binary, []string{"run", "--settings", filepath.Join(s.dir, host.ID+".json")})
	*hosts = append(*hosts, host)
	s.hostStates[host.ID] = hostlist.Live
}

func (s *Site) addProcess(name, binary string, args []string) *Process {
	process := NewProcess(name, binary, args, filepath.Join(s.dir, name+".log"))
	s.processes = append(s.processes, process)
	return process
}

// Hosts returns the hosts of all kinds.
func (s *Site) Hosts() []*Host {
	hosts := append([]*Host{}, s.Entries...)
	hosts = append(hosts, s.Runners...)
	return append(hosts, s.Services...)
}

// createKeys creates the site's certificate authority and the keys of all hosts.
func (s *Site) createKeys(ctx context.Context) error {
	if err := s.runEntryCommand(ctx, "keys", "ca", "--dir", s.dir); err != nil {
		return err
	}
	for _, host := range s.Hosts() {
		role := string(host.listedHost("", hostlist.Live).Role)
		if err := s.runEntryCommand(ctx, "keys", "host", "--dir", s.dir, "--id", host.ID, "--role", role); err != nil {
			return err
		}
	}
	return nil
}

// runEntryCommand runs a subcommand of the entry program.
func (s *Site) runEntryCommand(ctx context.Context, args ...string) error {
	cmd := exec.CommandContext(ctx, s.binaries.Entry, args...)
	cmd.Env = append(os.Environ(), "TEASELGAUGE_ADMIN_TOKEN="+s.adminToken)
	output, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("site: %s: %w: %s", strings.Join(args, " "), err, output)
	}
	return nil
}

func (s *Site) startStandins(ctx context.Context) error {
	standins := []*Standin{s.KeyValue, s.WeightStore, s.HostList}
	for _, host := range s.Hosts() {
		if host.Backend != nil {
			standins = append(standins, host.Backend)
		}
	}
	for _, standin := range standins {
		if err := standin.Start(); err != nil {
			return err
		}
	}
	for _, standin := range standins {
		if err := standin.awaitListening(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *Standin) awaitListening(ctx context.Context) error {
	return Eventually(ctx, func() error {
		conn, err := net.Dial("tcp", s.Address)
		if err != nil {
			return fmt.Errorf("site: %s: %w", s.Name, err)
		}
		return conn.Close()
	})
}

func (s *Site) startHosts(ctx context.Context) error {
	for _, host := range s.Entries {
		if err := s.writeEntrySettings(host); err != nil {
			return err
		}
	}
	for _, host := range append(append([]*Host{}, s.Runners...), s.Services...) {
		if err := s.writeAgentSettings(host); err != nil {
			return err
		}
	}
	for _, host := range s.Hosts() {
		if err := host.Start(); err != nil {
			return err
		}
	}
	for _, host := range s.Hosts() {
		if err := host.await(ctx, "/healthz"); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until the host's process reports that it is ready.
func (h *Host) AwaitReady(ctx context.Context) error { return h.await(ctx, "/readyz") }

func (h *Host) await(ctx context.Context, path string) error {
	return Eventually(ctx, func() error {
		status, err := get(ctx, "http://"+h.Admin+path)
		if err != nil {
			return fmt.Errorf("site: %s: %w", h.ID, err)
		}
		if status != http.StatusOK {
			return fmt.Errorf("site: %s: %s returns status %d", h.ID, path, status)
		}
		return nil
	})
}

func get(ctx context.Context, url string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func (s *Site) awaitReady(ctx context.Context) error {
	for _, host := range s.Hosts() {
		if err := host.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// awaitPermits waits until each entry has a permitted runner for each model.
func (s *Site) awaitPermits(ctx context.Context) error {
	snapshot, err := s.Lists(ctx, s.Entries[0])
	if err != nil {
		return err
	}
	for _, model := range snapshot.Allowances.Models {
		if err := s.AwaitModel(ctx, model.Name, model.Version); err != nil {
			return err
		}
	}
	return nil
}

// AwaitModel waits until each entry has a permitted runner for a model.
func (s *Site) AwaitModel(ctx context.Context, model, version string) error {
	for _, entry := range s.Entries {
		if err := Eventually(ctx, func() error { return s.checkPermit(ctx, entry, model, version) }); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) checkPermit(ctx context.Context, entry *Host, model, version string) error {
	status, err := s.Status(ctx, entry)
	if err != nil {
		return err
	}
	for _, modelStatus := range status.Models {
		if modelStatus.Model == model && modelStatus.Version == version && modelStatus.Permitted > 0 {
			return nil
		}
	}
	return fmt.Errorf("site: %s: no permit for %s@%s", entry.ID, model, version)
}

// StartSecond starts a second process with a host's settings, as a platform does that
// assumes that the first one is dead.
func (s *Site) StartSecond(host *Host) (*Process, error) {
	second := s.addProcess(fmt.Sprintf("%s-second-%d", host.ID, len(s.processes)), host.path, host.args)
	return second, second.Start()
}

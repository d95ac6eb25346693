package settings

import (
	"fmt"
	"os"
	"time"

	"teaselgauge.example/teaselgauge/pkg/schema"
)

// Defaults of settings that are omitted or zero.
const (
	DefaultKeyValueTimeout = 2 * time.Second
	DefaultHostListPoll    = time.Second
	DefaultLogLevel        = "info"

	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxRequests    = 8192
	DefaultMaxConnections = 16384
	DefaultDeadline       = time.Minute
	DefaultMaxDeadline    = time.Hour
	DefaultDrain          = 10 * time.Minute

	DefaultLoadsPerSecond     = 4.0
	DefaultMaxConcurrentLoads = 4

	DefaultServiceSlots   = 8
	DefaultAgentMaxQueued = 1024

	DefaultGatewayDrain = 8 * time.Second
	// DefaultHeartbeat is how often backend servers write their registrations.
	DefaultHeartbeat   = time.Second
	DefaultRetryRatio  = 0.2
	DefaultRetrySlack  = 20.0
	DefaultRetryWindow = 10 * time.Second
)

// LoadEntry loads and validates the settings of teaselgauge-entry and fills in the
// defaults. The error lists all problems.
func LoadEntry(path string) (Entry, error) { return load(path, ParseEntry) }

// LoadAgent loads and validates the settings of teaselgauge-agent and fills in the
// defaults. The error lists all problems.
func LoadAgent(path string) (Agent, error) { return load(path, ParseAgent) }

// LoadGateway is like LoadEntry, for an entry in front of an external platform.
func LoadGateway(path string) (Gateway, error) { return load(path, ParseGateway) }

// LoadRunner is like LoadAgent, for an agent next to a model runner of an external
// platform.
func LoadRunner(path string) (Runner, error) { return load(path, ParseRunner) }

func load[T any](path string, parse func([]byte) (T, error)) (T, error) {
	var none T
	data, err := os.ReadFile(path)
	if err != nil {
		return none, fmt.Errorf("settings: %w", err)
	}
	loaded, err := parse(data)
	if err != nil {
		return none, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return loaded, nil
}

// ParseEntry is like LoadEntry, for the file's content. Its error is a *schema.Error.
func ParseEntry(data []byte) (Entry, error) {
	return parse(data, (*Entry).fillDefaults, entryProblems)
}

// ParseAgent is like LoadAgent, for the file's content. Its error is a *schema.Error.
func ParseAgent(data []byte) (Agent, error) {
	return parse(data, (*Agent).fillDefaults, agentProblems)
}

// ParseGateway is like LoadGateway, for the file's content. Its error is a
// *schema.Error.
func ParseGateway(data []byte) (Gateway, error) {
	return parse(data, (*Gateway).fillDefaults, gatewayProblems)
}

// ParseRunner is like LoadRunner, for the file's content. Its error is a
// *schema.Error.
func ParseRunner(data []byte) (Runner, error) {
	return parse(data, (*Runner).fillDefaults, func(*Runner) []schema.Problem { return nil })
}

func parse[T any](data []byte, fillDefaults func(*T), problems func(*T) []schema.Problem) (T, error) {
	var none, parsed T
	if err := schema.Decode(data, &parsed); err != nil {
		return none, err
	}
	fillDefaults(&parsed)
	if err := check(&parsed, problems(&parsed)); err != nil {
		return none, err
	}
	return parsed, nil
}

func (e *Entry) fillDefaults() {
	e.KeyValue.fillDefaults()
	e.HostList.fillDefaults()
	e.Log.fillDefaults()
	e.Limits.fillDefaults()
	e.WeightStore.fillDefaults()
}

func (a *Agent) fillDefaults() {
	a.KeyValue.fillDefaults()
	a.HostList.fillDefaults()
	a.Log.fillDefaults()
	a.Limits.fillDefaults()
	a.WeightStore.fillDefaults()
	if a.Backend.Kind == BackendService {
		setDefault(&a.Backend.Slots, DefaultServiceSlots)
	}
}

func (g *Gateway) fillDefaults() {
	setDefault(&g.DrainMillis, millis(DefaultGatewayDrain))
	setDefault(&g.HeartbeatMillis, millis(DefaultHeartbeat))
	setDefault(&g.Retries.Ratio, DefaultRetryRatio)
	setDefault(&g.Retries.Slack, DefaultRetrySlack)
	setDefault(&g.Retries.WindowSeconds, DefaultRetryWindow.Seconds())
	g.Log.fillDefaults()
}

func (r *Runner) fillDefaults() { r.Log.fillDefaults() }

func (k *KeyValue) fillDefaults() {
	setDefault(&k.TimeoutMillis, millis(DefaultKeyValueTimeout))
}

func (h *HostList) fillDefaults() {
	setDefault(&h.PollMillis, millis(DefaultHostListPoll))
}

func (w *WeightStore) fillDefaults() {
	setDefault(&w.LoadsPerSecond, DefaultLoadsPerSecond)
	setDefault(&w.MaxConcurrentLoads, DefaultMaxConcurrentLoads)
}

func (l *Log) fillDefaults() {
	setDefault(&l.Level, DefaultLogLevel)
}

func (l *EntryLimits) fillDefaults() {
	setDefault(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&l.MaxRequests, DefaultMaxRequests)
	setDefault(&l.MaxConnections, DefaultMaxConnections)
	setDefault(&l.DefaultDeadlineMillis, millis(DefaultDeadline))
	setDefault(&l.MaxDeadlineMillis, millis(DefaultMaxDeadline))
	setDefault(&l.DrainMillis, millis(DefaultDrain))
}

func (l *AgentLimits) fillDefaults() {
	setDefault(&l.MaxQueued, DefaultAgentMaxQueued)
	setDefault(&l.DrainMillis, millis(DefaultDrain))
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func millis(d time.Duration) int {
	return int(d.Milliseconds())
}

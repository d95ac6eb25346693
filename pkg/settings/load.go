package settings

import (
	"fmt"
	"os"
	"time"

	"teaselgauge.example/teaselgauge/pkg/schema"
)

// The defaults of settings that are left out or zero.
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

	DefaultLoadsPerSecond = 4.0
	DefaultLoadsAtOnce    = 4

	DefaultServiceSlots   = 8
	DefaultAgentMaxQueued = 1024
)

// LoadEntry reads and checks the settings of teaselgauge-entry and fills in the
// defaults. The error lists all problems.
func LoadEntry(path string) (Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, fmt.Errorf("settings: %w", err)
	}
	entry, err := ParseEntry(data)
	if err != nil {
		return Entry{}, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return entry, nil
}

// LoadAgent reads and checks the settings of teaselgauge-agent and fills in the
// defaults. The error lists all problems.
func LoadAgent(path string) (Agent, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Agent{}, fmt.Errorf("settings: %w", err)
	}
	agent, err := ParseAgent(data)
	if err != nil {
		return Agent{}, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return agent, nil
}

// ParseEntry is LoadEntry on the file's content. Its error is a *schema.Error.
func ParseEntry(data []byte) (Entry, error) {
	var entry Entry
	if err := schema.Decode(data, &entry); err != nil {
		return Entry{}, err
	}
	entry.fillDefaults()
	if err := check(&entry, entryProblems(&entry)); err != nil {
		return Entry{}, err
	}
	return entry, nil
}

// ParseAgent is LoadAgent on the file's content. Its error is a *schema.Error.
func ParseAgent(data []byte) (Agent, error) {
	var agent Agent
	if err := schema.Decode(data, &agent); err != nil {
		return Agent{}, err
	}
	agent.fillDefaults()
	if err := check(&agent, agentProblems(&agent)); err != nil {
		return Agent{}, err
	}
	return agent, nil
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

func (k *KeyValue) fillDefaults() {
	setDefault(&k.TimeoutMillis, millis(DefaultKeyValueTimeout))
}

func (h *HostList) fillDefaults() {
	setDefault(&h.PollMillis, millis(DefaultHostListPoll))
}

func (w *WeightStore) fillDefaults() {
	setDefault(&w.LoadsPerSecond, DefaultLoadsPerSecond)
	setDefault(&w.LoadsAtOnce, DefaultLoadsAtOnce)
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

package site

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Options describe a site.
type Options struct {
	// Region names the region of all hosts.
	Region string `json:"region"`
	// FailureDomains are assigned to the hosts in turn.
	FailureDomains []string `json:"failure_domains"`
	// Entries, Runners and Services are the numbers of hosts.
	Entries  int `json:"entries"`
	Runners  int `json:"runners"`
	Services int `json:"services"`
	// ServiceName names the plain service behind all service hosts.
	ServiceName string `json:"service_name"`
	// RunnerMemoryMiB is the accelerator memory of each runner.
	RunnerMemoryMiB int64 `json:"runner_memory_mib"`
	// CheckFences makes the engines refuse orders with outdated fencing tokens.
	CheckFences bool `json:"check_fences"`
	// EngineFlags and WeightStoreFlags are additional flags of the stand-ins.
	EngineFlags      []string `json:"engine_flags,omitempty"`
	WeightStoreFlags []string `json:"weight_store_flags,omitempty"`
	// HostListLagMillis is the delay, in milliseconds, until a change appears in the
	// host list.
	HostListLagMillis int `json:"host_list_lag_ms,omitempty"`
	// HostListPollMillis is the interval between reads of the host list, in
	// milliseconds; zero means 250.
	HostListPollMillis int `json:"host_list_poll_ms,omitempty"`
	// BasePort is the first of consecutive ports; zero means any free ports.
	BasePort int `json:"base_port,omitempty"`
	// PlansFile and AllowancesFile are the operators' lists; empty means those of
	// DefaultLists.
	PlansFile      string `json:"plans_file,omitempty"`
	AllowancesFile string `json:"allowances_file,omitempty"`
	// KeyValueTimeoutMillis is the timeout of a call to the key-value service, in
	// milliseconds; zero means the programs' default.
	KeyValueTimeoutMillis int `json:"key_value_timeout_ms,omitempty"`
	// LogLevel is the log level of the programs.
	LogLevel string `json:"log_level,omitempty"`
}

// DefaultOptions returns a small site: 2 entries, 3 runners and 1 service host.
func DefaultOptions() Options {
	return Options{
		Region:          "nl-west",
		FailureDomains:  []string{"fd-1", "fd-2", "fd-3", "fd-4"},
		Entries:         2,
		Runners:         3,
		Services:        1,
		ServiceName:     "orders",
		RunnerMemoryMiB: 81920,
		CheckFences:     true,
		LogLevel:        "debug",
	}
}

// ReadOptions reads options from a JSON file. Options missing from it have their
// values in DefaultOptions.
func ReadOptions(path string) (Options, error) {
	options := DefaultOptions()
	data, err := os.ReadFile(path)
	if err != nil {
		return Options{}, fmt.Errorf("site: options: %w", err)
	}
	if err := json.Unmarshal(data, &options); err != nil {
		return Options{}, fmt.Errorf("site: options %s: %w", path, err)
	}
	return options, nil
}

func (o Options) failureDomain(i int) string {
	return o.FailureDomains[i%len(o.FailureDomains)]
}

func (o Options) hostListLag() time.Duration {
	return time.Duration(o.HostListLagMillis) * time.Millisecond
}

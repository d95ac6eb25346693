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
	// FailureDomains are given to the hosts in turn.
	FailureDomains []string `json:"failure_domains"`
	// Entries, Runners and Services are the numbers of hosts.
	Entries  int `json:"entries"`
	Runners  int `json:"runners"`
	Services int `json:"services"`
	// ServiceName names the plain service behind all service hosts.
	ServiceName string `json:"service_name"`
	// RunnerMemoryMiB is the accelerator memory of each runner.
	RunnerMemoryMiB int64 `json:"runner_memory_mib"`
	// CheckFences makes the engines refuse old fencing numbers.
	CheckFences bool `json:"check_fences"`
	// EngineFlags and WeightStoreFlags are passed on to the stand-ins.
	EngineFlags      []string `json:"engine_flags,omitempty"`
	WeightStoreFlags []string `json:"weight_store_flags,omitempty"`
	// HostListLagMillis is the lag of the list of hosts, in milliseconds.
	HostListLagMillis int `json:"host_list_lag_ms,omitempty"`
	// HostListPollMillis is the time between two reads of the list of hosts, in
	// milliseconds; zero means 250.
	HostListPollMillis int `json:"host_list_poll_ms,omitempty"`
	// BasePort is the first of the consecutive ports; zero means free ports.
	BasePort int `json:"base_port,omitempty"`
	// PlansFile and AllowancesFile are the operators' lists; empty means those
	// of DefaultLists.
	PlansFile      string `json:"plans_file,omitempty"`
	AllowancesFile string `json:"allowances_file,omitempty"`
	// KeyValueTimeoutMillis bounds a call of the key-value service, in
	// milliseconds; zero means the product's default.
	KeyValueTimeoutMillis int `json:"key_value_timeout_ms,omitempty"`
	// LogLevel is the level of the product's processes.
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

// ReadOptions reads options from a JSON file. What it leaves out is as in
// DefaultOptions.
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

package site

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

const (
	keyPrefix                 = "/teaselgauge/site/"
	defaultHostListPollMillis = 250
	adminName                 = "operator"
)

// Host is a host of the site with its process.
type Host struct {
	*Process
	ID            string
	FailureDomain string
	// Internal is the UDP address of the internal protocol.
	Internal string
	// Admin is the address for health checks, state dump and administration.
	Admin string
	// Callers is an entry's address for callers.
	Callers string
	// InstanceLock is an agent's instance lock address.
	InstanceLock string
	// Backend is the stand-in behind an agent.
	Backend *Standin
	// Services names the plain services behind an agent.
	Services []string
}

// Standin is a stand-in for an outside system, with its process.
type Standin struct {
	*Process
	Address string
}

// URL returns the base URL of the stand-in.
func (s *Standin) URL() string { return "http://" + s.Address }

// listedHost returns the host as it appears in the platform's host list.
func (h *Host) listedHost(region string, state hostlist.State) hostlist.Host {
	role := hostlist.RoleEntry
	if h.Backend != nil {
		role = hostlist.RoleAgent
	}
	return hostlist.Host{
		ID: h.ID, Role: role, State: state, FailureDomain: h.FailureDomain, Region: region,
		Address: h.Internal, Services: h.Services,
	}
}

func (s *Site) tls(id string) settings.InternalTLS {
	return settings.InternalTLS{
		CAFile:   keys.CertPath(s.dir, "ca"),
		CertFile: keys.CertPath(s.dir, id),
		KeyFile:  keys.KeyPath(s.dir, id),
	}
}

func (s *Site) keyValueSettings() settings.KeyValue {
	return settings.KeyValue{
		Endpoints:     []string{s.KeyValue.URL()},
		Prefix:        keyPrefix,
		TimeoutMillis: s.options.KeyValueTimeoutMillis,
	}
}

func (s *Site) hostListSettings() settings.HostList {
	return settings.HostList{URL: s.HostList.URL() + "/hosts", PollMillis: cmp.Or(s.options.HostListPollMillis, defaultHostListPollMillis)}
}

func (s *Site) hostSettings(h *Host) settings.Host {
	return settings.Host{ID: h.ID, Region: s.options.Region, FailureDomain: h.FailureDomain}
}

func (s *Site) writeEntrySettings(h *Host) error {
	return s.writeJSON(h.ID+".json", settings.Entry{
		Host:     s.hostSettings(h),
		Listen:   settings.EntryListen{Callers: h.Callers, Admin: h.Admin, Internal: h.Internal},
		TLS:      s.tls(h.ID),
		KeyValue: s.keyValueSettings(),
		HostList: s.hostListSettings(),
		Admin: []settings.AdminCredential{{
			Name: adminName, TokenHash: keys.HashAPIKey(s.adminToken), Role: settings.AdminEditor,
		}},
		Log: settings.Log{Level: s.options.LogLevel},
	})
}

func (s *Site) writeAgentSettings(h *Host) error {
	backend := settings.Backend{Kind: settings.BackendEngine, URL: h.Backend.URL(), ChecksFences: s.options.CheckFences}
	if len(h.Services) > 0 {
		backend = settings.Backend{Kind: settings.BackendService, URL: h.Backend.URL(), Services: h.Services}
	}
	return s.writeJSON(h.ID+".json", settings.Agent{
		Host:     s.hostSettings(h),
		Listen:   settings.AgentListen{Internal: h.Internal, Admin: h.Admin, InstanceLock: h.InstanceLock},
		TLS:      s.tls(h.ID),
		KeyValue: s.keyValueSettings(),
		HostList: s.hostListSettings(),
		Backend:  backend,
		Log:      settings.Log{Level: s.options.LogLevel},
	})
}

func (s *Site) writeJSON(name string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("site: encode %s: %w", name, err)
	}
	if err := os.WriteFile(filepath.Join(s.dir, name), append(data, '\n'), 0o600); err != nil {
		return fmt.Errorf("site: %w", err)
	}
	return nil
}

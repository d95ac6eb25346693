package fleet

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Table looks up the routes and services of a configuration.
type Table struct {
	configuration *Configuration
	// hosts maps each host to its routes, sorted by descending length of the prefix.
	hosts    map[string][]*Route
	services map[string]*Service
	// organisations maps the digest of each key to the organisation that holds it.
	organisations map[string]*Organisation
}

// NewTable indexes a configuration.
func NewTable(configuration *Configuration) *Table {
	t := &Table{
		configuration: configuration,
		hosts:         make(map[string][]*Route),
		services:      make(map[string]*Service, len(configuration.Services)),
		organisations: make(map[string]*Organisation),
	}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range configuration.Services {
		t.services[configuration.Services[i].Name] = &configuration.Services[i]
	}
	for i := range configuration.Organisations {
		organisation := &configuration.Organisations[i]
		for _, hash := range organisation.KeyHashes {
			t.organisations[hash] = organisation
		}
	}
	return t
}

// Configuration returns the indexed configuration.
func (t *Table) Configuration() *Configuration { return t.configuration }

// Match returns the host's route with the longest prefix that matches the path, or
// nil. The host may include a port.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns a listed service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// HasOrganisations reports whether callers identify themselves by keys.
func (t *Table) HasOrganisations() bool { return len(t.configuration.Organisations) > 0 }

// Organisation returns the organisation that holds a key, by the key's digest, or nil.
// That the digests are looked up reveals nothing about the keys by its duration.
func (t *Table) Organisation(keyHash string) *Organisation { return t.organisations[keyHash] }

// Engines returns the services with model runners, in configuration order.
func (t *Table) Engines() []*Service {
	var engines []*Service
	for i := range t.configuration.Services {
		if service := &t.configuration.Services[i]; service.Engine != nil {
			engines = append(engines, service)
		}
	}
	return engines
}

// Model returns a model provided by one of the route's destinations, or nil.
func (t *Table) Model(route *Route, name string) *Model {
	for _, destination := range route.Destinations {
		service := t.services[destination.Service]
		if service == nil || service.Engine == nil {
			continue
		}
		if model := service.Engine.Model(name); model != nil {
			return model
		}
	}
	return nil
}

func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

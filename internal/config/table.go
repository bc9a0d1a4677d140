package config

import (
	"strings"

	"curlewreach/proto/wire"
)

// RoutingTable looks up the routes and services of one configuration. It is immutable.
type RoutingTable struct {
	configuration *wire.Configuration
	hosts         map[string]*hostRoutes
	services      map[string]*wire.ConfigurationService
}

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	byPrefix      map[string]*Route
	longestPrefix int // length in bytes
}

// NewRoutingTable returns the table of a configuration, which must not be modified afterwards.
func NewRoutingTable(c *wire.Configuration) *RoutingTable {
	t := &RoutingTable{configuration: c, hosts: map[string]*hostRoutes{}, services: make(map[string]*wire.ConfigurationService, len(c.GetServices()))}
	for _, service := range c.GetServices() {
		t.services[service.GetName()] = service
	}
	for _, raw := range c.GetRoutes() {
		host := normalizeHost(raw.GetHost())
		routes := t.hosts[host]
		if routes == nil {
			routes = &hostRoutes{byPrefix: map[string]*Route{}}
			t.hosts[host] = routes
		}
		routes.byPrefix[raw.GetPrefix()] = NewRoute(raw)
		routes.longestPrefix = max(routes.longestPrefix, len(raw.GetPrefix()))
	}
	return t
}

// Serial returns the serial of the configuration.
func (t *RoutingTable) Serial() uint64 { return t.configuration.GetSerial() }

// Configuration returns the configuration that the table was built from. It must not be modified.
func (t *RoutingTable) Configuration() *wire.Configuration { return t.configuration }

// Find returns the host's route with the longest prefix of the path.
func (t *RoutingTable) Find(host, path string) (*Route, bool) {
	routes := t.hosts[normalizeHost(host)]
	if routes == nil {
		return nil, false
	}
	path = path[:min(len(path), routes.longestPrefix)]
	for {
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return nil, false
		}
		if route, known := routes.byPrefix[path[:slash+1]]; known {
			return route, true
		}
		path = path[:slash]
	}
}

// Service returns a service by its name.
func (t *RoutingTable) Service(name string) (*wire.ConfigurationService, bool) {
	service, known := t.services[name]
	return service, known
}

// normalizeHost returns the host in lower case and without its port. It leaves the colons of IPv6 addresses.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && strings.Trim(host[colon+1:], "0123456789") == "" {
		if !strings.Contains(host[:colon], ":") || host[colon-1] == ']' {
			host = host[:colon]
		}
	}
	return strings.ToLower(host)
}

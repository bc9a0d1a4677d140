package config

import (
	"strings"

	"curlewreach/proto/wire"
)

// RoutingTable looks up the routes and services of one configuration. It doesn't
// change.
type RoutingTable struct {
	configuration *wire.Configuration
	hosts         map[string]*host
	services      map[string]*wire.ConfigurationService
}

type host struct {
	prefixes map[string]*Route
	longest  int
}

// NewRoutingTable prepares a configuration, which must not be changed afterwards.
func NewRoutingTable(c *wire.Configuration) *RoutingTable {
	t := &RoutingTable{configuration: c, hosts: map[string]*host{}, services: make(map[string]*wire.ConfigurationService, len(c.GetServices()))}
	for _, service := range c.GetServices() {
		t.services[service.GetName()] = service
	}
	for _, raw := range c.GetRoutes() {
		name := hostOf(raw.GetHost())
		at := t.hosts[name]
		if at == nil {
			at = &host{prefixes: map[string]*Route{}}
			t.hosts[name] = at
		}
		at.prefixes[raw.GetPrefix()] = NewRoute(raw)
		at.longest = max(at.longest, len(raw.GetPrefix()))
	}
	return t
}

// Serial returns the number of the configuration.
func (t *RoutingTable) Serial() uint64 { return t.configuration.GetSerial() }

// Configuration returns the configuration that the table was made from. It must not be
// changed.
func (t *RoutingTable) Configuration() *wire.Configuration { return t.configuration }

// Find returns the route of the host whose prefix is the longest that begins
// the path.
func (t *RoutingTable) Find(host, path string) (*Route, bool) {
	at := t.hosts[hostOf(host)]
	if at == nil {
		return nil, false
	}
	path = path[:min(len(path), at.longest)]
	for {
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return nil, false
		}
		if route, known := at.prefixes[path[:slash+1]]; known {
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

func hostOf(name string) string {
	if colon := strings.LastIndexByte(name, ':'); colon >= 0 && strings.Trim(name[colon+1:], "0123456789") == "" {
		if !strings.Contains(name[:colon], ":") || name[colon-1] == ']' {
			name = name[:colon]
		}
	}
	return strings.ToLower(name)
}

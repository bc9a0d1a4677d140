// Package bundle implements the configuration of a fleet of listed machines: a
// numbered, signed bundle of machines, shares, services, routes and tracing params.
// It validates bundles, applies changes, signs and verifies, extracts the slice that
// a node needs, and matches requests to routes. docs/bundle.md compares the
// alternatives that were considered.
package bundle

import (
	"iter"
	"slices"
	"strings"
	"time"

	"curlewreach/proto/wire"
)

// Bundle is an indexed bundle, or a node's slice of one. It is immutable.
type Bundle struct {
	Serial   uint64
	Sealed   *wire.Sealed
	Raw      *wire.Bundle
	machines map[string]*wire.Machine
	services map[string]*wire.Service
	shares   map[string]*wire.Share
	groups   map[string]string
	routes   *routeTree
}

// RouteMatch is the route of a request, its service, and the group whose share the
// request counts against.
type RouteMatch struct {
	Service *wire.Service
	Route   *wire.Route
	Group   string
}

// Identifier returns "service/route", which is unique in the bundle.
func (m RouteMatch) Identifier() string { return m.Service.Name + "/" + m.Route.Name }

// Deadline returns the time that a request of the route may take.
func (m RouteMatch) Deadline() time.Duration { return m.Route.GetDeadline().AsDuration() }

// Index indexes a decoded bundle or slice. Neither argument may be modified
// afterwards.
func Index(sealed *wire.Sealed, raw *wire.Bundle) *Bundle {
	b := &Bundle{
		Serial: raw.Serial, Sealed: sealed, Raw: raw,
		machines: map[string]*wire.Machine{}, services: map[string]*wire.Service{},
		shares: map[string]*wire.Share{}, groups: map[string]string{}, routes: newRouteTree(),
	}
	for _, machine := range raw.GetCommon().GetMachines() {
		b.machines[machine.Name] = machine
	}
	for _, share := range raw.GetCommon().GetShares() {
		b.shares[share.Group] = share
		for _, service := range share.Services {
			b.groups[service] = share.Group
		}
	}
	for _, service := range raw.Services {
		b.services[service.Name] = service
		for _, route := range service.Routes {
			if segments, ok := splitPath(route.Path); ok {
				b.routes.add(route.Method, segments, service.Name+"/"+route.Name, service, route)
			}
		}
	}
	return b
}

// Tracing returns the tracing params, or nil if there are none.
func (b *Bundle) Tracing() *wire.Tracing { return b.Raw.GetCommon().GetTracing() }

// Machine returns a machine by its name, or nil.
func (b *Bundle) Machine(name string) *wire.Machine { return b.machines[name] }

// Service returns a service by its name, or nil.
func (b *Bundle) Service(name string) *wire.Service { return b.services[name] }

// Share returns the share of a group, or nil.
func (b *Bundle) Share(group string) *wire.Share { return b.shares[group] }

// Machines iterates over the machines in the order of the bundle.
func (b *Bundle) Machines() iter.Seq[*wire.Machine] {
	return slices.Values(b.Raw.GetCommon().GetMachines())
}

// ApplicationMachines returns the number of application machines.
func (b *Bundle) ApplicationMachines() int { return countApplicationMachines(b.Raw) }

// Match returns the route of a request by method and path, and whether there is
// one. In a bundle that passed Check at most one route matches.
func (b *Bundle) Match(method, path string) (RouteMatch, bool) {
	segments, ok := splitPath(path)
	if !ok {
		return RouteMatch{}, false
	}
	found := b.routes.find(method, segments)
	if found == nil {
		return RouteMatch{}, false
	}
	return b.routeMatch(found.service, found.route), true
}

// Route returns a route by its service and name, and whether it exists.
func (b *Bundle) Route(service, route string) (RouteMatch, bool) {
	found := b.services[service]
	for _, candidate := range found.GetRoutes() {
		if candidate.Name == route {
			return b.routeMatch(found, candidate), true
		}
	}
	return RouteMatch{}, false
}

// HasRoute reports whether the bundle has the route with the identifier
// "service/route".
func (b *Bundle) HasRoute(identifier string) bool {
	service, route, _ := strings.Cut(identifier, "/")
	_, known := b.Route(service, route)
	return known
}

// routeMatch returns the match for a route. Its group is the route's own or, if that
// is empty, the one whose share lists the service.
func (b *Bundle) routeMatch(service *wire.Service, route *wire.Route) RouteMatch {
	group := route.Group
	if group == "" {
		group = b.groups[service.Name]
	}
	return RouteMatch{Service: service, Route: route, Group: group}
}

// PathParams returns the path's segments that match placeholders in the template of
// the route, by the names of the placeholders.
func (b *Bundle) PathParams(match RouteMatch, path string) map[string]string {
	template, _ := splitPath(match.Route.Path)
	segments, _ := splitPath(path)
	params := map[string]string{}
	for i, segment := range template {
		if isPlaceholder(segment) && i < len(segments) {
			params[segment[1:len(segment)-1]] = segments[i]
		}
	}
	return params
}

// NeededServices returns a function that reports whether a node needs to know a
// service: one with an instance beside the node, one that these instances call in
// turn, or one listed in the machine's calls. A node that is not in the bundle, or
// whose machine lists no calls, needs all services.
func (b *Bundle) NeededServices(node string, instances []string) func(service string) bool {
	machine := b.machines[node]
	needed := map[string]bool{}
	add := func(name string) {
		needed[name] = true
		for _, route := range b.services[name].GetRoutes() {
			for _, further := range route.Further {
				needed[further.Service] = true
			}
		}
	}
	for _, name := range instances {
		add(name)
	}
	for _, name := range machine.GetCalls() {
		needed[name] = true
	}
	all := machine == nil || len(machine.Calls) == 0
	return func(service string) bool { return all || needed[service] }
}

// Package bundle holds the configuration of a fleet of listed machines: one
// numbered, signed bundle of machines, shares, services, routes and tracing
// params. It checks one, applies a change, signs and verifies, cuts out what a
// node needs, and matches requests. docs/bundle.md has the ways weighed.
package bundle

import (
	"iter"
	"slices"
	"strings"
	"time"

	"curlewreach/proto/wire"
)

// Bundle is an indexed bundle, or a node's slice of one. It doesn't change.
type Bundle struct {
	Serial   uint64
	Sealed   *wire.Sealed
	Raw      *wire.Bundle
	machines map[string]*wire.Machine
	services map[string]*wire.Service
	shares   map[string]*wire.Share
	owners   map[string]string
	tree     *tree
}

// RouteMatch is where a request leads: a route, its service, and the group whose share
// it counts against.
type RouteMatch struct {
	Service *wire.Service
	Route   *wire.Route
	Group   string
}

// Identifier returns "service/route", unique in the bundle.
func (w RouteMatch) Identifier() string { return w.Service.Name + "/" + w.Route.Name }

// Deadline returns the time a request of the route may take.
func (w RouteMatch) Deadline() time.Duration { return w.Route.GetDeadline().AsDuration() }

// Index indexes an opened bundle or slice. Both arguments must not be changed
// afterwards.
func Index(sealed *wire.Sealed, raw *wire.Bundle) *Bundle {
	b := &Bundle{
		Serial: raw.Serial, Sealed: sealed, Raw: raw,
		machines: map[string]*wire.Machine{}, services: map[string]*wire.Service{},
		shares: map[string]*wire.Share{}, owners: map[string]string{}, tree: newTree(),
	}
	for _, machine := range raw.GetCommon().GetMachines() {
		b.machines[machine.Name] = machine
	}
	for _, share := range raw.GetCommon().GetShares() {
		b.shares[share.Group] = share
		for _, service := range share.Services {
			b.owners[service] = share.Group
		}
	}
	for _, service := range raw.Services {
		b.services[service.Name] = service
		for _, route := range service.Routes {
			if segments, ok := split(route.Path); ok {
				b.tree.add(route.Method, segments, service.Name+"/"+route.Name, service, route)
			}
		}
	}
	return b
}

// Tracing returns the tracing params.
func (b *Bundle) Tracing() *wire.Tracing { return b.Raw.GetCommon().GetTracing() }

// Machine returns a machine by its name, or nil.
func (b *Bundle) Machine(name string) *wire.Machine { return b.machines[name] }

// Service returns a service by its name, or nil.
func (b *Bundle) Service(name string) *wire.Service { return b.services[name] }

// Share returns a group's share, or nil.
func (b *Bundle) Share(group string) *wire.Share { return b.shares[group] }

// Machines iterates over all machines in the bundle's order.
func (b *Bundle) Machines() iter.Seq[*wire.Machine] {
	return slices.Values(b.Raw.GetCommon().GetMachines())
}

// ApplicationMachines returns the number of application machines.
func (b *Bundle) ApplicationMachines() int { return vanes(b.Raw) }

// Match finds the route of a request. Checked bundles have at most one.
func (b *Bundle) Match(method, path string) (RouteMatch, bool) {
	segments, ok := split(path)
	if !ok {
		return RouteMatch{}, false
	}
	found := b.tree.find(method, segments)
	if found == nil {
		return RouteMatch{}, false
	}
	return b.way(found.service, found.route), true
}

// Route finds a route by its service and name.
func (b *Bundle) Route(service, route string) (RouteMatch, bool) {
	found := b.services[service]
	for _, candidate := range found.GetRoutes() {
		if candidate.Name == route {
			return b.way(found, candidate), true
		}
	}
	return RouteMatch{}, false
}

// HasRoute reports whether the identifier is a route of the bundle.
func (b *Bundle) HasRoute(identifier string) bool {
	service, route, _ := strings.Cut(identifier, "/")
	_, known := b.Route(service, route)
	return known
}

func (b *Bundle) way(service *wire.Service, route *wire.Route) RouteMatch {
	group := route.Group
	if group == "" {
		group = b.owners[service.Name]
	}
	return RouteMatch{Service: service, Route: route, Group: group}
}

// PathParams returns what a path has in place of the placeholders of the route's
// template, by their names.
func (b *Bundle) PathParams(way RouteMatch, path string) map[string]string {
	template, _ := split(way.Route.Path)
	segments, _ := split(path)
	holes := map[string]string{}
	for i, segment := range template {
		if hole(segment) && i < len(segments) {
			holes[segment[1:len(segment)-1]] = segments[i]
		}
	}
	return holes
}

// NeededServices returns which services a node needs to know: those with an instance
// beside it (seated), those these call further, and those that the machine's
// own visitors call, which are all if it lists none.
func (b *Bundle) NeededServices(node string, seated []string) func(service string) bool {
	machine := b.machines[node]
	wanted := map[string]bool{}
	add := func(name string) {
		wanted[name] = true
		for _, route := range b.services[name].GetRoutes() {
			for _, further := range route.Further {
				wanted[further.Service] = true
			}
		}
	}
	for _, name := range seated {
		add(name)
	}
	for _, name := range machine.GetCalls() {
		wanted[name] = true
	}
	every := machine == nil || len(machine.Calls) == 0
	return func(service string) bool { return every || wanted[service] }
}

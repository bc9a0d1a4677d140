package bundle

import (
	"iter"
	"slices"
	"strings"
	"time"

	"curlewreach/proto/wire"
)

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

type Way struct {
	Service *wire.Service
	Route   *wire.Route
	Group   string
}

func (w Way) Identifier() string { return w.Service.Name + "/" + w.Route.Name }

func (w Way) Deadline() time.Duration { return w.Route.GetDeadline().AsDuration() }

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

func (b *Bundle) Tracing() *wire.Tracing { return b.Raw.GetCommon().GetTracing() }

func (b *Bundle) Machine(name string) *wire.Machine { return b.machines[name] }

func (b *Bundle) Service(name string) *wire.Service { return b.services[name] }

func (b *Bundle) Share(group string) *wire.Share { return b.shares[group] }

func (b *Bundle) Machines() iter.Seq[*wire.Machine] {
	return slices.Values(b.Raw.GetCommon().GetMachines())
}

func (b *Bundle) Vanes() int { return vanes(b.Raw) }

func (b *Bundle) Match(method, path string) (Way, bool) {
	segments, ok := split(path)
	if !ok {
		return Way{}, false
	}
	found := b.tree.find(method, segments)
	if found == nil {
		return Way{}, false
	}
	return b.way(found.service, found.route), true
}

func (b *Bundle) Way(service, route string) (Way, bool) {
	found := b.services[service]
	for _, candidate := range found.GetRoutes() {
		if candidate.Name == route {
			return b.way(found, candidate), true
		}
	}
	return Way{}, false
}

func (b *Bundle) Names(identifier string) bool {
	service, route, _ := strings.Cut(identifier, "/")
	_, known := b.Way(service, route)
	return known
}

func (b *Bundle) way(service *wire.Service, route *wire.Route) Way {
	group := route.Group
	if group == "" {
		group = b.owners[service.Name]
	}
	return Way{Service: service, Route: route, Group: group}
}

func (b *Bundle) Holes(way Way, path string) map[string]string {
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

func (b *Bundle) Concerns(node string, seated []string) func(service string) bool {
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

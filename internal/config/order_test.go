package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

var (
	serviceNames = []string{"desk", "ledger", "archive", "gone"}
	routeNames   = []string{"search", "loan", "shelf", "report", ""}
	hosts        = []string{"a.example", "A.example", "a.example:80", "b.example", ""}
	prefixes     = []string{"/", "/books/", "/loans/", "books/", "/books"}
)

// mostly draws a value that is usually lawful, and now and then any other.
func mostly[T any](t *rapid.T, label string, lawful, any []T) T {
	if rapid.IntRange(0, 9).Draw(t, label+" spoilt") == 0 {
		return rapid.SampledFrom(any).Draw(t, label)
	}
	return rapid.SampledFrom(lawful).Draw(t, label)
}

func drawRoute(t *rapid.T, number int) *wire.ConfigurationRoute {
	label := fmt.Sprint("route ", number, " ")
	route := &wire.ConfigurationRoute{
		Name:     mostly(t, label+"name", routeNames[:4], routeNames),
		Host:     mostly(t, label+"host", []string{"a.example", "b.example", "c.example", "d.example"}, hosts),
		Prefix:   mostly(t, label+"prefix", prefixes[:3], prefixes),
		CutoffMs: mostly(t, label+"cutoff", []float64{500, 2000}, []float64{0, -1}),
		AimMs:    mostly(t, label+"aim", []float64{100, 200}, []float64{0, -1}),
		Tries:    mostly(t, label+"tries", []uint32{1, 2}, []uint32{0}),
	}
	if rapid.Bool().Draw(t, label+"split") {
		for part := range rapid.IntRange(1, 3).Draw(t, label+"parts") {
			route.Destinations = append(route.Destinations, &wire.Destination{
				Service: mostly(t, fmt.Sprint(label, "part ", part), serviceNames[:2], serviceNames),
				Weight:  mostly(t, fmt.Sprint(label, "weight ", part), []float64{1, 90}, []float64{0, -1}),
			})
		}
	}
	if len(route.Destinations) == 0 || rapid.IntRange(0, 4).Draw(t, label+"target") == 0 {
		name := mostly(t, label+"target name", serviceNames[:2], append(serviceNames, ""))
		route.Service = &name
	}
	return route
}

func drawRoutes(t *rapid.T, most int) (routes []*wire.ConfigurationRoute) {
	for number := range rapid.IntRange(0, most).Draw(t, "routes") {
		routes = append(routes, drawRoute(t, number))
	}
	return routes
}

func drawServices(t *rapid.T, least int) (services []*wire.ConfigurationService) {
	for _, name := range serviceNames[:rapid.IntRange(least, 3).Draw(t, "services")] {
		services = append(services, &wire.ConfigurationService{Name: name})
	}
	if rapid.IntRange(0, 15).Draw(t, "service twice") == 0 && len(services) > 0 {
		services = append(services, services[0])
	}
	return services
}

func drawWhole(t *rapid.T, serial, on uint64) *wire.Configuration {
	return &wire.Configuration{Serial: serial, Base: on, Routes: drawRoutes(t, 4), Services: drawServices(t, 2)}
}

func drawChange(t *rapid.T, serial, on uint64) *wire.ConfigurationChange {
	return &wire.ConfigurationChange{
		Serial: serial, Base: on, Routes: drawRoutes(t, 2), Services: drawServices(t, 0),
		DropRoutes:   rapid.SliceOfN(rapid.SampledFrom(routeNames[:4]), 0, 2).Draw(t, "routes removed"),
		DropServices: rapid.SliceOfN(rapid.SampledFrom(serviceNames), 0, 1).Draw(t, "services removed"),
	}
}

// isValid restates the operators' page: what makes a configuration invalid, in its own order and words.
func isValid(c *wire.Configuration) bool {
	if c.Serial == 0 {
		return false
	}
	var names, places, services []string
	for _, service := range c.Services {
		if service.Name == "" || slices.Contains(services, service.Name) {
			return false
		}
		services = append(services, service.Name)
	}
	for _, route := range c.Routes {
		host := strings.ToLower(strings.TrimSuffix(route.Host, ":80"))
		place := host + " " + route.Prefix
		wellFormed := route.Name != "" && host != "" && strings.HasPrefix(route.Prefix, "/") && strings.HasSuffix(route.Prefix, "/")
		if !wellFormed || route.Tries == 0 || route.CutoffMs <= 0 || route.AimMs <= 0 {
			return false
		}
		if slices.Contains(names, route.Name) || slices.Contains(places, place) {
			return false
		}
		names, places = append(names, route.Name), append(places, place)
		if !leadsSomewhere(route, services) {
			return false
		}
	}
	return true
}

func leadsSomewhere(route *wire.ConfigurationRoute, services []string) bool {
	if route.Service != nil && !slices.Contains(services, *route.Service) {
		return false
	}
	total := 0.0
	for _, part := range route.Destinations {
		if part.Weight < 0 || !slices.Contains(services, part.Service) {
			return false
		}
		total += part.Weight
	}
	return total > 0 || len(route.Destinations) == 0 && route.Service != nil
}

// changed restates what a change does: named items go, then others come or take the place of those of their name.
func changed(current *wire.Configuration, change *wire.ConfigurationChange) *wire.Configuration {
	next := proto.Clone(current).(*wire.Configuration)
	next.Serial, next.Base = change.Serial, change.Base
	next.Routes = slices.DeleteFunc(next.Routes, func(r *wire.ConfigurationRoute) bool { return slices.Contains(change.DropRoutes, r.Name) })
	next.Services = slices.DeleteFunc(next.Services, func(s *wire.ConfigurationService) bool { return slices.Contains(change.DropServices, s.Name) })
	for _, route := range change.Routes {
		if at := slices.IndexFunc(next.Routes, func(r *wire.ConfigurationRoute) bool { return r.Name == route.Name }); at >= 0 {
			next.Routes[at] = route
		} else {
			next.Routes = append(next.Routes, route)
		}
	}
	for _, service := range change.Services {
		if at := slices.IndexFunc(next.Services, func(s *wire.ConfigurationService) bool { return s.Name == service.Name }); at >= 0 {
			next.Services[at] = service
		} else {
			next.Services = append(next.Services, service)
		}
	}
	return next
}

// TestNextTakesWhatThePageAllowsAndNothingElse draws chains of orders, lawful and not, whole and by items, on the
// current configuration and on others, and compares each verdict with the plain restatement.
func TestNextTakesWhatThePageAllowsAndNothingElse(t *testing.T) {
	taken, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		current := &wire.Configuration{}
		for range rapid.IntRange(1, 8).Draw(t, "orders") {
			on := mostly(t, "base", []uint64{current.Serial}, []uint64{current.Serial + 1, current.Serial - 1, 0})
			serial := mostly(t, "serial", []uint64{current.Serial + 1, current.Serial + 4}, []uint64{current.Serial, current.Serial - 1, 0})
			order, expected := &wire.ConfigurationProposal{}, &wire.Configuration{}
			if rapid.Bool().Draw(t, "whole") {
				order.Configuration = drawWhole(t, serial, on)
				expected = order.Configuration
			} else {
				order.Change = drawChange(t, serial, on)
				expected = changed(current, order.Change)
			}
			before := proto.Clone(current)
			next, faults := ApplyProposal(current, order)
			lawful := on == current.Serial && serial > current.Serial && isValid(expected)
			switch {
			case !proto.Equal(before, current):
				t.Fatalf("the current configuration was changed by %v", order)
			case lawful != (len(faults) == 0):
				t.Fatalf("order %v on %v: lawful %v, but found %v", order, current, lawful, faults)
			case lawful != (next != nil):
				t.Fatalf("order %v on %v: lawful %v, but leads to %v", order, current, lawful, next)
			case lawful && !proto.Equal(next, expected):
				t.Fatalf("order %v on %v leads to %v, not to %v", order, current, next, expected)
			}
			if lawful {
				current = next
				taken++
			} else {
				refused++
			}
		}
	})
	if taken < 50 || refused < 50 {
		t.Fatalf("the draw is lopsided: %d taken, %d refused", taken, refused)
	}
}

// TestNextNamesEveryFault: an operator is told of all that is wrong at once, the stale base first.
func TestNextNamesEveryFault(t *testing.T) {
	current := &wire.Configuration{Serial: 5}
	_, faults := ApplyProposal(current, &wire.ConfigurationProposal{Configuration: &wire.Configuration{Serial: 4, Base: 3, Routes: []*wire.ConfigurationRoute{{Name: "loan"}}}})
	var kinds []base.Kind
	for _, each := range faults {
		kinds = append(kinds, each.Kind)
	}
	if len(kinds) < 6 || kinds[0] != base.StaleBase || kinds[1] != base.OutOfRange {
		t.Fatalf("found %v", faults)
	}
}

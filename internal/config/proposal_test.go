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

// drawMostlyValid usually draws one of the valid values, and sometimes one of the others.
func drawMostlyValid[T any](t *rapid.T, label string, valid, others []T) T {
	if rapid.IntRange(0, 9).Draw(t, label+" invalid") == 0 {
		return rapid.SampledFrom(others).Draw(t, label)
	}
	return rapid.SampledFrom(valid).Draw(t, label)
}

func drawRoute(t *rapid.T, number int) *wire.ConfigurationRoute {
	label := fmt.Sprint("route ", number, " ")
	route := &wire.ConfigurationRoute{
		Name:     drawMostlyValid(t, label+"name", routeNames[:4], routeNames),
		Host:     drawMostlyValid(t, label+"host", []string{"a.example", "b.example", "c.example", "d.example"}, hosts),
		Prefix:   drawMostlyValid(t, label+"prefix", prefixes[:3], prefixes),
		CutoffMs: drawMostlyValid(t, label+"cutoff", []float64{500, 2000}, []float64{0, -1}),
		AimMs:    drawMostlyValid(t, label+"aim", []float64{100, 200}, []float64{0, -1}),
		Tries:    drawMostlyValid(t, label+"tries", []uint32{1, 2}, []uint32{0}),
	}
	if rapid.Bool().Draw(t, label+"split") {
		for part := range rapid.IntRange(1, 3).Draw(t, label+"parts") {
			route.Destinations = append(route.Destinations, &wire.Destination{
				Service: drawMostlyValid(t, fmt.Sprint(label, "part ", part), serviceNames[:2], serviceNames),
				Weight:  drawMostlyValid(t, fmt.Sprint(label, "weight ", part), []float64{1, 90}, []float64{0, -1}),
			})
		}
	}
	if len(route.Destinations) == 0 || rapid.IntRange(0, 4).Draw(t, label+"target") == 0 {
		name := drawMostlyValid(t, label+"target name", serviceNames[:2], append(serviceNames, ""))
		route.Service = &name
	}
	return route
}

func drawRoutes(t *rapid.T, maxCount int) (routes []*wire.ConfigurationRoute) {
	for number := range rapid.IntRange(0, maxCount).Draw(t, "routes") {
		routes = append(routes, drawRoute(t, number))
	}
	return routes
}

func drawServices(t *rapid.T, minCount int) (services []*wire.ConfigurationService) {
	for _, name := range serviceNames[:rapid.IntRange(minCount, 3).Draw(t, "services")] {
		services = append(services, &wire.ConfigurationService{Name: name})
	}
	if rapid.IntRange(0, 15).Draw(t, "service twice") == 0 && len(services) > 0 {
		services = append(services, services[0])
	}
	return services
}

func drawConfiguration(t *rapid.T, serial, baseSerial uint64) *wire.Configuration {
	return &wire.Configuration{Serial: serial, Base: baseSerial, Routes: drawRoutes(t, 4), Services: drawServices(t, 2)}
}

func drawChange(t *rapid.T, serial, baseSerial uint64) *wire.ConfigurationChange {
	return &wire.ConfigurationChange{
		Serial: serial, Base: baseSerial, Routes: drawRoutes(t, 2), Services: drawServices(t, 0),
		DropRoutes:   rapid.SliceOfN(rapid.SampledFrom(routeNames[:4]), 0, 2).Draw(t, "routes removed"),
		DropServices: rapid.SliceOfN(rapid.SampledFrom(serviceNames), 0, 1).Draw(t, "services removed"),
	}
}

// isValidReference is a second implementation of the validity rules in the operators' documentation, independent of Check.
func isValidReference(c *wire.Configuration) bool {
	if c.Serial == 0 {
		return false
	}
	var names, keys, services []string
	for _, service := range c.Services {
		if service.Name == "" || slices.Contains(services, service.Name) {
			return false
		}
		services = append(services, service.Name)
	}
	for _, route := range c.Routes {
		host := strings.ToLower(strings.TrimSuffix(route.Host, ":80"))
		key := host + " " + route.Prefix
		wellFormed := route.Name != "" && host != "" && strings.HasPrefix(route.Prefix, "/") && strings.HasSuffix(route.Prefix, "/")
		if !wellFormed || route.Tries == 0 || route.CutoffMs <= 0 || route.AimMs <= 0 {
			return false
		}
		if slices.Contains(names, route.Name) || slices.Contains(keys, key) {
			return false
		}
		names, keys = append(names, route.Name), append(keys, key)
		if !hasValidTarget(route, services) {
			return false
		}
	}
	return true
}

func hasValidTarget(route *wire.ConfigurationRoute, services []string) bool {
	if route.Service != nil && !slices.Contains(services, *route.Service) {
		return false
	}
	total := 0.0
	for _, destination := range route.Destinations {
		if destination.Weight < 0 || !slices.Contains(services, destination.Service) {
			return false
		}
		total += destination.Weight
	}
	return total > 0 || len(route.Destinations) == 0 && route.Service != nil
}

// applyReference is a second, simple implementation of Apply: it removes the dropped items, then adds each changed item or
// replaces the one with the same name.
func applyReference(current *wire.Configuration, change *wire.ConfigurationChange) *wire.Configuration {
	next := proto.Clone(current).(*wire.Configuration)
	next.Serial, next.Base = change.Serial, change.Base
	next.Routes = slices.DeleteFunc(next.Routes, func(r *wire.ConfigurationRoute) bool { return slices.Contains(change.DropRoutes, r.Name) })
	next.Services = slices.DeleteFunc(next.Services, func(s *wire.ConfigurationService) bool { return slices.Contains(change.DropServices, s.Name) })
	for _, route := range change.Routes {
		if index := slices.IndexFunc(next.Routes, func(r *wire.ConfigurationRoute) bool { return r.Name == route.Name }); index >= 0 {
			next.Routes[index] = route
		} else {
			next.Routes = append(next.Routes, route)
		}
	}
	for _, service := range change.Services {
		if index := slices.IndexFunc(next.Services, func(s *wire.ConfigurationService) bool { return s.Name == service.Name }); index >= 0 {
			next.Services[index] = service
		} else {
			next.Services = append(next.Services, service)
		}
	}
	return next
}

// TestApplyProposalAcceptsExactlyTheValidProposals draws sequences of valid and invalid proposals, with whole
// configurations and with changes, based on the current serial or another one. It compares each result with that of the
// reference implementations.
func TestApplyProposalAcceptsExactlyTheValidProposals(t *testing.T) {
	accepted, rejected := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		current := &wire.Configuration{}
		for range rapid.IntRange(1, 8).Draw(t, "proposals") {
			baseSerial := drawMostlyValid(t, "base", []uint64{current.Serial}, []uint64{current.Serial + 1, current.Serial - 1, 0})
			serial := drawMostlyValid(t, "serial", []uint64{current.Serial + 1, current.Serial + 4}, []uint64{current.Serial, current.Serial - 1, 0})
			proposal, expected := &wire.ConfigurationProposal{}, &wire.Configuration{}
			if rapid.Bool().Draw(t, "whole") {
				proposal.Configuration = drawConfiguration(t, serial, baseSerial)
				expected = proposal.Configuration
			} else {
				proposal.Change = drawChange(t, serial, baseSerial)
				expected = applyReference(current, proposal.Change)
			}
			before := proto.Clone(current)
			next, faults := ApplyProposal(current, proposal)
			valid := baseSerial == current.Serial && serial > current.Serial && isValidReference(expected)
			switch {
			case !proto.Equal(before, current):
				t.Fatalf("the current configuration was modified by %v", proposal)
			case valid != (len(faults) == 0):
				t.Fatalf("proposal %v on %v: valid %t, but faults %v", proposal, current, valid, faults)
			case valid != (next != nil):
				t.Fatalf("proposal %v on %v: valid %t, but result %v", proposal, current, valid, next)
			case valid && !proto.Equal(next, expected):
				t.Fatalf("proposal %v on %v results in %v, want %v", proposal, current, next, expected)
			}
			if valid {
				current = next
				accepted++
			} else {
				rejected++
			}
		}
	})
	if accepted < 50 || rejected < 50 {
		t.Fatalf("too few proposals of one kind: %d accepted, %d rejected", accepted, rejected)
	}
}

// TestApplyProposalReportsEveryFault expects all faults of a proposal in one result, the stale base first, so that an
// operator can correct them together.
func TestApplyProposalReportsEveryFault(t *testing.T) {
	current := &wire.Configuration{Serial: 5}
	_, faults := ApplyProposal(current, &wire.ConfigurationProposal{Configuration: &wire.Configuration{Serial: 4, Base: 3, Routes: []*wire.ConfigurationRoute{{Name: "loan"}}}})
	var kinds []base.Kind
	for _, each := range faults {
		kinds = append(kinds, each.Kind)
	}
	if len(kinds) < 6 || kinds[0] != base.StaleBase || kinds[1] != base.OutOfRange {
		t.Fatalf("faults %v", faults)
	}
}

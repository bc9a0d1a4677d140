package bundle

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

// Apply returns the bundle that a change leads to. The current one is left as
// it is.
func Apply(current *wire.Bundle, change *wire.Change) *wire.Bundle {
	b := proto.Clone(current).(*wire.Bundle)
	if b.Common == nil {
		b.Common = &wire.Common{}
	}
	machineName := func(m *wire.Machine) string { return m.Name }
	shareName := func(s *wire.Share) string { return s.Group }
	serviceName := func(s *wire.Service) string { return s.Name }
	b.Common.Machines = merge(b.Common.Machines, change.Machines, change.DropMachines, machineName)
	b.Common.Shares = merge(b.Common.Shares, change.Shares, change.DropShares, shareName)
	b.Services = merge(b.Services, change.Services, change.DropServices, serviceName)
	if change.Tracing != nil {
		b.Common.Tracing = change.Tracing
	}
	return b
}

func merge[T any](current, put []T, drop []string, name func(T) string) []T {
	merged := slices.DeleteFunc(slices.Clone(current), func(item T) bool { return slices.Contains(drop, name(item)) })
	for _, item := range put {
		at := slices.IndexFunc(merged, func(other T) bool { return name(other) == name(item) })
		if at >= 0 {
			merged[at] = item
		} else {
			merged = append(merged, item)
		}
	}
	return merged
}

// Diff returns a line for each item added (+), changed (~) or dropped
// (-).
func Diff(before, after *wire.Bundle) []string {
	var lines []string
	lines = append(lines, compare("machine", before.GetCommon().GetMachines(), after.GetCommon().GetMachines(), func(m *wire.Machine) string { return m.Name })...)
	lines = append(lines, compare("share", before.GetCommon().GetShares(), after.GetCommon().GetShares(), func(s *wire.Share) string { return s.Group })...)
	if !proto.Equal(before.GetCommon().GetTracing(), after.GetCommon().GetTracing()) {
		lines = append(lines, "~ tracing")
	}
	lines = append(lines, compare("service", before.GetServices(), after.GetServices(), func(s *wire.Service) string { return s.Name })...)
	routes := func(b *wire.Bundle) []*wire.Route {
		var all []*wire.Route
		for _, service := range b.GetServices() {
			for _, route := range service.Routes {
				named := proto.Clone(route).(*wire.Route)
				named.Name = service.Name + "/" + route.Name
				all = append(all, named)
			}
		}
		return all
	}
	return append(lines, compare("route", routes(before), routes(after), func(r *wire.Route) string { return r.Name })...)
}

func compare[T proto.Message](what string, before, after []T, name func(T) string) []string {
	var lines []string
	old := map[string]T{}
	for _, item := range before {
		old[name(item)] = item
	}
	for _, item := range after {
		prior, had := old[name(item)]
		switch {
		case !had:
			lines = append(lines, fmt.Sprintf("+ %s %s", what, name(item)))
		case !proto.Equal(prior, item):
			lines = append(lines, fmt.Sprintf("~ %s %s", what, name(item)))
		}
		delete(old, name(item))
	}
	for _, item := range before {
		if _, left := old[name(item)]; left {
			lines = append(lines, fmt.Sprintf("- %s %s", what, name(item)))
		}
	}
	return lines
}

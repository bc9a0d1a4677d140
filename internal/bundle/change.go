package bundle

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

// Apply returns the bundle that results from a change. The current one is not
// modified.
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

// merge returns the current items without the removed ones, with changed items
// replaced by name and new ones appended. A name both removed and changed is appended.
func merge[T any](current, changed []T, removed []string, name func(T) string) []T {
	merged := slices.DeleteFunc(slices.Clone(current), func(item T) bool { return slices.Contains(removed, name(item)) })
	for _, item := range changed {
		at := slices.IndexFunc(merged, func(other T) bool { return name(other) == name(item) })
		if at >= 0 {
			merged[at] = item
		} else {
			merged = append(merged, item)
		}
	}
	return merged
}

// Diff returns one line for each item that was added (+), changed (~) or removed (-).
func Diff(before, after *wire.Bundle) []string {
	var lines []string
	lines = append(lines, diffItems("machine", before.GetCommon().GetMachines(), after.GetCommon().GetMachines(), func(m *wire.Machine) string { return m.Name })...)
	lines = append(lines, diffItems("share", before.GetCommon().GetShares(), after.GetCommon().GetShares(), func(s *wire.Share) string { return s.Group })...)
	if !proto.Equal(before.GetCommon().GetTracing(), after.GetCommon().GetTracing()) {
		lines = append(lines, "~ tracing")
	}
	lines = append(lines, diffItems("service", before.GetServices(), after.GetServices(), func(s *wire.Service) string { return s.Name })...)
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
	return append(lines, diffItems("route", routes(before), routes(after), func(r *wire.Route) string { return r.Name })...)
}

// diffItems returns the lines of Diff for the items of one kind.
func diffItems[T proto.Message](kind string, before, after []T, name func(T) string) []string {
	var lines []string
	old := map[string]T{}
	for _, item := range before {
		old[name(item)] = item
	}
	for _, item := range after {
		previous, existed := old[name(item)]
		switch {
		case !existed:
			lines = append(lines, fmt.Sprintf("+ %s %s", kind, name(item)))
		case !proto.Equal(previous, item):
			lines = append(lines, fmt.Sprintf("~ %s %s", kind, name(item)))
		}
		delete(old, name(item))
	}
	for _, item := range before {
		if _, remains := old[name(item)]; remains {
			lines = append(lines, fmt.Sprintf("- %s %s", kind, name(item)))
		}
	}
	return lines
}

package config

import (
	"fmt"
	"math"
	"strings"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// faults collects the faults of a configuration.
type faults []*base.Fault

func (f *faults) add(kind base.Kind, path, format string, args ...any) {
	*f = append(*f, base.NewFault(kind, path, format, args...))
}

// Check returns every fault of a configuration, none if it is valid.
func Check(c *wire.Configuration) []*base.Fault {
	var found faults
	if c.GetSerial() == 0 {
		found.add(base.OutOfRange, "serial", "must be above 0")
	}
	services := map[string]bool{}
	for i, service := range c.GetServices() {
		path := "services." + itemLabel(service.GetName(), i)
		found.checkName(path, service.GetName(), services)
	}
	names := map[string]bool{}
	keys := map[routeKey]string{}
	for i, route := range c.GetRoutes() {
		path := "routes." + itemLabel(route.GetName(), i)
		found.checkName(path, route.GetName(), names)
		found.checkMatch(path, route, keys)
		found.checkTarget(path, route, services)
		found.checkPositive(path+".cutoff", route.GetCutoffMs())
		found.checkPositive(path+".aim", route.GetAimMs())
		if route.GetTries() == 0 {
			found.add(base.OutOfRange, path+".tries", "must be 1 or more")
		}
	}
	for path, ms := range map[string]float64{"limits.header": c.GetLimits().GetHeaderMs(), "limits.idle": c.GetLimits().GetIdleMs()} {
		if !(ms >= 0) || math.IsInf(ms, 1) {
			found.add(base.OutOfRange, path, "must not be negative")
		}
	}
	return found
}

// routeKey identifies the requests that a route matches: the normalized host and the path prefix.
type routeKey struct{ host, prefix string }

// itemLabel returns an item's name for use in a fault's path, or "#" and its index if it has no name.
func itemLabel(name string, index int) string {
	if name == "" {
		return fmt.Sprintf("#%d", index)
	}
	return name
}

// checkName adds a fault if a name is empty or already taken, and marks it as taken.
func (f *faults) checkName(path, name string, taken map[string]bool) {
	switch {
	case name == "":
		f.add(base.Malformed, path+".name", "is empty")
	case taken[name]:
		f.add(base.Duplicate, path, "the name is taken")
	}
	taken[name] = true
}

// checkMatch checks a route's host and prefix, and that no other route has the same ones. taken holds the labels of
// the routes checked before, for the fault.
func (f *faults) checkMatch(path string, route *wire.ConfigurationRoute, taken map[routeKey]string) {
	host, prefix := normalizeHost(route.GetHost()), route.GetPrefix()
	if host == "" {
		f.add(base.OutOfRange, path+".host", "is empty")
	}
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		f.add(base.OutOfRange, path+".prefix", "must begin and end with a slash")
	}
	key := routeKey{host, prefix}
	if other, exists := taken[key]; exists {
		f.add(base.Overlapping, path, "shares its host and prefix with %s", other)
		return
	}
	taken[key] = itemLabel(route.GetName(), len(taken))
}

// checkTarget checks that a route names a service or destinations, that the named services exist, and that the weights
// are valid. Fault paths call the destinations "forks".
func (f *faults) checkTarget(path string, route *wire.ConfigurationRoute, services map[string]bool) {
	if route.Service == nil && len(route.Destinations) == 0 {
		f.add(base.Malformed, path, "names neither a service nor forks")
	}
	if route.Service != nil && !services[*route.Service] {
		f.add(base.DanglingReference, path+".service", "there is no service %q", *route.Service)
	}
	total := 0.0
	for i, destination := range route.Destinations {
		destinationPath := fmt.Sprintf("%s.forks.%d", path, i)
		if !services[destination.GetService()] {
			f.add(base.DanglingReference, destinationPath+".service", "there is no service %q", destination.GetService())
		}
		if !(destination.GetWeight() >= 0) || math.IsInf(destination.GetWeight(), 1) {
			f.add(base.OutOfRange, destinationPath+".weight", "must not be negative")
			continue
		}
		total += destination.GetWeight()
	}
	if len(route.Destinations) > 0 && !(total > 0) {
		f.add(base.OutOfRange, path+".forks", "the weights come to nothing")
	}
}

// checkPositive adds a fault unless a duration in milliseconds is positive and finite. NaN is a fault as well.
func (f *faults) checkPositive(path string, ms float64) {
	if !(ms > 0) || math.IsInf(ms, 1) {
		f.add(base.OutOfRange, path, "must be above 0")
	}
}

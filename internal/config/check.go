package config

import (
	"fmt"
	"math"
	"strings"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// faults collects what is wrong with a configuration.
type faults []*base.Fault

func (f *faults) add(kind base.Kind, path, format string, args ...any) {
	*f = append(*f, base.NewFault(kind, path, format, args...))
}

// Check returns every fault of a configuration, none if it may be served.
func Check(c *wire.Configuration) []*base.Fault {
	var found faults
	if c.GetSerial() == 0 {
		found.add(base.OutOfRange, "serial", "must be above 0")
	}
	services := map[string]bool{}
	for i, service := range c.GetServices() {
		path := "services." + called(service.GetName(), i)
		found.named(path, service.GetName(), services)
	}
	names := map[string]bool{}
	places := map[place]string{}
	for i, route := range c.GetRoutes() {
		path := "routes." + called(route.GetName(), i)
		found.named(path, route.GetName(), names)
		found.place(path, route, places)
		found.target(path, route, services)
		found.positive(path+".cutoff", route.GetCutoffMs())
		found.positive(path+".aim", route.GetAimMs())
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

// place is where a route is found: its host, in lower case and without a port, and its prefix.
type place struct{ host, prefix string }

func called(name string, at int) string {
	if name == "" {
		return fmt.Sprintf("#%d", at)
	}
	return name
}

func (f *faults) named(path, name string, taken map[string]bool) {
	switch {
	case name == "":
		f.add(base.Malformed, path+".name", "is empty")
	case taken[name]:
		f.add(base.Duplicate, path, "the name is taken")
	}
	taken[name] = true
}

// place is where a route is found: its host, in lower case and without a port, and its prefix.
func (f *faults) place(path string, route *wire.ConfigurationRoute, taken map[place]string) {
	host, prefix := hostOf(route.GetHost()), route.GetPrefix()
	if host == "" {
		f.add(base.OutOfRange, path+".host", "is empty")
	}
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		f.add(base.OutOfRange, path+".prefix", "must begin and end with a slash")
	}
	at := place{host, prefix}
	if other, held := taken[at]; held {
		f.add(base.Overlapping, path, "shares its host and prefix with %s", other)
		return
	}
	taken[at] = called(route.GetName(), len(taken))
}

func (f *faults) target(path string, route *wire.ConfigurationRoute, services map[string]bool) {
	if route.Service == nil && len(route.Destinations) == 0 {
		f.add(base.Malformed, path, "names neither a service nor forks")
	}
	if route.Service != nil && !services[*route.Service] {
		f.add(base.DanglingReference, path+".service", "there is no service %q", *route.Service)
	}
	total := 0.0
	for i, destination := range route.Destinations {
		at := fmt.Sprintf("%s.forks.%d", path, i)
		if !services[destination.GetService()] {
			f.add(base.DanglingReference, at+".service", "there is no service %q", destination.GetService())
		}
		if !(destination.GetWeight() >= 0) || math.IsInf(destination.GetWeight(), 1) {
			f.add(base.OutOfRange, at+".weight", "must not be negative")
			continue
		}
		total += destination.GetWeight()
	}
	if len(route.Destinations) > 0 && !(total > 0) {
		f.add(base.OutOfRange, path+".forks", "the weights come to nothing")
	}
}

func (f *faults) positive(path string, ms float64) {
	if !(ms > 0) || math.IsInf(ms, 1) {
		f.add(base.OutOfRange, path, "must be above 0")
	}
}

package bundle

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// Limits holds the maximum sizes of a bundle, and the grace period of stopping
// nodes, which limits deadlines.
type Limits struct {
	// Grace is the time that a stopping node has for requests in flight.
	Grace    time.Duration
	Routes   int
	Machines int
	Services int
	// Bytes is the maximum size of a request with a bundle or a change.
	Bytes int
}

const (
	// maxDeadlineFraction is the longest deadline as a fraction of the grace period.
	// The rest of the grace period is left for returning the response.
	maxDeadlineFraction = 5.0 / 6
	// defaultDeadlineFraction is the deadline of a route that specifies none, as a
	// fraction of the grace period.
	defaultDeadlineFraction = 1.0 / 3
	// maxRepeatRatio is the maximum, and the default, ratio of retries to requests of
	// a service.
	maxRepeatRatio = 0.2
	// minDeadline is the shortest deadline that a route may have.
	minDeadline = 10 * time.Millisecond
	// maxFurtherCalls is the maximum number of nested calls that a route may declare
	// for one request.
	maxFurtherCalls = 1000
	// minShareWeight and maxShareWeight limit the weights of a share, so that no group
	// gets almost no capacity by mistake.
	minShareWeight = 0.001
	maxShareWeight = 1000.0
	// maxAllowance is the maximum number of retries that each application machine may
	// accumulate for a service. The minimum is 1, as the service's allowance is divided
	// among the machines.
	maxAllowance = 4
)

// DefaultLimits returns the limits that control machines enforce on bundles, with the
// given grace period.
func DefaultLimits(grace time.Duration) Limits {
	return Limits{Grace: grace, Routes: 20000, Machines: 512, Services: 512, Bytes: 16 << 20}
}

// MaxDeadline returns the longest deadline that a route may have.
func (l Limits) MaxDeadline() time.Duration {
	return time.Duration(float64(l.Grace) * maxDeadlineFraction)
}

// DefaultDeadline returns the deadline of a route that specifies none.
func (l Limits) DefaultDeadline() time.Duration {
	return time.Duration(float64(l.Grace) * defaultDeadlineFraction)
}

var (
	methodPattern   = regexp.MustCompile(`^[A-Z]{1,16}$`)
	headerPattern   = regexp.MustCompile(`^[A-Za-z0-9-]{0,64}$`)
	keyFieldPattern = regexp.MustCompile(`^(path|query|header):[A-Za-z0-9_.-]{1,64}$`)
	segmentPattern  = regexp.MustCompile(`^(\{[a-z][a-z0-9_]{0,31}\}|[A-Za-z0-9._~-]+)$`)
)

// SetDefaults sets the defaults of the fields of b that are not set.
func SetDefaults(b *wire.Bundle, limits Limits) {
	if b.Common == nil {
		b.Common = &wire.Common{}
	}
	if b.Common.Tracing == nil {
		b.Common.Tracing = &wire.Tracing{}
	}
	t := b.Common.Tracing
	base.SetDefault(&t.Sample, 1)
	base.SetDefault(&t.Percentile, 0.75)
	base.SetDefault(&t.Epsilon, 0.05)
	base.SetDefault(&t.Draws, 1000)
	base.SetDefault(&t.Memory, 0.3)
	base.SetDefault(&t.Budget, 400)
	base.SetDefault(&t.Evidence, 20)
	base.SetDefault(&t.Utility, "variance")
	base.SetDefault(&t.Header, "traceparent")
	if t.Cycle == nil {
		t.Cycle = durationpb.New(5 * time.Second)
	}
	for _, service := range b.Services {
		base.SetDefault(&service.Repeats, maxRepeatRatio)
		base.SetDefault(&service.Allowance, uint32(countApplicationMachines(b)))
		for _, route := range service.Routes {
			if route.Deadline == nil {
				route.Deadline = durationpb.New(limits.DefaultDeadline())
			}
		}
	}
}

// countApplicationMachines returns the number of machines that are not control
// machines.
func countApplicationMachines(b *wire.Bundle) int {
	count := 0
	for _, machine := range b.GetCommon().GetMachines() {
		if !machine.Core {
			count++
		}
	}
	return count
}

// checker holds the first fault found.
type checker struct{ fault *base.Fault }

func (c *checker) reject(kind base.Kind, path, format string, args ...any) {
	if c.fault == nil {
		c.fault = base.NewFault(kind, path, format, args...)
	}
}

// value rejects a value that breaks one of the rules as out of range.
func (c *checker) value(path string, value any, rules ...validation.Rule) {
	if err := validation.Validate(value, rules...); err != nil {
		c.reject(base.OutOfRange, path, "%s", err)
	}
}

// uniqueName checks that a name is valid and not yet in seen, and adds it there.
func (c *checker) uniqueName(seen map[string]bool, path, name string) {
	c.value(path, name, validation.Required, base.IsName)
	if seen[name] {
		c.reject(base.Duplicate, path, "%q is named twice", name)
	}
	seen[name] = true
}

// Check returns the first fault of a bundle in which SetDefaults set the defaults, or
// nil if it is valid.
func Check(b *wire.Bundle, limits Limits) *base.Fault {
	c := &checker{}
	c.machines(b, limits)
	c.services(b, limits)
	c.shares(b)
	c.routes(b, limits)
	c.tracing(b.GetCommon().GetTracing())
	return c.fault
}

func (c *checker) machines(b *wire.Bundle, limits Limits) {
	machines := b.GetCommon().GetMachines()
	if len(machines) > limits.Machines {
		c.reject(base.TooLarge, "common.machines", "%d machines, %d at most", len(machines), limits.Machines)
	}
	if countApplicationMachines(b) == 0 {
		c.reject(base.OutOfRange, "common.machines", "no application machine is listed")
	}
	for i, name := range b.Forsaken {
		if slices.ContainsFunc(machines, func(m *wire.Machine) bool { return m.Name == name }) {
			c.reject(base.Duplicate, fmt.Sprintf("forsaken[%d]", i), "%q is forsaken and yet listed", name)
		}
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, machine := range machines {
		path := fmt.Sprintf("common.machines[%d]", i)
		c.uniqueName(names, path+".name", machine.Name)
		c.value(path+".zone", machine.Zone, validation.Required, base.IsName)
		if _, err := netip.ParseAddrPort(machine.Address); err != nil {
			c.reject(base.OutOfRange, path+".address", "%q is not an IP number and port", machine.Address)
		}
		if addresses[machine.Address] {
			c.reject(base.Duplicate, path+".address", "%q is used twice", machine.Address)
		}
		addresses[machine.Address] = true
	}
}

func (c *checker) services(b *wire.Bundle, limits Limits) {
	if len(b.Services) > limits.Services {
		c.reject(base.TooLarge, "services", "%d services, %d at most", len(b.Services), limits.Services)
	}
	names := map[string]bool{}
	for i, service := range b.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.uniqueName(names, path+".name", service.Name)
		c.value(path+".repeats", service.Repeats, validation.Min(0.0), validation.Max(maxRepeatRatio))
		c.value(path+".allowance", service.Allowance, validation.Min(uint32(countApplicationMachines(b))), validation.Max(uint32(maxAllowance*countApplicationMachines(b))))
	}
	for i, machine := range b.GetCommon().GetMachines() {
		for j, call := range machine.Calls {
			if !names[call] {
				c.reject(base.DanglingReference, fmt.Sprintf("common.machines[%d].calls[%d]", i, j), "no service %q", call)
			}
		}
	}
}

func (c *checker) shares(b *wire.Bundle) {
	services := map[string]bool{}
	for _, service := range b.Services {
		services[service.Name] = true
	}
	groups, owned := map[string]bool{}, map[string]bool{}
	for i, share := range b.GetCommon().GetShares() {
		path := fmt.Sprintf("common.shares[%d]", i)
		c.uniqueName(groups, path+".group", share.Group)
		c.value(path+".carried", share.Carried, validation.Required, validation.Min(minShareWeight), validation.Max(maxShareWeight))
		c.value(path+".watched", share.Watched, validation.Required, validation.Min(minShareWeight), validation.Max(maxShareWeight))
		c.shareServices(path, share, services, owned)
	}
	for i, service := range b.Services {
		c.serviceGroups(fmt.Sprintf("services[%d]", i), service, groups, owned)
	}
}

// shareServices checks that the services of a share exist and are in no other share.
func (c *checker) shareServices(path string, share *wire.Share, services, owned map[string]bool) {
	for i, service := range share.Services {
		servicePath := fmt.Sprintf("%s.services[%d]", path, i)
		if !services[service] {
			c.reject(base.DanglingReference, servicePath, "no service %q", service)
		}
		if owned[service] {
			c.reject(base.Duplicate, servicePath, "service %q is in two shares", service)
		}
		owned[service] = true
	}
}

// serviceGroups checks that a service is in a share and that the groups named by its
// routes have one.
func (c *checker) serviceGroups(path string, service *wire.Service, groups, owned map[string]bool) {
	if !owned[service.Name] {
		c.reject(base.DanglingReference, path+".name", "service %q is in no share", service.Name)
	}
	for i, route := range service.Routes {
		if route.Group != "" && !groups[route.Group] {
			c.reject(base.DanglingReference, fmt.Sprintf("%s.routes[%d].group", path, i), "no share for group %q", route.Group)
		}
	}
}

func (c *checker) routes(b *wire.Bundle, limits Limits) {
	count := 0
	known := map[string]bool{}
	for _, service := range b.Services {
		count += len(service.Routes)
		for _, route := range service.Routes {
			known[service.Name+"/"+route.Name] = true
		}
	}
	if count > limits.Routes {
		c.reject(base.TooLarge, "services", "%d routes, %d at most", count, limits.Routes)
		return
	}
	templates := newRouteTree()
	for i, service := range b.Services {
		names := map[string]bool{}
		for j, route := range service.Routes {
			path := fmt.Sprintf("services[%d].routes[%d]", i, j)
			c.uniqueName(names, path+".name", route.Name)
			c.value(path+".method", route.Method, validation.Required, validation.Match(methodPattern))
			c.value(path+".deadline", route.GetDeadline().AsDuration(), validation.Min(minDeadline), validation.Max(limits.MaxDeadline()))
			if c.template(path+".path", service, route, templates) {
				c.furtherCalls(path+".further", route, known)
			}
		}
	}
}

// template checks the path template of a route and that it overlaps none of the
// templates checked before, and adds it to them. It reports whether the path is a
// valid template.
func (c *checker) template(path string, service *wire.Service, route *wire.Route, templates *routeTree) bool {
	segments, ok := splitPath(route.Path)
	for _, segment := range segments {
		ok = ok && segmentPattern.MatchString(segment)
	}
	if !ok && route.Path != "/" {
		c.reject(base.OutOfRange, path, "%q is not a path template", route.Path)
		return false
	}
	if other := templates.overlap(route.Method, segments); other != "" {
		c.reject(base.Overlapping, path, "%s %s overlaps %s", route.Method, route.Path, other)
	}
	templates.add(route.Method, segments, service.Name+"/"+route.Name, nil, nil)
	return true
}

// furtherCalls checks the nested calls that a route declares.
func (c *checker) furtherCalls(path string, route *wire.Route, known map[string]bool) {
	for i, further := range route.Further {
		callPath := fmt.Sprintf("%s[%d]", path, i)
		if !known[further.Service+"/"+further.Route] {
			c.reject(base.DanglingReference, callPath, "no route %s/%s", further.Service, further.Route)
		}
		c.value(callPath+".most", further.Most, validation.Max(uint32(maxFurtherCalls)))
		for j, match := range further.Keys {
			c.value(fmt.Sprintf("%s.keys[%d].parent", callPath, j), match.Parent, validation.Required, validation.Match(keyFieldPattern))
			c.value(fmt.Sprintf("%s.keys[%d].child", callPath, j), match.Child, validation.Required, validation.Match(keyFieldPattern))
		}
	}
}

func (c *checker) tracing(t *wire.Tracing) {
	c.value("common.tracing.sample", t.GetSample(), validation.Required, validation.Min(0.0001), validation.Max(1.0))
	c.value("common.tracing.percentile", t.GetPercentile(), validation.Required, validation.Min(0.01), validation.Max(0.999))
	c.value("common.tracing.epsilon", t.GetEpsilon(), validation.Required, validation.Min(0.001), validation.Max(1.0))
	c.value("common.tracing.draws", t.GetDraws(), validation.Required, validation.Min(uint32(100)), validation.Max(uint32(100000)))
	c.value("common.tracing.memory", t.GetMemory(), validation.Required, validation.Min(0.01), validation.Max(1.0))
	c.value("common.tracing.budget", t.GetBudget(), validation.Required, validation.Min(1.0))
	c.value("common.tracing.evidence", t.GetEvidence(), validation.Required, validation.Min(2.0), validation.Max(1e6))
	c.value("common.tracing.cycle", t.GetCycle().AsDuration(), validation.Min(200*time.Millisecond), validation.Max(10*time.Minute))
	c.value("common.tracing.header", t.GetHeader(), validation.Match(headerPattern))
	c.value("common.tracing.utility", t.GetUtility(), validation.In("variance", "deviation", "mean"))
}

// splitPath returns the segments of a path, and false if it has no leading slash. "/"
// has no segments.
func splitPath(path string) ([]string, bool) {
	if !strings.HasPrefix(path, "/") {
		return nil, false
	}
	if path == "/" {
		return nil, true
	}
	return strings.Split(path[1:], "/"), true
}

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

// Limits are the sizes that a bundle must keep to, and the stop grace of the
// nodes, which bounds deadlines.
type Limits struct {
	// Grace is the time that a stopping node has for requests in flight.
	Grace    time.Duration
	Routes   int
	Machines int
	Services int
	// Bytes bounds a request with a bundle or a change.
	Bytes int
}

const (
	// longestDeadline is the longest deadline as a part of the grace: what is
	// left of it is for the answer's way back.
	longestDeadline = 5.0 / 6
	// usualDeadline is the deadline, as a part of the grace, of a route that
	// states none.
	usualDeadline = 1.0 / 3
	// mostRepeats is the highest, and the default, ratio of repeats to requests
	// of a service.
	mostRepeats = 0.2
	// leastDeadline is the shortest deadline a route may have.
	leastDeadline = 10 * time.Millisecond
	// mostFurther bounds the further calls that a route declares for one of its
	// requests.
	mostFurther = 1000
	// leastShare and mostShare bound the weights of a share, so that no group
	// gets next to nothing by mistake.
	leastShare = 0.001
	mostShare  = 1000.0
	// mostAllowance is the most repeats that an application machine may save up
	// for a service; the least is 1, as the allowance is divided among the
	// machines.
	mostAllowance = 4
)

// DefaultLimits returns the limits of size that core machines hold bundles to,
// with the grace given.
func DefaultLimits(grace time.Duration) Limits {
	return Limits{Grace: grace, Routes: 20000, Machines: 512, Services: 512, Bytes: 16 << 20}
}

// MaxDeadline returns the longest deadline a route may have.
func (l Limits) MaxDeadline() time.Duration { return time.Duration(float64(l.Grace) * longestDeadline) }

// DefaultDeadline returns the deadline of a route that states none.
func (l Limits) DefaultDeadline() time.Duration {
	return time.Duration(float64(l.Grace) * usualDeadline)
}

var (
	method = regexp.MustCompile(`^[A-Z]{1,16}$`)
	header = regexp.MustCompile(`^[A-Za-z0-9-]{0,64}$`)
	field  = regexp.MustCompile(`^(path|query|header):[A-Za-z0-9_.-]{1,64}$`)
	chunk  = regexp.MustCompile(`^(\{[a-z][a-z0-9_]{0,31}\}|[A-Za-z0-9._~-]+)$`)
)

// SetDefaults fills in the defaults, in b itself.
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
		base.SetDefault(&service.Repeats, mostRepeats)
		base.SetDefault(&service.Allowance, uint32(vanes(b)))
		for _, route := range service.Routes {
			if route.Deadline == nil {
				route.Deadline = durationpb.New(limits.DefaultDeadline())
			}
		}
	}
}

func vanes(b *wire.Bundle) int {
	count := 0
	for _, machine := range b.GetCommon().GetMachines() {
		if !machine.Core {
			count++
		}
	}
	return count
}

// inquest collects the first fault found.
type inquest struct{ found *base.Fault }

func (q *inquest) reject(kind base.Kind, path, format string, args ...any) {
	if q.found == nil {
		q.found = base.NewFault(kind, path, format, args...)
	}
}

func (q *inquest) value(path string, value any, rules ...validation.Rule) {
	if err := validation.Validate(value, rules...); err != nil {
		q.reject(base.OutOfRange, path, "%s", err)
	}
}

func (q *inquest) once(seen map[string]bool, path, name string) {
	q.value(path, name, validation.Required, base.IsName)
	if seen[name] {
		q.reject(base.Duplicate, path, "%q is named twice", name)
	}
	seen[name] = true
}

// Check returns the first fault of a normalised bundle, or nil.
func Check(b *wire.Bundle, limits Limits) *base.Fault {
	q := &inquest{}
	q.machines(b, limits)
	q.services(b, limits)
	q.shares(b)
	q.routes(b, limits)
	q.tracing(b.GetCommon().GetTracing())
	return q.found
}

func (q *inquest) machines(b *wire.Bundle, limits Limits) {
	machines := b.GetCommon().GetMachines()
	if len(machines) > limits.Machines {
		q.reject(base.TooLarge, "common.machines", "%d machines, %d at most", len(machines), limits.Machines)
	}
	if vanes(b) == 0 {
		q.reject(base.OutOfRange, "common.machines", "no application machine is listed")
	}
	for i, name := range b.Forsaken {
		if slices.ContainsFunc(machines, func(m *wire.Machine) bool { return m.Name == name }) {
			q.reject(base.Duplicate, fmt.Sprintf("forsaken[%d]", i), "%q is forsaken and yet listed", name)
		}
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, machine := range machines {
		path := fmt.Sprintf("common.machines[%d]", i)
		q.once(names, path+".name", machine.Name)
		q.value(path+".zone", machine.Zone, validation.Required, base.IsName)
		if _, err := netip.ParseAddrPort(machine.Address); err != nil {
			q.reject(base.OutOfRange, path+".address", "%q is not an IP number and port", machine.Address)
		}
		if addresses[machine.Address] {
			q.reject(base.Duplicate, path+".address", "%q is used twice", machine.Address)
		}
		addresses[machine.Address] = true
	}
}

func (q *inquest) services(b *wire.Bundle, limits Limits) {
	if len(b.Services) > limits.Services {
		q.reject(base.TooLarge, "services", "%d services, %d at most", len(b.Services), limits.Services)
	}
	names := map[string]bool{}
	for i, service := range b.Services {
		path := fmt.Sprintf("services[%d]", i)
		q.once(names, path+".name", service.Name)
		q.value(path+".repeats", service.Repeats, validation.Min(0.0), validation.Max(mostRepeats))
		q.value(path+".allowance", service.Allowance, validation.Min(uint32(vanes(b))), validation.Max(uint32(mostAllowance*vanes(b))))
	}
	for i, machine := range b.GetCommon().GetMachines() {
		for j, call := range machine.Calls {
			if !names[call] {
				q.reject(base.DanglingReference, fmt.Sprintf("common.machines[%d].calls[%d]", i, j), "no service %q", call)
			}
		}
	}
}

func (q *inquest) shares(b *wire.Bundle) {
	services := map[string]bool{}
	for _, service := range b.Services {
		services[service.Name] = true
	}
	groups, owned := map[string]bool{}, map[string]bool{}
	for i, share := range b.GetCommon().GetShares() {
		path := fmt.Sprintf("common.shares[%d]", i)
		q.once(groups, path+".group", share.Group)
		q.value(path+".carried", share.Carried, validation.Required, validation.Min(leastShare), validation.Max(mostShare))
		q.value(path+".watched", share.Watched, validation.Required, validation.Min(leastShare), validation.Max(mostShare))
		q.owners(path, share, services, owned)
	}
	for i, service := range b.Services {
		q.groups(fmt.Sprintf("services[%d]", i), service, groups, owned)
	}
}

// owners checks that a share's services exist and are in no other share.
func (q *inquest) owners(path string, share *wire.Share, services, owned map[string]bool) {
	for i, service := range share.Services {
		at := fmt.Sprintf("%s.services[%d]", path, i)
		if !services[service] {
			q.reject(base.DanglingReference, at, "no service %q", service)
		}
		if owned[service] {
			q.reject(base.Duplicate, at, "service %q is in two shares", service)
		}
		owned[service] = true
	}
}

// groups checks that a service is in a share, and that its routes name groups
// that have one.
func (q *inquest) groups(path string, service *wire.Service, groups, owned map[string]bool) {
	if !owned[service.Name] {
		q.reject(base.DanglingReference, path+".name", "service %q is in no share", service.Name)
	}
	for i, route := range service.Routes {
		if route.Group != "" && !groups[route.Group] {
			q.reject(base.DanglingReference, fmt.Sprintf("%s.routes[%d].group", path, i), "no share for group %q", route.Group)
		}
	}
}

func (q *inquest) routes(b *wire.Bundle, limits Limits) {
	count := 0
	known := map[string]bool{}
	for _, service := range b.Services {
		count += len(service.Routes)
		for _, route := range service.Routes {
			known[service.Name+"/"+route.Name] = true
		}
	}
	if count > limits.Routes {
		q.reject(base.TooLarge, "services", "%d routes, %d at most", count, limits.Routes)
		return
	}
	templates := newTree()
	for i, service := range b.Services {
		names := map[string]bool{}
		for j, route := range service.Routes {
			path := fmt.Sprintf("services[%d].routes[%d]", i, j)
			q.once(names, path+".name", route.Name)
			q.value(path+".method", route.Method, validation.Required, validation.Match(method))
			q.value(path+".deadline", route.GetDeadline().AsDuration(), validation.Min(leastDeadline), validation.Max(limits.MaxDeadline()))
			if q.template(path+".path", service, route, templates) {
				q.further(path+".further", route, known)
			}
		}
	}
}

// template checks a route's path template against those met before, to which
// it is added. It reports whether the path is a template.
func (q *inquest) template(path string, service *wire.Service, route *wire.Route, templates *tree) bool {
	segments, ok := split(route.Path)
	for _, segment := range segments {
		ok = ok && chunk.MatchString(segment)
	}
	if !ok && route.Path != "/" {
		q.reject(base.OutOfRange, path, "%q is not a path template", route.Path)
		return false
	}
	if other := templates.clash(route.Method, segments); other != "" {
		q.reject(base.Overlapping, path, "%s %s overlaps %s", route.Method, route.Path, other)
	}
	templates.add(route.Method, segments, service.Name+"/"+route.Name, nil, nil)
	return true
}

// further checks the further calls that a route declares.
func (q *inquest) further(path string, route *wire.Route, known map[string]bool) {
	for i, further := range route.Further {
		at := fmt.Sprintf("%s[%d]", path, i)
		if !known[further.Service+"/"+further.Route] {
			q.reject(base.DanglingReference, at, "no route %s/%s", further.Service, further.Route)
		}
		q.value(at+".most", further.Most, validation.Max(uint32(mostFurther)))
		for j, match := range further.Keys {
			q.value(fmt.Sprintf("%s.keys[%d].parent", at, j), match.Parent, validation.Required, validation.Match(field))
			q.value(fmt.Sprintf("%s.keys[%d].child", at, j), match.Child, validation.Required, validation.Match(field))
		}
	}
}

func (q *inquest) tracing(t *wire.Tracing) {
	q.value("common.tracing.sample", t.GetSample(), validation.Required, validation.Min(0.0001), validation.Max(1.0))
	q.value("common.tracing.percentile", t.GetPercentile(), validation.Required, validation.Min(0.01), validation.Max(0.999))
	q.value("common.tracing.epsilon", t.GetEpsilon(), validation.Required, validation.Min(0.001), validation.Max(1.0))
	q.value("common.tracing.draws", t.GetDraws(), validation.Required, validation.Min(uint32(100)), validation.Max(uint32(100000)))
	q.value("common.tracing.memory", t.GetMemory(), validation.Required, validation.Min(0.01), validation.Max(1.0))
	q.value("common.tracing.budget", t.GetBudget(), validation.Required, validation.Min(1.0))
	q.value("common.tracing.evidence", t.GetEvidence(), validation.Required, validation.Min(2.0), validation.Max(1e6))
	q.value("common.tracing.cycle", t.GetCycle().AsDuration(), validation.Min(200*time.Millisecond), validation.Max(10*time.Minute))
	q.value("common.tracing.header", t.GetHeader(), validation.Match(header))
	q.value("common.tracing.utility", t.GetUtility(), validation.In("variance", "deviation", "mean"))
}

// split returns the segments of a path, and false if it has no leading slash.
func split(path string) ([]string, bool) {
	if !strings.HasPrefix(path, "/") {
		return nil, false
	}
	if path == "/" {
		return nil, true
	}
	return strings.Split(path[1:], "/"), true
}

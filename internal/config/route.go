package config

import (
	"math"
	"time"

	"curlewreach/proto/wire"
)

// longest bounds the durations of a route, so that a number of milliseconds
// from outside can't overflow a time.Duration.
const longest = 24 * time.Hour

// Route is one route of a table, prepared for requests. It doesn't change.
type Route struct {
	Raw         *wire.ConfigurationRoute
	cutoff, aim time.Duration
	steps       []step
}

type step struct {
	upTo    float64
	service string
}

// NewRoute prepares a route. Services with a weight of 0 are left out.
func NewRoute(raw *wire.ConfigurationRoute) *Route {
	r := &Route{Raw: raw, cutoff: span(raw.GetCutoffMs()), aim: span(raw.GetAimMs())}
	total := 0.0
	for _, destination := range raw.GetDestinations() {
		if destination.GetWeight() > 0 {
			total += destination.Weight
			r.steps = append(r.steps, step{total, destination.Service})
		}
	}
	for i := range r.steps {
		r.steps[i].upTo /= total
	}
	if len(r.steps) == 0 && raw.GetService() != "" {
		r.steps = []step{{1, raw.GetService()}}
	}
	return r
}

func span(ms float64) time.Duration {
	if !(ms > 0) {
		return 0
	}
	return time.Duration(math.Min(ms*float64(time.Millisecond), float64(longest)))
}

// Name returns the route's name, unique in its configuration.
func (r *Route) Name() string { return r.Raw.GetName() }

// Repeatable reports whether an attempt may be sent again when it is not known
// whether it ran.
func (r *Route) Repeatable() bool { return r.Raw.GetRepeat() == wire.Repeat_REPEATABLE || r.Bulk() }

// Bulk reports whether the route's requests are bulk work: they may be
// repeated, but a slow one is not hedged.
func (r *Route) Bulk() bool { return r.Raw.GetRepeat() == wire.Repeat_BULK }

// Timeout returns the time after which a request is given up.
func (r *Route) Timeout() time.Duration { return r.cutoff }

// LatencyTarget returns the latency to serve requests of the route within.
func (r *Route) LatencyTarget() time.Duration { return r.aim }

// MaxAttempts returns the most attempts for one request.
func (r *Route) MaxAttempts() int { return int(r.Raw.GetTries()) }

// PickService returns a service chosen by the weights, given u drawn evenly from [0,
// 1), or "" if there is none.
func (r *Route) PickService(u float64) string {
	for _, each := range r.steps {
		if u < each.upTo {
			return each.service
		}
	}
	if len(r.steps) == 0 {
		return ""
	}
	return r.steps[len(r.steps)-1].service
}

// RoutesTo reports whether the route may lead to the service.
func (r *Route) RoutesTo(service string) bool {
	for _, each := range r.steps {
		if each.service == service {
			return true
		}
	}
	return false
}

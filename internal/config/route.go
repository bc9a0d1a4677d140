package config

import (
	"math"
	"time"

	"curlewreach/proto/wire"
)

const longest = 24 * time.Hour

// Route is one route of a table, ready to use.
type Route struct {
	Raw         *wire.ChartRoute
	cutoff, aim time.Duration
	steps       []step
}

type step struct {
	upTo    float64
	service string
}

// NewRoute prepares a route.
func NewRoute(raw *wire.ChartRoute) *Route {
	r := &Route{Raw: raw, cutoff: span(raw.GetCutoffMs()), aim: span(raw.GetAimMs())}
	total := 0.0
	for _, fork := range raw.GetForks() {
		if fork.GetWeight() > 0 {
			total += fork.Weight
			r.steps = append(r.steps, step{total, fork.Service})
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

func (r *Route) Name() string { return r.Raw.GetName() }

func (r *Route) Repeatable() bool { return r.Raw.GetRepeat() == wire.Repeat_REPEATABLE || r.Bulk() }

func (r *Route) Bulk() bool { return r.Raw.GetRepeat() == wire.Repeat_BULK }

func (r *Route) Cutoff() time.Duration { return r.cutoff }

func (r *Route) Aim() time.Duration { return r.aim }

func (r *Route) Tries() int { return int(r.Raw.GetTries()) }

// Pick takes u from [0,1) and names a service by the weights.
func (r *Route) Pick(u float64) string {
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

// Names tells whether the route may lead to the service.
func (r *Route) Names(service string) bool {
	for _, each := range r.steps {
		if each.service == service {
			return true
		}
	}
	return false
}

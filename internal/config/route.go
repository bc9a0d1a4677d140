package config

import (
	"math"
	"time"

	"curlewreach/proto/wire"
)

// maxDuration bounds the durations of a route, so that a received number of
// milliseconds cannot overflow a time.Duration.
const maxDuration = 24 * time.Hour

// Route is a route prepared for serving requests. It is immutable.
type Route struct {
	// Raw is the route as configured.
	Raw                    *wire.ConfigurationRoute
	timeout, latencyTarget time.Duration
	services               []weightedService
}

// weightedService is a service and the sum of the relative weights up to and including its own.
type weightedService struct {
	cumulativeWeight float64
	service          string
}

// NewRoute prepares a route. Destinations with a weight of 0 are ignored. The
// route's own service is used if no destination remains.
func NewRoute(raw *wire.ConfigurationRoute) *Route {
	r := &Route{Raw: raw, timeout: durationOf(raw.GetCutoffMs()), latencyTarget: durationOf(raw.GetAimMs())}
	total := 0.0
	for _, destination := range raw.GetDestinations() {
		if destination.GetWeight() > 0 {
			total += destination.Weight
			r.services = append(r.services, weightedService{total, destination.Service})
		}
	}
	for i := range r.services {
		r.services[i].cumulativeWeight /= total
	}
	if len(r.services) == 0 && raw.GetService() != "" {
		r.services = []weightedService{{1, raw.GetService()}}
	}
	return r
}

// durationOf converts milliseconds to a duration between 0 and maxDuration. NaN is converted to 0.
func durationOf(ms float64) time.Duration {
	if !(ms > 0) {
		return 0
	}
	return time.Duration(math.Min(ms*float64(time.Millisecond), float64(maxDuration)))
}

// Name returns the route's name, unique in its configuration.
func (r *Route) Name() string { return r.Raw.GetName() }

// Repeatable reports whether a request may be retried when it is unknown
// whether the failed attempt was executed.
func (r *Route) Repeatable() bool { return r.Raw.GetRepeat() == wire.Repeat_REPEATABLE || r.Bulk() }

// Bulk reports whether the route's requests are bulk work, which may be
// retried but is not hedged when slow.
func (r *Route) Bulk() bool { return r.Raw.GetRepeat() == wire.Repeat_BULK }

// Timeout returns the time after which a request is abandoned.
func (r *Route) Timeout() time.Duration { return r.timeout }

// LatencyTarget returns the latency within which the route's requests should be
// served.
func (r *Route) LatencyTarget() time.Duration { return r.latencyTarget }

// MaxAttempts returns the maximum number of attempts for one request.
func (r *Route) MaxAttempts() int { return int(r.Raw.GetTries()) }

// PickService returns a service chosen by weight, or "" if the route has none. u is a uniformly distributed random number
// in [0, 1).
func (r *Route) PickService(u float64) string {
	for _, candidate := range r.services {
		if u < candidate.cumulativeWeight {
			return candidate.service
		}
	}
	if len(r.services) == 0 {
		return ""
	}
	return r.services[len(r.services)-1].service
}

// RoutesTo reports whether PickService may return the service.
func (r *Route) RoutesTo(service string) bool {
	for _, candidate := range r.services {
		if candidate.service == service {
			return true
		}
	}
	return false
}

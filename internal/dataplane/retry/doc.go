// Package retry decides whether a request gets another attempt. The decision depends on the outcomes of the
// attempts before it, on the usual latency of the route and on a retry budget for each service.
package retry

package forwarding

import "net/http"

// HeaderNames names the headers that clients and upstreams of a deployment use.
type HeaderNames struct {
	// RequestID bears a request's identity, and Left the time until its deadline in milliseconds.
	RequestID, TimeLeft string
	// Seal marks a whole success of an upstream.
	Seal string
	// Target names the instance that a request is for, and Caller the service beside the node that sent it.
	Target, Caller string
	// NotRun is an upstream's promise that the request has not run.
	NotRun string
	// Load and Instance are what upstreams tell of themselves.
	Load, Instance string
}

// DefaultHeaderNames are the product's own names.
var DefaultHeaderNames = HeaderNames{
	RequestID: "Curlew-Attempt", TimeLeft: "Curlew-Left", Seal: "Curlew-Seal", Target: "Curlew-Target",
	Caller: "Curlew-Caller", NotRun: "Curlew-Not-Run", Load: "Curlew-Load", Instance: "Curlew-Instance",
}

// Canonical returns the names in canonical form.
func (s HeaderNames) Canonical() HeaderNames {
	for _, at := range []*string{&s.RequestID, &s.TimeLeft, &s.Seal, &s.Target, &s.Caller, &s.NotRun, &s.Load, &s.Instance} {
		*at = http.CanonicalHeaderKey(*at)
	}
	return s
}

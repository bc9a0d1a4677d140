package forwarding

import "net/http"

// HeaderNames holds the names of the headers that clients and upstreams of a deployment use.
type HeaderNames struct {
	// RequestID carries the identity of a request, TimeLeft the time until its deadline in milliseconds.
	RequestID, TimeLeft string
	// Seal marks a success response of an upstream as complete.
	Seal string
	// Target names the instance for which a request is meant, Caller the service of the node that sent it.
	Target, Caller string
	// NotRun is set by an upstream that guarantees that it has not run the request.
	NotRun string
	// Load and Instance carry what upstreams report about themselves.
	Load, Instance string
}

// DefaultHeaderNames are the names that apply unless a deployment has its own.
var DefaultHeaderNames = HeaderNames{
	RequestID: "Curlew-Attempt", TimeLeft: "Curlew-Left", Seal: "Curlew-Seal", Target: "Curlew-Target",
	Caller: "Curlew-Caller", NotRun: "Curlew-Not-Run", Load: "Curlew-Load", Instance: "Curlew-Instance",
}

// Canonical returns the names in the canonical format of header keys.
func (h HeaderNames) Canonical() HeaderNames {
	for _, name := range []*string{&h.RequestID, &h.TimeLeft, &h.Seal, &h.Target, &h.Caller, &h.NotRun, &h.Load, &h.Instance} {
		*name = http.CanonicalHeaderKey(*name)
	}
	return h
}

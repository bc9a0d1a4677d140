package dataplane

import "net/http"

// HeaderNames names the headers that clients and upstreams of a deployment use.
type HeaderNames struct {
	Attempt  string
	Left     string
	Seal     string
	Target   string
	Caller   string
	NotRun   string
	Load     string
	Instance string
}

// Plain is the product's own speech.
var Plain = HeaderNames{
	Attempt: "Curlew-Attempt", Left: "Curlew-Left", Seal: "Curlew-Seal", Target: "Curlew-Target",
	Caller: "Curlew-Caller", NotRun: "Curlew-Not-Run", Load: "Curlew-Load", Instance: "Curlew-Instance",
}

func (s HeaderNames) canonical() HeaderNames {
	for _, at := range []*string{&s.Attempt, &s.Left, &s.Seal, &s.Target, &s.Caller, &s.NotRun, &s.Load, &s.Instance} {
		*at = http.CanonicalHeaderKey(*at)
	}
	return s
}

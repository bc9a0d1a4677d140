package forwarding

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers between nodes.
const (
	// MetadataHeader carries the Metadata of a request.
	MetadataHeader = "Mesh-Way"
	// LoadHeader carries the LoadReport of the upstream's node.
	LoadHeader = "Mesh-Weight"
	// OutcomeHeader carries the Outcome of a request that has no response from an upstream.
	OutcomeHeader = "Mesh-Outcome"
	// AttemptHeader carries the reference by which the state of an attempt can be queried.
	AttemptHeader = "Mesh-Attempt"
	// MarkHeader carries the current mark of the responding node's record of attempts.
	MarkHeader = "Mesh-Memory"
)

// hopByHop lists the headers that apply to a single connection, and those between nodes.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", MetadataHeader, LoadHeader, OutcomeHeader, AttemptHeader, MarkHeader,
}

// EndToEnd copies a header without the fields that apply to a single connection and without the extra ones.
func EndToEnd(from http.Header, extra ...string) http.Header {
	to := make(http.Header, len(from)+4)
	for name, values := range from {
		to[name] = values
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(to, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(to, name)
	}
	for _, name := range extra {
		delete(to, name)
	}
	return to
}

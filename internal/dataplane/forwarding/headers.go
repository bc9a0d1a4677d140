package forwarding

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers between nodes.
const (
	// MetadataHeader bears a request's Metadata.
	MetadataHeader = "Mesh-Way"
	// LoadHeader bears the LoadReport of the node beside the upstream.
	LoadHeader = "Mesh-Weight"
	// OutcomeHeader bears the Outcome of a request that has no answer.
	OutcomeHeader = "Mesh-Outcome"
	// AttemptHeader bears the reference of an attempt that can be asked about.
	AttemptHeader = "Mesh-Attempt"
	// MarkHeader bears the present mark of the other node's memory of attempts.
	MarkHeader = "Mesh-Memory"
)

// hopByHop are the headers that concern one connection only, and those between nodes.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", MetadataHeader, LoadHeader, OutcomeHeader, AttemptHeader, MarkHeader,
}

// EndToEnd copies a header without the fields that concern one connection only, and without extra ones.
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

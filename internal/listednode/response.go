package listednode

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/proto/wire"
)

// Headers that the node sets in its own responses and in requests to instances.
const (
	outcomeHeader = "Curlew-Outcome"
	serialHeader  = "Curlew-Serial"
	traceHeader   = "Curlew-Trace"
	// reservedPrefix marks the headers that the node does not forward.
	reservedPrefix = "Curlew-"
)

// hopByHopHeaders are the headers that apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// forwardedHeaders returns the headers to forward, sorted by name. It leaves out hop-by-hop headers, those
// that the Connection header names, and those with the reserved prefix.
func forwardedHeaders(from http.Header) []*wire.Header {
	excluded := slices.Clone(hopByHopHeaders)
	for _, list := range from.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			excluded = append(excluded, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	var headers []*wire.Header
	for name, values := range from {
		if !slices.Contains(excluded, name) && !strings.HasPrefix(name, reservedPrefix) {
			headers = append(headers, &wire.Header{Name: name, Values: values})
		}
	}
	slices.SortFunc(headers, func(a, b *wire.Header) int { return strings.Compare(a.Name, b.Name) })
	return headers
}

// setHeaders sets headers in to.
func setHeaders(headers []*wire.Header, to http.Header) {
	for _, header := range headers {
		to[header.Name] = header.Values
	}
}

// responseDigest is a SHA-256 digest of a response with its head and attempt, by which the requesting node
// checks that the response is complete and belongs to the attempt.
type responseDigest struct{ hash hash.Hash }

// newResponseDigest returns the digest of a head, to which the body is to be written.
func newResponseDigest(head *wire.CarryHead) responseDigest {
	d := responseDigest{sha256.New()}
	d.writeString(head.Attempt)
	d.writeUint64(uint64(head.Status))
	d.writeUint64(uint64(head.Size))
	for _, header := range head.Headers {
		d.writeString(header.Name)
		for _, value := range header.Values {
			d.writeString(value)
		}
	}
	return d
}

func (d responseDigest) writeUint64(n uint64) { d.hash.Write(binary.BigEndian.AppendUint64(nil, n)) }

// writeString writes the length of the text before the text, so that the digest is unambiguous.
func (d responseDigest) writeString(text string) {
	d.writeUint64(uint64(len(text)))
	d.hash.Write([]byte(text))
}

// Write adds a piece of the body.
func (d responseDigest) Write(chunk []byte) (int, error) { return d.hash.Write(chunk) }

func (d responseDigest) sum() []byte { return d.hash.Sum(nil) }

// contentDigest returns the SHA-256 digest in the Content-Digest headers, and whether there is one. One
// that can't be decoded is returned as nil, which no body matches.
func contentDigest(from http.Header) (digest []byte, declared bool) {
	for _, list := range from.Values("Content-Digest") {
		for item := range strings.SplitSeq(list, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
			if !strings.EqualFold(name, "sha-256") {
				continue
			}
			raw, err := base64.StdEncoding.DecodeString(strings.Trim(value, ":"))
			if err != nil {
				return nil, true
			}
			return raw, true
		}
	}
	return nil, false
}

// writeFault responds with an error of the node itself.
func writeFault(w http.ResponseWriter, fault *base.Fault) {
	response := base.HTTPResponses[fault.Kind]
	outcome := "not-run"
	if fault.MayHaveRun {
		outcome = "unknown"
	}
	w.Header().Set(outcomeHeader, outcome)
	if response.Retriable {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(fault.RetryAfter.Seconds())))))
	}
	httpserver.ReplyJSON(w, response.Status, map[string]string{"kind": string(fault.Kind), "reason": fault.Reason, "outcome": outcome})
}

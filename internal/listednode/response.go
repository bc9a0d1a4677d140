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

const (
	outcomeHeader  = "Curlew-Outcome"
	serialHeader   = "Curlew-Serial"
	traceHeader    = "Curlew-Trace"
	reservedPrefix = "Curlew-"
)

var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

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

func setHeaders(headers []*wire.Header, to http.Header) {
	for _, header := range headers {
		to[header.Name] = header.Values
	}
}

// responseDigest digests an answer with its head, so that the asking node can check that
// it is whole and of its attempt.
type responseDigest struct{ hash hash.Hash }

func newResponseDigest(head *wire.CarryHead) responseDigest {
	s := responseDigest{sha256.New()}
	s.writeString(head.Attempt)
	s.writeUint64(uint64(head.Status))
	s.writeUint64(uint64(head.Size))
	for _, header := range head.Headers {
		s.writeString(header.Name)
		for _, value := range header.Values {
			s.writeString(value)
		}
	}
	return s
}

func (s responseDigest) writeUint64(n uint64) { s.hash.Write(binary.BigEndian.AppendUint64(nil, n)) }

func (s responseDigest) writeString(text string) {
	s.writeUint64(uint64(len(text)))
	s.hash.Write([]byte(text))
}

func (s responseDigest) Write(chunk []byte) (int, error) { return s.hash.Write(chunk) }

func (s responseDigest) sum() []byte { return s.hash.Sum(nil) }

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

func writeFault(w http.ResponseWriter, fault *base.Fault) {
	httpAnswer := base.Answers[fault.Kind]
	outcome := "not-run"
	if fault.Run {
		outcome = "unknown"
	}
	w.Header().Set(outcomeHeader, outcome)
	if httpAnswer.Retriable {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(fault.After.Seconds())))))
	}
	httpserver.Reply(w, httpAnswer.Status, map[string]string{"kind": string(fault.Kind), "reason": fault.Reason, "outcome": outcome})
}

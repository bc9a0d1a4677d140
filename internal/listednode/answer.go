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
	outcomeHeader = "Curlew-Outcome"
	serialHeader  = "Curlew-Serial"
	traceHeader   = "Curlew-Trace"
	ourPrefix     = "Curlew-"
)

var hops = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func headersOf(from http.Header) []*wire.Header {
	dropped := slices.Clone(hops)
	for _, list := range from.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			dropped = append(dropped, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	var headers []*wire.Header
	for name, values := range from {
		if !slices.Contains(dropped, name) && !strings.HasPrefix(name, ourPrefix) {
			headers = append(headers, &wire.Header{Name: name, Values: values})
		}
	}
	slices.SortFunc(headers, func(a, b *wire.Header) int { return strings.Compare(a.Name, b.Name) })
	return headers
}

func put(headers []*wire.Header, to http.Header) {
	for _, header := range headers {
		to[header.Name] = header.Values
	}
}

// seal digests an answer with its head, so that the asking node can check that
// it is whole and of its attempt.
type seal struct{ hash hash.Hash }

func newSeal(head *wire.CarryHead) seal {
	s := seal{sha256.New()}
	s.text(head.Attempt)
	s.number(uint64(head.Status))
	s.number(uint64(head.Size))
	for _, header := range head.Headers {
		s.text(header.Name)
		for _, value := range header.Values {
			s.text(value)
		}
	}
	return s
}

func (s seal) number(n uint64) { s.hash.Write(binary.BigEndian.AppendUint64(nil, n)) }

func (s seal) text(text string) {
	s.number(uint64(len(text)))
	s.hash.Write([]byte(text))
}

func (s seal) Write(chunk []byte) (int, error) { return s.hash.Write(chunk) }

func (s seal) sum() []byte { return s.hash.Sum(nil) }

func promised(from http.Header) (digest []byte, given bool) {
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

func rejectTo(w http.ResponseWriter, fault *base.Fault) {
	answer := base.HTTPResponses[fault.Kind]
	outcome := "not-run"
	if fault.MayHaveRun {
		outcome = "unknown"
	}
	w.Header().Set(outcomeHeader, outcome)
	if answer.Retriable {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(fault.RetryAfter.Seconds())))))
	}
	httpserver.ReplyJSON(w, answer.Status, map[string]string{"kind": string(fault.Kind), "reason": fault.Reason, "outcome": outcome})
}

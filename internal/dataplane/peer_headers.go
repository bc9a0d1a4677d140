package dataplane

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"curlewreach/internal/dataplane/admission"
)

const (
	wayHeader     = "Mesh-Way"
	weightHeader  = "Mesh-Weight"
	outcomeHeader = "Mesh-Outcome"
	attemptHeader = "Mesh-Attempt"
	memoryHeader  = "Mesh-Memory"
)

var hops = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", wayHeader, weightHeader, outcomeHeader, attemptHeader, memoryHeader}

func passing(from http.Header, extra ...string) http.Header {
	to := make(http.Header, len(from)+4)
	for name, values := range from {
		to[name] = values
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(to, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hops {
		delete(to, name)
	}
	for _, name := range extra {
		delete(to, name)
	}
	return to
}

// Forwarding is what the node beside the client tells the node beside the upstream.
type Forwarding struct {
	Service  string
	Instance string
	Route    string
	Rank     int
	Repeat   bool
	Once     bool
	Patience time.Duration
	Aim      time.Duration
	Stay     time.Duration
	Serial   uint64
	Sampled  bool
	Trace    string
	Attempt  attemptRef
}

func flag(on bool) string {
	if on {
		return "1"
	}
	return "0"
}

func (w Forwarding) text() string {
	return strings.Join([]string{
		url.QueryEscape(w.Service), url.QueryEscape(w.Instance), url.QueryEscape(w.Route), strconv.Itoa(w.Rank), flag(w.Repeat) + flag(w.Sampled) + flag(w.Once),
		millis(w.Patience), millis(w.Aim), millis(w.Stay), strconv.FormatUint(w.Serial, 10), w.Trace,
	}, ";")
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func readForwarding(text string) (w Forwarding, ok bool) {
	parts := strings.Split(text, ";")
	if len(parts) != 10 || len(parts[4]) != 3 {
		return w, false
	}
	sound := true
	words := func(i int) string {
		word, err := url.QueryUnescape(parts[i])
		sound = sound && err == nil
		return word
	}
	number := func(i int) int64 {
		n, err := strconv.ParseInt(parts[i], 10, 64)
		sound = sound && err == nil
		return n
	}
	spell := func(i int) time.Duration { return time.Duration(number(i)) * time.Millisecond }
	w = Forwarding{
		Service: words(0), Instance: words(1), Route: words(2), Rank: int(number(3)), Repeat: parts[4][0] == '1', Sampled: parts[4][1] == '1', Once: parts[4][2] == '1',
		Patience: spell(5), Aim: spell(6), Stay: spell(7), Serial: uint64(number(8)), Trace: parts[9],
	}
	return w, sound
}

// LoadReport is what an admission queue tells of itself with each answer.
type LoadReport struct {
	admission.Load
	Waited  int
	IllPct  int
	Serial  uint64
	Leaving bool
	Further bool
}

func (w LoadReport) text() string {
	words := make([]string, 0, 10)
	for _, n := range []int{w.InFlight, w.Waiting, w.Limit, w.HoldMs, w.TopMs, w.RestMs, w.Waited, w.IllPct} {
		words = append(words, strconv.Itoa(n))
	}
	return strings.Join(append(words, strconv.FormatUint(w.Serial, 10), flag(w.Leaving)+flag(w.Further)), ",")
}

func readLoadReport(text string) (w LoadReport, ok bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 10 || len(parts[9]) != 2 {
		return w, false
	}
	for i, at := range []*int{&w.InFlight, &w.Waiting, &w.Limit, &w.HoldMs, &w.TopMs, &w.RestMs, &w.Waited, &w.IllPct} {
		n, err := strconv.Atoi(parts[i])
		if err != nil {
			return w, false
		}
		*at = n
	}
	serial, err := strconv.ParseUint(parts[8], 10, 64)
	w.Serial, w.Leaving, w.Further = serial, parts[9][0] == '1', parts[9][1] == '1'
	return w, err == nil
}

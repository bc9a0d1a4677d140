package ford

import (
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	wayHeader     = "Mesh-Way"
	weightHeader  = "Mesh-Weight"
	outcomeHeader = "Mesh-Outcome"
)

var hops = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", wayHeader, weightHeader, outcomeHeader}

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

// Way is what the node beside the visitor tells the node beside the upstream.
type Way struct {
	Service  string
	Berth    string
	Route    string
	Rank     int
	Repeat   bool
	Patience time.Duration
	Stay     time.Duration
	Late     bool
	Serial   uint64
	Sampled  bool
	Trace    string
}

func flag(on bool) string {
	if on {
		return "1"
	}
	return ""
}

func (w Way) text() string {
	return strings.Join([]string{
		url.QueryEscape(w.Service), url.QueryEscape(w.Berth), url.QueryEscape(w.Route), strconv.Itoa(w.Rank), flag(w.Repeat),
		strconv.FormatInt(w.Patience.Milliseconds(), 10), flag(w.Late), strconv.FormatUint(w.Serial, 10), flag(w.Sampled), w.Trace, strconv.FormatInt(w.Stay.Milliseconds(), 10),
	}, ";")
}

func readWay(text string) (w Way, ok bool) {
	parts := strings.Split(text, ";")
	if len(parts) != 11 {
		return w, false
	}
	var faults []error
	note := func(err error) { faults = append(faults, err) }
	var err error
	w.Service, err = url.QueryUnescape(parts[0])
	note(err)
	w.Berth, err = url.QueryUnescape(parts[1])
	note(err)
	w.Route, err = url.QueryUnescape(parts[2])
	note(err)
	w.Rank, err = strconv.Atoi(parts[3])
	note(err)
	patience, err := strconv.ParseInt(parts[5], 10, 64)
	note(err)
	w.Serial, err = strconv.ParseUint(parts[7], 10, 64)
	note(err)
	stay, err := strconv.ParseInt(parts[10], 10, 64)
	note(err)
	w.Stay = time.Duration(stay) * time.Millisecond
	w.Repeat, w.Late, w.Sampled, w.Trace = parts[4] == "1", parts[6] == "1", parts[8] == "1", parts[9]
	w.Patience = time.Duration(patience) * time.Millisecond
	return w, !slices.ContainsFunc(faults, func(err error) bool { return err != nil })
}

// Weight is what a gate tells of itself with each answer.
type Weight struct {
	Flying  int
	Waiting int
	Limit   int
	HoldMs  int
	Serial  uint64
	Leaving bool
}

func (w Weight) text() string {
	return strconv.Itoa(w.Flying) + "," + strconv.Itoa(w.Waiting) + "," + strconv.Itoa(w.Limit) + "," + strconv.Itoa(w.HoldMs) + "," + strconv.FormatUint(w.Serial, 10) + "," + flag(w.Leaving)
}

func readWeight(text string) (w Weight, ok bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 6 {
		return w, false
	}
	var numbers [4]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i])
		if err != nil {
			return w, false
		}
		numbers[i] = n
	}
	serial, err := strconv.ParseUint(parts[4], 10, 64)
	return Weight{numbers[0], numbers[1], numbers[2], numbers[3], serial, parts[5] == "1"}, err == nil
}

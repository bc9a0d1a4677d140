package forwarding

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"curlewreach/internal/attempts"
)

// DeadlineMargin is how much earlier than the actual deadline the upstream is told that its deadline is.
const DeadlineMargin = 5 * time.Millisecond

// Numbers of fields and flags in the text form of metadata.
const (
	metadataFields = 10
	metadataFlags  = 3
)

// Metadata is what the client's node tells the upstream's node about a request.
type Metadata struct {
	Service string
	// Instance is the ID of the instance to serve the request; empty if any instance of the service may.
	Instance string
	Route    string
	// Rank is the priority of the route; 0 is the most urgent.
	Rank int
	// Retry is set for a retry, AtMostOnce for a request that must not run more than once.
	Retry, AtMostOnce bool
	// MayWait is set if the request may wait in the queue. WantedStartIn is the time within which it must start to
	// meet its latency target, LatestStartIn the time within which it must start for its work to be done by its
	// deadline. Either may be negative.
	MayWait                      bool
	WantedStartIn, LatestStartIn time.Duration
	// Serial is the version of the configuration by which the request was routed.
	Serial uint64
	// Sampled is set if a span of the request may be recorded. Trace holds its trace and parent span.
	Sampled bool
	Trace   string
	// Attempt is sent in a header of its own and is not part of the text form.
	Attempt attempts.Reference
}

// String returns the metadata in the form in which they are sent.
func (m Metadata) String() string {
	return strings.Join([]string{
		url.QueryEscape(m.Service), url.QueryEscape(m.Instance), url.QueryEscape(m.Route), strconv.Itoa(m.Rank), flag(m.Retry) + flag(m.Sampled) + flag(m.AtMostOnce),
		flag(m.MayWait), FormatMillis(m.WantedStartIn), FormatMillis(m.LatestStartIn), strconv.FormatUint(m.Serial, 10), m.Trace,
	}, ";")
}

// ParseMetadata parses metadata formatted by String.
func ParseMetadata(text string) (m Metadata, ok bool) {
	fields := strings.Split(text, ";")
	if len(fields) != metadataFields || len(fields[4]) != metadataFlags {
		return m, false
	}
	valid := true
	str := func(i int) string {
		value, err := url.QueryUnescape(fields[i])
		valid = valid && err == nil
		return value
	}
	number := func(i int) int64 {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		valid = valid && err == nil
		return n
	}
	millis := func(i int) time.Duration { return time.Duration(number(i)) * time.Millisecond }
	m = Metadata{
		Service: str(0), Instance: str(1), Route: str(2), Rank: int(number(3)), Retry: fields[4][0] == '1', Sampled: fields[4][1] == '1', AtMostOnce: fields[4][2] == '1',
		MayWait: number(5) > 0, WantedStartIn: millis(6), LatestStartIn: millis(7), Serial: uint64(number(8)), Trace: fields[9],
	}
	return m, valid
}

// FormatMillis formats a duration in whole milliseconds.
func FormatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// flag formats a boolean as 1 or 0.
func flag(on bool) string {
	if on {
		return "1"
	}
	return "0"
}

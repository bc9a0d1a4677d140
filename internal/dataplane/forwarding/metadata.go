package forwarding

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"curlewreach/internal/attempts"
)

// DeadlineMargin is how much earlier than it is a deadline is told to an upstream.
const DeadlineMargin = 5 * time.Millisecond

// The form of metadata as text.
const (
	metadataParts = 10
	metadataFlags = 3
)

// Metadata is what the node beside the client tells the node beside the upstream.
type Metadata struct {
	Service string
	// Instance is the upstream's, empty where any of the service will do.
	Instance string
	Route    string
	// Rank is the route's priority; 0 is the most urgent.
	Rank int
	// Retry tells a retry, and Once a request that may run once at most.
	Retry, AtMostOnce bool
	// MaxWait is the longest wait in a queue that is accepted; Aim and Stay are the time left to start so that the answer
	// meets the latency target, and to start at all.
	MaxWait, SoftDeadlineIn, HardDeadlineIn time.Duration
	// Serial is the version of the configuration that the request was read by.
	Serial uint64
	// Sampled tells that a span may be kept of the request, and Trace is its trace and parent.
	Sampled bool
	Trace   string
	// Attempt is not part of the text.
	Attempt attempts.Reference
}

// String is the metadata as it is sent.
func (m Metadata) String() string {
	return strings.Join([]string{
		url.QueryEscape(m.Service), url.QueryEscape(m.Instance), url.QueryEscape(m.Route), strconv.Itoa(m.Rank), flag(m.Retry) + flag(m.Sampled) + flag(m.AtMostOnce),
		FormatMillis(m.MaxWait), FormatMillis(m.SoftDeadlineIn), FormatMillis(m.HardDeadlineIn), strconv.FormatUint(m.Serial, 10), m.Trace,
	}, ";")
}

// ParseMetadata reads metadata as String wrote it.
func ParseMetadata(text string) (m Metadata, ok bool) {
	parts := strings.Split(text, ";")
	if len(parts) != metadataParts || len(parts[4]) != metadataFlags {
		return m, false
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
	m = Metadata{
		Service: words(0), Instance: words(1), Route: words(2), Rank: int(number(3)), Retry: parts[4][0] == '1', Sampled: parts[4][1] == '1', AtMostOnce: parts[4][2] == '1',
		MaxWait: spell(5), SoftDeadlineIn: spell(6), HardDeadlineIn: spell(7), Serial: uint64(number(8)), Trace: parts[9],
	}
	return m, sound
}

// FormatMillis is a duration as it is sent, in whole milliseconds.
func FormatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func flag(on bool) string {
	if on {
		return "1"
	}
	return "0"
}

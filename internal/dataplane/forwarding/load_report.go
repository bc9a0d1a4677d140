package forwarding

import (
	"strconv"
	"strings"

	"curlewreach/internal/dataplane/admission"
)

// The form of a load report as text.
const (
	reportParts = 10
	reportFlags = 2
)

// LoadReport is what the node beside an upstream tells of the upstream with each answer.
type LoadReport struct {
	admission.Load
	// WaitedMs is how long this request waited in the queue, in milliseconds.
	WaitedMs int
	// FailurePercent is the part of the upstream's late answers that were failures.
	FailurePercent int
	// Serial is the version of the configuration in force at that node.
	Serial uint64
	// Leaving tells that no further requests should come.
	Leaving bool
	// NestedCall tells that the request is a call of another upstream.
	NestedCall bool
}

// String is the report as it is sent.
func (l LoadReport) String() string {
	words := make([]string, 0, reportParts)
	for _, n := range []int{l.InFlight, l.Waiting, l.Limit, l.ServiceTimeMs, l.UrgentWaitMs, l.NormalWaitMs, l.WaitedMs, l.FailurePercent} {
		words = append(words, strconv.Itoa(n))
	}
	return strings.Join(append(words, strconv.FormatUint(l.Serial, 10), flag(l.Leaving)+flag(l.NestedCall)), ",")
}

// ParseLoadReport reads a report as String wrote it.
func ParseLoadReport(text string) (l LoadReport, ok bool) {
	parts := strings.Split(text, ",")
	if len(parts) != reportParts || len(parts[9]) != reportFlags {
		return l, false
	}
	for i, at := range []*int{&l.InFlight, &l.Waiting, &l.Limit, &l.ServiceTimeMs, &l.UrgentWaitMs, &l.NormalWaitMs, &l.WaitedMs, &l.FailurePercent} {
		n, err := strconv.Atoi(parts[i])
		if err != nil {
			return l, false
		}
		*at = n
	}
	serial, err := strconv.ParseUint(parts[8], 10, 64)
	l.Serial, l.Leaving, l.NestedCall = serial, parts[9][0] == '1', parts[9][1] == '1'
	return l, err == nil
}

package forwarding

import (
	"strconv"
	"strings"

	"curlewreach/internal/dataplane/admission"
)

// Numbers of fields and flags in the text form of a load report.
const (
	loadReportFields = 10
	loadReportFlags  = 2
)

// LoadReport is what an upstream's node reports about the upstream with each response.
type LoadReport struct {
	admission.Load
	// WaitedMs is how long this request waited in the queue, in milliseconds.
	WaitedMs int
	// FailurePercent is the recent failure rate of the upstream, in percent.
	FailurePercent int
	// Serial is the version of the configuration in force at the reporting node.
	Serial uint64
	// Leaving is set if the upstream takes no further requests.
	Leaving bool
	// NestedCall is set if an upstream made this request while it served another one.
	NestedCall bool
}

// String returns the report in the form in which it is sent.
func (l LoadReport) String() string {
	fields := make([]string, 0, loadReportFields)
	for _, n := range []int{l.InFlight, l.Waiting, l.Limit, l.ServiceTimeMs, l.SlotWaitMs, l.QueueWaitMs, l.WaitedMs, l.FailurePercent} {
		fields = append(fields, strconv.Itoa(n))
	}
	return strings.Join(append(fields, strconv.FormatUint(l.Serial, 10), flag(l.Leaving)+flag(l.NestedCall)), ",")
}

// ParseLoadReport parses a report formatted by String.
func ParseLoadReport(text string) (l LoadReport, ok bool) {
	fields := strings.Split(text, ",")
	if len(fields) != loadReportFields || len(fields[9]) != loadReportFlags {
		return l, false
	}
	for i, field := range []*int{&l.InFlight, &l.Waiting, &l.Limit, &l.ServiceTimeMs, &l.SlotWaitMs, &l.QueueWaitMs, &l.WaitedMs, &l.FailurePercent} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			return l, false
		}
		*field = n
	}
	serial, err := strconv.ParseUint(fields[8], 10, 64)
	l.Serial, l.Leaving, l.NestedCall = serial, fields[9][0] == '1', fields[9][1] == '1'
	return l, err == nil
}

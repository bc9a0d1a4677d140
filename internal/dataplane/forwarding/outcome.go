package forwarding

import (
	"strconv"
	"strings"
	"time"

	"curlewreach/base"
)

// State is the state of one attempt of a request. It determines whether a retry is safe.
type State int

const (
	// Running is the state of an attempt that was sent and has no outcome yet.
	Running State = iota
	// Answered means that the upstream gave a response to pass on to the client.
	Answered
	// Failed means that the upstream responded with a failure status; it may have run the request.
	Failed
	// NotRun means that the attempt has certainly not run and never will, so that a retry is always safe.
	NotRun
	// Indeterminate means that there is no usable response and that the upstream may have run the request.
	Indeterminate
)

// outcomeFields is the number of fields in the text form of an outcome.
const outcomeFields = 4

// Outcome is the result of an attempt.
type Outcome struct {
	State State
	// Kind and reason say why there is no response.
	Kind   base.Kind
	reason string
	// ReachedUpstream is set if the attempt got as far as the upstream, so that another attempt counts as a
	// retry.
	ReachedUpstream bool
	// RetryAfter is how long to wait before another attempt.
	RetryAfter time.Duration
	Response   *Response
	// Load is the load report of the upstream's node; nil if it sent none.
	Load *LoadReport
	// Waited is how long the request waited in the queue in front of the upstream.
	Waited time.Duration
	// NestedCall is set if an upstream made this request while it served another one.
	NestedCall bool
}

// NotRunOutcome returns the outcome of a request that has certainly not run because of the given fault.
func NotRunOutcome(fault *base.Fault) Outcome {
	return Outcome{State: NotRun, Kind: fault.Kind, reason: fault.Reason, RetryAfter: fault.RetryAfter}
}

// RejectedOutcome returns the outcome of a request that is rejected before it runs.
func RejectedOutcome(fault *base.Fault) *Outcome {
	o := NotRunOutcome(fault)
	return &o
}

// IndeterminateOutcome returns the outcome of a request that may have run.
func IndeterminateOutcome(kind base.Kind, reason string) Outcome {
	return Outcome{State: Indeterminate, Kind: kind, reason: reason, ReachedUpstream: true}
}

// String returns an outcome without a response in the form in which it is sent. The reason is left out.
func (o Outcome) String() string {
	return strings.Join([]string{string(o.Kind), flag(o.ReachedUpstream), flag(o.State == Indeterminate), strconv.FormatInt(o.RetryAfter.Milliseconds(), 10)}, ";")
}

// ParseOutcome parses an outcome formatted by String.
func ParseOutcome(text string) (o Outcome, ok bool) {
	fields := strings.Split(text, ";")
	if len(fields) != outcomeFields {
		return o, false
	}
	after, err := strconv.ParseInt(fields[3], 10, 64)
	o = Outcome{Kind: base.Kind(fields[0]), ReachedUpstream: fields[1] == "1", State: NotRun, RetryAfter: time.Duration(after) * time.Millisecond}
	if fields[2] == "1" {
		o.State, o.ReachedUpstream = Indeterminate, true
	}
	return o, err == nil
}

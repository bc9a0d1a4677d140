package forwarding

import (
	"strconv"
	"strings"
	"time"

	"curlewreach/base"
)

// State is the state of one attempt of a request. The outcome decides whether a retry is safe.
type State int

const (
	// Running means: sent, no outcome yet.
	Running State = iota
	// Answered means: the upstream gave a response to pass on to the client.
	Answered
	// Failed means: the upstream answered with a failure status; it may have run the request.
	Failed
	// NotRun means: the attempt certainly never ran, so that a retry is always safe.
	NotRun
	// Indeterminate means: no usable response, and the upstream may have run the request.
	Indeterminate
)

// outcomeParts is how many parts an outcome has as text.
const outcomeParts = 4

// Outcome is how an attempt ended.
type Outcome struct {
	State State
	// Kind and reason say why there is no answer.
	Kind   base.Kind
	reason string
	// ReachedUpstream tells that the attempt came as far as the upstream, so that another one is a retry.
	ReachedUpstream bool
	// RetryAfter is when to come back.
	RetryAfter time.Duration
	Response   *Response
	// Load is nil if the node beside the upstream told nothing.
	Load *LoadReport
	// Waited is how long the request waited in the queue in front of the upstream.
	Waited time.Duration
	// NestedCall tells that the request is a call of another upstream.
	NestedCall bool
}

// NotRunOutcome is the outcome of a request that is certain not to have run, for the fault given.
func NotRunOutcome(fault *base.Fault) Outcome {
	return Outcome{State: NotRun, Kind: fault.Kind, reason: fault.Reason, RetryAfter: fault.After}
}

// RejectedOutcome is the outcome of a request that is turned away before it runs.
func RejectedOutcome(fault *base.Fault) *Outcome {
	o := NotRunOutcome(fault)
	return &o
}

// IndeterminateOutcome is the outcome of a request that may have run.
func IndeterminateOutcome(kind base.Kind, reason string) Outcome {
	return Outcome{State: Indeterminate, Kind: kind, reason: reason, ReachedUpstream: true}
}

// String is an outcome without an answer, as it is sent.
func (o Outcome) String() string {
	return strings.Join([]string{string(o.Kind), flag(o.ReachedUpstream), flag(o.State == Indeterminate), strconv.FormatInt(o.RetryAfter.Milliseconds(), 10)}, ";")
}

// ParseOutcome reads an outcome as String wrote it.
func ParseOutcome(text string) (o Outcome, ok bool) {
	parts := strings.Split(text, ";")
	if len(parts) != outcomeParts {
		return o, false
	}
	after, err := strconv.ParseInt(parts[3], 10, 64)
	o = Outcome{Kind: base.Kind(parts[0]), ReachedUpstream: parts[1] == "1", State: NotRun, RetryAfter: time.Duration(after) * time.Millisecond}
	if parts[2] == "1" {
		o.State, o.ReachedUpstream = Indeterminate, true
	}
	return o, err == nil
}

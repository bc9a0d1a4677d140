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
	// Doubtful means: no usable response, and the upstream may have run the request.
	Doubtful
)

// outcomeParts is how many parts an outcome has as text.
const outcomeParts = 4

// Outcome is how an attempt ended.
type Outcome struct {
	State State
	// Kind and reason say why there is no answer.
	Kind   base.Kind
	reason string
	// Arrived tells that the attempt came as far as the upstream, so that another one is a retry.
	Arrived bool
	// After is when to come back.
	After  time.Duration
	Answer *Answer
	// Load is nil if the node beside the upstream told nothing.
	Load *LoadReport
	// Waited is how long the request waited in the queue in front of the upstream.
	Waited time.Duration
	// Further tells that the request is a call of another upstream.
	Further bool
}

// NotRunBy is the outcome of a request that is certain not to have run, for the fault given.
func NotRunBy(fault *base.Fault) Outcome {
	return Outcome{State: NotRun, Kind: fault.Kind, reason: fault.Reason, After: fault.After}
}

// Rejected is the outcome of a request that is turned away before it runs.
func Rejected(fault *base.Fault) *Outcome {
	o := NotRunBy(fault)
	return &o
}

// Doubt is the outcome of a request that may have run.
func Doubt(kind base.Kind, reason string) Outcome {
	return Outcome{State: Doubtful, Kind: kind, reason: reason, Arrived: true}
}

// String is an outcome without an answer, as it is sent.
func (o Outcome) String() string {
	return strings.Join([]string{string(o.Kind), flag(o.Arrived), flag(o.State == Doubtful), strconv.FormatInt(o.After.Milliseconds(), 10)}, ";")
}

// ParseOutcome reads an outcome as String wrote it.
func ParseOutcome(text string) (o Outcome, ok bool) {
	parts := strings.Split(text, ";")
	if len(parts) != outcomeParts {
		return o, false
	}
	after, err := strconv.ParseInt(parts[3], 10, 64)
	o = Outcome{Kind: base.Kind(parts[0]), Arrived: parts[1] == "1", State: NotRun, After: time.Duration(after) * time.Millisecond}
	if parts[2] == "1" {
		o.State, o.Arrived = Doubtful, true
	}
	return o, err == nil
}

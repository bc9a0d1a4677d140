package judge

import (
	"time"

	"curlewreach/proto/wire"
)

// Run is a request's arrival at an upstream.
type Run struct {
	At      time.Duration
	ID      string
	Service string
	// Address is the upstream's address.
	Address string
	// Serial is the bundle that the request was sent under.
	Serial uint64
	// Leaving is set if the upstream had said, at Left, that it is leaving.
	Leaving bool
	Left    time.Duration
	Method  string
	Path    string
}

// Call is a request as its visitor saw it.
type Call struct {
	ID      string
	Service string
	Route   string
	Group   string
	// Via is the node that it was sent to.
	Via     string
	Started time.Duration
	Ended   time.Duration
	Status  int
	// Outcome is what the mesh said of a request it refused: "not-run" or
	// "unknown"; empty for an upstream's answer.
	Outcome string
	// Kind and Reason are the mesh's error.
	Kind   string
	Reason string
	// Broken tells what was wrong with the answer, if anything.
	Broken string
	// RetryAfter is the answer's Retry-After.
	RetryAfter string
	Trace      string
}

// Answered reports whether an upstream's answer came whole.
func (c Call) Answered() bool { return c.Broken == "" && c.Outcome == "" }

// Ack is an outcome that an operator was told.
type Ack struct {
	At         time.Duration
	Submission string
	Verdict    wire.Verdict
	Serial     uint64
}

// Sent is a request sent by a node under a bundle.
type Sent struct {
	At     time.Duration
	Node   string
	Serial uint64
}

// FailedDial is a failed dial for an attempt; Ordinal counts a request's attempts
// from 0.
type FailedDial struct {
	At      time.Duration
	Service string
	Attempt int
}

// Sample is a sample of a node: the bundle it holds, whether it would serve,
// and whether nothing troubles the fleet (Calm).
type Sample struct {
	At     time.Duration
	Node   string
	Serial uint64
	Digest string
	Ready  bool
	Calm   bool
}

// Readback is what a disk had of the bundle; Reason is why it couldn't be read.
type Readback struct {
	At     time.Duration
	Disk   string
	Serial uint64
	Body   []byte
	Reason string
}

// Disturbance is the time of a trouble or a planned stop. Till is negative while it
// lasts.
type Disturbance struct {
	Node    string
	Cause   string
	Planned bool
	From    time.Duration
	Until   time.Duration
}

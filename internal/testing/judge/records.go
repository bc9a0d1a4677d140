package judge

import (
	"time"

	"curlewreach/proto/wire"
)

// Run is the arrival of a request at an upstream. Times are readings of the history's monotonic clock, here and in the
// other records. Runs are written to and read from History.RunLog as JSON.
type Run struct {
	At      time.Duration
	ID      string
	Service string
	// Address is the upstream's address.
	Address string `json:"Seat"`
	// Serial is the serial number of the bundle under which the node sent the request.
	Serial uint64
	// Leaving is set if the upstream had announced, at Left, that it is leaving.
	Leaving bool
	Left    time.Duration
	Method  string
	Path    string
}

// Call is a request as its client saw it. curlew standin prints calls as JSON.
type Call struct {
	ID      string
	Service string
	Route   string
	Group   string
	// Via is the node through which the client sent it.
	Via     string
	Started time.Duration `json:"Begun"`
	Ended   time.Duration
	Status  int
	// Outcome is what the mesh reported for a request that it answered with an error: "not-run" or "unknown". It is empty
	// for an upstream's answer.
	Outcome string
	// Kind and Reason describe the mesh's error.
	Kind   string
	Reason string
	// Broken describes what was wrong with the answer, and is empty otherwise. It begins with "torn" if the client could
	// tell that the answer is incomplete, and with "not whole" if it could not.
	Broken string
	// RetryAfter is the answer's Retry-After header.
	RetryAfter string `json:"Again"`
	Trace      string
}

// Answered reports whether the client received a complete answer of an upstream.
func (c Call) Answered() bool { return c.Broken == "" && c.Outcome == "" }

// Ack is the outcome of a submission as reported to an operator.
type Ack struct {
	At         time.Duration
	Submission string
	Verdict    wire.Verdict
	Serial     uint64
}

// Sent is a request that a node sent to an upstream under the bundle with this serial number.
type Sent struct {
	At     time.Duration
	Node   string
	Serial uint64
}

// FailedDial is an attempt of a request that failed to connect. Attempt counts a request's attempts from 0.
type FailedDial struct {
	At      time.Duration
	Service string
	Attempt int
}

// Sample is a sample of a node's state: the bundle it holds, whether it would serve requests (Ready), and whether the
// fleet has been undisturbed for some time (Calm).
type Sample struct {
	At     time.Duration
	Node   string
	Serial uint64
	Digest string
	Ready  bool
	Calm   bool
}

// Readback is the bundle as read from a core machine's disk. Reason is the error if it couldn't be read.
type Readback struct {
	At     time.Duration
	Disk   string
	Serial uint64
	Body   []byte
	Reason string
}

// Disturbance is a fault or a planned stop and the time that it lasted. Until is negative while it lasts.
type Disturbance struct {
	Node    string
	Cause   string
	Planned bool
	From    time.Duration
	Until   time.Duration
}

package judge

import (
	"time"

	"curlewreach/proto/wire"
)

type Run struct {
	At      time.Duration
	ID      string
	Service string
	Seat    string
	Serial  uint64
	Leaving bool
	Left    time.Duration
	Method  string
	Path    string
}

type Call struct {
	ID      string
	Service string
	Route   string
	Group   string
	Via     string
	Begun   time.Duration
	Ended   time.Duration
	Status  int
	Outcome string
	Kind    string
	Reason  string
	Broken  string
	Again   string
	Trace   string
}

func (c Call) Answered() bool { return c.Broken == "" && c.Outcome == "" }

type Ack struct {
	At         time.Duration
	Submission string
	Verdict    wire.Verdict
	Serial     uint64
}

type Sent struct {
	At     time.Duration
	Node   string
	Serial uint64
}

type Dial struct {
	At      time.Duration
	Service string
	Ordinal int
}

type Reading struct {
	At     time.Duration
	Node   string
	Serial uint64
	Digest string
	Ready  bool
	Calm   bool
}

type Readback struct {
	At     time.Duration
	Disk   string
	Serial uint64
	Body   []byte
	Reason string
}

type Spell struct {
	Node    string
	Cause   string
	Planned bool
	From    time.Duration
	Till    time.Duration
}

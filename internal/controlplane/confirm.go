package controlplane

import (
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// readSequence counts the majority reads started so far. A request takes the count when it arrives, to tell reads
// started after its arrival from earlier ones.
type readSequence uint64

// sharedReads shares majority reads of one register among concurrent requests. Which read may serve which request
// follows from their sequence numbers alone, so neither a stalled process nor a clock step can make a read look newer
// than it is.
type sharedReads[Result any] struct {
	lock    base.ContextMutex
	started atomic.Uint64
	last    Result // guarded by lock
}

// readResult is the outcome of one majority read of the configuration; version is nil unless confirmed.
type readResult struct {
	version   *configurationVersion
	confirmed bool
}

func newSharedReads[Result any]() *sharedReads[Result] {
	return &sharedReads[Result]{lock: base.NewContextMutex()}
}

// sequence returns the number of majority reads started so far.
func (r *sharedReads[Result]) sequence() readSequence { return readSequence(r.started.Load()) }

// readAfter returns the result of a read that started after the arrival of the request. It starts one unless
// another request has done so since. It returns the zero result if the scope ends first.
func (r *sharedReads[Result]) readAfter(s base.Scope, arrival readSequence, read func() Result) (result Result) {
	if !r.lock.Lock(s) {
		return result
	}
	defer r.lock.Unlock()
	if readSequence(r.started.Load()) == arrival {
		r.started.Add(1)
		r.last = read()
	}
	return r.last
}

// readAfter returns the newest configuration found by a majority read that started after the request arrived.
func (m *Server) readAfter(s base.Scope, arrival readSequence) readResult {
	return m.reads.readAfter(s, arrival, m.readFromMajority)
}

// readFromMajority reads the newest configuration from a majority. It doesn't become the register's owner, so a
// change in progress isn't disturbed.
func (m *Server) readFromMajority() readResult {
	c := m.core.Load()
	if c == nil {
		return readResult{}
	}
	s, cancel := m.scope.WithTimeout(ratioOf(m.params.Load().Ack, operatorTimeoutRatio))
	defer cancel()
	result := c.replica.QuorumRead(s, ConfigurationKey)
	if !result.MajorityReplied || !result.UpToDate {
		return readResult{}
	}
	return readResult{version: m.configuration.Load().decode(m.scope, result.Version), confirmed: true}
}

// majorityAge returns how long ago the last round started in which a majority answered; known is false if there
// was none.
func (m *Server) majorityAge() (age time.Duration, known bool) {
	c := m.core.Load()
	if c == nil {
		return 0, false
	}
	began, known := c.replica.LastMajority()
	return m.scope.Clock.Mono() - began, known
}

// newestChosen returns the newest configuration known here to be chosen, and its freshness in milliseconds: the
// age of the last round in which a majority held nothing newer. freshMs is nil if there was no such round. Both
// are read together, so the configuration is never older than freshMs claims.
func (m *Server) newestChosen() (newest *configurationVersion, freshMs *uint64) {
	c := m.core.Load()
	if c == nil {
		return m.configuration.Load(), nil
	}
	previous := m.configuration.Load() // loaded first, so that it can't be newer than the version read below
	version, asOf, known := c.replica.ChosenAsOf(ConfigurationKey)
	newest = previous.decode(m.scope, version)
	if known {
		freshMs = proto.Uint64(base.Milliseconds(m.scope.Clock.Mono()-asOf) + 1)
	}
	return newest, freshMs
}

// wantsConfirmation reports whether a poll asks for a confirmed configuration. Nodes of the previous version don't
// set Confirm; they ask for it by holding no configuration.
func wantsConfirmation(req *wire.PollRequest) bool {
	return req.Confirm || req.Wants && req.Serial == 0
}

// answerConfirmed answers with a configuration confirmed by a majority read that started after the poll arrived. Without a majority it answers unconfirmed as soon as the node would learn something new, and otherwise
// retries for as long as the node waits.
func (m *Server) answerConfirmed(s base.Scope, req *wire.PollRequest, maxWait time.Duration) (*connect.Response[wire.PollReply], error) {
	began := s.Clock.Mono()
	for {
		changed := m.changed.Next()
		read := m.readAfter(s, m.reads.sequence())
		newest := read.version
		if !read.confirmed {
			newest = m.configuration.Load()
		}
		reply, hasNews := m.buildReply(req, newest)
		reply.Confirmed, reply.Settled = read.confirmed, read.confirmed
		waited := s.Clock.Mono() - began
		if read.confirmed {
			reply.FreshMs, reply.HeldMs = proto.Uint64(base.Milliseconds(waited)), base.Milliseconds(waited) // the read started after the poll arrived
		}
		if err := s.Err(); err != nil {
			return nil, err
		}
		if hasNews || read.confirmed && reply.Serial > 0 || waited >= maxWait || m.stopping.Load() {
			return connect.NewResponse(reply), nil
		}
		pause := maxWait - waited
		if !read.confirmed {
			pause = min(pause, ratioOf(m.params.Load().InForce, retryIntervalRatio))
		}
		base.Await(s, pause, changed)
	}
}

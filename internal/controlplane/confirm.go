package controlplane

import (
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// question marks the moment at which a question came, by the majority reads begun until then.
type question uint64

// configurationReads shares majority reads of the configuration among all questions that wait for one.
// Which read serves which question is decided by their numbers alone: no clock, freeze or clock step can blur it.
type configurationReads struct {
	latch base.ContextMutex
	begun atomic.Uint64
	last  configurationRead // guarded by latch
}

// configurationRead is the outcome of one majority read.
type configurationRead struct {
	view      *view
	confirmed bool
}

func newConfigurationReads() *configurationReads {
	return &configurationReads{latch: base.NewContextMutex()}
}

// ask marks the present moment.
func (r *configurationReads) ask() question { return question(r.begun.Load()) }

// since gives the outcome of a read that began after the question; it begins one unless another question already did.
func (r *configurationReads) since(s base.Scope, asked question, read func() configurationRead) configurationRead {
	if !r.latch.Lock(s) {
		return configurationRead{}
	}
	defer r.latch.Unlock()
	if question(r.begun.Load()) == asked {
		r.begun.Add(1)
		r.last = read()
	}
	return r.last
}

// confirmSince gives the newest acknowledged configuration, as a majority read that began after the question found it.
func (m *Server) confirmSince(s base.Scope, asked question) configurationRead {
	return m.reads.since(s, asked, m.readConfiguration)
}

// readConfiguration reads the configuration from a majority now. It never takes the register over: a change under way stays undisturbed.
func (m *Server) readConfiguration() configurationRead {
	c := m.core.Load()
	if c == nil {
		return configurationRead{}
	}
	s, cancel := m.scope.WithTimeout(ratioOf(m.params.Load().Ack, callRatio))
	defer cancel()
	survey := c.replica.QuorumRead(s, ConfigurationKey)
	if !survey.MajorityReplied || !survey.UpToDate {
		return configurationRead{}
	}
	return configurationRead{view: m.view.Load().decode(m.scope, survey.Version), confirmed: true}
}

// majorityAge is how long ago the last round that heard a majority began, if this control machine ever heard one.
func (m *Server) majorityAge() (age time.Duration, known bool) {
	c := m.core.Load()
	if c == nil {
		return 0, false
	}
	began, known := c.replica.LastMajority()
	return m.scope.Clock.Mono() - began, known
}

// freshest gives the newest configuration known here to be chosen, and for how long no newer one can have been chosen unseen:
// the age of the last round of questions after which a majority held nothing newer. The age is nil while there was no
// such round. The configuration is read with the age, so that it is never older than the age claims.
func (m *Server) freshest() (seen *view, freshMs *uint64) {
	c := m.core.Load()
	if c == nil {
		return m.view.Load(), nil
	}
	before := m.view.Load() // loaded first: the version can't be older than it
	version, asOf, known := c.replica.ChosenAsOf(ConfigurationKey)
	seen = before.decode(m.scope, version)
	if known {
		freshMs = proto.Uint64(base.Milliseconds(m.scope.Clock.Mono()-asOf) + 1)
	}
	return seen, freshMs
}

// confirms tells whether a poll asks for a confirmed configuration; nodes of the version before ask so by holding none.
func confirms(ask *wire.PollRequest) bool { return ask.Confirm || ask.Wants && ask.Serial == 0 }

// answerConfirmed answers once a majority read that began after the question is over. Without a majority it tells what
// is known here, unconfirmed, as soon as that is news to the node, and else goes on trying for as long as the node waits.
func (m *Server) answerConfirmed(s base.Scope, ask *wire.PollRequest, hold time.Duration) (*connect.Response[wire.PollReply], error) {
	began := s.Clock.Mono()
	for {
		news := m.changed.Next()
		read := m.confirmSince(s, m.reads.ask())
		seen := read.view
		if !read.confirmed {
			seen = m.view.Load()
		}
		reply, fresh := m.buildReply(ask, seen)
		reply.Confirmed, reply.Settled = read.confirmed, read.confirmed
		held := s.Clock.Mono() - began
		if read.confirmed {
			reply.FreshMs, reply.HeldMs = proto.Uint64(base.Milliseconds(held)), base.Milliseconds(held) // the read began after the question came
		}
		if err := s.Err(); err != nil {
			return nil, err
		}
		if fresh || read.confirmed && reply.Serial > 0 || held >= hold || m.stopping.Load() {
			return connect.NewResponse(reply), nil
		}
		pause := hold - held
		if !read.confirmed {
			pause = min(pause, ratioOf(m.params.Load().InForce, stepRatio))
		}
		base.Await(s, pause, news)
	}
}

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

// chartReads shares majority reads of the chart among all questions that wait for one.
// Which read serves which question is decided by their numbers alone: no clock, freeze or clock step can blur it.
type chartReads struct {
	latch base.Latch
	begun atomic.Uint64
	last  chartRead // guarded by latch
}

// chartRead is the outcome of one majority read.
type chartRead struct {
	view      *view
	confirmed bool
}

func newChartReads() *chartReads { return &chartReads{latch: base.NewLatch()} }

// ask marks the present moment.
func (r *chartReads) ask() question { return question(r.begun.Load()) }

// since gives the outcome of a read that began after the question; it begins one unless another question already did.
func (r *chartReads) since(s base.Scope, asked question, read func() chartRead) chartRead {
	if !r.latch.Take(s) {
		return chartRead{}
	}
	defer r.latch.Drop()
	if question(r.begun.Load()) == asked {
		r.begun.Add(1)
		r.last = read()
	}
	return r.last
}

// confirmSince gives the newest acknowledged chart, as a majority read that began after the question found it.
func (m *Server) confirmSince(s base.Scope, asked question) chartRead {
	return m.reads.since(s, asked, m.readChart)
}

// readChart reads the chart from a majority now. It never takes the register over: a change under way stays undisturbed.
func (m *Server) readChart() chartRead {
	c := m.core.Load()
	if c == nil {
		return chartRead{}
	}
	s, cancel := m.scope.Within(part(m.params.Load().Ack, callRatio))
	defer cancel()
	survey := c.replica.Survey(s, ChartKey)
	if !survey.Agreed || !survey.Settled {
		return chartRead{}
	}
	return chartRead{view: m.view.Load().next(m.scope, survey.Version), confirmed: true}
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

// freshest gives the newest chart known here to be chosen, and for how long no newer one can have been chosen unseen:
// the age of the last round of questions after which a majority held nothing newer. The age is nil while there was no
// such round. The chart is read with the age, so that it is never older than the age claims.
func (m *Server) freshest() (seen *view, freshMs *uint64) {
	c := m.core.Load()
	if c == nil {
		return m.view.Load(), nil
	}
	before := m.view.Load() // loaded first: the version can't be older than it
	version, asOf, known := c.replica.Fresh(ChartKey)
	seen = before.next(m.scope, version)
	if known {
		freshMs = proto.Uint64(ms(m.scope.Clock.Mono()-asOf) + 1)
	}
	return seen, freshMs
}

// confirms tells whether a poll asks for a confirmed chart; nodes of the version before ask so by holding none.
func confirms(ask *wire.HailRequest) bool { return ask.Confirm || ask.Wants && ask.Serial == 0 }

// answerConfirmed answers once a majority read that began after the question is over. Without a majority it tells what
// is known here, unconfirmed, as soon as that is news to the node, and else goes on trying for as long as the node waits.
func (m *Server) answerConfirmed(s base.Scope, ask *wire.HailRequest, hold time.Duration) (*connect.Response[wire.HailReply], error) {
	began := s.Clock.Mono()
	for {
		news := m.news.Heard()
		read := m.confirmSince(s, m.reads.ask())
		seen := read.view
		if !read.confirmed {
			seen = m.view.Load()
		}
		reply, fresh := m.tell(ask, seen)
		reply.Confirmed, reply.Settled = read.confirmed, read.confirmed
		held := s.Clock.Mono() - began
		if read.confirmed {
			reply.FreshMs, reply.HeldMs = proto.Uint64(ms(held)), ms(held) // the read began after the question came
		}
		if err := s.Err(); err != nil {
			return nil, err
		}
		if fresh || read.confirmed && reply.Serial > 0 || held >= hold || m.stopping.Load() {
			return connect.NewResponse(reply), nil
		}
		pause := hold - held
		if !read.confirmed {
			pause = min(pause, part(m.params.Load().InForce, stepRatio))
		}
		base.Await(s, pause, news)
	}
}

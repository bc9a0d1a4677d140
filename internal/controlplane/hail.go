package controlplane

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

const longestHold = 2 * time.Second

type server struct{ moor *Moor }

func (v server) Hail(ctx context.Context, request *connect.Request[wire.HailRequest]) (*connect.Response[wire.HailReply], error) {
	m, ask := v.moor, request.Msg
	if m.roster.hear(ask.Post) {
		m.scope.Log.Info("node back", "of", ask.Post.Node)
		m.scope.Note("back", ask.Post.Node, "")
	}
	s := m.scope.Under(ctx)
	began, hold := s.Clock.Mono(), min(time.Duration(min(ask.WaitMs, 1<<20))*time.Millisecond, longestHold)
	for {
		news, moved := m.news.Heard(), m.roster.bell.Heard()
		reply, fresh := m.tell(ask)
		held := s.Clock.Mono() - began
		if fresh || held >= hold || m.stopping.Load() {
			return connect.NewResponse(reply), nil
		}
		base.Await(s, hold-held, news, moved)
		if err := s.Err(); err != nil {
			return nil, err
		}
	}
}

func (m *Moor) tell(ask *wire.HailRequest) (reply *wire.HailReply, fresh bool) {
	seen := m.view.Load()
	reply = &wire.HailReply{Keel: m.incarnation, Settled: m.Settled(), Serial: seen.serial(), Whole: ask.Keel != m.incarnation}
	if c := m.core.Load(); c != nil {
		reply.Keels = c.replica.Voters()
	}
	if reply.Serial > ask.Serial {
		fresh = true
		if ask.Wants {
			reply.Chart = seen.head.GetChart()
		}
	}
	if odds := m.learning.Load().said.GetOdds(); odds.GetSerial() > ask.Odds {
		reply.Odds, fresh = odds, true
	}
	reply.Sights, reply.Roster = m.roster.since(ask.Roster, reply.Whole, ask.Post.GetNode())
	return reply, fresh || reply.Whole || len(reply.Sights) > 0
}

package controlplane

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

const longestHold = 2 * time.Second

type rpcService struct{ server *Server }

func (v rpcService) Hail(ctx context.Context, request *connect.Request[wire.HailRequest]) (*connect.Response[wire.HailReply], error) {
	m, ask := v.server, request.Msg
	if m.roster.hear(ask.Post) {
		m.scope.Log.Info("node back", "of", ask.Post.Node)
		m.scope.Note("back", ask.Post.Node, "")
	}
	s := m.scope.Under(ctx)
	hold := min(time.Duration(min(ask.WaitMs, 1<<20))*time.Millisecond, longestHold)
	if confirms(ask) {
		return m.answerConfirmed(s, ask, hold)
	}
	began := s.Clock.Mono()
	for {
		news, moved := m.news.Heard(), m.roster.bell.Heard()
		held := s.Clock.Mono() - began
		seen, freshMs := m.freshest()
		reply, fresh := m.tell(ask, seen)
		reply.FreshMs, reply.HeldMs = freshMs, ms(held)
		if fresh || held >= hold || m.stopping.Load() {
			return connect.NewResponse(reply), nil
		}
		base.Await(s, hold-held, news, moved)
		if err := s.Err(); err != nil {
			return nil, err
		}
	}
}

// tell answers a poll with the chart seen and all else that is news to the node; fresh says whether anything is.
func (m *Server) tell(ask *wire.HailRequest, seen *view) (reply *wire.HailReply, fresh bool) {
	reply = &wire.HailReply{Keel: m.incarnation, Serial: seen.serial(), Whole: ask.Keel != m.incarnation}
	if age, known := m.majorityAge(); known {
		reply.MajorityMs = proto.Uint64(ms(age))
	}
	if c := m.core.Load(); c != nil {
		reply.Keels = c.replica.Voters()
	}
	fresh = reply.Serial > ask.Serial
	if ask.Wants && (fresh || confirms(ask) && reply.Serial != ask.Serial) {
		reply.Chart = seen.head.GetChart()
	}
	if ask.ConfigOnly {
		reply.Whole, reply.Roster = false, ask.Roster
		return reply, fresh
	}
	if odds := m.learning.Load().said.GetOdds(); odds.GetSerial() > ask.Odds {
		reply.Odds, fresh = odds, true
	}
	reply.Sights, reply.Roster = m.roster.since(ask.Roster, reply.Whole, ask.Post.GetNode())
	return reply, fresh || reply.Whole || len(reply.Sights) > 0
}

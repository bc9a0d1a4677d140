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

// rpcService serves the RPCs of nodes and of other control machines.
type rpcService struct{ server *Server }

// Hail answers a node's poll: at once if there is something new for it, and else when there is, or when its wait is
// over.
func (v rpcService) Hail(ctx context.Context, request *connect.Request[wire.PollRequest]) (*connect.Response[wire.PollReply], error) {
	m, ask := v.server, request.Msg
	if m.registry.update(ask.NodeStatus) {
		m.scope.Log.Info("node back", "of", ask.NodeStatus.Node)
		m.scope.Record("back", ask.NodeStatus.Node, "")
	}
	s := m.scope.WithContext(ctx)
	hold := min(time.Duration(min(ask.WaitMs, 1<<20))*time.Millisecond, longestHold)
	if confirms(ask) {
		return m.answerConfirmed(s, ask, hold)
	}
	began := s.Clock.Mono()
	for {
		news, moved := m.changed.Next(), m.registry.changed.Next()
		held := s.Clock.Mono() - began
		seen, freshMs := m.freshest()
		reply, fresh := m.buildReply(ask, seen)
		reply.FreshMs, reply.HeldMs = freshMs, base.Milliseconds(held)
		if fresh || held >= hold || m.stopping.Load() {
			return connect.NewResponse(reply), nil
		}
		base.Await(s, hold-held, news, moved)
		if err := s.Err(); err != nil {
			return nil, err
		}
	}
}

// buildReply answers a poll with the configuration seen and all else that is news to the node; fresh says whether anything is.
func (m *Server) buildReply(ask *wire.PollRequest, seen *view) (reply *wire.PollReply, fresh bool) {
	reply = &wire.PollReply{Controller: m.incarnation, Serial: seen.serial(), Whole: ask.Controller != m.incarnation}
	if age, known := m.majorityAge(); known {
		reply.MajorityMs = proto.Uint64(base.Milliseconds(age))
	}
	if c := m.core.Load(); c != nil {
		reply.Controllers = c.replica.Voters()
	}
	fresh = reply.Serial > ask.Serial
	if ask.Wants && (fresh || confirms(ask) && reply.Serial != ask.Serial) {
		m.attach(reply, ask, seen)
	}
	if ask.ConfigOnly {
		reply.Whole, reply.Registry = false, ask.Registry
		return reply, fresh
	}
	if odds := m.learning.Load().said.GetOdds(); odds.GetSerial() > ask.Odds {
		reply.Odds, fresh = odds, true
	}
	reply.Observations, reply.Registry = m.registry.since(ask.Registry, reply.Whole, ask.NodeStatus.GetNode())
	return reply, fresh || reply.Whole || len(reply.Observations) > 0
}

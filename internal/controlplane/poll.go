package controlplane

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// maxPollWait bounds how long a poll is held, whatever the node asks for.
const maxPollWait = 2 * time.Second

// rpcService implements the RPCs for nodes and for other control machines.
type rpcService struct{ server *Server }

// Hail answers a node's poll, which also carries the node's status. It answers at once if there is something new
// for the node, and otherwise as soon as there is, or when the node's wait is over.
func (v rpcService) Hail(ctx context.Context, request *connect.Request[wire.PollRequest]) (*connect.Response[wire.PollReply], error) {
	m, req := v.server, request.Msg
	if m.registry.update(req.NodeStatus) {
		m.scope.Log.Info("node back", "of", req.NodeStatus.Node)
		m.scope.Record("back", req.NodeStatus.Node, "")
	}
	s := m.scope.WithContext(ctx)
	maxWait := min(time.Duration(min(req.WaitMs, 1<<20))*time.Millisecond, maxPollWait)
	if wantsConfirmation(req) {
		return m.answerConfirmed(s, req, maxWait)
	}
	began := s.Clock.Mono()
	for {
		versionChanged, registryChanged := m.changed.Next(), m.registry.changed.Next()
		waited := s.Clock.Mono() - began
		newest, freshMs := m.newestChosen()
		reply, hasNews := m.buildReply(req, newest)
		reply.FreshMs, reply.HeldMs = freshMs, base.Milliseconds(waited)
		if hasNews || waited >= maxWait || m.stopping.Load() {
			return connect.NewResponse(reply), nil
		}
		base.Await(s, maxWait-waited, versionChanged, registryChanged)
		if err := s.Err(); err != nil {
			return nil, err
		}
	}
}

// buildReply builds the reply to a poll from the newest configuration and everything else that the node doesn't
// know yet. hasNews reports whether the reply tells the node anything new.
func (m *Server) buildReply(req *wire.PollRequest, newest *configurationVersion) (reply *wire.PollReply, hasNews bool) {
	reply = &wire.PollReply{Controller: m.incarnation, Serial: newest.serial(), Whole: req.Controller != m.incarnation}
	if age, known := m.majorityAge(); known {
		reply.MajorityMs = proto.Uint64(base.Milliseconds(age))
	}
	if c := m.core.Load(); c != nil {
		reply.Controllers = c.replica.Voters()
	}
	hasNews = reply.Serial > req.Serial
	if req.Wants && (hasNews || wantsConfirmation(req) && reply.Serial != req.Serial) {
		m.attachConfiguration(reply, req, newest)
	}
	if req.ConfigOnly {
		reply.Whole, reply.Registry = false, req.Registry
		return reply, hasNews
	}
	if odds := m.learning.Load().state.GetOdds(); odds.GetSerial() > req.Odds {
		reply.Odds, hasNews = odds, true
	}
	reply.Observations, reply.Registry = m.registry.changedSince(req.Registry, reply.Whole, req.NodeStatus.GetNode())
	return reply, hasNews || reply.Whole || len(reply.Observations) > 0
}

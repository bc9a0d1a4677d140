package listedcore

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/membership"
	"curlewreach/internal/quorum"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

type server struct{ helm *ControlPlane }

// Handler returns the path and handler that nodes and other core machines call.
func Handler(h *ControlPlane) (string, http.Handler) {
	return wireconnect.NewHelmHandler(server{h}, httpserver.HandlerOptions())
}

func (v server) Propose(ctx context.Context, request *connect.Request[wire.ProposeRequest]) (*connect.Response[wire.ProposeReply], error) {
	h := v.helm
	sign := request.Msg.Sign
	if sign == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, base.NewFault(base.Malformed, "sign", "nothing was handed in"))
	}
	if !h.store.Owns(BundleKey) {
		return nil, base.NewFault(base.Superseded, BundleKey, "another keel owns it")
	}
	var outcome *wire.Outcome
	if sign.Sealed == nil {
		outcome, _ = h.Status(ctx, sign.Submission)
	} else {
		outcome, _ = h.Submit(ctx, sign)
	}
	return connect.NewResponse(&wire.ProposeReply{Outcome: outcome}), nil
}

func (v server) News(ctx context.Context, request *connect.Request[wire.NewsRequest]) (*connect.Response[wire.NewsReply], error) {
	h := v.helm
	s := h.scope.WithContext(ctx)
	began, hold := s.Clock.Mono(), h.hold
	if request.Msg.Patient {
		hold = time.Duration(float64(h.force) * patientRatio)
	}
	h.confirm(request.Msg)
	for {
		heard := h.news.Next()
		held := s.Clock.Mono() - began
		reply, fresh := h.tell(request.Msg)
		if fresh || held >= hold || !base.Await(s, hold-held, heard) {
			if !fresh {
				held = s.Clock.Mono() - began
				reply, _ = h.tell(request.Msg)
			}
			reply.HeldUs = uint64(held.Microseconds())
			return connect.NewResponse(reply), ctx.Err()
		}
	}
}

func (h *ControlPlane) tell(ask *wire.NewsRequest) (reply *wire.NewsReply, fresh bool) {
	reply = &wire.NewsReply{Keel: h.member.Incarnation(), Roster: h.member.View().Serial()}
	reply.Vouches, reply.Accepted = h.store.Ready() && !h.store.Store().IsDamaged(BundleKey), h.Accepted().committed
	settled := h.Chosen()
	if settled.entry != nil {
		reply.Ballot = &wire.Ballot{Epoch: settled.entry.Epoch.GetNumber(), Keel: settled.entry.Epoch.GetKeel(), Serial: settled.entry.Serial}
		reply.Serial, reply.StagedSerial = settled.committed, settled.staged
		fresh = quorum.CompareBallots(reply.Ballot, ask.Ballot) > 0
	}
	concerns, news := h.tellSlice(ask, reply)
	fresh = h.tellStaged(ask, reply, settled) || news || fresh
	if learning := h.Learning(); learning.GetOdds().GetSerial() > ask.Odds {
		reply.Odds, fresh = learning.Odds, true
	}
	return reply, h.tellSightings(ask, reply, concerns) || fresh
}

// tellSlice adds the node's slice of the bundle in force if it lacks any of it.
// It returns which services concern the node.
func (h *ControlPlane) tellSlice(ask *wire.NewsRequest, reply *wire.NewsReply) (concerns func(service string) bool, fresh bool) {
	current := h.Current()
	if current == nil {
		return func(string) bool { return true }, false
	}
	concerns = current.NeededServices(ask.Node, ask.Seats)
	slice := bundle.Slice(current.Sealed, concerns)
	fresh = current.Serial > ask.Serial || (current.Serial == ask.Serial && lacking(slice, ask.Parts))
	if fresh && current.Serial != ask.Staged {
		reply.Slice = slice
	}
	return concerns, fresh
}

// tellStaged adds the node's slice of the bundle being rolled out, if it
// doesn't have it yet.
func (h *ControlPlane) tellStaged(ask *wire.NewsRequest, reply *wire.NewsReply, settled *configurationView) (fresh bool) {
	if settled.staged == 0 || settled.staged == ask.Staged {
		return false
	}
	next := h.bundleOf(settled.head.Staged)
	if next == nil {
		return false
	}
	reply.Staged = bundle.Slice(next.Sealed, next.NeededServices(ask.Node, ask.Seats))
	return true
}

// tellSightings adds what changed among the machines since the node last asked
// this process.
func (h *ControlPlane) tellSightings(ask *wire.NewsRequest, reply *wire.NewsReply, concerns func(service string) bool) (fresh bool) {
	since := ask.Roster
	if ask.Keel != reply.Keel {
		since = 0
	} else if ask.Roster >= reply.Roster {
		return false
	}
	for sighting := range h.member.View().Since(since) {
		reply.Sightings = append(reply.Sightings, membership.FilterServices(sighting, concerns))
	}
	return true
}

func lacking(slice *wire.Sealed, parts []string) bool {
	return slices.ContainsFunc(slice.Parts, func(part *wire.Part) bool { return !slices.Contains(parts, part.Name) })
}

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

type server struct{ controlPlane *ControlPlane }

// Handler returns the path and handler that nodes and other core machines call.
func Handler(c *ControlPlane) (string, http.Handler) {
	return wireconnect.NewHelmHandler(server{c}, httpserver.HandlerOptions())
}

func (srv server) Propose(ctx context.Context, request *connect.Request[wire.ProposeRequest]) (*connect.Response[wire.ProposeReply], error) {
	c := srv.controlPlane
	sign := request.Msg.Sign
	if sign == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, base.NewFault(base.Malformed, "sign", "nothing was handed in"))
	}
	if !c.replica.Owns(BundleKey) {
		return nil, base.NewFault(base.Superseded, BundleKey, "another keel owns it")
	}
	var outcome *wire.Outcome
	if sign.Sealed == nil {
		outcome, _ = c.Status(ctx, sign.Submission)
	} else {
		outcome, _ = c.Submit(ctx, sign)
	}
	return connect.NewResponse(&wire.ProposeReply{Outcome: outcome}), nil
}

func (srv server) News(ctx context.Context, request *connect.Request[wire.NewsRequest]) (*connect.Response[wire.NewsReply], error) {
	c := srv.controlPlane
	s := c.scope.WithContext(ctx)
	started, hold := s.Clock.Mono(), c.newsHold
	if request.Msg.Patient {
		hold = time.Duration(float64(c.inForceBound) * patientHoldRatio)
	}
	c.recordConfirmation(request.Msg)
	for {
		changed := c.newsChanged.Next()
		held := s.Clock.Mono() - started
		reply, fresh := c.newsFor(request.Msg)
		if fresh || held >= hold || !base.Await(s, hold-held, changed) {
			if !fresh {
				held = s.Clock.Mono() - started
				reply, _ = c.newsFor(request.Msg)
			}
			reply.HeldUs = uint64(held.Microseconds())
			return connect.NewResponse(reply), ctx.Err()
		}
	}
}

func (c *ControlPlane) newsFor(request *wire.NewsRequest) (reply *wire.NewsReply, fresh bool) {
	reply = &wire.NewsReply{Keel: c.member.Incarnation(), Roster: c.member.View().Serial()}
	reply.Vouches, reply.Accepted = c.replica.Ready() && !c.replica.Store().IsDamaged(BundleKey), c.Accepted().committed
	settled := c.Chosen()
	if settled.entry != nil {
		reply.Ballot = &wire.Ballot{Epoch: settled.entry.Epoch.GetNumber(), Keel: settled.entry.Epoch.GetKeel(), Serial: settled.entry.Serial}
		reply.Serial, reply.StagedSerial = settled.committed, settled.staged
		fresh = quorum.CompareBallots(reply.Ballot, request.Ballot) > 0
	}
	concerns, sliceFresh := c.addSlice(request, reply)
	fresh = c.addStagedSlice(request, reply, settled) || sliceFresh || fresh
	if learning := c.Learning(); learning.GetOdds().GetSerial() > request.Odds {
		reply.Odds, fresh = learning.Odds, true
	}
	return reply, c.addSightings(request, reply, concerns) || fresh
}

// addSlice adds the node's slice of the bundle in force if it lacks any of it.
// It returns which services concern the node.
func (c *ControlPlane) addSlice(request *wire.NewsRequest, reply *wire.NewsReply) (concerns func(service string) bool, fresh bool) {
	current := c.Current()
	if current == nil {
		return func(string) bool { return true }, false
	}
	concerns = current.Concerns(request.Node, request.Seats)
	slice := bundle.Slice(current.Sealed, concerns)
	fresh = current.Serial > request.Serial || (current.Serial == request.Serial && lacksPart(slice, request.Parts))
	if fresh && current.Serial != request.Staged {
		reply.Slice = slice
	}
	return concerns, fresh
}

// addStagedSlice adds the node's slice of the bundle being rolled out, if it
// doesn't have it yet.
func (c *ControlPlane) addStagedSlice(request *wire.NewsRequest, reply *wire.NewsReply, settled *headView) (fresh bool) {
	if settled.staged == 0 || settled.staged == request.Staged {
		return false
	}
	next := c.openBundle(settled.head.Staged)
	if next == nil {
		return false
	}
	reply.Staged = bundle.Slice(next.Sealed, next.Concerns(request.Node, request.Seats))
	return true
}

// addSightings adds what changed among the machines since the node last asked
// this process.
func (c *ControlPlane) addSightings(request *wire.NewsRequest, reply *wire.NewsReply, concerns func(service string) bool) (fresh bool) {
	since := request.Roster
	if request.Keel != reply.Keel {
		since = 0
	} else if request.Roster >= reply.Roster {
		return false
	}
	for sighting := range c.member.View().Since(since) {
		reply.Sightings = append(reply.Sightings, membership.FilterServices(sighting, concerns))
	}
	return true
}

func lacksPart(slice *wire.Sealed, parts []string) bool {
	return slices.ContainsFunc(slice.Parts, func(part *wire.Part) bool { return !slices.Contains(parts, part.Name) })
}

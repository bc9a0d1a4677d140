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

// server is the RPC service for nodes and other core machines.
type server struct{ controlPlane *ControlPlane }

// Handler returns the path and handler of the RPC service for nodes and other core
// machines.
func Handler(c *ControlPlane) (string, http.Handler) {
	return wireconnect.NewHelmHandler(server{c}, httpserver.HandlerOptions())
}

// Propose handles a submission, or the query of its status, that another core machine
// forwarded because this one owns the key.
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

// News handles a node's long poll. It replies at once if there is something that the
// node doesn't know, and otherwise when there is, or after the hold time. The poll
// also confirms which bundle the node has.
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
		reply, hasNews := c.newsFor(request.Msg)
		if hasNews || held >= hold || !base.Await(s, hold-held, changed) {
			if !hasNews {
				held = s.Clock.Mono() - started
				reply, _ = c.newsFor(request.Msg)
			}
			reply.HeldUs = uint64(held.Microseconds())
			return connect.NewResponse(reply), ctx.Err()
		}
	}
}

// newsFor returns the reply to a poll, and whether it has anything that the node
// doesn't know.
func (c *ControlPlane) newsFor(request *wire.NewsRequest) (reply *wire.NewsReply, hasNews bool) {
	reply = &wire.NewsReply{Keel: c.member.Incarnation(), Roster: c.member.View().Serial()}
	reply.Vouches, reply.Accepted = c.replica.Ready() && !c.replica.Store().IsDamaged(BundleKey), c.Accepted().committed
	chosen := c.Chosen()
	if chosen.entry != nil {
		reply.Ballot = &wire.Ballot{Epoch: chosen.entry.Epoch.GetNumber(), Keel: chosen.entry.Epoch.GetKeel(), Serial: chosen.entry.Serial}
		reply.Serial, reply.StagedSerial = chosen.committed, chosen.staged
		hasNews = quorum.CompareBallots(reply.Ballot, request.Ballot) > 0
	}
	needsService, sliceHasNews := c.addSlice(request, reply)
	hasNews = c.addStagedSlice(request, reply, chosen) || sliceHasNews || hasNews
	if learning := c.Learning(); learning.GetOdds().GetSerial() > request.Odds {
		reply.Odds, hasNews = learning.Odds, true
	}
	return reply, c.addSightings(request, reply, needsService) || hasNews
}

// addSlice adds the node's slice of the bundle in force if the node lacks that bundle
// or a part of the slice. The slice is left out if the node has that bundle staged.
// addSlice returns a function that reports whether the node needs a service, and
// whether the node lacked anything.
func (c *ControlPlane) addSlice(request *wire.NewsRequest, reply *wire.NewsReply) (needsService func(service string) bool, hasNews bool) {
	current := c.Current()
	if current == nil {
		return func(string) bool { return true }, false
	}
	needsService = current.NeededServices(request.Node, request.Seats)
	slice := bundle.Slice(current.Sealed, needsService)
	hasNews = current.Serial > request.Serial || (current.Serial == request.Serial && lacksPart(slice, request.Parts))
	if hasNews && current.Serial != request.Staged {
		reply.Slice = slice
	}
	return needsService, hasNews
}

// addStagedSlice adds the node's slice of the bundle being rolled out if the node
// doesn't have it. It reports whether it did.
func (c *ControlPlane) addStagedSlice(request *wire.NewsRequest, reply *wire.NewsReply, chosen *headView) (added bool) {
	if chosen.staged == 0 || chosen.staged == request.Staged {
		return false
	}
	next := c.openBundle(chosen.head.Staged)
	if next == nil {
		return false
	}
	reply.Staged = bundle.Slice(next.Sealed, next.NeededServices(request.Node, request.Seats))
	return true
}

// addSightings adds the machines whose status has changed since the node's last poll,
// or all of them if that poll was answered by another incarnation. It reports whether
// the view has changed.
func (c *ControlPlane) addSightings(request *wire.NewsRequest, reply *wire.NewsReply, needsService func(service string) bool) (hasNews bool) {
	since := request.Roster
	if request.Keel != reply.Keel {
		since = 0
	} else if request.Roster >= reply.Roster {
		return false
	}
	for sighting := range c.member.View().Since(since) {
		reply.Sightings = append(reply.Sightings, membership.FilterServices(sighting, needsService))
	}
	return true
}

// lacksPart reports whether the slice has a part that is not named in parts.
func lacksPart(slice *wire.Sealed, parts []string) bool {
	return slices.ContainsFunc(slice.Parts, func(part *wire.Part) bool { return !slices.Contains(parts, part.Name) })
}

package helm

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/membership"
	"curlewreach/internal/quorum"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

type server struct{ helm *Helm }

func Handler(h *Helm) (string, http.Handler) {
	return wireconnect.NewHelmHandler(server{h}, base.Plain())
}

func (v server) Propose(ctx context.Context, request *connect.Request[wire.ProposeRequest]) (*connect.Response[wire.ProposeReply], error) {
	h := v.helm
	sign := request.Msg.Sign
	if sign == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, base.Bounce(base.Malformed, "sign", "nothing was handed in"))
	}
	if !h.trove.Mine(BundleKey) {
		return nil, base.Bounce(base.Outranked, BundleKey, "another keel owns it")
	}
	var outcome *wire.Outcome
	if sign.Sealed == nil {
		outcome, _ = h.Status(ctx, sign.Submission)
	} else {
		outcome, _ = h.Sign(ctx, sign)
	}
	return connect.NewResponse(&wire.ProposeReply{Outcome: outcome}), nil
}

func (v server) News(ctx context.Context, request *connect.Request[wire.NewsRequest]) (*connect.Response[wire.NewsReply], error) {
	h := v.helm
	s := h.scope.Under(ctx)
	began, hold := s.Clock.Mono(), h.hold
	if request.Msg.Patient {
		hold = time.Duration(float64(h.force) * patientRatio)
	}
	h.confirm(request.Msg)
	for {
		heard := h.news.Heard()
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

func (h *Helm) tell(ask *wire.NewsRequest) (reply *wire.NewsReply, fresh bool) {
	view := h.member.View()
	reply = &wire.NewsReply{Keel: h.member.Incarnation(), Roster: view.Serial()}
	reply.Vouches, reply.Accepted = h.trove.Ready() && !h.trove.Store().IsSick(BundleKey), h.Accepted().committed
	concerns := func(string) bool { return true }
	settled := h.Settled()
	if settled.entry != nil {
		reply.Ballot = &wire.Ballot{Epoch: settled.entry.Epoch.GetNumber(), Keel: settled.entry.Epoch.GetKeel(), Serial: settled.entry.Serial}
		reply.Serial, reply.StagedSerial = settled.committed, settled.staged
		fresh = quorum.CompareBallots(reply.Ballot, ask.Ballot) > 0
	}
	if current := h.Current(); current != nil {
		concerns = current.Concerns(ask.Node, ask.Seats)
		if slice := bundle.Slice(current.Sealed, concerns); current.Serial > ask.Serial || (current.Serial == ask.Serial && lacking(slice, ask.Parts)) {
			fresh = true
			if current.Serial != ask.Staged {
				reply.Slice = slice
			}
		}
	}
	if settled.staged > 0 && settled.staged != ask.Staged {
		if next := h.bundleOf(settled.head.Staged); next != nil {
			reply.Staged, fresh = bundle.Slice(next.Sealed, next.Concerns(ask.Node, ask.Seats)), true
		}
	}
	if learning := h.Learning(); learning.GetOdds().GetSerial() > ask.Odds {
		reply.Odds, fresh = learning.Odds, true
	}
	if ask.Keel != reply.Keel || ask.Roster < reply.Roster {
		since := ask.Roster
		if ask.Keel != reply.Keel {
			since = 0
		}
		for sighting := range view.Since(since) {
			reply.Sightings = append(reply.Sightings, membership.Narrow(sighting, concerns))
		}
		fresh = true
	}
	return reply, fresh
}

func lacking(slice *wire.Sealed, parts []string) bool {
	return slices.ContainsFunc(slice.Parts, func(part *wire.Part) bool { return !slices.Contains(parts, part.Name) })
}

package listednode

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

// followController polls one controller for news until the scope ends. Each request blocks at the
// controller until there is news, for a limited time.
func (n *Node) followController(s base.Scope, index int, controller wireconnect.HelmClient) {
	request := &wire.NewsRequest{Node: n.self}
	var lastInterest string
	var committed uint64
	var lastFull time.Duration
	for s.Err() == nil {
		n.fillNewsRequest(request)
		if interest := fmt.Sprint(request.Serial, request.Seats, committed); interest != lastInterest || s.Clock.Mono()-lastFull > fullNewsRatio*n.inForceBound {
			// Without the controller's incarnation the reply holds all sightings.
			lastInterest, lastFull, request.Keel = interest, s.Clock.Mono(), ""
		}
		request.Patient = n.mayHoldNews(index)
		askedAt := s.Clock.Mono()
		bounded, cancel := s.WithTimeout(n.inForceBound)
		reply, err := controller.News(bounded, connect.NewRequest(request))
		cancel()
		if err != nil {
			request.Keel = ""
			n.lastNewsAt[index].Store(0)
			base.Await(s, n.inForceBound/16)
			continue
		}
		n.lastNewsAt[index].Store(int64(s.Clock.Mono()))
		n.adopt(n.confirmations.ApplyNews(index, askedAt, reply.Msg, n.verifyBundle))
		n.applyNews(reply.Msg)
		request.Keel, request.Roster, committed = reply.Msg.Keel, reply.Msg.Roster, reply.Msg.Serial
	}
}

// mayHoldNews reports whether a controller may hold this node's request for longer. It may if it is
// responsive and more than half of the controllers are responsive and precede it, counted from the
// preferred one.
func (n *Node) mayHoldNews(index int) bool {
	responsive := 0
	for i := range n.controllers {
		controller := (n.preferred + i) % len(n.controllers)
		if lastNews := time.Duration(n.lastNewsAt[controller].Load()); lastNews == 0 || n.scope.Clock.Mono()-lastNews > n.inForceBound/4 {
			continue
		}
		if controller == index {
			return responsive > len(n.controllers)/2
		}
		responsive++
	}
	return false
}

// fillNewsRequest sets what this node already has, so that the controller replies as soon as there is
// something newer, and the services of its instances.
func (n *Node) fillNewsRequest(request *wire.NewsRequest) {
	request.Odds = n.sampler.Serial()
	request.Parts, request.Seats, request.Serial, request.Staged = nil, nil, 0, 0
	signed, staged, ballot := n.confirmations.Held()
	request.Ballot = ballot
	if staged != nil {
		request.Staged = staged.Serial
	}
	if signed != nil {
		request.Serial = signed.Serial
		for _, part := range signed.Sealed.Parts {
			request.Parts = append(request.Parts, part.Name)
		}
	}
	for _, report := range n.member.Status().Seats {
		if !slices.Contains(request.Seats, report.Service) {
			request.Seats = append(request.Seats, report.Service)
		}
	}
}

// applyNews stores the sampling probabilities and sightings of a reply. A sighting is ignored if a newer
// one of the same incarnation is known.
func (n *Node) applyNews(news *wire.NewsReply) {
	n.updateProbabilities(news.Odds)
	now := n.scope.Clock.Mono()
	n.sightings.Update(func(rows map[string]receivedSighting) {
		for _, sighting := range news.Sightings {
			name := sighting.Roster.Node
			known, ok := rows[name]
			if ok && known.sighting.Roster.Incarnation == sighting.Roster.Incarnation && known.sighting.Roster.Serial > sighting.Roster.Serial {
				continue
			}
			rows[name] = receivedSighting{sighting, now}
		}
	})
}

// adopt makes a bundle the one that this node holds and applies its limits, unless it is nil or older than
// the one held. Requests are served under it while IsCurrent is true for it.
func (n *Node) adopt(signed *bundle.Bundle) {
	if signed == nil {
		return
	}
	n.adoptMu.Lock()
	defer n.adoptMu.Unlock()
	if held := n.bundle.Load(); held != nil && held.Serial > signed.Serial {
		return
	}
	n.retryBudget.SetLimits(signed)
	n.spanBudget.SetShares(signed)
	n.member.SetMachines(signed.Machines())
	n.bundle.Store(signed)
	n.member.UpdateStatus(func(status *wire.Roster) { status.Holding = signed.Serial })
	n.scope.Record("in-force", "", strconv.FormatUint(signed.Serial, 10))
	n.bundleUnsaved.Notify()
	n.bundleAdopted.Notify()
}

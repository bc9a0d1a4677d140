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

func (n *Node) followController(s base.Scope, index int, controller wireconnect.HelmClient) {
	request := &wire.NewsRequest{Node: n.self}
	var lastInterest string
	var committed uint64
	var lastFull time.Duration
	for s.Err() == nil {
		n.fillNewsRequest(request)
		if interest := fmt.Sprint(request.Serial, request.Seats, committed); interest != lastInterest || s.Clock.Mono()-lastFull > fullNewsRatio*n.inForceBound {
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
	for _, seat := range n.member.Status().Seats {
		if !slices.Contains(request.Seats, seat.Service) {
			request.Seats = append(request.Seats, seat.Service)
		}
	}
}

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
	n.member.UpdateStatus(func(registry *wire.Roster) { registry.Holding = signed.Serial })
	n.scope.Record("in-force", "", strconv.FormatUint(signed.Serial, 10))
	n.bundleUnsaved.Notify()
	n.bundleAdopted.Notify()
}

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

func (n *Node) follow(s base.Scope, index int, controller wireconnect.HelmClient) {
	ask := &wire.NewsRequest{Node: n.self}
	var concern string
	var committed uint64
	var whole time.Duration
	for s.Err() == nil {
		n.fill(ask)
		if now := fmt.Sprint(ask.Serial, ask.Seats, committed); now != concern || s.Clock.Mono()-whole > wholeRatio*n.force {
			concern, whole, ask.Keel = now, s.Clock.Mono(), ""
		}
		ask.Patient = n.spare(index)
		asked := s.Clock.Mono()
		bounded, cancel := s.WithTimeout(n.force)
		reply, err := controller.News(bounded, connect.NewRequest(ask))
		cancel()
		if err != nil {
			ask.Keel = ""
			n.heard[index].Store(0)
			base.Await(s, n.force/16)
			continue
		}
		n.heard[index].Store(int64(s.Clock.Mono()))
		n.risen(n.claims.ApplyNews(index, asked, reply.Msg, n.open))
		n.learn(reply.Msg)
		ask.Keel, ask.Roster, committed = reply.Msg.Keel, reply.Msg.Roster, reply.Msg.Serial
	}
}

func (n *Node) spare(index int) bool {
	hearing := 0
	for i := range n.controllers {
		at := (n.first + i) % len(n.controllers)
		if heard := time.Duration(n.heard[at].Load()); heard == 0 || n.scope.Clock.Mono()-heard > n.force/4 {
			continue
		}
		if at == index {
			return hearing > len(n.controllers)/2
		}
		hearing++
	}
	return false
}

func (n *Node) fill(ask *wire.NewsRequest) {
	ask.Odds = n.keeper.Serial()
	ask.Parts, ask.Seats, ask.Serial, ask.Staged = nil, nil, 0, 0
	signed, staged, ballot := n.claims.Held()
	ask.Ballot = ballot
	if staged != nil {
		ask.Staged = staged.Serial
	}
	if signed != nil {
		ask.Serial = signed.Serial
		for _, part := range signed.Sealed.Parts {
			ask.Parts = append(ask.Parts, part.Name)
		}
	}
	for _, seat := range n.member.Status().Seats {
		if !slices.Contains(ask.Seats, seat.Service) {
			ask.Seats = append(ask.Seats, seat.Service)
		}
	}
}

func (n *Node) learn(news *wire.NewsReply) {
	n.load(news.Odds)
	now := n.scope.Clock.Mono()
	n.atlas.Update(func(rows map[string]outlook) {
		for _, sighting := range news.Sightings {
			name := sighting.Roster.Node
			known, had := rows[name]
			if had && known.sighting.Roster.Incarnation == sighting.Roster.Incarnation && known.sighting.Roster.Serial > sighting.Roster.Serial {
				continue
			}
			rows[name] = outlook{sighting, now}
		}
	})
}

func (n *Node) risen(signed *bundle.Bundle) {
	if signed == nil {
		return
	}
	n.adopting.Lock()
	defer n.adopting.Unlock()
	if held := n.slice.Load(); held != nil && held.Serial > signed.Serial {
		return
	}
	n.repeats.SetLimits(signed)
	n.budget.SetShares(signed)
	n.member.SetMachines(signed.Machines())
	n.slice.Store(signed)
	n.member.UpdateStatus(func(registry *wire.Roster) { registry.Holding = signed.Serial })
	n.scope.Record("in-force", "", strconv.FormatUint(signed.Serial, 10))
	n.kept.Notify()
	n.risenBell.Notify()
}

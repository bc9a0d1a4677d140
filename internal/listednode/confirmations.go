package listednode

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/quorum"
	"curlewreach/proto/wire"
)

const (
	// validityRatio is how long the confirmation of a controller or node is valid, as a ratio of the
	// slide-back bound.
	validityRatio = 0.8
	// renewalLeadRatio is how long before the controllers' confirmations expire a node starts to ask other
	// nodes, as a ratio of the validity.
	renewalLeadRatio = 0.5
	// confirmIntervalRatio is the interval at which it asks them, as a ratio of the validity.
	confirmIntervalRatio = 0.35
	// bundleWaitRatio is how long a request waits for the bundle in force, as a ratio of the validity.
	bundleWaitRatio = 0.2

	// spareConfirmers is how many more nodes are asked than are needed for a majority.
	spareConfirmers = 1
)

// confirmation is the newest serial that a controller or node reported to know.
type confirmation struct {
	validFrom time.Duration // when the reported state was current
	serial    uint64
	definite  bool // the sender can rule out a newer serial that it has lost or missed
}

// Confirmations decides which bundle is in force on a node: the newest one, if a majority of the
// controllers (the core machines) or of the nodes recently confirmed that they know of none newer. A node
// without such a majority serves nothing. It is safe for concurrent use.
type Confirmations struct {
	clock            base.Clock
	validity         time.Duration // of a confirmation
	self             string
	mu               sync.Mutex
	controllers      []confirmation
	peers            map[string]confirmation // by node
	held             *bundle.Bundle          // nil until one is adopted
	staged           *bundle.Bundle          // a newer bundle that is being rolled out, if known
	fromDisk         *bundle.Bundle          // loaded at the start
	ballot           *wire.Ballot            // the newest one that a controller reported
	inForce          uint64                  // the newest serial known to be in force
	definite         bool                    // this node knows of the newest serial, so that it can confirm to others
	settledAt        time.Duration           // the earliest time at which the controllers make definite true
	maxWithoutCore   time.Duration           // 0 for no limit
	lastCoreMajority time.Duration           // when a majority of controllers last confirmed
}

// NewConfirmations returns the state of a node that was just started. A confirmation counts for the
// validity. After settlingTime a majority of controllers makes this node definite, that is, able to confirm
// to other nodes. Without a majority of controllers the node goes on for at most maxWithoutCore, or without
// limit if that is 0.
func NewConfirmations(clock base.Clock, self string, controllers int, validity, settlingTime, maxWithoutCore time.Duration) *Confirmations {
	return &Confirmations{maxWithoutCore: maxWithoutCore, lastCoreMajority: clock.Mono(), clock: clock, settledAt: clock.Mono() + settlingTime, self: self, controllers: make([]confirmation, controllers), peers: map[string]confirmation{}, validity: validity}
}

// Held returns the bundle held, the one staged, either of which may be nil, and the newest ballot.
func (c *Confirmations) Held() (held, staged *bundle.Bundle, ballot *wire.Ballot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held, c.staged, c.ballot
}

// IsCurrent reports whether the bundle with the serial is held and confirmed to be the newest.
func (c *Confirmations) IsCurrent(serial uint64) bool { return c.isCurrentIn(serial, 0) }

// isCurrentIn reports whether IsCurrent will still be true after the time ahead, without further
// confirmations.
func (c *Confirmations) isCurrentIn(serial uint64, ahead time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil || c.held.Serial != serial || c.inForce > serial {
		return false
	}
	return c.confirmedByCore(serial, ahead) || (c.definite && (c.staged == nil || c.staged.Serial <= serial) && c.confirmedByPeers(c.held, ahead, 1))
}

// confirmedByCore reports whether a majority of controllers confirms, until the time ahead from now, that
// there is no bundle newer than serial. c.mu must be held.
func (c *Confirmations) confirmedByCore(serial uint64, ahead time.Duration) bool {
	oldest, confirmed := c.clock.Mono()+ahead-c.validity, 0
	for _, each := range c.controllers {
		if each.definite && each.validFrom >= oldest && each.serial <= serial {
			confirmed++
		}
	}
	return confirmed >= len(c.controllers)/2+1
}

// withoutCoreTooLong reports whether the last majority of controllers was more than maxWithoutCore ago.
// c.mu must be held.
func (c *Confirmations) withoutCoreTooLong() bool {
	return c.maxWithoutCore > 0 && c.clock.Mono()-c.lastCoreMajority > c.maxWithoutCore
}

// confirmedByPeers reports whether a majority of the bundle's application machines confirms, until the time
// ahead from now, that there is no newer bundle. This node's own confirmation counts as ownVote, 0 or 1. It
// returns false if the last majority of controllers was too long ago. c.mu must be held.
func (c *Confirmations) confirmedByPeers(signed *bundle.Bundle, ahead time.Duration, ownVote int) bool {
	if c.withoutCoreTooLong() {
		return false
	}
	oldest, confirmed := c.clock.Mono()+ahead-c.validity, 0
	for machine := range signed.Machines() {
		if machine.Core {
			continue
		}
		if machine.Name == c.self {
			confirmed += ownVote
			continue
		}
		if each := c.peers[machine.Name]; each.definite && each.validFrom >= oldest && each.serial <= signed.Serial {
			confirmed++
		}
	}
	return confirmed >= signed.ApplicationMachines()/2+1
}

// ApplyNews processes a controller's reply to a request sent at askedAt. verify decodes a bundle and
// returns nil for an invalid one. It returns the bundle held if that has changed, otherwise nil.
func (c *Confirmations) ApplyNews(controller int, askedAt time.Duration, news *wire.NewsReply, verify func(*wire.Sealed) *bundle.Bundle) (adopted *bundle.Bundle) {
	offered, staged := verify(news.Slice), verify(news.Staged)
	c.mu.Lock()
	defer c.mu.Unlock()
	// The reply's state dates from after the time that the controller held the request.
	c.controllers[controller] = confirmation{validFrom: askedAt + time.Duration(news.HeldUs)*time.Microsecond, serial: news.Accepted, definite: news.Vouches}
	if quorum.CompareBallots(news.Ballot, c.ballot) > 0 {
		c.ballot, c.inForce = news.Ballot, max(c.inForce, news.Serial)
		if c.staged != nil && c.staged.Serial != news.StagedSerial && c.staged.Serial != news.Serial {
			c.staged = nil
		}
	}
	if staged != nil && quorum.CompareBallots(news.Ballot, c.ballot) == 0 && staged.Serial == news.StagedSerial {
		c.staged = staged
	}
	adopted = c.adoptNewest(offered)
	if c.held != nil && c.confirmedByCore(c.held.Serial, 0) {
		c.lastCoreMajority = c.clock.Mono()
	}
	c.updateDefinite()
	return adopted
}

// adoptNewest holds the bundle in force if it is among those offered, staged or from disk. A bundle with
// the serial of the one held replaces it if it has more parts. It returns the bundle held if that has
// changed. c.mu must be held.
func (c *Confirmations) adoptNewest(offered ...*bundle.Bundle) (adopted *bundle.Bundle) {
	for _, each := range append(offered, c.staged, c.fromDisk) {
		if each == nil || each.Serial != c.inForce {
			continue
		}
		if c.held == nil || each.Serial > c.held.Serial || (each.Serial == c.held.Serial && len(each.Sealed.Parts) > len(c.held.Sealed.Parts)) {
			c.held, adopted = each, each
		}
	}
	if c.held != nil && c.staged != nil && c.staged.Serial <= c.held.Serial {
		c.staged = nil
	}
	return adopted
}

// updateDefinite makes the node definite once it has settled, holds the bundle in force and has it
// confirmed by a majority of controllers. c.mu must be held.
func (c *Confirmations) updateDefinite() {
	if c.clock.Mono() >= c.settledAt && c.held != nil && c.held.Serial >= c.inForce && c.confirmedByCore(c.held.Serial, 0) {
		c.definite = true
	}
}

// SetFromDisk sets a bundle loaded from disk, which is held once it is known to be the one in force.
func (c *Confirmations) SetFromDisk(signed *bundle.Bundle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fromDisk = signed
}

// ApplyConfirmation processes another node's reply to a request sent at askedAt. verify decodes a bundle
// and returns nil for an invalid one. It returns the bundle held if that has changed, otherwise nil.
func (c *Confirmations) ApplyConfirmation(askedAt time.Duration, reply *wire.VouchReply, verify func(*wire.Sealed) *bundle.Bundle) (adopted *bundle.Bundle) {
	offered := verify(reply.Slice)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[reply.Node] = confirmation{validFrom: askedAt, serial: max(reply.Serial, reply.Staged), definite: reply.Definite}
	if reply.Definite && reply.Serial > c.inForce {
		c.inForce = reply.Serial
	}
	adopted = c.adoptNewest(offered)
	// A majority without this node's own vote suffices to make it definite.
	if c.held != nil && !c.definite && c.held.Serial >= c.inForce && c.confirmedByPeers(c.held, 0, 0) {
		c.definite = true
	}
	return adopted
}

// Confirm returns this node's confirmation for another node, with its bundle if that is newer than the
// other's.
func (c *Confirmations) Confirm(request *wire.VouchRequest) *wire.VouchReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &wire.VouchReply{Node: c.self, Definite: c.definite && !c.withoutCoreTooLong()}
	if c.held != nil {
		reply.Serial = c.held.Serial
		if c.definite && request.Serial < c.held.Serial {
			reply.Slice = c.held.Sealed
		}
	}
	if c.staged != nil {
		reply.Staged = c.staged.Serial
	}
	return reply
}

// newestKnown returns the bundle held, or the one from disk if none is held yet.
func (c *Confirmations) newestKnown() *bundle.Bundle {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		return c.fromDisk
	}
	return c.held
}

// requestConfirmations asks other nodes for confirmations while those of the controllers are missing or
// about to expire, until the scope ends.
func (n *Node) requestConfirmations(s base.Scope) {
	askInterval := time.Duration(float64(n.confirmations.validity) * confirmIntervalRatio)
	base.Tick(s, askInterval, func(s base.Scope) {
		known := n.confirmations.newestKnown()
		if known == nil {
			return
		}
		held, _, _ := n.confirmations.Held()
		if held != nil && n.confirmations.currentByCore(held.Serial, time.Duration(float64(n.confirmations.validity)*renewalLeadRatio)) {
			return
		}
		serial := uint64(0)
		if held != nil {
			serial = held.Serial
		}
		askedAt := s.Clock.Mono()
		for _, machine := range n.confirmations.confirmers(known, serial) {
			go n.requestConfirmation(s, machine, serial, askedAt)
		}
	})
}

// requestConfirmation asks another node for its confirmation and adopts what it returns.
func (n *Node) requestConfirmation(s base.Scope, machine *wire.Machine, serial uint64, askedAt time.Duration) {
	ctx, cancel := context.WithTimeout(s, n.confirmations.validity)
	defer cancel()
	reply, err := n.peerClient(machine.Address).Vouch(ctx, connect.NewRequest(&wire.VouchRequest{Node: n.self, Serial: serial, Odds: n.sampler.Serial()}))
	if err == nil && reply.Msg.Node == machine.Name {
		n.updateProbabilities(reply.Msg.Odds)
		n.adopt(n.confirmations.ApplyConfirmation(askedAt, reply.Msg, n.verifyBundle))
	}
}

// confirmers returns the nodes to ask: just enough of those that confirmed lately if the serial is current,
// otherwise all. The list starts after this node's own place, so that nodes don't all ask the same ones.
func (c *Confirmations) confirmers(known *bundle.Bundle, serial uint64) []*wire.Machine {
	current := c.IsCurrent(serial)
	c.mu.Lock()
	defer c.mu.Unlock()
	var all, recent []*wire.Machine
	start := 0
	for machine := range known.Machines() {
		if machine.Name == c.self {
			start = len(all)
		}
		if !machine.Core && machine.Name != c.self {
			all = append(all, machine)
		}
	}
	all = append(all[start:], all[:start]...)
	for _, machine := range all {
		if each := c.peers[machine.Name]; each.definite && c.clock.Mono()-each.validFrom < 2*c.validity {
			recent = append(recent, machine)
		}
	}
	if needed := known.ApplicationMachines()/2 + spareConfirmers; current && len(recent) >= needed {
		return recent[:needed]
	}
	return all
}

// currentByCore reports whether a majority of controllers confirms, until the time ahead from now, that
// serial is the newest.
func (c *Confirmations) currentByCore(serial uint64, ahead time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce <= serial && c.confirmedByCore(serial, ahead)
}

// Vouch returns this node's confirmation, with its sampling probabilities if they are newer than the
// caller's.
func (p peerServer) Vouch(_ context.Context, request *connect.Request[wire.VouchRequest]) (*connect.Response[wire.VouchReply], error) {
	reply := p.node.confirmations.Confirm(request.Msg)
	if probabilities := p.node.sampler.Odds(); probabilities.GetSerial() > request.Msg.Odds {
		reply.Odds = probabilities
	}
	return connect.NewResponse(reply), nil
}

// awaitSerial waits until the bundle with the serial is held and confirmed, for at most bundleWaitRatio of
// the validity. The fault is of kind StaleSerial if a newer bundle is held, and Uncertain if none is confirmed in
// time.
func (n *Node) awaitSerial(s base.Scope, serial uint64) *base.Fault {
	deadline := s.Clock.Mono() + time.Duration(float64(n.confirmations.validity)*bundleWaitRatio)
	for {
		adopted := n.bundleAdopted.Next()
		held, _, _ := n.confirmations.Held()
		switch {
		case held != nil && held.Serial > serial:
			return base.NewFault(base.StaleSerial, "", "serial %d is in force here, not %d", held.Serial, serial)
		case held != nil && held.Serial == serial && n.confirmations.IsCurrent(serial):
			return nil
		}
		timeLeft := deadline - s.Clock.Mono()
		if timeLeft <= 0 || s.Err() != nil {
			return base.NewFault(base.Uncertain, "", "no majority vouches here that serial %d is the newest", serial)
		}
		base.Await(s, timeLeft, adopted)
	}
}

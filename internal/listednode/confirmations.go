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
	// validityRatio, of the slide-back bound, is how long what core machines and
	// nodes vouched for holds.
	validityRatio = 0.8
	// renewalLeadRatio, of that time, is how long before its end a node begins to ask
	// other nodes.
	renewalLeadRatio = 0.5
	// vouchRatio, of that time, is the interval at which it asks them.
	confirmIntervalRatio = 0.35
	// bundleWaitRatio, of that time, is how long a request waits for the bundle in
	// force.
	bundleWaitRatio = 0.2

	// spareConfirmers is how many more nodes are asked than a majority needs.
	spareConfirmers = 1
)

// confirmation is what a core machine or a node said of the newest bundle it knows, and
// when.
type confirmation struct {
	validFrom time.Duration
	serial    uint64
	definite  bool
}

// Confirmations decides which bundle is in force on a node: the newest that a majority
// of core machines, or of nodes, lately vouched for. A node that can't tell
// serves nothing. It is safe for concurrent use.
type Confirmations struct {
	clock            base.Clock
	validity         time.Duration
	self             string
	mu               sync.Mutex
	controllers      []confirmation
	peers            map[string]confirmation
	held             *bundle.Bundle
	staged           *bundle.Bundle
	fromDisk         *bundle.Bundle
	ballot           *wire.Ballot
	inForce          uint64
	definite         bool
	settledAt        time.Duration
	maxWithoutCore   time.Duration
	lastCoreMajority time.Duration
}

// NewConfirmations returns the claims of a node that was just started. They hold for
// length; settling must pass before the node vouches to others; without the
// core it goes on for alone at most, or without limit if that is 0.
func NewConfirmations(clock base.Clock, self string, controllers int, validity, settlingTime, maxWithoutCore time.Duration) *Confirmations {
	return &Confirmations{maxWithoutCore: maxWithoutCore, lastCoreMajority: clock.Mono(), clock: clock, settledAt: clock.Mono() + settlingTime, self: self, controllers: make([]confirmation, controllers), peers: map[string]confirmation{}, validity: validity}
}

// Held returns the bundle held, the one staged, and the newest ballot heard.
func (c *Confirmations) Held() (held, staged *bundle.Bundle, ballot *wire.Ballot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held, c.staged, c.ballot
}

// IsCurrent reports whether the bundle of that serial number is held and sure to be
// the newest.
func (c *Confirmations) IsCurrent(serial uint64) bool { return c.isCurrentIn(serial, 0) }

func (c *Confirmations) isCurrentIn(serial uint64, ahead time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil || c.held.Serial != serial || c.inForce > serial {
		return false
	}
	return c.confirmedByCore(serial, ahead) || (c.definite && (c.staged == nil || c.staged.Serial <= serial) && c.confirmedByPeers(c.held, ahead, 1))
}

func (c *Confirmations) confirmedByCore(serial uint64, ahead time.Duration) bool {
	oldest, confirmed := c.clock.Mono()+ahead-c.validity, 0
	for _, each := range c.controllers {
		if each.definite && each.validFrom >= oldest && each.serial <= serial {
			confirmed++
		}
	}
	return confirmed >= len(c.controllers)/2+1
}

func (c *Confirmations) withoutCoreTooLong() bool {
	return c.maxWithoutCore > 0 && c.clock.Mono()-c.lastCoreMajority > c.maxWithoutCore
}

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
	return confirmed >= signed.Vanes()/2+1
}

// ApplyNews takes in news of a core machine that were asked for at the time given.
// It returns the bundle held if that changed.
func (c *Confirmations) ApplyNews(controller int, askedAt time.Duration, news *wire.NewsReply, open func(*wire.Sealed) *bundle.Bundle) (adopted *bundle.Bundle) {
	slice, staged := open(news.Slice), open(news.Staged)
	c.mu.Lock()
	defer c.mu.Unlock()
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
	adopted = c.adoptNewest(slice)
	if c.held != nil && c.confirmedByCore(c.held.Serial, 0) {
		c.lastCoreMajority = c.clock.Mono()
	}
	c.updateDefinite()
	return adopted
}

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

func (c *Confirmations) updateDefinite() {
	if c.clock.Mono() >= c.settledAt && c.held != nil && c.held.Serial >= c.inForce && c.confirmedByCore(c.held.Serial, 0) {
		c.definite = true
	}
}

// SetFromDisk sets a bundle read from disk, which is held once a majority confirms
// it.
func (c *Confirmations) SetFromDisk(signed *bundle.Bundle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fromDisk = signed
}

// ApplyConfirmation takes in another node's confirmation that was asked for at the time given. It
// returns the bundle held if that changed.
func (c *Confirmations) ApplyConfirmation(askedAt time.Duration, reply *wire.VouchReply, open func(*wire.Sealed) *bundle.Bundle) (adopted *bundle.Bundle) {
	slice := open(reply.Slice)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[reply.Node] = confirmation{validFrom: askedAt, serial: max(reply.Serial, reply.Staged), definite: reply.Definite}
	if reply.Definite && reply.Serial > c.inForce {
		c.inForce = reply.Serial
	}
	adopted = c.adoptNewest(slice)
	if c.held != nil && !c.definite && c.held.Serial >= c.inForce && c.confirmedByPeers(c.held, 0, 0) {
		c.definite = true
	}
	return adopted
}

// Confirm returns this node's confirmation for another node.
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

func (c *Confirmations) newestKnown() *bundle.Bundle {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		return c.fromDisk
	}
	return c.held
}

func (n *Node) requestConfirmations(s base.Scope) {
	interval := time.Duration(float64(n.confirmations.validity) * confirmIntervalRatio)
	base.Tick(s, interval, func(s base.Scope) {
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

// askVouch asks another node for its confirmation.
func (n *Node) requestConfirmation(s base.Scope, machine *wire.Machine, serial uint64, askedAt time.Duration) {
	ctx, cancel := context.WithTimeout(s, n.confirmations.validity)
	defer cancel()
	reply, err := n.peerClient(machine.Address).Vouch(ctx, connect.NewRequest(&wire.VouchRequest{Node: n.self, Serial: serial, Odds: n.sampler.Serial()}))
	if err == nil && reply.Msg.Node == machine.Name {
		n.updateProbabilities(reply.Msg.Odds)
		n.adopt(n.confirmations.ApplyConfirmation(askedAt, reply.Msg, n.verifyBundle))
	}
}

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
	if needed := known.Vanes()/2 + spareConfirmers; current && len(recent) >= needed {
		return recent[:needed]
	}
	return all
}

func (c *Confirmations) currentByCore(serial uint64, ahead time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce <= serial && c.confirmedByCore(serial, ahead)
}

func (p peerServer) Vouch(_ context.Context, request *connect.Request[wire.VouchRequest]) (*connect.Response[wire.VouchReply], error) {
	reply := p.node.confirmations.Confirm(request.Msg)
	if odds := p.node.sampler.Odds(); odds.GetSerial() > request.Msg.Odds {
		reply.Odds = odds
	}
	return connect.NewResponse(reply), nil
}

func (n *Node) awaitSerial(s base.Scope, serial uint64) *base.Fault {
	deadline := s.Clock.Mono() + time.Duration(float64(n.confirmations.validity)*bundleWaitRatio)
	for {
		adopted := n.bundleAdopted.Next()
		held, _, _ := n.confirmations.Held()
		switch {
		case held != nil && held.Serial > serial:
			return base.NewFault(base.Stale, "", "serial %d is in force here, not %d", held.Serial, serial)
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

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
	// claimRatio, of the slide-back bound, is how long what core machines and
	// nodes vouched for holds.
	claimRatio = 0.8
	// worryRatio, of that time, is how long before its end a node begins to ask
	// other nodes.
	worryRatio = 0.5
	// vouchRatio, of that time, is the interval at which it asks them.
	confirmRatio = 0.35
	// behindRatio, of that time, is how long a request waits for the bundle in
	// force.
	behindRatio = 0.2

	// backersSpare is how many more nodes are asked than a majority needs.
	backersSpare = 1
)

// confirmation is what a core machine or a node said of the newest bundle it knows, and
// when.
type confirmation struct {
	at       time.Duration
	serial   uint64
	definite bool
}

// Confirmations decides which bundle is in force on a node: the newest that a majority
// of core machines, or of nodes, lately vouched for. A node that can't tell
// serves nothing. It is safe for concurrent use.
type Confirmations struct {
	clock       base.Clock
	length      time.Duration
	self        string
	mu          sync.Mutex
	controllers []confirmation
	peers       map[string]confirmation
	held        *bundle.Bundle
	staged      *bundle.Bundle
	recalled    *bundle.Bundle
	ballot      *wire.Ballot
	wanted      uint64
	definite    bool
	since       time.Duration
	alone       time.Duration
	cored       time.Duration
}

// NewConfirmations returns the claims of a node that was just started. They hold for
// length; settling must pass before the node vouches to others; without the
// core it goes on for alone at most, or without limit if that is 0.
func NewConfirmations(clock base.Clock, self string, controllers int, length, settling, alone time.Duration) *Confirmations {
	return &Confirmations{alone: alone, cored: clock.Mono(), clock: clock, since: clock.Mono() + settling, self: self, controllers: make([]confirmation, controllers), peers: map[string]confirmation{}, length: length}
}

// Held returns the bundle held, the one staged, and the newest ballot heard.
func (c *Confirmations) Held() (held, staged *bundle.Bundle, ballot *wire.Ballot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held, c.staged, c.ballot
}

// IsCurrent reports whether the bundle of that serial number is held and sure to be
// the newest.
func (c *Confirmations) IsCurrent(serial uint64) bool { return c.goodIn(serial, 0) }

func (c *Confirmations) goodIn(serial uint64, ahead time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil || c.held.Serial != serial || c.wanted > serial {
		return false
	}
	return c.byCore(serial, ahead) || (c.definite && (c.staged == nil || c.staged.Serial <= serial) && c.byPeers(c.held, ahead, 1))
}

func (c *Confirmations) byCore(serial uint64, ahead time.Duration) bool {
	oldest, good := c.clock.Mono()+ahead-c.length, 0
	for _, each := range c.controllers {
		if each.definite && each.at >= oldest && each.serial <= serial {
			good++
		}
	}
	return good >= len(c.controllers)/2+1
}

func (c *Confirmations) tooLong() bool { return c.alone > 0 && c.clock.Mono()-c.cored > c.alone }

func (c *Confirmations) byPeers(signed *bundle.Bundle, ahead time.Duration, own int) bool {
	if c.tooLong() {
		return false
	}
	oldest, good := c.clock.Mono()+ahead-c.length, 0
	for machine := range signed.Machines() {
		if machine.Core {
			continue
		}
		if machine.Name == c.self {
			good += own
			continue
		}
		if each := c.peers[machine.Name]; each.definite && each.at >= oldest && each.serial <= signed.Serial {
			good++
		}
	}
	return good >= signed.ApplicationMachines()/2+1
}

// ApplyNews takes in news of a core machine that were asked for at the time given.
// It returns the bundle held if that changed.
func (c *Confirmations) ApplyNews(controller int, asked time.Duration, news *wire.NewsReply, open func(*wire.Sealed) *bundle.Bundle) (risen *bundle.Bundle) {
	slice, staged := open(news.Slice), open(news.Staged)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controllers[controller] = confirmation{at: asked + time.Duration(news.HeldUs)*time.Microsecond, serial: news.Accepted, definite: news.Vouches}
	if quorum.CompareBallots(news.Ballot, c.ballot) > 0 {
		c.ballot, c.wanted = news.Ballot, max(c.wanted, news.Serial)
		if c.staged != nil && c.staged.Serial != news.StagedSerial && c.staged.Serial != news.Serial {
			c.staged = nil
		}
	}
	if staged != nil && quorum.CompareBallots(news.Ballot, c.ballot) == 0 && staged.Serial == news.StagedSerial {
		c.staged = staged
	}
	risen = c.rise(slice)
	if c.held != nil && c.byCore(c.held.Serial, 0) {
		c.cored = c.clock.Mono()
	}
	c.settle()
	return risen
}

func (c *Confirmations) rise(offered ...*bundle.Bundle) (risen *bundle.Bundle) {
	for _, each := range append(offered, c.staged, c.recalled) {
		if each == nil || each.Serial != c.wanted {
			continue
		}
		if c.held == nil || each.Serial > c.held.Serial || (each.Serial == c.held.Serial && len(each.Sealed.Parts) > len(c.held.Sealed.Parts)) {
			c.held, risen = each, each
		}
	}
	if c.held != nil && c.staged != nil && c.staged.Serial <= c.held.Serial {
		c.staged = nil
	}
	return risen
}

func (c *Confirmations) settle() {
	if c.clock.Mono() >= c.since && c.held != nil && c.held.Serial >= c.wanted && c.byCore(c.held.Serial, 0) {
		c.definite = true
	}
}

// SetFromDisk sets a bundle read from disk, which is held once a majority confirms
// it.
func (c *Confirmations) SetFromDisk(signed *bundle.Bundle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recalled = signed
}

// ApplyConfirmation takes in another node's confirmation that was asked for at the time given. It
// returns the bundle held if that changed.
func (c *Confirmations) ApplyConfirmation(asked time.Duration, reply *wire.VouchReply, open func(*wire.Sealed) *bundle.Bundle) (risen *bundle.Bundle) {
	slice := open(reply.Slice)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[reply.Node] = confirmation{at: asked, serial: max(reply.Serial, reply.Staged), definite: reply.Definite}
	if reply.Definite && reply.Serial > c.wanted {
		c.wanted = reply.Serial
	}
	risen = c.rise(slice)
	if c.held != nil && !c.definite && c.held.Serial >= c.wanted && c.byPeers(c.held, 0, 0) {
		c.definite = true
	}
	return risen
}

// Confirm returns this node's confirmation for another node.
func (c *Confirmations) Confirm(ask *wire.VouchRequest) *wire.VouchReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &wire.VouchReply{Node: c.self, Definite: c.definite && !c.tooLong()}
	if c.held != nil {
		reply.Serial = c.held.Serial
		if c.definite && ask.Serial < c.held.Serial {
			reply.Slice = c.held.Sealed
		}
	}
	if c.staged != nil {
		reply.Staged = c.staged.Serial
	}
	return reply
}

func (c *Confirmations) mostKnown() *bundle.Bundle {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		return c.recalled
	}
	return c.held
}

func (n *Node) confirm(s base.Scope) {
	every := time.Duration(float64(n.claims.length) * confirmRatio)
	base.Tick(s, every, func(s base.Scope) {
		known := n.claims.mostKnown()
		if known == nil {
			return
		}
		held, _, _ := n.claims.Held()
		if held != nil && n.claims.sureByCore(held.Serial, time.Duration(float64(n.claims.length)*worryRatio)) {
			return
		}
		serial := uint64(0)
		if held != nil {
			serial = held.Serial
		}
		asked := s.Clock.Mono()
		for _, machine := range n.claims.backers(known, serial) {
			go n.askConfirm(s, machine, serial, asked)
		}
	})
}

// askVouch asks another node for its confirmation.
func (n *Node) askConfirm(s base.Scope, machine *wire.Machine, serial uint64, asked time.Duration) {
	ctx, cancel := context.WithTimeout(s, n.claims.length)
	defer cancel()
	reply, err := n.peerClient(machine.Address).Vouch(ctx, connect.NewRequest(&wire.VouchRequest{Node: n.self, Serial: serial, Odds: n.keeper.Serial()}))
	if err == nil && reply.Msg.Node == machine.Name {
		n.load(reply.Msg.Odds)
		n.risen(n.claims.ApplyConfirmation(asked, reply.Msg, n.open))
	}
}

func (c *Confirmations) backers(known *bundle.Bundle, serial uint64) []*wire.Machine {
	good := c.IsCurrent(serial)
	c.mu.Lock()
	defer c.mu.Unlock()
	var every, fresh []*wire.Machine
	after := 0
	for machine := range known.Machines() {
		if machine.Name == c.self {
			after = len(every)
		}
		if !machine.Core && machine.Name != c.self {
			every = append(every, machine)
		}
	}
	every = append(every[after:], every[:after]...)
	for _, machine := range every {
		if each := c.peers[machine.Name]; each.definite && c.clock.Mono()-each.at < 2*c.length {
			fresh = append(fresh, machine)
		}
	}
	if enough := known.ApplicationMachines()/2 + backersSpare; good && len(fresh) >= enough {
		return fresh[:enough]
	}
	return every
}

func (c *Confirmations) sureByCore(serial uint64, ahead time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wanted <= serial && c.byCore(serial, ahead)
}

func (v peerServer) Vouch(_ context.Context, request *connect.Request[wire.VouchRequest]) (*connect.Response[wire.VouchReply], error) {
	reply := v.node.claims.Confirm(request.Msg)
	if odds := v.node.keeper.Odds(); odds.GetSerial() > request.Msg.Odds {
		reply.Odds = odds
	}
	return connect.NewResponse(reply), nil
}

func (n *Node) abreast(s base.Scope, serial uint64) *base.Fault {
	until := s.Clock.Mono() + time.Duration(float64(n.claims.length)*behindRatio)
	for {
		heard := n.risenBell.Next()
		held, _, _ := n.claims.Held()
		switch {
		case held != nil && held.Serial > serial:
			return base.NewFault(base.StaleSerial, "", "serial %d is in force here, not %d", held.Serial, serial)
		case held != nil && held.Serial == serial && n.claims.IsCurrent(serial):
			return nil
		}
		left := until - s.Clock.Mono()
		if left <= 0 || s.Err() != nil {
			return base.NewFault(base.Uncertain, "", "no majority vouches here that serial %d is the newest", serial)
		}
		base.Await(s, left, heard)
	}
}

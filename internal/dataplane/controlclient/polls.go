package controlclient

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	// MaxPollWait is how long a control machine may at most hold a poll that it has no news for.
	MaxPollWait = 600 * time.Millisecond
	// pollSlack is how long beyond the hold an answer may take, twice that and the hold if it brings a configuration. It is
	// no ratio of the in-force bound: a poll that is ended early on a thin link begins anew and brings nothing at all, and
	// keepFresh makes up for one that hangs.
	pollSlack = 500 * time.Millisecond
)

// Ratios of the in-force bound.
const (
	pollHoldRatio  = 0.3
	pollPauseRatio = 0.075 // after a failed poll
	fetchLeadRatio = 0.1   // others leave a fetch to the one that began it for so long
)

// controlPoll is the polling of one control machine; the client's mu guards it, but for its client.
type controlPoll struct {
	address    string
	client     wireconnect.MoorClient
	controller string
	registry   uint64
	wants      bool
	asked      time.Duration
	cancel     context.CancelFunc
	stop       context.CancelFunc
}

// poll asks a control machine once; again says that it has a newer configuration that is still to be fetched.
func (c *Client) poll(s base.Scope, p *controlPoll, wants bool) (again bool) {
	confirm := !c.Confirmed()
	inForce := c.settings.InForce
	wait := min(MaxPollWait, base.Ratio(inForce, pollHoldRatio))
	if confirm {
		wait = min(wait, base.Ratio(inForce, confirmationRatio/2))
	}
	most := wait + pollSlack
	if wants {
		most *= 2
	}
	ctx, cancel := context.WithTimeout(s, most)
	defer cancel()
	c.mu.Lock()
	p.cancel, p.wants, p.asked = cancel, wants, s.Clock.Mono()
	c.mu.Unlock()
	ask, held := c.pollRequest(wants)
	ask.Confirm, ask.Controller, ask.Registry, ask.WaitMs = confirm, p.controller, p.registry, uint64(wait.Milliseconds())
	asked := s.Clock.Mono()
	reply, err := p.client.Hail(ctx, connect.NewRequest(ask))
	if err != nil {
		if s.Err() == nil && c.hooks.Status().Number == ask.NodeStatus.Number {
			base.Await(s, base.Ratio(inForce, pollPauseRatio))
		}
		return false
	}
	m := reply.Msg
	c.hooks.ApplyObservations(p.address, m.Whole || m.Controller != p.controller, m.Observations)
	c.mu.Lock()
	p.controller, p.registry = m.Controller, m.Registry // the controller is read by other polls, in mayFetch
	c.mu.Unlock()
	if m.Odds != nil {
		if fault := c.hooks.Sampling.Update(m.Odds); fault != nil {
			c.scope.Log.Warn("odds rejected", "reason", fault.Reason)
		}
	}
	c.applyPollReply(ask, held, m, asked)
	c.directory.recordAnswer(p.address, m.MajorityMs, m.Controllers)
	return m.Configuration == nil && m.Serial > c.known()
}

// pollRequest asks by what this node holds. Where the configuration is wanted it returns the one held as well, from which
// a change in the answer leads on.
func (c *Client) pollRequest(wants bool) (ask *wire.PollRequest, held *wire.Configuration) {
	ask = &wire.PollRequest{NodeStatus: c.hooks.Status(), Wants: wants, Odds: c.hooks.Sampling.Serial(), Unpacks: true}
	if !wants {
		ask.Serial = c.known()
		return ask, nil
	}
	held = c.held()
	ask.Serial = held.GetSerial()
	if held != nil {
		ask.Fingerprint = c.fingerprintOf(held)
	}
	return ask, held
}

// unpack puts a configuration that came compressed, or as a change from the one held, in its usual place in the answer.
func unpack(m *wire.PollReply, held *wire.Configuration) error {
	switch {
	case m.PackedChange != nil:
		change := &wire.ConfigurationChange{}
		if err := config.Unpack(m.PackedChange, change); err != nil {
			return err
		}
		m.Configuration = config.Apply(held, change)
	case m.PackedConfiguration != nil:
		whole := &wire.Configuration{}
		if err := config.Unpack(m.PackedConfiguration, whole); err != nil {
			return err
		}
		m.Configuration = whole
	}
	m.PackedChange, m.PackedConfiguration = nil, nil
	return nil
}

// applyPollReply takes what an answer says of the configuration. A confirmation that was long under way proves nothing any more.
func (c *Client) applyPollReply(ask *wire.PollRequest, held *wire.Configuration, m *wire.PollReply, sent time.Duration) {
	if err := unpack(m, held); err != nil {
		c.scope.Log.Warn("configuration can't be read", "serial", m.Serial, "error", err)
		return
	}
	defer c.proveFresh(m, sent)
	took := c.scope.Clock.Mono() - sent
	isConfirmed := m.Confirmed && ask.Confirm && took <= base.Ratio(c.settings.InForce, confirmationRatio)
	if isConfirmed && m.Serial < ask.Serial {
		c.correct(m.Configuration, ask.Serial)
		return
	}
	c.Adopt(m.Configuration, isConfirmed)
	if isConfirmed && m.Serial == ask.Serial {
		c.confirmSerial(m.Serial)
	}
}

// runPolls polls one control machine again and again until the scope ends.
func (c *Client) runPolls(s base.Scope, p *controlPoll) {
	wants := false
	for s.Err() == nil {
		confirmed := c.Confirmed()
		wants = c.poll(s, p, wants || !confirmed) && c.mayFetch(s, p)
		if !confirmed {
			base.Await(s, c.fetchLead()/4)
		}
	}
}

// mayFetch tells whether this caller is to fetch the newer configuration; while another that answers just began to, it gives that one a moment.
func (c *Client) mayFetch(s base.Scope, p *controlPoll) bool {
	c.mu.Lock()
	serial := max(c.Serial(), c.candidate.GetSerial())
	busy := c.fetchUnderWay(p, s.Clock.Mono())
	if !busy {
		p.wants = true
	}
	c.mu.Unlock()
	if !busy {
		return true
	}
	base.Await(s, c.fetchLead())
	return c.known() == serial
}

// fetchUnderWay says whether somebody but p began to fetch a configuration a moment ago; c.mu is held.
func (c *Client) fetchUnderWay(p *controlPoll, now time.Duration) bool {
	if now-c.freshness.fetched < c.fetchLead() {
		return true
	}
	for _, other := range c.controllers {
		if other != p && other.wants && other.controller != "" && now-other.asked < c.fetchLead() {
			return true
		}
	}
	return false
}

// fetchLead is how long others leave a fetch to the one that began it.
func (c *Client) fetchLead() time.Duration {
	return base.Ratio(c.settings.InForce, fetchLeadRatio)
}

// maintainPolls keeps asking those control machines that the directory chooses.
func (c *Client) maintainPolls(s base.Scope) {
	for s.Err() == nil {
		c.choosePolls()
		pause := searchRatio
		if !c.Confirmed() {
			pause = hurrySearch
		}
		base.Await(s, c.directory.ratioOfContact(pause))
	}
}

// choosePolls begins and ends polls as the directory decides.
func (c *Client) choosePolls() {
	start, stop := c.directory.choose(!c.Confirmed())
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range stop {
		if p := c.controllers[address]; p != nil {
			p.stop()
			delete(c.controllers, address)
			c.hooks.RemoveController(address)
			c.scope.Log.Info("control machine given up", "address", address)
		}
	}
	for _, address := range start {
		s, stop := c.scope.WithCancel()
		p := &controlPoll{address: address, client: wireconnect.NewMoorClient(c.http, "http://"+address), stop: stop}
		c.controllers[address] = p
		c.scope.Record("asking", address, "")
		c.tasks.Go(func() { c.runPolls(s, p) })
	}
}

// StatusChanged ends the polls under way, so that control machines hear at once what this node has to tell. Fetches go
// on.
func (c *Client) StatusChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.controllers {
		if p.cancel != nil && !p.wants {
			p.cancel()
		}
	}
}

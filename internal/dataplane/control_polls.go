package dataplane

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
	// longestPollHold is how long a control machine may at most hold a poll that it has no news for.
	longestPollHold = 600 * time.Millisecond
	// pollSlack is how long beyond the hold an answer may take, twice that and the hold if it brings a configuration. It is
	// no ratio of the in-force bound: a poll that is ended early on a thin link begins anew and brings nothing at all, and
	// keepFresh makes up for one that hangs.
	pollSlack = 500 * time.Millisecond
	// freshSlack is how long a control machine's word on absent peers counts after it last spoke.
	freshSlack = 4 * longestPollHold

	// Ratios of the in-force bound.
	pollHoldRatio  = 0.3
	pollPauseRatio = 0.075 // after a failed poll
	fetchLeadRatio = 0.1   // others leave a fetch to the one that began it for so long
)

// controlPoll is the polling of one control machine; the node's mu guards it, but for its client.
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

// nodeStatus is what this node tells the control machines of itself.
func (n *Node) nodeStatus() *wire.NodeStatus {
	instance, _, number := n.instance.Now()
	p := n.params
	return &wire.NodeStatus{
		Node: p.Name, Incarnation: n.incarnation, Number: number + n.statusRevision.Load(), Inward: p.Inward, Zone: p.Zone, Service: p.Service,
		Stopping: n.stopping.Load(), Instance: instance, Serial: n.serial(), Peers: p.Peers,
	}
}

// poll asks a control machine once; again says that it has a newer configuration that is still to be fetched.
func (n *Node) poll(s base.Scope, c *controlPoll, wants bool) (again bool) {
	confirm := !n.confirmed()
	inForce := n.params.InForce.AsDuration()
	wait := min(longestPollHold, ratioOf(inForce, pollHoldRatio))
	if confirm {
		wait = min(wait, ratioOf(inForce, confirmationRatio/2))
	}
	most := wait + pollSlack
	if wants {
		most *= 2
	}
	ctx, cancel := context.WithTimeout(s, most)
	defer cancel()
	n.mu.Lock()
	c.cancel, c.wants, c.asked = cancel, wants, s.Clock.Mono()
	n.mu.Unlock()
	_, _, sent := n.instance.Now()
	told := sent + n.statusRevision.Load()
	ask, held := n.pollRequest(wants)
	ask.Confirm, ask.Controller, ask.Registry, ask.WaitMs = confirm, c.controller, c.registry, uint64(wait.Milliseconds())
	asked := s.Clock.Mono()
	reply, err := c.client.Hail(ctx, connect.NewRequest(ask))
	if err != nil {
		_, _, now := n.instance.Now()
		if s.Err() == nil && now+n.statusRevision.Load() == told {
			base.Await(s, ratioOf(inForce, pollPauseRatio))
		}
		return false
	}
	m := reply.Msg
	n.peers.Heard(c.address, m.Whole || m.Controller != c.controller, m.Observations)
	n.mu.Lock()
	c.controller, c.registry = m.Controller, m.Registry // the controller is read by other polls, in mayFetch
	n.mu.Unlock()
	if m.Odds != nil {
		if fault := n.keeper.Load(m.Odds); fault != nil {
			n.scope.Log.Warn("odds rejected", "reason", fault.Reason)
		}
	}
	n.applyPollReply(ask, held, m, asked)
	n.directory.recordAnswer(c.address, m.MajorityMs, m.Controllers)
	return m.Configuration == nil && m.Serial > n.known()
}

// pollRequest asks by what this node holds. Where the configuration is wanted it returns the one held as well, from which
// a change in the answer leads on.
func (n *Node) pollRequest(wants bool) (ask *wire.PollRequest, held *wire.Configuration) {
	ask = &wire.PollRequest{NodeStatus: n.nodeStatus(), Wants: wants, Odds: n.keeper.Serial(), Unpacks: true}
	if !wants {
		ask.Serial = n.known()
		return ask, nil
	}
	held = n.held()
	ask.Serial = held.GetSerial()
	if held != nil {
		ask.Fingerprint = config.Fingerprint(held)
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
func (n *Node) applyPollReply(ask *wire.PollRequest, held *wire.Configuration, m *wire.PollReply, sent time.Duration) {
	if err := unpack(m, held); err != nil {
		n.scope.Log.Warn("configuration can't be read", "serial", m.Serial, "error", err)
		return
	}
	defer n.proveFresh(m, sent)
	took := n.scope.Clock.Mono() - sent
	isConfirmed := m.Confirmed && ask.Confirm && took <= ratioOf(n.params.InForce.AsDuration(), confirmationRatio)
	if isConfirmed && m.Serial < ask.Serial {
		n.correct(m.Configuration, ask.Serial)
		return
	}
	n.adopt(m.Configuration, isConfirmed)
	if isConfirmed && m.Serial == ask.Serial {
		n.confirmSerial(m.Serial)
	}
}

// runPolls polls one control machine again and again until the scope ends.
func (n *Node) runPolls(s base.Scope, c *controlPoll) {
	wants := false
	for s.Err() == nil {
		confirmed := n.confirmed()
		wants = n.poll(s, c, wants || !confirmed) && n.mayFetch(s, c)
		if !confirmed {
			base.Await(s, n.fetchLead()/4)
		}
	}
}

// mayFetch tells whether this caller is to fetch the newer configuration; while another that answers just began to, it gives that one a moment.
func (n *Node) mayFetch(s base.Scope, c *controlPoll) bool {
	n.mu.Lock()
	serial := max(n.serial(), n.candidate.GetSerial())
	busy := n.fetchUnderWay(c, s.Clock.Mono())
	if !busy {
		c.wants = true
	}
	n.mu.Unlock()
	if !busy {
		return true
	}
	base.Await(s, n.fetchLead())
	return n.known() == serial
}

// fetchUnderWay says whether somebody but c began to fetch a configuration a moment ago; n.mu is held.
func (n *Node) fetchUnderWay(c *controlPoll, now time.Duration) bool {
	if now-n.freshness.fetched < n.fetchLead() {
		return true
	}
	for _, other := range n.controllers {
		if other != c && other.wants && other.controller != "" && now-other.asked < n.fetchLead() {
			return true
		}
	}
	return false
}

// fetchLead is how long others leave a fetch to the one that began it.
func (n *Node) fetchLead() time.Duration {
	return ratioOf(n.params.InForce.AsDuration(), fetchLeadRatio)
}

// maintainPolls keeps asking those control machines that the directory chooses.
func (n *Node) maintainPolls(s base.Scope) {
	for s.Err() == nil {
		n.choosePolls()
		pause := searchRatio
		if !n.confirmed() {
			pause = hurrySearch
		}
		base.Await(s, n.directory.ratioOfContact(pause))
	}
}

// choosePolls begins and ends polls as the directory decides.
func (n *Node) choosePolls() {
	start, stop := n.directory.choose(!n.confirmed())
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range stop {
		if c := n.controllers[address]; c != nil {
			c.stop()
			delete(n.controllers, address)
			n.peers.Forget(address)
			n.scope.Log.Info("control machine given up", "address", address)
		}
	}
	for _, address := range start {
		s, stop := n.scope.Child()
		c := &controlPoll{address: address, client: wireconnect.NewMoorClient(n.client, "http://"+address), stop: stop}
		n.controllers[address] = c
		n.scope.Note("asking", address, "")
		n.tasks.Go(func() { n.runPolls(s, c) })
	}
}

// restartPolls ends the polls under way, so that control machines hear at once what this node has to tell. Fetches go
// on.
func (n *Node) restartPolls() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.controllers {
		if c.cancel != nil && !c.wants {
			c.cancel()
		}
	}
}

// watchInstance tells the control machines at once when the upstream beside this node changes.
func (n *Node) watchInstance(s base.Scope) {
	_, _, told := n.instance.Now()
	for s.Err() == nil {
		heard := n.instance.changed.Heard()
		if _, _, now := n.instance.Now(); now != told {
			told = now
			n.restartPolls()
		}
		base.Await(s, time.Minute, heard)
	}
}

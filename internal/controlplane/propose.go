package controlplane

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/proto/wire"
)

const (
	backOffLeast  = 4 * time.Millisecond
	backOffSpread = 24 * time.Millisecond
	backOffStuck  = 40 * time.Millisecond
)

// Propose answers once a majority of disks has taken the configuration or it can never be taken; else with a fault.
func (m *Server) Propose(ctx context.Context, p *wire.ConfigurationProposal) (*wire.ConfigurationOutcome, error) {
	if outcome := preCheck(p); outcome != nil {
		m.logOutcome(p, outcome)
		return outcome, nil
	}
	c := m.core.Load()
	if c == nil {
		return nil, base.NewFault(base.Uncertain, "", "this control machine has not joined its peers")
	}
	if !m.heardMajorityLately(c) {
		return nil, base.NewFault(base.Uncertain, "", "this control machine is cut off from the majority")
	}
	s, cancel := m.scope.WithContext(ctx).WithTimeout(ratioOf(m.params.Load().Ack, callRatio))
	defer cancel()
	outcome := m.routeProposal(s, c, p)
	if outcome == nil {
		m.scope.Log.Warn("configuration undecided", "serial", config.ProposedSerial(p))
		return nil, base.NewFault(base.Uncertain, "", "whether serial %d is taken is not known yet", config.ProposedSerial(p))
	}
	m.logOutcome(p, outcome)
	return outcome, nil
}

// routeProposal has the owner of the configuration decide, where it was heard lately, and decides here otherwise.
func (m *Server) routeProposal(s base.Scope, c *core, p *wire.ConfigurationProposal) *wire.ConfigurationOutcome {
	if p.Relayed {
		return m.proposeLocally(s, c, p)
	}
	wait := ratioOf(m.params.Load().Ack, forwardRatio)
	asked := ""
	if owner, _ := c.replica.Owner(ConfigurationKey); owner != "" && owner != m.address && c.heardLately(owner, m.recentWindow()) {
		asked = owner
		if outcome := m.forward(s, c, asked, p, wait); outcome != nil {
			return outcome
		}
	}
	return m.proposeLocallyAndForward(s, c, p, asked, wait)
}

// The disk here may stand still; then another control machine is asked as well. Either may answer: marks keep them of one mind.
func (m *Server) proposeLocallyAndForward(s base.Scope, c *core, p *wire.ConfigurationProposal, asked string, wait time.Duration) *wire.ConfigurationOutcome {
	own := make(chan *wire.ConfigurationOutcome, 1)
	other := make(chan *wire.ConfigurationOutcome, 1)
	moved := make(chan struct{})
	go func() {
		own <- m.proposeLocally(s, c, p)
		close(moved)
	}()
	if c.replica.IsVoter() {
		base.Await(s, wait, moved)
	}
	waiting := 1
	if len(own) == 0 {
		if peer := m.pickPeer(c, asked); peer != "" {
			waiting = 2
			go func() { other <- m.forward(s, c, peer, p, wait*8) }()
		}
	}
	for range waiting {
		select {
		case outcome := <-own:
			if outcome != nil {
				return outcome
			}
		case outcome := <-other:
			if outcome != nil {
				return outcome
			}
		case <-s.Done():
			return nil
		}
	}
	return nil
}

// pickPeer draws a voter that was heard lately, or returns "".
func (m *Server) pickPeer(c *core, but string) string {
	voters := c.replica.Voters()
	if len(voters) == 0 {
		return ""
	}
	start := m.scope.Rand.IntN(len(voters))
	for i := range voters {
		peer := voters[(start+i)%len(voters)]
		if peer != m.address && peer != but && c.heardLately(peer, m.recentWindow()) {
			return peer
		}
	}
	return ""
}

// forward lets another control machine decide; nil if it gave no clear answer in time.
func (m *Server) forward(s base.Scope, c *core, peer string, p *wire.ConfigurationProposal, wait time.Duration) *wire.ConfigurationOutcome {
	bounded, cancel := s.WithTimeout(wait)
	defer cancel()
	reply, err := c.peer(peer).Propose(bounded, connect.NewRequest(&wire.ConfigurationProposal{Configuration: p.Configuration, Change: p.Change, Relayed: true}))
	if err != nil {
		m.scope.Record("forward-failed", peer, err.Error())
		return nil
	}
	return reply.Msg
}

// proposeLocally decides here, again and again until there is a clear answer or the time is over.
func (m *Server) proposeLocally(s base.Scope, c *core, p *wire.ConfigurationProposal) *wire.ConfigurationOutcome {
	for s.Err() == nil {
		outcome, err := m.proposeOnce(s, c, p)
		if err == nil {
			return outcome
		}
		fault := base.FaultOf(err)
		m.scope.Record("change-failed", ConfigurationKey, fault.Error())
		if fault.Kind != base.Superseded {
			base.Await(s, backOffStuck)
		}
		m.backOff(s)
	}
	return nil
}

// backOff waits a moment, drawn so that control machines which compete don't do so in step.
func (m *Server) backOff(s base.Scope) {
	base.Await(s, backOffLeast+time.Duration(s.Rand.Float64()*float64(backOffSpread)))
}

// proposeOnce judges the order by the newest configuration. The replica answers without an error only once a majority of disks
// has the change, or, where there is none, has confirmed that no newer configuration was there: so every answer is final.
func (m *Server) proposeOnce(s base.Scope, c *core, p *wire.ConfigurationProposal) (outcome *wire.ConfigurationOutcome, err error) {
	err = c.replica.Change(s, ConfigurationKey, func(old []byte) ([]byte, error) {
		head := &wire.ConfigurationHead{}
		if err := proto.Unmarshal(old, head); err != nil {
			return nil, err
		}
		var next *wire.ConfigurationHead
		if next, outcome = decideOrder(head, p); next == nil {
			return nil, nil
		}
		return proto.Marshal(next)
	})
	return outcome, err
}

// decideOrder gives the head that an order leads to, or what to answer without one; neither where that can't be known.
func decideOrder(head *wire.ConfigurationHead, p *wire.ConfigurationProposal) (*wire.ConfigurationHead, *wire.ConfigurationOutcome) {
	serial, asked := config.ProposedSerial(p), orderOf(p)
	switch lookUp(head, asked) {
	case taken:
		return nil, &wire.ConfigurationOutcome{Serial: serial}
	case forgotten:
		return nil, nil
	}
	next, faults := config.ApplyProposal(head.GetConfiguration(), p)
	if len(faults) > 0 {
		return nil, rejected(serial, faults...)
	}
	return &wire.ConfigurationHead{Configuration: next, Orders: remember(head, asked)}, &wire.ConfigurationOutcome{Serial: serial}
}

// preCheck refuses what can be refused without knowing the newest configuration.
func preCheck(p *wire.ConfigurationProposal) *wire.ConfigurationOutcome {
	if faults := config.CheckProposal(p); len(faults) > 0 {
		return rejected(config.ProposedSerial(p), faults...)
	}
	return nil
}

// rejected is the outcome of an order that can never be taken, with all its faults.
func rejected(serial uint64, faults ...*base.Fault) *wire.ConfigurationOutcome {
	outcome := &wire.ConfigurationOutcome{Serial: serial, Kind: string(faults[0].Kind)}
	for _, each := range faults {
		outcome.Reasons = append(outcome.Reasons, each.Error())
	}
	return outcome
}

// logOutcome tells operators how an order ended.
func (m *Server) logOutcome(p *wire.ConfigurationProposal, outcome *wire.ConfigurationOutcome) {
	if outcome.Kind == "" {
		m.scope.Log.Info("configuration taken", "serial", outcome.Serial, "relayed", p.GetRelayed())
		m.scope.Record("configuration-taken", ConfigurationKey, "")
		return
	}
	m.scope.Log.Info("configuration rejected", "serial", outcome.Serial, "kind", outcome.Kind, "reasons", outcome.Reasons)
	m.scope.Record("configuration-rejected", ConfigurationKey, outcome.Kind)
}

// recentWindow is how long ago a voter may have been heard to be asked.
func (m *Server) recentWindow() time.Duration { return ratioOf(m.params.Load().InForce, recentRatio) }

func (v rpcService) Propose(ctx context.Context, request *connect.Request[wire.ConfigurationProposal]) (*connect.Response[wire.ConfigurationOutcome], error) {
	p := request.Msg
	p.Relayed = true
	outcome, err := v.server.Propose(ctx, p)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(outcome), nil
}

package controlplane

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/proto/wire"
)

// Propose decides on a proposed configuration or change. Its outcome is final: either a majority of disks has the
// configuration, or it is rejected and can never be committed. An error of kind Uncertain means that the outcome
// isn't known. It is safe to repeat the proposal at any control machine.
func (m *Server) Propose(ctx context.Context, p *wire.ConfigurationProposal) (*wire.ConfigurationOutcome, error) {
	if outcome := checkProposal(p); outcome != nil {
		m.logOutcome(p, outcome)
		return outcome, nil
	}
	c := m.core.Load()
	if c == nil {
		return nil, base.NewFault(base.Uncertain, "", "this control machine has not joined its peers")
	}
	if !m.heardMajorityRecently(c) {
		return nil, base.NewFault(base.Uncertain, "", "this control machine is cut off from the majority")
	}
	s, cancel := m.scope.WithContext(ctx).WithTimeout(ratioOf(m.params.Load().Ack, operatorTimeoutRatio))
	defer cancel()
	outcome := m.routeProposal(s, c, p)
	if outcome == nil {
		m.scope.Log.Warn("configuration undecided", "serial", config.ProposedSerial(p))
		return nil, base.NewFault(base.Uncertain, "", "whether serial %d is taken is not known yet", config.ProposedSerial(p))
	}
	m.logOutcome(p, outcome)
	return outcome, nil
}

// routeProposal has the owner of the configuration's register decide on a proposal, or decides here. It returns nil if
// the outcome isn't known. Decisions at two control machines can't contradict each other: the configuration's head
// records which proposals were committed.
func (m *Server) routeProposal(s base.Scope, c *core, p *wire.ConfigurationProposal) *wire.ConfigurationOutcome {
	if p.Relayed {
		return m.proposeLocally(s, c, p)
	}
	return runAtOwner(s, m, c, ownerOperation[wire.ConfigurationOutcome]{
		key:     ConfigurationKey,
		local:   func() *wire.ConfigurationOutcome { return m.proposeLocally(s, c, p) },
		forward: func(s base.Scope, peer string) *wire.ConfigurationOutcome { return m.forwardProposal(s, c, peer, p) },
	})
}

// forwardProposal lets another control machine decide. It returns nil if there was no final outcome before the scope
// ended.
func (m *Server) forwardProposal(s base.Scope, c *core, peer string, p *wire.ConfigurationProposal) *wire.ConfigurationOutcome {
	reply, err := c.peerClient(peer).Propose(s, connect.NewRequest(&wire.ConfigurationProposal{Configuration: p.Configuration, Change: p.Change, Relayed: true}))
	if err != nil {
		m.scope.Record("forward-failed", peer, err.Error())
		return nil
	}
	return reply.Msg
}

// proposeLocally decides here and retries until there is a final outcome. It returns nil when the scope ends
// first.
func (m *Server) proposeLocally(s base.Scope, c *core, p *wire.ConfigurationProposal) (outcome *wire.ConfigurationOutcome) {
	m.retryChange(s, ConfigurationKey, func() (err error) {
		outcome, err = m.proposeOnce(s, c, p)
		if err != nil {
			outcome = nil
		}
		return err
	})
	return outcome
}

// proposeOnce decides on a proposal against the newest configuration. The replica returns no error only once a
// majority of disks has the changed value or, if nothing changes, has confirmed that the value seen was the
// newest. So every outcome without an error is final.
func (m *Server) proposeOnce(s base.Scope, c *core, p *wire.ConfigurationProposal) (outcome *wire.ConfigurationOutcome, err error) {
	err = c.replica.Change(s, ConfigurationKey, func(old []byte) ([]byte, error) {
		head := &wire.ConfigurationHead{}
		if err := proto.Unmarshal(old, head); err != nil {
			return nil, err
		}
		var next *wire.ConfigurationHead
		if next, outcome = decideProposal(head, p); next == nil {
			return nil, nil
		}
		return proto.Marshal(next)
	})
	return outcome, err
}

// decideProposal returns the head that results from committing a proposal, together with the outcome. The head is
// nil if nothing is to be changed: the proposal is already committed, or rejected. Both are nil if it may have
// been committed too long ago to tell.
func decideProposal(head *wire.ConfigurationHead, p *wire.ConfigurationProposal) (*wire.ConfigurationHead, *wire.ConfigurationOutcome) {
	serial, id := config.ProposedSerial(p), proposalIDOf(p)
	switch lookUpProposal(head, id) {
	case committed:
		return nil, &wire.ConfigurationOutcome{Serial: serial}
	case forgotten:
		return nil, nil
	}
	next, faults := config.ApplyProposal(head.GetConfiguration(), p)
	if len(faults) > 0 {
		return nil, rejection(serial, faults...)
	}
	return &wire.ConfigurationHead{Configuration: next, Orders: rememberProposal(head, id)}, &wire.ConfigurationOutcome{Serial: serial}
}

// checkProposal rejects what is invalid whatever the current configuration is. It returns nil for everything else.
func checkProposal(p *wire.ConfigurationProposal) *wire.ConfigurationOutcome {
	if faults := config.CheckProposal(p); len(faults) > 0 {
		return rejection(config.ProposedSerial(p), faults...)
	}
	return nil
}

// rejection is the outcome of a proposal that can never be committed: the kind of the first fault and the text of
// all.
func rejection(serial uint64, faults ...*base.Fault) *wire.ConfigurationOutcome {
	outcome := &wire.ConfigurationOutcome{Serial: serial, Kind: string(faults[0].Kind)}
	for _, each := range faults {
		outcome.Reasons = append(outcome.Reasons, each.Error())
	}
	return outcome
}

// logOutcome logs and records how a proposal ended.
func (m *Server) logOutcome(p *wire.ConfigurationProposal, outcome *wire.ConfigurationOutcome) {
	if outcome.Kind == "" {
		m.scope.Log.Info("configuration taken", "serial", outcome.Serial, "relayed", p.GetRelayed())
		m.scope.Record("configuration-taken", ConfigurationKey, "")
		return
	}
	m.scope.Log.Info("configuration rejected", "serial", outcome.Serial, "kind", outcome.Kind, "reasons", outcome.Reasons)
	m.scope.Record("configuration-rejected", ConfigurationKey, outcome.Kind)
}

// Propose handles a proposal that another control machine forwards. It is never forwarded again.
func (v rpcService) Propose(ctx context.Context, request *connect.Request[wire.ConfigurationProposal]) (*connect.Response[wire.ConfigurationOutcome], error) {
	p := request.Msg
	p.Relayed = true
	outcome, err := v.server.Propose(ctx, p)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(outcome), nil
}

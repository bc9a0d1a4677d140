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
	pauseLeast  = 4 * time.Millisecond
	pauseSpread = 24 * time.Millisecond
	pauseStuck  = 40 * time.Millisecond
)

// Propose answers once a majority of disks has taken the chart or it can never be taken; else with a fault.
func (m *Server) Propose(ctx context.Context, p *wire.ChartProposal) (*wire.ChartOutcome, error) {
	if outcome := vet(p); outcome != nil {
		m.told(p, outcome)
		return outcome, nil
	}
	c := m.core.Load()
	if c == nil {
		return nil, base.Bounce(base.Uncertain, "", "this control machine has not joined its peers")
	}
	if !m.inTouch(c) {
		return nil, base.Bounce(base.Uncertain, "", "this control machine is cut off from the majority")
	}
	s, cancel := m.scope.Under(ctx).Within(part(m.params.Load().Ack, callRatio))
	defer cancel()
	outcome := m.decide(s, c, p)
	if outcome == nil {
		m.scope.Log.Warn("chart undecided", "serial", config.SerialOf(p))
		return nil, base.Bounce(base.Uncertain, "", "whether serial %d is taken is not known yet", config.SerialOf(p))
	}
	m.told(p, outcome)
	return outcome, nil
}

func (m *Server) decide(s base.Scope, c *core, p *wire.ChartProposal) *wire.ChartOutcome {
	if p.Relayed {
		return m.settle(s, c, p)
	}
	wait := part(m.params.Load().Ack, relayRatio)
	asked := ""
	if owner, _ := c.replica.Owner(ChartKey); owner != "" && owner != m.self && c.hears(owner, m.lately()) {
		asked = owner
		if outcome := m.relay(s, c, asked, p, wait); outcome != nil {
			return outcome
		}
	}
	return m.race(s, c, p, asked, wait)
}

// The disk here may stand still; then another control machine is asked as well. Either may answer: marks keep them of one mind.
func (m *Server) race(s base.Scope, c *core, p *wire.ChartProposal, asked string, wait time.Duration) *wire.ChartOutcome {
	own := make(chan *wire.ChartOutcome, 1)
	other := make(chan *wire.ChartOutcome, 1)
	moved := make(chan struct{})
	go func() {
		own <- m.settle(s, c, p)
		close(moved)
	}()
	if c.replica.Votes() {
		base.Await(s, wait, moved)
	}
	waiting := 1
	if len(own) == 0 {
		if mate := m.pickPeer(c, asked); mate != "" {
			waiting = 2
			go func() { other <- m.relay(s, c, mate, p, wait*8) }()
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

func (m *Server) pickPeer(c *core, but string) string {
	voters := c.replica.Voters()
	if len(voters) == 0 {
		return ""
	}
	start := m.scope.Rand.Below(len(voters))
	for i := range voters {
		mate := voters[(start+i)%len(voters)]
		if mate != m.self && mate != but && c.hears(mate, m.lately()) {
			return mate
		}
	}
	return ""
}

func (m *Server) relay(s base.Scope, c *core, mate string, p *wire.ChartProposal, wait time.Duration) *wire.ChartOutcome {
	bounded, cancel := s.Within(wait)
	defer cancel()
	reply, err := c.peer(mate).Propose(bounded, connect.NewRequest(&wire.ChartProposal{Chart: p.Chart, Change: p.Change, Relayed: true}))
	if err != nil {
		m.scope.Note("relay-failed", mate, err.Error())
		return nil
	}
	return reply.Msg
}

func (m *Server) settle(s base.Scope, c *core, p *wire.ChartProposal) *wire.ChartOutcome {
	for s.Err() == nil {
		outcome, err := m.attempt(s, c, p)
		if err == nil {
			return outcome
		}
		mishap := base.MishapOf(err)
		m.scope.Note("change-failed", ChartKey, mishap.Error())
		if mishap.Kind != base.Outranked {
			base.Await(s, pauseStuck)
		}
		m.pause(s)
	}
	return nil
}

func (m *Server) pause(s base.Scope) {
	base.Await(s, pauseLeast+time.Duration(s.Rand.Float64()*float64(pauseSpread)))
}

// attempt judges the order by the newest chart. The replica answers without an error only once a majority of disks
// has the change, or, where there is none, has confirmed that no newer chart was there: so every answer is final.
func (m *Server) attempt(s base.Scope, c *core, p *wire.ChartProposal) (outcome *wire.ChartOutcome, err error) {
	err = c.replica.Change(s, ChartKey, func(old []byte) ([]byte, error) {
		head := &wire.ChartHead{}
		if err := proto.Unmarshal(old, head); err != nil {
			return nil, err
		}
		var next *wire.ChartHead
		if next, outcome = judge(head, p); next == nil {
			return nil, nil
		}
		return proto.Marshal(next)
	})
	return outcome, err
}

// judge gives the head that an order leads to, or what to answer without one; neither where that can't be known.
func judge(head *wire.ChartHead, p *wire.ChartProposal) (*wire.ChartHead, *wire.ChartOutcome) {
	serial, asked := config.SerialOf(p), orderOf(p)
	switch recall(head, asked) {
	case taken:
		return nil, &wire.ChartOutcome{Serial: serial}
	case forgotten:
		return nil, nil
	}
	next, mishaps := config.Next(head.GetChart(), p)
	if len(mishaps) > 0 {
		return nil, bounced(serial, mishaps...)
	}
	return &wire.ChartHead{Chart: next, Orders: remember(head, asked)}, &wire.ChartOutcome{Serial: serial}
}

// vet refuses what can be refused without knowing the newest chart.
func vet(p *wire.ChartProposal) *wire.ChartOutcome {
	if mishaps := config.CheckOrder(p); len(mishaps) > 0 {
		return bounced(config.SerialOf(p), mishaps...)
	}
	return nil
}

func bounced(serial uint64, mishaps ...*base.Mishap) *wire.ChartOutcome {
	outcome := &wire.ChartOutcome{Serial: serial, Kind: string(mishaps[0].Kind)}
	for _, each := range mishaps {
		outcome.Reasons = append(outcome.Reasons, each.Error())
	}
	return outcome
}

func (m *Server) told(p *wire.ChartProposal, outcome *wire.ChartOutcome) {
	if outcome.Kind == "" {
		m.scope.Log.Info("chart taken", "serial", outcome.Serial, "relayed", p.GetRelayed())
		m.scope.Note("chart-taken", ChartKey, "")
		return
	}
	m.scope.Log.Info("chart bounced", "serial", outcome.Serial, "kind", outcome.Kind, "reasons", outcome.Reasons)
	m.scope.Note("chart-bounced", ChartKey, outcome.Kind)
}

func (m *Server) lately() time.Duration { return part(m.params.Load().InForce, latelyRatio) }

func (v rpcService) Propose(ctx context.Context, request *connect.Request[wire.ChartProposal]) (*connect.Response[wire.ChartOutcome], error) {
	p := request.Msg
	p.Relayed = true
	outcome, err := v.server.Propose(ctx, p)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(outcome), nil
}

package controlplane

import (
	"net/http"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

const joining = "joining"

// show lets operators look, on the door for mates: GET /view, /chart, /odds, /journal, /metrics.
func (m *Moor) show(mux *http.ServeMux) {
	base.Views(mux, m.scope, func() proto.Message { return m.View() }, m.metrics)
	mux.HandleFunc("GET /chart", func(w http.ResponseWriter, r *http.Request) {
		chart, err := m.Chart(r.Context())
		if err != nil {
			mishap := base.MishapOf(err)
			base.Reply(w, base.Answers[mishap.Kind].Status, map[string]any{"mishap": mishap})
			return
		}
		if chart == nil {
			chart = &wire.Chart{}
		}
		base.ReplyProto(w, chart)
	})
	mux.HandleFunc("GET /odds", func(w http.ResponseWriter, _ *http.Request) {
		said := m.learning.Load().said
		if said == nil {
			said = &wire.Learning{}
		}
		base.ReplyProto(w, said)
	})
}

func ms(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

// View tells how this keel stands and what it knows.
func (m *Moor) View() *wire.KeelView {
	p, now, learned := m.params.Load(), m.scope.Clock.Mono(), m.learning.Load().said
	view := &wire.KeelView{
		Keel: p.Name, Address: m.self, Zone: p.Zone, Incarnation: m.incarnation, Phase: joining, Settled: m.Settled(), Stopping: m.stopping.Load(),
		ReachedMs: ms(now - time.Duration(m.reached.Load())), Serial: m.view.Load().serial(),
		Learner: learned.GetHolder(), Odds: learned.GetOdds().GetSerial(), Cycle: learned.GetCycle(),
	}
	if agreed := time.Duration(m.agreed.Load()); agreed > -time.Hour {
		view.AgreedMs = proto.Uint64(ms(now - agreed))
	}
	view.Nodes, _ = m.roster.since(0, true, "")
	c := m.core.Load()
	if c == nil {
		return view
	}
	view.Phase = strings.ToLower(c.trove.Store().Phase().String())
	view.Owed = uint32(c.traces.Owed())
	if owner, _, known := c.trove.Owner(ChartKey); known {
		view.Owner = owner.Address
	}
	for _, mate := range c.mates {
		view.Mates = append(view.Mates, &wire.KeelMate{Address: mate, Heard: mate == m.self || c.hears(mate, m.lately())})
	}
	for _, key := range c.trove.Store().Keys() {
		owner, epoch, _ := c.trove.Owner(key)
		state := &wire.KeyState{Key: key, Owner: owner.Address, Epoch: epoch.GetNumber(), Sick: c.trove.Store().IsSick(key), Copies: uint32(c.trove.Copies(key))}
		if _, entry := c.trove.Store().Peek(key); entry != nil {
			state.Serial = entry.Serial
		}
		view.Keys = append(view.Keys, state)
	}
	return view
}

func (m *Moor) metrics(page *base.Metrics) {
	const nodes = "curlew_nodes"
	view := m.View()
	there, absent := 0, 0
	for _, each := range view.Nodes {
		if each.Absent {
			absent++
		} else {
			there++
		}
	}
	page.Kind(nodes, "gauge", "nodes known here")
	page.Add(nodes, float64(there), "state", "there")
	page.Add(nodes, float64(absent), "state", "absent")
	page.One("curlew_keel_votes", "gauge", "whether this disk votes", base.Truth(m.Ready()))
	page.One("curlew_keel_settled", "gauge", "whether this keel lately agreed with a majority", base.Truth(view.Settled))
	page.One("curlew_keel_owner", "gauge", "whether this keel owns the chart", base.Truth(view.Owner == m.self))
	page.One("curlew_keel_learner", "gauge", "whether this keel learns the odds", base.Truth(view.Learner == m.self))
	page.One("curlew_chart_serial", "gauge", "the newest chart seen settled here", float64(view.Serial))
	page.One("curlew_keel_reached_seconds", "gauge", "since a majority of disks last answered", float64(view.ReachedMs)/1000)
}

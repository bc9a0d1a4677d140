package controlplane

import (
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// Phases of a control machine, as operators see them.
const (
	joining    = "joining"     // the disk isn't open, or no voter was found
	catchingUp = "catching-up" // it has no vote yet
	founded    = "founded"     // it votes
)

// show lets operators look, on the door for peers: GET /view, /chart, /odds, /journal, /metrics.
func (m *Server) show(mux *http.ServeMux) {
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

// View tells how this control machine stands and what it knows.
func (m *Server) View() *wire.KeelView {
	p, now, learned := m.params.Load(), m.scope.Clock.Mono(), m.learning.Load().said
	view := &wire.KeelView{
		Keel: p.Name, Address: m.self, Zone: p.Zone, Incarnation: m.incarnation, Phase: joining, Settled: m.Settled(), Stopping: m.stopping.Load(),
		ReachedMs: ms(now), Serial: m.view.Load().serial(),
		Learner: learned.GetHolder(), Odds: learned.GetOdds().GetSerial(), Cycle: learned.GetCycle(),
	}
	view.Nodes, _ = m.roster.since(0, true, "")
	c := m.core.Load()
	if c == nil {
		return view
	}
	view.Owed = uint32(c.traces.Owed())
	if began, ok := c.replica.LastMajority(); ok {
		view.ReachedMs = ms(now - began)
	}
	if began, ok := c.replica.Settled(ChartKey); ok {
		view.AgreedMs = proto.Uint64(ms(now - began))
	}
	view.Owner, _ = c.replica.Owner(ChartKey)
	m.showMembers(c, view)
	return view
}

// showMembers tells who votes, who is catching up and what a further loss would cost.
func (m *Server) showMembers(c *core, view *wire.KeelView) {
	seen := c.replica.View()
	view.Generation, view.Sealed, view.Spare = seen.Members.GetGeneration(), seen.Sealed, int32(seen.Spare)
	switch {
	case seen.Generation > 0:
		view.Phase = founded
	case seen.Members != nil:
		view.Phase = catchingUp
	}
	for _, voter := range c.replica.Voters() {
		view.Mates = append(view.Mates, &wire.KeelMate{Address: voter, Heard: voter == m.self || c.hears(voter, m.lately())})
	}
	for _, each := range seen.Learners {
		view.Learners = append(view.Learners, &wire.KeelLearner{Address: each.Replica.Address, CaughtUp: each.CaughtUp})
	}
	for _, key := range []string{ChartKey, LearningKey} {
		if version := c.replica.Chosen(key); version != nil {
			owner, term := c.replica.Owner(key)
			view.Keys = append(view.Keys, &wire.KeyState{Key: key, Owner: owner, Epoch: term.GetNumber(), Serial: version.Serial, Copies: uint32(c.replica.Copies(key))})
		}
	}
}

func (m *Server) metrics(page *base.Metrics) {
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

package controlplane

import (
	"net/http"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/metrics"
	"curlewreach/proto/wire"
)

// Phases of a control machine, as operators see them.
const (
	joining    = "joining"     // the disk isn't open, or no voter was found
	catchingUp = "catching-up" // it has no vote yet
	founded    = "founded"     // it votes
)

// registerViews lets operators look, on the door for peers: GET /view, /configuration, /odds, /journal, /metrics.
func (m *Server) registerViews(mux *http.ServeMux) {
	httpserver.HandleDiagnostics(mux, m.scope, func() proto.Message { return m.View() }, m.collect)
	mux.HandleFunc("GET /configuration", func(w http.ResponseWriter, r *http.Request) {
		configuration, err := m.Configuration(r.Context())
		if err != nil {
			fault := base.FaultOf(err)
			httpserver.ReplyJSON(w, base.Answers[fault.Kind].Status, map[string]any{"mishap": fault})
			return
		}
		if configuration == nil {
			configuration = &wire.Configuration{}
		}
		httpserver.ReplyProto(w, configuration)
	})
	mux.HandleFunc("GET /odds", func(w http.ResponseWriter, _ *http.Request) {
		said := m.learning.Load().said
		if said == nil {
			said = &wire.Learning{}
		}
		httpserver.ReplyProto(w, said)
	})
}

// View tells how this control machine stands and what it knows.
func (m *Server) View() *wire.ControllerView {
	p, now, learned := m.params.Load(), m.scope.Clock.Mono(), m.learning.Load().said
	view := &wire.ControllerView{
		Controller: p.Name, Address: m.address, Zone: p.Zone, Incarnation: m.incarnation, Phase: joining, Settled: m.Settled(), Stopping: m.stopping.Load(),
		ReachedMs: base.Milliseconds(now), Serial: m.view.Load().serial(),
		Learner: learned.GetHolder(), Odds: learned.GetOdds().GetSerial(), Cycle: learned.GetCycle(),
	}
	view.Nodes, _ = m.registry.since(0, true, "")
	c := m.core.Load()
	if c == nil {
		return view
	}
	view.Owed = uint32(c.traces.PendingCopies())
	if began, ok := c.replica.LastMajority(); ok {
		view.ReachedMs = base.Milliseconds(now - began)
	}
	if began, ok := c.replica.ReplicatedAsOf(ConfigurationKey); ok {
		view.AgreedMs = proto.Uint64(base.Milliseconds(now - began))
	}
	view.Owner, _ = c.replica.Owner(ConfigurationKey)
	m.showMembers(c, view)
	return view
}

// showMembers tells who votes, who is catching up and what a further loss would cost.
func (m *Server) showMembers(c *core, view *wire.ControllerView) {
	seen := c.replica.View()
	view.Generation, view.Sealed, view.Spare = seen.Membership.GetGeneration(), seen.Sealed, int32(seen.TolerableLosses)
	switch {
	case seen.Generation > 0:
		view.Phase = founded
	case seen.Membership != nil:
		view.Phase = catchingUp
	}
	for _, voter := range c.replica.Voters() {
		view.Peers = append(view.Peers, &wire.ControllerPeer{Address: voter, Heard: voter == m.address || c.heardLately(voter, m.recentWindow())})
	}
	for _, each := range seen.Learners {
		view.Learners = append(view.Learners, &wire.ControllerLearner{Address: each.Replica.Address, CaughtUp: each.CaughtUp})
	}
	for _, key := range []string{ConfigurationKey, LearningKey} {
		if version := c.replica.Chosen(key); version != nil {
			owner, term := c.replica.Owner(key)
			view.Keys = append(view.Keys, &wire.KeyState{Key: key, Owner: owner, Epoch: term.GetNumber(), Serial: version.Serial, Copies: uint32(c.replica.Copies(key))})
		}
	}
}

// collect adds the figures of this control machine.
func (m *Server) collect(samples *metrics.Samples) {
	view := m.View()
	states := map[string]int{"there": 0, "absent": 0}
	for _, each := range view.Nodes {
		if each.Absent {
			states["absent"]++
		} else {
			states["there"]++
		}
	}
	for state, count := range states {
		samples.Add("curlew_nodes", metrics.Gauge, "nodes known here", float64(count), metrics.Labels{"state": state})
	}
	gauge := func(name, help string, value float64) { samples.Add(name, metrics.Gauge, help, value, nil) }
	gauge("curlew_controller_votes", "whether this disk votes", metrics.BoolValue(m.Ready()))
	gauge("curlew_controller_settled", "whether this control machine lately agreed with a majority", metrics.BoolValue(view.Settled))
	gauge("curlew_controller_owner", "whether this control machine owns the configuration", metrics.BoolValue(view.Owner == m.address))
	gauge("curlew_controller_learner", "whether this control machine learns the odds", metrics.BoolValue(view.Learner == m.address))
	gauge("curlew_configuration_serial", "the newest configuration seen settled here", float64(view.Serial))
	gauge("curlew_controller_reached_seconds", "since a majority of disks last answered", float64(view.ReachedMs)/1000)
}

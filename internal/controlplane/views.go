package controlplane

import (
	"net/http"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/metrics"
	"curlewreach/proto/wire"
)

// Phases of a control machine as operators see them in its view.
const (
	joining    = "joining"     // the data folder isn't open, or the voters aren't known yet
	catchingUp = "catching-up" // the voters are known; this machine has no vote yet
	voting     = "founded"     // this machine has a vote
)

// registerViews registers the read-only pages for operators on the peers' server: GET /view, /configuration,
// /odds, /journal and /metrics.
func (m *Server) registerViews(mux *http.ServeMux) {
	httpserver.HandleDiagnostics(mux, m.scope, func() proto.Message { return m.View() }, m.collectMetrics)
	mux.HandleFunc("GET /configuration", func(w http.ResponseWriter, r *http.Request) {
		configuration, err := m.Configuration(r.Context())
		if err != nil {
			fault := base.FaultOf(err)
			httpserver.ReplyJSON(w, base.HTTPResponses[fault.Kind].Status, map[string]any{"mishap": fault})
			return
		}
		if configuration == nil {
			configuration = &wire.Configuration{}
		}
		httpserver.ReplyProto(w, configuration)
	})
	mux.HandleFunc("GET /odds", func(w http.ResponseWriter, _ *http.Request) {
		state := m.learning.Load().state
		if state == nil {
			state = &wire.Learning{}
		}
		httpserver.ReplyProto(w, state)
	})
}

// View returns the state of this control machine and what it knows of its peers and nodes.
func (m *Server) View() *wire.ControllerView {
	p, now, state := m.params.Load(), m.scope.Clock.Mono(), m.learning.Load().state
	view := &wire.ControllerView{
		Controller: p.Name, Address: m.address, Zone: p.Zone, Incarnation: m.incarnation, Phase: joining, Settled: m.Settled(), Stopping: m.stopping.Load(),
		ReachedMs: base.Milliseconds(now), Serial: m.configuration.Load().serial(),
		Learner: state.GetHolder(), Odds: state.GetOdds().GetSerial(), Cycle: state.GetCycle(),
	}
	view.Nodes, _ = m.registry.changedSince(0, true, "")
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
	m.addMembers(c, view)
	return view
}

// addMembers adds the voters, the learners that are catching up and the registers' state to a view.
func (m *Server) addMembers(c *core, view *wire.ControllerView) {
	replicaView := c.replica.View()
	view.Generation, view.Sealed, view.Spare = replicaView.Membership.GetGeneration(), replicaView.Sealed, int32(replicaView.TolerableLosses)
	switch {
	case replicaView.Generation > 0:
		view.Phase = voting
	case replicaView.Membership != nil:
		view.Phase = catchingUp
	}
	for _, voter := range c.replica.Voters() {
		view.Peers = append(view.Peers, &wire.ControllerPeer{Address: voter, Heard: voter == m.address || c.heardWithin(voter, m.recentlyHeardWindow())})
	}
	for _, each := range replicaView.Learners {
		view.Learners = append(view.Learners, &wire.ControllerLearner{Address: each.Replica.Address, CaughtUp: each.CaughtUp})
	}
	for _, key := range []string{ConfigurationKey, LearningKey, DeparturesKey} {
		if version := c.replica.Chosen(key); version != nil {
			owner, term := c.replica.Owner(key)
			view.Keys = append(view.Keys, &wire.KeyState{Key: key, Owner: owner, Epoch: term.GetNumber(), Serial: version.Serial, Copies: uint32(c.replica.Copies(key))})
		}
	}
}

// collectMetrics adds the metrics of this control machine.
func (m *Server) collectMetrics(samples *metrics.Samples) {
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

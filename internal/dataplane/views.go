package dataplane

import (
	"maps"
	"net/http"
	"slices"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

var classes = [...]string{"once", "repeatable", "bulk"}

// openViews lets operators look; a node whose port is taken serves without.
func (n *Node) openViews(s base.Scope) {
	if n.params.Peers == "" {
		return
	}
	mux := http.NewServeMux()
	base.Views(mux, s, func() proto.Message { return n.View() }, n.metrics)
	door, err := base.ServeWith(s, n.params.Peers, mux, func(server *http.Server) {
		server.MaxHeaderBytes, server.ReadHeaderTimeout, server.WriteTimeout, server.IdleTimeout = headerBytes, headerTime, idleTime, idleTime
	})
	if err != nil {
		s.Log.Warn("no views", "error", err)
		return
	}
	n.servers = append(n.servers, door)
}

func (n *Node) recordDuration(v *clientCall) {
	if at := int(v.route.Raw.Repeat); v.ledger.Best() != nil && at >= 0 && at < len(classes) {
		n.durations[at].Add(v.now() - v.began)
	}
}

// View tells how this node stands and what it knows.
func (n *Node) View() *wire.NodeView {
	instance, gate, _ := n.instance.Now()
	p, w := n.params, gate.Load()
	view := &wire.NodeView{
		Node: p.Name, Zone: p.Zone, Service: p.Service, Incarnation: n.incarnation, Serial: n.control.Serial(), Ready: n.Ready(), Stopping: n.stopping.Load(),
		Instance: instance, InstanceSilenceMs: base.Milliseconds(n.instance.Silence()), BacklogMs: base.Milliseconds(n.link.Backlog()), Odds: n.keeper.Serial(), Inside: n.inFlight.Load(),
		UpMs:      base.Milliseconds(n.scope.Clock.Mono() - n.startedAt),
		Gate:      &wire.GateView{Flying: uint32(w.InFlight), Waiting: uint32(w.Waiting), Limit: uint32(w.Limit), HoldMs: uint64(w.HoldMs), TopMs: uint64(w.TopMs), RestMs: uint64(w.RestMs)},
		Latencies: n.latencies.View(), RetryBudgets: n.retries.View(), Counts: map[string]uint64{},
	}
	view.Peers, view.Controllers = n.peers.View()
	view.Confirmed, view.Polled = n.control.Confirmed(), n.control.Polled()
	age := n.control.Age()
	view.ConfigAgeMs, view.ConfigStale = base.Milliseconds(age), n.control.IsStale(age)
	for what, count := range n.counts.All() {
		view.Counts[what] = count.Load()
	}
	for route, is := range n.further.All() {
		if is {
			view.Further = append(view.Further, route)
		}
	}
	return view
}

func (n *Node) metrics(m *base.Metrics) {
	const outcomes, lengths, peers, retryBudget = "curlew_outcomes_total", "curlew_request_seconds", "curlew_peers", "curlew_repeats_held"
	view := n.View()
	m.Kind(outcomes, "counter", "what visitors were told, by kind; and repeats")
	for _, what := range slices.Sorted(maps.Keys(view.Counts)) {
		m.Add(outcomes, float64(view.Counts[what]), "what", what)
	}
	m.Kind(lengths, "histogram", "answered requests of visitors here, by kind of route")
	for i, class := range classes {
		m.Histogram(lengths, &n.durations[i], "kind", class)
	}
	there, absent, avoided := 0, 0, 0
	for _, each := range view.Peers {
		switch {
		case each.Absent:
			absent++
		case each.AvoidedMs > 0:
			avoided++
		default:
			there++
		}
	}
	m.Kind(peers, "gauge", "nodes as seen from here")
	m.Add(peers, float64(there), "state", "there")
	m.Add(peers, float64(absent), "state", "absent")
	m.Add(peers, float64(avoided), "state", "avoided")
	m.Kind(retryBudget, "gauge", "repeats that could be paid now, by service")
	for _, each := range view.RetryBudgets {
		m.Add(retryBudget, each.Held, "service", each.Service)
	}
	m.Single("curlew_ready", "gauge", "whether visitors may come", base.BoolValue(view.Ready))
	m.Single("curlew_configuration_serial", "gauge", "the configuration in force here", float64(view.Serial))
	m.Single("curlew_configuration_confirmed", "gauge", "whether a majority has confirmed the configuration in force", base.BoolValue(view.Confirmed))
	m.Single("curlew_config_age_seconds", "gauge", "since the configuration in force was last known to be the newest", float64(view.ConfigAgeMs)/1000)
	m.Single("curlew_config_stale", "gauge", "whether that is longer ago than the in-force bound", base.BoolValue(view.ConfigStale))
	m.Single("curlew_upstream", "gauge", "whether an upstream is here", base.BoolValue(view.Instance != nil))
	m.Single("curlew_inside", "gauge", "requests of visitors and peers in flight here", float64(view.Inside))
	m.Single("curlew_gate_flying", "gauge", "requests at the upstream", float64(view.Gate.Flying))
	m.Single("curlew_gate_waiting", "gauge", "requests that wait for their turn", float64(view.Gate.Waiting))
	m.Single("curlew_gate_limit", "gauge", "requests that the upstream takes at once", float64(view.Gate.Limit))
	m.Single("curlew_link_backlog_seconds", "gauge", "how long a large answer begun now would wait", float64(view.BacklogMs)/1000)
}

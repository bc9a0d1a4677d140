package dataplane

import (
	"net/http"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/metrics"
	"curlewreach/proto/wire"
)

var classes = [...]string{"once", "repeatable", "bulk"}

// openViews lets operators look; a node whose port is taken serves without.
func (n *Node) openViews(s base.Scope) {
	if n.params.Peers == "" {
		return
	}
	mux := http.NewServeMux()
	httpserver.HandleDiagnostics(mux, s, func() proto.Message { return n.View() }, n.collect)
	door, err := httpserver.ServeWith(s, n.params.Peers, mux, func(server *http.Server) {
		server.MaxHeaderBytes, server.ReadHeaderTimeout, server.WriteTimeout, server.IdleTimeout = headerBytes, headerTime, idleTime, idleTime
	})
	if err != nil {
		s.Log.Warn("no views", "error", err)
		return
	}
	n.servers = append(n.servers, door)
}

func (n *Node) recordDuration(v *clientCall) {
	if at := int(v.route.Raw.Repeat); v.ledger.Answered() != nil && at >= 0 && at < len(classes) {
		n.durations[at].Add(v.now() - v.began)
	}
}

// View tells how this node stands and what it knows.
func (n *Node) View() *wire.NodeView {
	instance, gate, _ := n.instance.Current()
	p, w := n.params, gate.Load()
	view := &wire.NodeView{
		Node: p.Name, Zone: p.Zone, Service: p.Service, Incarnation: n.incarnation, Serial: n.control.Serial(), Ready: n.Ready(), Stopping: n.stopping.Load(),
		Instance: instance, InstanceSilenceMs: base.Milliseconds(n.instance.SinceHeartbeat()), BacklogMs: base.Milliseconds(n.link.Backlog()), Odds: n.keeper.Serial(), Inside: n.inFlight.Load(),
		UpMs:      base.Milliseconds(n.scope.Clock.Mono() - n.startedAt),
		Gate:      &wire.GateView{Flying: uint32(w.InFlight), Waiting: uint32(w.Waiting), Limit: uint32(w.Limit), HoldMs: uint64(w.ServiceTimeMs), TopMs: uint64(w.UrgentWaitMs), RestMs: uint64(w.NormalWaitMs)},
		Latencies: n.latencies.View(), RetryBudgets: n.retries.View(), Counts: map[string]uint64{},
	}
	view.Peers, view.Controllers = n.peers.View()
	view.Confirmed, view.Polled = n.control.Confirmed(), n.control.Polled()
	age := n.control.ConfigurationAge()
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

// collect adds the node's samples.
func (n *Node) collect(samples *metrics.Samples) {
	view := n.View()
	n.collectRequests(samples, view)
	collectPeers(samples, view)
	gauge := func(name, help string, value float64) { samples.Add(name, metrics.Gauge, help, value, nil) }
	gauge("curlew_ready", "whether clients may come", metrics.BoolValue(view.Ready))
	gauge("curlew_configuration_serial", "the configuration in force here", float64(view.Serial))
	gauge("curlew_configuration_confirmed", "whether a majority has confirmed the configuration in force", metrics.BoolValue(view.Confirmed))
	gauge("curlew_config_age_seconds", "since the configuration in force was last known to be the newest", float64(view.ConfigAgeMs)/1000)
	gauge("curlew_config_stale", "whether that is longer ago than the in-force bound", metrics.BoolValue(view.ConfigStale))
	gauge("curlew_upstream", "whether an upstream is here", metrics.BoolValue(view.Instance != nil))
	gauge("curlew_inside", "requests of clients and peers in flight here", float64(view.Inside))
	gauge("curlew_gate_flying", "requests at the upstream", float64(view.Gate.Flying))
	gauge("curlew_gate_waiting", "requests that wait for their turn", float64(view.Gate.Waiting))
	gauge("curlew_gate_limit", "requests that the upstream takes at once", float64(view.Gate.Limit))
	gauge("curlew_link_backlog_seconds", "how long a large answer begun now would wait", float64(view.BacklogMs)/1000)
}

// collectRequests adds what became of requests and how long they took.
func (n *Node) collectRequests(samples *metrics.Samples, view *wire.NodeView) {
	for what, count := range view.Counts {
		samples.Add("curlew_outcomes_total", metrics.Counter, "what clients were told, by kind; and retries", float64(count), metrics.Labels{"what": what})
	}
	for i, class := range classes {
		samples.AddHistogram("curlew_request_seconds", "answered requests of clients here, by kind of route", &n.durations[i], metrics.Labels{"kind": class})
	}
	for _, each := range view.RetryBudgets {
		samples.Add("curlew_repeats_held", metrics.Gauge, "retries that could be paid now, by service", each.Held, metrics.Labels{"service": each.Service})
	}
}

// collectPeers adds how many nodes are there.
func collectPeers(samples *metrics.Samples, view *wire.NodeView) {
	states := map[string]int{"there": 0, "absent": 0, "avoided": 0}
	for _, each := range view.Peers {
		switch {
		case each.Absent:
			states["absent"]++
		case each.AvoidedMs > 0:
			states["avoided"]++
		default:
			states["there"]++
		}
	}
	for state, count := range states {
		samples.Add("curlew_peers", metrics.Gauge, "nodes as seen from here", float64(count), metrics.Labels{"state": state})
	}
}

package dataplane

import (
	"net/http"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/metrics"
	"curlewreach/proto/wire"
)

// repeatClasses names the values of wire.Repeat, in order, for the "kind" label of metrics.
var repeatClasses = [...]string{"once", "repeatable", "bulk"}

// openOperatorServer serves the node's view and metrics to operators, if an address is set. The node runs without it
// as long as the address can't be opened.
func (n *Node) openOperatorServer(s base.Scope) {
	if n.params.Peers == "" {
		return
	}
	mux := http.NewServeMux()
	httpserver.HandleDiagnostics(mux, s, func() proto.Message { return n.View() }, n.collect)
	server, err := httpserver.ServeWith(s, n.params.Peers, mux, func(server *http.Server) {
		server.MaxHeaderBytes, server.ReadHeaderTimeout, server.WriteTimeout, server.IdleTimeout = maxHeaderBytes, headerTimeout, defaultIdleTimeout, defaultIdleTimeout
	})
	if err != nil {
		return // the scope has ended
	}
	n.operatorServer.Store(server)
}

// recordDuration adds a successful call to the latency histogram of its route's repeat class.
func (n *Node) recordDuration(call *clientCall) {
	if class := int(call.route.Raw.Repeat); call.ledger.Answered() != nil && class >= 0 && class < len(repeatClasses) {
		n.durations[class].Add(call.now() - call.startedAt)
	}
}

// View returns the node's state for operators.
func (n *Node) View() *wire.NodeView {
	instance, queue, _ := n.instance.Current()
	p, load := n.params, queue.Load()
	view := &wire.NodeView{
		Node: p.Name, Zone: p.Zone, Service: p.Service, Incarnation: n.incarnation, Serial: n.controlClient.Serial(), Ready: n.Ready(), Stopping: n.shutdown.hasBegun(),
		Instance: instance, InstanceSilenceMs: base.Milliseconds(n.instance.SinceHeartbeat()), BacklogMs: base.Milliseconds(n.linkPacer.Backlog()), Odds: n.sampler.Serial(), Inside: n.inFlight.Load(),
		UpMs:      base.Milliseconds(n.scope.Clock.Mono() - n.startedAt),
		Gate:      &wire.GateView{Flying: uint32(load.InFlight), Waiting: uint32(load.Waiting), Limit: uint32(load.Limit), HoldMs: uint64(load.ServiceTimeMs), TopMs: uint64(load.SlotWaitMs), RestMs: uint64(load.QueueWaitMs)},
		Latencies: n.latencies.View(), RetryBudgets: n.retryBudget.View(), Counts: map[string]uint64{},
	}
	view.Peers, view.Controllers = n.peers.View()
	view.Confirmed, view.Polled = n.controlClient.Confirmed(), n.controlClient.Polled()
	age := n.controlClient.ConfigurationAge()
	view.ConfigAgeMs, view.ConfigStale = base.Milliseconds(age), n.controlClient.IsStale(age)
	for outcome, count := range n.outcomeCounts.All() {
		view.Counts[outcome] = count.Load()
	}
	for route, nested := range n.nestedRoutes.All() {
		if nested {
			view.Further = append(view.Further, route)
		}
	}
	return view
}

// collect adds the node's metric samples.
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
	gauge("curlew_departures_known", "whether the departures acknowledged by earlier processes are known", metrics.BoolValue(n.instance.DeparturesKnown()))
	gauge("curlew_inside", "requests of clients and peers in flight here", float64(view.Inside))
	gauge("curlew_gate_flying", "requests at the upstream", float64(view.Gate.Flying))
	gauge("curlew_gate_waiting", "requests that wait for their turn", float64(view.Gate.Waiting))
	gauge("curlew_gate_limit", "requests that the upstream takes at once", float64(view.Gate.Limit))
	gauge("curlew_link_backlog_seconds", "how long a large answer begun now would wait", float64(view.BacklogMs)/1000)
}

// collectRequests adds the counts of request outcomes, the latency histograms and the retry budgets.
func (n *Node) collectRequests(samples *metrics.Samples, view *wire.NodeView) {
	for outcome, count := range view.Counts {
		samples.Add("curlew_outcomes_total", metrics.Counter, "what clients were told, by kind; and retries", float64(count), metrics.Labels{"what": outcome})
	}
	for i, class := range repeatClasses {
		samples.AddHistogram("curlew_request_seconds", "answered requests of clients here, by kind of route", &n.durations[i], metrics.Labels{"kind": class})
	}
	for _, budget := range view.RetryBudgets {
		samples.Add("curlew_repeats_held", metrics.Gauge, "retries that could be paid now, by service", budget.Held, metrics.Labels{"service": budget.Service})
	}
}

// collectPeers adds the number of peers by state.
func collectPeers(samples *metrics.Samples, view *wire.NodeView) {
	states := map[string]int{"there": 0, "absent": 0, "avoided": 0}
	for _, peer := range view.Peers {
		switch {
		case peer.Absent:
			states["absent"]++
		case peer.AvoidedMs > 0:
			states["avoided"]++
		default:
			states["there"]++
		}
	}
	for state, count := range states {
		samples.Add("curlew_peers", metrics.Gauge, "nodes as seen from here", float64(count), metrics.Labels{"state": state})
	}
}

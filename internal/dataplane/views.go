package dataplane

import (
	"maps"
	"net/http"
	"slices"
	"time"

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
	door, err := base.OpenWith(s, n.params.Peers, mux, func(server *http.Server) {
		server.MaxHeaderBytes, server.ReadHeaderTimeout, server.WriteTimeout, server.IdleTimeout = headBytes, headTime, idleTime, idleTime
	})
	if err != nil {
		s.Log.Warn("no views", "error", err)
		return
	}
	n.servers = append(n.servers, door)
}

func (n *Node) took(v *clientCall) {
	if at := int(v.route.Raw.Repeat); v.ledger.best() != nil && at >= 0 && at < len(classes) {
		n.lengths[at].Add(v.now() - v.began)
	}
}

// View tells how this node stands and what it knows.
func (n *Node) View() *wire.NodeView {
	instance, gate, _ := n.instance.Now()
	p, w := n.params, gate.Load()
	view := &wire.NodeView{
		Node: p.Name, Zone: p.Zone, Service: p.Service, Incarnation: n.incarnation, Serial: n.serial(), Ready: n.Ready(), Stopping: n.stopping.Load(),
		Instance: instance, InstanceSilenceMs: ms(n.instance.silence()), BacklogMs: ms(n.link.Backlog()), Odds: n.keeper.Serial(), Inside: n.inFlight.Load(),
		UpMs:      ms(n.scope.Clock.Mono() - n.startedAt),
		Gate:      &wire.GateView{Flying: uint32(w.Flying), Waiting: uint32(w.Waiting), Limit: uint32(w.Limit), HoldMs: uint64(w.HoldMs), TopMs: uint64(w.TopMs), RestMs: uint64(w.RestMs)},
		Latencies: n.latencies.view(), RetryBudgets: n.retries.view(), Counts: map[string]uint64{},
	}
	view.Peers, view.Controllers = n.peers.view()
	view.Confirmed, view.Polled = n.confirmed(), n.directory.view()
	age := n.configAge()
	view.ConfigAgeMs, view.ConfigStale = ms(age), n.isStale(age)
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

func ms(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

func (d *LocalInstance) silence() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.instance == nil {
		return 0
	}
	return d.clock.Mono() - d.heard
}

func (r *PeerTable) view() (peers []*wire.PeerView, controllers map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Mono()
	for _, name := range slices.Sorted(maps.Keys(r.places)) {
		at := r.places[name]
		instance := at.nodeStatus.GetInstance()
		peers = append(peers, &wire.PeerView{
			Node: name, Zone: at.nodeStatus.GetZone(), Service: at.nodeStatus.GetService(), Instance: instance.GetId(), Absent: r.absent(at), AvoidedMs: ms(at.avoid - now),
			Barred: at.barred, Leaving: instance.GetLeaving(), Stopping: at.nodeStatus.GetStopping(), Speed: at.speed, Flying: uint32(max(at.flying, 0)), SilenceMs: ms(now - at.heard),
		})
	}
	controllers = map[string]uint64{}
	for controller, spoke := range r.controllers {
		controllers[controller] = ms(now - spoke)
	}
	return peers, controllers
}

func (p *RetryBudget) view() (retryBudgets []*wire.RetryBudgetView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(p.retryBudgets)) {
		c, most := p.at(service)
		lately := c.counts[0] + c.counts[1]
		retryBudgets = append(retryBudgets, &wire.RetryBudgetView{Service: service, Held: c.held, Most: most, Lately: uint64(lately), Spent: c.held < 1 && lately*p.ratio*earned >= 1})
	}
	return retryBudgets
}

func (u *Latencies) view() (latencies []*wire.LatencyView) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, route := range slices.Sorted(maps.Keys(u.latencies)) {
		p := u.latencies[route]
		view := &wire.LatencyView{Route: route, MeanMs: 1000 * p.mean, Seen: uint64(p.seen)}
		if p.seen >= fewestSeen {
			view.LongMs = 1000 * max(p.mean+usualSpread*p.off, 2*p.mean)
		}
		latencies = append(latencies, view)
	}
	return latencies
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
		m.Spread(lengths, &n.lengths[i], "kind", class)
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
	m.One("curlew_ready", "gauge", "whether visitors may come", base.Truth(view.Ready))
	m.One("curlew_configuration_serial", "gauge", "the configuration in force here", float64(view.Serial))
	m.One("curlew_configuration_confirmed", "gauge", "whether a majority has confirmed the configuration in force", base.Truth(view.Confirmed))
	m.One("curlew_config_age_seconds", "gauge", "since the configuration in force was last known to be the newest", float64(view.ConfigAgeMs)/1000)
	m.One("curlew_config_stale", "gauge", "whether that is longer ago than the in-force bound", base.Truth(view.ConfigStale))
	m.One("curlew_upstream", "gauge", "whether an upstream is here", base.Truth(view.Instance != nil))
	m.One("curlew_inside", "gauge", "requests of visitors and peers in flight here", float64(view.Inside))
	m.One("curlew_gate_flying", "gauge", "requests at the upstream", float64(view.Gate.Flying))
	m.One("curlew_gate_waiting", "gauge", "requests that wait for their turn", float64(view.Gate.Waiting))
	m.One("curlew_gate_limit", "gauge", "requests that the upstream takes at once", float64(view.Gate.Limit))
	m.One("curlew_link_backlog_seconds", "gauge", "how long a large answer begun now would wait", float64(view.BacklogMs)/1000)
}

// Package dataplane carries requests between the nodes of a fleet whose members no configuration lists.
// Each node learns its peers and the current configuration from the control plane, and applies routing,
// retry budgets and admission queues to the requests of its clients and of its upstream.
package dataplane

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
	"curlewreach/internal/dataplane/admission"
	"curlewreach/internal/dataplane/balancer"
	"curlewreach/internal/dataplane/callgraph"
	"curlewreach/internal/dataplane/connection"
	"curlewreach/internal/dataplane/controlclient"
	"curlewreach/internal/dataplane/fencing"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/dataplane/retry"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/metrics"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

// Bounds of the node's servers.
const (
	headerBytes = 64 << 10
	headerTime  = 5 * time.Second
	// idleTime is how long clients may rest where the configuration says nothing, longestIdle how long at most.
	idleTime    = 30 * time.Second
	longestIdle = 24 * time.Hour
)

// Bounds of the node's connections; the ratios are of the in-force bound.
const (
	peerIdle     = 20 * time.Second
	upstreamIdle = 8 * time.Second
	dialRatio    = 0.15
	silentRatio  = 0.35 // for which the other machine may acknowledge nothing
)

const (
	// sweepEvery is the pause between two sweeps, forgetAfter the silence after which an absent peer is forgotten.
	sweepEvery  = 500 * time.Millisecond
	forgetAfter = time.Minute
	// spanEvery is the pause between two deliveries of spans, spansBound how many wait for one.
	spanEvery  = time.Second
	spansBound = 512
	// absenceSlack is how long a control machine's word on absent peers counts after it last spoke.
	absenceSlack = 4 * controlclient.MaxPollWait
)

// How a node stops; the ratios are of the grace period.
const (
	// unreadyRatio is for how long clients are still served once the node is no longer ready, closingRatio peers after that.
	unreadyRatio = 0.4
	closingRatio = 0.1
	// stopRatio is when the node ends whatever is in flight.
	stopRatio = 0.88
	// quietChecks in a row, stopPause apart, that find nothing in flight end it earlier.
	quietChecks = 3
	stopPause   = 20 * time.Millisecond
)

// Node is a node of an open fleet.
type Node struct {
	scope               base.Scope
	params              *wire.NodeParams
	headers             forwarding.HeaderNames
	incarnation         string
	startedAt           time.Duration
	client              *http.Client
	peerConnections     *connection.Pool
	instanceConnections *connection.Pool
	peers               *balancer.Table
	instance            *LocalInstance
	retries             *retry.Budget
	link                *admission.LinkPacer
	failures            balancer.FailureRate
	bodies              *admission.BodyMemory
	latencies           *retry.Latencies
	callers             *callgraph.NestedCallDetector
	fences              *fencing.Fences
	further             base.Table[bool]
	calls               *callgraph.Tracker
	keeper              *tracing.Sampler
	sink                *tracing.Exporter
	control             *controlclient.Client
	stopping            atomic.Bool
	closed              atomic.Bool
	inFlight            atomic.Int64
	statusRevision      atomic.Uint64
	counts              base.Table[*atomic.Uint64]
	durations           [len(classes)]metrics.Histogram
	clients             *connection.ClientConnections
	servers             []*httpserver.Server
	cancel              context.CancelFunc
	tasks               base.Group
}

// SetDefaults sets defaults in p, in place: log level info, a retry ratio of 0.2, and a contact bound
// derived from the in-force bound.
func SetDefaults(p *wire.NodeParams) {
	if p.Log == "" {
		p.Log = "info"
	}
	if p.RepeatRatio == 0 {
		p.RepeatRatio = 0.2
	}
	if p.Contact.AsDuration() == 0 {
		p.Contact = durationpb.New(base.Ratio(p.InForce.AsDuration(), controlclient.DefaultContactRatio))
	}
}

// Check lists every fault of settings.
func Check(p *wire.NodeParams) error {
	return validation.ValidateStruct(p,
		validation.Field(&p.Name, validation.Required),
		validation.Field(&p.Zone, validation.Required),
		validation.Field(&p.Service, validation.Required),
		validation.Field(&p.Outward, validation.Required, base.IsAddress),
		validation.Field(&p.Inward, validation.Required, base.IsAddress),
		validation.Field(&p.Ready, validation.Required, base.IsAddress),
		validation.Field(&p.Control, validation.Required, base.IsAddress),
		validation.Field(&p.Peers, base.IsAddress),
		validation.Field(&p.Seeds, validation.Required, validation.Each(base.IsAddress)),
		validation.Field(&p.Beat, validation.Required),
		validation.Field(&p.Leaving, validation.Required),
		validation.Field(&p.InForce, validation.Required),
		validation.Field(&p.Grace, validation.Required),
		validation.Field(&p.RepeatRatio, validation.Min(0.0), validation.Max(1.0)),
		validation.Field(&p.RepeatSlack, validation.Min(0.0)),
		validation.Field(&p.Log, validation.In("trace", "debug", "info", "warn", "error")),
	)
}

// Start opens a node's servers. control answers on the address where the upstream reports.
func Start(s base.Scope, p *wire.NodeParams, speech forwarding.HeaderNames, control func(*Node) http.Handler) (*Node, error) {
	SetDefaults(p)
	if err := Check(p); err != nil {
		return nil, err
	}
	s, cancel := s.WithCancel()
	n := newNode(s, p, speech)
	n.cancel = cancel
	n.openViews(s)
	if err := n.openServers(s, control(n)); err != nil {
		n.Kill()
		return nil, err
	}
	n.tasks.Go(func() { n.control.Run(s) })
	n.tasks.Go(func() { n.watchInstance(s) })
	n.tasks.Go(func() { n.sink.Run(s, spanEvery) })
	n.tasks.Go(func() { base.Tick(s, sweepEvery, func(base.Scope) { n.sweep() }) })
	s.Log.Info("started", "zone", p.Zone, "service", p.Service)
	return n, nil
}

// newNode returns a node that serves nobody yet.
func newNode(s base.Scope, p *wire.NodeParams, speech forwarding.HeaderNames) *Node {
	force, contact := p.InForce.AsDuration(), p.Contact.AsDuration()
	n := &Node{
		scope: s, params: p, headers: speech.Canonical(), incarnation: s.Rand.Hex(6), startedAt: s.Clock.Mono(), client: httpserver.NewClientWithDialTimeout(s, controlclient.DialTimeout(contact)),
		peerConnections:     connection.NewPool(s.Net, s.Clock, peerIdle, base.Ratio(force, dialRatio), base.Ratio(force, silentRatio)),
		instanceConnections: connection.NewPool(s.Net, s.Clock, upstreamIdle, base.Ratio(force, dialRatio), base.Ratio(force, silentRatio)),
		peers:               balancer.NewTable(s.Clock, p.Name, absenceSlack), instance: NewLocalInstance(s.Clock, p.Beat.AsDuration()),
		bodies: admission.NewBodyMemory(p.MemoryMb), link: admission.NewLinkPacer(s.Clock, p.LinkMegabits), latencies: retry.NewLatencies(), keeper: tracing.NewSampler(s.Rand), callers: callgraph.NewNestedCallDetector(),
	}
	n.peers.LocalLoad = n.loadReport
	n.fences = fencing.New(s, fencing.Settings{Incarnation: n.incarnation, InForce: force, MemoryMb: p.MemoryMb, RequestIDHeader: n.headers.RequestID}, n.countOutcome)
	n.retries = retry.NewBudget(s.Clock, p.RepeatRatio, p.RepeatSlack, p.RepeatWindow.AsDuration(), n.peers.Size)
	n.control = controlclient.New(s, controlclient.Settings{InForce: force, Contact: contact, Seeds: p.Seeds}, n.client, controlclient.Hooks{
		Status: n.nodeStatus, ApplyObservations: n.peers.ApplyObservations, RemoveController: n.peers.RemoveController, Sampling: n.keeper,
	})
	n.sink = tracing.NewExporter(s, n.client, n.control.Responsive, spansBound)
	n.calls = callgraph.NewTracker(s, p.Name, n.keeper, n.sink.Enqueue)
	n.clients = connection.NewClientConnections(s.Clock, force, n.clientIdle)
	return n
}

// openServers opens the node's servers, that of its clients last.
func (n *Node) openServers(s base.Scope, control http.Handler) error {
	usual := func(server *http.Server) {
		server.MaxHeaderBytes, server.ReadHeaderTimeout, server.IdleTimeout = headerBytes, headerTime, idleTime
	}
	forClients := func(server *http.Server) {
		usual(server)
		server.IdleTimeout, server.ConnState = 0, n.clients.StateChanged
	}
	for _, each := range []struct {
		address string
		handler http.Handler
		set     func(*http.Server)
	}{
		{n.params.Inward, http.HandlerFunc(n.servePeer), usual},
		{n.params.Control, control, usual},
		{n.params.Ready, http.HandlerFunc(n.serveReadiness), usual},
		{n.params.Outward, http.HandlerFunc(n.serveClient), forClients},
	} {
		door, err := httpserver.ServeWith(s, each.address, each.handler, each.set)
		if err != nil {
			return err
		}
		n.servers = append(n.servers, door)
	}
	return nil
}

// sweep forgets what has grown old.
func (n *Node) sweep() {
	n.clients.Sweep()
	n.instance.Sweep()
	n.peers.SetOwnStatus(n.nodeStatus())
	n.peerConnections.Sweep()
	n.instanceConnections.Sweep()
	n.fences.Sweep()
	n.peers.Sweep(forgetAfter)
}

// clientIdle is the time that the configuration in force lets clients rest.
func (n *Node) clientIdle() time.Duration {
	if table := n.control.Table(); table != nil {
		if ms := table.Configuration().GetLimits().GetIdleMs(); ms > 0 {
			return min(time.Duration(ms*float64(time.Millisecond)), longestIdle)
		}
	}
	return idleTime
}

// nodeStatus is what this node tells the control machines of itself.
func (n *Node) nodeStatus() *wire.NodeStatus {
	instance, _, number := n.instance.Current()
	p := n.params
	return &wire.NodeStatus{
		Node: p.Name, Incarnation: n.incarnation, Number: number + n.statusRevision.Load(), Inward: p.Inward, Zone: p.Zone, Service: p.Service,
		Stopping: n.stopping.Load(), Instance: instance, Serial: n.control.Serial(), Peers: p.Peers,
	}
}

// watchInstance tells the control machines at once when the upstream beside this node changes.
func (n *Node) watchInstance(s base.Scope) {
	_, _, told := n.instance.Current()
	for s.Err() == nil {
		heard := n.instance.changed.Next()
		if _, _, now := n.instance.Current(); now != told {
			told = now
			n.control.StatusChanged()
		}
		base.Await(s, time.Minute, heard)
	}
}

// countOutcome counts what became of a request.
func (n *Node) countOutcome(what string) {
	count, known := n.counts.Get(what)
	if !known {
		n.counts.Update(func(rows map[string]*atomic.Uint64) {
			if rows[what] == nil {
				rows[what] = &atomic.Uint64{}
			}
			count = rows[what]
		})
	}
	count.Add(1)
}

// Ready tells whether clients may come.
func (n *Node) Ready() bool { return n.control.Table() != nil && !n.stopping.Load() }

// serveReadiness answers whether clients may come.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Heartbeat takes the word of the upstream beside this node.
func (n *Node) Heartbeat(b *wire.Instance) *base.Fault {
	fault := n.instance.Heartbeat(b)
	n.peers.SetOwnStatus(n.nodeStatus())
	return fault
}

// Leave takes its last word.
func (n *Node) Leave(id string) *base.Fault {
	n.instance.Leave(id)
	n.peers.SetOwnStatus(n.nodeStatus())
	return nil
}

// Reload takes settings that can change while running.
func (n *Node) Reload(p *wire.NodeParams) error {
	SetDefaults(p)
	if err := Check(p); err != nil {
		return err
	}
	n.control.SetSeeds(p.Seeds)
	return nil
}

// Stop ends a node in order: no longer ready, peers told, clients served a while, what is in flight finished.
// Idle connections stay open to the end: closing one races with a request that is just being read from it.
func (n *Node) Stop() {
	began := n.scope.Clock.Mono()
	grace := n.params.Grace.AsDuration()
	n.scope.Log.Info("stopping")
	n.stopping.Store(true)
	n.statusRevision.Add(1)
	n.control.StatusChanged()
	outward := n.servers[len(n.servers)-1]
	base.Await(n.scope, base.Ratio(grace, unreadyRatio))
	outward.CloseListener()
	base.Await(n.scope, base.Ratio(grace, closingRatio))
	n.closed.Store(true)
	for quiet := 0; quiet < quietChecks && n.scope.Clock.Mono()-began < base.Ratio(grace, stopRatio); quiet++ {
		base.Await(n.scope, stopPause)
		if n.inFlight.Load() > 0 {
			quiet = -1
		}
	}
	n.scope.Log.Info("stopped", "inside", n.inFlight.Load())
	n.Kill()
}

// Kill ends a node at once. Connections close first, so that no answer of this node's own stands in for one that was on its way.
func (n *Node) Kill() {
	for _, door := range n.servers {
		door.Close()
	}
	n.cancel()
	n.tasks.Wait()
}

// Package dataplane implements the node of an open fleet: a sidecar proxy that carries requests between services
// whose nodes are not listed in any configuration. Each node learns its peers and the current configuration from the
// control plane, and applies routing, retry budgets and admission queues to the requests of its clients and of the
// upstream beside it.
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

// Limits of the node's HTTP servers.
const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 5 * time.Second
	// defaultIdleTimeout is how long a client connection may stay idle if the configuration sets no limit;
	// maxIdleTimeout caps the configured limit.
	defaultIdleTimeout = 30 * time.Second
	maxIdleTimeout     = 24 * time.Hour
)

// Timeouts of the node's outgoing connections. The ratios are of the in-force bound (params.InForce).
const (
	peerIdleTimeout     = 20 * time.Second
	upstreamIdleTimeout = 8 * time.Second
	dialTimeoutRatio    = 0.15
	ackTimeoutRatio     = 0.35 // a connection is given up if the other machine acknowledges nothing for this long
)

const (
	// sweepInterval is the time between two sweeps. absentPeerLifetime is how long after its last known status an
	// absent peer is forgotten.
	sweepInterval      = 500 * time.Millisecond
	absentPeerLifetime = time.Minute
	// spanFlushInterval is the time between two deliveries of trace spans; maxPendingSpans is how many spans may
	// wait for one.
	spanFlushInterval = time.Second
	maxPendingSpans   = 512
	// observationTTL is how long a controller's reports on peers count after it last answered, and how long a
	// peer that answered a request is not taken for absent.
	observationTTL = 4 * controlclient.MaxPollWait
)

// Node is a node of an open fleet: the proxy beside one instance of a service.
type Node struct {
	scope               base.Scope
	params              *wire.NodeParams
	headers             forwarding.HeaderNames
	incarnation         string
	startedAt           time.Duration
	httpClient          *http.Client
	peerConnections     *connection.Pool
	instanceConnections *connection.Pool
	peers               *balancer.Table
	instance            *LocalInstance
	retryBudget         *retry.Budget
	linkPacer           *admission.LinkPacer
	failureRates        balancer.FailureRate
	bodyMemory          *admission.BodyMemory
	latencies           *retry.Latencies // of calls of this node's clients
	serviceTimes        *retry.Latencies // of the local upstream
	nestedCallDetector  *callgraph.NestedCallDetector
	fences              *fencing.Fences
	nestedRoutes        base.Table[bool] // routes that upstreams call while they serve other requests; "further" in views
	callTracker         *callgraph.Tracker
	sampler             *tracing.Sampler
	exporter            *tracing.Exporter
	controlClient       *controlclient.Client
	shutdown            *shutdown
	inFlight            atomic.Int64
	statusRevision      atomic.Uint64 // counts changes of the status other than those of the instance
	outcomeCounts       base.Table[*atomic.Uint64]
	durations           [len(repeatClasses)]metrics.Histogram // of successful calls
	clientConnections   *connection.ClientConnections
	servers             []*httpserver.Server
	operatorServer      atomic.Pointer[httpserver.Server] // nil until its address is free
	cancel              context.CancelFunc
	tasks               base.Group
}

// SetDefaults fills unset fields of p in place: log level "info", a retry ratio of 0.2, and a contact bound derived
// from the in-force bound.
func SetDefaults(p *wire.NodeParams) {
	if p.Log == "" {
		p.Log = "info"
	}
	if p.RepeatRatio == 0 {
		p.RepeatRatio = 0.2
	}
	if p.Contact.AsDuration() == 0 {
		p.Contact = durationpb.New(base.ScaleDuration(p.InForce.AsDuration(), controlclient.DefaultContactRatio))
	}
}

// Check validates the settings and reports every invalid field.
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

// Start applies defaults to p, validates it, opens the node's servers and starts its background tasks.
// controlHandler serves the address to which the upstream beside the node reports.
func Start(s base.Scope, p *wire.NodeParams, headers forwarding.HeaderNames, controlHandler func(*Node) http.Handler) (*Node, error) {
	SetDefaults(p)
	if err := Check(p); err != nil {
		return nil, err
	}
	s, cancel := s.WithCancel()
	n := newNode(s, p, headers)
	n.cancel = cancel
	n.tasks.Go(func() { n.openOperatorServer(s) })
	if err := n.openServers(s, controlHandler(n)); err != nil {
		n.Kill()
		return nil, err
	}
	n.tasks.Go(func() { n.controlClient.Run(s) })
	n.tasks.Go(func() { n.watchInstance(s) })
	n.tasks.Go(func() { n.exporter.Run(s, spanFlushInterval) })
	n.tasks.Go(func() { base.Tick(s, sweepInterval, func(base.Scope) { n.sweep() }) })
	s.Log.Info("started", "zone", p.Zone, "service", p.Service)
	return n, nil
}

// newNode builds a node without opening its servers or starting its tasks.
func newNode(s base.Scope, p *wire.NodeParams, headers forwarding.HeaderNames) *Node {
	inForce, contact := p.InForce.AsDuration(), p.Contact.AsDuration()
	n := &Node{
		scope: s, params: p, headers: headers.Canonical(), incarnation: s.Rand.Hex(6), startedAt: s.Clock.Mono(), httpClient: httpserver.NewClientWithDialTimeout(s, controlclient.DialTimeout(contact)),
		peerConnections:     connection.NewPool(s.Net, s.Clock, peerIdleTimeout, base.ScaleDuration(inForce, dialTimeoutRatio), base.ScaleDuration(inForce, ackTimeoutRatio)),
		instanceConnections: connection.NewPool(s.Net, s.Clock, upstreamIdleTimeout, base.ScaleDuration(inForce, dialTimeoutRatio), base.ScaleDuration(inForce, ackTimeoutRatio)),
		peers:               balancer.NewTable(s.Clock, p.Name, observationTTL), instance: NewLocalInstance(s.Clock, p.Beat.AsDuration()),
		shutdown: newShutdown(s.Clock, p.Grace.AsDuration()), bodyMemory: admission.NewBodyMemory(s.Clock, p.MemoryMb), linkPacer: admission.NewLinkPacer(s.Clock, p.LinkMegabits), latencies: retry.NewLatencies(), serviceTimes: retry.NewLatencies(), sampler: tracing.NewSampler(s.Rand), nestedCallDetector: callgraph.NewNestedCallDetector(),
	}
	n.peers.LocalLoad = n.loadReport
	n.fences = fencing.New(s, fencing.Settings{Incarnation: n.incarnation, InForce: inForce, MemoryMb: p.MemoryMb, RequestIDHeader: n.headers.RequestID}, n.countOutcome)
	n.retryBudget = retry.NewBudget(s.Clock, p.RepeatRatio, p.RepeatSlack, p.RepeatWindow.AsDuration(), n.peers.Size)
	n.controlClient = controlclient.New(s, controlclient.Settings{InForce: inForce, Contact: contact, Seeds: p.Seeds, NodeAddress: p.Inward}, n.httpClient, controlclient.Hooks{
		Status: n.nodeStatus, ApplyObservations: n.peers.ApplyObservations, RemoveController: n.peers.RemoveController, Sampling: n.sampler,
		ApplyDepartures: n.instance.ApplyDepartures,
	})
	n.exporter = tracing.NewExporter(s, n.httpClient, n.controlClient.Responsive, maxPendingSpans)
	n.callTracker = callgraph.NewTracker(s, p.Name, n.sampler, n.exporter.Enqueue)
	n.clientConnections = connection.NewClientConnections(s.Clock, inForce, n.clientIdleTimeout)
	return n
}

// openServers opens the node's servers. The client server is opened last, and Stop relies on its being the last
// element of n.servers.
func (n *Node) openServers(s base.Scope, controlHandler http.Handler) error {
	configure := func(server *http.Server) {
		server.MaxHeaderBytes, server.ReadHeaderTimeout, server.IdleTimeout = maxHeaderBytes, headerTimeout, defaultIdleTimeout
	}
	configureClientServer := func(server *http.Server) {
		configure(server)
		server.IdleTimeout, server.ConnState = 0, n.clientConnections.StateChanged
	}
	for _, each := range []struct {
		address string
		handler http.Handler
		set     func(*http.Server)
	}{
		{n.params.Inward, http.HandlerFunc(n.servePeer), configure},
		{n.params.Control, controlHandler, configure},
		{n.params.Ready, http.HandlerFunc(n.serveReadiness), configure},
		{n.params.Outward, http.HandlerFunc(n.serveClient), configureClientServer},
	} {
		server, err := httpserver.ServeWith(s, each.address, each.handler, each.set)
		if err != nil {
			return err
		}
		n.servers = append(n.servers, server)
	}
	return nil
}

// sweep drops expired state of connections, peers, fences and the local upstream, and refreshes this node's own
// entry in the peer table.
func (n *Node) sweep() {
	n.clientConnections.Sweep()
	n.instance.Sweep()
	n.peers.SetOwnStatus(n.nodeStatus())
	n.peerConnections.Sweep()
	n.instanceConnections.Sweep()
	n.fences.Sweep()
	n.peers.Sweep(absentPeerLifetime)
}

// clientIdleTimeout returns how long the configuration in force lets client connections stay idle, at most
// maxIdleTimeout.
func (n *Node) clientIdleTimeout() time.Duration {
	if table := n.controlClient.Table(); table != nil {
		if ms := table.Configuration().GetLimits().GetIdleMs(); ms > 0 {
			return min(time.Duration(ms*float64(time.Millisecond)), maxIdleTimeout)
		}
	}
	return defaultIdleTimeout
}

// nodeStatus returns the status that this node reports to the controllers.
func (n *Node) nodeStatus() *wire.NodeStatus {
	instance, _, revision := n.instance.Current()
	p := n.params
	return &wire.NodeStatus{
		Node: p.Name, Incarnation: n.incarnation, Number: revision + n.statusRevision.Load(), Inward: p.Inward, Zone: p.Zone, Service: p.Service,
		Stopping: n.shutdown.hasBegun(), Instance: instance, Serial: n.controlClient.Serial(), Peers: p.Peers,
	}
}

// countOutcome increments the counter of a request outcome.
func (n *Node) countOutcome(outcome string) {
	count, known := n.outcomeCounts.Get(outcome)
	if !known {
		n.outcomeCounts.Update(func(rows map[string]*atomic.Uint64) {
			if rows[outcome] == nil {
				rows[outcome] = &atomic.Uint64{}
			}
			count = rows[outcome]
		})
	}
	count.Add(1)
}

// Ready reports whether the node accepts clients: it has a configuration and is not stopping.
func (n *Node) Ready() bool { return n.controlClient.Table() != nil && !n.shutdown.hasBegun() }

// serveReadiness answers readiness probes: 200 if the node is ready, 503 otherwise.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Reload applies the settings that can change at run time, which are the seeds. Invalid settings are rejected as a
// whole.
func (n *Node) Reload(p *wire.NodeParams) error {
	SetDefaults(p)
	if err := Check(p); err != nil {
		return err
	}
	n.controlClient.SetSeeds(p.Seeds)
	return nil
}

// Kill stops the node immediately. Connections are closed before tasks are canceled, so that a client sees its
// connection break rather than an error response of this node in place of the upstream's answer.
func (n *Node) Kill() {
	for _, server := range n.servers {
		server.Close()
	}
	n.cancel()
	n.tasks.Wait()
	if server := n.operatorServer.Load(); server != nil {
		server.Close()
	}
}

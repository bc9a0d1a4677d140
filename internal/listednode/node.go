// Package listednode is the data plane of fleets whose machines a signed bundle lists. Each node serves the
// application's instances on its machine, the local instances. It accepts requests from clients and further
// calls from local instances, chooses an instance of the called service, and sends the request to it
// through that instance's node. docs/flow.md discusses the alternatives.
package listednode

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/membership"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	// ReportPath is the path at which instances report their status to the node.
	ReportPath = "/curlewreach/report"
	// heartbeatRatio is the heartbeat interval as a ratio of the leaving bound.
	heartbeatRatio = 0.1
	// reportAgeRatio is how long an instance's report is valid, as a ratio of the leaving bound.
	reportAgeRatio = 1.5
	// peerTimeoutRatio is the timeout of short queries to other nodes, as a ratio of the leaving bound. An
	// instance whose attempt failed is avoided for the same time.
	peerTimeoutRatio = 0.25
	// fullNewsRatio is the interval at which a node asks a controller for all sightings again, as a
	// multiple of the in-force bound.
	fullNewsRatio = 8
	// sliceFile and probabilitiesFile hold the slice of the bundle, that is, the parts of it that this node
	// needs, and the sampling probabilities that a node starts with.
	sliceFile         = "slice"
	probabilitiesFile = "odds"

	// maxCapacity and maxWeight are the highest values that an instance may report.
	maxCapacity = 1 << 20
	maxWeight   = 1 << 20
)

// receivedSighting is what a controller reported about a machine, and when.
type receivedSighting struct {
	sighting   *wire.Sighting
	receivedAt time.Duration
}

// Tunables holds the params that can change while a node runs.
type Tunables struct {
	// MaxBufferedBytes is how much of a response's body is buffered, in bytes, until its digest is checked;
	// larger responses are streamed.
	MaxBufferedBytes int
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int
	Trust        bundle.Trust
}

// UpdateParams applies the params that can change while the node runs.
func (n *Node) UpdateParams(params *wire.VaneParams, trust bundle.Trust) {
	n.tunables.Store(&Tunables{MaxBufferedBytes: int(params.Held), MaxBodyBytes: int(params.Longest), Trust: trust})
	n.admission.SetLimit(int(params.Flights))
	n.scope.Record("params", "", "turned")
}

// Node is the data plane on one machine. Lock order: pickMu is acquired before any other lock. No two of
// the locks of the call tracker, the instances, the admission queues, the fences and the retry budget are
// held together, except that Instances.Report changes the limit of an admission queue.
type Node struct {
	scope                base.Scope
	self                 string
	tunables             atomic.Pointer[Tunables]
	peerTimeout          time.Duration
	inForceBound         time.Duration // within which a new bundle is in force on all nodes
	httpClient           *http.Client
	upstreamTransport    *http.Transport
	member               *membership.Member
	instances            *Instances
	fences               *Fences
	callTracker          *CallTracker
	admission            *AdmissionQueue
	retryBudget          *RetryBudget
	memory               bodyMemory
	spanBudget           *SpanBudget
	sampler              *tracing.Sampler
	exporter             *tracing.Exporter
	bundle               atomic.Pointer[bundle.Bundle]
	stopping             atomic.Bool
	stopDeadline         atomic.Int64 // by the monotonic clock, valid while stopping is set
	inFlight             atomic.Int64
	adoptMu              sync.Mutex
	peerClients          base.Table[wireconnect.FlowClient]
	sightings            base.Table[receivedSighting]
	controllers          []wireconnect.HelmClient
	lastNewsAt           []atomic.Int64 // by the monotonic clock, by controller; 0 if the last request failed
	preferred            int            // index of the first controller that this node relies on
	bundleUnsaved        base.Broadcast // wakes saveChanges
	probabilitiesUnsaved base.Broadcast // wakes saveChanges
	confirmations        *Confirmations
	bundleAdopted        base.Broadcast             // wakes requests that wait for a bundle
	pickMu               sync.Mutex                 // guards stats
	stats                map[string]*candidateStats // by node and address of the instance
	routeLatencies       map[string]time.Duration   // averages, by route; guarded by pickMu
}

// NewNode returns a node; Run starts its background work.
func NewNode(s base.Scope, httpClient *http.Client, params *wire.VaneParams, trust bundle.Trust) *Node {
	bounds := params.Bounds
	leaving := bounds.Leaving.AsDuration()
	n := &Node{
		memory: bodyMemory{limit: int64(params.Room)},
		scope:  s, self: params.Name,
		peerTimeout: time.Duration(float64(leaving) * peerTimeoutRatio), inForceBound: bounds.InForce.AsDuration(), httpClient: httpClient,
		upstreamTransport: newUpstreamTransport(s.Net),
		fences:            NewFences(s.Clock, 2*bounds.Grace.AsDuration()), callTracker: NewCallTracker(s.Clock),
		admission: NewAdmissionQueue(s.Clock, int(params.Flights), int(params.Queue)), retryBudget: NewRetryBudget(), spanBudget: NewSpanBudget(s.Clock),
		sampler: tracing.NewSampler(s.Rand), exporter: tracing.NewExporter(s, httpClient, tracing.StaticTargets(params.Seeds), int(params.Queue)), stats: map[string]*candidateStats{}, routeLatencies: map[string]time.Duration{},
	}
	n.confirmations = NewConfirmations(s.Clock, params.Name, len(params.Seeds), time.Duration(float64(bounds.SlideBack.AsDuration())*validityRatio), bounds.InForce.AsDuration(), bounds.Alone.AsDuration())
	n.tunables.Store(&Tunables{MaxBufferedBytes: int(params.Held), MaxBodyBytes: int(params.Longest), Trust: trust})
	status := &wire.Roster{Node: params.Name, Address: params.Mates, Zone: params.Zone}
	n.member = membership.NewMember(s, httpClient, status, params.Seeds, nil, time.Duration(float64(leaving)*heartbeatRatio))
	n.member.Enrich = func(reply *wire.TellReply) {
		reply.Carried, reply.Watched = n.admission.Granted(), n.spanBudget.Granted()
	}
	n.instances = NewInstances(s, time.Duration(float64(leaving)*reportAgeRatio), int(params.Queue), func(reports []*wire.Seat) {
		slices.SortFunc(reports, func(a, b *wire.Seat) int { return strings.Compare(a.Address, b.Address) })
		n.member.UpdateStatus(func(status *wire.Roster) { status.Seats = reports })
	})
	n.lastNewsAt, n.preferred = make([]atomic.Int64, len(params.Seeds)), membership.HashBucket(params.Name, len(params.Seeds))
	for _, seed := range params.Seeds {
		n.controllers = append(n.controllers, wireconnect.NewHelmClient(httpClient, "http://"+seed))
	}
	return n
}

// newUpstreamTransport returns the transport for connections to instances. They are never reused: on a
// reused connection that breaks, http.Transport may send a request again by itself.
func newUpstreamTransport(net base.Net) *http.Transport {
	return &http.Transport{DialContext: net.Dial, DisableKeepAlives: true, DisableCompression: true}
}

// trackRequest counts a request as in flight until the returned function is called.
func (n *Node) trackRequest() func() {
	n.inFlight.Add(1)
	return func() { n.inFlight.Add(-1) }
}

// Run does the node's background work, such as following the controllers' news, until the scope ends.
func (n *Node) Run(s base.Scope) {
	n.loadFromDisk()
	var group base.Group
	group.Go(func() { n.member.Run(s) })
	group.Go(func() { n.exporter.Run(s, n.inForceBound/4) })
	group.Go(func() {
		base.Tick(s, n.inForceBound/8, func(base.Scope) {
			n.instances.Sweep()
			n.fences.Sweep()
			n.removeUnused()
		})
	})
	group.Go(func() { n.saveChanges(s) })
	group.Go(func() { n.requestConfirmations(s) })
	for index, controller := range n.controllers {
		group.Go(func() { n.followController(s, index, controller) })
	}
	group.Wait()
	n.instances.Close()
}

// Stop announces that the node is stopping and waits until no request is in flight or ctx ends, but at
// least for peerTimeout. From now on the node rejects requests from clients, and attempts from other nodes,
// whose deadline is after the end of grace.
func (n *Node) Stop(ctx context.Context, grace time.Duration) {
	n.stopDeadline.Store(int64(n.scope.Clock.Mono() + grace))
	n.stopping.Store(true)
	n.member.UpdateStatus(func(status *wire.Roster) { status.Stopping = true })
	n.scope.Record("stopping", "", "")
	s := n.scope.WithContext(ctx)
	for base.Await(s, n.peerTimeout); n.inFlight.Load() > 0 && s.Err() == nil; {
		base.Await(s, n.peerTimeout/64)
	}
}

// Ready reports whether the node serves requests now.
func (n *Node) Ready() bool {
	_, _, ready := n.Serving()
	return ready
}

// Serving returns the serial and digest of the bundle held, 0 and "" if there is none, and whether the node
// serves requests under it now.
func (n *Node) Serving() (serial uint64, digest string, ready bool) {
	signed := n.bundle.Load()
	if signed == nil {
		return 0, "", false
	}
	return signed.Serial, bundle.Digest(signed.Sealed), n.confirmations.IsCurrent(signed.Serial) && !n.stopping.Load()
}

// Bundle returns the bundle held, nil if there is none yet.
func (n *Node) Bundle() *bundle.Bundle { return n.bundle.Load() }

// Sampler returns the sampler of spans.
func (n *Node) Sampler() *tracing.Sampler { return n.sampler }

// Incarnation returns the random name of this process, new at each start.
func (n *Node) Incarnation() string { return n.member.Incarnation() }

// RecordedSpans returns the number of spans recorded so far, by group.
func (n *Node) RecordedSpans() map[string]uint64 { return n.spanBudget.Granted() }

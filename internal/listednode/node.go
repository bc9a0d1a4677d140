// Package listednode is the data path of fleets of listed machines: a node beside the
// application's instances takes requests of visitors and further calls of
// instances, chooses an instance of the service, and carries the request
// through the node beside it. docs/flow.md has the ways weighed.
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
	// ReportPath is where instances report themselves.
	ReportPath = "/curlewreach/report"
	// heartbeatRatio, of the leaving bound, is the interval between heartbeats.
	heartbeatRatio = 0.1
	// reportAgeRatio, of the leaving bound, is how long an instance's report
	// holds.
	reportAgeRatio = 1.5
	// peerTimeoutRatio, of the leaving bound, is how long another node may take to
	// answer a short question, and how long an instance that failed is avoided.
	peerTimeoutRatio = 0.25
	// fullNewsRatio, times the in-force bound, is the interval at which a node
	// asks for all of the news again.
	fullNewsRatio = 8
	// sliceFile and oddsFile are the files that a node starts from.
	sliceFile         = "slice"
	probabilitiesFile = "odds"

	// maxCapacity and mostWeight bound what an instance may report.
	maxCapacity = 1 << 20
	maxWeight   = 1 << 20
)

// receivedSighting is what a core machine said of a machine, and when.
type receivedSighting struct {
	sighting   *wire.Sighting
	receivedAt time.Duration
}

// Tunables are the params that can change while a node runs.
type Tunables struct {
	// MaxBufferedBytes is the most bytes of an answer held back until its seal is checked;
	// longer answers are streamed.
	MaxBufferedBytes int
	// MaxBodyBytes is the most bytes of a request's body.
	MaxBodyBytes int
	Trust        bundle.Trust
}

// UpdateParams changes the params that can change while the node runs.
func (n *Node) UpdateParams(params *wire.VaneParams, trust bundle.Trust) {
	n.tunables.Store(&Tunables{MaxBufferedBytes: int(params.Held), MaxBodyBytes: int(params.Longest), Trust: trust})
	n.admission.SetLimit(int(params.Flights))
	n.scope.Record("params", "", "turned")
}

// Node is the data path on one machine. Lock order: picking before any other;
// ties, instances, gates, fences and repeats never nest.
type Node struct {
	scope                base.Scope
	self                 string
	zone                 string
	tunables             atomic.Pointer[Tunables]
	peerTimeout          time.Duration
	inForceBound         time.Duration
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
	sampler              *tracing.Keeper
	exporter             *tracing.Sink
	bundle               atomic.Pointer[bundle.Bundle]
	stopping             atomic.Bool
	stopDeadline         atomic.Int64
	inFlight             atomic.Int64
	adoptMu              sync.Mutex
	peerClients          base.Table[wireconnect.FlowClient]
	sightings            base.Table[receivedSighting]
	controllers          []wireconnect.HelmClient
	lastNewsAt           []atomic.Int64
	preferred            int
	bundleUnsaved        base.Broadcast
	probabilitiesUnsaved base.Broadcast
	confirmations        *Confirmations
	bundleAdopted        base.Broadcast
	pickMu               sync.Mutex
	stats                map[string]*candidateStats
}

// NewNode returns a node; Run makes it work.
func NewNode(s base.Scope, httpClient *http.Client, params *wire.VaneParams, trust bundle.Trust) *Node {
	bounds := params.Bounds
	leaving := bounds.Leaving.AsDuration()
	n := &Node{
		memory: bodyMemory{limit: int64(params.Room)},
		scope:  s, self: params.Name, zone: params.Zone,
		peerTimeout: time.Duration(float64(leaving) * peerTimeoutRatio), inForceBound: bounds.InForce.AsDuration(), httpClient: httpClient,
		upstreamTransport: newUpstreamTransport(s.Net),
		fences:            NewFences(s.Clock, 2*bounds.Grace.AsDuration()), callTracker: NewCallTracker(s.Clock),
		admission: NewAdmissionQueue(s.Clock, int(params.Flights), int(params.Queue)), retryBudget: NewRetryBudget(), spanBudget: NewSpanBudget(s.Clock),
		sampler: tracing.NewKeeper(s.Rand), exporter: tracing.NewSink(s, httpClient, tracing.Always(params.Seeds), int(params.Queue)), stats: map[string]*candidateStats{},
	}
	n.confirmations = NewConfirmations(s.Clock, params.Name, len(params.Seeds), time.Duration(float64(bounds.SlideBack.AsDuration())*validityRatio), bounds.InForce.AsDuration(), bounds.Alone.AsDuration())
	n.tunables.Store(&Tunables{MaxBufferedBytes: int(params.Held), MaxBodyBytes: int(params.Longest), Trust: trust})
	status := &wire.Roster{Node: params.Name, Address: params.Mates, Zone: params.Zone}
	n.member = membership.NewMember(s, httpClient, status, params.Seeds, nil, time.Duration(float64(leaving)*heartbeatRatio))
	n.member.Enrich = func(reply *wire.TellReply) {
		reply.Carried, reply.Watched = n.admission.Granted(), n.spanBudget.Granted()
	}
	n.instances = NewInstances(s, time.Duration(float64(leaving)*reportAgeRatio), int(params.Queue), func(rows []*wire.Seat) {
		slices.SortFunc(rows, func(a, b *wire.Seat) int { return strings.Compare(a.Address, b.Address) })
		n.member.UpdateStatus(func(registry *wire.Roster) { registry.Seats = rows })
	})
	n.lastNewsAt, n.preferred = make([]atomic.Int64, len(params.Seeds)), membership.HashBucket(params.Name, len(params.Seeds))
	for _, seed := range params.Seeds {
		n.controllers = append(n.controllers, wireconnect.NewHelmClient(httpClient, "http://"+seed))
	}
	return n
}

func newUpstreamTransport(net base.Net) *http.Transport {
	return &http.Transport{DialContext: net.Dial, DisableKeepAlives: true, DisableCompression: true}
}

func (n *Node) trackRequest() func() {
	n.inFlight.Add(1)
	return func() { n.inFlight.Add(-1) }
}

// Run follows the core machines' news and keeps the node's tables until the
// scope ends.
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

// Stop says that the node is stopping, and waits until the requests inside have
// ended or ctx has.
func (n *Node) Stop(ctx context.Context, grace time.Duration) {
	n.stopDeadline.Store(int64(n.scope.Clock.Mono() + grace))
	n.stopping.Store(true)
	n.member.UpdateStatus(func(registry *wire.Roster) { registry.Stopping = true })
	n.scope.Record("stopping", "", "")
	s := n.scope.WithContext(ctx)
	for base.Await(s, n.peerTimeout); n.inFlight.Load() > 0 && s.Err() == nil; {
		base.Await(s, n.peerTimeout/64)
	}
}

// Ready reports whether the node would serve a request now.
func (n *Node) Ready() bool {
	_, _, ready := n.Serving()
	return ready
}

// Serving returns the bundle held, by number and digest, and whether the node
// would serve a request under it now.
func (n *Node) Serving() (serial uint64, digest string, ready bool) {
	signed := n.bundle.Load()
	if signed == nil {
		return 0, "", false
	}
	return signed.Serial, bundle.Digest(signed.Sealed), n.confirmations.IsCurrent(signed.Serial) && !n.stopping.Load()
}

// Bundle returns the bundle held, nil before the first.
func (n *Node) Bundle() *bundle.Bundle { return n.bundle.Load() }

// Sampler returns the odds in force.
func (n *Node) Sampler() *tracing.Keeper { return n.sampler }

// Incarnation returns the random name of this process.
func (n *Node) Incarnation() string { return n.member.Incarnation() }

// RecordedSpans returns the spans recorded so far, by group.
func (n *Node) RecordedSpans() map[string]uint64 { return n.spanBudget.Granted() }

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
	// beatRatio, of the leaving bound, is the interval between heartbeats.
	beatRatio = 0.1
	// oldestRatio, of the leaving bound, is how long an instance's report
	// holds.
	oldestRatio = 1.5
	// patience, of the leaving bound, is how long another node may take to
	// answer a short question, and how long an instance that failed is avoided.
	patience = 0.25
	// wholeRatio, times the in-force bound, is the interval at which a node
	// asks for all of the news again.
	wholeRatio = 8
	// sliceFile and oddsFile are the files that a node starts from.
	sliceFile = "slice"
	oddsFile  = "odds"

	// mostCapacity and mostWeight bound what an instance may report.
	mostCapacity = 1 << 20
	mostWeight   = 1 << 20
)

// outlook is what a core machine said of a machine, and when.
type outlook struct {
	sighting *wire.Sighting
	heard    time.Duration
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
	n.dials.Store(&Tunables{MaxBufferedBytes: int(params.Held), MaxBodyBytes: int(params.Longest), Trust: trust})
	n.gate.SetLimit(int(params.Flights))
	n.scope.Record("params", "", "turned")
}

// Node is the data path on one machine. Lock order: picking before any other;
// ties, instances, gates, fences and repeats never nest.
type Node struct {
	scope       base.Scope
	self        string
	zone        string
	dials       atomic.Pointer[Tunables]
	patience    time.Duration
	force       time.Duration
	web         *http.Client
	outward     *http.Transport
	member      *membership.Member
	seats       *Instances
	fences      *Fences
	ties        *CallTracker
	gate        *AdmissionQueue
	repeats     *RetryBudget
	room        bodyMemory
	budget      *SpanBudget
	keeper      *tracing.Sampler
	sink        *tracing.Exporter
	slice       atomic.Pointer[bundle.Bundle]
	stopping    atomic.Bool
	ends        atomic.Int64
	flying      atomic.Int64
	adopting    sync.Mutex
	peers       base.Table[wireconnect.FlowClient]
	atlas       base.Table[outlook]
	controllers []wireconnect.HelmClient
	heard       []atomic.Int64
	first       int
	kept        base.Broadcast
	keptOdds    base.Broadcast
	claims      *Confirmations
	risenBell   base.Broadcast
	picking     sync.Mutex
	records     map[string]*record
}

// NewNode returns a node; Run makes it work.
func NewNode(s base.Scope, web *http.Client, params *wire.VaneParams, trust bundle.Trust) *Node {
	bounds := params.Bounds
	leaving := bounds.Leaving.AsDuration()
	n := &Node{
		room:  bodyMemory{most: int64(params.Room)},
		scope: s, self: params.Name, zone: params.Zone,
		patience: time.Duration(float64(leaving) * patience), force: bounds.InForce.AsDuration(), web: web,
		outward: outwards(s.Net),
		fences:  NewFences(s.Clock, 2*bounds.Grace.AsDuration()), ties: NewCallTracker(s.Clock),
		gate: NewAdmissionQueue(s.Clock, int(params.Flights), int(params.Queue)), repeats: NewRetryBudget(), budget: NewSpanBudget(s.Clock),
		keeper: tracing.NewSampler(s.Rand), sink: tracing.NewExporter(s, web, tracing.StaticTargets(params.Seeds), int(params.Queue)), records: map[string]*record{},
	}
	n.claims = NewConfirmations(s.Clock, params.Name, len(params.Seeds), time.Duration(float64(bounds.SlideBack.AsDuration())*claimRatio), bounds.InForce.AsDuration(), bounds.Alone.AsDuration())
	n.dials.Store(&Tunables{MaxBufferedBytes: int(params.Held), MaxBodyBytes: int(params.Longest), Trust: trust})
	self := &wire.Roster{Node: params.Name, Address: params.Mates, Zone: params.Zone}
	n.member = membership.NewMember(s, web, self, params.Seeds, nil, time.Duration(float64(leaving)*beatRatio))
	n.member.Enrich = func(reply *wire.TellReply) {
		reply.Carried, reply.Watched = n.gate.Granted(), n.budget.Granted()
	}
	n.seats = NewInstances(s, time.Duration(float64(leaving)*oldestRatio), int(params.Queue), func(rows []*wire.Seat) {
		slices.SortFunc(rows, func(a, b *wire.Seat) int { return strings.Compare(a.Address, b.Address) })
		n.member.UpdateStatus(func(registry *wire.Roster) { registry.Seats = rows })
	})
	n.heard, n.first = make([]atomic.Int64, len(params.Seeds)), membership.HashBucket(params.Name, len(params.Seeds))
	for _, seed := range params.Seeds {
		n.controllers = append(n.controllers, wireconnect.NewHelmClient(web, "http://"+seed))
	}
	return n
}

func outwards(net base.Net) *http.Transport {
	return &http.Transport{DialContext: net.Dial, DisableKeepAlives: true, DisableCompression: true}
}

func (n *Node) enter() func() {
	n.flying.Add(1)
	return func() { n.flying.Add(-1) }
}

// Run follows the core machines' news and keeps the node's tables until the
// scope ends.
func (n *Node) Run(s base.Scope) {
	n.recall()
	var crew base.Group
	crew.Go(func() { n.member.Run(s) })
	crew.Go(func() { n.sink.Run(s, n.force/4) })
	crew.Go(func() {
		base.Tick(s, n.force/8, func(base.Scope) {
			n.seats.Sweep()
			n.fences.Sweep()
			n.sweep()
		})
	})
	crew.Go(func() { n.remember(s) })
	crew.Go(func() { n.confirm(s) })
	for index, controller := range n.controllers {
		crew.Go(func() { n.follow(s, index, controller) })
	}
	crew.Wait()
	n.seats.Close()
}

// Stop says that the node is stopping, and waits until the requests inside have
// ended or ctx has.
func (n *Node) Stop(ctx context.Context, grace time.Duration) {
	n.ends.Store(int64(n.scope.Clock.Mono() + grace))
	n.stopping.Store(true)
	n.member.UpdateStatus(func(registry *wire.Roster) { registry.Stopping = true })
	n.scope.Record("stopping", "", "")
	s := n.scope.WithContext(ctx)
	for base.Await(s, n.patience); n.flying.Load() > 0 && s.Err() == nil; {
		base.Await(s, n.patience/64)
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
	signed := n.slice.Load()
	if signed == nil {
		return 0, "", false
	}
	return signed.Serial, bundle.Digest(signed.Sealed), n.claims.IsCurrent(signed.Serial) && !n.stopping.Load()
}

// Bundle returns the bundle held, nil before the first.
func (n *Node) Bundle() *bundle.Bundle { return n.slice.Load() }

// Sampler returns the odds in force.
func (n *Node) Sampler() *tracing.Sampler { return n.keeper }

// Incarnation returns the random name of this process.
func (n *Node) Incarnation() string { return n.member.Incarnation() }

// RecordedSpans returns the spans recorded so far, by group.
func (n *Node) RecordedSpans() map[string]uint64 { return n.budget.Granted() }

package balancer

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"sync"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/admission"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

const (
	// minAvoidance and maxAvoidance bound how long a peer is avoided after it could not be reached.
	minAvoidance = 150 * time.Millisecond
	maxAvoidance = 2 * time.Second
	// latencySmoothing is the weight of the newest response in a peer's average relative latency.
	latencySmoothing = 0.15
	// minLatencySample and maxLatencySample bound a single relative latency before it is averaged;
	// minRelativeLatency and maxRelativeLatency bound the average.
	maxLatencySample, minLatencySample     = 5, 0.2
	maxRelativeLatency, minRelativeLatency = 4, 0.3
	// loadDecayAge is the age beyond which a peer's load report counts less the older it is; failureDecayAge
	// is the same for its reported failure rate.
	loadDecayAge    = 400 * time.Millisecond
	failureDecayAge = 3 * time.Second
	// countTTL is how long a count of the nodes is cached.
	countTTL = 250 * time.Millisecond
)

// Terms of a candidate's score; the lowest score is the best. A score of 1 is an idle peer with the usual
// latency.
const (
	// crossZonePenalty is added for a peer in another zone.
	crossZonePenalty = 0.8
	// utilizationWeight is the relative increase of the score of a fully used upstream.
	utilizationWeight = 0.35
	// scoreJitter bounds the random term that spreads requests over candidates with similar scores.
	scoreJitter = 0.1
	// warmUpFactor multiplies the latency of an upstream that is still warming up.
	warmUpFactor = 2
	// avoidedPenalty ranks a peer that was unreachable recently behind all others.
	avoidedPenalty = 100
)

// urgentWaitRatio is the fraction of the estimated wait that requests of urgent ranks are expected to wait,
// since they usually go ahead of the others.
const urgentWaitRatio = 0.5

// observation is what one controller reports about a peer.
type observation struct {
	absent bool
}

// peer is a node together with its upstream, and what this node knows of both. Times are readings of the
// monotonic clock.
type peer struct {
	status *wire.NodeStatus
	// heardAt is the latest time at which a controller had heard the peer.
	heardAt time.Duration
	// observations holds the latest report of each controller.
	observations map[string]observation
	// inFlight counts this node's own attempts in flight to the peer.
	inFlight int
	// load is the newest load report and loadAt its time; inFlightAtLoad is inFlight at that time.
	load           forwarding.LoadReport
	loadAt         time.Duration
	inFlightAtLoad int
	// relativeLatency is the average latency in proportion to the latency that is usual for the request; 1 is
	// usual.
	relativeLatency float64
	// avoidUntil is the end of the current avoidance, avoidance its length.
	avoidUntil time.Duration
	avoidance  time.Duration
	// goneInstance is the ID of an instance that was found to be gone or leaving.
	goneInstance string
	// reachedAt is when an attempt last reached the peer; 0 if none has since the peer was last unreachable.
	reachedAt time.Duration
}

// Table holds the known peers. It merges the controllers' reports with the results of this node's own
// requests. It is safe for concurrent use.
type Table struct {
	clock base.Clock
	self  string
	// LocalLoad reports the load of the local upstream; nil if there is none. It must be set before the table
	// is used.
	LocalLoad func() forwarding.LoadReport
	// observationTTL is how long a controller's reports count after it was last heard.
	observationTTL time.Duration
	mu             sync.Mutex
	peers          map[string]*peer
	// controllers holds when each controller was last heard.
	controllers map[string]time.Duration
	// nodesByService is a cache of the node names by the service of their instance; nil if it must be
	// rebuilt.
	nodesByService map[string][]string
	size           int
	sizeCountedAt  time.Duration
	nodeCounts     map[string]int // nodes of each service in one zone; replaced, never modified after it has been returned
	nodeCountsAt   time.Duration
}

// NewTable returns an empty table for the node named self. A controller's reports count for observationTTL
// after it was last heard.
func NewTable(clock base.Clock, self string, observationTTL time.Duration) *Table {
	return &Table{clock: clock, self: self, observationTTL: observationTTL, peers: map[string]*peer{}, controllers: map[string]time.Duration{}}
}

// ApplyObservations applies the reports of a controller. If full is set, they replace all that it reported
// before.
func (t *Table) ApplyObservations(controller string, full bool, observations []*wire.Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Mono()
	t.controllers[controller] = now
	if full {
		for _, p := range t.peers {
			delete(p.observations, controller)
		}
	}
	for _, report := range observations {
		nodeStatus := report.GetNodeStatus()
		if nodeStatus.GetNode() == "" || nodeStatus.Node == t.self {
			continue
		}
		p := t.peer(nodeStatus.Node)
		p.observations[controller] = observation{report.Absent}
		t.learnStatus(p, nodeStatus, now-time.Duration(report.SilenceMs)*time.Millisecond)
	}
}

// peer returns the entry of a node and adds one if there is none.
func (t *Table) peer(node string) *peer {
	p := t.peers[node]
	if p == nil {
		p = &peer{relativeLatency: 1, observations: map[string]observation{}}
		t.peers[node] = p
	}
	return p
}

// learnStatus stores a status that a peer published at the given time, unless a newer one is known. Within
// one incarnation the higher number is the newer; between incarnations it is the one published later.
func (t *Table) learnStatus(p *peer, nodeStatus *wire.NodeStatus, heardAt time.Duration) {
	sameIncarnation := p.status.GetIncarnation() == nodeStatus.Incarnation
	if p.status == nil || sameIncarnation && nodeStatus.Number > p.status.Number || !sameIncarnation && heardAt > p.heardAt {
		t.replaceStatus(p, nodeStatus, !sameIncarnation)
	}
	p.heardAt = max(p.heardAt, heardAt)
}

// replaceStatus stores a status. It resets what requests observed of the peer if its incarnation or its
// upstream instance is another one.
func (t *Table) replaceStatus(p *peer, nodeStatus *wire.NodeStatus, newIncarnation bool) {
	if newIncarnation || p.status.GetInstance().GetId() != nodeStatus.GetInstance().GetId() {
		p.load, p.loadAt, p.avoidUntil, p.avoidance, p.goneInstance, p.reachedAt = forwarding.LoadReport{}, 0, 0, 0, "", 0
		p.relativeLatency = 1
	}
	if p.status.GetInstance().GetService() != nodeStatus.GetInstance().GetService() {
		t.nodesByService = nil
	}
	p.status = nodeStatus
}

// absent reports whether a peer is considered gone: at least one recently heard controller reports it absent,
// none reports it present, and no request reached it within observationTTL. The node itself is never absent.
func (t *Table) absent(p *peer) bool {
	if p.status.GetNode() == t.self {
		return false
	}
	now, reportedAbsent := t.clock.Mono(), false
	for controller, heardAt := range t.controllers {
		if now-heardAt > t.observationTTL {
			continue
		}
		seen, known := p.observations[controller]
		if known && !seen.absent {
			return false
		}
		reportedAbsent = reportedAbsent || known
	}
	return reportedAbsent && (p.reachedAt == 0 || now-p.reachedAt > t.observationTTL)
}

// SetOwnStatus stores the status of this node itself.
func (t *Table) SetOwnStatus(nodeStatus *wire.NodeStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(t.self)
	t.replaceStatus(p, nodeStatus, false)
	p.heardAt = t.clock.Mono()
}

// RemoveController drops the reports of a controller that is no longer polled.
func (t *Table) RemoveController(controller string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.controllers, controller)
	for _, p := range t.peers {
		delete(p.observations, controller)
	}
}

// Size returns the number of nodes that are not absent, at least 1. The count is cached for countTTL.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.clock.Mono(); t.sizeCountedAt == 0 || now-t.sizeCountedAt > countTTL {
		t.size, t.sizeCountedAt = 0, now
		for _, p := range t.peers {
			if !t.absent(p) {
				t.size++
			}
		}
	}
	return max(t.size, 1)
}

// NodesByService counts the nodes of each service in a zone. The count is cached for countTTL. The caller
// must not modify the map.
func (t *Table) NodesByService(zone string) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Mono()
	if t.nodeCounts == nil || now-t.nodeCountsAt > countTTL {
		t.nodeCounts, t.nodeCountsAt = map[string]int{}, now
		for _, p := range t.peers {
			if p.status.GetZone() == zone && p.status.Service != "" {
				t.nodeCounts[p.status.Service]++
			}
		}
	}
	return t.nodeCounts
}

// Sweep removes absent peers that were not heard of for longer than silence and have no attempt in flight.
func (t *Table) Sweep(silence time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.peers {
		if p.inFlight == 0 && t.clock.Mono()-p.heardAt > silence && t.absent(p) {
			delete(t.peers, name)
			t.nodesByService = nil
		}
	}
}

// Candidate is a peer whose upstream may serve a request.
type Candidate struct {
	Node     string
	Address  string
	Instance string
	zone     string
	// Free is set if the upstream is expected to have a free slot; otherwise Wait is the estimated time in
	// its queue.
	Free  bool
	Wait  time.Duration
	score float64
	// Avoided is set if the peer could not be reached recently.
	Avoided     bool
	failureRate float64
}

// indexByService returns the sorted names of the nodes by the service of their upstream instance.
func (t *Table) indexByService() map[string][]string {
	if t.nodesByService == nil {
		t.nodesByService = map[string][]string{}
		for _, name := range slices.Sorted(maps.Keys(t.peers)) {
			if instance := t.peers[name].status.GetInstance(); instance != nil {
				t.nodesByService[instance.Service] = append(t.nodesByService[instance.Service], name)
			}
		}
	}
	return t.nodesByService
}

// eligible yields the peers whose upstreams may take requests for a service.
func (t *Table) eligible(service string) iter.Seq2[string, *peer] {
	return func(yield func(string, *peer) bool) {
		for _, name := range t.indexByService()[service] {
			p := t.peers[name]
			instance := p.status.GetInstance()
			if instance == nil || instance.Service != service || instance.Leaving || p.status.Stopping || p.goneInstance == instance.Id || t.absent(p) {
				continue
			}
			if !yield(name, p) {
				return
			}
		}
	}
}

// expectedLoad estimates the number of requests at the peer's upstream, queued ones included, and returns the
// number of its slots. It adds this node's attempts in flight to the other nodes' share of the last load
// report.
func (p *peer) expectedLoad(now time.Duration) (inFlight float64, limit int) {
	limit = max(int(p.status.GetInstance().GetCapacity()), 1)
	others := 0.0
	if p.loadAt > 0 {
		others = float64(max(p.load.InFlight+p.load.Waiting-p.inFlightAtLoad, 0))
		if age := now - p.loadAt; age > loadDecayAge {
			others *= float64(loadDecayAge) / float64(age)
		}
	}
	return others + float64(p.inFlight), limit
}

// Candidates returns the peers that may serve a request, the best first. serviceTime is how long such
// requests usually occupy a slot. Peers for which tried returns true are left out.
func (t *Table) Candidates(service, zone string, rank int, serviceTime time.Duration, tried func(node string) bool, rand *random.Source) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Mono()
	var candidates []Candidate
	for name, p := range t.eligible(service) {
		if tried(name) {
			continue
		}
		if name == t.self && t.LocalLoad != nil {
			p.load, p.loadAt, p.inFlightAtLoad = t.LocalLoad(), now, p.inFlight
		}
		candidate := p.candidate(name, now)
		inFlight, limit := p.expectedLoad(now)
		if excess := inFlight + 1 - float64(limit); excess > 0 {
			candidate.Free, candidate.Wait = false, p.expectedWait(excess/float64(limit), rank, serviceTime, now)
		}
		candidate.score = p.expectedLatency(now)*(1+utilizationWeight*min(inFlight/float64(limit), 1)) + scoreJitter*rand.Float64() + float64(candidate.Wait)/float64(max(serviceTime, time.Millisecond))
		if p.status.Zone != zone {
			candidate.score += crossZonePenalty
		}
		if candidate.Avoided {
			candidate.score += avoidedPenalty + (p.avoidUntil - now).Seconds()
		}
		candidates = append(candidates, candidate)
	}
	penalizeFailures(candidates)
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.score, b.score) })
	return candidates
}

// candidate returns the fields of a candidate that do not depend on the request.
func (p *peer) candidate(name string, now time.Duration) Candidate {
	candidate := Candidate{Node: name, Address: p.status.Inward, Instance: p.status.Instance.Id, zone: p.status.Zone, Free: true, Avoided: now < p.avoidUntil}
	if candidate.failureRate = float64(p.load.FailurePercent) / 100; now-p.loadAt > failureDecayAge {
		candidate.failureRate *= float64(failureDecayAge) / float64(now-p.loadAt)
	}
	return candidate
}

// expectedLatency returns the relative latency to expect of the peer, which is higher while its upstream
// warms up.
func (p *peer) expectedLatency(now time.Duration) float64 {
	if now < p.heardAt+time.Duration(p.status.Instance.WarmMs)*time.Millisecond {
		return p.relativeLatency * warmUpFactor
	}
	return p.relativeLatency
}

// expectedWait estimates how long a request waits at a full upstream. slotFraction is the fraction of the
// upstream's slots that must be released first. serviceTime is how long such requests usually occupy a slot; it applies
// if the upstream has not reported its own.
func (p *peer) expectedWait(slotFraction float64, rank int, serviceTime, now time.Duration) time.Duration {
	slotTime := serviceTime
	if p.load.ServiceTimeMs > 0 {
		slotTime = time.Duration(p.load.ServiceTimeMs) * time.Millisecond
	}
	wait := time.Duration(slotFraction * float64(slotTime))
	switch {
	case rank <= admission.MaxUrgentRank:
		return time.Duration(urgentWaitRatio * float64(wait))
	case now-p.loadAt < loadDecayAge:
		return max(wait, time.Duration(p.load.NormalWaitMs)*time.Millisecond)
	}
	return wait
}

// penalizeFailures raises the score of candidates whose failure rate exceeds the lowest one. Only the excess
// counts, so failures that all upstreams have in common rule none of them out.
func penalizeFailures(candidates []Candidate) {
	lowest := 1.0
	for _, candidate := range candidates {
		lowest = min(lowest, candidate.failureRate)
	}
	for i := range candidates {
		candidates[i].score += failurePenalty * (candidates[i].failureRate - lowest)
	}
}

// AttemptBegun records that an attempt was sent to a peer.
func (t *Table) AttemptBegun(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[node]; p != nil {
		p.inFlight++
	}
}

// AttemptEnded records the result of an attempt. load is the peer's load report, nil if it sent none.
// expected is how long such requests usually take.
func (t *Table) AttemptEnded(node string, load *forwarding.LoadReport, took, expected time.Duration, succeeded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[node]
	if p == nil {
		return
	}
	p.inFlight = max(p.inFlight-1, 0)
	if load != nil {
		p.load, p.loadAt, p.inFlightAtLoad = *load, t.clock.Mono(), p.inFlight
		p.avoidUntil, p.avoidance, p.reachedAt = 0, 0, t.clock.Mono()
	}
	if succeeded && expected > 0 {
		ratio := min(max(took.Seconds()/expected.Seconds(), minLatencySample), maxLatencySample)
		p.relativeLatency += latencySmoothing * (ratio - p.relativeLatency)
		p.relativeLatency = min(max(p.relativeLatency, minRelativeLatency), maxRelativeLatency)
	}
}

// MarkUnreachable makes the balancer avoid a peer that could not be reached. The time doubles with each call,
// from minAvoidance to maxAvoidance, until an attempt reaches the peer again.
func (t *Table) MarkUnreachable(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[node]; p != nil {
		p.avoidance = min(max(2*p.avoidance, minAvoidance), maxAvoidance)
		p.avoidUntil, p.reachedAt = t.clock.Mono()+p.avoidance, 0
	}
}

// InstanceGone records that an instance is no longer at a node or is leaving; it gets no further requests.
func (t *Table) InstanceGone(node, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[node]; p != nil && p.status.GetInstance().GetId() == instance {
		p.goneInstance = instance
	}
}

// Incarnation returns the last known incarnation of a peer; empty if there is none.
func (t *Table) Incarnation(node string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[node]; p != nil {
		return p.status.GetIncarnation()
	}
	return ""
}

// NodeStatuses returns the last known status of each peer, sorted by node name.
func (t *Table) NodeStatuses() []*wire.NodeStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var nodeStatuses []*wire.NodeStatus
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		nodeStatuses = append(nodeStatuses, t.peers[name].status)
	}
	return nodeStatuses
}

// Candidate returns the named peer if it may serve requests for a service, even if it is full. The estimates
// and the score are not set.
func (t *Table) Candidate(node, service string) (Candidate, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.eligible(service) {
		if name == node {
			return Candidate{Node: name, Address: p.status.Inward, Instance: p.status.Instance.Id, zone: p.status.Zone}, true
		}
	}
	return Candidate{}, false
}

// View returns the peers, and the milliseconds since each controller was last heard, for operators.
func (t *Table) View() (peers []*wire.PeerView, controllers map[string]uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Mono()
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[name]
		instance := p.status.GetInstance()
		peers = append(peers, &wire.PeerView{
			Node: name, Zone: p.status.GetZone(), Service: p.status.GetService(), Instance: instance.GetId(), Absent: t.absent(p), AvoidedMs: base.Milliseconds(p.avoidUntil - now),
			Barred: p.goneInstance, Leaving: instance.GetLeaving(), Stopping: p.status.GetStopping(), Speed: p.relativeLatency, Flying: uint32(max(p.inFlight, 0)), SilenceMs: base.Milliseconds(now - p.heardAt),
		})
	}
	controllers = map[string]uint64{}
	for controller, heardAt := range t.controllers {
		controllers[controller] = base.Milliseconds(now - heardAt)
	}
	return peers, controllers
}

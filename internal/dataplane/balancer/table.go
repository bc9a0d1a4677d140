package balancer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/latency"
	"curlewreach/proto/wire"
)

const (
	// minAvoidance and maxAvoidance bound how long a peer is avoided after it could not be reached.
	minAvoidance = 150 * time.Millisecond
	maxAvoidance = 2 * time.Second
	// countTTL is how long a count of the nodes is cached.
	countTTL = 250 * time.Millisecond
)

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
	// latency is the average of its answers to this node, distance included.
	latency latency.Relative
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
		p = &peer{observations: map[string]observation{}}
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
		p.latency = latency.Relative{}
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
	now := t.clock.Mono()
	p.inFlight = max(p.inFlight-1, 0)
	if load != nil {
		p.load, p.loadAt, p.inFlightAtLoad = *load, now, p.inFlight
		p.avoidUntil, p.avoidance, p.reachedAt = 0, 0, now
	}
	if succeeded && expected > 0 {
		p.latency.Record(took, expected, now)
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
			Barred: p.goneInstance, Leaving: instance.GetLeaving(), Stopping: p.status.GetStopping(), Speed: p.latency.Average(now), Flying: uint32(max(p.inFlight, 0)), SilenceMs: base.Milliseconds(now - p.heardAt),
		})
	}
	controllers = map[string]uint64{}
	for controller, heardAt := range t.controllers {
		controllers[controller] = base.Milliseconds(now - heardAt)
	}
	return peers, controllers
}

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
	// shortestAvoid and longestAvoid bound how long a peer is avoided that could not be reached.
	shortestAvoid = 150 * time.Millisecond
	longestAvoid  = 2 * time.Second
	// speedMemory is the weight of the newest answer in the average speed of a peer.
	speedMemory = 0.15
	// slowestRatio and fastestRatio bound what one answer counts for, slowest and fastest the average.
	slowestRatio, fastestRatio = 5, 0.2
	slowest, fastest           = 4, 0.3
	// loadFade is the age from which what a peer told of its load counts less and less, failureFade that of its failures.
	loadFade    = 400 * time.Millisecond
	failureFade = 3 * time.Second
	// sizeEvery is how long a count of the peers holds.
	sizeEvery = 250 * time.Millisecond
)

// Parts of a candidate's score; the lowest is the best. 1 is a peer that answers as fast as usual.
const (
	farZonePenalty = 0.8
	fillWeight     = 0.35
	jitter         = 0.1
	warmUpFactor   = 2
	// avoidedScore puts a peer that could not be reached lately behind all others.
	avoidedScore = 100
)

// urgentWaitRatio is the part of a wait that the urgent ranks have to expect.
const urgentWaitRatio = 0.5

// sighting is what a control machine says of a peer.
type sighting struct {
	absent bool
}

// peer is another node with the upstream beside it, and what this node knows of both. Times are by the steady clock.
type peer struct {
	status         *wire.NodeStatus
	heardAt        time.Duration
	observations   map[string]sighting
	inFlight       int
	load           forwarding.LoadReport
	loadAt         time.Duration
	inFlightAtLoad int
	speed          float64
	avoidUntil     time.Duration
	avoidFor       time.Duration
	goneInstance   string
	reachedAt      time.Duration
}

// Table merges what the control machines say of the peers with what requests saw of them. It is safe for concurrent use.
type Table struct {
	clock base.Clock
	self  string
	// LocalLoad tells of the upstream beside this node; nil for none. It is set before the table is used.
	LocalLoad      func() forwarding.LoadReport
	absenceSlack   time.Duration
	mu             sync.Mutex
	peers          map[string]*peer
	controllers    map[string]time.Duration
	index          map[string][]string
	size           int
	sizedAt        time.Duration
	nodesByService map[string]int // nodes of each service in this zone; replaced, never changed once it has been handed out
	countedAt      time.Duration
}

// NewTable returns a table without peers for the node named self. What a control machine says of absent peers counts for
// absenceSlack after it last spoke.
func NewTable(clock base.Clock, self string, absenceSlack time.Duration) *Table {
	return &Table{clock: clock, self: self, absenceSlack: absenceSlack, peers: map[string]*peer{}, controllers: map[string]time.Duration{}}
}

// ApplyObservations folds in a control machine's reports.
func (t *Table) ApplyObservations(controller string, whole bool, observations []*wire.Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Mono()
	t.controllers[controller] = now
	if whole {
		for _, at := range t.peers {
			delete(at.observations, controller)
		}
	}
	for _, each := range observations {
		nodeStatus := each.GetNodeStatus()
		if nodeStatus.GetNode() == "" || nodeStatus.Node == t.self {
			continue
		}
		at := t.peer(nodeStatus.Node)
		at.observations[controller] = sighting{each.Absent}
		t.learnStatus(at, nodeStatus, now-time.Duration(each.SilenceMs)*time.Millisecond)
	}
}

// peer returns what is known of a node; a new row if nothing is.
func (t *Table) peer(node string) *peer {
	at := t.peers[node]
	if at == nil {
		at = &peer{speed: 1, observations: map[string]sighting{}}
		t.peers[node] = at
	}
	return at
}

// learnStatus takes what a peer told of itself at some moment, unless something newer is known: a higher number of the same
// incarnation, or an incarnation heard of later.
func (t *Table) learnStatus(at *peer, nodeStatus *wire.NodeStatus, heard time.Duration) {
	same := at.status.GetIncarnation() == nodeStatus.Incarnation
	if at.status == nil || same && nodeStatus.Number > at.status.Number || !same && heard > at.heardAt {
		t.replaceStatus(at, nodeStatus, !same)
	}
	at.heardAt = max(at.heardAt, heard)
}

// replaceStatus forgets what requests saw of a peer if another incarnation, or another upstream, is there.
func (t *Table) replaceStatus(at *peer, nodeStatus *wire.NodeStatus, anew bool) {
	if anew || at.status.GetInstance().GetId() != nodeStatus.GetInstance().GetId() {
		at.load, at.loadAt, at.avoidUntil, at.avoidFor, at.goneInstance, at.reachedAt = forwarding.LoadReport{}, 0, 0, 0, "", 0
		at.speed = 1
	}
	if at.status.GetInstance().GetService() != nodeStatus.GetInstance().GetService() {
		t.index = nil
	}
	at.status = nodeStatus
}

// absent tells whether a peer is gone: control machines say so and none says otherwise, and no request reached it lately.
func (t *Table) absent(at *peer) bool {
	if at.status.GetNode() == t.self {
		return false
	}
	now, said := t.clock.Mono(), false
	for controller, spoke := range t.controllers {
		if now-spoke > t.absenceSlack {
			continue
		}
		each, knows := at.observations[controller]
		if knows && !each.absent {
			return false
		}
		said = said || knows
	}
	return said && (at.reachedAt == 0 || now-at.reachedAt > t.absenceSlack)
}

// SetOwnStatus takes this node's own status.
func (t *Table) SetOwnStatus(nodeStatus *wire.NodeStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.peer(t.self)
	t.replaceStatus(at, nodeStatus, false)
	at.heardAt = t.clock.Mono()
}

// RemoveController drops what a control machine said that is asked no longer.
func (t *Table) RemoveController(controller string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.controllers, controller)
	for _, at := range t.peers {
		delete(at.observations, controller)
	}
}

// Size counts the nodes that are there.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.clock.Mono(); t.sizedAt == 0 || now-t.sizedAt > sizeEvery {
		t.size, t.sizedAt = 0, now
		for _, at := range t.peers {
			if !t.absent(at) {
				t.size++
			}
		}
	}
	return max(t.size, 1)
}

// NodesByService counts the nodes of each service in a zone. The map must not be changed.
func (t *Table) NodesByService(zone string) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Mono()
	if t.nodesByService == nil || now-t.countedAt > sizeEvery {
		t.nodesByService, t.countedAt = map[string]int{}, now
		for _, at := range t.peers {
			if at.status.GetZone() == zone && at.status.Service != "" {
				t.nodesByService[at.status.Service]++
			}
		}
	}
	return t.nodesByService
}

// Sweep forgets peers that every fresh control machine has forgotten.
func (t *Table) Sweep(after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, at := range t.peers {
		if at.inFlight == 0 && t.clock.Mono()-at.heardAt > after && t.absent(at) {
			delete(t.peers, name)
			t.index = nil
		}
	}
}

// Candidate is a peer whose upstream may serve a request.
type Candidate struct {
	Node        string
	Address     string
	Instance    string
	zone        string
	Free        bool
	Wait        time.Duration
	score       float64
	Avoided     bool
	failureRate float64
}

// indexed returns the peers by the service of the upstream beside them.
func (t *Table) indexed() map[string][]string {
	if t.index == nil {
		t.index = map[string][]string{}
		for _, name := range slices.Sorted(maps.Keys(t.peers)) {
			if instance := t.peers[name].status.GetInstance(); instance != nil {
				t.index[instance.Service] = append(t.index[instance.Service], name)
			}
		}
	}
	return t.index
}

// serving yields the peers whose upstreams may take requests for a service.
func (t *Table) serving(service string) iter.Seq2[string, *peer] {
	return func(yield func(string, *peer) bool) {
		for _, name := range t.indexed()[service] {
			at := t.peers[name]
			instance := at.status.GetInstance()
			if instance == nil || instance.Service != service || instance.Leaving || at.status.Stopping || at.goneInstance == instance.Id || t.absent(at) {
				continue
			}
			if !yield(name, at) {
				return
			}
		}
	}
}

// expectedLoad is how many requests are likely to be at the upstream now, and how many it takes.
func (at *peer) expectedLoad(now time.Duration) (flying float64, limit int) {
	limit = max(int(at.status.GetInstance().GetCapacity()), 1)
	others := 0.0
	if at.loadAt > 0 {
		others = float64(max(at.load.InFlight+at.load.Waiting-at.inFlightAtLoad, 0))
		if age := now - at.loadAt; age > loadFade {
			others *= float64(loadFade) / float64(age)
		}
	}
	return others + float64(at.inFlight), limit
}

// Candidates lists the peers that may serve a request, the best first. hold is how long such requests usually take; peers
// for which tried is true are left out.
func (t *Table) Candidates(service, zone string, rank int, hold time.Duration, tried func(node string) bool, rand *random.Source) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Mono()
	var options []Candidate
	for name, at := range t.serving(service) {
		if tried(name) {
			continue
		}
		if name == t.self && t.LocalLoad != nil {
			at.load, at.loadAt, at.inFlightAtLoad = t.LocalLoad(), now, at.inFlight
		}
		o := at.candidate(name, now)
		flying, limit := at.expectedLoad(now)
		if over := flying + 1 - float64(limit); over > 0 {
			o.Free, o.Wait = false, at.waitFor(over/float64(limit), rank, hold, now)
		}
		o.score = at.latency(now)*(1+fillWeight*min(flying/float64(limit), 1)) + jitter*rand.Float64() + float64(o.Wait)/float64(max(hold, time.Millisecond))
		if at.status.Zone != zone {
			o.score += farZonePenalty
		}
		if o.Avoided {
			o.score += avoidedScore + (at.avoidUntil - now).Seconds()
		}
		options = append(options, o)
	}
	penalizeFailures(options)
	slices.SortFunc(options, func(a, b Candidate) int { return cmp.Compare(a.score, b.score) })
	return options
}

// candidate tells of a peer what doesn't depend on the request.
func (at *peer) candidate(name string, now time.Duration) Candidate {
	o := Candidate{Node: name, Address: at.status.Inward, Instance: at.status.Instance.Id, zone: at.status.Zone, Free: true, Avoided: now < at.avoidUntil}
	if o.failureRate = float64(at.load.FailurePercent) / 100; now-at.loadAt > failureFade {
		o.failureRate *= float64(failureFade) / float64(now-at.loadAt)
	}
	return o
}

// latency is how long the peer takes beside the usual; more while its upstream warms up.
func (at *peer) latency(now time.Duration) float64 {
	if now < at.heardAt+time.Duration(at.status.Instance.WarmMs)*time.Millisecond {
		return at.speed * warmUpFactor
	}
	return at.speed
}

// waitFor guesses how long a request waits at a full upstream; share is the part of the upstream's slots that must come
// free before. hold is how long such requests take.
func (at *peer) waitFor(share float64, rank int, hold, now time.Duration) time.Duration {
	turn := hold
	if at.load.ServiceTimeMs > 0 {
		turn = time.Duration(at.load.ServiceTimeMs) * time.Millisecond
	}
	wait := time.Duration(share * float64(turn))
	switch {
	case rank <= admission.MaxUrgentRank:
		return time.Duration(urgentWaitRatio * float64(wait))
	case now-at.loadAt < loadFade:
		return max(wait, time.Duration(at.load.NormalWaitMs)*time.Millisecond)
	}
	return wait
}

// penalizeFailures puts candidates back that fail more often than the best one.
func penalizeFailures(options []Candidate) {
	least := 1.0
	for _, o := range options {
		least = min(least, o.failureRate)
	}
	for i := range options {
		options[i].score += failureWeight * (options[i].failureRate - least)
	}
}

// AttemptBegun notes an attempt on its way to a peer.
func (t *Table) AttemptBegun(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at := t.peers[node]; at != nil {
		at.inFlight++
	}
}

// AttemptEnded notes how an attempt went. load is what the other node told of its upstream, nil if it told nothing; usual is
// how long such requests take.
func (t *Table) AttemptEnded(node string, load *forwarding.LoadReport, took, usual time.Duration, good bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.peers[node]
	if at == nil {
		return
	}
	at.inFlight = max(at.inFlight-1, 0)
	if load != nil {
		at.load, at.loadAt, at.inFlightAtLoad = *load, t.clock.Mono(), at.inFlight
		at.avoidUntil, at.avoidFor, at.reachedAt = 0, 0, t.clock.Mono()
	}
	if good && usual > 0 {
		ratio := min(max(took.Seconds()/usual.Seconds(), fastestRatio), slowestRatio)
		at.speed += speedMemory * (ratio - at.speed)
		at.speed = min(max(at.speed, fastest), slowest)
	}
}

// MarkUnreachable steers clear of a peer that could not be reached, for longer each time, up to two seconds.
func (t *Table) MarkUnreachable(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at := t.peers[node]; at != nil {
		at.avoidFor = min(max(2*at.avoidFor, shortestAvoid), longestAvoid)
		at.avoidUntil, at.reachedAt = t.clock.Mono()+at.avoidFor, 0
	}
}

// InstanceGone notes that an instance is no longer there or is leaving.
func (t *Table) InstanceGone(node, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at := t.peers[node]; at != nil && at.status.GetInstance().GetId() == instance {
		at.goneInstance = instance
	}
}

// Incarnation is the incarnation that a peer is known to be in; empty if it is not known.
func (t *Table) Incarnation(node string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at := t.peers[node]; at != nil {
		return at.status.GetIncarnation()
	}
	return ""
}

// NodeStatuses lists the peers as last heard.
func (t *Table) NodeStatuses() []*wire.NodeStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var nodeStatuses []*wire.NodeStatus
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		nodeStatuses = append(nodeStatuses, t.peers[name].status)
	}
	return nodeStatuses
}

// Candidate finds one peer, however full.
func (t *Table) Candidate(node, service string) (Candidate, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, at := range t.serving(service) {
		if name == node {
			return Candidate{Node: name, Address: at.status.Inward, Instance: at.status.Instance.Id, zone: at.status.Zone}, true
		}
	}
	return Candidate{}, false
}

// View lists the peers, and how long ago each control machine last spoke in milliseconds, for operators.
func (t *Table) View() (peers []*wire.PeerView, controllers map[string]uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Mono()
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		at := t.peers[name]
		instance := at.status.GetInstance()
		peers = append(peers, &wire.PeerView{
			Node: name, Zone: at.status.GetZone(), Service: at.status.GetService(), Instance: instance.GetId(), Absent: t.absent(at), AvoidedMs: base.Milliseconds(at.avoidUntil - now),
			Barred: at.goneInstance, Leaving: instance.GetLeaving(), Stopping: at.status.GetStopping(), Speed: at.speed, Flying: uint32(max(at.inFlight, 0)), SilenceMs: base.Milliseconds(now - at.heardAt),
		})
	}
	controllers = map[string]uint64{}
	for controller, spoke := range t.controllers {
		controllers[controller] = base.Milliseconds(now - spoke)
	}
	return peers, controllers
}

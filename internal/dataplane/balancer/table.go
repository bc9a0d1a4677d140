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
	"curlewreach/proto/wire"
)

const (
	shortestAvoid = 150 * time.Millisecond
	longestAvoid  = 2 * time.Second
	speedMemory   = 0.15
	weightFades   = 400 * time.Millisecond
	illFades      = 3 * time.Second
	sizeEvery     = 250 * time.Millisecond
)

type sighting struct {
	absent bool
}

// peer is a peer with the upstream beside it, and what this node knows of both.
type peer struct {
	nodeStatus   *wire.NodeStatus
	heard        time.Duration
	observations map[string]sighting
	flying       int
	weight       forwarding.LoadReport
	weighed      time.Duration
	atWeight     int
	speed        float64
	avoid        time.Duration
	penalty      time.Duration
	barred       string
	reached      time.Duration
}

// Table merges what the control machines say of the peers with what requests saw of them.
type Table struct {
	clock          base.Clock
	self           string
	LocalLoad      func() forwarding.LoadReport
	fresh          time.Duration
	mu             sync.Mutex
	peers          map[string]*peer
	controllers    map[string]time.Duration
	index          map[string][]string
	size           int
	sized          time.Duration
	nodesByService map[string]int // nodes of each service in this zone; replaced, never changed once it has been handed out
	counted        time.Duration
}

// NewTable believes a control machine's word on who is absent for as long as fresh after it last spoke.
func NewTable(clock base.Clock, self string, fresh time.Duration) *Table {
	return &Table{clock: clock, self: self, fresh: fresh, peers: map[string]*peer{}, controllers: map[string]time.Duration{}}
}

// Heard folds in a control machine's reports.
func (r *Table) Heard(controller string, whole bool, observations []*wire.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Mono()
	r.controllers[controller] = now
	if whole {
		for _, at := range r.peers {
			delete(at.observations, controller)
		}
	}
	for _, each := range observations {
		nodeStatus := each.GetNodeStatus()
		if nodeStatus.GetNode() == "" || nodeStatus.Node == r.self {
			continue
		}
		at := r.peer(nodeStatus.Node)
		at.observations[controller] = sighting{each.Absent}
		r.learnStatus(at, nodeStatus, now-time.Duration(each.SilenceMs)*time.Millisecond)
	}
}

// place gives the row of a node; a new one if there is none.
func (r *Table) peer(node string) *peer {
	at := r.peers[node]
	if at == nil {
		at = &peer{speed: 1, observations: map[string]sighting{}}
		r.peers[node] = at
	}
	return at
}

// learnStatus takes what a peer told of itself at some moment, unless something newer is known: a higher number of the same
// life, or a life heard of later.
func (r *Table) learnStatus(at *peer, nodeStatus *wire.NodeStatus, heard time.Duration) {
	same := at.nodeStatus.GetIncarnation() == nodeStatus.Incarnation
	if at.nodeStatus == nil || same && nodeStatus.Number > at.nodeStatus.Number || !same && heard > at.heard {
		r.replaceStatus(at, nodeStatus, !same)
	}
	at.heard = max(at.heard, heard)
}

// replaceStatus forgets what requests saw of the place if another life, or another upstream, is there.
func (r *Table) replaceStatus(at *peer, nodeStatus *wire.NodeStatus, anew bool) {
	if anew || at.nodeStatus.GetInstance().GetId() != nodeStatus.GetInstance().GetId() {
		at.weight, at.weighed, at.avoid, at.penalty, at.barred, at.reached = forwarding.LoadReport{}, 0, 0, 0, "", 0
		at.speed = 1
	}
	if at.nodeStatus.GetInstance().GetService() != nodeStatus.GetInstance().GetService() {
		r.index = nil
	}
	at.nodeStatus = nodeStatus
}

func (r *Table) absent(at *peer) bool {
	if at.nodeStatus.GetNode() == r.self {
		return false
	}
	now, said := r.clock.Mono(), false
	for controller, spoke := range r.controllers {
		if now-spoke > r.fresh {
			continue
		}
		each, knows := at.observations[controller]
		if knows && !each.absent {
			return false
		}
		said = said || knows
	}
	return said && (at.reached == 0 || now-at.reached > r.fresh)
}

// Own folds in this node's own post.
func (r *Table) Own(nodeStatus *wire.NodeStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.peer(r.self)
	r.replaceStatus(at, nodeStatus, false)
	at.heard = r.clock.Mono()
}

// Forget drops the word of a control machine that is asked no longer.
func (r *Table) Forget(controller string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.controllers, controller)
	for _, at := range r.peers {
		delete(at.observations, controller)
	}
}

// Size counts the nodes that are there.
func (r *Table) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.clock.Mono(); r.sized == 0 || now-r.sized > sizeEvery {
		r.size, r.sized = 0, now
		for _, at := range r.peers {
			if !r.absent(at) {
				r.size++
			}
		}
	}
	return max(r.size, 1)
}

// Services counts the nodes of each service in a zone. The map must not be changed.
func (r *Table) Services(zone string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Mono()
	if r.nodesByService == nil || now-r.counted > sizeEvery {
		r.nodesByService, r.counted = map[string]int{}, now
		for _, at := range r.peers {
			if at.nodeStatus.GetZone() == zone && at.nodeStatus.Service != "" {
				r.nodesByService[at.nodeStatus.Service]++
			}
		}
	}
	return r.nodesByService
}

// Sweep forgets peers that every fresh control machine has forgotten.
func (r *Table) Sweep(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, at := range r.peers {
		if at.flying == 0 && r.clock.Mono()-at.heard > after && r.absent(at) {
			delete(r.peers, name)
			r.index = nil
		}
	}
}

// Candidate is a place that may serve, with what is expected of it.
type Candidate struct {
	Node     string
	Address  string
	Instance string
	zone     string
	Free     bool
	Wait     time.Duration
	score    float64
	Avoided  bool
	ill      float64
}

func (r *Table) indexed() map[string][]string {
	if r.index == nil {
		r.index = map[string][]string{}
		for _, name := range slices.Sorted(maps.Keys(r.peers)) {
			if instance := r.peers[name].nodeStatus.GetInstance(); instance != nil {
				r.index[instance.Service] = append(r.index[instance.Service], name)
			}
		}
	}
	return r.index
}

func (r *Table) serving(service string) iter.Seq2[string, *peer] {
	return func(yield func(string, *peer) bool) {
		for _, name := range r.indexed()[service] {
			at := r.peers[name]
			instance := at.nodeStatus.GetInstance()
			if instance == nil || instance.Service != service || instance.Leaving || at.nodeStatus.Stopping || at.barred == instance.Id || r.absent(at) {
				continue
			}
			if !yield(name, at) {
				return
			}
		}
	}
}

func (at *peer) guess(now time.Duration) (flying float64, limit int) {
	limit = max(int(at.nodeStatus.GetInstance().GetCapacity()), 1)
	others := 0.0
	if at.weighed > 0 {
		others = float64(max(at.weight.InFlight+at.weight.Waiting-at.atWeight, 0))
		if age := now - at.weighed; age > weightFades {
			others *= float64(weightFades) / float64(age)
		}
	}
	return others + float64(at.flying), limit
}

const (
	farZone    = 0.8
	filling    = 0.35
	jitter     = 0.1
	warmFactor = 2
	topWait    = 0.5
	// avoidedScore puts a place that could not be reached lately behind all others.
	avoidedScore = 100
)

// Options lists who may serve, the best first.
func (r *Table) Candidates(service, zone string, rank int, hold time.Duration, tried func(node string) bool, rand *base.Rand) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Mono()
	var options []Candidate
	for name, at := range r.serving(service) {
		if tried(name) {
			continue
		}
		if name == r.self && r.LocalLoad != nil {
			at.weight, at.weighed, at.atWeight = r.LocalLoad(), now, at.flying
		}
		o := at.option(name, now)
		flying, limit := at.guess(now)
		if over := flying + 1 - float64(limit); over > 0 {
			o.Free, o.Wait = false, at.waitFor(over/float64(limit), rank, hold, now)
		}
		o.score = at.latency(now)*(1+filling*min(flying/float64(limit), 1)) + jitter*rand.Float64() + float64(o.Wait)/float64(max(hold, time.Millisecond))
		if at.nodeStatus.Zone != zone {
			o.score += farZone
		}
		if o.Avoided {
			o.score += avoidedScore + (at.avoid - now).Seconds()
		}
		options = append(options, o)
	}
	weighIlls(options)
	slices.SortFunc(options, func(a, b Candidate) int { return cmp.Compare(a.score, b.score) })
	return options
}

// option tells of a place what doesn't depend on the request.
func (at *peer) option(name string, now time.Duration) Candidate {
	o := Candidate{Node: name, Address: at.nodeStatus.Inward, Instance: at.nodeStatus.Instance.Id, zone: at.nodeStatus.Zone, Free: true, Avoided: now < at.avoid}
	if o.ill = float64(at.weight.FailurePercent) / 100; now-at.weighed > illFades {
		o.ill *= float64(illFades) / float64(now-at.weighed)
	}
	return o
}

// latency is how long the place takes beside the usual; more while its upstream warms up.
func (at *peer) latency(now time.Duration) float64 {
	if now < at.heard+time.Duration(at.nodeStatus.Instance.WarmMs)*time.Millisecond {
		return at.speed * warmFactor
	}
	return at.speed
}

// waitFor guesses how long a request waits at a full place; share is the part of the upstream's slots that must come
// free before. hold is how long such requests take.
func (at *peer) waitFor(share float64, rank int, hold, now time.Duration) time.Duration {
	turn := hold
	if at.weight.HoldMs > 0 {
		turn = time.Duration(at.weight.HoldMs) * time.Millisecond
	}
	wait := time.Duration(share * float64(turn))
	switch {
	case rank <= admission.UrgentRank:
		return time.Duration(topWait * float64(wait))
	case now-at.weighed < weightFades:
		return max(wait, time.Duration(at.weight.RestMs)*time.Millisecond)
	}
	return wait
}

// weighIlls puts places back that fail more often than the best one.
func weighIlls(options []Candidate) {
	least := 1.0
	for _, o := range options {
		least = min(least, o.ill)
	}
	for i := range options {
		options[i].score += illWeight * (options[i].ill - least)
	}
}

// Start notes a request on its way to a place.
func (r *Table) Start(node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := r.peers[node]; at != nil {
		at.flying++
	}
}

// End notes how an attempt went: what its admission queue said, and how it took beside what such requests take.
func (r *Table) End(node string, weight *forwarding.LoadReport, took, usual time.Duration, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.peers[node]
	if at == nil {
		return
	}
	at.flying = max(at.flying-1, 0)
	if weight != nil {
		at.weight, at.weighed, at.atWeight = *weight, r.clock.Mono(), at.flying
		at.avoid, at.penalty, at.reached = 0, 0, r.clock.Mono()
	}
	if good && usual > 0 {
		ratio := min(max(took.Seconds()/usual.Seconds(), 0.2), 5)
		at.speed += speedMemory * (ratio - at.speed)
		at.speed = min(max(at.speed, 0.3), 4)
	}
}

// Avoid steers clear of a peer that could not be reached, for longer each time, up to two seconds.
func (r *Table) Avoid(node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := r.peers[node]; at != nil {
		at.penalty = min(max(2*at.penalty, shortestAvoid), longestAvoid)
		at.avoid, at.reached = r.clock.Mono()+at.penalty, 0
	}
}

// Bar notes that an instance is no longer there or is leaving.
func (r *Table) Bar(node, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := r.peers[node]; at != nil && at.nodeStatus.GetInstance().GetId() == instance {
		at.barred = instance
	}
}

// Incarnation names the life that a peer is known to be in.
func (r *Table) Incarnation(node string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := r.peers[node]; at != nil {
		return at.nodeStatus.GetIncarnation()
	}
	return ""
}

// NodeStatuses lists the peers as last heard.
func (r *Table) NodeStatuses() []*wire.NodeStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var nodeStatuses []*wire.NodeStatus
	for _, name := range slices.Sorted(maps.Keys(r.peers)) {
		nodeStatuses = append(nodeStatuses, r.peers[name].nodeStatus)
	}
	return nodeStatuses
}

// Candidate finds one place, however full.
func (r *Table) Candidate(node, service string) (Candidate, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, at := range r.serving(service) {
		if name == node {
			return Candidate{Node: name, Address: at.nodeStatus.Inward, Instance: at.nodeStatus.Instance.Id, zone: at.nodeStatus.Zone}, true
		}
	}
	return Candidate{}, false
}

// View lists the peers, and how long ago each control machine last spoke in milliseconds, for operators.
func (r *Table) View() (peers []*wire.PeerView, controllers map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Mono()
	for _, name := range slices.Sorted(maps.Keys(r.peers)) {
		at := r.peers[name]
		instance := at.nodeStatus.GetInstance()
		peers = append(peers, &wire.PeerView{
			Node: name, Zone: at.nodeStatus.GetZone(), Service: at.nodeStatus.GetService(), Instance: instance.GetId(), Absent: r.absent(at), AvoidedMs: base.Milliseconds(at.avoid - now),
			Barred: at.barred, Leaving: instance.GetLeaving(), Stopping: at.nodeStatus.GetStopping(), Speed: at.speed, Flying: uint32(max(at.flying, 0)), SilenceMs: base.Milliseconds(now - at.heard),
		})
	}
	controllers = map[string]uint64{}
	for controller, spoke := range r.controllers {
		controllers[controller] = base.Milliseconds(now - spoke)
	}
	return peers, controllers
}

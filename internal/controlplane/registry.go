package controlplane

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

const (
	entriesMost          = 4096
	nodeStatusMost       = 4 << 10
	pastIncarnationsMost = 4
	forgetAfter          = time.Minute
	notifyDelayLeast     = 10 * time.Millisecond
	notifyDelayEach      = 400 * time.Microsecond
	notifyDelayMost      = 60 * time.Millisecond
	missedTicks          = 3
)

// nodeEntry is what the registry holds of one node.
type nodeEntry struct {
	nodeStatus       *wire.NodeStatus
	pastIncarnations []string
	heardAt          time.Duration
	absent           bool
	revision         uint64
}

// registry knows the nodes that poll this control machine. It is safe for concurrent use.
type registry struct {
	clock         base.Clock
	mu            sync.Mutex
	entries       map[string]*nodeEntry
	revision      uint64
	steadySince   time.Duration
	sweptAt       time.Duration
	notifyPending bool
	changed       base.Broadcast
}

func newRegistry(clock base.Clock) *registry {
	return &registry{clock: clock, entries: map[string]*nodeEntry{}, steadySince: clock.Mono(), sweptAt: clock.Mono()}
}

// update takes what a node tells of itself; back says that it had been absent. Late messages change nothing.
func (r *registry) update(nodeStatus *wire.NodeStatus) (back bool) {
	if nodeStatus.GetNode() == "" || proto.Size(nodeStatus) > nodeStatusMost {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at, changed := r.entries[nodeStatus.Node], false
	switch {
	case at == nil:
		if !r.makeRoom() {
			return false
		}
		at, changed = &nodeEntry{}, true
		r.entries[nodeStatus.Node] = at
	case at.nodeStatus.Incarnation == nodeStatus.Incarnation:
		if nodeStatus.Number < at.nodeStatus.Number {
			return false
		}
	case slices.Contains(at.pastIncarnations, nodeStatus.Incarnation):
		return false
	default:
		at.pastIncarnations = append(at.pastIncarnations, at.nodeStatus.Incarnation)
		at.pastIncarnations = at.pastIncarnations[max(0, len(at.pastIncarnations)-pastIncarnationsMost):]
	}
	back = at.absent
	changed = changed || back || !sameStatus(at.nodeStatus, nodeStatus)
	at.nodeStatus, at.heardAt, at.absent = nodeStatus, r.clock.Mono(), false
	if changed {
		r.markChanged(at)
	}
	return back
}

// sameStatus tells whether nothing has changed that other nodes want to know.
func sameStatus(a, b *wire.NodeStatus) bool {
	return a.Incarnation == b.Incarnation && a.Inward == b.Inward && a.Zone == b.Zone && a.Service == b.Service && a.Stopping == b.Stopping &&
		(a.Instance == nil) == (b.Instance == nil) && a.Instance.GetId() == b.Instance.GetId() && a.Instance.GetService() == b.Instance.GetService() &&
		a.Instance.GetAddress() == b.Instance.GetAddress() && a.Instance.GetZone() == b.Instance.GetZone() &&
		a.Instance.GetCapacity() == b.Instance.GetCapacity() && a.Instance.GetLeaving() == b.Instance.GetLeaving()
}

// makeRoom forgets the node absent for the longest time if the registry is full; false if none is absent.
func (r *registry) makeRoom() bool {
	if len(r.entries) < entriesMost {
		return true
	}
	oldest := ""
	for node, each := range r.entries {
		if each.absent && (oldest == "" || each.heardAt < r.entries[oldest].heardAt) {
			oldest = node
		}
	}
	delete(r.entries, oldest)
	return oldest != ""
}

// markChanged gives an entry the next revision and wakes the polls after a short delay, so that changes go out
// together.
func (r *registry) markChanged(at *nodeEntry) {
	r.revision++
	at.revision = r.revision
	if r.notifyPending {
		return
	}
	r.notifyPending = true
	time.AfterFunc(min(notifyDelayLeast+time.Duration(len(r.entries))*notifyDelayEach, notifyDelayMost), func() {
		r.mu.Lock()
		r.notifyPending = false
		r.mu.Unlock()
		r.changed.Notify()
	})
}

// expire marks nodes absent that have been silent for too long and forgets those absent for minutes. A standstill of
// this machine counts for nothing.
func (r *registry) expire(absent time.Duration) (gone []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Mono()
	if now-r.sweptAt > missedTicks*absent/absentTicks {
		r.steadySince = now
	}
	r.sweptAt = now
	for node, each := range r.entries {
		switch silence := now - max(each.heardAt, r.steadySince); {
		case !each.absent && silence > absent:
			each.absent = true
			r.markChanged(each)
			gone = append(gone, node)
		case each.absent && now-each.heardAt > forgetAfter:
			delete(r.entries, node)
		}
	}
	slices.Sort(gone)
	return gone
}

// since returns what has changed after a revision, or everything, but for one node, with the newest revision.
func (r *registry) since(serial uint64, whole bool, but string) (observations []*wire.Observation, newest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !whole && serial == r.revision {
		return nil, serial
	}
	now := r.clock.Mono()
	for node, each := range r.entries {
		if node != but && (whole || each.revision > serial) {
			observations = append(observations, &wire.Observation{NodeStatus: each.nodeStatus, SilenceMs: uint64((now - each.heardAt).Milliseconds()), Absent: each.absent})
		}
	}
	slices.SortFunc(observations, func(a, b *wire.Observation) int { return cmp.Compare(a.NodeStatus.Node, b.NodeStatus.Node) })
	return observations, r.revision
}

func (r *registry) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

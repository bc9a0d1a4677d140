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
	// maxEntries and maxNodeStatusBytes bound the memory of the registry. A larger status is ignored, and so is a new
	// node while the registry is full and no node in it is absent.
	maxEntries         = 4096
	maxNodeStatusBytes = 4 << 10
	// maxPastIncarnations is how many earlier incarnations of a node are remembered, to ignore late messages of theirs.
	maxPastIncarnations = 4
	// forgetAfter is the silence after which an absent node is dropped.
	forgetAfter = time.Minute
	// A notification of changes is delayed by minNotifyDelay and notifyDelayPerNode for each node, at most by
	// maxNotifyDelay: the more nodes poll, the more a notification costs and the more changes it should cover.
	minNotifyDelay     = 10 * time.Millisecond
	notifyDelayPerNode = 400 * time.Microsecond
	maxNotifyDelay     = 60 * time.Millisecond
	// maxMissedChecks is by how many check intervals two checks may be apart before this machine is considered to have
	// stalled.
	maxMissedChecks = 3
)

// nodeEntry is what the registry holds of one node.
type nodeEntry struct {
	status           *wire.NodeStatus
	pastIncarnations []string
	heardAt          time.Duration
	absent           bool
	revision         uint64
}

// registry tracks the nodes that poll this control machine. It is safe for concurrent use.
type registry struct {
	clock         base.Clock
	mu            sync.Mutex
	entries       map[string]*nodeEntry
	revision      uint64
	resumedAt     time.Duration
	checkedAt     time.Duration
	notifyPending bool
	changed       base.Broadcast
}

func newRegistry(clock base.Clock) *registry {
	return &registry{clock: clock, entries: map[string]*nodeEntry{}, resumedAt: clock.Mono(), checkedAt: clock.Mono()}
}

// update stores the status that a node reports; returned says that the node had been absent. Statuses that are
// late, of an earlier incarnation or too large are ignored.
func (r *registry) update(status *wire.NodeStatus) (returned bool) {
	if status.GetNode() == "" || proto.Size(status) > maxNodeStatusBytes {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, changed := r.entries[status.Node], false
	switch {
	case entry == nil:
		if !r.evictIfFull() {
			return false
		}
		entry, changed = &nodeEntry{}, true
		r.entries[status.Node] = entry
	case entry.status.Incarnation == status.Incarnation:
		if status.Number < entry.status.Number {
			return false
		}
	case slices.Contains(entry.pastIncarnations, status.Incarnation):
		return false
	default:
		entry.pastIncarnations = append(entry.pastIncarnations, entry.status.Incarnation)
		entry.pastIncarnations = entry.pastIncarnations[max(0, len(entry.pastIncarnations)-maxPastIncarnations):]
	}
	returned = entry.absent
	changed = changed || returned || !sameStatus(entry.status, status)
	entry.status, entry.heardAt, entry.absent = status, r.clock.Mono(), false
	if changed {
		r.markChanged(entry)
	}
	return returned
}

// sameStatus reports whether two statuses agree in everything that matters to other nodes.
func sameStatus(a, b *wire.NodeStatus) bool {
	return a.Incarnation == b.Incarnation && a.Inward == b.Inward && a.Zone == b.Zone && a.Service == b.Service && a.Stopping == b.Stopping &&
		(a.Instance == nil) == (b.Instance == nil) && a.Instance.GetId() == b.Instance.GetId() && a.Instance.GetService() == b.Instance.GetService() &&
		a.Instance.GetAddress() == b.Instance.GetAddress() && a.Instance.GetZone() == b.Instance.GetZone() &&
		a.Instance.GetCapacity() == b.Instance.GetCapacity() && a.Instance.GetLeaving() == b.Instance.GetLeaving()
}

// evictIfFull makes room for one more node. If the registry is full it drops the node that has been silent longest
// among the absent ones, and returns false if none is absent.
func (r *registry) evictIfFull() bool {
	if len(r.entries) < maxEntries {
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

// markChanged gives an entry the next revision and wakes the polls after a short delay, so that one notification
// covers several changes.
func (r *registry) markChanged(entry *nodeEntry) {
	r.revision++
	entry.revision = r.revision
	if r.notifyPending {
		return
	}
	r.notifyPending = true
	time.AfterFunc(min(minNotifyDelay+time.Duration(len(r.entries))*notifyDelayPerNode, maxNotifyDelay), func() {
		r.mu.Lock()
		r.notifyPending = false
		r.mu.Unlock()
		r.changed.Notify()
	})
}

// expire marks nodes absent that have been silent for longer than the given time, drops absent nodes after
// forgetAfter, and returns the nodes newly absent, sorted. If this machine itself was stalled, silence counts only
// from the end of the stall.
func (r *registry) expire(absent time.Duration) (expired []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Mono()
	if now-r.checkedAt > maxMissedChecks*absent/expiryChecks {
		r.resumedAt = now
	}
	r.checkedAt = now
	for node, each := range r.entries {
		switch silence := now - max(each.heardAt, r.resumedAt); {
		case !each.absent && silence > absent:
			each.absent = true
			r.markChanged(each)
			expired = append(expired, node)
		case each.absent && now-each.heardAt > forgetAfter:
			delete(r.entries, node)
		}
	}
	slices.Sort(expired)
	return expired
}

// changedSince returns the nodes that have changed after a revision, or all of them, without the node except; with
// it comes the newest revision.
func (r *registry) changedSince(revision uint64, all bool, except string) (observations []*wire.Observation, newest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !all && revision == r.revision {
		return nil, revision
	}
	now := r.clock.Mono()
	for node, each := range r.entries {
		if node != except && (all || each.revision > revision) {
			observations = append(observations, &wire.Observation{NodeStatus: each.status, SilenceMs: uint64((now - each.heardAt).Milliseconds()), Absent: each.absent})
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

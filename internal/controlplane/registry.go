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
	rowsMost       = 4096
	nodeStatusMost = 4 << 10
	formerMost     = 4
	forgetAfter    = time.Minute
	gatherLeast    = 10 * time.Millisecond
	gatherEach     = 400 * time.Microsecond
	gatherMost     = 60 * time.Millisecond
	starvedTicks   = 3
)

type row struct {
	nodeStatus *wire.NodeStatus
	former     []string
	at         time.Duration
	absent     bool
	news       uint64
}

type registry struct {
	clock   base.Clock
	mu      sync.Mutex
	rows    map[string]*row
	serial  uint64
	calm    time.Duration
	swept   time.Duration
	ringing bool
	bell    base.Bell
}

func newRegistry(clock base.Clock) *registry {
	return &registry{clock: clock, rows: map[string]*row{}, calm: clock.Mono(), swept: clock.Mono()}
}

func (r *registry) hear(nodeStatus *wire.NodeStatus) (back bool) {
	if nodeStatus.GetNode() == "" || proto.Size(nodeStatus) > nodeStatusMost {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at, changed := r.rows[nodeStatus.Node], false
	switch {
	case at == nil:
		if !r.room() {
			return false
		}
		at, changed = &row{}, true
		r.rows[nodeStatus.Node] = at
	case at.nodeStatus.Incarnation == nodeStatus.Incarnation:
		if nodeStatus.Number < at.nodeStatus.Number {
			return false
		}
	case slices.Contains(at.former, nodeStatus.Incarnation):
		return false
	default:
		at.former = append(at.former, at.nodeStatus.Incarnation)
		at.former = at.former[max(0, len(at.former)-formerMost):]
	}
	back = at.absent
	changed = changed || back || !alike(at.nodeStatus, nodeStatus)
	at.nodeStatus, at.at, at.absent = nodeStatus, r.clock.Mono(), false
	if changed {
		r.bump(at)
	}
	return back
}

func alike(a, b *wire.NodeStatus) bool {
	return a.Incarnation == b.Incarnation && a.Inward == b.Inward && a.Zone == b.Zone && a.Service == b.Service && a.Stopping == b.Stopping &&
		(a.Instance == nil) == (b.Instance == nil) && a.Instance.GetId() == b.Instance.GetId() && a.Instance.GetService() == b.Instance.GetService() &&
		a.Instance.GetAddress() == b.Instance.GetAddress() && a.Instance.GetZone() == b.Instance.GetZone() &&
		a.Instance.GetCapacity() == b.Instance.GetCapacity() && a.Instance.GetLeaving() == b.Instance.GetLeaving()
}

func (r *registry) room() bool {
	if len(r.rows) < rowsMost {
		return true
	}
	oldest := ""
	for node, each := range r.rows {
		if each.absent && (oldest == "" || each.at < r.rows[oldest].at) {
			oldest = node
		}
	}
	delete(r.rows, oldest)
	return oldest != ""
}

func (r *registry) bump(at *row) {
	r.serial++
	at.news = r.serial
	if r.ringing {
		return
	}
	r.ringing = true
	time.AfterFunc(min(gatherLeast+time.Duration(len(r.rows))*gatherEach, gatherMost), func() {
		r.mu.Lock()
		r.ringing = false
		r.mu.Unlock()
		r.bell.Ring()
	})
}

func (r *registry) sweep(absent time.Duration) (gone []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Mono()
	if now-r.swept > starvedTicks*absent/absentTicks {
		r.calm = now
	}
	r.swept = now
	for node, each := range r.rows {
		switch silence := now - max(each.at, r.calm); {
		case !each.absent && silence > absent:
			each.absent = true
			r.bump(each)
			gone = append(gone, node)
		case each.absent && now-each.at > forgetAfter:
			delete(r.rows, node)
		}
	}
	slices.Sort(gone)
	return gone
}

func (r *registry) since(serial uint64, whole bool, but string) (observations []*wire.Observation, newest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !whole && serial == r.serial {
		return nil, serial
	}
	now := r.clock.Mono()
	for node, each := range r.rows {
		if node != but && (whole || each.news > serial) {
			observations = append(observations, &wire.Observation{NodeStatus: each.nodeStatus, SilenceMs: uint64((now - each.at).Milliseconds()), Absent: each.absent})
		}
	}
	slices.SortFunc(observations, func(a, b *wire.Observation) int { return cmp.Compare(a.NodeStatus.Node, b.NodeStatus.Node) })
	return observations, r.serial
}

func (r *registry) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.rows)
}

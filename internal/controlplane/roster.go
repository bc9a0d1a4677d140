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
	rowsMost     = 4096
	postMost     = 4 << 10
	formerMost   = 4
	forgetAfter  = time.Minute
	gatherLeast  = 10 * time.Millisecond
	gatherEach   = 400 * time.Microsecond
	gatherMost   = 60 * time.Millisecond
	starvedTicks = 3
)

type row struct {
	post   *wire.Post
	former []string
	at     time.Duration
	absent bool
	news   uint64
}

type roster struct {
	clock   base.Clock
	mu      sync.Mutex
	rows    map[string]*row
	serial  uint64
	calm    time.Duration
	swept   time.Duration
	ringing bool
	bell    base.Bell
}

func newRoster(clock base.Clock) *roster {
	return &roster{clock: clock, rows: map[string]*row{}, calm: clock.Mono(), swept: clock.Mono()}
}

func (r *roster) hear(post *wire.Post) (back bool) {
	if post.GetNode() == "" || proto.Size(post) > postMost {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at, changed := r.rows[post.Node], false
	switch {
	case at == nil:
		if !r.room() {
			return false
		}
		at, changed = &row{}, true
		r.rows[post.Node] = at
	case at.post.Incarnation == post.Incarnation:
		if post.Number < at.post.Number {
			return false
		}
	case slices.Contains(at.former, post.Incarnation):
		return false
	default:
		at.former = append(at.former, at.post.Incarnation)
		at.former = at.former[max(0, len(at.former)-formerMost):]
	}
	back = at.absent
	changed = changed || back || !alike(at.post, post)
	at.post, at.at, at.absent = post, r.clock.Mono(), false
	if changed {
		r.bump(at)
	}
	return back
}

func alike(a, b *wire.Post) bool {
	return a.Incarnation == b.Incarnation && a.Inward == b.Inward && a.Zone == b.Zone && a.Service == b.Service && a.Stopping == b.Stopping &&
		(a.Berth == nil) == (b.Berth == nil) && a.Berth.GetId() == b.Berth.GetId() && a.Berth.GetService() == b.Berth.GetService() &&
		a.Berth.GetAddress() == b.Berth.GetAddress() && a.Berth.GetZone() == b.Berth.GetZone() &&
		a.Berth.GetCapacity() == b.Berth.GetCapacity() && a.Berth.GetLeaving() == b.Berth.GetLeaving()
}

func (r *roster) room() bool {
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

func (r *roster) bump(at *row) {
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

func (r *roster) sweep(absent time.Duration) (gone []string) {
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

func (r *roster) since(serial uint64, whole bool, but string) (sights []*wire.Sight, newest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !whole && serial == r.serial {
		return nil, serial
	}
	now := r.clock.Mono()
	for node, each := range r.rows {
		if node != but && (whole || each.news > serial) {
			sights = append(sights, &wire.Sight{Post: each.post, SilenceMs: uint64((now - each.at).Milliseconds()), Absent: each.absent})
		}
	}
	slices.SortFunc(sights, func(a, b *wire.Sight) int { return cmp.Compare(a.Post.Node, b.Post.Node) })
	return sights, r.serial
}

func (r *roster) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.rows)
}

package membership

import (
	"iter"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// The standings of a machine, by how long it was silent.
const (
	// Alive is a machine that was heard within lateBeats heartbeats.
	Alive = "well"
	// Late is a machine silent for more than lateBeats.
	Late = "late"
	// Absent is a machine silent for more than absentBeats, or never heard.
	Absent = "absent"
)

const (
	// lateBeats and absentBeats are the silences, in heartbeats, after which a
	// machine is Late and Absent. A single heartbeat lost in between changes
	// nothing.
	lateBeats   = 3
	absentBeats = 5
	// lastBorn is the number of ended incarnations remembered for each machine,
	// so that messages of theirs that come late are ignored.
	lastBorn = 16
	// drift is how much faster or slower one clock may run than another, as a
	// ratio (200 parts per million).
	drift = 0.0002
	// mostPeers bounds the machines in view, against names made up.
	mostPeers = 4096
	// forgotten is after how many times the Absent silence a machine is dropped
	// from the view.
	forgotten = 60
)

type peer struct {
	status *wire.Roster
	heard  time.Duration
	offset time.Duration
	tuned  time.Duration
	gone   []string
	risen  uint64
}

// View is what a machine knows of all, by what it heard of them directly or
// through others. It is safe for concurrent use.
type View struct {
	scope  base.Scope
	late   time.Duration
	absent time.Duration
	mu     sync.Mutex
	peers  map[string]*peer
	serial uint64
	bell   base.Broadcast
	last   map[string]string
}

// NewView returns an empty view, whose standings follow from the interval
// between heartbeats.
func NewView(s base.Scope, beat time.Duration) *View {
	return &View{scope: s, late: lateBeats * beat, absent: absentBeats * beat, peers: map[string]*peer{}, last: map[string]string{}}
}

// Changed returns a channel that closes at the next change.
func (v *View) Changed() <-chan struct{} { return v.bell.Next() }

// Observe takes in what a machine told of itself so long ago.
func (v *View) Observe(status *wire.Roster, silence time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.peers[status.Node]
	if known == nil {
		if len(v.peers) >= mostPeers {
			return
		}
		known = &peer{}
		v.peers[status.Node] = known
		v.scope.Record("mate", status.Node, "first heard")
	}
	if slices.Contains(known.gone, status.Incarnation) {
		return
	}
	if known.status != nil && known.status.Incarnation != status.Incarnation {
		known.gone = append(known.gone, known.status.Incarnation)
		if len(known.gone) > lastBorn {
			known.gone = known.gone[1:]
		}
		known.status = nil
		known.heard = 0
		v.scope.Record("mate", status.Node, "born again")
	}
	now := v.scope.Clock.Mono()
	known.heard = max(known.heard, now-silence)
	offset := time.Duration(status.ClockUs)*time.Microsecond - now
	if known.status == nil {
		known.offset, known.tuned = offset, now
	}
	known.offset = max(offset, known.offset-time.Duration(drift*float64(now-known.tuned)))
	known.tuned = now
	if known.status == nil || status.Serial > known.status.Serial {
		known.status = status
		v.markChanged(known)
	}
	if v.last[status.Node] != v.refreshStanding(known) {
		v.last[status.Node] = v.refreshStanding(known)
		v.scope.Record("standing", status.Node, v.last[status.Node])
		v.markChanged(known)
	}
}

func (v *View) markChanged(known *peer) {
	v.serial++
	known.risen = v.serial
	v.bell.Notify()
}

func (v *View) refreshStanding(m *peer) string {
	silence := v.scope.Clock.Mono() - m.heard
	switch {
	case silence > v.absent:
		return Absent
	case silence > v.late:
		return Late
	}
	return Alive
}

// RefreshStandings renews the standings and forgets machines long silent. It is called
// regularly.
func (v *View) RefreshStandings() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, each := range v.peers {
		if v.scope.Clock.Mono()-each.heard > forgotten*v.absent {
			delete(v.peers, name)
			delete(v.last, name)
			continue
		}
		if standing := v.refreshStanding(each); standing != v.last[name] {
			v.last[name] = standing
			v.scope.Record("standing", name, standing)
			v.markChanged(each)
		}
	}
}

// Len returns the number of machines in view.
func (v *View) Len() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.peers)
}

// Serial returns the number of the newest change.
func (v *View) Serial() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.serial
}

// All iterates over copies of all that is known, in the order of names.
func (v *View) All() iter.Seq[*wire.Sighting] { return v.Since(0) }

// Since iterates over copies of what changed after the serial number, in the
// order of names. The clock readings are reckoned on to now.
func (v *View) Since(serial uint64) iter.Seq[*wire.Sighting] {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.scope.Clock.Mono()
	sightings := make([]*wire.Sighting, 0, len(v.peers))
	for _, each := range v.peers {
		if each.status == nil || each.risen <= serial {
			continue
		}
		status := proto.Clone(each.status).(*wire.Roster)
		status.ClockUs = (now + each.offset).Microseconds()
		sightings = append(sightings, &wire.Sighting{Roster: status, Standing: v.refreshStanding(each), SilenceUs: uint64((now - each.heard).Microseconds())})
	}
	slices.SortFunc(sightings, func(a, b *wire.Sighting) int { return strings.Compare(a.Roster.Node, b.Roster.Node) })
	return slices.Values(sightings)
}

// Standing returns a machine's standing: Well, Late or Absent.
func (v *View) Standing(node string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.peers[node]; known != nil {
		return v.refreshStanding(known)
	}
	return Absent
}

// FilterServices returns a copy of a sighting that has only the instances of the
// services of concern.
func FilterServices(sighting *wire.Sighting, concerns func(service string) bool) *wire.Sighting {
	narrowed := proto.Clone(sighting).(*wire.Sighting)
	narrowed.Roster.Seats = slices.DeleteFunc(narrowed.Roster.Seats, func(seat *wire.Seat) bool { return !concerns(seat.Service) })
	return narrowed
}

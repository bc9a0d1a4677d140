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
	// maxEndedIncarnations is the number of ended incarnations remembered for each machine,
	// so that messages of theirs that come late are ignored.
	maxEndedIncarnations = 16
	// maxClockDrift is how much faster or slower one clock may run than another, as a
	// ratio (200 parts per million).
	maxClockDrift = 0.0002
	// maxPeers bounds the machines in view, against names made up.
	maxPeers = 4096
	// forgetFactor is after how many times the Absent silence a machine is dropped
	// from the view.
	forgetFactor = 60
)

type peer struct {
	status            *wire.Roster
	lastHeard         time.Duration
	clockOffset       time.Duration
	offsetUpdated     time.Duration
	endedIncarnations []string
	changeSerial      uint64
}

// View is what a machine knows of all, by what it heard of them directly or
// through others. It is safe for concurrent use.
type View struct {
	scope         base.Scope
	lateAfter     time.Duration
	absentAfter   time.Duration
	mu            sync.Mutex
	peers         map[string]*peer
	serial        uint64
	changed       base.Broadcast
	lastStandings map[string]string
}

// NewView returns an empty view, whose standings follow from the interval
// between heartbeats.
func NewView(s base.Scope, heartbeatInterval time.Duration) *View {
	return &View{scope: s, lateAfter: lateBeats * heartbeatInterval, absentAfter: absentBeats * heartbeatInterval, peers: map[string]*peer{}, lastStandings: map[string]string{}}
}

// Changed returns a channel that closes at the next change.
func (v *View) Changed() <-chan struct{} { return v.changed.Next() }

// Observe takes in what a machine told of itself so long ago.
func (v *View) Observe(status *wire.Roster, silence time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.peers[status.Node]
	if known == nil {
		if len(v.peers) >= maxPeers {
			return
		}
		known = &peer{}
		v.peers[status.Node] = known
		v.scope.Record("mate", status.Node, "first heard")
	}
	if slices.Contains(known.endedIncarnations, status.Incarnation) {
		return
	}
	if known.status != nil && known.status.Incarnation != status.Incarnation {
		known.endedIncarnations = append(known.endedIncarnations, known.status.Incarnation)
		if len(known.endedIncarnations) > maxEndedIncarnations {
			known.endedIncarnations = known.endedIncarnations[1:]
		}
		known.status = nil
		known.lastHeard = 0
		v.scope.Record("mate", status.Node, "born again")
	}
	now := v.scope.Clock.Mono()
	known.lastHeard = max(known.lastHeard, now-silence)
	offset := time.Duration(status.ClockUs)*time.Microsecond - now
	if known.status == nil {
		known.clockOffset, known.offsetUpdated = offset, now
	}
	known.clockOffset = max(offset, known.clockOffset-time.Duration(maxClockDrift*float64(now-known.offsetUpdated)))
	known.offsetUpdated = now
	if known.status == nil || status.Serial > known.status.Serial {
		known.status = status
		v.markChanged(known)
	}
	if v.lastStandings[status.Node] != v.standingOf(known) {
		v.lastStandings[status.Node] = v.standingOf(known)
		v.scope.Record("standing", status.Node, v.lastStandings[status.Node])
		v.markChanged(known)
	}
}

func (v *View) markChanged(known *peer) {
	v.serial++
	known.changeSerial = v.serial
	v.changed.Notify()
}

func (v *View) standingOf(p *peer) string {
	silence := v.scope.Clock.Mono() - p.lastHeard
	switch {
	case silence > v.absentAfter:
		return Absent
	case silence > v.lateAfter:
		return Late
	}
	return Alive
}

// RefreshStandings renews the standings and forgets machines long silent. It is called
// regularly.
func (v *View) RefreshStandings() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, known := range v.peers {
		if v.scope.Clock.Mono()-known.lastHeard > forgetFactor*v.absentAfter {
			delete(v.peers, name)
			delete(v.lastStandings, name)
			continue
		}
		if standing := v.standingOf(known); standing != v.lastStandings[name] {
			v.lastStandings[name] = standing
			v.scope.Record("standing", name, standing)
			v.markChanged(known)
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
	for _, known := range v.peers {
		if known.status == nil || known.changeSerial <= serial {
			continue
		}
		status := proto.Clone(known.status).(*wire.Roster)
		status.ClockUs = (now + known.clockOffset).Microseconds()
		sightings = append(sightings, &wire.Sighting{Roster: status, Standing: v.standingOf(known), SilenceUs: uint64((now - known.lastHeard).Microseconds())})
	}
	slices.SortFunc(sightings, func(a, b *wire.Sighting) int { return strings.Compare(a.Roster.Node, b.Roster.Node) })
	return slices.Values(sightings)
}

// Standing returns a machine's standing: Well, Late or Absent.
func (v *View) Standing(node string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.peers[node]; known != nil {
		return v.standingOf(known)
	}
	return Absent
}

// FilterServices returns a copy of a sighting that has only the instances of the
// services of concern.
func FilterServices(sighting *wire.Sighting, wanted func(service string) bool) *wire.Sighting {
	narrowed := proto.Clone(sighting).(*wire.Sighting)
	narrowed.Roster.Seats = slices.DeleteFunc(narrowed.Roster.Seats, func(seat *wire.Seat) bool { return !wanted(seat.Service) })
	return narrowed
}

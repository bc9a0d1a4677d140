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

// The standings of a machine, by the time since it was last heard from. The
// values are sent on the wire.
const (
	// Alive is the standing of a machine heard from within lateBeats heartbeat
	// intervals.
	Alive = "well"
	// Late is the standing of a machine not heard from for more than lateBeats
	// intervals.
	Late = "late"
	// Absent is the standing of a machine not heard from for more than
	// absentBeats intervals, or never.
	Absent = "absent"
)

const (
	// lateBeats and absentBeats are the numbers of heartbeat intervals after
	// which a silent machine is Late or Absent. The loss of a single heartbeat
	// does not change a machine's standing.
	lateBeats   = 3
	absentBeats = 5
	// maxEndedIncarnations is the number of previous incarnations remembered for
	// each machine, so that their delayed messages are ignored.
	maxEndedIncarnations = 16
	// maxClockDrift is the maximum difference in rate between two clocks, as a
	// ratio (200 parts per million).
	maxClockDrift = 0.0002
	// maxPeers bounds the number of machines in a view, as protection against
	// messages with invented names.
	maxPeers = 4096
	// forgetFactor is the silence after which a machine is removed from the view,
	// as a multiple of the silence after which it is Absent.
	forgetFactor = 60
)

// peer is what a view holds of one machine. All times are readings of this
// machine's monotonic clock.
type peer struct {
	// status is the newest status, nil until one is received.
	status *wire.Roster
	// lastHeard is when the newest known message of the machine was received.
	lastHeard time.Duration
	// clockOffset estimates the machine's clock minus this machine's. A message's
	// delay makes an offset computed from it too small, so the largest is kept,
	// lowered by the possible drift since then.
	clockOffset   time.Duration
	offsetUpdated time.Duration
	// endedIncarnations are previous incarnations, the oldest first.
	endedIncarnations []string
	// changeSerial is the view's serial at the machine's last change.
	changeSerial uint64
}

// View holds what a machine knows of all machines, from their own messages and
// from those of others about them. It is safe for concurrent use.
type View struct {
	scope         base.Scope
	lateAfter     time.Duration
	absentAfter   time.Duration
	mu            sync.Mutex
	peers         map[string]*peer
	serial        uint64
	changed       base.Broadcast
	lastStandings map[string]string // standings last recorded in the journal, by machine
}

// NewView returns an empty view. The heartbeat interval determines the silences
// after which a machine is Late or Absent.
func NewView(s base.Scope, heartbeatInterval time.Duration) *View {
	return &View{scope: s, lateAfter: lateBeats * heartbeatInterval, absentAfter: absentBeats * heartbeatInterval, peers: map[string]*peer{}, lastStandings: map[string]string{}}
}

// Changed returns a channel that is closed at the next change of the view.
func (v *View) Changed() <-chan struct{} { return v.changed.Next() }

// Observe records a machine's status, which was received from that machine the
// given time ago. The status of an ended incarnation is ignored.
func (v *View) Observe(status *wire.Roster, silence time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	entry := v.peers[status.Node]
	if entry == nil {
		if len(v.peers) >= maxPeers {
			return
		}
		entry = &peer{}
		v.peers[status.Node] = entry
		v.scope.Record("mate", status.Node, "first heard")
	}
	if slices.Contains(entry.endedIncarnations, status.Incarnation) {
		return
	}
	if entry.status != nil && entry.status.Incarnation != status.Incarnation {
		entry.endedIncarnations = append(entry.endedIncarnations, entry.status.Incarnation)
		if len(entry.endedIncarnations) > maxEndedIncarnations {
			entry.endedIncarnations = entry.endedIncarnations[1:]
		}
		entry.status = nil
		entry.lastHeard = 0
		v.scope.Record("mate", status.Node, "born again")
	}
	now := v.scope.Clock.Mono()
	entry.lastHeard = max(entry.lastHeard, now-silence)
	offset := time.Duration(status.ClockUs)*time.Microsecond - now
	if entry.status == nil {
		entry.clockOffset, entry.offsetUpdated = offset, now
	}
	entry.clockOffset = max(offset, entry.clockOffset-time.Duration(maxClockDrift*float64(now-entry.offsetUpdated)))
	entry.offsetUpdated = now
	if entry.status == nil || status.Serial > entry.status.Serial {
		entry.status = status
		v.markChanged(entry)
	}
	if v.lastStandings[status.Node] != v.standingOf(entry) {
		v.lastStandings[status.Node] = v.standingOf(entry)
		v.scope.Record("standing", status.Node, v.lastStandings[status.Node])
		v.markChanged(entry)
	}
}

// markChanged gives a machine the view's next serial and notifies those who wait for a change.
func (v *View) markChanged(entry *peer) {
	v.serial++
	entry.changeSerial = v.serial
	v.changed.Notify()
}

// standingOf returns a machine's current standing, by the time since it was last heard from.
func (v *View) standingOf(entry *peer) string {
	silence := v.scope.Clock.Mono() - entry.lastHeard
	switch {
	case silence > v.absentAfter:
		return Absent
	case silence > v.lateAfter:
		return Late
	}
	return Alive
}

// RefreshStandings records changes of standing and removes machines that have
// been silent for too long. It must be called regularly.
func (v *View) RefreshStandings() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, entry := range v.peers {
		if v.scope.Clock.Mono()-entry.lastHeard > forgetFactor*v.absentAfter {
			delete(v.peers, name)
			delete(v.lastStandings, name)
			continue
		}
		if standing := v.standingOf(entry); standing != v.lastStandings[name] {
			v.lastStandings[name] = standing
			v.scope.Record("standing", name, standing)
			v.markChanged(entry)
		}
	}
}

// Len returns the number of machines in the view.
func (v *View) Len() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.peers)
}

// Serial returns the serial of the newest change.
func (v *View) Serial() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.serial
}

// All iterates over copies of the sightings of all machines, ordered by name.
func (v *View) All() iter.Seq[*wire.Sighting] { return v.Since(0) }

// Since iterates over copies of the sightings that changed after the given
// serial, ordered by name. Their clock readings are extrapolated to the time of
// the call.
func (v *View) Since(serial uint64) iter.Seq[*wire.Sighting] {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.scope.Clock.Mono()
	sightings := make([]*wire.Sighting, 0, len(v.peers))
	for _, entry := range v.peers {
		if entry.status == nil || entry.changeSerial <= serial {
			continue
		}
		status := proto.Clone(entry.status).(*wire.Roster)
		status.ClockUs = (now + entry.clockOffset).Microseconds()
		sightings = append(sightings, &wire.Sighting{Roster: status, Standing: v.standingOf(entry), SilenceUs: uint64((now - entry.lastHeard).Microseconds())})
	}
	slices.SortFunc(sightings, func(a, b *wire.Sighting) int { return strings.Compare(a.Roster.Node, b.Roster.Node) })
	return slices.Values(sightings)
}

// Standing returns a machine's standing: Alive, Late or Absent.
func (v *View) Standing(node string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if entry := v.peers[node]; entry != nil {
		return v.standingOf(entry)
	}
	return Absent
}

// FilterServices returns a copy of a sighting with only the instances of the
// wanted services.
func FilterServices(sighting *wire.Sighting, wanted func(service string) bool) *wire.Sighting {
	narrowed := proto.Clone(sighting).(*wire.Sighting)
	narrowed.Roster.Seats = slices.DeleteFunc(narrowed.Roster.Seats, func(seat *wire.Seat) bool { return !wanted(seat.Service) })
	return narrowed
}

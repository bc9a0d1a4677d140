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

const (
	Well   = "well"
	Late   = "late"
	Absent = "absent"
)

const (
	lastBorn = 16
	drift    = 0.0002

	mostMates = 4096
	forgotten = 60
)

type mate struct {
	roster *wire.Roster
	heard  time.Duration
	offset time.Duration
	tuned  time.Duration
	gone   []string
	risen  uint64
}

type View struct {
	scope  base.Scope
	late   time.Duration
	absent time.Duration
	mu     sync.Mutex
	mates  map[string]*mate
	serial uint64
	bell   base.Bell
	last   map[string]string
}

func NewView(s base.Scope, beat time.Duration) *View {
	return &View{scope: s, late: 3 * beat, absent: 5 * beat, mates: map[string]*mate{}, last: map[string]string{}}
}

func (v *View) News() <-chan struct{} { return v.bell.Heard() }

func (v *View) Heard(roster *wire.Roster, silence time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.mates[roster.Node]
	if known == nil {
		if len(v.mates) >= mostMates {
			return
		}
		known = &mate{}
		v.mates[roster.Node] = known
		v.scope.Note("mate", roster.Node, "first heard")
	}
	if slices.Contains(known.gone, roster.Incarnation) {
		return
	}
	if known.roster != nil && known.roster.Incarnation != roster.Incarnation {
		known.gone = append(known.gone, known.roster.Incarnation)
		if len(known.gone) > lastBorn {
			known.gone = known.gone[1:]
		}
		known.roster = nil
		known.heard = 0
		v.scope.Note("mate", roster.Node, "born again")
	}
	now := v.scope.Clock.Mono()
	known.heard = max(known.heard, now-silence)
	offset := time.Duration(roster.ClockUs)*time.Microsecond - now
	if known.roster == nil {
		known.offset, known.tuned = offset, now
	}
	known.offset = max(offset, known.offset-time.Duration(drift*float64(now-known.tuned)))
	known.tuned = now
	if known.roster == nil || roster.Serial > known.roster.Serial {
		known.roster = roster
		v.rise(known)
	}
	if v.last[roster.Node] != v.judge(known) {
		v.last[roster.Node] = v.judge(known)
		v.scope.Note("standing", roster.Node, v.last[roster.Node])
		v.rise(known)
	}
}

func (v *View) rise(known *mate) {
	v.serial++
	known.risen = v.serial
	v.bell.Ring()
}

func (v *View) judge(m *mate) string {
	silence := v.scope.Clock.Mono() - m.heard
	switch {
	case silence > v.absent:
		return Absent
	case silence > v.late:
		return Late
	}
	return Well
}

func (v *View) Judge() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, each := range v.mates {
		if v.scope.Clock.Mono()-each.heard > forgotten*v.absent {
			delete(v.mates, name)
			delete(v.last, name)
			continue
		}
		if standing := v.judge(each); standing != v.last[name] {
			v.last[name] = standing
			v.scope.Note("standing", name, standing)
			v.rise(each)
		}
	}
}

func (v *View) Len() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.mates)
}

func (v *View) Serial() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.serial
}

func (v *View) All() iter.Seq[*wire.Sighting] { return v.Since(0) }

func (v *View) Since(serial uint64) iter.Seq[*wire.Sighting] {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.scope.Clock.Mono()
	sightings := make([]*wire.Sighting, 0, len(v.mates))
	for _, each := range v.mates {
		if each.roster == nil || each.risen <= serial {
			continue
		}
		roster := proto.Clone(each.roster).(*wire.Roster)
		roster.ClockUs = (now + each.offset).Microseconds()
		sightings = append(sightings, &wire.Sighting{Roster: roster, Standing: v.judge(each), SilenceUs: uint64((now - each.heard).Microseconds())})
	}
	slices.SortFunc(sightings, func(a, b *wire.Sighting) int { return strings.Compare(a.Roster.Node, b.Roster.Node) })
	return slices.Values(sightings)
}

func (v *View) Standing(node string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.mates[node]; known != nil {
		return v.judge(known)
	}
	return Absent
}

func Narrow(sighting *wire.Sighting, concerns func(service string) bool) *wire.Sighting {
	narrowed := proto.Clone(sighting).(*wire.Sighting)
	narrowed.Roster.Seats = slices.DeleteFunc(narrowed.Roster.Seats, func(seat *wire.Seat) bool { return !concerns(seat.Service) })
	return narrowed
}

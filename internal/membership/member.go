// Package membership tells which machines of a listed fleet are up. Each
// machine sends heartbeats to the next machines on a hash ring and to a core
// machine; what is heard of them is kept in a View.
package membership

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

// watchersEach is the number of machines that each machine sends its heartbeats
// to, beside the core: two may be down at a time.
const watchersEach = 3

// Member is this machine's part in the membership: it sends heartbeats and
// takes those of others.
type Member struct {
	scope   base.Scope
	web     *http.Client
	seeds   []string
	beat    time.Duration
	view    *View
	mu      sync.Mutex
	self    *wire.Roster
	ring    Ring
	places  map[string]string
	relays  []string
	nudge   base.Broadcast
	callees base.Table[wireconnect.KinClient]
	// Enrich, if set, adds to what the machine tells of itself when asked.
	Enrich func(*wire.TellReply)
}

// NewMember returns a member that describes itself by self, to which it adds a
// fresh incarnation. Seeds are the addresses of core machines, relays those
// that a core machine passes its view on to, and beat is the interval between
// heartbeats.
func NewMember(s base.Scope, web *http.Client, self *wire.Roster, seeds, relays []string, beat time.Duration) *Member {
	self.Incarnation = s.Rand.Name(8)
	self.Serial = 1
	return &Member{scope: s, web: web, seeds: seeds, relays: relays, beat: beat, view: NewView(s, beat), self: self, places: map[string]string{}}
}

// View returns what is known of the others.
func (m *Member) View() *View { return m.view }

// Incarnation returns the random name of this process, new at each start.
func (m *Member) Incarnation() string { return m.self.Incarnation }

// Status returns a copy of what this machine tells of itself, with its clock's
// reading.
func (m *Member) Status() *wire.Roster {
	m.mu.Lock()
	defer m.mu.Unlock()
	status := proto.Clone(m.self).(*wire.Roster)
	status.ClockUs = m.scope.Clock.Mono().Microseconds()
	return status
}

// UpdateStatus alters what this machine tells of itself. If it differs afterwards, it
// gets a new serial number and is sent at once.
func (m *Member) UpdateStatus(change func(*wire.Roster)) {
	m.mu.Lock()
	before := proto.Clone(m.self).(*wire.Roster)
	change(m.self)
	if !proto.Equal(before, m.self) {
		m.self.Serial++
		m.nudge.Notify()
	}
	m.mu.Unlock()
}

// SetMachines sets the machines that are on the ring.
func (m *Member) SetMachines(machines func(yield func(*wire.Machine) bool)) {
	places := map[string]string{}
	for machine := range machines {
		places[machine.Name] = machine.Address
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.places = places
	m.ring = NewRing(func(yield func(string) bool) {
		for name := range places {
			if !yield(name) {
				return
			}
		}
	})
}

func (m *Member) watchers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := m.ring.Successors(m.self.Node, watchersEach)
	if len(names) == 0 {
		return m.seeds
	}
	addresses := make([]string, len(names))
	for i, name := range names {
		addresses[i] = m.places[name]
	}
	return addresses
}

func (m *Member) client(address string) wireconnect.KinClient {
	if callee, ok := m.callees.Get(address); ok {
		return callee
	}
	callee := wireconnect.NewKinClient(m.web, "http://"+address)
	m.callees.Put(address, callee)
	return callee
}

// Run sends heartbeats and judges the others until the scope ends.
func (m *Member) Run(s base.Scope) {
	var crew base.Group
	crew.Go(func() {
		for s.Err() == nil {
			heard := m.nudge.Next()
			m.heartbeat(s)
			base.Await(s, m.beat, heard)
		}
	})
	crew.Go(func() { base.Tick(s, m.beat/2, func(base.Scope) { m.view.RefreshStandings() }) })
	crew.Wait()
}

func (m *Member) heartbeat(s base.Scope) {
	bounded, cancel := s.WithTimeout(m.beat)
	defer cancel()
	self := m.Status()
	m.view.Observe(self, 0)
	var crew base.Group
	for _, address := range m.watchers() {
		crew.Go(func() {
			_, _ = m.client(address).Beat(bounded, connect.NewRequest(&wire.BeatRequest{Roster: self}))
		})
	}
	crew.Go(func() { m.reportSightings(bounded) })
	crew.Wait()
}

func (m *Member) reportSightings(s base.Scope) {
	request := &wire.SightRequest{Watcher: m.self.Node, Sightings: slices.Collect(m.view.All())}
	if m.self.Core {
		request.Relayed = true
		base.Parallel(m.relays, func(address string) {
			_, _ = m.client(address).Sight(s, connect.NewRequest(request))
		})
		return
	}
	start := HashBucket(m.self.Node, len(m.seeds))
	for i := range m.seeds {
		if _, err := m.client(m.seeds[(start+i)%len(m.seeds)]).Sight(s, connect.NewRequest(request)); err == nil {
			return
		}
	}
}

// JournalReport returns what this machine has in its journal about the subject asked
// for, if any, and its event counts.
func (m *Member) JournalReport(ask *wire.TellRequest) *wire.TellReply {
	reply := &wire.TellReply{Node: m.self.Node, Counts: m.scope.Journal.Counts()}
	if ask.Subject != "" {
		for event := range m.scope.Journal.About(ask.Subject) {
			reply.Happenings = append(reply.Happenings, &wire.Happening{Serial: event.Serial, AtUs: event.At.UnixMicro(), Topic: event.Topic, Subject: event.Subject, Detail: event.Detail})
		}
	}
	if m.Enrich != nil {
		m.Enrich(reply)
	}
	return reply
}

// QueryAll sends a question to all machines in view and returns their answers, and
// the names of those that gave none.
func (m *Member) QueryAll(s base.Scope, ask *wire.TellRequest) *wire.ToldReply {
	reply := &wire.ToldReply{}
	var mu sync.Mutex
	base.Parallel(slices.Collect(m.view.All()), func(sighting *wire.Sighting) {
		told, err := m.client(sighting.Roster.Address).Tell(s, connect.NewRequest(ask))
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			reply.Silent = append(reply.Silent, sighting.Roster.Node)
			return
		}
		reply.Told = append(reply.Told, told.Msg)
	})
	slices.Sort(reply.Silent)
	slices.SortFunc(reply.Told, func(a, b *wire.TellReply) int { return strings.Compare(a.Node, b.Node) })
	return reply
}

// Reachable reports whether a member answers at the address.
func (m *Member) Reachable(s base.Scope, address string) bool {
	_, err := m.client(address).Tell(s, connect.NewRequest(&wire.TellRequest{}))
	return err == nil
}

type server struct{ member *Member }

func (v server) Tell(_ context.Context, request *connect.Request[wire.TellRequest]) (*connect.Response[wire.TellReply], error) {
	return connect.NewResponse(v.member.JournalReport(request.Msg)), nil
}

// Handler returns the path and handler that other members call.
func Handler(m *Member) (string, http.Handler) {
	return wireconnect.NewKinHandler(server{m}, httpserver.HandlerOptions())
}

func (v server) Beat(_ context.Context, request *connect.Request[wire.BeatRequest]) (*connect.Response[wire.BeatReply], error) {
	if request.Msg.GetRoster().GetNode() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, base.NewFault(base.Malformed, "roster", "a roster names its node"))
	}
	v.member.view.Observe(request.Msg.Roster, 0)
	return connect.NewResponse(&wire.BeatReply{Watched: true}), nil
}

func (v server) Sight(_ context.Context, request *connect.Request[wire.SightRequest]) (*connect.Response[wire.SightReply], error) {
	for _, sighting := range request.Msg.Sightings {
		if sighting.GetRoster().GetNode() == "" {
			continue
		}
		v.member.view.Observe(sighting.Roster, time.Duration(sighting.SilenceUs)*time.Microsecond)
	}
	return connect.NewResponse(&wire.SightReply{}), nil
}

// Package membership detects which machines of a listed fleet are alive. Each
// machine sends heartbeats to its successors on a hash ring, and reports what it
// knows of all machines to a core machine. A View holds this knowledge.
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

// heartbeatFanOut is the number of machines that each machine sends its
// heartbeats to, in addition to the core: two of them may be down at a time.
const heartbeatFanOut = 3

// Member is this machine's participation in the membership protocol: it sends
// heartbeats and receives those of other machines.
type Member struct {
	scope             base.Scope
	httpClient        *http.Client
	seeds             []string
	heartbeatInterval time.Duration
	view              *View
	mu                sync.Mutex
	self              *wire.Roster
	ring              Ring
	addresses         map[string]string // of the machines on the ring, by name
	relays            []string
	statusChanged     base.Broadcast
	clients           base.Table[wireconnect.KinClient]
	// Enrich, if set, adds further data to a JournalReport of this machine.
	Enrich func(*wire.TellReply)
}

// NewMember returns a member with the initial status self, in which it sets a
// random incarnation. seeds are the addresses of core machines, relays the
// addresses that a core machine forwards its view to, and heartbeatInterval is the
// time between heartbeats.
func NewMember(s base.Scope, httpClient *http.Client, self *wire.Roster, seeds, relays []string, heartbeatInterval time.Duration) *Member {
	self.Incarnation = s.Rand.Hex(8)
	self.Serial = 1
	return &Member{scope: s, httpClient: httpClient, seeds: seeds, relays: relays, heartbeatInterval: heartbeatInterval, view: NewView(s, heartbeatInterval), self: self, addresses: map[string]string{}}
}

// View returns what is known of all machines.
func (m *Member) View() *View { return m.view }

// Incarnation returns the random name of this process, new at each start.
func (m *Member) Incarnation() string { return m.self.Incarnation }

// Status returns a copy of this machine's status, with the current reading of
// its clock.
func (m *Member) Status() *wire.Roster {
	m.mu.Lock()
	defer m.mu.Unlock()
	status := proto.Clone(m.self).(*wire.Roster)
	status.ClockUs = m.scope.Clock.Mono().Microseconds()
	return status
}

// UpdateStatus modifies this machine's status. If the status has changed, it
// gets a new serial and is sent immediately.
func (m *Member) UpdateStatus(change func(*wire.Roster)) {
	m.mu.Lock()
	before := proto.Clone(m.self).(*wire.Roster)
	change(m.self)
	if !proto.Equal(before, m.self) {
		m.self.Serial++
		m.statusChanged.Notify()
	}
	m.mu.Unlock()
}

// SetMachines replaces the machines on the hash ring.
func (m *Member) SetMachines(machines func(yield func(*wire.Machine) bool)) {
	addresses := map[string]string{}
	for machine := range machines {
		addresses[machine.Name] = machine.Address
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses = addresses
	m.ring = NewRing(func(yield func(string) bool) {
		for name := range addresses {
			if !yield(name) {
				return
			}
		}
	})
}

// heartbeatTargets returns the addresses of this machine's successors on the ring, or the seeds if it has none.
func (m *Member) heartbeatTargets() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := m.ring.Successors(m.self.Node, heartbeatFanOut)
	if len(names) == 0 {
		return m.seeds
	}
	addresses := make([]string, len(names))
	for i, name := range names {
		addresses[i] = m.addresses[name]
	}
	return addresses
}

// client returns the cached client of an address.
func (m *Member) client(address string) wireconnect.KinClient {
	if client, ok := m.clients.Get(address); ok {
		return client
	}
	client := wireconnect.NewKinClient(m.httpClient, "http://"+address)
	m.clients.Put(address, client)
	return client
}

// Run sends heartbeats and updates the standings of the machines until the
// scope ends.
func (m *Member) Run(s base.Scope) {
	var group base.Group
	group.Go(func() {
		for s.Err() == nil {
			changed := m.statusChanged.Next()
			m.sendHeartbeats(s)
			base.Await(s, m.heartbeatInterval, changed)
		}
	})
	group.Go(func() { base.Tick(s, m.heartbeatInterval/2, func(base.Scope) { m.view.RefreshStandings() }) })
	group.Wait()
}

// sendHeartbeats sends this machine's status to its heartbeat targets and reports its view, within one heartbeat interval.
func (m *Member) sendHeartbeats(s base.Scope) {
	callScope, cancel := s.WithTimeout(m.heartbeatInterval)
	defer cancel()
	self := m.Status()
	m.view.Observe(self, 0)
	var group base.Group
	for _, address := range m.heartbeatTargets() {
		group.Go(func() {
			_, _ = m.client(address).Beat(callScope, connect.NewRequest(&wire.BeatRequest{Roster: self}))
		})
	}
	group.Go(func() { m.reportSightings(callScope) })
	group.Wait()
}

// reportSightings sends the whole view to the relays if this is a core machine, and otherwise to the first seed that
// answers. Each machine starts with the seed given by the hash of its name, to distribute the load.
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

// JournalReport returns this machine's event counts, and the events in its
// journal about the requested subject, if there is one.
func (m *Member) JournalReport(request *wire.TellRequest) *wire.TellReply {
	reply := &wire.TellReply{Node: m.self.Node, Counts: m.scope.Journal.Counts()}
	if request.Subject != "" {
		for event := range m.scope.Journal.Events(request.Subject) {
			reply.Happenings = append(reply.Happenings, &wire.Happening{Serial: event.Serial, AtUs: event.At.UnixMicro(), Topic: event.Topic, Subject: event.Subject, Detail: event.Detail})
		}
	}
	if m.Enrich != nil {
		m.Enrich(reply)
	}
	return reply
}

// QueryAll requests the JournalReport of all machines in the view. It returns
// the replies, and the names of the machines that did not answer.
func (m *Member) QueryAll(s base.Scope, request *wire.TellRequest) *wire.ToldReply {
	reply := &wire.ToldReply{}
	var mu sync.Mutex
	base.Parallel(slices.Collect(m.view.All()), func(sighting *wire.Sighting) {
		response, err := m.client(sighting.Roster.Address).Tell(s, connect.NewRequest(request))
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			reply.Silent = append(reply.Silent, sighting.Roster.Node)
			return
		}
		reply.Told = append(reply.Told, response.Msg)
	})
	slices.Sort(reply.Silent)
	slices.SortFunc(reply.Told, func(a, b *wire.TellReply) int { return strings.Compare(a.Node, b.Node) })
	return reply
}

// Reachable reports whether a member answers requests at the address.
func (m *Member) Reachable(s base.Scope, address string) bool {
	_, err := m.client(address).Tell(s, connect.NewRequest(&wire.TellRequest{}))
	return err == nil
}

// server handles the requests of other members.
type server struct{ member *Member }

// Tell returns this machine's JournalReport.
func (s server) Tell(_ context.Context, request *connect.Request[wire.TellRequest]) (*connect.Response[wire.TellReply], error) {
	return connect.NewResponse(s.member.JournalReport(request.Msg)), nil
}

// Handler returns the path and the handler of the requests of other members.
func Handler(m *Member) (string, http.Handler) {
	return wireconnect.NewKinHandler(server{m}, httpserver.HandlerOptions())
}

// Beat handles a heartbeat, which carries the status of its sender.
func (s server) Beat(_ context.Context, request *connect.Request[wire.BeatRequest]) (*connect.Response[wire.BeatReply], error) {
	if request.Msg.GetRoster().GetNode() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, base.NewFault(base.Malformed, "roster", "a roster names its node"))
	}
	s.member.view.Observe(request.Msg.Roster, 0)
	return connect.NewResponse(&wire.BeatReply{Watched: true}), nil
}

// Sight handles a report of all machines in the view of another member.
func (s server) Sight(_ context.Context, request *connect.Request[wire.SightRequest]) (*connect.Response[wire.SightReply], error) {
	for _, sighting := range request.Msg.Sightings {
		if sighting.GetRoster().GetNode() == "" {
			continue
		}
		s.member.view.Observe(sighting.Roster, time.Duration(sighting.SilenceUs)*time.Microsecond)
	}
	return connect.NewResponse(&wire.SightReply{}), nil
}

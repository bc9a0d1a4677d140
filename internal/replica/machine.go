// Package replica keeps registers on a set of replicas that is itself agreed.
//
// Each key is a register with one owner at a time, chosen by a rising term: the owner has a version on a
// majority of disks before it counts. The voters belong to a generation; the next generation is a value that a
// majority of the present one chooses, after which the present one is sealed, its registers are gathered from a
// majority, and installed on the voters of the next. Machine holds all of it apart from I/O; Replica runs a
// Machine with a real clock, disk and network.
package replica

import (
	"maps"
	"slices"
	"time"

	"curlewreach/proto/wire"
)

// Settings are what a Machine is told at its start. Durations are ratios of the bounds in the product's settings.
type Settings struct {
	// Address is where the other replicas reach this one.
	Address string
	// Seeds are addresses of other replicas, as the settings name them.
	Seeds []string
	// Bootstrap says that the whole system starts for the first time.
	Bootstrap bool
	// TargetVoters is the least number of voters wanted, where there are machines for it.
	TargetVoters int
	// StatusInterval is the pause between two status rounds.
	StatusInterval time.Duration
	// VoterTimeout is how long a voter may go unheard before a learner takes its place.
	VoterTimeout time.Duration
	// RecommitAfter is how long a version may stay on too few disks before it is read under a new term.
	RecommitAfter time.Duration
	// BootstrapWait is how long the founder lists who asks.
	BootstrapWait time.Duration
	// NewID draws an identity that no replica had before.
	NewID func() string
	// RecordEvent records what happened; it may be nil.
	RecordEvent func(what, subject, detail string)
}

// Request is a question to another replica; its answer comes back through Answered.
type Request struct {
	ID      uint64
	To      string
	Payload *wire.ReplicaRequest
}

// Response belongs to a question that came in through Receive.
type Response struct {
	Call  uint64
	Reply *wire.ReplicaReply
}

// Result ends a ticket of Change, Read, Survey or Leave.
type Result struct {
	Ticket uint64
	// Version is the newest chosen version known.
	Version *wire.Version
	// MajorityReplied says that a majority of voters answered since the ticket was opened.
	MajorityReplied bool
	// UpToDate says that Version is the newest chosen one as of some moment since the ticket was opened.
	UpToDate bool
	// Err is why the ticket failed. With Settled, it is the error that the change gave on that version.
	Err error
}

// Save asks for a state to be made durable; the outcome comes back through Saved.
type Save struct {
	Number uint64
	State  *wire.ReplicaState
}

// Output is what a Machine wants done.
type Output struct {
	Save      *Save
	Requests  []Request
	Responses []Response
	Results   []Result
	// ChosenChanged is set when a newer version of some key is known to be chosen.
	ChosenChanged bool
	// MembershipChanged is set when the membership or the generation known has changed.
	MembershipChanged bool
}

// Machine is the state machine of one replica. It isn't safe for concurrent use.
// States are never changed in place, so that a saved or sent one stays as it was.
type Machine struct {
	settings Settings
	now      time.Duration
	out      Output

	state          *wire.ReplicaState // the newest, perhaps not yet on disk
	durable        *wire.ReplicaState // the last one known to be on disk
	number         uint64             // of state
	saving         *Save              // handed out and not yet answered
	saved          uint64             // number of durable
	pendingReplies []pendingReply

	lastRequest uint64
	waiting     map[uint64]func(*wire.ReplicaReply)
	local       []func()

	learned     *wire.Membership // the newest membership heard of
	chosen      map[string]*wire.Version
	owned       map[string]*ownership
	highest     map[string]uint64        // highest term number used here, by key
	heard       map[string]time.Duration // by identity
	steadySince time.Duration            // since when this replica has run without a standstill
	tickedAt    time.Duration
	nextStatus  time.Duration
	unsettled   map[string]time.Duration
	copies      map[string]int      // of each key's newest version, as last seen
	learners    map[string]*learner // by identity
	rounds      uint64
	confirmed   bool                     // a majority has been heard since this replica started, or joined its generation
	majorityAt  time.Duration            // when the last round began that a majority answered
	freshAt     map[string]time.Duration // by key: when the last round began that found no version newer than the chosen one
	pulling     bool
	reconfig    reconfiguration
	founding    foundingState
	leave       []uint64
	leaving     bool
}

// pendingReply waits until the state that it speaks of is on disk.
type pendingReply struct {
	number  uint64
	deliver func(saved bool)
}

// NewMachine starts from the state on disk, or from nil where there is none to go by.
func NewMachine(settings Settings, state *wire.ReplicaState, now time.Duration) *Machine {
	if settings.RecordEvent == nil {
		settings.RecordEvent = func(string, string, string) {}
	}
	m := &Machine{
		settings: settings, now: now, steadySince: now, tickedAt: now, nextStatus: now,
		waiting: map[uint64]func(*wire.ReplicaReply){}, chosen: map[string]*wire.Version{}, owned: map[string]*ownership{},
		highest: map[string]uint64{}, heard: map[string]time.Duration{}, unsettled: map[string]time.Duration{}, freshAt: map[string]time.Duration{},
		copies: map[string]int{}, learners: map[string]*learner{},
	}
	m.founding.since = now
	if state == nil {
		state = &wire.ReplicaState{}
	}
	m.state, m.durable, m.learned = state, state, state.Membership
	m.ensureIdentity()
	return m
}

// ensureIdentity gives a disk that has none its identity.
func (m *Machine) ensureIdentity() {
	if m.state.Id != "" {
		return
	}
	m.change(func(next *wire.ReplicaState) {
		next.Id = m.settings.NewID()
		if m.settings.Bootstrap {
			next.Founding = m.foundingSeeds()
		}
	})
}

// change replaces the state by a changed copy, to be saved.
func (m *Machine) change(edit func(next *wire.ReplicaState)) {
	before := m.state
	next := &wire.ReplicaState{
		Id: before.Id, Membership: before.Membership, Next: before.Next,
		Registers: maps.Clone(before.Registers), Known: before.Known, Founding: before.Founding,
	}
	if next.Registers == nil {
		next.Registers = map[string]*wire.Register{}
	}
	edit(next)
	m.state = next
	m.number++
}

// whenSaved runs deliver once the present state is on disk, or with false if it can't be saved.
func (m *Machine) whenSaved(deliver func(saved bool)) {
	if m.number == m.saved {
		m.local = append(m.local, func() { deliver(true) })
		return
	}
	m.pendingReplies = append(m.pendingReplies, pendingReply{m.number, deliver})
}

// HandleSaved tells how saving a state ended. After a failure the replica goes on from the last state saved.
func (m *Machine) HandleSaved(now time.Duration, number uint64, ok bool) {
	m.now = now
	if m.saving == nil || number != m.saving.Number {
		return
	}
	state := m.saving.State
	m.saving = nil
	if ok {
		m.saved, m.durable = number, state
	} else {
		m.settings.RecordEvent("disk-trouble", "", "the state could not be saved")
		m.rollBack()
	}
	waiting := m.pendingReplies
	m.pendingReplies = nil
	for _, each := range waiting {
		if ok && each.number > number {
			m.pendingReplies = append(m.pendingReplies, each)
			continue
		}
		m.local = append(m.local, func() { each.deliver(ok) })
	}
	m.drain()
}

// rollBack forgets what was not saved. Nobody was told of it: every answer waits for its save.
func (m *Machine) rollBack() {
	m.state = m.durable
	m.number++
	m.saved = m.number
	m.ensureIdentity()
	for _, key := range slices.Sorted(maps.Keys(m.owned)) {
		o := m.owned[key]
		if o.term != nil && compareTerms(m.register(key).Promised, o.term) != 0 {
			o.stepDown(errDisk)
		}
	}
}

// drain runs what this replica owes itself.
func (m *Machine) drain() {
	for len(m.local) > 0 {
		next := m.local[0]
		m.local = m.local[1:]
		next()
	}
}

// TakeOutput hands out what is to be done since the last call.
func (m *Machine) TakeOutput() Output {
	out := m.out
	m.out = Output{}
	if m.saving == nil && m.number != m.saved {
		m.saving = &Save{Number: m.number, State: m.state}
		out.Save = m.saving
	}
	return out
}

// HandleReply gives the reply to a request, or nil if none came in time.
func (m *Machine) HandleReply(now time.Duration, request uint64, reply *wire.ReplicaReply) {
	m.now = now
	handle := m.waiting[request]
	delete(m.waiting, request)
	if handle == nil {
		return
	}
	if reply != nil {
		m.observeReply(reply)
	}
	handle(reply)
	m.drain()
}

// observeReply notes what every reply tells: that its sender is there, and which membership it knows.
func (m *Machine) observeReply(reply *wire.ReplicaReply) {
	if reply.From != "" {
		m.heard[reply.From] = m.now
	}
	m.learn(reply.Membership)
	if reply.Standing == wire.Standing_FENCED || reply.Standing == wire.Standing_BEHIND {
		m.nextStatus = min(m.nextStatus, m.now+m.settings.StatusInterval/4)
	}
}

// Tick lets time pass; it is called several times in each Watch.
func (m *Machine) Tick(now time.Duration) {
	m.now = now
	if now-m.tickedAt > standstillRatio*m.settings.StatusInterval {
		m.steadySince = now
		m.settings.RecordEvent("standstill", "", "this replica stood still")
	}
	m.tickedAt = now
	if m.durable.Id == "" {
		return
	}
	if now >= m.nextStatus {
		m.nextStatus = now + m.settings.StatusInterval
		m.watchMembers()
	}
	m.found()
	m.forgetLearners()
	m.reconfigure()
	m.recommitStale()
	m.drain()
}

// send sends a question to one replica; handle gets its reply, or nil.
func (m *Machine) send(to string, ask *wire.ReplicaRequest, handle func(*wire.ReplicaReply)) {
	ask.From, ask.Address, ask.Generation = m.state.Id, m.settings.Address, m.generation()
	if to == m.settings.Address {
		m.handle(ask, handle)
		return
	}
	m.lastRequest++
	m.waiting[m.lastRequest] = handle
	m.out.Requests = append(m.out.Requests, Request{ID: m.lastRequest, To: to, Payload: ask})
}

// HandleRequest takes a question of another replica; its answer comes out of Take under the same call number.
func (m *Machine) HandleRequest(now time.Duration, call uint64, ask *wire.ReplicaRequest) {
	m.now = now
	m.handle(ask, func(reply *wire.ReplicaReply) {
		m.out.Responses = append(m.out.Responses, Response{Call: call, Reply: reply})
	})
	m.drain()
}

// generation is that of the voters that this replica belongs to, or has heard of.
func (m *Machine) generation() uint64 {
	if m.state.Membership != nil {
		return m.state.Membership.Generation
	}
	return 0
}

// votes says whether this replica has a vote in its generation.
func (m *Machine) votes() bool { return m.state.Membership != nil }

// members is the newest membership that this replica knows of; it may be nil.
func (m *Machine) members() *wire.Membership {
	if m.state.Membership != nil && m.state.Membership.Generation >= m.learned.GetGeneration() {
		return m.state.Membership
	}
	return m.learned
}

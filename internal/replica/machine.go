// Package replica implements a replicated key-value register store whose set of voters can be changed at run time.
//
// Each key is a register with one owner at a time. An owner acquires the key under a term higher than all earlier
// ones, and a version that it writes is chosen once a majority of voters has it on disk (Paxos with a distinguished
// proposer). The voters form a numbered generation. The next generation is itself a value that a majority of the
// current one chooses; a majority of the current generation is then sealed, so that it accepts nothing more, and its
// registers are merged and installed on the voters of the next. Machine implements the protocol without I/O; Replica
// runs a Machine with a real clock, disk and network.
package replica

import (
	"maps"
	"slices"
	"time"

	"curlewreach/proto/wire"
)

// Settings configures a Machine. The caller derives the durations from the bounds in its own settings.
type Settings struct {
	// Address is where other replicas reach this one.
	Address string
	// Seeds are the configured addresses of other replicas.
	Seeds []string
	// Bootstrap is true if the whole system starts for the first time. It has an effect only on a replica whose disk
	// holds no identity.
	Bootstrap bool
	// TargetVoters is the minimum number of voters wanted, if that many replicas are available.
	TargetVoters int
	// StatusInterval is the time between two status rounds.
	StatusInterval time.Duration
	// VoterTimeout is how long a voter may be silent before a learner may replace it.
	VoterTimeout time.Duration
	// RecommitAfter is how long the newest version of a key may be held by less than a majority before the key is read,
	// and its version thereby written again, under a new term.
	RecommitAfter time.Duration
	// NewID returns an identity that no replica has had before.
	NewID func() string
	// RecordEvent records an event; it may be nil.
	RecordEvent func(what, subject, detail string)
}

// Request is a request to another replica. Its reply is passed to HandleReply.
type Request struct {
	ID      uint64
	To      string
	Payload *wire.ReplicaRequest
}

// Response answers the call that was passed to HandleRequest.
type Response struct {
	Call  uint64
	Reply *wire.ReplicaReply
}

// Result completes the ticket of a Change, Read, QuorumRead or Leave.
type Result struct {
	Ticket uint64
	// Version is the newest version known to be chosen.
	Version *wire.Version
	// MajorityReplied is true if a majority of voters replied after the ticket was opened.
	MajorityReplied bool
	// UpToDate is true if Version was the newest chosen version at some moment after the ticket was opened.
	UpToDate bool
	// Err is why the ticket failed. If UpToDate is set, it is the error that the change function returned for Version.
	Err error
}

// Save asks the caller to write State to disk. The outcome is passed to HandleSaved.
type Save struct {
	Number uint64
	State  *wire.ReplicaState
}

// Output lists what the caller of a Machine has to carry out.
type Output struct {
	Save      *Save
	Requests  []Request
	Responses []Response
	Results   []Result
	// ChosenChanged is true if a newer version of some key became known to be chosen.
	ChosenChanged bool
	// MembershipChanged is true if the known membership, or this replica's own generation, changed.
	MembershipChanged bool
}

// Machine is the state machine of one replica. It is not safe for concurrent use.
// Its states are replaced and never modified in place, so a state that was handed out for saving or sending stays valid.
type Machine struct {
	settings Settings
	now      time.Duration
	output   Output

	state         *wire.ReplicaState // newest state, possibly not yet on disk
	durable       *wire.ReplicaState // last state known to be on disk
	stateNumber   uint64             // version number of state
	saving        *Save              // handed out, outcome not yet known
	durableNumber uint64             // version number of durable
	saveCallbacks []saveCallback

	lastRequest     uint64
	pendingRequests map[uint64]func(*wire.ReplicaReply)
	deferred        []func() // callbacks that runDeferred runs

	learnedMembership  *wire.Membership // newest membership reported by another replica
	chosen             map[string]*wire.Version
	proposers          map[string]*proposer
	highestTerm        map[string]uint64        // highest term number seen here, by key
	lastHeard          map[string]time.Duration // by identity
	uninterruptedSince time.Duration            // start of the current period without a process pause
	lastTick           time.Duration
	nextStatusRound    time.Duration
	underReplicated    map[string]time.Duration // by key: since when less than a majority holds its newest version, or when it was last read again
	copies             map[string]int           // voters that held each key's newest version in the last status round
	learners           map[string]*learner      // by identity
	statusRounds       uint64
	heardMajority      bool                     // a majority has replied since this replica started or entered its generation
	lastMajorityRound  time.Duration            // start of the last status round that a majority replied to
	upToDateAt         map[string]time.Duration // by key: start of the last round that showed the chosen version known here to be the newest
	fetchingState      bool
	reconfig           reconfiguration
	leaveTickets       []uint64
	leaving            bool
}

// saveCallback is a callback that waits until the state with the given number is on disk.
type saveCallback struct {
	number   uint64
	complete func(saved bool)
}

// NewMachine returns a machine that starts from the given state on disk; state is nil if there is none.
func NewMachine(settings Settings, state *wire.ReplicaState, now time.Duration) *Machine {
	if settings.RecordEvent == nil {
		settings.RecordEvent = func(string, string, string) {}
	}
	m := &Machine{
		settings: settings, now: now, uninterruptedSince: now, lastTick: now, nextStatusRound: now,
		pendingRequests: map[uint64]func(*wire.ReplicaReply){}, chosen: map[string]*wire.Version{}, proposers: map[string]*proposer{},
		highestTerm: map[string]uint64{}, lastHeard: map[string]time.Duration{}, underReplicated: map[string]time.Duration{}, upToDateAt: map[string]time.Duration{},
		copies: map[string]int{}, learners: map[string]*learner{},
	}
	if state == nil {
		state = &wire.ReplicaState{}
	}
	m.state, m.durable, m.learnedMembership = state, state, state.Membership
	m.ensureIdentity()
	return m
}

// ensureIdentity generates an identity if the state has none. If the whole system starts for the first time, the seeds
// enter the first generation.
func (m *Machine) ensureIdentity() {
	if m.state.Id != "" {
		return
	}
	m.updateState(func(next *wire.ReplicaState) {
		next.Id = m.settings.NewID()
		if m.settings.Bootstrap {
			m.bootstrapState(next)
		}
	})
}

// updateState replaces the state by a modified copy, which will be saved.
func (m *Machine) updateState(edit func(next *wire.ReplicaState)) {
	current := m.state
	next := &wire.ReplicaState{
		Id: current.Id, Membership: current.Membership, Next: current.Next,
		Registers: maps.Clone(current.Registers), Known: current.Known, Founding: current.Founding,
	}
	if next.Registers == nil {
		next.Registers = map[string]*wire.Register{}
	}
	edit(next)
	m.state = next
	m.stateNumber++
}

// afterSave runs complete with true once the current state is on disk, or with false if saving it fails.
func (m *Machine) afterSave(complete func(saved bool)) {
	if m.stateNumber == m.durableNumber {
		m.deferred = append(m.deferred, func() { complete(true) })
		return
	}
	m.saveCallbacks = append(m.saveCallbacks, saveCallback{m.stateNumber, complete})
}

// HandleSaved takes the outcome of a Save. If it failed, the replica continues from the last state on disk.
func (m *Machine) HandleSaved(now time.Duration, number uint64, ok bool) {
	m.now = now
	if m.saving == nil || number != m.saving.Number {
		return
	}
	state := m.saving.State
	m.saving = nil
	if ok {
		m.durableNumber, m.durable = number, state
	} else {
		m.settings.RecordEvent("disk-trouble", "", "the state could not be saved")
		m.rollback()
	}
	callbacks := m.saveCallbacks
	m.saveCallbacks = nil
	for _, each := range callbacks {
		if ok && each.number > number {
			m.saveCallbacks = append(m.saveCallbacks, each)
			continue
		}
		m.deferred = append(m.deferred, func() { each.complete(ok) })
	}
	m.runDeferred()
}

// rollback discards the changes that were not saved. No other replica has seen them, because replies wait for the save.
func (m *Machine) rollback() {
	m.state = m.durable
	m.stateNumber++
	m.durableNumber = m.stateNumber
	m.ensureIdentity()
	for _, key := range slices.Sorted(maps.Keys(m.proposers)) {
		p := m.proposers[key]
		if p.term != nil && compareTerms(m.register(key).Promised, p.term) != 0 {
			p.stepDown(errDiskWrite)
		}
	}
}

// runDeferred runs the queued callbacks, including those that they queue in turn.
func (m *Machine) runDeferred() {
	for len(m.deferred) > 0 {
		next := m.deferred[0]
		m.deferred = m.deferred[1:]
		next()
	}
}

// TakeOutput returns, and clears, what is to be carried out since the last call.
func (m *Machine) TakeOutput() Output {
	out := m.output
	m.output = Output{}
	if m.saving == nil && m.stateNumber != m.durableNumber {
		m.saving = &Save{Number: m.stateNumber, State: m.state}
		out.Save = m.saving
	}
	return out
}

// HandleReply takes the reply to a request; reply is nil if none arrived in time.
func (m *Machine) HandleReply(now time.Duration, request uint64, reply *wire.ReplicaReply) {
	m.now = now
	handle := m.pendingRequests[request]
	delete(m.pendingRequests, request)
	if handle == nil {
		return
	}
	if reply != nil {
		m.observeReply(reply)
	}
	handle(reply)
	m.runDeferred()
}

// observeReply records what every reply carries: that its sender is alive, and the membership that it knows. If sender
// and receiver are in different generations, it brings the next status round forward.
func (m *Machine) observeReply(reply *wire.ReplicaReply) {
	if reply.From != "" {
		m.lastHeard[reply.From] = m.now
	}
	m.learnMembership(reply.Membership)
	if reply.Standing == wire.Standing_FENCED || reply.Standing == wire.Standing_BEHIND {
		m.nextStatusRound = min(m.nextStatusRound, m.now+m.settings.StatusInterval/4)
	}
}

// Tick advances the clock. It must be called several times per StatusInterval.
func (m *Machine) Tick(now time.Duration) {
	m.now = now
	if now-m.lastTick > pauseIntervals*m.settings.StatusInterval {
		m.uninterruptedSince = now
		m.settings.RecordEvent("standstill", "", "this replica stood still")
	}
	m.lastTick = now
	if m.durable.Id == "" {
		return
	}
	if now >= m.nextStatusRound {
		m.nextStatusRound = now + m.settings.StatusInterval
		m.pollMembers()
	}
	m.expireLearners()
	m.reconfigure()
	m.recommitUnderReplicated()
	m.runDeferred()
}

// send sends a request to one replica; handle gets its reply, or nil if none arrived in time.
func (m *Machine) send(to string, request *wire.ReplicaRequest, handle func(*wire.ReplicaReply)) {
	request.From, request.Address, request.Generation = m.state.Id, m.settings.Address, m.generation()
	if to == m.settings.Address {
		m.dispatch(request, handle)
		return
	}
	m.lastRequest++
	m.pendingRequests[m.lastRequest] = handle
	m.output.Requests = append(m.output.Requests, Request{ID: m.lastRequest, To: to, Payload: request})
}

// HandleRequest takes a request of another replica. TakeOutput returns its response under the same call number.
func (m *Machine) HandleRequest(now time.Duration, call uint64, request *wire.ReplicaRequest) {
	m.now = now
	m.dispatch(request, func(reply *wire.ReplicaReply) {
		m.output.Responses = append(m.output.Responses, Response{Call: call, Reply: reply})
	})
	m.runDeferred()
}

// generation returns the number of the generation that this replica votes in, or 0 if it has no vote.
func (m *Machine) generation() uint64 {
	if m.state.Membership != nil {
		return m.state.Membership.Generation
	}
	return 0
}

// isVoter reports whether this replica has a vote in its generation.
func (m *Machine) isVoter() bool { return m.state.Membership != nil }

// newestMembership returns the newest membership that this replica knows of; it may be nil.
func (m *Machine) newestMembership() *wire.Membership {
	if m.state.Membership != nil && m.state.Membership.Generation >= m.learnedMembership.GetGeneration() {
		return m.state.Membership
	}
	return m.learnedMembership
}

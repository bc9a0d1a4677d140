package replica

import (
	"maps"
	"slices"
	"time"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

var (
	errDiskWrite       = base.NewFault(base.DiskFailure, "", "the disk here refused")
	errNotVoter        = base.NewFault(base.NoState, "", "this replica has no vote")
	errHigherTerm      = base.NewFault(base.Superseded, "", "a higher term came first")
	errNoQuorum        = base.NewFault(base.Unreachable, "", "no majority of replicas promised")
	errUncertain       = base.NewFault(base.Uncertain, "", "no majority of replicas answered")
	errGenerationEnded = base.NewFault(base.Superseded, "", "the generation has ended")
)

// task is one change or read that is queued for its key.
type task struct {
	ticket uint64
	// change returns the next value, or nil to keep the current one. It is nil for a read.
	change func(old []byte) ([]byte, error)
	// done is called in place of emitting a Result if this replica itself created the task.
	done func(version *wire.Version, err error)
	// changeErr is the error that change returned. It is reported only once a majority has confirmed that the value
	// passed to change was the newest.
	changeErr error
}

// proposer acquires one key for this replica and writes versions of it while this replica owns it.
type proposer struct {
	machine *Machine
	key     string
	term    *wire.Term // nil if this replica does not own the key
	version *wire.Version
	busy    bool
	attempt uint64 // incremented with each phase, so that late replies to an earlier one are ignored
	queue   []*task
	running []*task
}

// proposer returns the proposer of a key, creating it if needed.
func (m *Machine) proposer(key string) *proposer {
	p := m.proposers[key]
	if p == nil {
		p = &proposer{machine: m, key: key}
		m.proposers[key] = p
	}
	return p
}

// Change replaces the value of a key. The result is emitted once a majority of voters has the new version on disk or,
// if change keeps the value, once a majority has confirmed that it was the newest after the call.
func (m *Machine) Change(now time.Duration, ticket uint64, key string, change func(old []byte) ([]byte, error)) {
	m.now = now
	m.enqueue(key, &task{ticket: ticket, change: change})
	m.runDeferred()
}

// Read returns the value that was the newest at some moment after the call.
func (m *Machine) Read(now time.Duration, ticket uint64, key string) {
	m.now = now
	m.enqueue(key, &task{ticket: ticket})
	m.runDeferred()
}

// enqueue adds a task to a key's queue and starts it if the proposer is idle.
func (m *Machine) enqueue(key string, newTask *task) {
	p := m.proposer(key)
	p.queue = append(p.queue, newTask)
	p.startNext()
}

// fail completes a task without knowledge of the newest value.
func (t *task) fail(m *Machine, err error) {
	t.finish(m, Result{Ticket: t.ticket, Err: err})
}

// complete completes a task with the newest version.
func (t *task) complete(m *Machine, version *wire.Version) {
	t.finish(m, Result{Ticket: t.ticket, Version: version, MajorityReplied: true, UpToDate: true, Err: t.changeErr})
}

// finish delivers the outcome of a task to its requester.
func (t *task) finish(m *Machine, result Result) {
	if t.done != nil {
		t.done(result.Version, result.Err)
		return
	}
	m.output.Results = append(m.output.Results, result)
}

// startNext starts processing the queue if the proposer is idle.
func (p *proposer) startNext() {
	m := p.machine
	if p.busy || len(p.queue) == 0 {
		return
	}
	if m.standing(m.generation()) != wire.Standing_GRANTED {
		p.stepDown(errNotVoter)
		return
	}
	p.busy = true
	if p.term != nil && compareTerms(m.register(p.key).Promised, p.term) == 0 {
		p.applyQueue()
		return
	}
	p.campaign()
}

// stepDown gives up the term and fails all tasks; their requesters may retry.
func (p *proposer) stepDown(err error) {
	p.term, p.busy = nil, false
	p.attempt++
	tasks := slices.Concat(p.running, p.queue)
	p.running, p.queue = nil, nil
	for _, each := range tasks {
		each.fail(p.machine, err)
	}
}

// campaign saves a promise for a higher term on the local disk first, so that no term is ever used twice, and then asks
// the other voters.
func (p *proposer) campaign() {
	m := p.machine
	number := max(m.register(p.key).GetPromised().GetNumber(), m.highestTerm[p.key]) + 1
	m.highestTerm[p.key] = number
	term := &wire.Term{Number: number, Owner: m.state.Id}
	p.attempt++
	attempt, membership := p.attempt, m.state.Membership
	m.send(m.settings.Address, newPromiseRequest(p.key, term, nil), func(reply *wire.ReplicaReply) {
		if p.attempt != attempt {
			return
		}
		if reply.Standing != wire.Standing_GRANTED {
			p.stepDown(errDiskWrite)
			return
		}
		p.collectPromises(term, attempt, membership)
	})
}

func newPromiseRequest(key string, term *wire.Term, have *wire.Version) *wire.ReplicaRequest {
	ask := &wire.PromiseAsk{Key: key, Term: term}
	if have != nil {
		ask.Have = withoutValue(have)
	}
	return &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Promise{Promise: ask}}
}

// collectPromises asks all voters to promise the term. Once a majority has, it adopts the newest version among them.
func (p *proposer) collectPromises(term *wire.Term, attempt uint64, membership *wire.Membership) {
	m := p.machine
	have := m.register(p.key).Accepted
	m.poll(membership, func() *wire.ReplicaRequest { return newPromiseRequest(p.key, term, have) }, func(r *round, _ *wire.ReplicaReply) {
		if p.attempt != attempt {
			r.closed = true
			return
		}
		switch {
		case r.granted() >= majority(membership):
			r.closed = true
			p.adoptHighest(term, have, r)
		case r.majorityImpossible():
			r.closed = true
			p.handleLostRound(r)
		}
	})
}

// adoptHighest writes the newest version held by a majority again, under the new term. Only then is it certain that this
// version is chosen.
func (p *proposer) adoptHighest(term *wire.Term, have *wire.Version, r *round) {
	var highest *wire.Version
	for _, reply := range r.replies {
		if r.grants(reply) {
			highest = newerVersion(highest, restoreValue(reply.Accepted, have))
		}
	}
	p.term = term
	p.machine.settings.RecordEvent("owner", p.key, p.machine.settings.Address)
	if highest == nil {
		p.version = nil
		p.applyQueue()
		return
	}
	p.write(&wire.Version{Term: term, Serial: highest.Serial, Value: highest.Value}, highest, p.applyQueue)
}

// handleLostRound steps down after a round without a majority and remembers the highest term that outranked this one.
func (p *proposer) handleLostRound(r *round) {
	m := p.machine
	outranked := false
	for _, reply := range r.replies {
		if reply != nil && reply.Standing == wire.Standing_OUTRANKED {
			outranked = true
			m.highestTerm[p.key] = max(m.highestTerm[p.key], reply.Promised.GetNumber())
		}
	}
	if outranked {
		p.stepDown(errHigherTerm)
		return
	}
	p.stepDown(errNoQuorum)
}

// applyQueue applies all queued tasks to the current value and writes the outcome once. If no task changes the value,
// including when change functions return errors, a majority must still confirm the term: another replica may have
// become the owner without this one having heard of it.
func (p *proposer) applyQueue() {
	p.running, p.queue = p.queue, nil
	value, changed := p.version.GetValue(), false
	for _, each := range p.running {
		next, err := each.apply(value)
		each.changeErr = err
		if err == nil && next != nil {
			value, changed = next, true
		}
	}
	switch {
	case changed:
		p.write(&wire.Version{Term: p.term, Serial: p.version.GetSerial() + 1, Value: value}, p.version, p.completeTasks)
	case len(p.running) > 0:
		p.confirmTerm()
	default:
		p.completeTasks()
	}
}

// apply runs the change function of a task on a value; a read changes nothing.
func (t *task) apply(old []byte) ([]byte, error) {
	if t.change == nil {
		return nil, nil
	}
	return t.change(old)
}

// write has a version accepted by a majority and then calls onChosen. The other voters are sent only the delta to the
// previous version; those that do not hold it ask for the full version.
func (p *proposer) write(version, previous *wire.Version, onChosen func()) {
	m := p.machine
	p.attempt++
	attempt, membership := p.attempt, m.state.Membership
	newFullRequest := func() *wire.ReplicaRequest { return newAcceptRequest(&wire.AcceptAsk{Key: p.key, Version: version}) }
	delta := newDeltaAsk(p.key, version, previous)
	newRequest := func(voter *wire.Replica) *wire.ReplicaRequest {
		if delta == nil || voter.Id == m.state.Id {
			return newFullRequest()
		}
		return newAcceptRequest(delta)
	}
	m.pollEach(membership, newRequest, newFullRequest, func(r *round, _ *wire.ReplicaReply) {
		if p.attempt != attempt {
			r.closed = true
			return
		}
		switch {
		case r.granted() >= majority(membership):
			r.closed = true
			p.version = version
			m.markChosen(p.key, version)
			p.broadcastChosen(version)
			onChosen()
		case r.majorityImpossible():
			r.closed = true
			p.term = nil
			p.stepDown(errUncertain)
		}
	})
}

// broadcastChosen tells the other voters that a version is chosen.
func (p *proposer) broadcastChosen(version *wire.Version) {
	m := p.machine
	for _, voter := range m.state.Membership.GetVoters() {
		if voter.Id == m.state.Id {
			continue
		}
		m.send(voter.Address, &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Chosen{
			Chosen: &wire.ChosenAsk{Key: p.key, Term: version.Term, Serial: version.Serial},
		}}, func(*wire.ReplicaReply) {})
	}
}

// confirmTerm asks a majority whether the term is still the highest, which proves that the version held here is the newest.
func (p *proposer) confirmTerm() {
	m := p.machine
	p.attempt++
	attempt, membership, term := p.attempt, m.state.Membership, p.term
	newRequest := func() *wire.ReplicaRequest {
		return &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Confirm{Confirm: &wire.ConfirmAsk{Key: p.key, Term: term}}}
	}
	m.poll(membership, newRequest, func(r *round, _ *wire.ReplicaReply) {
		if p.attempt != attempt {
			r.closed = true
			return
		}
		switch {
		case r.granted() >= majority(membership):
			r.closed = true
			p.completeTasks()
		case r.majorityImpossible():
			r.closed = true
			p.handleLostRound(r)
		}
	})
}

// completeTasks completes the running tasks and starts those that were queued meanwhile.
func (p *proposer) completeTasks() {
	tasks := p.running
	p.running, p.busy = nil, false
	p.attempt++
	for _, each := range tasks {
		each.complete(p.machine, p.version)
	}
	p.startNext()
}

// handleOwn acquires a key that its owner hands over to this replica.
func (m *Machine) handleOwn(key string, respond func(*wire.ReplicaReply)) {
	m.enqueue(key, &task{done: func(_ *wire.Version, err error) {
		standing := wire.Standing_GRANTED
		if err != nil {
			standing = wire.Standing_FAILED
		}
		m.replyNow(respond, standing)
	}})
}

// Owner returns the voter that the highest promised term of a key belongs to, or nil if it is not a voter, and the term.
func (m *Machine) Owner(key string) (owner *wire.Replica, term *wire.Term) {
	promised := m.register(key).Promised
	return voterByID(m.newestMembership(), promised.GetOwner()), promised
}

// stopProposers fails the tasks of all keys because their generation has ended.
func (m *Machine) stopProposers(err error) {
	m.stopProposersExcept("", err)
}

// stopProposersExcept does the same for all keys but one.
func (m *Machine) stopProposersExcept(except string, err error) {
	for _, key := range slices.Sorted(maps.Keys(m.proposers)) {
		if key != except {
			m.proposers[key].stepDown(err)
		}
	}
}

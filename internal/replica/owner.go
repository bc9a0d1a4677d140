package replica

import (
	"maps"
	"slices"
	"time"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

var (
	errDisk     = base.NewFault(base.DiskFailure, "", "the disk here refused")
	errNoVote   = base.NewFault(base.NoState, "", "this replica has no vote")
	errNewer    = base.NewFault(base.Superseded, "", "a higher term came first")
	errNoQuorum = base.NewFault(base.Unreachable, "", "no majority of replicas promised")
	errDoubt    = base.NewFault(base.Uncertain, "", "no majority of replicas answered")
	errReset    = base.NewFault(base.Superseded, "", "the generation has ended")
)

// task is one change or read that waits for its key.
type task struct {
	ticket uint64
	// change gives the next value, or nil to leave the value as it is. It is nil for a read.
	change func(old []byte) ([]byte, error)
	// done runs in place of a result where this replica itself asked.
	done func(version *wire.Version, err error)
	// refusal is the error that change gave. It stands once a majority has confirmed the value that it was given.
	refusal error
}

// ownership is this replica's work as owner of one key.
type ownership struct {
	machine *Machine
	key     string
	term    *wire.Term // nil: not the owner
	version *wire.Version
	busy    bool
	attempt uint64 // rises with each change of phase, so that late replies are told apart
	queue   []*task
	running []*task
}

// ownership returns this replica's work on a key.
func (m *Machine) ownership(key string) *ownership {
	o := m.owned[key]
	if o == nil {
		o = &ownership{machine: m, key: key}
		m.owned[key] = o
	}
	return o
}

// Change has a value of a key replaced. The result comes once a majority of disks has the new version, or, where
// change leaves the value as it is, once a majority has confirmed that it was the newest since.
func (m *Machine) Change(now time.Duration, ticket uint64, key string, change func(old []byte) ([]byte, error)) {
	m.now = now
	m.enqueue(key, &task{ticket: ticket, change: change})
	m.drain()
}

// Read gives the newest value as of some moment after the call.
func (m *Machine) Read(now time.Duration, ticket uint64, key string) {
	m.now = now
	m.enqueue(key, &task{ticket: ticket})
	m.drain()
}

// enqueue adds a task to a key's queue and starts on it if nothing runs.
func (m *Machine) enqueue(key string, work *task) {
	o := m.ownership(key)
	o.queue = append(o.queue, work)
	o.startNext()
}

// fail ends a task without knowledge of the newest value.
func (t *task) fail(m *Machine, err error) {
	t.end(m, Result{Ticket: t.ticket, Err: err})
}

// conclude ends a task on the newest value.
func (t *task) conclude(m *Machine, version *wire.Version) {
	t.end(m, Result{Ticket: t.ticket, Version: version, MajorityReplied: true, UpToDate: true, Err: t.refusal})
}

// end tells the outcome of a task to whoever asked.
func (t *task) end(m *Machine, result Result) {
	if t.done != nil {
		t.done(result.Version, result.Err)
		return
	}
	m.out.Results = append(m.out.Results, result)
}

// startNext starts on the queue if nothing runs.
func (o *ownership) startNext() {
	m := o.machine
	if o.busy || len(o.queue) == 0 {
		return
	}
	if m.standing(m.generation()) != wire.Standing_GRANTED {
		o.stepDown(errNoVote)
		return
	}
	o.busy = true
	if o.term != nil && compareTerms(m.register(o.key).Promised, o.term) == 0 {
		o.applyQueue()
		return
	}
	o.campaign()
}

// stepDown gives up the term and fails all work; whoever asked may ask again.
func (o *ownership) stepDown(err error) {
	o.term, o.busy = nil, false
	o.attempt++
	work := slices.Concat(o.running, o.queue)
	o.running, o.queue = nil, nil
	for _, each := range work {
		each.fail(o.machine, err)
	}
}

// campaign promises a higher term on the own disk first, so that no term is used twice, then asks the others.
func (o *ownership) campaign() {
	m := o.machine
	number := max(m.register(o.key).GetPromised().GetNumber(), m.highest[o.key]) + 1
	m.highest[o.key] = number
	term := &wire.Term{Number: number, Owner: m.state.Id}
	o.attempt++
	attempt, membership := o.attempt, m.state.Membership
	m.send(m.settings.Address, promiseAsk(o.key, term, nil), func(reply *wire.ReplicaReply) {
		if o.attempt != attempt {
			return
		}
		if reply.Standing != wire.Standing_GRANTED {
			o.stepDown(errDisk)
			return
		}
		o.collectPromises(term, attempt, membership)
	})
}

func promiseAsk(key string, term *wire.Term, have *wire.Version) *wire.ReplicaRequest {
	ask := &wire.PromiseAsk{Key: key, Term: term}
	if have != nil {
		ask.Have = withoutValue(have)
	}
	return &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Promise{Promise: ask}}
}

// collectPromises asks all voters for their promise and takes over the newest version among a majority.
func (o *ownership) collectPromises(term *wire.Term, attempt uint64, membership *wire.Membership) {
	m := o.machine
	have := m.register(o.key).Accepted
	m.poll(membership, func() *wire.ReplicaRequest { return promiseAsk(o.key, term, have) }, func(r *round, _ *wire.ReplicaReply) {
		if o.attempt != attempt {
			r.closed = true
			return
		}
		switch {
		case r.granted() >= majority(membership):
			r.closed = true
			o.adoptHighest(term, have, r)
		case r.majorityImpossible():
			r.closed = true
			o.endLostRound(r)
		}
	})
}

// adoptHighest writes the newest version among a majority again under the new term: only then is it surely chosen.
func (o *ownership) adoptHighest(term *wire.Term, have *wire.Version, r *round) {
	var highest *wire.Version
	for _, reply := range r.replies {
		if r.grants(reply) {
			highest = newer(highest, withValue(reply.Accepted, have))
		}
	}
	o.term = term
	o.machine.settings.RecordEvent("owner", o.key, o.machine.settings.Address)
	if highest == nil {
		o.version = nil
		o.applyQueue()
		return
	}
	o.write(&wire.Version{Term: term, Serial: highest.Serial, Value: highest.Value}, highest, o.applyQueue)
}

// endLostRound gives up after a lost round, remembering the term that won it.
func (o *ownership) endLostRound(r *round) {
	m := o.machine
	outranked := false
	for _, reply := range r.replies {
		if reply != nil && reply.Standing == wire.Standing_OUTRANKED {
			outranked = true
			m.highest[o.key] = max(m.highest[o.key], reply.Promised.GetNumber())
		}
	}
	if outranked {
		o.stepDown(errNewer)
		return
	}
	o.stepDown(errNoQuorum)
}

// applyQueue runs the whole queue on the present value and writes the outcome once. Refusals wait for a majority too:
// this replica may have been replaced as owner without having heard of it.
func (o *ownership) applyQueue() {
	o.running, o.queue = o.queue, nil
	value, changed := o.version.GetValue(), false
	for _, each := range o.running {
		next, err := each.apply(value)
		each.refusal = err
		if err == nil && next != nil {
			value, changed = next, true
		}
	}
	switch {
	case changed:
		o.write(&wire.Version{Term: o.term, Serial: o.version.GetSerial() + 1, Value: value}, o.version, o.completeTasks)
	case len(o.running) > 0:
		o.reconfirm()
	default:
		o.completeTasks()
	}
}

// apply runs the change of a task on a value; a read changes nothing.
func (t *task) apply(old []byte) ([]byte, error) {
	if t.change == nil {
		return nil, nil
	}
	return t.change(old)
}

// write has a version accepted by a majority. Voters that hold the one before it are sent the difference.
func (o *ownership) write(version, before *wire.Version, then func()) {
	m := o.machine
	o.attempt++
	attempt, membership := o.attempt, m.state.Membership
	whole := func() *wire.ReplicaRequest { return acceptAsk(&wire.AcceptAsk{Key: o.key, Version: version}) }
	delta := deltaAsk(o.key, version, before)
	ask := func(voter *wire.Replica) *wire.ReplicaRequest {
		if delta == nil || voter.Id == m.state.Id {
			return whole()
		}
		return acceptAsk(delta)
	}
	m.pollEach(membership, ask, whole, func(r *round, _ *wire.ReplicaReply) {
		if o.attempt != attempt {
			r.closed = true
			return
		}
		switch {
		case r.granted() >= majority(membership):
			r.closed = true
			o.version = version
			m.markChosen(o.key, version)
			o.broadcastChosen(version)
			then()
		case r.majorityImpossible():
			r.closed = true
			o.term = nil
			o.stepDown(errDoubt)
		}
	})
}

// broadcastChosen tells the others that a version is chosen.
func (o *ownership) broadcastChosen(version *wire.Version) {
	m := o.machine
	for _, voter := range m.state.Membership.GetVoters() {
		if voter.Id == m.state.Id {
			continue
		}
		m.send(voter.Address, &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Chosen{
			Chosen: &wire.ChosenAsk{Key: o.key, Term: version.Term, Serial: version.Serial},
		}}, func(*wire.ReplicaReply) {})
	}
}

// reconfirm asks a majority whether the term still is the highest, so that what was read was the newest.
func (o *ownership) reconfirm() {
	m := o.machine
	o.attempt++
	attempt, membership, term := o.attempt, m.state.Membership, o.term
	ask := func() *wire.ReplicaRequest {
		return &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Confirm{Confirm: &wire.ConfirmAsk{Key: o.key, Term: term}}}
	}
	m.poll(membership, ask, func(r *round, _ *wire.ReplicaReply) {
		if o.attempt != attempt {
			r.closed = true
			return
		}
		switch {
		case r.granted() >= majority(membership):
			r.closed = true
			o.completeTasks()
		case r.majorityImpossible():
			r.closed = true
			o.endLostRound(r)
		}
	})
}

// completeTasks ends the work that ran and goes on with what came meanwhile.
func (o *ownership) completeTasks() {
	work := o.running
	o.running, o.busy = nil, false
	o.attempt++
	for _, each := range work {
		each.conclude(o.machine, o.version)
	}
	o.startNext()
}

// takeOver seeks the term of a key that its owner hands over.
func (m *Machine) takeOver(key string, reply func(*wire.ReplicaReply)) {
	m.enqueue(key, &task{done: func(_ *wire.Version, err error) {
		standing := wire.Standing_GRANTED
		if err != nil {
			standing = wire.Standing_FAILED
		}
		m.answer(reply, standing)
	}})
}

// Owner names the voter that a key's highest promised term belongs to.
func (m *Machine) Owner(key string) (owner *wire.Replica, term *wire.Term) {
	promised := m.register(key).Promised
	return voterWith(m.members(), promised.GetOwner()), promised
}

// resetOwnership ends all work under a generation that is over.
func (m *Machine) resetOwnership(err error) {
	m.resetOwnershipBut("", err)
}

// resetOwnershipBut spares one key.
func (m *Machine) resetOwnershipBut(spared string, err error) {
	for _, key := range slices.Sorted(maps.Keys(m.owned)) {
		if key != spared {
			m.owned[key].stepDown(err)
		}
	}
}

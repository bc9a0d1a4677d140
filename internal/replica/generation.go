package replica

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

const (
	// membershipKey is the register whose chosen value is the next generation.
	membershipKey = "membership"
	// learnerRounds is how many status rounds a learner may miss before it is forgotten.
	learnerRounds = 4
	// retryRounds is how many status rounds a change of the membership may stand still before another voter goes on with it.
	retryRounds = 2
)

// learner is a replica without a vote that wants one.
type learner struct {
	address  string
	heard    time.Duration
	caughtUp bool
	leaving  bool
	verified bool // it has answered under its identity, so that its questions weren't late ones of a lost disk
}

// reconfiguration is this replica's work on the next generation.
type reconfiguration struct {
	since   time.Duration // since when a change has been due; 0: none is
	started time.Duration
	running bool
}

// pause is how long to leave the last step alone before the next.
func (w *reconfiguration) pause(watch time.Duration) time.Duration {
	if w.running {
		return retryRounds * watch
	}
	return watch / 2
}

// observeLearner remembers a replica that has no vote.
func (m *Machine) observeLearner(ask *wire.ReplicaRequest, question *wire.StatusAsk) {
	for id, each := range m.learners {
		if each.address == ask.Address && id != ask.From {
			delete(m.learners, id)
		}
	}
	known := m.learners[ask.From]
	verified := known != nil && known.address == ask.Address && known.verified
	m.learners[ask.From] = &learner{
		address: ask.Address, heard: m.now, caughtUp: question.CaughtUp, leaving: question.Leaving, verified: verified,
	}
	if !verified {
		m.verifyLearner(ask.From, ask.Address)
	}
}

// verifyLearner asks back, for a short answer that tells who is at the address.
func (m *Machine) verifyLearner(id, address string) {
	question := &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Confirm{Confirm: &wire.ConfirmAsk{}}}
	m.send(address, question, func(reply *wire.ReplicaReply) {
		if each := m.learners[id]; each != nil && each.address == address && reply.GetFrom() == id {
			each.verified = true
		}
	})
}

// forgetLearners drops replicas without a vote that have been silent for long.
func (m *Machine) forgetLearners() {
	for id, each := range m.learners {
		if m.now-max(each.heard, m.steadySince) > learnerRounds*m.settings.StatusInterval {
			delete(m.learners, id)
		}
	}
}

// caughtUp says whether this disk holds this identity and the newest versions known to be chosen.
func (m *Machine) caughtUp() bool {
	if !m.confirmed || m.durable.Id != m.state.Id {
		return false
	}
	for key, version := range m.chosen {
		held := m.durable.Registers[key].GetAccepted()
		if held == nil || compareVersions(held, version) < 0 {
			return false
		}
	}
	return true
}

// nextMembership gives the membership that should follow, or nil if nothing is due.
// A learner takes the place of a voter at its own address (whose disk is gone), of one that leaves, or of one
// that has been silent for long; it becomes a further voter where there are fewer than wanted.
func (m *Machine) nextMembership() *wire.Membership {
	present := m.state.Membership
	voters := slices.Clone(present.Voters)
	for _, id := range m.readyLearners() {
		voters = m.admit(voters, &wire.Replica{Id: id, Address: m.learners[id].address}, present)
	}
	if sameVoters(voters, present.Voters) {
		return nil
	}
	slices.SortFunc(voters, func(a, b *wire.Replica) int { return cmp.Compare(a.Id, b.Id) })
	return &wire.Membership{Generation: present.Generation + 1, Voters: voters, Target: present.Target}
}

// readyLearners lists, sorted, the learners that have caught up and may take a place.
func (m *Machine) readyLearners() []string {
	ready := slices.DeleteFunc(slices.Sorted(maps.Keys(m.learners)), func(id string) bool {
		each := m.learners[id]
		return !each.verified || !each.caughtUp || each.leaving || voterWith(m.state.Membership, id) != nil
	})
	return ready
}

// admit gives a newcomer the place of the voter at its own address; else one beside the others while they are too few;
// else that of the one that may best be spared, if any.
func (m *Machine) admit(voters []*wire.Replica, newcomer *wire.Replica, present *wire.Membership) []*wire.Replica {
	at := slices.IndexFunc(voters, func(voter *wire.Replica) bool { return voter.Address == newcomer.Address })
	if at < 0 && len(voters) < int(present.Target) {
		return append(voters, newcomer)
	}
	if at < 0 {
		at = m.dispensable(voters, present)
	}
	if at >= 0 {
		voters[at] = newcomer
	}
	return voters
}

// dispensable finds a voter that leaves, or else the one that has been silent longest beyond the bound.
func (m *Machine) dispensable(voters []*wire.Replica, present *wire.Membership) int {
	found, longest := -1, m.settings.VoterTimeout
	for i, voter := range voters {
		if voterWith(present, voter.Id) == nil {
			continue // it has just been admitted
		}
		if voter.Id == m.state.Id {
			if m.leaving {
				return i
			}
			continue
		}
		if silence := m.silence(voter.Id); silence >= longest {
			found, longest = i, silence
		}
	}
	return found
}

func sameVoters(a, b []*wire.Replica) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.Replica) bool { return x.Id == y.Id && x.Address == y.Address })
}

// reconfigure begins, or goes on with, a change of the membership.
func (m *Machine) reconfigure() {
	if !m.votes() {
		m.finishLeaving()
		return
	}
	work := &m.reconfig
	if m.now-work.started < work.pause(m.settings.StatusInterval) {
		return
	}
	work.running = false
	due := m.state.Next != nil || m.register(membershipKey).Accepted != nil || m.nextMembership() != nil
	if !due {
		work.since = 0
		m.finishLeaving()
		return
	}
	if work.since == 0 {
		work.since = m.now
	}
	if !m.leaving && m.now-work.since < m.backoff() {
		return
	}
	work.running, work.started, work.since = true, m.now, m.now
	if m.state.Next != nil {
		m.sealAll(m.state.Next)
		return
	}
	m.chooseNext()
}

// chooseNext has the next generation chosen by a majority of the present one, then carries it out.
func (m *Machine) chooseNext() {
	generation := m.generation()
	wanted := m.nextMembership()
	m.enqueue(membershipKey, &task{
		change: func(old []byte) ([]byte, error) {
			if len(old) > 0 || wanted == nil {
				return nil, nil
			}
			return proto.MarshalOptions{Deterministic: true}.Marshal(wanted)
		},
		done: func(version *wire.Version, err error) {
			if err != nil || m.generation() != generation || len(version.GetValue()) == 0 {
				m.reconfig.running = false
				return
			}
			next := &wire.Membership{}
			if proto.Unmarshal(version.Value, next) != nil || next.Generation != generation+1 {
				m.settings.RecordEvent("membership-unreadable", "", "the chosen membership can't be read")
				return
			}
			m.settings.RecordEvent("membership-chosen", "", describe(next))
			m.sealAll(next)
		},
	})
}

// sealAll ends the present generation on a majority of its voters and installs the next with all that they hold.
func (m *Machine) sealAll(next *wire.Membership) {
	present := m.state.Membership
	ask := func() *wire.ReplicaRequest {
		return &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Seal{Seal: &wire.SealAsk{Next: next}}}
	}
	m.poll(present, ask, func(r *round, _ *wire.ReplicaReply) {
		switch {
		case r.granted() >= majority(present):
			r.closed = true
			m.installAll(next, r.gathered())
		case r.majorityImpossible():
			r.closed = true
			m.reconfig.running = false
		}
	})
}

// gathered joins what the sealed replicas hold: every version chosen in their generation is among it.
func (r *round) gathered() map[string]*wire.Register {
	registers := map[string]*wire.Register{}
	for _, reply := range r.replies {
		if !r.grants(reply) {
			continue
		}
		for key, held := range reply.Registers {
			if key == membershipKey {
				continue
			}
			known := registers[key]
			registers[key] = &wire.Register{
				Promised: higher(known.GetPromised(), held.Promised), Accepted: newer(known.GetAccepted(), held.Accepted),
			}
		}
	}
	return registers
}

func (m *Machine) installAll(next *wire.Membership, registers map[string]*wire.Register) {
	ask := func() *wire.ReplicaRequest {
		return &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Install{Install: &wire.InstallAsk{Membership: next, Registers: registers}}}
	}
	m.poll(next, ask, func(r *round, _ *wire.ReplicaReply) {
		switch {
		case r.granted() >= majority(next):
			r.closed = true
			m.reconfig.running = false
			m.settings.RecordEvent("membership-installed", "", describe(next))
			m.afterInstall(next)
		case r.majorityImpossible():
			r.closed = true
			m.reconfig.running = false
		}
	})
}

// afterInstall lets a replica that is no longer a voter become a learner.
func (m *Machine) afterInstall(next *wire.Membership) {
	m.learn(next)
	if m.votes() && m.generation() < next.Generation && voterWith(next, m.state.Id) == nil {
		m.resign()
	}
}

// seal ends this generation here. That the next is chosen, the asker has seen.
func (m *Machine) seal(ask *wire.ReplicaRequest, question *wire.SealAsk, reply func(*wire.ReplicaReply)) {
	if !m.votes() || ask.Generation != m.generation() || question.Next.GetGeneration() != m.generation()+1 {
		m.answer(reply, m.standing(ask.Generation))
		return
	}
	if m.state.Next == nil {
		m.change(func(next *wire.ReplicaState) { next.Next = question.Next })
		m.resetOwnershipBut(membershipKey, errReset)
	}
	answer := m.blankReply(wire.Standing_GRANTED)
	answer.Registers = m.state.Registers
	m.answerSaved(reply, answer)
}

// install starts a generation here.
func (m *Machine) install(question *wire.InstallAsk, reply func(*wire.ReplicaReply)) {
	next := question.Membership
	switch {
	case voterWith(next, m.state.Id) == nil:
		m.answer(reply, wire.Standing_NO_VOTE)
		return
	case next.Generation < m.generation():
		m.answer(reply, wire.Standing_FENCED)
		return
	case next.Generation > m.generation():
		m.enter(next, question.Registers)
	}
	m.answerSaved(reply, m.blankReply(wire.Standing_GRANTED))
}

// enter makes this replica a voter of a generation, with registers that hold all that was chosen before it.
// What it promised itself is kept, so that it never uses a term twice.
func (m *Machine) enter(membership *wire.Membership, registers map[string]*wire.Register) {
	m.change(func(next *wire.ReplicaState) {
		promised := next.Registers
		next.Membership, next.Next, next.Founding = membership, nil, nil
		next.Registers = map[string]*wire.Register{}
		for key, register := range registers {
			if key != membershipKey {
				term := higher(register.Promised, promised[key].GetPromised())
				next.Registers[key] = &wire.Register{Promised: term, Accepted: register.Accepted}
			}
		}
		for key, register := range promised {
			if key != membershipKey && next.Registers[key] == nil {
				next.Registers[key] = &wire.Register{Promised: register.Promised}
			}
		}
		next.Known = addressesOf(membership)
	})
	m.restart("generation", describe(membership))
	for _, voter := range membership.Voters {
		m.heard[voter.Id] = max(m.heard[voter.Id], m.now)
		delete(m.learners, voter.Id)
	}
}

// resign turns a voter that has been replaced into a newcomer: its old votes are over.
func (m *Machine) resign() {
	m.change(func(next *wire.ReplicaState) {
		next.Id = m.settings.NewID()
		next.Membership, next.Next = nil, nil
		next.Registers = map[string]*wire.Register{}
	})
	m.restart("replaced", "this replica has been replaced and joins as a newcomer")
}

// restart forgets what belonged to the former generation or identity.
func (m *Machine) restart(what, detail string) {
	m.resetOwnership(errReset)
	m.reconfig = reconfiguration{}
	m.unsettled = map[string]time.Duration{}
	m.confirmed = false
	m.out.MembershipChanged = true
	m.nextStatus = m.now
	m.settings.RecordEvent(what, "", detail)
}

// pull asks a replica of a newer generation for what it holds.
func (m *Machine) pull(address string) {
	if m.pulling || address == "" {
		return
	}
	m.pulling = true
	have := m.heldVersions()
	m.send(address, m.statusAsk(have), func(reply *wire.ReplicaReply) {
		m.pulling = false
		m.observeStatus(reply, have)
	})
}

// Leave has this replica's place taken by a learner, if one is ready, before it stops.
func (m *Machine) Leave(now time.Duration, ticket uint64) {
	m.now = now
	m.leaving = true
	m.leave = append(m.leave, ticket)
	m.reconfig = reconfiguration{started: now - m.settings.StatusInterval}
	m.reconfigure()
	m.drain()
}

// finishLeaving ends the tickets of Leave once nothing is left to do.
func (m *Machine) finishLeaving() {
	for _, ticket := range m.leave {
		m.out.Results = append(m.out.Results, Result{Ticket: ticket, MajorityReplied: true, UpToDate: true})
	}
	m.leave = nil
}

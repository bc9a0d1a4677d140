package replica

import "curlewreach/proto/wire"

// handle answers a question; reply runs when what the answer says is on disk.
func (m *Machine) handle(ask *wire.ReplicaRequest, reply func(*wire.ReplicaReply)) {
	if ask.From != "" {
		m.heard[ask.From] = m.now
	}
	reply = withoutKnownMembership(ask.Generation, reply)
	switch question := ask.Ask.(type) {
	case *wire.ReplicaRequest_Promise:
		m.ifVoter(ask, reply, func() { m.promise(question.Promise, reply) })
	case *wire.ReplicaRequest_Accept:
		m.ifVoter(ask, reply, func() { m.accept(question.Accept, reply) })
	case *wire.ReplicaRequest_Confirm:
		m.ifVoter(ask, reply, func() { m.confirm(question.Confirm, reply) })
	case *wire.ReplicaRequest_Status:
		m.status(ask, question.Status, reply)
	case *wire.ReplicaRequest_Chosen:
		m.observeChosen(question.Chosen)
		m.answer(reply, wire.Standing_GRANTED)
	case *wire.ReplicaRequest_Seal:
		m.seal(ask, question.Seal, reply)
	case *wire.ReplicaRequest_Install:
		m.install(question.Install, reply)
	case *wire.ReplicaRequest_Own:
		m.ifVoter(ask, reply, func() { m.takeOver(question.Own.Key, reply) })
	case *wire.ReplicaRequest_Found:
		m.answerFounding(ask, reply)
	default:
		m.answer(reply, wire.Standing_FAILED)
	}
}

// withoutKnownMembership leaves out of a reply the membership of the generation that the asker named as its own.
func withoutKnownMembership(known uint64, reply func(*wire.ReplicaReply)) func(*wire.ReplicaReply) {
	return func(answer *wire.ReplicaReply) {
		if answer != nil && answer.Membership.GetGeneration() == known {
			answer.Membership = nil
		}
		reply(answer)
	}
}

// answer replies at once, with a standing only.
func (m *Machine) answer(reply func(*wire.ReplicaReply), standing wire.Standing) {
	answer := m.blankReply(standing)
	m.local = append(m.local, func() { reply(answer) })
}

// answerSaved replies when the present state is on disk.
func (m *Machine) answerSaved(reply func(*wire.ReplicaReply), answer *wire.ReplicaReply) {
	m.whenSaved(func(saved bool) {
		if !saved {
			answer = m.blankReply(wire.Standing_FAILED)
		}
		reply(answer)
	})
}

// blankReply is a reply of a standing that tells who this replica is and which membership it knows, and nothing else.
func (m *Machine) blankReply(standing wire.Standing) *wire.ReplicaReply {
	return &wire.ReplicaReply{From: m.durable.Id, Generation: m.generation(), Standing: standing, Membership: m.toldMembership()}
}

// toldMembership is the newest membership that this replica tells: one that it heard of, or holds on disk. A first
// generation that isn't on disk may yet come to nothing.
func (m *Machine) toldMembership() *wire.Membership {
	if m.durable.Membership.GetGeneration() >= m.learned.GetGeneration() {
		return m.durable.Membership
	}
	return m.learned
}

// ifVoter runs vote if this replica votes in the generation of the question; else it says why not.
func (m *Machine) ifVoter(ask *wire.ReplicaRequest, reply func(*wire.ReplicaReply), vote func()) {
	if standing := m.standing(ask.Generation); standing != wire.Standing_GRANTED {
		m.answer(reply, standing)
		return
	}
	vote()
}

// standing says whether this replica may vote in a generation.
func (m *Machine) standing(generation uint64) wire.Standing {
	switch {
	case !m.votes():
		return wire.Standing_NO_VOTE
	case generation < m.generation():
		return wire.Standing_FENCED
	case generation > m.generation():
		return wire.Standing_BEHIND
	case m.state.Next != nil:
		return wire.Standing_SEALED
	}
	return wire.Standing_GRANTED
}

// register returns what this replica holds of a key; it is empty and not nil for an unknown one.
func (m *Machine) register(key string) *wire.Register {
	if register := m.state.Registers[key]; register != nil {
		return register
	}
	return &wire.Register{}
}

// setRegister replaces what this replica holds of a key, to be saved.
func (m *Machine) setRegister(key string, register *wire.Register) {
	m.change(func(next *wire.ReplicaState) { next.Registers[key] = register })
}

// promise takes nothing under a lower term any more.
func (m *Machine) promise(ask *wire.PromiseAsk, reply func(*wire.ReplicaReply)) {
	held := m.register(ask.Key)
	if compareTerms(ask.Term, held.Promised) < 0 {
		answer := m.blankReply(wire.Standing_OUTRANKED)
		answer.Promised = held.Promised
		m.answerSaved(reply, answer)
		return
	}
	if compareTerms(ask.Term, held.Promised) > 0 {
		m.setRegister(ask.Key, &wire.Register{Promised: ask.Term, Accepted: held.Accepted})
	}
	answer := m.blankReply(wire.Standing_GRANTED)
	answer.Promised, answer.Accepted = ask.Term, held.Accepted
	if held.Accepted != nil && ask.Have != nil && compareVersions(held.Accepted, ask.Have) == 0 {
		answer.Accepted = withoutValue(held.Accepted)
	}
	m.answerSaved(reply, answer)
}

// accept keeps a version unless a higher term was promised.
func (m *Machine) accept(ask *wire.AcceptAsk, reply func(*wire.ReplicaReply)) {
	held := m.register(ask.Key)
	version := wholeVersion(ask, held.Accepted)
	if version == nil {
		m.answer(reply, wire.Standing_NEEDS_WHOLE)
		return
	}
	if compareTerms(version.GetTerm(), held.Promised) < 0 || compareVersions(version, held.Accepted) < 0 {
		answer := m.blankReply(wire.Standing_OUTRANKED)
		answer.Promised = held.Promised
		m.answerSaved(reply, answer)
		return
	}
	if held.Accepted == nil || compareVersions(version, held.Accepted) > 0 {
		m.setRegister(ask.Key, &wire.Register{Promised: version.Term, Accepted: version})
	}
	m.answerSaved(reply, m.blankReply(wire.Standing_GRANTED))
}

// confirm says whether a term is still the highest promised, here and on this disk, in a generation that is on it too.
func (m *Machine) confirm(ask *wire.ConfirmAsk, reply func(*wire.ReplicaReply)) {
	if m.durable.Membership.GetGeneration() != m.generation() {
		m.answer(reply, wire.Standing_FAILED)
		return
	}
	standing := wire.Standing_GRANTED
	onDisk := m.durable.Registers[ask.Key].GetPromised()
	if compareTerms(m.register(ask.Key).Promised, ask.Term) != 0 || compareTerms(onDisk, ask.Term) != 0 {
		standing = wire.Standing_OUTRANKED
	}
	answer := m.blankReply(standing)
	answer.Promised = m.register(ask.Key).Promised
	m.local = append(m.local, func() { reply(answer) })
}

// status tells what this disk holds. Values that the asker has are left out.
func (m *Machine) status(ask *wire.ReplicaRequest, question *wire.StatusAsk, reply func(*wire.ReplicaReply)) {
	standing := m.standing(ask.Generation)
	if question.Learner {
		m.observeLearner(ask, question)
		standing = m.standingForLearner(ask)
	}
	if standing == wire.Standing_BEHIND {
		m.pull(ask.Address)
	}
	answer := m.blankReply(standing)
	answer.Generation = m.durable.Membership.GetGeneration()
	if m.durable.Membership != nil {
		answer.Membership = m.durable.Membership
		answer.Registers = m.heldRegisters(question.Have)
	}
	m.local = append(m.local, func() { reply(answer) })
}

// standingForLearner tells an asker without a vote whether this reply counts as a voter's: only if the generation on
// disk, of which the reply tells, is neither sealed nor over.
func (m *Machine) standingForLearner(ask *wire.ReplicaRequest) wire.Standing {
	switch {
	case m.awaitsFounding():
		m.heedFounder(ask)
		return wire.Standing_FOUNDING
	case m.durable.Membership == nil:
		return wire.Standing_NO_VOTE
	case m.state.Next != nil || m.durable.Next != nil || m.durable.Membership.Generation != m.generation():
		return wire.Standing_SEALED
	}
	return wire.Standing_GRANTED
}

// heldRegisters lists all registers, without the values that the asker has.
func (m *Machine) heldRegisters(have map[string]*wire.Version) map[string]*wire.Register {
	registers := map[string]*wire.Register{}
	for key, held := range m.durable.Registers {
		told := &wire.Register{Promised: held.Promised, Accepted: held.Accepted}
		if known := have[key]; known != nil && held.Accepted != nil && compareVersions(known, held.Accepted) == 0 {
			told.Accepted = withoutValue(held.Accepted)
		}
		registers[key] = told
	}
	return registers
}

// observeChosen learns that a version held here is on a majority of disks.
func (m *Machine) observeChosen(ask *wire.ChosenAsk) {
	held := m.register(ask.Key).Accepted
	if held != nil && compareTerms(held.Term, ask.Term) == 0 && held.Serial == ask.Serial {
		m.markChosen(ask.Key, held)
	}
}

// markChosen keeps the newest version known to be chosen. The membership's register begins anew with each generation,
// so that its versions say nothing later.
func (m *Machine) markChosen(key string, version *wire.Version) {
	if key == membershipKey {
		return
	}
	if version == nil || m.chosen[key] != nil && compareVersions(version, m.chosen[key]) <= 0 {
		return
	}
	m.chosen[key] = version
	m.out.ChosenChanged = true
	delete(m.unsettled, key)
}

// Chosen is the newest version of a key known to be chosen, or nil.
func (m *Machine) Chosen(key string) *wire.Version { return m.chosen[key] }

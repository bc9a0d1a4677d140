package replica

import "curlewreach/proto/wire"

// dispatch handles a request. It calls respond only once the state that the reply describes is on disk.
func (m *Machine) dispatch(request *wire.ReplicaRequest, respond func(*wire.ReplicaReply)) {
	if request.From != "" {
		m.lastHeard[request.From] = m.now
	}
	respond = omitKnownMembership(request.Generation, respond)
	switch ask := request.Ask.(type) {
	case *wire.ReplicaRequest_Promise:
		m.requireVoter(request, respond, func() { m.handlePromise(ask.Promise, respond) })
	case *wire.ReplicaRequest_Accept:
		m.requireVoter(request, respond, func() { m.handleAccept(ask.Accept, respond) })
	case *wire.ReplicaRequest_Confirm:
		m.requireVoter(request, respond, func() { m.handleConfirm(ask.Confirm, respond) })
	case *wire.ReplicaRequest_Status:
		m.handleStatus(request, ask.Status, respond)
	case *wire.ReplicaRequest_Chosen:
		m.handleChosen(ask.Chosen)
		m.replyNow(respond, wire.Standing_GRANTED)
	case *wire.ReplicaRequest_Seal:
		m.handleSeal(request, ask.Seal, respond)
	case *wire.ReplicaRequest_Install:
		m.handleInstall(ask.Install, respond)
	case *wire.ReplicaRequest_Own:
		m.requireVoter(request, respond, func() { m.handleOwn(ask.Own.Key, respond) })
	default:
		m.replyNow(respond, wire.Standing_FAILED)
	}
}

// omitKnownMembership removes the membership from a reply if the requester already knows that generation.
func omitKnownMembership(known uint64, respond func(*wire.ReplicaReply)) func(*wire.ReplicaReply) {
	return func(reply *wire.ReplicaReply) {
		if reply != nil && reply.Membership.GetGeneration() == known {
			reply.Membership = nil
		}
		respond(reply)
	}
}

// replyNow replies with a standing only, without waiting for a save.
func (m *Machine) replyNow(respond func(*wire.ReplicaReply), standing wire.Standing) {
	reply := m.newReply(standing)
	m.deferred = append(m.deferred, func() { respond(reply) })
}

// replyAfterSave replies once the current state is on disk, or with FAILED if saving it fails. The reply bears the identity
// of that state: a founder may be asked for its vote before its first save.
func (m *Machine) replyAfterSave(respond func(*wire.ReplicaReply), reply *wire.ReplicaReply) {
	reply.From = m.state.Id
	m.afterSave(func(saved bool) {
		if !saved {
			reply = m.newReply(wire.Standing_FAILED)
		}
		respond(reply)
	})
}

// newReply returns a reply with the given standing, this replica's identity and generation, and the membership it knows.
func (m *Machine) newReply(standing wire.Standing) *wire.ReplicaReply {
	return &wire.ReplicaReply{From: m.durable.Id, Generation: m.generation(), Standing: standing, Membership: m.advertisedMembership()}
}

// advertisedMembership returns the newest membership that replies may carry: one reported by another replica or one on
// the local disk. A first generation that is not on disk yet may still be lost.
func (m *Machine) advertisedMembership() *wire.Membership {
	if m.durable.Membership.GetGeneration() >= m.learnedMembership.GetGeneration() {
		return m.durable.Membership
	}
	return m.learnedMembership
}

// requireVoter calls vote if this replica votes in the generation of the request; otherwise it replies why it does not.
func (m *Machine) requireVoter(request *wire.ReplicaRequest, respond func(*wire.ReplicaReply), vote func()) {
	if standing := m.standing(request.Generation); standing != wire.Standing_GRANTED {
		m.replyNow(respond, standing)
		return
	}
	vote()
}

// standing returns GRANTED if this replica may vote in a generation, or else the reason why not.
func (m *Machine) standing(generation uint64) wire.Standing {
	switch {
	case !m.isVoter():
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

// register returns the register of a key; for an unknown key it is empty and not nil.
func (m *Machine) register(key string) *wire.Register {
	if register := m.state.Registers[key]; register != nil {
		return register
	}
	return &wire.Register{}
}

// setRegister replaces the register of a key in the state to be saved.
func (m *Machine) setRegister(key string, register *wire.Register) {
	m.updateState(func(next *wire.ReplicaState) { next.Registers[key] = register })
}

// handlePromise promises to accept nothing under a lower term, and returns the version accepted so far.
func (m *Machine) handlePromise(ask *wire.PromiseAsk, respond func(*wire.ReplicaReply)) {
	held := m.register(ask.Key)
	if compareTerms(ask.Term, held.Promised) < 0 {
		reply := m.newReply(wire.Standing_OUTRANKED)
		reply.Promised = held.Promised
		m.replyAfterSave(respond, reply)
		return
	}
	if compareTerms(ask.Term, held.Promised) > 0 {
		m.setRegister(ask.Key, &wire.Register{Promised: ask.Term, Accepted: held.Accepted})
	}
	reply := m.newReply(wire.Standing_GRANTED)
	reply.Promised, reply.Accepted = ask.Term, held.Accepted
	if held.Accepted != nil && ask.Have != nil && compareVersions(held.Accepted, ask.Have) == 0 {
		reply.Accepted = withoutValue(held.Accepted)
	}
	m.replyAfterSave(respond, reply)
}

// handleAccept accepts a version unless a higher term was promised.
func (m *Machine) handleAccept(ask *wire.AcceptAsk, respond func(*wire.ReplicaReply)) {
	held := m.register(ask.Key)
	version := resolveVersion(ask, held.Accepted)
	if version == nil {
		m.replyNow(respond, wire.Standing_NEEDS_WHOLE)
		return
	}
	if compareTerms(version.GetTerm(), held.Promised) < 0 || compareVersions(version, held.Accepted) < 0 {
		reply := m.newReply(wire.Standing_OUTRANKED)
		reply.Promised = held.Promised
		m.replyAfterSave(respond, reply)
		return
	}
	if held.Accepted == nil || compareVersions(version, held.Accepted) > 0 {
		m.setRegister(ask.Key, &wire.Register{Promised: version.Term, Accepted: version})
	}
	m.replyAfterSave(respond, m.newReply(wire.Standing_GRANTED))
}

// handleConfirm grants if the term is still the highest promised, both in memory and on disk, and if the current
// generation is on disk too.
func (m *Machine) handleConfirm(ask *wire.ConfirmAsk, respond func(*wire.ReplicaReply)) {
	if m.durable.Membership.GetGeneration() != m.generation() {
		m.replyNow(respond, wire.Standing_FAILED)
		return
	}
	standing := wire.Standing_GRANTED
	onDisk := m.durable.Registers[ask.Key].GetPromised()
	if compareTerms(m.register(ask.Key).Promised, ask.Term) != 0 || compareTerms(onDisk, ask.Term) != 0 {
		standing = wire.Standing_OUTRANKED
	}
	reply := m.newReply(standing)
	reply.Promised = m.register(ask.Key).Promised
	m.deferred = append(m.deferred, func() { respond(reply) })
}

// handleStatus reports the registers on disk, without the values that the requester has.
func (m *Machine) handleStatus(request *wire.ReplicaRequest, ask *wire.StatusAsk, respond func(*wire.ReplicaReply)) {
	standing := m.standing(request.Generation)
	if ask.Learner {
		m.observeLearner(request, ask)
		standing = m.standingForLearner()
	}
	if standing == wire.Standing_BEHIND {
		m.fetchState(request.Address)
	}
	reply := m.newReply(standing)
	reply.Generation = m.durable.Membership.GetGeneration()
	if m.durable.Membership != nil {
		reply.Membership = m.durable.Membership
		reply.Registers = m.registersExcept(ask.Have)
	}
	m.deferred = append(m.deferred, func() { respond(reply) })
}

// standingForLearner tells a requester without a vote whether the reply counts as a voter's. It does only if the
// generation on disk, which the reply describes, has neither been sealed nor ended.
func (m *Machine) standingForLearner() wire.Standing {
	switch {
	case m.durable.Membership == nil:
		return wire.Standing_NO_VOTE
	case m.state.Next != nil || m.durable.Next != nil || m.durable.Membership.Generation != m.generation():
		return wire.Standing_SEALED
	}
	return wire.Standing_GRANTED
}

// registersExcept returns all registers on disk, without the values of versions that the requester has.
func (m *Machine) registersExcept(have map[string]*wire.Version) map[string]*wire.Register {
	registers := map[string]*wire.Register{}
	for key, held := range m.durable.Registers {
		register := &wire.Register{Promised: held.Promised, Accepted: held.Accepted}
		if known := have[key]; known != nil && held.Accepted != nil && compareVersions(known, held.Accepted) == 0 {
			register.Accepted = withoutValue(held.Accepted)
		}
		registers[key] = register
	}
	return registers
}

// handleChosen records that a version held here is chosen.
func (m *Machine) handleChosen(ask *wire.ChosenAsk) {
	held := m.register(ask.Key).Accepted
	if held != nil && compareTerms(held.Term, ask.Term) == 0 && held.Serial == ask.Serial {
		m.markChosen(ask.Key, held)
	}
}

// markChosen records the newest version known to be chosen. The membership register is skipped: it starts empty in each
// generation, so its versions mean nothing in a later one.
func (m *Machine) markChosen(key string, version *wire.Version) {
	if key == membershipKey {
		return
	}
	if version == nil || m.chosen[key] != nil && compareVersions(version, m.chosen[key]) <= 0 {
		return
	}
	m.chosen[key] = version
	m.output.ChosenChanged = true
	delete(m.underReplicated, key)
}

// Chosen returns the newest version of a key known to be chosen, or nil.
func (m *Machine) Chosen(key string) *wire.Version { return m.chosen[key] }

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
	// membershipKey is the register whose chosen value is the next generation's membership.
	membershipKey = "membership"
	// learnerTimeoutRounds is how many status rounds a learner may be silent before it is forgotten.
	learnerTimeoutRounds = 4
	// reconfigRetryRounds is how many status rounds a step of a reconfiguration may take before it is retried.
	reconfigRetryRounds = 2
)

// learner is a replica without a vote that wants one.
type learner struct {
	address   string
	lastHeard time.Duration
	caughtUp  bool
	leaving   bool
	founding  bool // it took part in the first start of the system
	verified  bool // it has replied under its identity; this excludes delayed requests of an identity whose disk is lost
}

// reconfiguration is the state of this replica's attempt to install the next generation.
type reconfiguration struct {
	dueSince   time.Duration // when a change became due; 0 if none is
	lastStep   time.Duration
	inProgress bool
}

// minStepInterval returns the minimum time between the previous step and the next.
func (r *reconfiguration) minStepInterval(statusInterval time.Duration) time.Duration {
	if r.inProgress {
		return reconfigRetryRounds * statusInterval
	}
	return statusInterval / 2
}

// observeLearner records a replica that has no vote. Its earlier identities at the same address are dropped.
func (m *Machine) observeLearner(request *wire.ReplicaRequest, ask *wire.StatusAsk) {
	for id, each := range m.learners {
		if each.address == request.Address && id != request.From {
			delete(m.learners, id)
		}
	}
	known := m.learners[request.From]
	verified := known != nil && known.address == request.Address && known.verified
	m.learners[request.From] = &learner{
		address: request.Address, lastHeard: m.now, caughtUp: ask.CaughtUp, leaving: ask.Leaving, founding: ask.Founding, verified: verified,
	}
	if !verified {
		m.verifyLearner(request.From, request.Address)
	}
}

// verifyLearner sends a request with a short reply to the learner's address, to find out which identity replies there. A
// Confirm changes nothing at its receiver.
func (m *Machine) verifyLearner(id, address string) {
	request := &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Confirm{Confirm: &wire.ConfirmAsk{}}}
	m.send(address, request, func(reply *wire.ReplicaReply) {
		if each := m.learners[id]; each != nil && each.address == address && reply.GetFrom() == id {
			each.verified = true
		}
	})
}

// expireLearners drops learners that have been silent for learnerTimeoutRounds.
func (m *Machine) expireLearners() {
	for id, each := range m.learners {
		if m.now-max(each.lastHeard, m.uninterruptedSince) > learnerTimeoutRounds*m.settings.StatusInterval {
			delete(m.learners, id)
		}
	}
}

// caughtUp reports whether the local disk holds this replica's identity and the newest versions known to be chosen.
func (m *Machine) caughtUp() bool {
	if !m.heardMajority || m.durable.Id != m.state.Id {
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

// nextMembership returns the membership that should follow, or nil if no change is due.
// A learner replaces the voter at its own address (whose disk is lost), the local voter if that one is leaving, or a
// voter that has been silent for VoterTimeout. If there are fewer voters than targeted, it is added as a further one, as is
// each replica that took part in the first start.
func (m *Machine) nextMembership() *wire.Membership {
	current := m.state.Membership
	voters, target := slices.Clone(current.Voters), int(current.Target)
	for _, id := range m.readyLearners() {
		newcomer := m.learners[id]
		if newcomer.founding && voterByAddress(current, newcomer.address) == nil {
			target = max(target, len(voters)+1)
		}
		voters = m.admit(voters, target, &wire.Replica{Id: id, Address: newcomer.address}, current)
	}
	if sameVoters(voters, current.Voters) {
		return nil
	}
	slices.SortFunc(voters, func(a, b *wire.Replica) int { return cmp.Compare(a.Id, b.Id) })
	return &wire.Membership{Generation: current.Generation + 1, Voters: voters, Target: uint32(target)}
}

// readyLearners lists the verified learners that have caught up and may become voters, sorted by identity.
func (m *Machine) readyLearners() []string {
	ready := slices.DeleteFunc(slices.Sorted(maps.Keys(m.learners)), func(id string) bool {
		each := m.learners[id]
		return !each.verified || !each.caughtUp || each.leaving || voterByID(m.state.Membership, id) != nil
	})
	return ready
}

// admit replaces the voter at the newcomer's own address; if there is none, it appends the newcomer while there are fewer
// voters than the target, or else replaces the voter that replaceableVoter finds, if any.
func (m *Machine) admit(voters []*wire.Replica, target int, newcomer *wire.Replica, current *wire.Membership) []*wire.Replica {
	at := slices.IndexFunc(voters, func(voter *wire.Replica) bool { return voter.Address == newcomer.Address })
	if at < 0 && len(voters) < target {
		return append(voters, newcomer)
	}
	if at < 0 {
		at = m.replaceableVoter(voters, current)
	}
	if at >= 0 {
		voters[at] = newcomer
	}
	return voters
}

// replaceableVoter returns the index of this replica if it is leaving, or else of the voter that has been silent longest,
// for at least VoterTimeout; -1 if there is none. While this replica hears no majority, it can't tell who is gone: a voter
// that was cut off with it would have been silent as long as one that is lost.
func (m *Machine) replaceableVoter(voters []*wire.Replica, current *wire.Membership) int {
	found, longest := -1, m.settings.VoterTimeout
	hearsMajority := m.heardVoters(current, responsiveRounds*m.settings.StatusInterval) >= majority(current)
	for i, voter := range voters {
		if voterByID(current, voter.Id) == nil {
			continue // admitted by this change
		}
		if voter.Id == m.state.Id {
			if m.leaving {
				return i
			}
			continue
		}
		if silence := m.sinceHeard(voter.Id); hearsMajority && silence >= longest {
			found, longest = i, silence
		}
	}
	return found
}

func sameVoters(a, b []*wire.Replica) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.Replica) bool { return x.Id == y.Id && x.Address == y.Address })
}

// reconfigure starts or continues a change of the membership.
func (m *Machine) reconfigure() {
	if !m.isVoter() {
		m.completeLeave()
		return
	}
	reconfig := &m.reconfig
	if m.now-reconfig.lastStep < reconfig.minStepInterval(m.settings.StatusInterval) {
		return
	}
	reconfig.inProgress = false
	due := m.state.Next != nil || m.register(membershipKey).Accepted != nil || m.nextMembership() != nil
	if !due {
		reconfig.dueSince = 0
		m.completeLeave()
		return
	}
	if reconfig.dueSince == 0 {
		reconfig.dueSince = m.now
	}
	if !m.leaving && m.now-reconfig.dueSince < m.rankDelay() {
		return
	}
	reconfig.inProgress, reconfig.lastStep, reconfig.dueSince = true, m.now, m.now
	if m.state.Next != nil {
		m.sealAll(m.state.Next)
		return
	}
	m.proposeNextMembership()
}

// proposeNextMembership has a majority of the current generation choose the next one, and then installs it.
func (m *Machine) proposeNextMembership() {
	generation := m.generation()
	proposed := m.nextMembership()
	m.enqueue(membershipKey, &task{
		change: func(old []byte) ([]byte, error) {
			if len(old) > 0 || proposed == nil {
				return nil, nil
			}
			return proto.MarshalOptions{Deterministic: true}.Marshal(proposed)
		},
		done: func(version *wire.Version, err error) {
			if err != nil || m.generation() != generation || len(version.GetValue()) == 0 {
				m.reconfig.inProgress = false
				return
			}
			next := &wire.Membership{}
			if proto.Unmarshal(version.Value, next) != nil || next.Generation != generation+1 {
				m.settings.RecordEvent("membership-unreadable", "", "the chosen membership can't be read")
				return
			}
			m.settings.RecordEvent("membership-chosen", "", describeMembership(next))
			m.sealAll(next)
		},
	})
}

// sealAll seals the current generation on a majority of its voters and installs the next with their merged registers.
func (m *Machine) sealAll(next *wire.Membership) {
	current := m.state.Membership
	newRequest := func() *wire.ReplicaRequest {
		return &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Seal{Seal: &wire.SealAsk{Next: next}}}
	}
	m.poll(current, newRequest, func(r *round, _ *wire.ReplicaReply) {
		switch {
		case r.granted() >= majority(current):
			r.closed = true
			m.installAll(next, r.mergedRegisters())
		case r.majorityImpossible():
			r.closed = true
			m.reconfig.inProgress = false
		}
	})
}

// mergedRegisters merges the registers of the sealed voters. They are a majority, so the result contains every version
// chosen in their generation.
func (r *round) mergedRegisters() map[string]*wire.Register {
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
				Promised: higherTerm(known.GetPromised(), held.Promised), Accepted: newerVersion(known.GetAccepted(), held.Accepted),
			}
		}
	}
	return registers
}

// installAll installs the next generation, with the given registers, on a majority of its voters.
func (m *Machine) installAll(next *wire.Membership, registers map[string]*wire.Register) {
	newRequest := func() *wire.ReplicaRequest {
		return &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Install{Install: &wire.InstallAsk{Membership: next, Registers: registers}}}
	}
	m.poll(next, newRequest, func(r *round, _ *wire.ReplicaReply) {
		switch {
		case r.granted() >= majority(next):
			r.closed = true
			m.reconfig.inProgress = false
			m.settings.RecordEvent("membership-installed", "", describeMembership(next))
			m.afterInstall(next)
		case r.majorityImpossible():
			r.closed = true
			m.reconfig.inProgress = false
		}
	})
}

// afterInstall makes this replica a learner if it is not a voter of the installed generation.
func (m *Machine) afterInstall(next *wire.Membership) {
	m.learnMembership(next)
	if m.isVoter() && m.generation() < next.Generation && voterByID(next, m.state.Id) == nil {
		m.resignVote()
	}
}

// handleSeal seals the current generation here. The requester has seen that the next one is chosen.
func (m *Machine) handleSeal(request *wire.ReplicaRequest, ask *wire.SealAsk, respond func(*wire.ReplicaReply)) {
	if !m.isVoter() || request.Generation != m.generation() || ask.Next.GetGeneration() != m.generation()+1 {
		m.replyNow(respond, m.standing(request.Generation))
		return
	}
	if m.state.Next == nil {
		m.updateState(func(next *wire.ReplicaState) { next.Next = ask.Next })
		m.stopProposersExcept(membershipKey, errGenerationEnded)
	}
	reply := m.newReply(wire.Standing_GRANTED)
	reply.Registers = m.state.Registers
	m.replyAfterSave(respond, reply)
}

// handleInstall makes this replica a voter of a generation, if it is one of that generation's voters.
func (m *Machine) handleInstall(ask *wire.InstallAsk, respond func(*wire.ReplicaReply)) {
	next := ask.Membership
	switch {
	case voterByID(next, m.state.Id) == nil:
		m.replyNow(respond, wire.Standing_NO_VOTE)
		return
	case next.Generation < m.generation():
		m.replyNow(respond, wire.Standing_FENCED)
		return
	case next.Generation > m.generation():
		m.enterGeneration(next, ask.Registers)
	}
	m.replyAfterSave(respond, m.newReply(wire.Standing_GRANTED))
}

// enterGeneration makes this replica a voter of a generation. The registers must contain all versions chosen before it.
// The replica's own promises are kept, so that it never uses a term twice.
func (m *Machine) enterGeneration(membership *wire.Membership, registers map[string]*wire.Register) {
	m.updateState(func(next *wire.ReplicaState) {
		previous := next.Registers
		next.Membership, next.Next, next.Founding = membership, nil, nil
		next.Registers = map[string]*wire.Register{}
		for key, register := range registers {
			if key != membershipKey {
				term := higherTerm(register.Promised, previous[key].GetPromised())
				next.Registers[key] = &wire.Register{Promised: term, Accepted: register.Accepted}
			}
		}
		for key, register := range previous {
			if key != membershipKey && next.Registers[key] == nil {
				next.Registers[key] = &wire.Register{Promised: register.Promised}
			}
		}
		next.Known = addressesOf(membership)
	})
	m.resetGenerationState("generation", describeMembership(membership))
	for _, voter := range membership.Voters {
		m.lastHeard[voter.Id] = max(m.lastHeard[voter.Id], m.now)
		delete(m.learners, voter.Id)
	}
}

// resignVote makes a replaced voter a learner under a new identity, so that its old votes no longer count.
func (m *Machine) resignVote() {
	m.updateState(func(next *wire.ReplicaState) {
		next.Id = m.settings.NewID()
		next.Membership, next.Next = nil, nil
		next.Registers = map[string]*wire.Register{}
	})
	m.resetGenerationState("replaced", "this replica has been replaced and joins as a newcomer")
}

// resetGenerationState discards what belonged to the previous generation or identity.
func (m *Machine) resetGenerationState(what, detail string) {
	m.stopProposers(errGenerationEnded)
	m.reconfig = reconfiguration{}
	m.underReplicated = map[string]time.Duration{}
	m.heardMajority = false
	m.output.MembershipChanged = true
	m.nextStatusRound = m.now
	m.settings.RecordEvent(what, "", detail)
}

// fetchState requests the state of a replica that is in a newer generation.
func (m *Machine) fetchState(address string) {
	if m.fetchingState || address == "" {
		return
	}
	m.fetchingState = true
	have := m.acceptedVersions()
	m.send(address, m.newStatusRequest(have), func(reply *wire.ReplicaReply) {
		m.fetchingState = false
		m.observeStatus(reply, have)
	})
}

// Leave asks that a learner, if one is ready, replaces this replica before it stops.
func (m *Machine) Leave(now time.Duration, ticket uint64) {
	m.now = now
	m.leaving = true
	m.leaveTickets = append(m.leaveTickets, ticket)
	m.reconfig = reconfiguration{lastStep: now - m.settings.StatusInterval}
	m.reconfigure()
	m.runDeferred()
}

// completeLeave completes the tickets of Leave once there is nothing left to do.
func (m *Machine) completeLeave() {
	for _, ticket := range m.leaveTickets {
		m.output.Results = append(m.output.Results, Result{Ticket: ticket, MajorityReplied: true, UpToDate: true})
	}
	m.leaveTickets = nil
}

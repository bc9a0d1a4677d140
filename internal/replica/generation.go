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
	// learnerTimeoutRounds is how many status rounds a learner may miss before it is forgotten.
	learnerTimeoutRounds = 4
	// reconfigRetryRounds is how many status rounds a change of the membership may stand still before another voter goes on with it.
	reconfigRetryRounds = 2
)

// learner is a replica without a vote that wants one.
type learner struct {
	address   string
	lastHeard time.Duration
	caughtUp  bool
	leaving   bool
	verified  bool // it has answered under its identity, so that its questions weren't late ones of a lost disk
}

// reconfiguration is this replica's work on the next generation.
type reconfiguration struct {
	dueSince   time.Duration // since when a change has been due; 0: none is
	lastStep   time.Duration
	inProgress bool
}

// minStepInterval is how long to leave the last step alone before the next.
func (r *reconfiguration) minStepInterval(statusInterval time.Duration) time.Duration {
	if r.inProgress {
		return reconfigRetryRounds * statusInterval
	}
	return statusInterval / 2
}

// observeLearner remembers a replica that has no vote.
func (m *Machine) observeLearner(request *wire.ReplicaRequest, ask *wire.StatusAsk) {
	for id, each := range m.learners {
		if each.address == request.Address && id != request.From {
			delete(m.learners, id)
		}
	}
	known := m.learners[request.From]
	verified := known != nil && known.address == request.Address && known.verified
	m.learners[request.From] = &learner{
		address: request.Address, lastHeard: m.now, caughtUp: ask.CaughtUp, leaving: ask.Leaving, verified: verified,
	}
	if !verified {
		m.verifyLearner(request.From, request.Address)
	}
}

// verifyLearner asks back, for a short answer that tells who is at the address.
func (m *Machine) verifyLearner(id, address string) {
	request := &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Confirm{Confirm: &wire.ConfirmAsk{}}}
	m.send(address, request, func(reply *wire.ReplicaReply) {
		if each := m.learners[id]; each != nil && each.address == address && reply.GetFrom() == id {
			each.verified = true
		}
	})
}

// expireLearners drops replicas without a vote that have been silent for long.
func (m *Machine) expireLearners() {
	for id, each := range m.learners {
		if m.now-max(each.lastHeard, m.uninterruptedSince) > learnerTimeoutRounds*m.settings.StatusInterval {
			delete(m.learners, id)
		}
	}
}

// caughtUp says whether this disk holds this identity and the newest versions known to be chosen.
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

// nextMembership gives the membership that should follow, or nil if nothing is due.
// A learner takes the place of a voter at its own address (whose disk is gone), of one that leaves, or of one
// that has been silent for long; it becomes a further voter where there are fewer than wanted.
func (m *Machine) nextMembership() *wire.Membership {
	current := m.state.Membership
	voters := slices.Clone(current.Voters)
	for _, id := range m.readyLearners() {
		voters = m.admit(voters, &wire.Replica{Id: id, Address: m.learners[id].address}, current)
	}
	if sameVoters(voters, current.Voters) {
		return nil
	}
	slices.SortFunc(voters, func(a, b *wire.Replica) int { return cmp.Compare(a.Id, b.Id) })
	return &wire.Membership{Generation: current.Generation + 1, Voters: voters, Target: current.Target}
}

// readyLearners lists, sorted, the learners that have caught up and may take a place.
func (m *Machine) readyLearners() []string {
	ready := slices.DeleteFunc(slices.Sorted(maps.Keys(m.learners)), func(id string) bool {
		each := m.learners[id]
		return !each.verified || !each.caughtUp || each.leaving || voterByID(m.state.Membership, id) != nil
	})
	return ready
}

// admit gives a newcomer the place of the voter at its own address; else one beside the others while they are too few;
// else that of the one that may best be spared, if any.
func (m *Machine) admit(voters []*wire.Replica, newcomer *wire.Replica, current *wire.Membership) []*wire.Replica {
	at := slices.IndexFunc(voters, func(voter *wire.Replica) bool { return voter.Address == newcomer.Address })
	if at < 0 && len(voters) < int(current.Target) {
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

// replaceableVoter finds a voter that leaves, or else the one that has been silent longest beyond the bound.
func (m *Machine) replaceableVoter(voters []*wire.Replica, current *wire.Membership) int {
	found, longest := -1, m.settings.VoterTimeout
	for i, voter := range voters {
		if voterByID(current, voter.Id) == nil {
			continue // it has just been admitted
		}
		if voter.Id == m.state.Id {
			if m.leaving {
				return i
			}
			continue
		}
		if silence := m.sinceHeard(voter.Id); silence >= longest {
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

// proposeNextMembership has the next generation chosen by a majority of the present one, then carries it out.
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

// sealAll ends the present generation on a majority of its voters and installs the next with all that they hold.
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

// mergedRegisters joins what the sealed replicas hold: every version chosen in their generation is among it.
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

// afterInstall lets a replica that is no longer a voter become a learner.
func (m *Machine) afterInstall(next *wire.Membership) {
	m.learnMembership(next)
	if m.isVoter() && m.generation() < next.Generation && voterByID(next, m.state.Id) == nil {
		m.resignVote()
	}
}

// handleSeal ends this generation here. That the next is chosen, the asker has seen.
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

// handleInstall starts a generation here.
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

// enterGeneration makes this replica a voter of a generation, with registers that hold all that was chosen before it.
// What it promised itself is kept, so that it never uses a term twice.
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

// resignVote turns a voter that has been replaced into a newcomer: its old votes are over.
func (m *Machine) resignVote() {
	m.updateState(func(next *wire.ReplicaState) {
		next.Id = m.settings.NewID()
		next.Membership, next.Next = nil, nil
		next.Registers = map[string]*wire.Register{}
	})
	m.resetGenerationState("replaced", "this replica has been replaced and joins as a newcomer")
}

// resetGenerationState forgets what belonged to the former generation or identity.
func (m *Machine) resetGenerationState(what, detail string) {
	m.stopProposers(errGenerationEnded)
	m.reconfig = reconfiguration{}
	m.underReplicated = map[string]time.Duration{}
	m.heardMajority = false
	m.output.MembershipChanged = true
	m.nextStatusRound = m.now
	m.settings.RecordEvent(what, "", detail)
}

// fetchState asks a replica of a newer generation for what it holds.
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

// Leave has this replica's place taken by a learner, if one is ready, before it stops.
func (m *Machine) Leave(now time.Duration, ticket uint64) {
	m.now = now
	m.leaving = true
	m.leaveTickets = append(m.leaveTickets, ticket)
	m.reconfig = reconfiguration{lastStep: now - m.settings.StatusInterval}
	m.reconfigure()
	m.runDeferred()
}

// completeLeave ends the tickets of Leave once nothing is left to do.
func (m *Machine) completeLeave() {
	for _, ticket := range m.leaveTickets {
		m.output.Results = append(m.output.Results, Result{Ticket: ticket, MajorityReplied: true, UpToDate: true})
	}
	m.leaveTickets = nil
}

package replica

import (
	"maps"
	"slices"
	"time"

	"curlewreach/proto/wire"
)

const (
	// pauseIntervals is how many status intervals without a tick count as a pause of this process. The silence of
	// other replicas during a pause is not counted.
	pauseIntervals = 3
	// responsiveRounds is how many status rounds a voter may be silent before a status round no longer waits for it.
	responsiveRounds = 2
	// seedPollRounds is how many status rounds pass between two polls of seeds that are not voters.
	seedPollRounds = 8
)

// quorumRead is a ticket that waits for a majority of voters to reply to a request sent after it was opened.
type quorumRead struct {
	ticket uint64
	key    string
}

// QuorumRead returns the newest chosen version of a key by a status round that starts now.
func (m *Machine) QuorumRead(now time.Duration, ticket uint64, key string) {
	m.now = now
	m.startStatusRound([]*quorumRead{{ticket, key}})
	m.runDeferred()
}

// pollMembers runs once per StatusInterval. It starts a status round and, if this replica has no vote or hears too few
// voters, looks for members at other addresses.
func (m *Machine) pollMembers() {
	m.statusRounds++
	if !m.isVoter() || m.statusRounds%seedPollRounds == 0 && m.isIsolated() {
		m.discoverMembers()
	}
	m.startStatusRound(nil)
}

// startStatusRound asks all members for their registers. If no members are known, its reads fail at once and no request
// is sent: callers retry after a short pause, so only pollMembers may decide how often the seeds are asked.
func (m *Machine) startStatusRound(reads []*quorumRead) {
	members := m.newestMembership()
	if members == nil {
		m.failQuorumReads(reads, nil)
		return
	}
	have, began := m.acceptedVersions(), m.now
	m.poll(members, func() *wire.ReplicaRequest { return m.newStatusRequest(have) }, func(r *round, reply *wire.ReplicaReply) {
		m.observeStatus(reply, have)
		m.resignIfReplaced(r)
		m.evaluateStatusRound(r, began, have, reads)
	})
}

// isIsolated reports whether less than a majority of the voters has been heard within VoterTimeout.
func (m *Machine) isIsolated() bool {
	return m.heardVoters(m.newestMembership(), m.settings.VoterTimeout) < majority(m.newestMembership())
}

// heardVoters returns how many voters, with this replica, have been heard within a time.
func (m *Machine) heardVoters(membership *wire.Membership, within time.Duration) (heard int) {
	for _, voter := range membership.Voters {
		if voter.Id == m.state.Id || m.sinceHeard(voter.Id) < within {
			heard++
		}
	}
	return heard
}

// sinceHeard returns how long a replica has been silent, counted from this process's last pause at the earliest.
func (m *Machine) sinceHeard(id string) time.Duration {
	return m.now - max(m.lastHeard[id], m.uninterruptedSince)
}

// acceptedVersions returns the versions accepted by this replica, by key.
func (m *Machine) acceptedVersions() map[string]*wire.Version {
	have := map[string]*wire.Version{}
	for key, register := range m.state.Registers {
		if register.Accepted != nil {
			have[key] = register.Accepted
		}
	}
	return have
}

// newStatusRequest requests the registers. It names the versions held here, so that their values are not sent again.
func (m *Machine) newStatusRequest(have map[string]*wire.Version) *wire.ReplicaRequest {
	known := map[string]*wire.Version{}
	for key, version := range have {
		known[key] = withoutValue(version)
	}
	return &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Status{Status: &wire.StatusAsk{
		Have: known, Learner: !m.isVoter(), CaughtUp: m.caughtUp(), Leaving: m.leaving, Founding: len(m.state.Founding) > 0,
	}}}
}

// observeStatus enters a newer generation that a reply describes, if this replica is one of its voters.
func (m *Machine) observeStatus(reply *wire.ReplicaReply, have map[string]*wire.Version) {
	if reply == nil {
		return
	}
	m.learnMembership(reply.Membership)
	if reply.Membership.GetGeneration() != reply.Generation || reply.Generation <= m.generation() {
		return
	}
	if voterByID(reply.Membership, m.state.Id) != nil {
		m.enterGeneration(reply.Membership, restoreValues(reply.Registers, have))
	}
}

// resignIfReplaced gives up the vote once a majority of a newer generation without this replica has that generation on
// disk. Until then the newer generation may have to be installed again from the registers held here.
func (m *Machine) resignIfReplaced(r *round) {
	newer := r.membership
	if !m.isVoter() || newer.Generation <= m.generation() || voterByID(newer, m.state.Id) != nil {
		return
	}
	installed := r.count(func(reply *wire.ReplicaReply) bool { return reply.Generation >= newer.Generation })
	if installed >= majority(newer) {
		m.resignVote()
	}
}

// restoreValues fills in the values that a reply omitted because the request named their versions.
func restoreValues(received map[string]*wire.Register, have map[string]*wire.Version) map[string]*wire.Register {
	registers := map[string]*wire.Register{}
	for key, register := range received {
		registers[key] = &wire.Register{Promised: register.Promised, Accepted: restoreValue(register.Accepted, have[key])}
	}
	return registers
}

// restoreValue fills in the value of a version that is known here.
func restoreValue(received, known *wire.Version) *wire.Version {
	if received != nil && known != nil && compareVersions(received, known) == 0 {
		return known
	}
	return received
}

// learnMembership records the newest membership reported by another replica.
func (m *Machine) learnMembership(membership *wire.Membership) {
	if membership.GetGeneration() <= m.newestMembership().GetGeneration() {
		return
	}
	m.learnedMembership = membership
	m.output.MembershipChanged = true
	m.saveKnownAddresses(membership)
}

// saveKnownAddresses saves the voters' addresses, so that they are found after a restart with other seeds.
func (m *Machine) saveKnownAddresses(membership *wire.Membership) {
	addresses := addressesOf(membership)
	if slices.Equal(addresses, m.state.Known) {
		return
	}
	m.updateState(func(next *wire.ReplicaState) { next.Known = addresses })
}

func addressesOf(membership *wire.Membership) []string {
	var addresses []string
	for _, voter := range membership.GetVoters() {
		addresses = append(addresses, voter.Address)
	}
	slices.Sort(addresses)
	return addresses
}

// evaluateStatusRound runs after each reply. The round's result is reported once a majority has replied, each key's
// newest version is held by a majority and all responsive voters have replied, or once all voters have replied.
func (m *Machine) evaluateStatusRound(r *round, began time.Duration, have map[string]*wire.Version, reads []*quorumRead) {
	majorityReplied := r.granted() >= majority(r.membership)
	if !majorityReplied && !r.complete() {
		return
	}
	newest, onMajority := r.newest(have)
	if majorityReplied {
		m.adoptChosen(newest, onMajority)
		m.recordUpToDate(began, onMajority)
	}
	if !r.complete() && (!allTrue(onMajority) || m.awaitsResponsiveVoter(r)) {
		return
	}
	r.closed = r.complete()
	if r.reported {
		return
	}
	r.reported = true
	if majorityReplied {
		m.lastMajorityRound = max(m.lastMajorityRound, began)
		m.recordReplication(newest, onMajority)
		for key, version := range newest {
			m.copies[key] = r.countCopies(key, version)
		}
	}
	for _, each := range reads {
		_, found := onMajority[each.key]
		m.output.Results = append(m.output.Results, Result{
			Ticket: each.ticket, Version: m.chosen[each.key], MajorityReplied: majorityReplied, UpToDate: majorityReplied && (!found || onMajority[each.key]),
		})
	}
}

// awaitsResponsiveVoter reports whether a recently heard voter has not replied yet. It may hold a version that no other
// voter has.
func (m *Machine) awaitsResponsiveVoter(r *round) bool {
	return slices.ContainsFunc(r.membership.Voters, func(voter *wire.Replica) bool {
		_, replied := r.replies[voter.Id]
		return !replied && m.sinceHeard(voter.Id) < responsiveRounds*m.settings.StatusInterval
	})
}

func allTrue(values map[string]bool) bool {
	for _, value := range values {
		if !value {
			return false
		}
	}
	return true
}

// failQuorumReads fails reads that cannot be answered.
func (m *Machine) failQuorumReads(reads []*quorumRead, version *wire.Version) {
	for _, each := range reads {
		m.output.Results = append(m.output.Results, Result{Ticket: each.ticket, Version: version, Err: errNotVoter})
	}
}

// newest returns each key's newest version among the replies, and whether it has the votes of a majority.
func (r *round) newest(have map[string]*wire.Version) (newest map[string]*wire.Version, onMajority map[string]bool) {
	newest, onMajority = map[string]*wire.Version{}, map[string]bool{}
	for _, reply := range r.replies {
		if !r.grants(reply) {
			continue
		}
		for key, register := range reply.Registers {
			if register.Accepted != nil {
				newest[key] = newerVersion(newest[key], restoreValue(register.Accepted, have[key]))
			}
		}
	}
	for key, version := range newest {
		onMajority[key] = r.countVotes(key, version) >= majority(r.membership)
	}
	return newest, onMajority
}

// countVotes counts the replies that are a vote for a version. A copy that was installed, or adopted, under a higher
// promise is not a vote: another voter may hold a version of that higher term.
func (r *round) countVotes(key string, version *wire.Version) int {
	return r.count(func(reply *wire.ReplicaReply) bool {
		held := reply.Registers[key]
		return r.grants(reply) && held.GetAccepted() != nil && compareVersions(held.Accepted, version) == 0 &&
			compareTerms(held.Promised, version.Term) == 0
	})
}

// countCopies counts the replies that hold a version.
func (r *round) countCopies(key string, version *wire.Version) int {
	return r.count(func(reply *wire.ReplicaReply) bool {
		held := reply.Registers[key].GetAccepted()
		return r.grants(reply) && held != nil && compareVersions(held, version) == 0
	})
}

// adoptChosen stores the versions that a majority holds. The membership register is left to the reconfiguration, because
// its versions have a meaning only in their own generation.
func (m *Machine) adoptChosen(newest map[string]*wire.Version, onMajority map[string]bool) {
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if key == membershipKey || !onMajority[key] {
			continue
		}
		m.storeChosen(key, newest[key])
		m.markChosen(key, newest[key])
	}
}

// recordUpToDate records for each key held by a majority that no version chosen before the round began is newer than the
// chosen one known here: a majority replied, it overlaps with every earlier majority, and the newest version among its
// replies is chosen.
func (m *Machine) recordUpToDate(began time.Duration, onMajority map[string]bool) {
	for key, chosen := range onMajority {
		if chosen && key != membershipKey {
			m.upToDateAt[key] = max(m.upToDateAt[key], began)
		}
	}
}

// ChosenAsOf returns the newest version of a key known to be chosen, and a time before which no newer one was chosen.
// known is false if no round has established such a time yet.
func (m *Machine) ChosenAsOf(key string) (version *wire.Version, asOf time.Duration, known bool) {
	asOf, known = m.upToDateAt[key]
	return m.chosen[key], asOf, known
}

// storeChosen stores a chosen version in this replica's own register.
func (m *Machine) storeChosen(key string, version *wire.Version) {
	held := m.register(key)
	if held.Accepted != nil && compareVersions(version, held.Accepted) <= 0 {
		return
	}
	if m.isVoter() && (m.state.Next != nil || compareTerms(version.Term, held.Promised) < 0) {
		return
	}
	m.setRegister(key, &wire.Register{Promised: higherTerm(held.Promised, version.Term), Accepted: version})
}

// recordReplication records which keys' newest versions are held by less than a majority, and since when.
func (m *Machine) recordReplication(newest map[string]*wire.Version, onMajority map[string]bool) {
	m.heardMajority = true
	for key := range newest {
		if onMajority[key] {
			delete(m.underReplicated, key)
		} else if _, known := m.underReplicated[key]; !known {
			m.underReplicated[key] = m.now
		}
	}
}

// recommitUnderReplicated reads a key under a new term if its newest version has been under-replicated for RecommitAfter.
func (m *Machine) recommitUnderReplicated() {
	if !m.isVoter() {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(m.underReplicated)) {
		if key == membershipKey || m.now-m.underReplicated[key] < m.settings.RecommitAfter+m.rankDelay() {
			continue
		}
		m.settings.RecordEvent("unsettled", key, "its newest version is on too few disks; reading it under a new term")
		m.underReplicated[key] = m.now
		m.enqueue(key, &task{done: func(*wire.Version, error) {}})
	}
}

// rankDelay returns a delay by this voter's rank, so that the voters do not all start the same work at once.
func (m *Machine) rankDelay() time.Duration {
	rank := slices.IndexFunc(m.newestMembership().GetVoters(), func(voter *wire.Replica) bool { return voter.Id == m.state.Id })
	return time.Duration(max(rank, 0)) * m.settings.StatusInterval
}

// ReplicatedAsOf returns when the last status round that a majority replied to began. ok is false if there was none, or if
// the newest version of the key was held by less than a majority.
func (m *Machine) ReplicatedAsOf(key string) (began time.Duration, ok bool) {
	_, found := m.underReplicated[key]
	return m.lastMajorityRound, m.heardMajority && !found
}

package replica

import (
	"maps"
	"slices"
	"time"

	"curlewreach/proto/wire"
)

const (
	// standstillRatio of Watch without a tick is taken for a standstill: what was unheard meanwhile counts for nothing.
	standstillRatio = 3
	// absentRounds is how many status rounds a voter may be silent before a round no longer waits for it.
	absentRounds = 2
	// seedRounds is how many status rounds pass between two looks at seeds that are no voters.
	seedRounds = 8
)

// survey waits for a majority of voters that answered a question asked since it was opened.
type survey struct {
	ticket uint64
	key    string
}

// QuorumRead gives the newest chosen version of a key by a round of questions that begins now.
func (m *Machine) QuorumRead(now time.Duration, ticket uint64, key string) {
	m.now = now
	m.startStatusRound([]*survey{{ticket, key}})
	m.drain()
}

// watchMembers runs once in each Watch: a status round and, where this replica has no vote or hardly hears the voters,
// a search for others.
func (m *Machine) watchMembers() {
	m.rounds++
	if !m.votes() || m.rounds%seedRounds == 0 && m.isIsolated() {
		m.searchMembers()
	}
	m.startStatusRound(nil)
}

// startStatusRound asks all members what they hold. Where none are known its surveys fail at once, without a question
// to anybody: callers ask again within moments, and only watchMembers bounds how often the seeds are asked.
func (m *Machine) startStatusRound(surveys []*survey) {
	members := m.members()
	if members == nil {
		m.endSurveys(surveys, nil)
		return
	}
	have, began := m.heldVersions(), m.now
	m.poll(members, func() *wire.ReplicaRequest { return m.statusAsk(have) }, func(r *round, reply *wire.ReplicaReply) {
		m.observeStatus(reply, have)
		m.resignIfReplaced(r)
		m.concludeStatus(r, began, have, surveys)
	})
}

// isIsolated says whether most of the voters have been silent.
func (m *Machine) isIsolated() bool {
	heard := 0
	for _, voter := range m.members().Voters {
		if voter.Id == m.state.Id || m.silence(voter.Id) < m.settings.VoterTimeout {
			heard++
		}
	}
	return heard < majority(m.members())
}

// silence is for how long a replica went unheard while this one ran.
func (m *Machine) silence(id string) time.Duration {
	return m.now - max(m.heard[id], m.steadySince)
}

// heldVersions lists the versions on this replica, by key.
func (m *Machine) heldVersions() map[string]*wire.Version {
	have := map[string]*wire.Version{}
	for key, register := range m.state.Registers {
		if register.Accepted != nil {
			have[key] = register.Accepted
		}
	}
	return have
}

// statusAsk asks for the registers, naming the versions that need not be sent again.
func (m *Machine) statusAsk(have map[string]*wire.Version) *wire.ReplicaRequest {
	told := map[string]*wire.Version{}
	for key, version := range have {
		told[key] = withoutValue(version)
	}
	return &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Status{Status: &wire.StatusAsk{
		Have: told, Learner: !m.votes(), CaughtUp: m.caughtUp(), Leaving: m.leaving,
	}}}
}

// observeStatus takes what one reply tells of a newer generation.
func (m *Machine) observeStatus(reply *wire.ReplicaReply, have map[string]*wire.Version) {
	if reply == nil {
		return
	}
	m.learn(reply.Membership)
	if reply.Membership.GetGeneration() != reply.Generation || reply.Generation <= m.generation() {
		return
	}
	if voterWith(reply.Membership, m.state.Id) != nil {
		m.enter(reply.Membership, withValues(reply.Registers, have))
	}
}

// resignIfReplaced gives up the vote once a majority of a newer generation, without this replica, holds it on disk.
// Until then the next generation may have to be installed again from what is held here.
func (m *Machine) resignIfReplaced(r *round) {
	newer := r.membership
	if !m.votes() || newer.Generation <= m.generation() || voterWith(newer, m.state.Id) != nil {
		return
	}
	installed := r.count(func(reply *wire.ReplicaReply) bool { return reply.Generation >= newer.Generation })
	if installed >= majority(newer) {
		m.resign()
	}
}

// withValues puts back the values that a reply left out because the question named their versions.
func withValues(told map[string]*wire.Register, have map[string]*wire.Version) map[string]*wire.Register {
	registers := map[string]*wire.Register{}
	for key, register := range told {
		registers[key] = &wire.Register{Promised: register.Promised, Accepted: withValue(register.Accepted, have[key])}
	}
	return registers
}

// withValue puts back the value of a version that is known here.
func withValue(told, known *wire.Version) *wire.Version {
	if told != nil && known != nil && compareVersions(told, known) == 0 {
		return known
	}
	return told
}

// learn remembers the newest membership heard of.
func (m *Machine) learn(membership *wire.Membership) {
	if membership.GetGeneration() <= m.members().GetGeneration() {
		return
	}
	m.learned = membership
	m.out.MembershipChanged = true
	m.rememberAddresses(membership)
}

// rememberAddresses keeps the voters' addresses on disk, to find them after a restart with other seeds.
func (m *Machine) rememberAddresses(membership *wire.Membership) {
	addresses := addressesOf(membership)
	if slices.Equal(addresses, m.state.Known) {
		return
	}
	m.change(func(next *wire.ReplicaState) { next.Known = addresses })
}

func addressesOf(membership *wire.Membership) []string {
	var addresses []string
	for _, voter := range membership.GetVoters() {
		addresses = append(addresses, voter.Address)
	}
	slices.Sort(addresses)
	return addresses
}

// concludeStatus ends a round once a majority has answered and each key's newest version is on a majority.
func (m *Machine) concludeStatus(r *round, began time.Duration, have map[string]*wire.Version, surveys []*survey) {
	agreed := r.granted() >= majority(r.membership)
	if !agreed && !r.complete() {
		return
	}
	newest, settled := r.newest(have)
	if agreed {
		m.adopt(newest, settled)
		m.noteFresh(began, settled)
	}
	if !r.complete() && (!all(settled) || m.awaitsVoter(r)) {
		return
	}
	r.closed = r.complete()
	if r.concluded {
		return
	}
	r.concluded = true
	if agreed {
		m.majorityAt = max(m.majorityAt, began)
		m.majorityHeard(newest, settled)
		for key, version := range newest {
			m.copies[key] = r.copies(key, version)
		}
	}
	for _, each := range surveys {
		_, disputed := settled[each.key]
		m.out.Results = append(m.out.Results, Result{
			Ticket: each.ticket, Version: m.chosen[each.key], MajorityReplied: agreed, UpToDate: agreed && (!disputed || settled[each.key]),
		})
	}
}

// awaitsVoter says whether a voter that was heard lately has not replied yet. It may hold a version that nobody else has.
func (m *Machine) awaitsVoter(r *round) bool {
	return slices.ContainsFunc(r.membership.Voters, func(voter *wire.Replica) bool {
		_, replied := r.replies[voter.Id]
		return !replied && m.silence(voter.Id) < absentRounds*m.settings.StatusInterval
	})
}

func all(truths map[string]bool) bool {
	for _, truth := range truths {
		if !truth {
			return false
		}
	}
	return true
}

// endSurveys ends surveys that can't be answered.
func (m *Machine) endSurveys(surveys []*survey, version *wire.Version) {
	for _, each := range surveys {
		m.out.Results = append(m.out.Results, Result{Ticket: each.ticket, Version: version, Err: errNoVote})
	}
}

// newest gives each key's highest version among the replies, and whether a majority holds just that.
func (r *round) newest(have map[string]*wire.Version) (newest map[string]*wire.Version, settled map[string]bool) {
	newest, settled = map[string]*wire.Version{}, map[string]bool{}
	for _, reply := range r.replies {
		if !r.grants(reply) {
			continue
		}
		for key, register := range reply.Registers {
			if register.Accepted != nil {
				newest[key] = newer(newest[key], withValue(register.Accepted, have[key]))
			}
		}
	}
	for key, version := range newest {
		settled[key] = r.votes(key, version) >= majority(r.membership)
	}
	return newest, settled
}

// votes counts the replies that hold a version as a vote for it. A copy that was installed, or taken over, under a
// higher promise is none: a version of that higher term may stand elsewhere.
func (r *round) votes(key string, version *wire.Version) int {
	return r.count(func(reply *wire.ReplicaReply) bool {
		held := reply.Registers[key]
		return r.grants(reply) && held.GetAccepted() != nil && compareVersions(held.Accepted, version) == 0 &&
			compareTerms(held.Promised, version.Term) == 0
	})
}

// copies counts the replies that hold a version.
func (r *round) copies(key string, version *wire.Version) int {
	return r.count(func(reply *wire.ReplicaReply) bool {
		held := reply.Registers[key].GetAccepted()
		return r.grants(reply) && held != nil && compareVersions(held, version) == 0
	})
}

// adopt keeps the versions that a majority holds. The membership register is left to those who change it: its
// versions mean something in their own generation only.
func (m *Machine) adopt(newest map[string]*wire.Version, settled map[string]bool) {
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if key == membershipKey || !settled[key] {
			continue
		}
		m.storeChosen(key, newest[key])
		m.markChosen(key, newest[key])
	}
}

// noteFresh notes that no version chosen before the round began is newer than the chosen one known here: a majority
// answered, every earlier majority shares a voter with it, and the newest version among its replies is chosen.
func (m *Machine) noteFresh(began time.Duration, settled map[string]bool) {
	for key, isSettled := range settled {
		if isSettled && key != membershipKey {
			m.freshAt[key] = max(m.freshAt[key], began)
		}
	}
}

// ChosenAsOf gives the newest version of a key known to be chosen, and a moment before which no newer one was chosen.
// known is false if there was no round yet that could tell.
func (m *Machine) ChosenAsOf(key string) (version *wire.Version, asOf time.Duration, known bool) {
	asOf, known = m.freshAt[key]
	return m.chosen[key], asOf, known
}

// storeChosen takes a chosen version into this replica's own registers.
func (m *Machine) storeChosen(key string, version *wire.Version) {
	held := m.register(key)
	if held.Accepted != nil && compareVersions(version, held.Accepted) <= 0 {
		return
	}
	if m.votes() && (m.state.Next != nil || compareTerms(version.Term, held.Promised) < 0) {
		return
	}
	m.setRegister(key, &wire.Register{Promised: higher(held.Promised, version.Term), Accepted: version})
}

// majorityHeard notes which keys stand on too few disks, and since when.
func (m *Machine) majorityHeard(newest map[string]*wire.Version, settled map[string]bool) {
	m.confirmed = true
	for key := range newest {
		if settled[key] {
			delete(m.unsettled, key)
		} else if _, known := m.unsettled[key]; !known {
			m.unsettled[key] = m.now
		}
	}
}

// recommitStale reads a key under a new term if its newest version has long been on too few disks.
func (m *Machine) recommitStale() {
	if !m.votes() {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(m.unsettled)) {
		if key == membershipKey || m.now-m.unsettled[key] < m.settings.RecommitAfter+m.backoff() {
			continue
		}
		m.settings.RecordEvent("unsettled", key, "its newest version is on too few disks; reading it under a new term")
		m.unsettled[key] = m.now
		m.enqueue(key, &task{done: func(*wire.Version, error) {}})
	}
}

// backoff keeps voters from doing the same at the same moment.
func (m *Machine) backoff() time.Duration {
	rank := slices.IndexFunc(m.members().GetVoters(), func(voter *wire.Replica) bool { return voter.Id == m.state.Id })
	return time.Duration(max(rank, 0)) * m.settings.StatusInterval
}

// ReplicatedAsOf tells when the last round began in which a majority answered; ok is false if the newest version of the
// key was then on too few disks, or if there was no such round.
func (m *Machine) ReplicatedAsOf(key string) (began time.Duration, ok bool) {
	_, disputed := m.unsettled[key]
	return m.majorityAt, m.confirmed && !disputed
}

package replica

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"curlewreach/proto/wire"
)

// bootstrapState is this replica's part in the first start of all.
type bootstrapState struct {
	since          time.Duration
	joiners        map[string]string // identity by address
	leaderID       string            // the only identity whose first generation is taken; "": any
	lastStep       time.Duration
	unstartedSeeds map[string]bool // seeds that told a newcomer that nothing is founded
}

// bootstrapSeeds are the seeds of the first start, with this replica's address if it is one of them.
func (m *Machine) bootstrapSeeds() []string {
	seeds := slices.Clone(m.settings.Seeds)
	if len(seeds) == 0 {
		seeds = append(seeds, m.settings.Address)
	}
	slices.Sort(seeds)
	return slices.Compact(seeds)
}

// awaitsBootstrap says whether this replica has yet to hear of the first generation.
func (m *Machine) awaitsBootstrap() bool {
	return !m.isVoter() && len(m.state.Founding) > 0
}

// isBootstrapLeader tells whether this replica is the one to found the first generation.
func (m *Machine) isBootstrapLeader() bool {
	return m.awaitsBootstrap() && m.state.Founding[0] == m.settings.Address
}

// advanceBootstrap works on the first generation: the founder lists who asks, the others ask it.
func (m *Machine) advanceBootstrap() {
	if !m.awaitsBootstrap() || m.now-m.bootstrap.lastStep < m.settings.StatusInterval/2 {
		return
	}
	m.bootstrap.lastStep = m.now
	if m.isBootstrapLeader() {
		m.createFirstGeneration()
		return
	}
	m.send(m.state.Founding[0], &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Found{Found: &wire.FoundAsk{}}}, m.handleFoundReply)
}

// createFirstGeneration fixes the first generation once all seeds have asked and the others had time to. Its voters are the
// seeds, and no others: a founder that lost its disk asks just them whether anything was founded.
func (m *Machine) createFirstGeneration() {
	if m.now-m.bootstrap.since < m.settings.BootstrapWait {
		return
	}
	voters := []*wire.Replica{{Id: m.state.Id, Address: m.settings.Address}}
	for _, seed := range m.state.Founding {
		if seed == m.settings.Address {
			continue
		}
		if m.bootstrap.joiners[seed] == "" {
			return
		}
		voters = append(voters, &wire.Replica{Id: m.bootstrap.joiners[seed], Address: seed})
	}
	slices.SortFunc(voters, func(a, b *wire.Replica) int { return strings.Compare(a.Id, b.Id) })
	m.enterGeneration(&wire.Membership{Generation: 1, Voters: voters, Target: uint32(m.bootstrapTarget())}, map[string]*wire.Register{})
}

// bootstrapTarget is the number of voters wanted: seeds and other joiners, which come in as learners.
func (m *Machine) bootstrapTarget() int {
	all := map[string]bool{m.settings.Address: true}
	for address := range m.bootstrap.joiners {
		all[address] = true
	}
	return max(len(all), m.settings.TargetVoters)
}

// handleFound lists a replica that asks for the first generation, or hands that out.
func (m *Machine) handleFound(request *wire.ReplicaRequest, respond func(*wire.ReplicaReply)) {
	switch {
	case m.isBootstrapLeader():
		if m.bootstrap.joiners == nil {
			m.bootstrap.joiners = map[string]string{}
		}
		m.bootstrap.joiners[request.Address] = request.From
		m.replyNow(respond, wire.Standing_FOUNDING)
	case m.isVoter():
		m.afterSave(func(saved bool) {
			if !saved {
				m.replyNow(respond, wire.Standing_FAILED)
				return
			}
			m.replyNow(respond, wire.Standing_GRANTED)
		})
	default:
		m.replyNow(respond, wire.Standing_NO_VOTE)
	}
}

// handleFoundReply enters the first generation as the founder fixed it. This replica has never voted, so it has nothing to bring.
func (m *Machine) handleFoundReply(reply *wire.ReplicaReply) {
	if reply == nil || reply.Standing != wire.Standing_GRANTED || !m.awaitsBootstrap() {
		return
	}
	if m.bootstrap.leaderID != "" && m.bootstrap.leaderID != reply.From {
		return
	}
	switch {
	case voterByID(reply.Membership, m.state.Id) == nil:
		m.updateState(func(next *wire.ReplicaState) { next.Founding = nil })
		m.learnMembership(reply.Membership)
	case reply.Generation == 1 && reply.Membership.Generation == 1:
		m.enterGeneration(reply.Membership, map[string]*wire.Register{})
	default:
		m.learnMembership(reply.Membership)
	}
}

// recordBootstrapLeader lets only the newest replica at the founder's address found: an older one has lost its disk.
func (m *Machine) recordBootstrapLeader(request *wire.ReplicaRequest) {
	if len(m.state.Founding) > 0 && request.Address == m.state.Founding[0] {
		m.bootstrap.leaderID = request.From
	}
}

// discoverMembers looks for voters at every address known, and, where the first start was never finished, joins it.
func (m *Machine) discoverMembers() {
	have := m.acceptedVersions()
	for _, address := range m.discoveryAddresses() {
		m.send(address, m.newStatusRequest(have), func(reply *wire.ReplicaReply) {
			m.observeStatus(reply, have)
			if reply != nil {
				m.joinBootstrap(address, reply)
			}
		})
	}
}

// discoveryAddresses lists who may know the voters: seeds, and those known before the last restart.
func (m *Machine) discoveryAddresses() []string {
	addresses := slices.Concat(m.settings.Seeds, m.state.Known)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool {
		return address == m.settings.Address || m.newestMembership() != nil && voterByAddress(m.newestMembership(), address) != nil
	})
}

// joinBootstrap lets a newcomer take part in a first start that is still under way. Whoever founds is certain that
// nothing was founded before: at the founder's address, by the word of all other seeds; elsewhere, by the founder's.
func (m *Machine) joinBootstrap(address string, reply *wire.ReplicaReply) {
	if m.isVoter() || m.awaitsBootstrap() || m.learnedMembership != nil || reply.Standing != wire.Standing_FOUNDING {
		return
	}
	seeds := m.bootstrapSeeds()
	if seeds[0] != m.settings.Address {
		if address == seeds[0] {
			m.updateState(func(next *wire.ReplicaState) { next.Founding = seeds })
		}
		return
	}
	if m.bootstrap.unstartedSeeds == nil {
		m.bootstrap.unstartedSeeds = map[string]bool{}
	}
	m.bootstrap.unstartedSeeds[address] = true
	for _, seed := range seeds {
		if seed != m.settings.Address && !m.bootstrap.unstartedSeeds[seed] {
			return
		}
	}
	m.updateState(func(next *wire.ReplicaState) { next.Founding = seeds })
	m.bootstrap.since = m.now
}

// describeMembership names a generation and its voters.
func describeMembership(membership *wire.Membership) string {
	return fmt.Sprintf("generation %d of %s", membership.Generation, strings.Join(addressesOf(membership), " "))
}

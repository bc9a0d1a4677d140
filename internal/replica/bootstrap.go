package replica

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"curlewreach/proto/wire"
)

// bootstrapState is this replica's state during the first start of the whole system. On the wire and on disk,
// bootstrapping is called founding.
type bootstrapState struct {
	since          time.Duration
	joiners        map[string]string // identity by address
	leaderID       string            // only identity whose first generation is accepted; empty for any
	lastStep       time.Duration
	unstartedSeeds map[string]bool // seeds that told this new replica that they still wait for the first generation
}

// bootstrapSeeds returns the sorted seeds of the first start. The first one leads it; without seeds, it is this replica.
func (m *Machine) bootstrapSeeds() []string {
	seeds := slices.Clone(m.settings.Seeds)
	if len(seeds) == 0 {
		seeds = append(seeds, m.settings.Address)
	}
	slices.Sort(seeds)
	return slices.Compact(seeds)
}

// awaitsBootstrap reports whether this replica takes part in the first start and does not know the first generation yet.
func (m *Machine) awaitsBootstrap() bool {
	return !m.isVoter() && len(m.state.Founding) > 0
}

// isBootstrapLeader reports whether this replica creates the first generation.
func (m *Machine) isBootstrapLeader() bool {
	return m.awaitsBootstrap() && m.state.Founding[0] == m.settings.Address
}

// advanceBootstrap does the next step towards the first generation: the leader tries to create it, the others ask the
// leader for it.
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

// createFirstGeneration creates the first generation once BootstrapWait has passed and all seeds have sent a request.
// Its voters are exactly the seeds: a leader that has lost its disk asks only them whether a first generation exists.
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

// bootstrapTarget returns the number of voters wanted. It includes the joiners that are not seeds and start as learners.
func (m *Machine) bootstrapTarget() int {
	all := map[string]bool{m.settings.Address: true}
	for address := range m.bootstrap.joiners {
		all[address] = true
	}
	return max(len(all), m.settings.TargetVoters)
}

// handleFound records a replica that asks for the first generation or, once that exists, returns it.
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

// handleFoundReply enters the first generation that the leader created. This replica has never voted, so it starts
// with empty registers.
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

// recordBootstrapLeader lets only the newest identity at the leader's address create the first generation: earlier ones
// have lost their disks.
func (m *Machine) recordBootstrapLeader(request *wire.ReplicaRequest) {
	if len(m.state.Founding) > 0 && request.Address == m.state.Founding[0] {
		m.bootstrap.leaderID = request.From
	}
}

// discoverMembers asks all known addresses for voters and, if the first start has not finished, takes part in it.
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

// discoveryAddresses returns the addresses that may know the voters: the seeds and the addresses of voters last saved to
// disk, without this replica's own and those of known voters.
func (m *Machine) discoveryAddresses() []string {
	addresses := slices.Concat(m.settings.Seeds, m.state.Known)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool {
		return address == m.settings.Address || m.newestMembership() != nil && voterByAddress(m.newestMembership(), address) != nil
	})
}

// joinBootstrap lets a new replica take part in a first start that has not finished. It must be certain that no first
// generation exists: the replica at the leader's address needs such a reply from all other seeds, any other replica only
// from the leader.
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

// describeMembership returns a generation and its voters as text.
func describeMembership(membership *wire.Membership) string {
	return fmt.Sprintf("generation %d of %s", membership.Generation, strings.Join(addressesOf(membership), " "))
}

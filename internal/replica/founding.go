package replica

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"curlewreach/proto/wire"
)

// foundingState is this replica's part in the first start of all.
type foundingState struct {
	since   time.Duration
	joiners map[string]string // identity by address
	founder string            // the only identity whose first generation is taken; "": any
	asked   time.Duration
	waiting map[string]bool // seeds that told a newcomer that nothing is founded
}

// foundingSeeds are the seeds of the first start, with this replica's address if it is one of them.
func (m *Machine) foundingSeeds() []string {
	seeds := slices.Clone(m.settings.Seeds)
	if len(seeds) == 0 {
		seeds = append(seeds, m.settings.Address)
	}
	slices.Sort(seeds)
	return slices.Compact(seeds)
}

// awaitsFounding says whether this replica has yet to hear of the first generation.
func (m *Machine) awaitsFounding() bool {
	return !m.votes() && len(m.state.Founding) > 0
}

// isFounder tells whether this replica is the one to found the first generation.
func (m *Machine) isFounder() bool {
	return m.awaitsFounding() && m.state.Founding[0] == m.settings.Address
}

// found works on the first generation: the founder lists who asks, the others ask it.
func (m *Machine) found() {
	if !m.awaitsFounding() || m.now-m.founding.asked < m.settings.StatusInterval/2 {
		return
	}
	m.founding.asked = m.now
	if m.isFounder() {
		m.foundFirst()
		return
	}
	m.send(m.state.Founding[0], &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Found{Found: &wire.FoundAsk{}}}, m.hearFounder)
}

// foundFirst fixes the first generation once all seeds have asked and the others had time to. Its voters are the
// seeds, and no others: a founder that lost its disk asks just them whether anything was founded.
func (m *Machine) foundFirst() {
	if m.now-m.founding.since < m.settings.BootstrapWait {
		return
	}
	voters := []*wire.Replica{{Id: m.state.Id, Address: m.settings.Address}}
	for _, seed := range m.state.Founding {
		if seed == m.settings.Address {
			continue
		}
		if m.founding.joiners[seed] == "" {
			return
		}
		voters = append(voters, &wire.Replica{Id: m.founding.joiners[seed], Address: seed})
	}
	slices.SortFunc(voters, func(a, b *wire.Replica) int { return strings.Compare(a.Id, b.Id) })
	m.enter(&wire.Membership{Generation: 1, Voters: voters, Target: uint32(m.foundingTarget())}, map[string]*wire.Register{})
}

// foundingTarget is the number of voters wanted: seeds and other joiners, which come in as learners.
func (m *Machine) foundingTarget() int {
	all := map[string]bool{m.settings.Address: true}
	for address := range m.founding.joiners {
		all[address] = true
	}
	return max(len(all), m.settings.TargetVoters)
}

// answerFounding lists a replica that asks for the first generation, or hands that out.
func (m *Machine) answerFounding(ask *wire.ReplicaRequest, reply func(*wire.ReplicaReply)) {
	switch {
	case m.isFounder():
		if m.founding.joiners == nil {
			m.founding.joiners = map[string]string{}
		}
		m.founding.joiners[ask.Address] = ask.From
		m.answer(reply, wire.Standing_FOUNDING)
	case m.votes():
		m.whenSaved(func(saved bool) {
			if !saved {
				m.answer(reply, wire.Standing_FAILED)
				return
			}
			m.answer(reply, wire.Standing_GRANTED)
		})
	default:
		m.answer(reply, wire.Standing_NO_VOTE)
	}
}

// hearFounder enters the first generation as the founder fixed it. This replica has never voted, so it has nothing to bring.
func (m *Machine) hearFounder(reply *wire.ReplicaReply) {
	if reply == nil || reply.Standing != wire.Standing_GRANTED || !m.awaitsFounding() {
		return
	}
	if m.founding.founder != "" && m.founding.founder != reply.From {
		return
	}
	switch {
	case voterWith(reply.Membership, m.state.Id) == nil:
		m.change(func(next *wire.ReplicaState) { next.Founding = nil })
		m.learn(reply.Membership)
	case reply.Generation == 1 && reply.Membership.Generation == 1:
		m.enter(reply.Membership, map[string]*wire.Register{})
	default:
		m.learn(reply.Membership)
	}
}

// heedFounder lets only the newest replica at the founder's address found: an older one has lost its disk.
func (m *Machine) heedFounder(ask *wire.ReplicaRequest) {
	if len(m.state.Founding) > 0 && ask.Address == m.state.Founding[0] {
		m.founding.founder = ask.From
	}
}

// searchMembers looks for voters at every address known, and, where the first start was never finished, joins it.
func (m *Machine) searchMembers() {
	have := m.heldVersions()
	for _, address := range m.knownAddresses() {
		m.send(address, m.statusAsk(have), func(reply *wire.ReplicaReply) {
			m.observeStatus(reply, have)
			if reply != nil {
				m.hearUnfounded(address, reply)
			}
		})
	}
}

// knownAddresses lists who may know the voters: seeds, and those known before the last restart.
func (m *Machine) knownAddresses() []string {
	addresses := slices.Concat(m.settings.Seeds, m.state.Known)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool {
		return address == m.settings.Address || m.members() != nil && voterAt(m.members(), address) != nil
	})
}

// hearUnfounded lets a newcomer take part in a first start that is still under way. Whoever founds is certain that
// nothing was founded before: at the founder's address, by the word of all other seeds; elsewhere, by the founder's.
func (m *Machine) hearUnfounded(address string, reply *wire.ReplicaReply) {
	if m.votes() || m.awaitsFounding() || m.learned != nil || reply.Standing != wire.Standing_FOUNDING {
		return
	}
	seeds := m.foundingSeeds()
	if seeds[0] != m.settings.Address {
		if address == seeds[0] {
			m.change(func(next *wire.ReplicaState) { next.Founding = seeds })
		}
		return
	}
	if m.founding.waiting == nil {
		m.founding.waiting = map[string]bool{}
	}
	m.founding.waiting[address] = true
	for _, seed := range seeds {
		if seed != m.settings.Address && !m.founding.waiting[seed] {
			return
		}
	}
	m.change(func(next *wire.ReplicaState) { next.Founding = seeds })
	m.founding.since = m.now
}

// describe names a generation and its voters.
func describe(membership *wire.Membership) string {
	return fmt.Sprintf("generation %d of %s", membership.Generation, strings.Join(addressesOf(membership), " "))
}

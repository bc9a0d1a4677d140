package replica

import (
	"fmt"
	"slices"
	"strings"

	"curlewreach/proto/wire"
)

// The first generation needs no agreement: its voters are the seeds of the first start, which are the same for all
// replicas, under identities that follow from their addresses. So each seed enters it by itself, any majority of them can
// work at once, and two first generations can't differ. A founder's identity belongs to the disk of the first start like
// any other: one that has lost its disk is started without Bootstrap, draws a new identity and joins as a learner.
// On the wire and on disk, bootstrapping is called founding.

// founderID returns the identity of the founder at an address.
func founderID(address string) string { return "founder-" + address }

// bootstrapSeeds returns the sorted seeds of the first start; without seeds, it is this replica.
func (m *Machine) bootstrapSeeds() []string {
	seeds := slices.Clone(m.settings.Seeds)
	if len(seeds) == 0 {
		seeds = append(seeds, m.settings.Address)
	}
	slices.Sort(seeds)
	return slices.Compact(seeds)
}

// bootstrapState sets the state of a replica that takes part in the first start of the whole system. A seed is a voter of
// the first generation. Any other replica remembers that it was there, so that it becomes a further voter.
func (m *Machine) bootstrapState(next *wire.ReplicaState) {
	seeds := m.bootstrapSeeds()
	if !slices.Contains(seeds, m.settings.Address) {
		next.Founding = seeds
		return
	}
	next.Id, next.Known = founderID(m.settings.Address), seeds
	next.Membership = firstGeneration(seeds, m.settings.TargetVoters)
}

// firstGeneration returns the membership of the first generation.
func firstGeneration(seeds []string, target int) *wire.Membership {
	membership := &wire.Membership{Generation: 1, Target: uint32(max(len(seeds), target))}
	for _, seed := range seeds {
		membership.Voters = append(membership.Voters, &wire.Replica{Id: founderID(seed), Address: seed})
	}
	slices.SortFunc(membership.Voters, func(a, b *wire.Replica) int { return strings.Compare(a.Id, b.Id) })
	return membership
}

// discoverMembers asks all addresses that may know the voters for them.
func (m *Machine) discoverMembers() {
	have := m.acceptedVersions()
	for _, address := range m.discoveryAddresses() {
		m.send(address, m.newStatusRequest(have), func(reply *wire.ReplicaReply) { m.observeStatus(reply, have) })
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

// describeMembership returns a generation and its voters as text.
func describeMembership(membership *wire.Membership) string {
	return fmt.Sprintf("generation %d of %s", membership.Generation, strings.Join(addressesOf(membership), " "))
}

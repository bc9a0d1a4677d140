package replica

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

// checker watches a world for what must never happen.
type checker struct {
	sim              *simulation
	failure          string
	generations      map[uint64]*wire.Membership
	newestMembership *wire.Membership   // of generations
	abandoned        []*wire.Membership // first generations that were never on a majority of disks
	chosen           map[string][]*wire.Version
	chosenAt         map[string][]time.Duration       // when each of chosen was first known to some replica
	versions         map[string][]byte                // value by key, term and serial
	termOwners       map[string]string                // process by key and term
	promised         map[string]map[string]*wire.Term // highest granted, by identity and generation, then by key
	seals            map[string]bool                  // by identity and generation
	installed        map[string]uint64                // the highest generation that an identity held durably
	diskLosses       []diskLoss
}

// diskLoss is a disk of a voter that is gone and not yet made up for.
type diskLoss struct {
	id         string
	generation uint64
}

// observedState is what was last seen of a node, to look only at what changed.
type observedState struct {
	state, durable *wire.ReplicaState
	learned        *wire.Membership
	chosen         map[string]*wire.Version
	upToDateAt     map[string]time.Duration
}

func newChecker(sim *simulation) *checker {
	return &checker{
		sim: sim, generations: map[uint64]*wire.Membership{}, chosen: map[string][]*wire.Version{}, chosenAt: map[string][]time.Duration{}, versions: map[string][]byte{},
		termOwners: map[string]string{}, promised: map[string]map[string]*wire.Term{}, seals: map[string]bool{}, installed: map[string]uint64{},
	}
}

func (c *checker) fail(format string, details ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf("%v: ", c.sim.now) + fmt.Sprintf(format, details...)
	}
}

// observe looks at a machine after each input.
func (c *checker) observe(n *node) {
	m := n.machine
	if m.state != n.observed.state {
		n.observed.state = m.state
		c.checkSavedMembership(n, m.state.Membership)
		c.checkMembership(n, m.state.Next)
	}
	if m.durable != n.observed.durable {
		n.observed.durable = m.durable
		c.checkMembership(n, m.durable.Membership)
	}
	if m.learnedMembership != n.observed.learned {
		n.observed.learned = m.learnedMembership
		c.checkMembership(n, m.learnedMembership)
	}
	if n.observed.chosen == nil {
		n.observed.chosen = map[string]*wire.Version{}
	}
	for key, version := range m.chosen {
		if n.observed.chosen[key] != version {
			n.observed.chosen[key] = version
			c.checkChosen(n, key, version)
		}
	}
	c.checkUpToDate(n)
}

// checkUpToDate demands that a replica which claims to know the newest version as of some moment has missed none that
// any replica knew to be chosen before.
func (c *checker) checkUpToDate(n *node) {
	for key, asOf := range n.machine.upToDateAt {
		if seen, known := n.observed.upToDateAt[key]; known && seen == asOf {
			continue
		}
		if n.observed.upToDateAt == nil {
			n.observed.upToDateAt = map[string]time.Duration{}
		}
		n.observed.upToDateAt[key] = asOf
		held := n.machine.chosen[key]
		for i, version := range c.chosen[key] {
			if c.chosenAt[key][i] < asOf && (held == nil || compareVersions(held, version) < 0) {
				c.fail("%s claims to know %s as of %v, but misses %q %v, chosen at %v", n.address, key, asOf, version.Value, version.Term, c.chosenAt[key][i])
			}
		}
	}
}

// checkSavedMembership takes a membership that may not be saved, or be saved without its founder's knowledge. A first generation
// counts only once its founder goes by it: the founder may try again, with others.
func (c *checker) checkSavedMembership(n *node, membership *wire.Membership) {
	if membership.GetGeneration() > 1 {
		c.checkMembership(n, membership)
	}
}

// checkMembership demands that a generation has one membership, without a voter twice and with none too few.
func (c *checker) checkMembership(n *node, membership *wire.Membership) {
	m := n.machine
	if membership == nil {
		return
	}
	known := c.generations[membership.Generation]
	if known == membership || known != nil && proto.Equal(known, membership) {
		return
	}
	if c.isAbandoned(membership) && m.state.Membership != membership {
		return
	}
	if known != nil && !c.tryAbandon(known) {
		c.fail("%s knows %s, which was %s", n.address, describeIDs(membership), describeIDs(known))
		return
	}
	c.generations[membership.Generation] = membership
	if membership.Generation >= c.newestMembership.GetGeneration() {
		c.newestMembership = membership
	}
	c.checkVoters(membership)
}

// checkVoters demands that no voter stands twice, that each identity was on a disk, and that there are none too few.
func (c *checker) checkVoters(membership *wire.Membership) {
	ids, addresses := map[string]bool{}, map[string]bool{}
	for _, voter := range membership.Voters {
		if ids[voter.Id] || addresses[voter.Address] {
			c.fail("%s has a voter twice", describeIDs(membership))
		}
		ids[voter.Id], addresses[voter.Address] = true, true
	}
	for _, voter := range membership.Voters {
		if _, known := c.installed[voter.Id]; !known {
			c.fail("%s names %s, an identity that was on no disk", describeIDs(membership), voter.Id)
		}
		c.checkNotReadmitted(voter.Id, membership.Generation)
	}
	if first := c.generations[1]; first != nil && len(membership.Voters) < len(first.Voters) {
		c.fail("%s has fewer voters than the first", describeIDs(membership))
	}
}

// tryAbandon drops a first generation that no majority holds and whose founder's disk is gone: it decided nothing, and
// will decide nothing. Who has heard of it may remember it, but mustn't vote in it.
func (c *checker) tryAbandon(first *wire.Membership) bool {
	held, founderLost := 0, false
	for _, voter := range first.Voters {
		lost := c.isLost(voter.Id)
		founderLost = founderLost || lost
		if c.installed[voter.Id] > 0 && !lost {
			held++
		}
	}
	if first.Generation != 1 || !founderLost || held > 0 {
		return false
	}
	c.abandoned = append(c.abandoned, first)
	return true
}

func (c *checker) isAbandoned(membership *wire.Membership) bool {
	for _, each := range c.abandoned {
		if proto.Equal(each, membership) {
			return true
		}
	}
	return false
}

// checkNotReadmitted demands that an identity that was replaced is no voter again.
func (c *checker) checkNotReadmitted(id string, generation uint64) {
	left := false
	for earlier := generation - 1; earlier > 0; earlier-- {
		switch membership := c.generations[earlier]; {
		case membership == nil:
		case voterByID(membership, id) == nil:
			left = true
		case left:
			c.fail("%s is a voter of generation %d again, after it was replaced", id, generation)
		}
	}
}

func describeIDs(membership *wire.Membership) string {
	var voters []string
	for _, voter := range membership.GetVoters() {
		voters = append(voters, voter.Id+"@"+voter.Address)
	}
	return fmt.Sprintf("generation %d of %s", membership.GetGeneration(), strings.Join(voters, " "))
}

// checkChosen demands that of two chosen versions the older is an ancestor of the newer: values are lists of changes.
func (c *checker) checkChosen(n *node, key string, version *wire.Version) {
	if key == membershipKey {
		return
	}
	for _, other := range c.chosen[key] {
		older, newer := other, version
		if compareVersions(older, newer) > 0 {
			older, newer = newer, older
		}
		if !bytes.HasPrefix(newer.Value, older.Value) {
			c.fail("%s takes %s=%q %v for chosen, but so was %q %v", n.address, key, version.Value, version.Term, other.Value, other.Term)
		}
		if compareVersions(other, version) == 0 {
			return
		}
	}
	c.chosen[key] = append(c.chosen[key], version)
	c.chosenAt[key] = append(c.chosenAt[key], c.sim.now)
}

// checkAccept demands that a term and serial stand for one value, and a term for one owner's process.
func (c *checker) checkAccept(n *node, request *wire.ReplicaRequest) {
	ask := request.GetAccept()
	if ask == nil {
		return
	}
	owner := termKey(request, ask.Version.Term)
	process := fmt.Sprintf("%s/%d", n.address, n.incarnation)
	if known, ok := c.termOwners[owner]; ok && known != process {
		c.fail("the term %s was used by %s and %s", owner, known, process)
	}
	c.termOwners[owner] = process
	version := ask.Version
	if ask.Base != nil {
		base := &wire.Version{Term: ask.Base.Term, Serial: ask.Base.Serial}
		base.Value = c.versions[versionKey(request, base)]
		version = resolveVersion(ask, base)
	}
	name := versionKey(request, version)
	if known, ok := c.versions[name]; ok && !bytes.Equal(known, version.Value) {
		c.fail("the version %s is both %q and %q", name, known, version.Value)
	}
	c.versions[name] = version.Value
}

// termKey names a term of a key. The register of the membership begins anew with each generation.
func termKey(request *wire.ReplicaRequest, term *wire.Term) string {
	key := request.GetAccept().Key
	if key == membershipKey {
		key = fmt.Sprint(key, request.Generation)
	}
	return fmt.Sprintf("%s/%d/%s", key, term.GetNumber(), term.GetOwner())
}

func versionKey(request *wire.ReplicaRequest, version *wire.Version) string {
	return fmt.Sprintf("%s/%d", termKey(request, version.Term), version.Serial)
}

func (c *checker) hasSealed(n *node, generation uint64) bool {
	return c.seals[fmt.Sprintf("%s/%d", n.machine.durable.Id, generation)]
}

// checkReply demands of a granted vote that its giver is a voter that holds the generation durably, hasn't sealed it
// before it was asked, and hasn't promised a higher term.
func (c *checker) checkReply(call *call, reply *wire.ReplicaReply) {
	if reply.Standing != wire.Standing_GRANTED {
		return
	}
	request := call.request
	generation := request.Generation
	name := fmt.Sprintf("%s/%d", reply.From, generation)
	switch ask := request.Ask.(type) {
	case *wire.ReplicaRequest_Seal:
		c.seals[name] = true
	case *wire.ReplicaRequest_Promise:
		c.checkVote(call, reply, generation)
		c.recordPromise(name, ask.Promise.Key, ask.Promise.Term)
	case *wire.ReplicaRequest_Accept:
		c.checkVote(call, reply, generation)
		c.recordPromise(name, ask.Accept.Key, ask.Accept.Version.Term)
	case *wire.ReplicaRequest_Confirm:
		c.checkVote(call, reply, generation)
	}
}

// checkVote checks the right to a vote.
func (c *checker) checkVote(call *call, reply *wire.ReplicaReply, generation uint64) {
	if reply.Generation != generation {
		c.fail("%s votes in generation %d by a reply of generation %d", reply.From, generation, reply.Generation)
	}
	if call.sealed {
		c.fail("%s votes in generation %d, which it has sealed", reply.From, generation)
	}
	if voterByID(c.generations[generation], reply.From) == nil {
		c.fail("%s votes in %s", reply.From, describeIDs(c.generations[generation]))
	}
	// An identity that has been resigned meanwhile is no longer on the disk.
	if durable := call.to.diskState(); durable.GetId() == reply.From && durable.GetMembership().GetGeneration() < generation {
		c.fail("%s votes in generation %d with %s on its disk", reply.From, generation, describeIDs(durable.GetMembership()))
	}
}

// recordPromise remembers the highest term that was granted.
func (c *checker) recordPromise(name, key string, term *wire.Term) {
	if c.promised[name] == nil {
		c.promised[name] = map[string]*wire.Term{}
	}
	c.promised[name][key] = higherTerm(c.promised[name][key], term)
}

// checkWrite demands that a disk holds every promise that was told in the same generation.
func (c *checker) checkWrite(n *node, state *wire.ReplicaState) {
	generation := state.Membership.GetGeneration()
	c.checkSavedMembership(n, state.Membership)
	c.checkMembershipRegister(n, state)
	c.installed[state.Id] = max(c.installed[state.Id], generation)
	for key, term := range c.promised[fmt.Sprintf("%s/%d", state.Id, generation)] {
		if generation > 0 && compareTerms(state.Registers[key].GetPromised(), term) < 0 {
			c.fail("%s told that it promised %v for %s and writes %v", n.address, term, key, state.Registers[key].GetPromised())
		}
	}
}

// checkMembershipRegister demands that the register of the membership holds what should follow this generation.
func (c *checker) checkMembershipRegister(n *node, state *wire.ReplicaState) {
	version := state.Registers[membershipKey].GetAccepted()
	if version == nil || state.Membership == nil {
		return
	}
	next := &wire.Membership{}
	if err := proto.Unmarshal(version.Value, next); err != nil || next.Generation != state.Membership.Generation+1 {
		c.fail("%s in generation %d holds %s for the next", n.address, state.Membership.Generation, describeIDs(next))
	}
}

// recordDiskLoss counts a disk whose voter is gone.
func (c *checker) recordDiskLoss(n *node) {
	if id := n.diskState().GetId(); id != "" && c.isActiveVoter(id) {
		c.diskLosses = append(c.diskLosses, diskLoss{id, c.newestMembership.GetGeneration()})
	}
}

// isActiveVoter says whether an identity is a voter of the newest generation, or of an earlier one that isn't over.
func (c *checker) isActiveVoter(id string) bool {
	if c.newestMembership == nil {
		return true
	}
	for generation := c.newestMembership.Generation; generation > 0; generation-- {
		membership := c.generations[generation]
		if voterByID(membership, id) != nil {
			return true
		}
		if membership != nil && c.isFullyInstalled(membership) {
			return false
		}
	}
	return false
}

// isFullyInstalled says whether every voter of a membership holds it durably, but for those whose disks are gone.
func (c *checker) isFullyInstalled(membership *wire.Membership) bool {
	for _, voter := range membership.Voters {
		if c.installed[voter.Id] < membership.Generation && !c.isLost(voter.Id) {
			return false
		}
	}
	return true
}

func (c *checker) isLost(id string) bool {
	for _, each := range c.diskLosses {
		if each.id == id {
			return true
		}
	}
	return false
}

// unrepairedLosses counts the voters whose disks are gone and that no later generation has made up for.
func (c *checker) unrepairedLosses() int {
	count := 0
	for _, each := range c.diskLosses {
		madeUp := false
		for generation, membership := range c.generations {
			madeUp = madeUp || generation >= each.generation && voterByID(membership, each.id) == nil && c.isFullyInstalled(membership)
		}
		if !madeUp {
			count++
		}
	}
	return count
}

// toleratesDiskLoss says whether one more disk may be lost: by the smallest generation that isn't over.
func (c *checker) toleratesDiskLoss() bool {
	voters := len(c.newestMembership.Voters)
	for generation := c.newestMembership.Generation; generation > 0; generation-- {
		membership := c.generations[generation]
		voters = min(voters, len(membership.GetVoters()))
		if membership != nil && c.isFullyInstalled(membership) {
			break
		}
	}
	return c.unrepairedLosses() < (voters-1)/2
}

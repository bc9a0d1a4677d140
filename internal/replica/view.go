package replica

import (
	"maps"
	"slices"
	"time"

	"curlewreach/proto/wire"
)

// LearnerView tells of a replica without a vote, as a voter sees it.
type LearnerView struct {
	Replica  *wire.Replica
	CaughtUp bool
}

// View is what an operator may see of a replica.
type View struct {
	ID string
	// Membership is the newest membership known; nil before any is.
	Membership *wire.Membership
	// Generation is the one that this replica votes in, 0 if in none.
	Generation uint64
	Sealed     bool
	CaughtUp   bool
	Learners   []LearnerView
	// SinceHeard tells by address how long ago each voter was last heard.
	SinceHeard map[string]time.Duration
	// TolerableLosses is how many more voters may be lost before no majority is left.
	TolerableLosses int
}

// View tells how this replica stands.
func (m *Machine) View() View {
	view := View{
		ID: m.state.Id, Membership: m.members(), Generation: m.generation(), Sealed: m.state.Next != nil,
		CaughtUp: m.votes() || m.caughtUp(), SinceHeard: map[string]time.Duration{},
	}
	for _, id := range slices.Sorted(maps.Keys(m.learners)) {
		each := m.learners[id]
		view.Learners = append(view.Learners, LearnerView{&wire.Replica{Id: id, Address: each.address}, each.caughtUp})
	}
	heard := 0
	for _, voter := range m.members().GetVoters() {
		silence := m.silence(voter.Id)
		if voter.Id == m.state.Id {
			silence = 0
		}
		view.SinceHeard[voter.Address] = silence
		if silence < m.settings.VoterTimeout {
			heard++
		}
	}
	if m.members() != nil {
		view.TolerableLosses = heard - majority(m.members())
	}
	return view
}

// HeardWithin says whether the voter at an address was heard lately.
func (m *Machine) HeardWithin(address string, lately time.Duration) bool {
	voter := voterAt(m.members(), address)
	if voter == nil {
		return false
	}
	at, known := m.heard[voter.Id]
	return known && m.now-at <= lately
}

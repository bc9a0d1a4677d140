package replica

import (
	"maps"
	"slices"
	"time"

	"curlewreach/proto/wire"
)

// LearnerView describes a replica without a vote, as seen by a voter.
type LearnerView struct {
	Replica  *wire.Replica
	CaughtUp bool
}

// View is the state of a replica as shown to operators.
type View struct {
	ID string
	// Membership is the newest membership known, or nil.
	Membership *wire.Membership
	// Generation is the generation that this replica votes in, or 0.
	Generation uint64
	Sealed     bool
	CaughtUp   bool
	Learners   []LearnerView
	// SinceHeard is the time since each voter was last heard, by address.
	SinceHeard map[string]time.Duration
	// TolerableLosses is how many of the voters heard recently may still be lost without losing the majority. It is negative
	// if there is no majority.
	TolerableLosses int
}

// View returns the state of this replica for operators.
func (m *Machine) View() View {
	view := View{
		ID: m.state.Id, Membership: m.newestMembership(), Generation: m.generation(), Sealed: m.state.Next != nil,
		CaughtUp: m.isVoter() || m.caughtUp(), SinceHeard: map[string]time.Duration{},
	}
	for _, id := range slices.Sorted(maps.Keys(m.learners)) {
		each := m.learners[id]
		view.Learners = append(view.Learners, LearnerView{&wire.Replica{Id: id, Address: each.address}, each.caughtUp})
	}
	heard := 0
	for _, voter := range m.newestMembership().GetVoters() {
		silence := m.sinceHeard(voter.Id)
		if voter.Id == m.state.Id {
			silence = 0
		}
		view.SinceHeard[voter.Address] = silence
		if silence < m.settings.VoterTimeout {
			heard++
		}
	}
	if m.newestMembership() != nil {
		view.TolerableLosses = heard - majority(m.newestMembership())
	}
	return view
}

// HeardWithin reports whether the voter at an address was heard within the given time before now.
func (m *Machine) HeardWithin(address string, window time.Duration) bool {
	voter := voterByAddress(m.newestMembership(), address)
	if voter == nil {
		return false
	}
	heardAt, known := m.lastHeard[voter.Id]
	return known && m.now-heardAt <= window
}

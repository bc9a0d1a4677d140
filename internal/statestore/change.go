package statestore

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"curlewreach/internal/bytedelta"
	"curlewreach/proto/wire"
)

// errMisfit is returned for a change that cannot have been made against the state that it is applied to.
var errMisfit = errors.New("change does not fit its predecessor")

// same tells whether two messages say the same; unchanged parts of a state are usually shared, so pointers come first.
func same[M interface {
	comparable
	proto.Message
}](a, b M) bool {
	return a == b || proto.Equal(a, b)
}

// difference returns what turns from into to; without any difference it is nil.
func difference(from, to *wire.ReplicaState) *wire.StateChange {
	change := &wire.StateChange{Registers: registerChanges(from.Registers, to.Registers)}
	if from.Id != to.Id {
		change.Id = &to.Id
	}
	if !same(from.Membership, to.Membership) {
		change.Membership = &wire.MembershipChange{To: to.Membership}
	}
	if !same(from.Next, to.Next) {
		change.Next = &wire.MembershipChange{To: to.Next}
	}
	if !slices.Equal(from.Known, to.Known) {
		change.Known = &wire.TextListChange{To: to.Known}
	}
	if !slices.Equal(from.Founding, to.Founding) {
		change.Founding = &wire.TextListChange{To: to.Founding}
	}
	if proto.Size(change) == 0 {
		return nil
	}
	return change
}

func registerChanges(from, to map[string]*wire.Register) []*wire.RegisterChange {
	var changes []*wire.RegisterChange
	for key := range from {
		if _, kept := to[key]; !kept {
			changes = append(changes, &wire.RegisterChange{Key: key, Removed: true})
		}
	}
	for key, next := range to {
		previous, known := from[key]
		change := registerChange(key, previous, next)
		if !known || change.Promised != nil || change.Accepted != nil {
			changes = append(changes, change)
		}
	}
	slices.SortFunc(changes, func(a, b *wire.RegisterChange) int { return strings.Compare(a.Key, b.Key) })
	return changes
}

// registerChange has neither a promise nor a version if the register has not changed.
func registerChange(key string, from, to *wire.Register) *wire.RegisterChange {
	change := &wire.RegisterChange{Key: key}
	if !same(from.GetPromised(), to.GetPromised()) {
		change.Promised = &wire.TermChange{To: to.GetPromised()}
	}
	if !same(from.GetAccepted(), to.GetAccepted()) {
		change.Accepted = versionChange(from.GetAccepted(), to.GetAccepted())
	}
	return change
}

func versionChange(from, to *wire.Version) *wire.VersionChange {
	if to == nil {
		return &wire.VersionChange{Removed: true}
	}
	change := &wire.VersionChange{Term: to.Term, Serial: to.Serial}
	delta := bytedelta.Encode(from.GetValue(), to.Value)
	if len(delta) < len(to.Value) {
		change.Value = &wire.VersionChange_Delta{Delta: delta}
	} else {
		change.Value = &wire.VersionChange_Whole{Whole: to.Value}
	}
	return change
}

// applied returns the state that change makes of from, which it shares the unchanged parts with.
func applied(from *wire.ReplicaState, change *wire.StateChange) (*wire.ReplicaState, error) {
	to := shared(from)
	if change.Id != nil {
		to.Id = *change.Id
	}
	if change.Membership != nil {
		to.Membership = change.Membership.To
	}
	if change.Next != nil {
		to.Next = change.Next.To
	}
	if change.Known != nil {
		to.Known = change.Known.To
	}
	if change.Founding != nil {
		to.Founding = change.Founding.To
	}
	for _, each := range change.Registers {
		if err := applyRegister(to.Registers, each); err != nil {
			return nil, errors.Wrapf(err, "register %q", each.Key)
		}
	}
	return to, nil
}

func applyRegister(registers map[string]*wire.Register, change *wire.RegisterChange) error {
	register := registers[change.Key]
	if change.Removed {
		if register == nil {
			return errMisfit
		}
		delete(registers, change.Key)
		return nil
	}
	if register == nil {
		register = &wire.Register{}
	}
	if change.Promised != nil {
		register.Promised = change.Promised.To
	}
	if change.Accepted != nil {
		accepted, err := appliedVersion(register.Accepted, change.Accepted)
		if err != nil {
			return err
		}
		register.Accepted = accepted
	}
	registers[change.Key] = register
	return nil
}

func appliedVersion(from *wire.Version, change *wire.VersionChange) (*wire.Version, error) {
	if change.Removed {
		return nil, nil
	}
	to := &wire.Version{Term: change.Term, Serial: change.Serial, Value: change.GetWhole()}
	if _, isDelta := change.Value.(*wire.VersionChange_Delta); isDelta {
		value, err := bytedelta.Apply(from.GetValue(), change.GetDelta())
		if err != nil {
			return nil, err
		}
		to.Value = value
	}
	return to, nil
}

// shared returns a state of its own down to its registers, which shares terms, versions and memberships with the
// given one, as those are never changed in place.
func shared(state *wire.ReplicaState) *wire.ReplicaState {
	registers := make(map[string]*wire.Register, len(state.Registers))
	for key, register := range state.Registers {
		registers[key] = &wire.Register{Promised: register.GetPromised(), Accepted: register.GetAccepted()}
	}
	return &wire.ReplicaState{
		Id:         state.Id,
		Membership: state.Membership,
		Next:       state.Next,
		Registers:  registers,
		Known:      slices.Clone(state.Known),
		Founding:   slices.Clone(state.Founding),
	}
}

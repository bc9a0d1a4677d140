package statestore

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"curlewreach/internal/bytedelta"
	"curlewreach/proto/wire"
)

// errChangeMismatch is returned for a change that was not computed from the state that it is applied to.
var errChangeMismatch = errors.New("change does not apply to the preceding state")

// equalMessages reports whether two messages are equal. It compares pointers first, because successive states usually
// share their unchanged parts.
func equalMessages[M interface {
	comparable
	proto.Message
}](a, b M) bool {
	return a == b || proto.Equal(a, b)
}

// diffStates returns the change that turns from into to, or nil if the states are equal.
func diffStates(from, to *wire.ReplicaState) *wire.StateChange {
	change := &wire.StateChange{Registers: diffRegisters(from.Registers, to.Registers)}
	if from.Id != to.Id {
		change.Id = &to.Id
	}
	if !equalMessages(from.Membership, to.Membership) {
		change.Membership = &wire.MembershipChange{To: to.Membership}
	}
	if !equalMessages(from.Next, to.Next) {
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

// diffRegisters returns the added, removed and modified registers, sorted by key.
func diffRegisters(from, to map[string]*wire.Register) []*wire.RegisterChange {
	var changes []*wire.RegisterChange
	for key := range from {
		if _, kept := to[key]; !kept {
			changes = append(changes, &wire.RegisterChange{Key: key, Removed: true})
		}
	}
	for key, next := range to {
		previous, known := from[key]
		change := diffRegister(key, previous, next)
		if !known || change.Promised != nil || change.Accepted != nil {
			changes = append(changes, change)
		}
	}
	slices.SortFunc(changes, func(a, b *wire.RegisterChange) int { return strings.Compare(a.Key, b.Key) })
	return changes
}

// diffRegister returns the difference between two contents of a register. Its Promised and Accepted are nil if those
// parts are equal.
func diffRegister(key string, from, to *wire.Register) *wire.RegisterChange {
	change := &wire.RegisterChange{Key: key}
	if !equalMessages(from.GetPromised(), to.GetPromised()) {
		change.Promised = &wire.TermChange{To: to.GetPromised()}
	}
	if !equalMessages(from.GetAccepted(), to.GetAccepted()) {
		change.Accepted = diffVersion(from.GetAccepted(), to.GetAccepted())
	}
	return change
}

// diffVersion encodes the new value as a delta to the old one, or whole if the delta is not smaller.
func diffVersion(from, to *wire.Version) *wire.VersionChange {
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

// applyChange returns the state that results from applying change to from. Unchanged parts are shared with from, which
// is not modified.
func applyChange(from *wire.ReplicaState, change *wire.StateChange) (*wire.ReplicaState, error) {
	to := copyState(from)
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
	for _, registerChange := range change.Registers {
		if err := applyRegisterChange(to.Registers, registerChange); err != nil {
			return nil, errors.Wrapf(err, "register %q", registerChange.Key)
		}
	}
	return to, nil
}

// applyRegisterChange updates registers in place.
func applyRegisterChange(registers map[string]*wire.Register, change *wire.RegisterChange) error {
	register := registers[change.Key]
	if change.Removed {
		if register == nil {
			return errChangeMismatch
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
		accepted, err := applyVersionChange(register.Accepted, change.Accepted)
		if err != nil {
			return err
		}
		register.Accepted = accepted
	}
	registers[change.Key] = register
	return nil
}

// applyVersionChange returns the new version, or nil if the change removes it.
func applyVersionChange(from *wire.Version, change *wire.VersionChange) (*wire.Version, error) {
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

// copyState copies a state and its registers. Terms, versions and memberships are shared with the original because they
// are never modified in place.
func copyState(state *wire.ReplicaState) *wire.ReplicaState {
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

package statestore

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"curlewreach/internal/random"
	"curlewreach/internal/storage"
	"curlewreach/internal/testing/simnet"
	"curlewreach/proto/wire"
)

func discardEvents(string, string, string) {}

// smallLimits makes snapshots and removals of obsolete files happen after a few calls of Save.
var smallLimits = limits{maxChangesPerSnapshot: 3, maxChangesRatio: 4, maxRemovalsPerSave: 2}

func newDisk(seed uint64) *simnet.Disk { return simnet.NewDisk(random.Seeded(seed)) }

// testState returns a state whose promise and value differ for each serial, and whose other fields differ for some.
func testState(serial uint64) *wire.ReplicaState {
	value := bytes.Repeat([]byte("a line that stays\n"), 10)
	value = append(value, fmt.Sprintf("line %d", serial)...)
	state := &wire.ReplicaState{
		Id:         "replica-a",
		Membership: &wire.Membership{Generation: 1 + serial/5, Voters: []*wire.Replica{{Id: "replica-a", Address: "10.0.0.1:1"}}, Target: 3},
		Registers: map[string]*wire.Register{
			"configuration": {
				Promised: &wire.Term{Number: serial, Owner: "replica-a"},
				Accepted: &wire.Version{Term: &wire.Term{Number: serial, Owner: "replica-a"}, Serial: serial, Value: value},
			},
			"odds": {Promised: &wire.Term{Number: 1, Owner: "replica-b"}},
		},
		Known: []string{"10.0.0.1:1", fmt.Sprintf("10.0.0.%d:1", 2+serial/4)},
	}
	if serial%5 == 4 {
		state.Next = &wire.Membership{Generation: 2 + serial/5}
	}
	if serial%7 == 3 {
		state.Registers["short lived"] = &wire.Register{Accepted: &wire.Version{Value: []byte("x")}}
	}
	if serial < 2 {
		state.Founding = []string{"10.0.0.1:1"}
	}
	return state
}

func mustOpen(t *testing.T, disk storage.Disk) (*Store, *wire.ReplicaState) {
	t.Helper()
	store, state, err := open(disk, discardEvents, smallLimits)
	if err != nil {
		t.Fatal(err)
	}
	return store, state
}

func mustSave(t *testing.T, store *Store, state *wire.ReplicaState) {
	t.Helper()
	if err := store.Save(state); err != nil {
		t.Fatal(err)
	}
}

func expectState(t *testing.T, got, want *wire.ReplicaState) {
	t.Helper()
	if !proto.Equal(got, want) {
		t.Fatalf("got  %v\nwant %v", got, want)
	}
}

func TestOpenOfEmptyDiskReturnsNoState(t *testing.T) {
	_, state := mustOpen(t, newDisk(1))
	if state != nil {
		t.Fatal("an empty disk returned a state")
	}
}

func TestOpenLoadsLastSavedState(t *testing.T) {
	disk := newDisk(1)
	store, _ := mustOpen(t, disk)
	for serial := range uint64(60) {
		mustSave(t, store, testState(serial))
		if serial%2 == 0 {
			var loaded *wire.ReplicaState
			store, loaded = mustOpen(t, disk)
			expectState(t, loaded, testState(serial))
		}
	}
	if files := len(disk.Names()); files > 2*(smallLimits.maxChangesPerSnapshot+1) {
		t.Fatalf("%d files remain on the disk", files)
	}
}

func TestUnchangedStateIsNotWritten(t *testing.T) {
	store, _ := mustOpen(t, newDisk(1))
	mustSave(t, store, testState(1))
	mustSave(t, store, testState(1))
	if saves := store.Stats().Saves; saves != 1 {
		t.Fatalf("%d files written", saves)
	}
}

// TestRegistersMayBeChangedInPlaceAfterSave guards against a store that keeps the caller's registers: it would compare
// the modified state with itself and write nothing.
func TestRegistersMayBeChangedInPlaceAfterSave(t *testing.T) {
	disk := newDisk(1)
	store, _ := mustOpen(t, disk)
	state := testState(1)
	mustSave(t, store, state)
	state.Registers["configuration"].Promised = &wire.Term{Number: 99}
	delete(state.Registers, "odds")
	mustSave(t, store, state)
	_, loaded := mustOpen(t, disk)
	expectState(t, loaded, state)
}

// newSavedDisk returns a disk with a snapshot followed by two changes, and the names of these three files in order.
func newSavedDisk(t *testing.T) (*simnet.Disk, []string) {
	t.Helper()
	disk := newDisk(1)
	store, _ := mustOpen(t, disk)
	for serial := range uint64(3) {
		mustSave(t, store, testState(serial))
	}
	names := disk.Names()
	if len(names) != 3 {
		t.Fatalf("files %v", names)
	}
	return disk, names
}

// expectUnreadable expects that Open returns ErrUnreadable, no state, and a store.
func expectUnreadable(t *testing.T, disk storage.Disk) *Store {
	t.Helper()
	store, state, err := open(disk, discardEvents, smallLimits)
	if !errors.Is(err, ErrUnreadable) || state != nil || store == nil {
		t.Fatalf("state %v, error %v", state, err)
	}
	return store
}

func TestFlippedBitMakesTheStateUnreadable(t *testing.T) {
	_, names := newSavedDisk(t)
	for _, name := range names {
		disk, _ := newSavedDisk(t)
		raw, _ := disk.Read(name)
		for bit := range len(raw) * 8 {
			disk, _ := newSavedDisk(t)
			flipped := bytes.Clone(raw)
			flipped[bit/8] ^= 1 << (bit % 8)
			if err := storage.WriteAtomically(disk, name, flipped); err != nil {
				t.Fatal(err)
			}
			expectUnreadable(t, disk)
		}
	}
}

func TestMissingFileBeforeOthersMakesTheStateUnreadable(t *testing.T) {
	for missing := range 2 {
		disk, names := newSavedDisk(t)
		if err := disk.Remove(names[missing]); err != nil {
			t.Fatal(err)
		}
		expectUnreadable(t, disk)
	}
}

func TestChangeFromAnotherDiskMakesTheStateUnreadable(t *testing.T) {
	disk, names := newSavedDisk(t)
	other := newDisk(2)
	store, _ := mustOpen(t, other)
	for serial := range uint64(3) {
		mustSave(t, store, testState(serial+7))
	}
	raw, err := other.Read(names[1])
	if err != nil {
		t.Fatal(err)
	}
	if err := storage.WriteAtomically(disk, names[1], raw); err != nil {
		t.Fatal(err)
	}
	expectUnreadable(t, disk)
}

func TestFileStoredUnderWrongNumberMakesTheStateUnreadable(t *testing.T) {
	for i, other := range []fileName{{7, snapshotKind}, {4, changeKind}, {4, changeKind}} {
		disk, names := newSavedDisk(t)
		raw, err := disk.Read(names[i])
		if err != nil {
			t.Fatal(err)
		}
		if err := storage.WriteAtomically(disk, other.String(), raw); err != nil {
			t.Fatal(err)
		}
		expectUnreadable(t, disk)
	}
}

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

func discard(string, string, string) {}

// small makes snapshots and trims come after few Saves.
var small = limits{changesPerSnapshot: 3, outweighRatio: 4, trimmedPerSave: 2}

func newDisk(seed uint64) *simnet.Disk { return simnet.NewDisk(random.Seeded(seed)) }

// stateOf returns a state that differs in its promise, its value and, now and then, in its other fields.
func stateOf(serial uint64) *wire.ReplicaState {
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
	store, state, err := open(disk, discard, small)
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

func TestDiskThatWasNeverWrittenHasNoState(t *testing.T) {
	_, state := mustOpen(t, newDisk(1))
	if state != nil {
		t.Fatal("a state on an empty disk")
	}
}

func TestEachSavedStateIsLoaded(t *testing.T) {
	disk := newDisk(1)
	store, _ := mustOpen(t, disk)
	for serial := range uint64(60) {
		mustSave(t, store, stateOf(serial))
		if serial%2 == 0 {
			var loaded *wire.ReplicaState
			store, loaded = mustOpen(t, disk)
			expectState(t, loaded, stateOf(serial))
		}
	}
	if files := len(disk.Names()); files > 2*(small.changesPerSnapshot+1) {
		t.Fatalf("%d files are left", files)
	}
}

func TestUnchangedStateIsNotWritten(t *testing.T) {
	store, _ := mustOpen(t, newDisk(1))
	mustSave(t, store, stateOf(1))
	mustSave(t, store, stateOf(1))
	if saves := store.Stats().Saves; saves != 1 {
		t.Fatalf("%d files written", saves)
	}
}

func TestRegistersMayBeChangedInPlaceAfterSave(t *testing.T) {
	disk := newDisk(1)
	store, _ := mustOpen(t, disk)
	state := stateOf(1)
	mustSave(t, store, state)
	state.Registers["configuration"].Promised = &wire.Term{Number: 99}
	delete(state.Registers, "odds")
	mustSave(t, store, state)
	_, loaded := mustOpen(t, disk)
	expectState(t, loaded, state)
}

// savedFiles returns a disk whose newest snapshot is followed by two changes, and the names of these three files.
func savedFiles(t *testing.T) (*simnet.Disk, []string) {
	t.Helper()
	disk := newDisk(1)
	store, _ := mustOpen(t, disk)
	for serial := range uint64(3) {
		mustSave(t, store, stateOf(serial))
	}
	names := disk.Names()
	if len(names) != 3 {
		t.Fatalf("files %v", names)
	}
	return disk, names
}

func expectUnreadable(t *testing.T, disk storage.Disk) *Store {
	t.Helper()
	store, state, err := open(disk, discard, small)
	if !errors.Is(err, ErrUnreadable) || state != nil || store == nil {
		t.Fatalf("state %v, error %v", state, err)
	}
	return store
}

func TestFlippedBitMakesTheStateUnreadable(t *testing.T) {
	_, names := savedFiles(t)
	for _, name := range names {
		disk, _ := savedFiles(t)
		raw, _ := disk.Read(name)
		for bit := range len(raw) * 8 {
			disk, _ := savedFiles(t)
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
		disk, names := savedFiles(t)
		if err := disk.Remove(names[missing]); err != nil {
			t.Fatal(err)
		}
		expectUnreadable(t, disk)
	}
}

func TestFileOfAnotherHistoryMakesTheStateUnreadable(t *testing.T) {
	disk, names := savedFiles(t)
	other := newDisk(2)
	store, _ := mustOpen(t, other)
	for serial := range uint64(3) {
		mustSave(t, store, stateOf(serial+7))
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

func TestFileUnderAnotherNumberMakesTheStateUnreadable(t *testing.T) {
	for i, other := range []fileName{{7, snapshotKind}, {4, changeKind}, {4, changeKind}} {
		disk, names := savedFiles(t)
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

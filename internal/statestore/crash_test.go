package statestore

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"testing/synctest"

	"google.golang.org/protobuf/proto"

	"curlewreach/internal/random"
	"curlewreach/internal/testing/simnet"
	"curlewreach/proto/wire"
)

const (
	// savesPerRun is enough for several snapshots and removals of obsolete files under smallLimits.
	savesPerRun = 15
	// maxOpenAttempts is how often a process tries to open a disk that returns errors.
	maxOpenAttempts = 3
	// maxSubsets is enough for every subset of seven unsynced directory changes. Of more changes, that many subsets are
	// sampled.
	maxSubsets = 1 << 7
	// maxSampledSubsets is the number of subsets tried by tests that combine two failure points, which gives many disks.
	maxSampledSubsets = 1 << 3
)

// diskHistory is a disk and the states that may be found on it after a process has written to it.
type diskHistory struct {
	disk *simnet.Disk
	// possibleStates holds the states that a restart may load: first the last acknowledged one, or nil if there is none,
	// then all whose Save has failed since.
	possibleStates []*wire.ReplicaState
	// stateLost is true if the state was unreadable when the process started and no Save has succeeded since.
	stateLost bool
	// writePoints is the number of disk writes that the last process made.
	writePoints int
}

// newHistory returns the history of an empty disk.
func newHistory(disk *simnet.Disk) diskHistory {
	return diskHistory{disk: disk, possibleStates: []*wire.ReplicaState{nil}}
}

// newDamagedHistory returns the history of a disk whose state is unreadable.
func newDamagedHistory(disk *simnet.Disk) diskHistory {
	return diskHistory{disk: disk, possibleStates: []*wire.ReplicaState{nil}, stateLost: true}
}

// runProcess opens the disk and saves savesPerRun states, starting with serial first, until a crash. decide returns the
// outcome of each disk write by its number. The returned history includes this process.
func runProcess(t *testing.T, history diskHistory, first uint64, decide func(point int) simnet.WriteOutcome) diskHistory {
	t.Helper()
	faults := &simnet.FaultyDisk{Disk: history.disk, Decide: decide}
	store := openWithRetries(t, faults, &history)
	if store != nil {
		history.saveStates(store, faults, first)
	}
	history.writePoints = faults.Writes()
	return history
}

// openWithRetries opens the store, or returns nil if all attempts fail. It checks the state that is loaded and then
// expects only that one.
func openWithRetries(t *testing.T, faults *simnet.FaultyDisk, history *diskHistory) *Store {
	t.Helper()
	for range maxOpenAttempts {
		store, state, err := open(faults, discardEvents, smallLimits)
		if errors.Is(err, ErrUnreadable) && history.stateLost {
			history.possibleStates = []*wire.ReplicaState{nil}
			return store
		}
		if store != nil && err == nil {
			history.expectPossible(t, state, "at the start")
			history.possibleStates, history.stateLost = []*wire.ReplicaState{state}, false
			return store
		}
		if !errors.Is(err, simnet.ErrWriteFailed) && !errors.Is(err, simnet.ErrCrashed) {
			t.Fatal(err)
		}
	}
	return nil
}

func (h *diskHistory) saveStates(store *Store, faults *simnet.FaultyDisk, first uint64) {
	for serial := first; serial < first+savesPerRun && !faults.Crashed(); serial++ {
		state := testState(serial)
		if store.Save(state) == nil {
			h.possibleStates, h.stateLost = []*wire.ReplicaState{state}, false
		} else {
			h.possibleStates = append(h.possibleStates, state)
		}
	}
}

// checkDisk opens a disk and expects one of the possible states, or ErrUnreadable if the state was lost. It then expects
// that the loaded state is durable and that further states can be saved.
func (h *diskHistory) checkDisk(t *testing.T, disk *simnet.Disk, scenario string) {
	t.Helper()
	store, state, err := open(disk, discardEvents, smallLimits)
	if errors.Is(err, ErrUnreadable) && h.stateLost {
		return
	}
	if err != nil {
		t.Fatalf("%s: open: %v; files %v", scenario, err, disk.Names())
	}
	h.expectPossible(t, state, scenario)
	expectDurable(t, disk, state, scenario)
	expectSavable(t, disk, store, scenario)
}

// expectPossible expects one of the possible states. The first one is not possible after a loss.
func (h *diskHistory) expectPossible(t *testing.T, state *wire.ReplicaState, scenario string) {
	t.Helper()
	possible := h.possibleStates
	if h.stateLost {
		possible = possible[1:]
	}
	for _, each := range possible {
		if (each == nil) == (state == nil) && proto.Equal(each, state) {
			return
		}
	}
	t.Fatalf("%s: loaded neither the last acknowledged state nor one whose Save failed since: %v", scenario, state)
}

// expectDurable expects that the loaded state survives a power loss that discards every unsynced change.
func expectDurable(t *testing.T, disk *simnet.Disk, state *wire.ReplicaState, scenario string) {
	t.Helper()
	clone := disk.Clone(random.Seeded(1))
	clone.PowerLossKeeping(func(int) bool { return false })
	_, reloaded, err := open(clone, discardEvents, smallLimits)
	if err != nil || !proto.Equal(reloaded, state) {
		t.Fatalf("%s: loaded %v, but after a power loss %v, error %v", scenario, state, reloaded, err)
	}
}

// expectSavable expects that states saved to the store are durable.
func expectSavable(t *testing.T, disk *simnet.Disk, store *Store, scenario string) {
	t.Helper()
	const firstSerial = 100
	for serial := range uint64(2) {
		if err := store.Save(testState(firstSerial + serial)); err != nil {
			t.Fatalf("%s: %v", scenario, err)
		}
		clone := disk.Clone(random.Seeded(1))
		clone.PowerLossKeeping(func(int) bool { return false })
		_, state, err := open(clone, discardEvents, smallLimits)
		if err != nil || !proto.Equal(state, testState(firstSerial+serial)) {
			t.Fatalf("%s: saved %d, loaded %v, error %v", scenario, firstSerial+serial, state, err)
		}
	}
}

// checkCrashOutcomes checks the disk as it is after the process was killed, and after power losses that each keep another
// subset of the unsynced directory changes. It returns the number of disks checked.
func (h *diskHistory) checkCrashOutcomes(t *testing.T, seed uint64, maxSubsets int, scenario string) (checked int) {
	t.Helper()
	h.checkDisk(t, h.disk.Clone(random.Seeded(seed)), scenario+", killed")
	unsynced := h.disk.UnsyncedEntries()
	subsets := subsetsOf(unsynced, maxSubsets, seed)
	for _, subset := range subsets {
		disk := h.disk.Clone(random.Seeded(seed ^ subset))
		disk.PowerLossKeeping(func(i int) bool { return subset>>i&1 == 1 })
		h.checkDisk(t, disk, fmt.Sprintf("%s, power lost, kept %b of %d", scenario, subset, unsynced))
	}
	return 1 + len(subsets)
}

// subsetsOf returns bit sets of count elements: all of them if there are at most limit, otherwise the empty one, the full
// one and random ones.
func subsetsOf(count, limit int, seed uint64) []uint64 {
	if 1<<count <= limit {
		subsets := make([]uint64, 1<<count)
		for i := range subsets {
			subsets[i] = uint64(i)
		}
		return subsets
	}
	rng := rand.New(rand.NewPCG(seed, uint64(count)))
	subsets := []uint64{0, 1<<count - 1}
	for len(subsets) < limit {
		subsets = append(subsets, rng.Uint64()&(1<<count-1))
	}
	return subsets
}

// failureStride is the step between the write points at which tests inject a failure. CI's additional pass under the race
// detector, which sets SEEDS to 1, uses a larger step: these tests run no concurrent code.
func failureStride() int {
	const strideOfOneSeed = 7
	if os.Getenv("SEEDS") == "1" {
		return strideOfOneSeed
	}
	return 1
}

func succeedAlways(int) simnet.WriteOutcome { return simnet.WriteSucceeds }

// outcomesAt returns outcome for one write, outcome2 for another, and success for all others.
func outcomesAt(point int, outcome simnet.WriteOutcome, point2 int, outcome2 simnet.WriteOutcome) func(int) simnet.WriteOutcome {
	return func(each int) simnet.WriteOutcome {
		switch each {
		case point:
			return outcome
		case point2:
			return outcome2
		}
		return simnet.WriteSucceeds
	}
}

var crashOutcomes = []simnet.WriteOutcome{simnet.CrashBefore, simnet.CrashAfter}

func TestCrashAtEachWriteKeepsTheLastSavedState(t *testing.T) {
	points := runProcess(t, newHistory(newDisk(1)), 0, succeedAlways).writePoints
	checked := 0
	for point := range points {
		for _, crash := range crashOutcomes {
			history := runProcess(t, newHistory(newDisk(uint64(point))), 0, outcomesAt(point, crash, -1, simnet.WriteSucceeds))
			checked += history.checkCrashOutcomes(t, uint64(point), maxSubsets, fmt.Sprintf("crash outcome %d at write %d", crash, point))
		}
	}
	t.Logf("%d write points, %d disks loaded", points, checked)
}

func TestCrashAfterAFailedWriteKeepsTheLastSavedState(t *testing.T) {
	const window = 12
	points := runProcess(t, newHistory(newDisk(1)), 0, succeedAlways).writePoints
	checked := 0
	for failed := 0; failed < points; failed += failureStride() {
		for _, failure := range []simnet.WriteOutcome{simnet.WriteFails, simnet.WriteFailsAfterEffect, simnet.WriteTorn} {
			for point := failed + 1; point < min(failed+window, points); point++ {
				history := runProcess(t, newHistory(newDisk(uint64(point))), 0, outcomesAt(failed, failure, point, simnet.CrashAfter))
				checked += history.checkCrashOutcomes(t, uint64(failed), maxSampledSubsets, fmt.Sprintf("failure %d at write %d, crash at write %d", failure, failed, point))
			}
		}
	}
	t.Logf("%d write points, %d disks loaded", points, checked)
}

// TestRandomFailuresAndRestartsKeepTheLastSavedState runs several processes in sequence on one disk. Each has random write
// failures and a crash, with or without a power loss.
func TestRandomFailuresAndRestartsKeepTheLastSavedState(t *testing.T) {
	const processes = 4
	seeds := 200 / failureStride()
	checked := 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		history := newHistory(newDisk(seed))
		for process := range uint64(processes) {
			history = runProcess(t, history, process*savesPerRun, randomFailures(rng))
			checked += history.checkCrashOutcomes(t, seed, maxSampledSubsets, fmt.Sprintf("seed %d, process %d", seed, process))
			if rng.IntN(2) == 0 {
				history.disk.PowerLoss()
			}
		}
	}
	t.Logf("%d seeds, %d disks loaded", seeds, checked)
}

// randomFailures makes a random ratio of the writes fail, singly or several in a row, until a crash.
func randomFailures(rng *rand.Rand) func(int) simnet.WriteOutcome {
	failureRatio, crashPoint, moreFailures := rng.Float64()/3, rng.IntN(90), 0
	failures := []simnet.WriteOutcome{simnet.WriteFails, simnet.WriteFailsAfterEffect, simnet.WriteTorn}
	return func(point int) simnet.WriteOutcome {
		if point == crashPoint {
			return crashOutcomes[rng.IntN(len(crashOutcomes))]
		}
		if moreFailures > 0 {
			moreFailures--
			return failures[rng.IntN(len(failures))]
		}
		if rng.Float64() < failureRatio {
			moreFailures = rng.IntN(5)
			return failures[rng.IntN(len(failures))]
		}
		return simnet.WriteSucceeds
	}
}

// damagedDisks returns constructors, by name, of disks made by newSavedDisk whose state is then made unreadable.
func damagedDisks(t *testing.T) map[string]func() *simnet.Disk {
	t.Helper()
	constructors := map[string]func() *simnet.Disk{}
	for i := range 3 {
		constructors[fmt.Sprintf("flipped bit in file %d", i)] = func() *simnet.Disk {
			disk, names := newSavedDisk(t)
			disk.FlipBits(names[i])
			return disk
		}
	}
	for i := range 2 {
		constructors[fmt.Sprintf("loss of file %d", i)] = func() *simnet.Disk {
			disk, names := newSavedDisk(t)
			_ = disk.Remove(names[i])
			_ = disk.SyncFolder("")
			return disk
		}
	}
	return constructors
}

// TestLostStateIsNeverLoadedAgain guards against files of a lost state being taken for a newer state once the store has
// been written again, whatever fails in between.
func TestLostStateIsNeverLoadedAgain(t *testing.T) {
	const first = 40
	checked := 0
	for name, damage := range damagedDisks(t) {
		points := runProcess(t, newDamagedHistory(damage()), first, succeedAlways).writePoints
		for point := 0; point < points; point += failureStride() {
			for _, outcome := range []simnet.WriteOutcome{simnet.CrashBefore, simnet.CrashAfter, simnet.WriteFails, simnet.WriteFailsAfterEffect, simnet.WriteTorn} {
				history := runProcess(t, newDamagedHistory(damage()), first, outcomesAt(point, outcome, point+3, simnet.CrashAfter))
				checked += history.checkCrashOutcomes(t, uint64(point), maxSampledSubsets, fmt.Sprintf("%s, outcome %d at write %d", name, outcome, point))
			}
		}
	}
	t.Logf("%d disks loaded", checked)
}

func TestLostStateIsReportedUntilTheNextSave(t *testing.T) {
	for name, damage := range damagedDisks(t) {
		disk := damage()
		for range 3 {
			expectUnreadable(t, disk)
			disk.PowerLoss()
		}
		store := expectUnreadable(t, disk)
		mustSave(t, store, testState(50))
		_, state := mustOpen(t, disk)
		if !proto.Equal(state, testState(50)) {
			t.Fatalf("%s: loaded %v", name, state)
		}
	}
}

func TestFullDiskKeepsTheStateAndRecovers(t *testing.T) {
	disk := newDisk(1)
	store, _ := mustOpen(t, disk)
	mustSave(t, store, testState(1))
	disk.SetFull(true)
	for serial := range uint64(5) {
		if store.Save(testState(2+serial)) == nil {
			t.Fatal("Save succeeded on a full disk")
		}
	}
	if stats := store.Stats(); stats.Failures != 5 || stats.Saves != 1 {
		t.Fatalf("%+v", stats)
	}
	_, state := mustOpen(t, disk)
	expectState(t, state, testState(1))
	disk.SetFull(false)
	mustSave(t, store, testState(9))
	_, state = mustOpen(t, disk)
	expectState(t, state, testState(9))
}

func TestLostStateIsReportedWhileTheDiskIsFull(t *testing.T) {
	disk, names := newSavedDisk(t)
	disk.FlipBits(names[2])
	disk.SetFull(true)
	store := expectUnreadable(t, disk)
	if store.Save(testState(50)) == nil {
		t.Fatal("Save succeeded on a full disk")
	}
	expectUnreadable(t, disk)
	disk.SetFull(false)
	mustSave(t, store, testState(50))
	_, state := mustOpen(t, disk)
	expectState(t, state, testState(50))
}

// TestSaveAfterAFailedSaveIsDurable makes a Save fail at each of its writes, lets the next one succeed, and then cuts the
// power. The failed Save may have left a file with the same number, which must not take precedence.
func TestSaveAfterAFailedSaveIsDurable(t *testing.T) {
	// A state that shares nothing with its predecessor is written as a snapshot, because the change would be larger than
	// the state.
	unrelated := &wire.ReplicaState{Id: "replica-z", Registers: map[string]*wire.Register{
		"other": {Accepted: &wire.Version{Value: []byte(strings.Repeat("z", 100))}},
	}}
	for _, each := range []struct {
		name          string
		first, second *wire.ReplicaState
		kind          fileKind
	}{
		{"previous state after a failed change", testState(2), testState(1), changeKind},
		{"previous state after a failed snapshot", unrelated, testState(1), snapshotKind},
		{"change after a failed snapshot", unrelated, testState(2), snapshotKind},
		{"snapshot after a failed change", testState(2), unrelated, changeKind},
		{"change after a failed change", testState(2), testState(3), changeKind},
	} {
		for _, failure := range []simnet.WriteOutcome{simnet.WriteFails, simnet.WriteFailsAfterEffect, simnet.WriteTorn} {
			for point, failed := 0, true; failed; point++ {
				failed = saveAfterFailure(t, each.name, each.first, each.second, each.kind, point, failure)
			}
		}
	}
}

// saveAfterFailure makes the write with the given number fail in the first Save. It returns whether that Save returned an
// error; it does not if it makes fewer writes, or ignores the failure of this one.
func saveAfterFailure(t *testing.T, name string, first, second *wire.ReplicaState, want fileKind, point int, failure simnet.WriteOutcome) bool {
	t.Helper()
	disk := newDisk(uint64(point))
	faults := &simnet.FaultyDisk{Disk: disk, Decide: succeedAlways}
	store, _, err := open(faults, discardEvents, limits{maxChangesPerSnapshot: 100, maxChangesRatio: 1, maxRemovalsPerSave: 2})
	if err != nil {
		t.Fatal(err)
	}
	mustSave(t, store, testState(1))
	faults.Decide = outcomesAt(faults.Writes()+point, failure, -1, simnet.WriteSucceeds)
	failed := store.Save(first) != nil
	if written := store.Stats().Snapshots - 1; !failed && (written == 1) != (want == snapshotKind) {
		t.Fatalf("%s: %d snapshots written, want the first Save to write a %s", name, written, want)
	}
	faults.Decide = succeedAlways
	mustSave(t, store, second)
	disk.PowerLoss()
	_, state := mustOpen(t, disk)
	if !proto.Equal(state, second) {
		t.Fatalf("%s, failure %d at write %d: loaded %v", name, failure, point, state)
	}
	return failed
}

func TestKillDuringStalledSaveKeepsTheState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := newDisk(1)
		mount := simnet.NewMount(disk)
		store, _ := mustOpen(t, mount)
		mustSave(t, store, testState(1))
		release := disk.Stall()
		saved := make(chan error)
		go func() { saved <- store.Save(testState(2)) }()
		synctest.Wait()
		mount.Unmount()
		if err := <-saved; err == nil {
			t.Fatal("Save succeeded on an unmounted disk")
		}
		release()
		_, state := mustOpen(t, simnet.NewMount(disk))
		expectState(t, state, testState(1))
	})
}

func TestStalledSaveCompletesWhenTheStallEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := newDisk(1)
		store, _ := mustOpen(t, simnet.NewMount(disk))
		release := disk.Stall()
		saved := make(chan error)
		go func() { saved <- store.Save(testState(1)) }()
		synctest.Wait()
		release()
		if err := <-saved; err != nil {
			t.Fatal(err)
		}
		disk.PowerLoss()
		_, state := mustOpen(t, simnet.NewMount(disk))
		expectState(t, state, testState(1))
	})
}

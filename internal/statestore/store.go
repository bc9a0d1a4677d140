// Package statestore persists one replica's state on its disk.
//
// Each version of the state is stored in one numbered file: a snapshot with the complete state, or a change with the
// difference to the preceding version. Loading reads the newest snapshot and all changes after it. Each change contains
// the digest of the file that precedes it, so a missing file or a file written by another store is detected and makes
// the state unreadable.
//
// A file is written under a temporary name, synced and renamed, and its folder is synced, before the next number is used.
// Only the newest file can therefore be missing after a power loss. After a failed Save it is unknown whether the file is
// on the disk. The next Save uses the same number: it either replaces the file, or writes a snapshot, which takes
// precedence over a change with the same number. Files made obsolete by a newer snapshot are removed without a sync,
// because a load ignores them if a power loss restores them.
package statestore

import (
	"crypto/sha256"
	"io/fs"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"curlewreach/internal/storage"
	"curlewreach/proto/wire"
)

// ErrUnreadable is the cause of the error that Open returns if the state on the disk is lost.
var ErrUnreadable = errors.New("replica state is unreadable")

const (
	// maxChangesPerSnapshot is the number of changes after which a new snapshot is written. It bounds the number of files
	// that a load reads and that are kept on the disk.
	maxChangesPerSnapshot = 256
	// maxChangesRatio is the total size of the changes since the last snapshot, relative to the size of the state, above
	// which a new snapshot is written.
	maxChangesRatio = 1.0
	// maxRemovalsPerSave is the maximum number of obsolete files that one Save removes, which bounds the duration of a Save.
	maxRemovalsPerSave = 8
)

// limits holds the values of the constants above. Tests use smaller ones.
type limits struct {
	maxChangesPerSnapshot int
	maxChangesRatio       float64
	maxRemovalsPerSave    int
}

// RecordFunc appends an event to the process's journal.
type RecordFunc func(topic, subject, detail string)

// Store writes the versions of one replica's state. Calls of Save must not overlap; Stats may be called at any time.
type Store struct {
	disk   storage.Disk
	record RecordFunc
	limits limits
	// current is the last version that was saved or loaded. Its state is nil before the first one.
	current loadedState
	// pendingKind is the kind of the file whose write was started but has not succeeded, empty if there is none. The next
	// Save reuses that file's number.
	pendingKind fileKind
	// liveFiles holds the names of files that a load may read, obsoleteFiles those of files to be removed.
	liveFiles     []string
	obsoleteFiles []string
	counters      counters
}

type counters struct {
	saves, failures, snapshots, bytesWritten, files, snapshotBytes atomic.Int64
}

// Stats holds counters since Open and sizes at the time of the call.
type Stats struct {
	// Saves is the number of versions written, and Snapshots the number of those written as a snapshot.
	Saves, Snapshots int64
	// Failures is the number of calls of Save that returned an error.
	Failures int64
	// BytesWritten is the size of all files written, in bytes.
	BytesWritten int64
	// Files is the current number of files on the disk.
	Files int64
	// SnapshotBytes is the size of the last snapshot, in bytes.
	SnapshotBytes int64
}

// Open loads the state from the disk.
//
//   - If the disk has never been written, it returns a store, a nil state and no error.
//   - If the state cannot be read completely, it returns a store and an error whose cause is ErrUnreadable. The first Save
//     then writes a snapshot with a higher number than all existing files, which makes them obsolete in one atomic step.
//     Until that Save succeeds the files are kept, and further calls of Open return ErrUnreadable as well.
//   - On any other error the store is nil, and Open may be called again.
func Open(disk storage.Disk, record func(topic, subject, detail string)) (*Store, *wire.ReplicaState, error) {
	return open(disk, record, limits{maxChangesPerSnapshot, maxChangesRatio, maxRemovalsPerSave})
}

func open(disk storage.Disk, record RecordFunc, limits limits) (*Store, *wire.ReplicaState, error) {
	// Renames made by a previous process may not be durable yet. Sync them before the loaded state is relied upon.
	if err := disk.SyncFolder(""); err != nil {
		return nil, nil, errors.Wrap(err, "sync folder")
	}
	listing, err := listFiles(disk)
	if err != nil {
		return nil, nil, err
	}
	store := &Store{disk: disk, record: record, limits: limits, obsoleteFiles: listing.obsolete}
	store.current.number = listing.highestNumber
	store.liveFiles = fileNames(listing.current)
	defer store.updateGauges()
	if len(listing.current) == 0 {
		return store, nil, nil
	}
	current, err := load(disk, listing)
	if errors.Is(err, ErrUnreadable) {
		record("state-unreadable", "", err.Error())
		return store, nil, err
	}
	if err != nil {
		return nil, nil, err
	}
	store.current = *current
	return store, copyState(current.state), nil
}

// Save makes next durable atomically, or returns an error. After an error this store still holds the last saved state,
// but a restart may load either that state or next. The store retains parts of next: its terms, versions and memberships
// must not be modified afterwards.
func (s *Store) Save(next *wire.ReplicaState) error {
	err := s.save(next)
	if err != nil {
		s.counters.failures.Add(1)
		s.record("disk-trouble", "", err.Error())
	}
	s.updateGauges()
	return err
}

func (s *Store) save(next *wire.ReplicaState) error {
	file := s.nextFile(next)
	if file == nil {
		return nil
	}
	raw, err := storage.Frame(file)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	name := fileName{file.Number, kindOf(file)}
	s.pendingKind = name.kind
	s.trackFile(name.String())
	if err := storage.WriteAtomically(s.disk, name.String(), raw); err != nil {
		s.markObsolete(name.String() + storage.TemporarySuffix)
		return errors.Wrap(err, name.String())
	}
	s.pendingKind = ""
	s.recordWritten(name, raw, next)
	s.removeObsolete()
	return nil
}

// nextFile returns the file to write, or nil if next is already on the disk. It writes a snapshot for the first state,
// after a snapshot whose write failed, and when the changes since the last snapshot are too many or too large.
func (s *Store) nextFile(next *wire.ReplicaState) *wire.StateFile {
	number := s.current.number + 1
	if s.current.state == nil || s.pendingKind == snapshotKind || s.current.changeCount >= s.limits.maxChangesPerSnapshot {
		return snapshotFile(number, next)
	}
	change := diffStates(s.current.state, next)
	if change == nil && s.pendingKind == "" {
		return nil
	}
	if change == nil {
		change = &wire.StateChange{}
	}
	changeBytes := s.current.changeBytes + proto.Size(change)
	if float64(changeBytes) > s.limits.maxChangesRatio*float64(proto.Size(next)) {
		return snapshotFile(number, next)
	}
	return changeFile(number, s.current.digest, change)
}

// trackFile records that a file may exist on the disk from now on.
func (s *Store) trackFile(name string) {
	if !slices.Contains(s.liveFiles, name) {
		s.liveFiles = append(s.liveFiles, name)
	}
}

// recordWritten makes the written file the current version. A snapshot makes all other files obsolete.
func (s *Store) recordWritten(name fileName, raw []byte, state *wire.ReplicaState) {
	s.counters.saves.Add(1)
	s.counters.bytesWritten.Add(int64(len(raw)))
	s.current.state, s.current.number, s.current.digest = copyState(state), name.number, sha256.Sum256(raw)
	if name.kind == changeKind {
		s.current.changeCount++
		s.current.changeBytes += len(raw)
		return
	}
	s.counters.snapshots.Add(1)
	s.current.changeCount, s.current.changeBytes, s.current.snapshotBytes = 0, 0, len(raw)
	for _, other := range s.liveFiles {
		if other != name.String() {
			s.markObsolete(other)
		}
	}
	s.liveFiles = []string{name.String()}
}

// markObsolete schedules a file for removal, by this Save or a later one.
func (s *Store) markObsolete(name string) {
	if !slices.Contains(s.obsoleteFiles, name) {
		s.obsoleteFiles = append(s.obsoleteFiles, name)
	}
}

// removeObsolete removes up to maxRemovalsPerSave obsolete files. A failed removal is retried by a later Save. If a power
// loss restores a removed file, Open lists it as obsolete again.
func (s *Store) removeObsolete() {
	count := min(len(s.obsoleteFiles), s.limits.maxRemovalsPerSave)
	batch, remaining := s.obsoleteFiles[:count], slices.Clone(s.obsoleteFiles[count:])
	for _, name := range batch {
		if err := s.disk.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			remaining = append(remaining, name)
		}
	}
	s.obsoleteFiles = remaining
}

// Stats returns the store's counters. It is safe for concurrent use.
func (s *Store) Stats() Stats {
	return Stats{
		Saves:         s.counters.saves.Load(),
		Snapshots:     s.counters.snapshots.Load(),
		Failures:      s.counters.failures.Load(),
		BytesWritten:  s.counters.bytesWritten.Load(),
		Files:         s.counters.files.Load(),
		SnapshotBytes: s.counters.snapshotBytes.Load(),
	}
}

// updateGauges publishes the number of files and the snapshot's size for Stats.
func (s *Store) updateGauges() {
	s.counters.files.Store(int64(len(s.liveFiles) + len(s.obsoleteFiles)))
	s.counters.snapshotBytes.Store(int64(s.current.snapshotBytes))
}

func fileNames(files []fileName) []string {
	names := make([]string, len(files))
	for i, file := range files {
		names[i] = file.String()
	}
	return names
}

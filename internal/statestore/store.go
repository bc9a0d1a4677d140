// Package statestore keeps one replica's state on its disk.
//
// Each version of the state is one file: a snapshot with all of it, or a change with the difference to the version
// before. A load takes the newest snapshot and all changes after it; each change names the digest of the file before
// it, so a gap or a file of another history is noticed and makes the state unreadable.
//
// A file is written aside, synced, renamed and its folder synced before the next number is used, so only the newest
// file can be missing after a loss of power. A failed Save leaves it open whether its file is there: the next one
// takes the same number, and replaces the file or outdates it by a snapshot, as a snapshot goes before a change of
// its number. Files that a newer snapshot outdates are removed without a sync; they do no harm if they come back.
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

// ErrUnreadable is the cause of the error that Open returns for a disk whose state was lost.
var ErrUnreadable = errors.New("replica state is unreadable")

const (
	// changesPerSnapshot bounds the files that a load reads and the disk keeps.
	changesPerSnapshot = 256
	// outweighRatio is the size of all changes since a snapshot, as a share of the whole state's size, from which
	// on a new snapshot is written.
	outweighRatio = 1.0
	// trimmedPerSave is the most outdated files that one Save removes, so that none takes long.
	trimmedPerSave = 8
)

// limits are the package's constants, smaller in tests.
type limits struct {
	changesPerSnapshot int
	outweighRatio      float64
	trimmedPerSave     int
}

// RecordFunc takes a line for the journal: what happened, to which file, and why.
type RecordFunc func(what, subject, detail string)

// Store writes the versions of one replica's state. Its Save must not be called twice at once; Stats may always be.
type Store struct {
	disk   storage.Disk
	note   RecordFunc
	limits limits
	// current is the last version that was saved or loaded; its state is nil before the first.
	current loaded
	// attempted is the kind of the file whose writing failed last, if its number is still to be used again.
	attempted kind
	// live are the names in use and outdated those to be removed.
	live     []string
	outdated []string
	counters counters
}

type counters struct {
	saves, failures, snapshots, bytes, files, snapshotBytes atomic.Int64
}

// Stats are counts since Open.
type Stats struct {
	// Saves is the number of versions written, Snapshots of how many of those were whole.
	Saves, Snapshots int64
	// Failures is the number of Saves that returned an error.
	Failures int64
	// BytesWritten is the size of all files written, in bytes.
	BytesWritten int64
	// Files is the number of files on the disk now.
	Files int64
	// SnapshotBytes is the size of the last snapshot, in bytes.
	SnapshotBytes int64
}

// Open loads the state. A disk that was never written gives no state and no error. A disk whose state cannot be read
// whole gives an error caused by ErrUnreadable and a store on which a fresh state can be saved: as a snapshot numbered
// above all files there, which outdates them in one step. Until then they stay, and Open keeps saying ErrUnreadable.
// With any other error there is no store, and Open may be called again.
func Open(disk storage.Disk, note func(what, subject, detail string)) (*Store, *wire.ReplicaState, error) {
	return open(disk, note, limits{changesPerSnapshot, outweighRatio, trimmedPerSave})
}

func open(disk storage.Disk, note RecordFunc, limits limits) (*Store, *wire.ReplicaState, error) {
	// What a process before this one renamed may not be durable yet, and is about to be relied upon.
	if err := disk.SyncFolder(""); err != nil {
		return nil, nil, errors.Wrap(err, "sync folder")
	}
	found, err := takeInventory(disk)
	if err != nil {
		return nil, nil, err
	}
	store := &Store{disk: disk, note: note, limits: limits, outdated: found.leftovers}
	store.current.number = found.highest
	store.live = texts(found.current)
	defer store.count()
	if len(found.current) == 0 {
		return store, nil, nil
	}
	current, err := load(disk, found)
	if errors.Is(err, ErrUnreadable) {
		note("state-unreadable", "", err.Error())
		return store, nil, err
	}
	if err != nil {
		return nil, nil, err
	}
	store.current = *current
	return store, shared(current.state), nil
}

// Save makes next durable as a whole, or returns an error. After an error the last saved state is in force here, but
// after a restart it may be either. The store keeps parts of next: its terms, versions and memberships must not be
// changed in place afterwards.
func (s *Store) Save(next *wire.ReplicaState) error {
	err := s.save(next)
	if err != nil {
		s.counters.failures.Add(1)
		s.note("disk-trouble", "", err.Error())
	}
	s.count()
	return err
}

func (s *Store) save(next *wire.ReplicaState) error {
	file := s.plan(next)
	if file == nil {
		return nil
	}
	raw, err := storage.Frame(file)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	name := fileName{file.Number, kindOf(file)}
	s.attempted = name.kind
	s.track(name.String())
	if err := storage.WriteAtomically(s.disk, name.String(), raw); err != nil {
		s.outdate(name.String() + storage.TemporarySuffix)
		return errors.Wrap(err, name.String())
	}
	s.attempted = ""
	s.accept(name, raw, next)
	s.trim()
	return nil
}

// plan returns the file to be written, or nil if next is on the disk already.
func (s *Store) plan(next *wire.ReplicaState) *wire.StateFile {
	number := s.current.number + 1
	if s.current.state == nil || s.attempted == snapshotKind || s.current.changes >= s.limits.changesPerSnapshot {
		return snapshotFile(number, next)
	}
	change := difference(s.current.state, next)
	if change == nil && s.attempted == "" {
		return nil
	}
	if change == nil {
		change = &wire.StateChange{}
	}
	weight := s.current.changeBytes + proto.Size(change)
	if float64(weight) > s.limits.outweighRatio*float64(proto.Size(next)) {
		return snapshotFile(number, next)
	}
	return changeFile(number, s.current.digest, change)
}

// track remembers that a file may be on the disk from now on.
func (s *Store) track(name string) {
	if !slices.Contains(s.live, name) {
		s.live = append(s.live, name)
	}
}

// accept takes the written file in as the current version.
func (s *Store) accept(name fileName, raw []byte, state *wire.ReplicaState) {
	s.counters.saves.Add(1)
	s.counters.bytes.Add(int64(len(raw)))
	s.current.state, s.current.number, s.current.digest = shared(state), name.number, sha256.Sum256(raw)
	if name.kind == changeKind {
		s.current.changes++
		s.current.changeBytes += len(raw)
		return
	}
	s.counters.snapshots.Add(1)
	s.current.changes, s.current.changeBytes, s.current.snapshotBytes = 0, 0, len(raw)
	for _, each := range s.live {
		if each != name.String() {
			s.outdate(each)
		}
	}
	s.live = []string{name.String()}
}

// outdate has a file removed some time after a later Save.
func (s *Store) outdate(name string) {
	if !slices.Contains(s.outdated, name) {
		s.outdated = append(s.outdated, name)
	}
}

// trim removes some of the outdated files. A removal that fails is tried again; one that is lost is found by Open.
func (s *Store) trim() {
	count := min(len(s.outdated), s.limits.trimmedPerSave)
	tried, rest := s.outdated[:count], slices.Clone(s.outdated[count:])
	for _, name := range tried {
		if err := s.disk.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			rest = append(rest, name)
		}
	}
	s.outdated = rest
}

// Stats returns the store's counts.
func (s *Store) Stats() Stats {
	return Stats{
		Saves:         s.counters.saves.Load(),
		Snapshots:     s.counters.snapshots.Load(),
		Failures:      s.counters.failures.Load(),
		BytesWritten:  s.counters.bytes.Load(),
		Files:         s.counters.files.Load(),
		SnapshotBytes: s.counters.snapshotBytes.Load(),
	}
}

func (s *Store) count() {
	s.counters.files.Store(int64(len(s.live) + len(s.outdated)))
	s.counters.snapshotBytes.Store(int64(s.current.snapshotBytes))
}

func texts(names []fileName) []string {
	listed := make([]string, len(names))
	for i, name := range names {
		listed[i] = name.String()
	}
	return listed
}

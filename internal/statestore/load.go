package statestore

import (
	"crypto/sha256"
	"io/fs"
	"syscall"

	"github.com/pkg/errors"

	"curlewreach/internal/storage"
	"curlewreach/proto/wire"
)

// inventory is what a disk's folder lists of the store.
type inventory struct {
	// current are the newest snapshot, if there is one, and all changes of higher numbers.
	current []fileName
	// leftovers are the names of other files, which no load reads.
	leftovers []string
	// highest is the highest number of any file, and snapshot that of the newest snapshot, 0 without one.
	highest, snapshot uint64
}

func takeInventory(disk storage.Disk) (*inventory, error) {
	names, err := disk.List("")
	if err != nil {
		return nil, errors.Wrap(err, "list")
	}
	found := &inventory{}
	var files []fileName
	for _, name := range names {
		if isTemporary(name) {
			found.leftovers = append(found.leftovers, name)
		}
		if file, ours := parseName(name); ours {
			files = append(files, file)
		}
	}
	found.classify(files)
	return found, nil
}

func (i *inventory) classify(files []fileName) {
	for _, file := range files {
		i.highest = max(i.highest, file.number)
		if file.kind == snapshotKind {
			i.snapshot = max(i.snapshot, file.number)
		}
	}
	for _, file := range files {
		if i.isCurrent(file) {
			i.current = append(i.current, file)
		} else {
			i.leftovers = append(i.leftovers, file.String())
		}
	}
}

// isCurrent prefers a snapshot to a change of its number: that change was written first, and its Save failed.
func (i *inventory) isCurrent(file fileName) bool {
	return file.number > i.snapshot || file == fileName{i.snapshot, snapshotKind}
}

// loaded is the newest state on a disk and the files that it was read from.
type loaded struct {
	state         *wire.ReplicaState
	number        uint64
	digest        digest
	changes       int
	changeBytes   int
	snapshotBytes int
}

// load reads the newest snapshot and all changes after it. An error that is not ErrUnreadable may pass.
func load(disk storage.Disk, found *inventory) (*loaded, error) {
	if found.snapshot == 0 {
		return nil, errors.Wrap(ErrUnreadable, "no snapshot")
	}
	at, err := loadSnapshot(disk, fileName{found.snapshot, snapshotKind})
	if err != nil {
		return nil, err
	}
	for range len(found.current) - 1 {
		if err := at.loadChange(disk, fileName{at.number + 1, changeKind}); err != nil {
			return nil, err
		}
	}
	return at, nil
}

func loadSnapshot(disk storage.Disk, name fileName) (*loaded, error) {
	raw, file, err := readFile(disk, name)
	if err != nil {
		return nil, err
	}
	if file.GetSnapshot() == nil {
		return nil, errors.Wrapf(ErrUnreadable, "%s holds no snapshot", name)
	}
	state := shared(file.GetSnapshot())
	return &loaded{state: state, number: name.number, digest: sha256.Sum256(raw), snapshotBytes: len(raw)}, nil
}

func (l *loaded) loadChange(disk storage.Disk, name fileName) error {
	raw, file, err := readFile(disk, name)
	if err != nil {
		return err
	}
	change := file.GetChange()
	if change == nil {
		return errors.Wrapf(ErrUnreadable, "%s holds no change", name)
	}
	if string(change.Predecessor) != string(l.digest[:]) {
		return errors.Wrapf(ErrUnreadable, "%s follows another file than the one before it", name)
	}
	state, err := applied(l.state, change)
	if err != nil {
		return errors.Wrapf(ErrUnreadable, "%s: %s", name, err)
	}
	l.state, l.number, l.digest = state, name.number, sha256.Sum256(raw)
	l.changes++
	l.changeBytes += len(raw)
	return nil
}

// readFile returns ErrUnreadable for a file that is missing, bad or on a bad sector.
func readFile(disk storage.Disk, name fileName) ([]byte, *wire.StateFile, error) {
	raw, err := disk.Read(name.String())
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.EIO) {
		return nil, nil, errors.Wrapf(ErrUnreadable, "%s: %s", name, err)
	}
	if err != nil {
		return nil, nil, errors.Wrap(err, name.String())
	}
	file, err := decodeFile(name, raw)
	if err != nil {
		return nil, nil, errors.Wrap(ErrUnreadable, err.Error())
	}
	return raw, file, nil
}

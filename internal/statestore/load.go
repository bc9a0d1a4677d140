package statestore

import (
	"crypto/sha256"
	"io/fs"
	"syscall"

	"github.com/pkg/errors"

	"curlewreach/internal/storage"
	"curlewreach/proto/wire"
)

// fileListing holds the store's files found in the disk's root folder.
type fileListing struct {
	// current holds the newest snapshot, if there is one, and all changes with higher numbers.
	current []fileName
	// obsolete holds the names of all other files of the store, which load does not read.
	obsolete []string
	// highestNumber is the highest number of any file. snapshotNumber is the number of the newest snapshot, 0 if there
	// is none.
	highestNumber, snapshotNumber uint64
}

func listFiles(disk storage.Disk) (*fileListing, error) {
	names, err := disk.List("")
	if err != nil {
		return nil, errors.Wrap(err, "list")
	}
	listing := &fileListing{}
	var files []fileName
	for _, name := range names {
		if isTemporary(name) {
			listing.obsolete = append(listing.obsolete, name)
		}
		if file, isStateFile := parseName(name); isStateFile {
			files = append(files, file)
		}
	}
	listing.classify(files)
	return listing, nil
}

func (l *fileListing) classify(files []fileName) {
	for _, file := range files {
		l.highestNumber = max(l.highestNumber, file.number)
		if file.kind == snapshotKind {
			l.snapshotNumber = max(l.snapshotNumber, file.number)
		}
	}
	for _, file := range files {
		if l.isCurrent(file) {
			l.current = append(l.current, file)
		} else {
			l.obsolete = append(l.obsolete, file.String())
		}
	}
}

// isCurrent reports whether load reads the file. If a change and a snapshot have the same number, the snapshot is
// current: the change was written first, by a Save that failed, and the next Save reused the number.
func (l *fileListing) isCurrent(file fileName) bool {
	return file.number > l.snapshotNumber || file == fileName{l.snapshotNumber, snapshotKind}
}

// loadedState is the newest version of the state and the size of the files that it consists of.
type loadedState struct {
	state         *wire.ReplicaState
	number        uint64
	digest        digest
	changeCount   int
	changeBytes   int // size of all changes since the snapshot
	snapshotBytes int
}

// load reads the newest snapshot and all changes after it. It returns ErrUnreadable if the state is lost; any other error
// may be temporary, so the caller may try again.
func load(disk storage.Disk, listing *fileListing) (*loadedState, error) {
	if listing.snapshotNumber == 0 {
		return nil, errors.Wrap(ErrUnreadable, "no snapshot")
	}
	result, err := loadSnapshot(disk, fileName{listing.snapshotNumber, snapshotKind})
	if err != nil {
		return nil, err
	}
	for range len(listing.current) - 1 {
		if err := result.loadChange(disk, fileName{result.number + 1, changeKind}); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func loadSnapshot(disk storage.Disk, name fileName) (*loadedState, error) {
	raw, file, err := readFile(disk, name)
	if err != nil {
		return nil, err
	}
	if file.GetSnapshot() == nil {
		return nil, errors.Wrapf(ErrUnreadable, "%s does not contain a snapshot", name)
	}
	state := copyState(file.GetSnapshot())
	return &loadedState{state: state, number: name.number, digest: sha256.Sum256(raw), snapshotBytes: len(raw)}, nil
}

func (l *loadedState) loadChange(disk storage.Disk, name fileName) error {
	raw, file, err := readFile(disk, name)
	if err != nil {
		return err
	}
	change := file.GetChange()
	if change == nil {
		return errors.Wrapf(ErrUnreadable, "%s does not contain a change", name)
	}
	if string(change.Predecessor) != string(l.digest[:]) {
		return errors.Wrapf(ErrUnreadable, "%s has a predecessor digest that does not match the preceding file", name)
	}
	state, err := applyChange(l.state, change)
	if err != nil {
		return errors.Wrapf(ErrUnreadable, "%s: %s", name, err)
	}
	l.state, l.number, l.digest = state, name.number, sha256.Sum256(raw)
	l.changeCount++
	l.changeBytes += len(raw)
	return nil
}

// readFile reads and decodes a file. It returns ErrUnreadable if the file is missing, malformed or on a bad sector (EIO).
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

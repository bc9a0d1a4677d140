package statestore

import (
	"crypto/sha256"
	"io/fs"
	"syscall"

	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// inventory is what a disk's folder lists of the store.
type inventory struct {
	names     []fileName
	leftovers []string
	highest   uint64
	lost      uint64
	isLost    bool
	snapshot  uint64
	hasState  bool
}

func takeInventory(disk base.Disk) (*inventory, error) {
	names, err := disk.List("")
	if err != nil {
		return nil, errors.Wrap(err, "list")
	}
	found := &inventory{}
	for _, name := range names {
		if isAside(name) {
			found.leftovers = append(found.leftovers, name)
		}
		if parsed, ours := parseName(name); ours {
			found.add(parsed)
		}
	}
	found.sortOut()
	return found, nil
}

func (i *inventory) add(name fileName) {
	i.names = append(i.names, name)
	i.highest = max(i.highest, name.number)
	if name.kind == lostKind {
		i.isLost = true
		i.lost = max(i.lost, name.number)
	}
}

// sortOut finds the newest snapshot that is not void, and takes out of names all that it or a loss outdates.
func (i *inventory) sortOut() {
	for _, name := range i.names {
		if name.kind == snapshotKind && !i.isVoid(name) {
			i.snapshot = max(i.snapshot, name.number)
		}
	}
	var current []fileName
	for _, name := range i.names {
		if i.isCurrent(name) {
			current = append(current, name)
			i.hasState = true
		} else if name != (fileName{i.lost, lostKind}) || i.snapshot > i.lost {
			i.leftovers = append(i.leftovers, name.String())
		}
	}
	i.names = current
}

func (i *inventory) isVoid(name fileName) bool { return i.isLost && name.number <= i.lost }

func (i *inventory) isCurrent(name fileName) bool {
	if name.kind == lostKind || i.isVoid(name) || name.number < i.snapshot {
		return false
	}
	return name.number > i.snapshot || name.kind == snapshotKind
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
func load(disk base.Disk, found *inventory) (*loaded, error) {
	if found.snapshot == 0 {
		return nil, errors.Wrap(ErrUnreadable, "no snapshot")
	}
	at, err := loadSnapshot(disk, fileName{found.snapshot, snapshotKind})
	if err != nil {
		return nil, err
	}
	for range len(found.names) - 1 {
		if err := at.loadChange(disk, fileName{at.number + 1, changeKind}); err != nil {
			return nil, err
		}
	}
	return at, nil
}

func loadSnapshot(disk base.Disk, name fileName) (*loaded, error) {
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

func (l *loaded) loadChange(disk base.Disk, name fileName) error {
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
func readFile(disk base.Disk, name fileName) ([]byte, *wire.StateFile, error) {
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

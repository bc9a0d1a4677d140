package statestore

import (
	"crypto/sha256"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"curlewreach/internal/storage"
	"curlewreach/proto/wire"
)

// kind tells what a file of the store holds; it is the last part of the file's name.
type kind string

const (
	// changeKind is the difference to the version before.
	changeKind kind = "change"
	// snapshotKind is a whole state.
	snapshotKind kind = "snapshot"
)

const (
	namePrefix   = "state-"
	numberDigits = 16
)

// digest is the SHA-256 of a file, by which the next file knows its predecessor.
type digest [sha256.Size]byte

// fileName is the number and kind that a file's name states.
type fileName struct {
	number uint64
	kind   kind
}

func (f fileName) String() string {
	return fmt.Sprintf("%s%0*x.%s", namePrefix, numberDigits, f.number, f.kind)
}

// parseName returns false for files that are not of this store, such as those still written aside.
func parseName(name string) (fileName, bool) {
	number, ending, found := strings.Cut(strings.TrimPrefix(name, namePrefix), ".")
	if !found {
		return fileName{}, false
	}
	parsed, err := strconv.ParseUint(number, 16, 64)
	file := fileName{parsed, kind(ending)}
	return file, err == nil && file.String() == name && (file.kind == changeKind || file.kind == snapshotKind)
}

// isTemporary tells whether the name is that of a file of this store which was being written.
func isTemporary(name string) bool {
	written, found := strings.CutSuffix(name, storage.TemporarySuffix)
	_, ours := parseName(written)
	return found && ours
}

// decodeFile returns what a file holds, unless its digest or its number is not the one stated.
func decodeFile(name fileName, raw []byte) (*wire.StateFile, error) {
	file := &wire.StateFile{}
	if err := storage.Unframe(raw, file); err != nil {
		return nil, errors.Wrap(err, name.String())
	}
	if file.Number != name.number {
		return nil, errors.Errorf("%s states number %d", name, file.Number)
	}
	return file, nil
}

func snapshotFile(number uint64, state *wire.ReplicaState) *wire.StateFile {
	return &wire.StateFile{Number: number, Content: &wire.StateFile_Snapshot{Snapshot: state}}
}

func changeFile(number uint64, predecessor digest, change *wire.StateChange) *wire.StateFile {
	change.Predecessor = predecessor[:]
	return &wire.StateFile{Number: number, Content: &wire.StateFile_Change{Change: change}}
}

func kindOf(file *wire.StateFile) kind {
	if _, whole := file.Content.(*wire.StateFile_Snapshot); whole {
		return snapshotKind
	}
	return changeKind
}

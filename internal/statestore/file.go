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

// fileKind says what a file of the store contains. It is the extension of the file's name.
type fileKind string

const (
	// changeKind is a file with the difference to the preceding version.
	changeKind fileKind = "change"
	// snapshotKind is a file with a complete state.
	snapshotKind fileKind = "snapshot"
)

const (
	namePrefix   = "state-"
	numberDigits = 16
)

// digest is the SHA-256 of a file's content. Each change contains the digest of the file that precedes it.
type digest [sha256.Size]byte

// fileName is the version number and kind encoded in a file's name.
type fileName struct {
	number uint64
	kind   fileKind
}

func (f fileName) String() string {
	return fmt.Sprintf("%s%0*x.%s", namePrefix, numberDigits, f.number, f.kind)
}

// parseName parses a file's name. It returns false for files that are not state files, including temporary files.
func parseName(name string) (fileName, bool) {
	number, extension, found := strings.Cut(strings.TrimPrefix(name, namePrefix), ".")
	if !found {
		return fileName{}, false
	}
	parsed, err := strconv.ParseUint(number, 16, 64)
	file := fileName{parsed, fileKind(extension)}
	return file, err == nil && file.String() == name && (file.kind == changeKind || file.kind == snapshotKind)
}

// isTemporary reports whether the name is that of a temporary file left by an interrupted write of a state file.
func isTemporary(name string) bool {
	target, hasSuffix := strings.CutSuffix(name, storage.TemporarySuffix)
	_, isStateFile := parseName(target)
	return hasSuffix && isStateFile
}

// decodeFile decodes a file. It returns an error if the content's digest does not match, or if the number in the content
// differs from the one in the name.
func decodeFile(name fileName, raw []byte) (*wire.StateFile, error) {
	file := &wire.StateFile{}
	if err := storage.Unframe(raw, file); err != nil {
		return nil, errors.Wrap(err, name.String())
	}
	if file.Number != name.number {
		return nil, errors.Errorf("%s contains number %d", name, file.Number)
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

func kindOf(file *wire.StateFile) fileKind {
	if _, whole := file.Content.(*wire.StateFile_Snapshot); whole {
		return snapshotKind
	}
	return changeKind
}

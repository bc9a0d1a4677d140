package storage

import (
	"io"
	"io/fs"
	"os"
	"path"
	"path/filepath"

	"github.com/pkg/errors"
)

// Disk is a process's data folder. Names are relative to it and use slashes.
// A file's content is durable once Sync has returned nil; creations, renames
// and removals in a folder are durable once SyncFolder has returned nil.
type Disk interface {
	// Create creates a file, or truncates an existing one.
	Create(name string) (File, error)
	// Rename atomically renames a file and replaces an existing file named to.
	Rename(from, to string) error
	// SyncFolder makes the folder's directory entries durable.
	SyncFolder(folder string) error
	// MakeFolder creates a folder and its missing parents, and syncs the
	// folder's parent.
	MakeFolder(folder string) error
	// Read returns a file's content. If there is no such file, the error is
	// fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// List returns the names of a folder's entries, none if the folder does not
	// exist.
	List(folder string) ([]string, error)
	// Remove deletes a file.
	Remove(name string) error
}

// File is a file open for writing. Its content is durable once Sync has
// returned nil.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// TemporarySuffix ends the name of a file that WriteAtomically is writing. If no write is in progress, a file with this
// suffix was left by an interrupted write and may be deleted.
const TemporarySuffix = ".aside"

// WriteAtomically writes a file so that after a crash it has either its old or its complete new content. It writes and
// syncs a temporary file, renames it, and syncs the folder. After an error the file may have either content.
func WriteAtomically(d Disk, name string, body []byte) error {
	temporary := name + TemporarySuffix
	file, err := d.Create(temporary)
	if err != nil {
		return errors.Wrap(err, "create")
	}
	if _, err := file.Write(body); err != nil {
		_ = file.Close()
		_ = d.Remove(temporary)
		return errors.Wrap(err, "write")
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		_ = d.Remove(temporary)
		return errors.Wrap(err, "sync")
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "close")
	}
	if err := d.Rename(temporary, name); err != nil {
		return errors.Wrap(err, "rename")
	}
	return errors.Wrap(d.SyncFolder(path.Dir(name)), "sync folder")
}

type realDisk struct{ root string }

// Open returns the disk rooted at a folder of the machine's file system. It
// creates the folder if it is missing.
func Open(root string) (Disk, error) {
	if err := os.MkdirAll(root, 0o755); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	return &realDisk{root}, nil
}

func (d *realDisk) fullPath(name string) string {
	return filepath.Join(d.root, filepath.FromSlash(name))
}

func (d *realDisk) Create(name string) (File, error) { return os.Create(d.fullPath(name)) }

func (d *realDisk) Rename(from, to string) error { return os.Rename(d.fullPath(from), d.fullPath(to)) }

func (d *realDisk) SyncFolder(folder string) error {
	file, err := os.Open(d.fullPath(folder))
	if err != nil {
		return err
	}
	defer file.Close()
	return file.Sync()
}

func (d *realDisk) MakeFolder(folder string) error {
	if err := os.MkdirAll(d.fullPath(folder), 0o755); err != nil {
		return err
	}
	return d.SyncFolder(path.Dir(folder))
}

func (d *realDisk) Read(name string) ([]byte, error) { return os.ReadFile(d.fullPath(name)) }

func (d *realDisk) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(d.fullPath(folder))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}
	return names, nil
}

func (d *realDisk) Remove(name string) error { return os.Remove(d.fullPath(name)) }

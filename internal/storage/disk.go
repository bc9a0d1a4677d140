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
// Nothing is durable before Sync (a file's content) or SyncFolder (creations,
// renames and removals in a folder) returned nil.
type Disk interface {
	// Create makes a file, or empties the present one.
	Create(name string) (File, error)
	// Rename moves a file in one step and replaces what stands at to.
	Rename(from, to string) error
	// SyncFolder makes the folder's entries durable.
	SyncFolder(folder string) error
	// MakeFolder makes a folder that lasts and the missing ones above it.
	MakeFolder(folder string) error
	// Read returns a file's content, or an error that is fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// List returns the names in a folder, none if there is no folder.
	List(folder string) ([]string, error)
	// Remove deletes a file.
	Remove(name string) error
}

// File is a file being written. Its content is durable once Sync returned
// nil.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// TemporarySuffix ends the name of a file that is being written. A file of such a name
// was left by a crash and may be deleted.
const TemporarySuffix = ".aside"

// WriteAtomically writes a file so that after a crash either the old or the whole new
// content is there: written beside, synced, renamed, and the folder synced. An
// error leaves it open which of the two is on the disk.
func WriteAtomically(d Disk, name string, body []byte) error {
	aside := name + TemporarySuffix
	file, err := d.Create(aside)
	if err != nil {
		return errors.Wrap(err, "create")
	}
	if _, err := file.Write(body); err != nil {
		_ = file.Close()
		_ = d.Remove(aside)
		return errors.Wrap(err, "write")
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		_ = d.Remove(aside)
		return errors.Wrap(err, "sync")
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "close")
	}
	if err := d.Rename(aside, name); err != nil {
		return errors.Wrap(err, "rename")
	}
	return errors.Wrap(d.SyncFolder(path.Dir(name)), "sync folder")
}

type realDisk struct{ root string }

// Open returns the folder root of the machine's file system, which is made
// if missing.
func Open(root string) (Disk, error) {
	if err := os.MkdirAll(root, 0o755); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	return &realDisk{root}, nil
}

func (d *realDisk) at(name string) string { return filepath.Join(d.root, filepath.FromSlash(name)) }

func (d *realDisk) Create(name string) (File, error) { return os.Create(d.at(name)) }

func (d *realDisk) Rename(from, to string) error { return os.Rename(d.at(from), d.at(to)) }

func (d *realDisk) SyncFolder(folder string) error {
	file, err := os.Open(d.at(folder))
	if err != nil {
		return err
	}
	defer file.Close()
	return file.Sync()
}

func (d *realDisk) MakeFolder(folder string) error {
	if err := os.MkdirAll(d.at(folder), 0o755); err != nil {
		return err
	}
	return d.SyncFolder(path.Dir(folder))
}

func (d *realDisk) Read(name string) ([]byte, error) { return os.ReadFile(d.at(name)) }

func (d *realDisk) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(d.at(folder))
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

func (d *realDisk) Remove(name string) error { return os.Remove(d.at(name)) }

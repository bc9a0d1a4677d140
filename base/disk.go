package base

import (
	"io"
	"io/fs"
	"os"
	"path"
	"path/filepath"

	"github.com/pkg/errors"
)

type Disk interface {
	Create(name string) (DiskFile, error)
	Rename(from, to string) error
	SyncFolder(folder string) error
	MakeFolder(folder string) error
	Read(name string) ([]byte, error)
	List(folder string) ([]string, error)
	Remove(name string) error
}

type DiskFile interface {
	io.Writer
	Sync() error
	Close() error
}

const Aside = ".aside"

func Keep(d Disk, name string, body []byte) error {
	aside := name + Aside
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

func RealDisk(root string) (Disk, error) {
	if err := os.MkdirAll(root, 0o755); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	return &realDisk{root}, nil
}

func (d *realDisk) at(name string) string { return filepath.Join(d.root, filepath.FromSlash(name)) }

func (d *realDisk) Create(name string) (DiskFile, error) { return os.Create(d.at(name)) }

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

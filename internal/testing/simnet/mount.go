package simnet

import (
	"os"
	"sync"

	"curlewreach/internal/storage"
)

// Mount is a disk as one process has it. Its changes wait while the disk
// stalls, and fail once the process is gone, also those that were waiting.
type Mount struct {
	*Disk
	once sync.Once
	gone chan struct{}
}

// NewMount returns the disk for a new process.
func NewMount(disk *Disk) *Mount { return &Mount{Disk: disk, gone: make(chan struct{})} }

// Unmount fails all changes from now on, as the process is gone.
func (m *Mount) Unmount() { m.once.Do(func() { close(m.gone) }) }

func (m *Mount) held(do func() error) error {
	m.wait(m.gone)
	select {
	case <-m.gone:
		return os.ErrClosed
	default:
		return do()
	}
}

// Create implements base.Disk.
func (m *Mount) Create(name string) (created storage.File, err error) {
	err = m.held(func() error {
		file, err := m.Disk.Create(name)
		created = &mounted{file, m}
		return err
	})
	return created, err
}

// Rename implements base.Disk.
func (m *Mount) Rename(from, to string) error {
	return m.held(func() error { return m.Disk.Rename(from, to) })
}

// SyncFolder implements base.Disk.
func (m *Mount) SyncFolder(folder string) error {
	return m.held(func() error { return m.Disk.SyncFolder(folder) })
}

// Remove implements base.Disk.
func (m *Mount) Remove(name string) error {
	return m.held(func() error { return m.Disk.Remove(name) })
}

type mounted struct {
	storage.File
	mount *Mount
}

func (f *mounted) Write(data []byte) (written int, err error) {
	err = f.mount.held(func() error {
		written, err = f.File.Write(data)
		return err
	})
	return written, err
}

func (f *mounted) Sync() error { return f.mount.held(f.File.Sync) }

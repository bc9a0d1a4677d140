package simnet

import (
	"os"
	"sync"

	"curlewreach/internal/storage"
)

// Mount gives one process access to a Disk. Write operations block while the disk is stalled and take longer while it
// is slow. After Unmount they fail with os.ErrClosed, including those that were blocked.
type Mount struct {
	*Disk
	unmountOnce sync.Once
	unmounted   chan struct{}
}

// NewMount mounts the disk for a new process.
func NewMount(disk *Disk) *Mount { return &Mount{Disk: disk, unmounted: make(chan struct{})} }

// Unmount makes all write operations fail from now on, because the process has ended. It may be called repeatedly.
func (m *Mount) Unmount() { m.unmountOnce.Do(func() { close(m.unmounted) }) }

// whileMounted performs a write operation after the disk's stall and latency, unless the disk is unmounted by then.
func (m *Mount) whileMounted(perform func() error) error {
	m.wait(m.unmounted)
	select {
	case <-m.unmounted:
		return os.ErrClosed
	default:
		return perform()
	}
}

// Create implements storage.Disk.
func (m *Mount) Create(name string) (created storage.File, err error) {
	err = m.whileMounted(func() error {
		file, err := m.Disk.Create(name)
		created = &mountedFile{file, m}
		return err
	})
	return created, err
}

// Rename implements storage.Disk.
func (m *Mount) Rename(from, to string) error {
	return m.whileMounted(func() error { return m.Disk.Rename(from, to) })
}

// SyncFolder implements storage.Disk.
func (m *Mount) SyncFolder(folder string) error {
	return m.whileMounted(func() error { return m.Disk.SyncFolder(folder) })
}

// Remove implements storage.Disk.
func (m *Mount) Remove(name string) error {
	return m.whileMounted(func() error { return m.Disk.Remove(name) })
}

type mountedFile struct {
	storage.File
	mount *Mount
}

func (f *mountedFile) Write(data []byte) (written int, err error) {
	err = f.mount.whileMounted(func() error {
		written, err = f.File.Write(data)
		return err
	})
	return written, err
}

func (f *mountedFile) Sync() error { return f.mount.whileMounted(f.File.Sync) }

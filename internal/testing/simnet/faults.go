package simnet

import (
	"errors"

	"curlewreach/internal/storage"
)

// WriteOutcome is the injected result of one write operation on a FaultyDisk.
type WriteOutcome int

const (
	// WriteSucceeds performs the write.
	WriteSucceeds WriteOutcome = iota
	// WriteFails returns an error and leaves the disk unchanged.
	WriteFails
	// WriteFailsAfterEffect performs the write but returns an error.
	WriteFailsAfterEffect
	// WriteTorn writes the first half of the bytes and returns an error. For operations other than writing a file's
	// bytes it is the same as WriteFails.
	WriteTorn
	// CrashBefore crashes the process before the write completes: the first half of a file's bytes is written, any
	// other operation has no effect.
	CrashBefore
	// CrashAfter performs the write and crashes the process.
	CrashAfter
)

var (
	// ErrWriteFailed is returned for writes with an injected failure.
	ErrWriteFailed = errors.New("injected write failure")
	// ErrCrashed is returned for the write that crashes the process and for all later ones.
	ErrCrashed = errors.New("injected process crash")
)

// FaultyDisk wraps a disk and injects failures and crashes into its write operations, which are numbered from 0 and
// include creating, renaming, removing and syncing. It is not safe for concurrent use.
type FaultyDisk struct {
	storage.Disk
	// Decide returns the outcome of the write operation with the given number.
	Decide  func(write int) WriteOutcome
	writes  int
	crashed bool
}

// Writes returns the number of write operations so far. Those after a crash don't count.
func (f *FaultyDisk) Writes() int { return f.writes }

// Crashed reports whether a crash was injected.
func (f *FaultyDisk) Crashed() bool { return f.crashed }

// write applies the decided outcome to one write operation. performHalf performs the part of it that a torn write
// leaves on disk.
func (f *FaultyDisk) write(perform, performHalf func() error) error {
	if f.crashed {
		return ErrCrashed
	}
	outcome := f.Decide(f.writes)
	f.writes++
	switch outcome {
	case WriteFails:
		return ErrWriteFailed
	case WriteTorn:
		_ = performHalf()
		return ErrWriteFailed
	case WriteFailsAfterEffect:
		_ = perform()
		return ErrWriteFailed
	case CrashBefore:
		f.crashed = true
		_ = performHalf()
		return ErrCrashed
	case CrashAfter:
		f.crashed = true
		_ = perform()
		return ErrCrashed
	}
	return perform()
}

func noEffect() error { return nil }

// Create creates a file, or truncates an existing one.
func (f *FaultyDisk) Create(name string) (created storage.File, err error) {
	err = f.write(func() (err error) {
		created, err = f.Disk.Create(name)
		return err
	}, noEffect)
	if err != nil {
		return nil, err
	}
	return &faultyFile{created, f}, nil
}

// Rename atomically renames a file and replaces an existing file named to.
func (f *FaultyDisk) Rename(from, to string) error {
	return f.write(func() error { return f.Disk.Rename(from, to) }, noEffect)
}

// SyncFolder makes the folder's directory entries durable.
func (f *FaultyDisk) SyncFolder(folder string) error {
	return f.write(func() error { return f.Disk.SyncFolder(folder) }, noEffect)
}

// Remove deletes a file.
func (f *FaultyDisk) Remove(name string) error {
	return f.write(func() error { return f.Disk.Remove(name) }, noEffect)
}

type faultyFile struct {
	storage.File
	disk *FaultyDisk
}

// Write appends data to the file. A torn write appends only the first half.
func (f *faultyFile) Write(data []byte) (written int, err error) {
	half := func() error {
		_, err := f.File.Write(data[:len(data)/2])
		return err
	}
	err = f.disk.write(func() error {
		written, err = f.File.Write(data)
		return err
	}, half)
	return written, err
}

// Sync makes the file's content durable.
func (f *faultyFile) Sync() error { return f.disk.write(f.File.Sync, noEffect) }

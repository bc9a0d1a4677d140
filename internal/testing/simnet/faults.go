package simnet

import (
	"errors"

	"curlewreach/internal/storage"
)

// WriteOutcome tells what becomes of one write to a disk.
type WriteOutcome int

const (
	// WriteSucceeds is a write that succeeds.
	WriteSucceeds WriteOutcome = iota
	// WriteFails is a write that fails and leaves the disk as it was.
	WriteFails
	// WriteFailsAfterEffect is a write that fails although it was done.
	WriteFailsAfterEffect
	// WriteTorn is a write that fails with half of its bytes written; for anything but a file's bytes it is Refused.
	WriteTorn
	// CrashBefore ends the process before the write.
	CrashBefore
	// CrashAfter ends the process after the write.
	CrashAfter
)

var (
	// ErrWriteFailed is returned for a write that Faults let fail.
	ErrWriteFailed = errors.New("the disk refused a write")
	// ErrCrashed is returned for each write after a crash.
	ErrCrashed = errors.New("the process has crashed")
)

// FaultyDisk is a disk whose writes are numbered from 0 on and fail or crash as told. It is for one goroutine.
type FaultyDisk struct {
	storage.Disk
	// Decide returns the outcome of the write with the given number.
	Decide  func(point int) WriteOutcome
	points  int
	crashed bool
}

// Writes returns the number of writes so far.
func (f *FaultyDisk) Writes() int { return f.points }

// Crashed tells whether a crash has come.
func (f *FaultyDisk) Crashed() bool { return f.crashed }

func (f *FaultyDisk) write(do, tear func() error) error {
	if f.crashed {
		return ErrCrashed
	}
	outcome := f.Decide(f.points)
	f.points++
	switch outcome {
	case WriteFails:
		return ErrWriteFailed
	case WriteTorn:
		_ = tear()
		return ErrWriteFailed
	case WriteFailsAfterEffect:
		_ = do()
		return ErrWriteFailed
	case CrashBefore:
		f.crashed = true
		_ = tear()
		return ErrCrashed
	case CrashAfter:
		f.crashed = true
		_ = do()
		return ErrCrashed
	}
	return do()
}

func nothing() error { return nil }

// Create opens a new file for writing.
func (f *FaultyDisk) Create(name string) (created storage.File, err error) {
	err = f.write(func() (err error) {
		created, err = f.Disk.Create(name)
		return err
	}, nothing)
	if err != nil {
		return nil, err
	}
	return &faultyFile{created, f}, nil
}

// Rename gives a file another name.
func (f *FaultyDisk) Rename(from, to string) error {
	return f.write(func() error { return f.Disk.Rename(from, to) }, nothing)
}

// SyncFolder makes a folder's names durable.
func (f *FaultyDisk) SyncFolder(folder string) error {
	return f.write(func() error { return f.Disk.SyncFolder(folder) }, nothing)
}

// Remove takes a file away.
func (f *FaultyDisk) Remove(name string) error {
	return f.write(func() error { return f.Disk.Remove(name) }, nothing)
}

type faultyFile struct {
	storage.File
	faults *FaultyDisk
}

// Write appends to the file; torn, it appends the first half only.
func (f *faultyFile) Write(data []byte) (written int, err error) {
	half := func() error {
		_, err := f.File.Write(data[:len(data)/2])
		return err
	}
	err = f.faults.write(func() error {
		written, err = f.File.Write(data)
		return err
	}, half)
	return written, err
}

// Sync makes the file's bytes durable.
func (f *faultyFile) Sync() error { return f.faults.write(f.File.Sync, nothing) }

package storage

import (
	"io/fs"

	"github.com/pkg/errors"
)

// ErrNoFolder is returned by writes to the disk of a process that has no data
// folder.
var ErrNoFolder = errors.New("this process has no data folder")

type noDisk struct{}

// None returns the disk of a process without a data folder: reads find no files and
// writes fail with ErrNoFolder.
func None() Disk { return noDisk{} }

// HasFolder reports whether the disk can store files.
func HasFolder(disk Disk) bool { return disk != None() }

func (noDisk) Create(string) (File, error)   { return nil, ErrNoFolder }
func (noDisk) Rename(string, string) error   { return ErrNoFolder }
func (noDisk) SyncFolder(string) error       { return ErrNoFolder }
func (noDisk) MakeFolder(string) error       { return ErrNoFolder }
func (noDisk) Read(string) ([]byte, error)   { return nil, fs.ErrNotExist }
func (noDisk) List(string) ([]string, error) { return nil, nil }
func (noDisk) Remove(string) error           { return fs.ErrNotExist }

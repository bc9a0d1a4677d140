package base

import (
	"io/fs"

	"github.com/pkg/errors"
)

// ErrNoFolder is returned by writes to the disk of a process that has no data
// folder.
var ErrNoFolder = errors.New("this process has no data folder")

type void struct{}

// NoDisk returns a disk without a folder: reads find nothing and writes fail
// with ErrNoFolder.
func NoDisk() Disk { return void{} }

// HasFolder reports whether the disk can keep anything.
func HasFolder(disk Disk) bool { return disk != NoDisk() }

func (void) Create(string) (DiskFile, error) { return nil, ErrNoFolder }
func (void) Rename(string, string) error     { return ErrNoFolder }
func (void) SyncFolder(string) error         { return ErrNoFolder }
func (void) MakeFolder(string) error         { return ErrNoFolder }
func (void) Read(string) ([]byte, error)     { return nil, fs.ErrNotExist }
func (void) List(string) ([]string, error)   { return nil, nil }
func (void) Remove(string) error             { return fs.ErrNotExist }

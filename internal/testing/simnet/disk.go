package simnet

import (
	"io/fs"
	"maps"
	"path"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"curlewreach/internal/random"
	"curlewreach/internal/storage"
)

type inode struct {
	data   []byte
	synced []byte
	solid  bool
}

type change struct {
	name string
	node *inode
}

// Disk is a disk that loses what wasn't synced at a power loss, and that can
// fill up, stall, be slow or flip bits. It is safe for concurrent use.
type Disk struct {
	rand    *random.Source
	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode
	pending map[string][]change
	full    bool
	stalled chan struct{}
	slow    time.Duration
}

// NewDisk returns an empty disk; what a power loss leaves is drawn from rand.
func NewDisk(rand *random.Source) *Disk {
	return &Disk{rand: rand, names: map[string]*inode{}, durable: map[string]*inode{}, pending: map[string][]change{}}
}

// Wipe loses everything.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.names)
	clear(d.durable)
	clear(d.pending)
}

// PowerLoss takes away what was not synced. Each name that was made, renamed or removed without a sync of its folder
// is kept or lost by itself; what was not synced of a file is kept up to some place.
func (d *Disk) PowerLoss() {
	d.PowerLossKeeping(func(int) bool { return d.rand.IntN(2) == 0 })
}

// UnsyncedEntries returns the number of changes of names that a loss of power may take away.
func (d *Disk) UnsyncedEntries() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, changes := range d.pending {
		total += len(changes)
	}
	return total
}

// PowerLossKeeping is a PowerLoss that keeps the unsynced changes of names, numbered in their order from 0 on within
// the sorted folders, for which keep is true.
func (d *Disk) PowerLossKeeping(keep func(unsynced int) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	number := 0
	for _, folder := range slices.Sorted(maps.Keys(d.pending)) {
		for _, each := range d.pending[folder] {
			if keep(number) {
				put(d.durable, each)
			}
			number++
		}
	}
	clear(d.pending)
	clear(d.names)
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		node := d.durable[name]
		if !node.solid {
			node.synced = node.data[:d.rand.IntN(len(node.data)+1)]
		}
		node.data = slices.Clone(node.synced)
		d.names[name] = node
	}
}

// Clone returns a disk of its own with the same content, synced or not.
func (d *Disk) Clone(rand *random.Source) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	nodes := map[*inode]*inode{nil: nil}
	cloneOf := func(node *inode) *inode {
		if _, done := nodes[node]; !done {
			nodes[node] = &inode{data: slices.Clone(node.data), synced: slices.Clone(node.synced), solid: node.solid}
		}
		return nodes[node]
	}
	clone := NewDisk(rand)
	clone.full = d.full
	for name, node := range d.names {
		clone.names[name] = cloneOf(node)
	}
	for name, node := range d.durable {
		clone.durable[name] = cloneOf(node)
	}
	for folder, changes := range d.pending {
		for _, each := range changes {
			clone.pending[folder] = append(clone.pending[folder], change{each.name, cloneOf(each.node)})
		}
	}
	return clone
}

// SetFull makes the disk refuse new bytes and files, or take them again.
func (d *Disk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// EndStall ends a stall.
func (d *Disk) EndStall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalled != nil {
		close(d.stalled)
		d.stalled = nil
	}
}

// Stall makes changes through a Mount wait until release is called.
func (d *Disk) Stall() (release func()) {
	d.EndStall()
	d.mu.Lock()
	defer d.mu.Unlock()
	stalled := make(chan struct{})
	d.stalled = stalled
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.stalled == stalled {
			d.stalled = nil
			close(stalled)
		}
	}
}

// SetLatency lets each change through a Mount take so long; 0 ends it.
func (d *Disk) SetLatency(each time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slow = each
}

// Impaired reports whether the disk is full, stalled or slow.
func (d *Disk) Impaired() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.full || d.stalled != nil || d.slow > 0
}

// FlipBits alters a bit in each file whose name contains match and returns their
// names.
func (d *Disk) FlipBits(match string) (flipped []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, node := range d.names {
		if strings.Contains(name, match) && len(node.data) > 0 {
			node.data = slices.Clone(node.data)
			node.data[len(node.data)/2] ^= 0x10
			node.synced = node.data
			flipped = append(flipped, name)
		}
	}
	return flipped
}

// Names returns the names of all files in order.
func (d *Disk) Names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func put(into map[string]*inode, each change) {
	if each.node == nil {
		delete(into, each.name)
		return
	}
	into[each.name] = each.node
}

func (d *Disk) note(name string, node *inode) {
	folder := path.Dir(name)
	d.pending[folder] = append(d.pending[folder], change{name, node})
	put(d.names, change{name, node})
}

// Create implements base.Disk. It returns ENOSPC if the disk is full.
func (d *Disk) Create(name string) (storage.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return nil, syscall.ENOSPC
	}
	node := &inode{}
	d.note(name, node)
	return &file{d, node}, nil
}

// Rename implements base.Disk.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[from]
	if node == nil {
		return fs.ErrNotExist
	}
	d.note(to, node)
	d.note(from, nil)
	return nil
}

func (d *Disk) wait(gone <-chan struct{}) {
	d.mu.Lock()
	stalled, slow := d.stalled, d.slow
	d.mu.Unlock()
	if slow > 0 {
		time.Sleep(slow)
	}
	if stalled != nil {
		select {
		case <-stalled:
		case <-gone:
		}
	}
}

// SyncFolder implements base.Disk.
func (d *Disk) SyncFolder(folder string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	folder = path.Clean(folder)
	for _, each := range d.pending[folder] {
		put(d.durable, each)
	}
	delete(d.pending, folder)
	return nil
}

// MakeFolder implements base.Disk. Folders need no making here.
func (d *Disk) MakeFolder(string) error { return nil }

// Read implements base.Disk.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[name]
	if node == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(node.data), nil
}

// List implements base.Disk.
func (d *Disk) List(folder string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.names {
		if path.Dir(name) == path.Clean(folder) {
			names = append(names, path.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// Remove implements base.Disk.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[name] == nil {
		return fs.ErrNotExist
	}
	d.note(name, nil)
	return nil
}

type file struct {
	disk *Disk
	node *inode
}

func (f *file) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.full {
		return 0, syscall.ENOSPC
	}
	f.node.data = append(f.node.data, data...)
	return len(data), nil
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.node.synced, f.node.solid = slices.Clone(f.node.data), true
	return nil
}

func (f *file) Close() error { return nil }

// Bytes returns the size of all files together.
func (d *Disk) Bytes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, node := range d.names {
		total += len(node.data)
	}
	return total
}

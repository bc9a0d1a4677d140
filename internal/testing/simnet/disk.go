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

// inode is the content of a file. Several directory entries may refer to it while a rename is not synced.
type inode struct {
	data       []byte
	synced     []byte // the content at the last sync
	everSynced bool
}

// entryChange is a change of a directory entry.
type entryChange struct {
	name string
	node *inode // nil if the entry was removed
}

// Disk is a simulated disk that loses unsynced data in a power loss and that can be made full, stalled, slow or
// corrupt. It is safe for concurrent use.
type Disk struct {
	rand    *random.Source
	mu      sync.Mutex
	names   map[string]*inode        // as processes see them
	durable map[string]*inode        // as synced
	pending map[string][]entryChange // not synced yet, by folder, in order
	full    bool
	stalled chan struct{} // nil unless stalled; closed when the stall ends
	latency time.Duration // of each write operation through a Mount
}

// NewDisk returns an empty disk. What a power loss keeps is drawn from rand.
func NewDisk(rand *random.Source) *Disk {
	return &Disk{rand: rand, names: map[string]*inode{}, durable: map[string]*inode{}, pending: map[string][]entryChange{}}
}

// Wipe deletes everything on the disk.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.names)
	clear(d.durable)
	clear(d.pending)
}

// PowerLoss drops unsynced data. Each unsynced change of a directory entry is kept or lost independently, with even
// odds. A file is left as at its last sync, or with a random prefix of its content if it was never synced.
func (d *Disk) PowerLoss() {
	d.PowerLossKeeping(func(int) bool { return d.rand.IntN(2) == 0 })
}

// UnsyncedEntries returns the number of changes of directory entries that a power loss may drop.
func (d *Disk) UnsyncedEntries() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, changes := range d.pending {
		total += len(changes)
	}
	return total
}

// PowerLossKeeping is a PowerLoss in which keep decides which unsynced changes of directory entries are kept. They are
// numbered from 0, by sorted folders and in their order within a folder.
func (d *Disk) PowerLossKeeping(keep func(number int) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	number := 0
	for _, folder := range slices.Sorted(maps.Keys(d.pending)) {
		for _, change := range d.pending[folder] {
			if keep(number) {
				apply(d.durable, change)
			}
			number++
		}
	}
	clear(d.pending)
	clear(d.names)
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		node := d.durable[name]
		if !node.everSynced {
			node.synced = node.data[:d.rand.IntN(len(node.data)+1)]
		}
		node.data = slices.Clone(node.synced)
		d.names[name] = node
	}
}

// Clone returns an independent copy of the disk with the same content, including what is not synced.
func (d *Disk) Clone(rand *random.Source) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	nodes := map[*inode]*inode{nil: nil}
	cloneOf := func(node *inode) *inode {
		if _, done := nodes[node]; !done {
			nodes[node] = &inode{data: slices.Clone(node.data), synced: slices.Clone(node.synced), everSynced: node.everSynced}
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
		for _, change := range changes {
			clone.pending[folder] = append(clone.pending[folder], entryChange{change.name, cloneOf(change.node)})
		}
	}
	return clone
}

// SetFull makes creating and writing files fail with ENOSPC, or succeed again.
func (d *Disk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// EndStall ends a stall, if there is one.
func (d *Disk) EndStall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalled != nil {
		close(d.stalled)
		d.stalled = nil
	}
}

// Stall blocks all write operations through a Mount until release or EndStall is called. It ends an earlier stall.
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

// SetLatency sets how long each write operation through a Mount takes; 0 by default.
func (d *Disk) SetLatency(latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latency = latency
}

// Impaired reports whether the disk is full, stalled or slow.
func (d *Disk) Impaired() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.full || d.stalled != nil || d.latency > 0
}

// FlipBits flips one bit in the middle of each non-empty file whose name contains match, as corruption on the medium
// does, and returns the names of these files.
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

// Names returns the names of all files, sorted.
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

// apply applies a change of a directory entry.
func apply(entries map[string]*inode, change entryChange) {
	if change.node == nil {
		delete(entries, change.name)
		return
	}
	entries[change.name] = change.node
}

// record applies a change of a directory entry and keeps it as unsynced.
func (d *Disk) record(name string, node *inode) {
	folder := path.Dir(name)
	d.pending[folder] = append(d.pending[folder], entryChange{name, node})
	apply(d.names, entryChange{name, node})
}

// Create implements storage.Disk. It returns ENOSPC if the disk is full.
func (d *Disk) Create(name string) (storage.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return nil, syscall.ENOSPC
	}
	node := &inode{}
	d.record(name, node)
	return &file{d, node}, nil
}

// Rename implements storage.Disk. Until the folder is synced, a power loss
// may leave the file under either name, under both or under none.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[from]
	if node == nil {
		return fs.ErrNotExist
	}
	d.record(to, node)
	d.record(from, nil)
	return nil
}

// wait sleeps for the disk's latency, then blocks while the disk is stalled, at most until unmounted is closed.
func (d *Disk) wait(unmounted <-chan struct{}) {
	d.mu.Lock()
	stalled, latency := d.stalled, d.latency
	d.mu.Unlock()
	if latency > 0 {
		time.Sleep(latency)
	}
	if stalled != nil {
		select {
		case <-stalled:
		case <-unmounted:
		}
	}
}

// SyncFolder implements storage.Disk.
func (d *Disk) SyncFolder(folder string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	folder = path.Clean(folder)
	for _, change := range d.pending[folder] {
		apply(d.durable, change)
	}
	delete(d.pending, folder)
	return nil
}

// MakeFolder implements storage.Disk. It does nothing, as folders exist implicitly.
func (d *Disk) MakeFolder(string) error { return nil }

// Read implements storage.Disk.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[name]
	if node == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(node.data), nil
}

// List implements storage.Disk.
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

// Remove implements storage.Disk.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[name] == nil {
		return fs.ErrNotExist
	}
	d.record(name, nil)
	return nil
}

// file is a file open for writing.
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
	f.node.synced, f.node.everSynced = slices.Clone(f.node.data), true
	return nil
}

func (f *file) Close() error { return nil }

// Bytes returns the total size of all files in bytes.
func (d *Disk) Bytes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, node := range d.names {
		total += len(node.data)
	}
	return total
}

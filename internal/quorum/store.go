package quorum

import (
	"context"
	"encoding/hex"
	"fmt"
	"path"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/storage"
	"curlewreach/proto/wire"
)

const (
	// phaseFile is the file with the disk's phase.
	phaseFile = "brand"
	// manifestPrefix begins the names of manifests. A manifest lists the current
	// files of each key.
	manifestPrefix = "roll-"
	// keyFolder has a subfolder for each key.
	keyFolder = "keys"
	// corruptSuffix is appended to the names of files that can't be decoded.
	corruptSuffix = ".bad"
	// manifestsKept is the number of manifests kept.
	manifestsKept = 2
)

// keySnapshot is a copy of a key's promise and entry. It is immutable.
type keySnapshot struct {
	promised *wire.Epoch
	entry    *wire.Entry
}

// keyState is the state of one key. Lock guards promised and entry and is held
// during disk operations; published is the copy for readers that must not wait for
// those. The key is damaged if one of its files was missing or corrupt.
type keyState struct {
	lock      base.ContextMutex
	promised  *wire.Epoch
	entry     *wire.Entry
	damaged   atomic.Bool
	published atomic.Pointer[keySnapshot]
}

func newKeyState() *keyState {
	state := &keyState{lock: base.NewContextMutex(), promised: &wire.Epoch{}}
	state.publish()
	return state
}

// publish updates the copy of promised and entry for readers without the lock.
func (state *keyState) publish() { state.published.Store(&keySnapshot{state.promised, state.entry}) }

// Store stores the promise and the newest entry of each key on one machine's disk,
// in files that the newest manifest lists. Lock order: the lock of a key, then
// manifestLock, then mu. Of these, only mu is never held during disk operations.
type Store struct {
	scope        base.Scope
	historyLimit int
	mu           sync.Mutex
	phase        wire.Phase
	keyStates    map[string]*keyState
	manifest     *wire.Roll
	manifestLock base.ContextMutex
}

// OpenStore returns a store with the state on the scope's disk. It keeps the last
// historyLimit values of each key, and at least 2.
func OpenStore(s base.Scope, historyLimit int) (*Store, error) {
	store := &Store{scope: s, historyLimit: max(historyLimit, 2), manifestLock: base.NewContextMutex(), keyStates: map[string]*keyState{}, manifest: &wire.Roll{Lines: map[string]*wire.Line{}}}
	if err := s.Disk.MakeFolder(keyFolder); err != nil {
		return nil, errors.Wrap(err, "keys folder")
	}
	return store, store.load()
}

// write writes a message with a checksum and replaces the file atomically.
func (st *Store) write(name string, message proto.Message) error {
	raw, err := storage.Frame(message)
	if err == nil {
		err = storage.WriteAtomically(st.scope.Disk, name, raw)
	}
	if err != nil {
		st.scope.Record("disk-trouble", name, err.Error())
		return base.NewFault(base.DiskFailure, name, "%s", err)
	}
	return nil
}

// read reads a file that write wrote. A corrupt one is renamed, so that it is not
// read again.
func (st *Store) read(name string, message proto.Message) error {
	raw, err := st.scope.Disk.Read(name)
	if err != nil {
		return err
	}
	if err := storage.Unframe(raw, message); err != nil {
		st.scope.Record("set-aside", name, err.Error())
		_ = st.scope.Disk.Rename(name, name+corruptSuffix)
		return err
	}
	return nil
}

// folderOf returns the folder of a key's files.
func folderOf(key string) string { return path.Join(keyFolder, hex.EncodeToString([]byte(key))) }

// valueName returns the file name of an entry. The names sort in the order of the
// entries.
func valueName(key string, entry *wire.Entry) string {
	return fmt.Sprintf("%s/v-%016x-%08x-%016x", folderOf(key), entry.GetEpoch().GetNumber(), entry.GetEpoch().GetKeel(), entry.GetSerial())
}

// promiseName returns the file name of a promise.
func promiseName(key string, epoch *wire.Epoch) string {
	return fmt.Sprintf("%s/p-%016x-%08x", folderOf(key), epoch.GetNumber(), epoch.GetKeel())
}

// load reads the state from disk. A disk without a readable phase file or manifest
// is blank and must recover from the other disks. The number of the next manifest
// is above that of every manifest found, also of corrupt ones: otherwise one left
// from before the recovery would count as the newest at the next start.
func (st *Store) load() error {
	names, err := st.scope.Disk.List("")
	if err != nil {
		return errors.Wrap(err, "list")
	}
	slices.Sort(names)
	slices.Reverse(names)
	for _, name := range names {
		var number uint64
		if _, err := fmt.Sscanf(name, manifestPrefix+"%016x", &number); err == nil {
			st.manifest.Number = max(st.manifest.Number, number)
		}
	}
	saved := &wire.Brand{}
	if err := st.read(phaseFile, saved); err != nil {
		st.scope.Record("blank", "", "no brand")
		return nil
	}
	if !st.loadManifest(names) {
		st.scope.Record("blank", "", "no roll")
		return nil
	}
	for key, line := range st.manifest.Lines {
		st.keyStates[key] = st.loadKey(key, line)
	}
	st.phase = saved.Phase
	return nil
}

// loadManifest reads the newest manifest among the names, which are in descending
// order, and reports whether it could. If the newest one can't be read, no older
// one is used instead, since promises made after it would be forgotten.
func (st *Store) loadManifest(names []string) bool {
	index := slices.IndexFunc(names, func(name string) bool {
		return strings.HasPrefix(name, manifestPrefix) && !strings.HasSuffix(name, storage.TemporarySuffix) && !strings.HasSuffix(name, corruptSuffix)
	})
	if index < 0 {
		return false
	}
	manifest := &wire.Roll{}
	if st.read(names[index], manifest) != nil {
		return false
	}
	if manifest.Lines == nil {
		manifest.Lines = map[string]*wire.Line{}
	}
	st.manifest = manifest
	return true
}

// loadKey reads the files that the manifest lists for a key.
func (st *Store) loadKey(key string, line *wire.Line) *keyState {
	state := newKeyState()
	defer state.publish()
	if line.Promise != "" && st.read(line.Promise, state.promised) != nil {
		state.damaged.Store(true)
	}
	if line.Value != "" {
		entry := &wire.Entry{}
		if st.read(line.Value, entry) != nil {
			state.damaged.Store(true)
		} else {
			state.entry = entry
		}
	}
	if state.damaged.Load() {
		st.scope.Record("damaged-key", key, "a file is lost or bad")
	}
	return state
}

// stateOf returns the state of a key, creating it if needed.
func (st *Store) stateOf(key string) *keyState {
	st.mu.Lock()
	defer st.mu.Unlock()
	state := st.keyStates[key]
	if state == nil {
		state = newKeyState()
		st.keyStates[key] = state
	}
	return state
}

// Phase returns the phase of the disk: BLANK, FRESH, or FOUNDED once it may vote.
func (st *Store) Phase() wire.Phase {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.phase
}

// setPhase saves the phase of the disk. It writes a new manifest first, so that a
// readable one, newer than all found when the store was opened, is on disk before
// the phase file.
func (st *Store) setPhase(phase wire.Phase) error {
	saved := &wire.Brand{Phase: phase, Incarnation: st.scope.Rand.Hex(8)}
	if err := st.updateManifest("", nil); err != nil {
		return err
	}
	if err := st.write(phaseFile, saved); err != nil {
		return err
	}
	st.mu.Lock()
	st.phase = phase
	st.mu.Unlock()
	st.scope.Record("phase", "", phase.String())
	return nil
}

// Keys returns all keys in ascending order.
func (st *Store) Keys() []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	keys := make([]string, 0, len(st.keyStates))
	for key := range st.keyStates {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// IsDamaged reports whether a file of the key was missing or corrupt and has not
// been recovered yet, so that the disk can't vote on the key.
func (st *Store) IsDamaged(key string) bool { return st.stateOf(key).damaged.Load() }

// DamagedKeys returns all damaged keys in ascending order.
func (st *Store) DamagedKeys() []string {
	var damaged []string
	for _, key := range st.Keys() {
		if st.stateOf(key).damaged.Load() {
			damaged = append(damaged, key)
		}
	}
	return damaged
}

// Peek returns the promise and the entry of a key without waiting for disk
// operations in progress.
func (st *Store) Peek(key string) (promised *wire.Epoch, entry *wire.Entry) {
	snapshot := st.stateOf(key).published.Load()
	return snapshot.promised, snapshot.entry
}

// updateManifest writes the next manifest, with a change to the line of a key unless
// change is nil, and removes the oldest one.
func (st *Store) updateManifest(key string, change func(*wire.Line)) error {
	st.manifestLock.Lock(context.Background())
	defer st.manifestLock.Unlock()
	st.mu.Lock()
	next := proto.Clone(st.manifest).(*wire.Roll)
	st.mu.Unlock()
	next.Number++
	if next.Lines == nil {
		next.Lines = map[string]*wire.Line{}
	}
	if change != nil {
		if next.Lines[key] == nil {
			next.Lines[key] = &wire.Line{}
		}
		change(next.Lines[key])
	}
	name := func(number uint64) string { return fmt.Sprintf("%s%016x", manifestPrefix, number) }
	if err := st.write(name(next.Number), next); err != nil {
		return err
	}
	st.mu.Lock()
	st.manifest = next
	st.mu.Unlock()
	if next.Number > manifestsKept {
		_ = st.scope.Disk.Remove(name(next.Number - manifestsKept))
	}
	return nil
}

// checkCanVote returns a fault if the disk may not vote on a key.
func (st *Store) checkCanVote(state *keyState) *base.Fault {
	if st.Phase() != wire.Phase_FOUNDED || state.damaged.Load() {
		return base.NewFault(base.NoState, "", "this disk has not recovered")
	}
	return nil
}

// Promise promises an epoch for a key, unless a higher one has been promised. The
// promise is on disk when Promise returns. It returns the highest epoch promised
// and the key's entry.
func (st *Store) Promise(ctx context.Context, key string, epoch *wire.Epoch) (granted bool, promised *wire.Epoch, entry *wire.Entry, fault error) {
	state := st.stateOf(key)
	if !state.lock.Lock(ctx) {
		return false, nil, nil, errBusy(key)
	}
	defer state.lock.Unlock()
	if rejection := st.checkCanVote(state); rejection != nil {
		return false, nil, nil, rejection
	}
	if compareEpochs(epoch, state.promised) < 0 {
		return false, state.promised, state.entry, nil
	}
	if compareEpochs(epoch, state.promised) > 0 {
		if err := st.savePromise(key, state, epoch); err != nil {
			return false, nil, nil, err
		}
	}
	return true, state.promised, state.entry, nil
}

// errBusy returns the error of giving up the wait for the lock of a key.
func errBusy(key string) error {
	return base.NewFault(base.DiskFailure, key, "the disk is still at an earlier change")
}

// savePromise writes a promise to disk. The caller holds the lock of the key.
func (st *Store) savePromise(key string, state *keyState, epoch *wire.Epoch) error {
	if err := st.scope.Disk.MakeFolder(folderOf(key)); err != nil {
		return base.NewFault(base.DiskFailure, key, "%s", err)
	}
	name, oldName := promiseName(key, epoch), promiseName(key, state.promised)
	if err := st.write(name, epoch); err != nil {
		return err
	}
	if err := st.updateManifest(key, func(line *wire.Line) { line.Promise = name }); err != nil {
		return err
	}
	state.promised = epoch
	state.publish()
	if oldName != name {
		_ = st.scope.Disk.Remove(oldName)
	}
	return nil
}

// Accept stores an entry, unless a higher epoch has been promised or a newer entry
// is stored. The entry is on disk when Accept returns. It returns the highest epoch
// promised.
func (st *Store) Accept(ctx context.Context, entry *wire.Entry) (granted bool, promised *wire.Epoch, fault error) {
	state := st.stateOf(entry.Key)
	if !state.lock.Lock(ctx) {
		return false, nil, errBusy(entry.Key)
	}
	defer state.lock.Unlock()
	if rejection := st.checkCanVote(state); rejection != nil {
		return false, nil, rejection
	}
	if compareEpochs(entry.Epoch, state.promised) < 0 || compareEntries(entry, state.entry) < 0 {
		return false, state.promised, nil
	}
	if state.entry != nil && compareEntries(entry, state.entry) == 0 {
		return true, state.promised, nil
	}
	return true, state.promised, st.saveEntry(state, entry)
}

// saveEntry writes an entry to disk. The caller holds the lock of the key.
func (st *Store) saveEntry(state *keyState, entry *wire.Entry) error {
	if err := st.scope.Disk.MakeFolder(folderOf(entry.Key)); err != nil {
		return base.NewFault(base.DiskFailure, entry.Key, "%s", err)
	}
	name := valueName(entry.Key, entry)
	if err := st.write(name, entry); err != nil {
		return err
	}
	if err := st.updateManifest(entry.Key, func(line *wire.Line) { line.Value = name }); err != nil {
		return err
	}
	state.entry = entry
	if compareEpochs(entry.Epoch, state.promised) > 0 {
		state.promised = entry.Epoch
	}
	state.publish()
	st.pruneValues(entry.Key, name)
	return nil
}

// pruneValues removes the oldest value files of a key beyond the history limit, but
// never the newest one.
func (st *Store) pruneValues(key, newest string) {
	names := st.valueFiles(key)
	for len(names) > st.historyLimit {
		if path.Join(folderOf(key), names[0]) != newest {
			_ = st.scope.Disk.Remove(path.Join(folderOf(key), names[0]))
		}
		names = names[1:]
	}
}

// valueFiles returns the names of the intact value files of a key, the oldest
// first.
func (st *Store) valueFiles(key string) []string {
	names, err := st.scope.Disk.List(folderOf(key))
	if err != nil {
		return nil
	}
	names = slices.DeleteFunc(names, func(name string) bool {
		return !strings.HasPrefix(name, "v-") || strings.Contains(name, ".")
	})
	slices.Sort(names)
	return names
}

// History iterates over the entries of a key that are still on disk, the newest
// first.
func (st *Store) History(key string) func(yield func(*wire.Entry) bool) {
	names := st.valueFiles(key)
	slices.Reverse(names)
	return func(yield func(*wire.Entry) bool) {
		for _, name := range names {
			entry := &wire.Entry{}
			if st.read(path.Join(folderOf(key), name), entry) == nil && !yield(entry) {
				return
			}
		}
	}
}

// restore stores a promise and an entry that were fetched from the other disks, each
// if it is newer than the one here, and lets the disk vote on the key again. If the
// key is damaged, the promise is stored in any case.
func (st *Store) restore(ctx context.Context, key string, promised *wire.Epoch, entry *wire.Entry) error {
	state := st.stateOf(key)
	if !state.lock.Lock(ctx) {
		return errBusy(key)
	}
	defer state.lock.Unlock()
	if compareEpochs(promised, state.promised) > 0 || state.damaged.Load() {
		if err := st.savePromise(key, state, promised); err != nil {
			return err
		}
	}
	if entry != nil && (state.entry == nil || compareEntries(entry, state.entry) > 0) {
		if err := st.saveEntry(state, entry); err != nil {
			return err
		}
	}
	state.damaged.Store(false)
	return nil
}

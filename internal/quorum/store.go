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
	// phaseFile holds the disk's phase, rollPrefix begins the files that list
	// which files count, keyFolder holds a folder for each key, badSuffix ends
	// files that can't be read, and rollsKept is the number of lists kept.
	phaseFile      = "brand"
	manifestPrefix = "roll-"
	keyFolder      = "keys"
	corruptSuffix  = ".bad"
	manifestsKept  = 2
)

type keySnapshot struct {
	promised *wire.Epoch
	entry    *wire.Entry
}

// keyState is the state of one key; shown is its copy for readers who don't wait.
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

func (state *keyState) publish() { state.published.Store(&keySnapshot{state.promised, state.entry}) }

// Store is one machine's disk: the promise and the newest entry of each key, in
// files that the newest roll lists. Lock order: a slot's latch, then rolled,
// then mu; only mu is never held across I/O.
type Store struct {
	scope        base.Scope
	historyLimit int
	mu           sync.Mutex
	phase        wire.Phase
	keyStates    map[string]*keyState
	manifest     *wire.Roll
	manifestLock base.ContextMutex
}

// OpenStore returns what the disk holds. It keeps so many past values of each
// key.
func OpenStore(s base.Scope, historyLimit int) (*Store, error) {
	store := &Store{scope: s, historyLimit: max(historyLimit, 2), manifestLock: base.NewContextMutex(), keyStates: map[string]*keyState{}, manifest: &wire.Roll{Lines: map[string]*wire.Line{}}}
	if err := s.Disk.MakeFolder(keyFolder); err != nil {
		return nil, errors.Wrap(err, "keys folder")
	}
	return store, store.load()
}

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

func folderOf(key string) string { return path.Join(keyFolder, hex.EncodeToString([]byte(key))) }

func valueName(key string, entry *wire.Entry) string {
	return fmt.Sprintf("%s/v-%016x-%08x-%016x", folderOf(key), entry.GetEpoch().GetNumber(), entry.GetEpoch().GetKeel(), entry.GetSerial())
}

func promiseName(key string, epoch *wire.Epoch) string {
	return fmt.Sprintf("%s/p-%016x-%08x", folderOf(key), epoch.GetNumber(), epoch.GetKeel())
}

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
	brand := &wire.Brand{}
	if err := st.read(phaseFile, brand); err != nil {
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
	st.phase = brand.Phase
	return nil
}

// loadManifest reads the newest roll of the names, which are in descending order. An
// older one is never taken in place of one that can't be read.
func (st *Store) loadManifest(names []string) bool {
	index := slices.IndexFunc(names, func(name string) bool {
		return strings.HasPrefix(name, manifestPrefix) && !strings.HasSuffix(name, storage.TemporarySuffix) && !strings.HasSuffix(name, corruptSuffix)
	})
	if index < 0 {
		return false
	}
	roll := &wire.Roll{}
	if st.read(names[index], roll) != nil {
		return false
	}
	if roll.Lines == nil {
		roll.Lines = map[string]*wire.Line{}
	}
	st.manifest = roll
	return true
}

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

// Phase returns how far the disk is in becoming one that votes.
func (st *Store) Phase() wire.Phase {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.phase
}

func (st *Store) setPhase(phase wire.Phase) error {
	brand := &wire.Brand{Phase: phase, Incarnation: st.scope.Rand.Name(8)}
	if err := st.updateManifest("", nil); err != nil {
		return err
	}
	if err := st.write(phaseFile, brand); err != nil {
		return err
	}
	st.mu.Lock()
	st.phase = phase
	st.mu.Unlock()
	st.scope.Record("phase", "", phase.String())
	return nil
}

// Keys returns all keys in order.
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

// IsDamaged reports whether a file of the key was lost or bad, so that the disk
// can't vote on it.
func (st *Store) IsDamaged(key string) bool { return st.stateOf(key).damaged.Load() }

// DamagedKeys returns all such keys.
func (st *Store) DamagedKeys() []string {
	var damaged []string
	for _, key := range st.Keys() {
		if st.stateOf(key).damaged.Load() {
			damaged = append(damaged, key)
		}
	}
	return damaged
}

// Peek returns a key's promise and entry without waiting for a change under
// way.
func (st *Store) Peek(key string) (promised *wire.Epoch, entry *wire.Entry) {
	snapshot := st.stateOf(key).published.Load()
	return snapshot.promised, snapshot.entry
}

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

func (st *Store) checkCanVote(state *keyState) *base.Fault {
	if st.Phase() != wire.Phase_FOUNDED || state.damaged.Load() {
		return base.NewFault(base.NoState, "", "this disk has not recovered")
	}
	return nil
}

// Promise grants an epoch unless a higher one is promised, and keeps that on
// disk before it returns.
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

func errBusy(key string) error {
	return base.NewFault(base.DiskFailure, key, "the disk is still at an earlier change")
}

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

// Accept stores an entry unless a higher epoch is promised or a newer entry is
// there. It is on disk when Accept returns.
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

func (st *Store) pruneValues(key, newest string) {
	names := st.valueFiles(key)
	for len(names) > st.historyLimit {
		if path.Join(folderOf(key), names[0]) != newest {
			_ = st.scope.Disk.Remove(path.Join(folderOf(key), names[0]))
		}
		names = names[1:]
	}
}

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

// History iterates over the values of a key that are still on disk, the newest
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

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
	// brandFile holds the disk's phase, rollPrefix begins the files that list
	// which files count, keyFolder holds a folder for each key, badSuffix ends
	// files that can't be read, and rollsKept is the number of lists kept.
	brandFile  = "brand"
	rollPrefix = "roll-"
	keyFolder  = "keys"
	badSuffix  = ".bad"
	rollsKept  = 2
)

type keySnapshot struct {
	promised *wire.Epoch
	entry    *wire.Entry
}

// keyState is the state of one key; shown is its copy for readers who don't wait.
type keyState struct {
	latch    base.ContextMutex
	promised *wire.Epoch
	entry    *wire.Entry
	damaged  atomic.Bool
	shown    atomic.Pointer[keySnapshot]
}

func newKeyState() *keyState {
	at := &keyState{latch: base.NewContextMutex(), promised: &wire.Epoch{}}
	at.show()
	return at
}

func (at *keyState) show() { at.shown.Store(&keySnapshot{at.promised, at.entry}) }

// Store is one machine's disk: the promise and the newest entry of each key, in
// files that the newest roll lists. Lock order: a slot's latch, then rolled,
// then mu; only mu is never held across I/O.
type Store struct {
	scope  base.Scope
	kept   int
	mu     sync.Mutex
	phase  wire.Phase
	slots  map[string]*keyState
	roll   *wire.Roll
	rolled base.ContextMutex
}

// OpenStore returns what the disk holds. It keeps so many past values of each
// key.
func OpenStore(s base.Scope, kept int) (*Store, error) {
	store := &Store{scope: s, kept: max(kept, 2), rolled: base.NewContextMutex(), slots: map[string]*keyState{}, roll: &wire.Roll{Lines: map[string]*wire.Line{}}}
	if err := s.Disk.MakeFolder(keyFolder); err != nil {
		return nil, errors.Wrap(err, "keys folder")
	}
	return store, store.load()
}

func (t *Store) write(name string, message proto.Message) error {
	raw, err := storage.Frame(message)
	if err == nil {
		err = storage.WriteAtomically(t.scope.Disk, name, raw)
	}
	if err != nil {
		t.scope.Record("disk-trouble", name, err.Error())
		return base.NewFault(base.DiskFailure, name, "%s", err)
	}
	return nil
}

func (t *Store) read(name string, message proto.Message) error {
	raw, err := t.scope.Disk.Read(name)
	if err != nil {
		return err
	}
	if err := storage.Unframe(raw, message); err != nil {
		t.scope.Record("set-aside", name, err.Error())
		_ = t.scope.Disk.Rename(name, name+badSuffix)
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

func (t *Store) load() error {
	names, err := t.scope.Disk.List("")
	if err != nil {
		return errors.Wrap(err, "list")
	}
	slices.Sort(names)
	slices.Reverse(names)
	for _, name := range names {
		var number uint64
		if _, err := fmt.Sscanf(name, rollPrefix+"%016x", &number); err == nil {
			t.roll.Number = max(t.roll.Number, number)
		}
	}
	brand := &wire.Brand{}
	if err := t.read(brandFile, brand); err != nil {
		t.scope.Record("blank", "", "no brand")
		return nil
	}
	if !t.loadManifest(names) {
		t.scope.Record("blank", "", "no roll")
		return nil
	}
	for key, line := range t.roll.Lines {
		t.slots[key] = t.loadKey(key, line)
	}
	t.phase = brand.Phase
	return nil
}

// loadManifest reads the newest roll of the names, which are in descending order. An
// older one is never taken in place of one that can't be read.
func (t *Store) loadManifest(names []string) bool {
	at := slices.IndexFunc(names, func(name string) bool {
		return strings.HasPrefix(name, rollPrefix) && !strings.HasSuffix(name, storage.TemporarySuffix) && !strings.HasSuffix(name, badSuffix)
	})
	if at < 0 {
		return false
	}
	roll := &wire.Roll{}
	if t.read(names[at], roll) != nil {
		return false
	}
	if roll.Lines == nil {
		roll.Lines = map[string]*wire.Line{}
	}
	t.roll = roll
	return true
}

func (t *Store) loadKey(key string, line *wire.Line) *keyState {
	at := newKeyState()
	defer at.show()
	if line.Promise != "" && t.read(line.Promise, at.promised) != nil {
		at.damaged.Store(true)
	}
	if line.Value != "" {
		entry := &wire.Entry{}
		if t.read(line.Value, entry) != nil {
			at.damaged.Store(true)
		} else {
			at.entry = entry
		}
	}
	if at.damaged.Load() {
		t.scope.Record("damaged-key", key, "a file is lost or bad")
	}
	return at
}

func (t *Store) key(key string) *keyState {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.slots[key]
	if at == nil {
		at = newKeyState()
		t.slots[key] = at
	}
	return at
}

// Phase returns how far the disk is in becoming one that votes.
func (t *Store) Phase() wire.Phase {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase
}

func (t *Store) setPhase(phase wire.Phase) error {
	brand := &wire.Brand{Phase: phase, Incarnation: t.scope.Rand.Hex(8)}
	if err := t.addToManifest("", nil); err != nil {
		return err
	}
	if err := t.write(brandFile, brand); err != nil {
		return err
	}
	t.mu.Lock()
	t.phase = phase
	t.mu.Unlock()
	t.scope.Record("phase", "", phase.String())
	return nil
}

// Keys returns all keys in order.
func (t *Store) Keys() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := make([]string, 0, len(t.slots))
	for key := range t.slots {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// IsDamaged reports whether a file of the key was lost or bad, so that the disk
// can't vote on it.
func (t *Store) IsDamaged(key string) bool { return t.key(key).damaged.Load() }

// DamagedKeys returns all such keys.
func (t *Store) DamagedKeys() []string {
	var damaged []string
	for _, key := range t.Keys() {
		if t.key(key).damaged.Load() {
			damaged = append(damaged, key)
		}
	}
	return damaged
}

// Peek returns a key's promise and entry without waiting for a change under
// way.
func (t *Store) Peek(key string) (promised *wire.Epoch, entry *wire.Entry) {
	at := t.key(key).shown.Load()
	return at.promised, at.entry
}

func (t *Store) addToManifest(key string, change func(*wire.Line)) error {
	t.rolled.Lock(context.Background())
	defer t.rolled.Unlock()
	t.mu.Lock()
	next := proto.Clone(t.roll).(*wire.Roll)
	t.mu.Unlock()
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
	name := func(number uint64) string { return fmt.Sprintf("%s%016x", rollPrefix, number) }
	if err := t.write(name(next.Number), next); err != nil {
		return err
	}
	t.mu.Lock()
	t.roll = next
	t.mu.Unlock()
	if next.Number > rollsKept {
		_ = t.scope.Disk.Remove(name(next.Number - rollsKept))
	}
	return nil
}

func (t *Store) votes(at *keyState) *base.Fault {
	if t.Phase() != wire.Phase_FOUNDED || at.damaged.Load() {
		return base.NewFault(base.NoState, "", "this disk has not recovered")
	}
	return nil
}

// Promise grants an epoch unless a higher one is promised, and keeps that on
// disk before it returns.
func (t *Store) Promise(ctx context.Context, key string, epoch *wire.Epoch) (granted bool, promised *wire.Epoch, entry *wire.Entry, fault error) {
	at := t.key(key)
	if !at.latch.Lock(ctx) {
		return false, nil, nil, errBusy(key)
	}
	defer at.latch.Unlock()
	if rejection := t.votes(at); rejection != nil {
		return false, nil, nil, rejection
	}
	if compareEpochs(epoch, at.promised) < 0 {
		return false, at.promised, at.entry, nil
	}
	if compareEpochs(epoch, at.promised) > 0 {
		if err := t.keepPromise(key, at, epoch); err != nil {
			return false, nil, nil, err
		}
	}
	return true, at.promised, at.entry, nil
}

func errBusy(key string) error {
	return base.NewFault(base.DiskFailure, key, "the disk is still at an earlier change")
}

func (t *Store) keepPromise(key string, at *keyState, epoch *wire.Epoch) error {
	if err := t.scope.Disk.MakeFolder(folderOf(key)); err != nil {
		return base.NewFault(base.DiskFailure, key, "%s", err)
	}
	name, old := promiseName(key, epoch), promiseName(key, at.promised)
	if err := t.write(name, epoch); err != nil {
		return err
	}
	if err := t.addToManifest(key, func(line *wire.Line) { line.Promise = name }); err != nil {
		return err
	}
	at.promised = epoch
	at.show()
	if old != name {
		_ = t.scope.Disk.Remove(old)
	}
	return nil
}

// Accept stores an entry unless a higher epoch is promised or a newer entry is
// there. It is on disk when Accept returns.
func (t *Store) Accept(ctx context.Context, entry *wire.Entry) (granted bool, promised *wire.Epoch, fault error) {
	at := t.key(entry.Key)
	if !at.latch.Lock(ctx) {
		return false, nil, errBusy(entry.Key)
	}
	defer at.latch.Unlock()
	if rejection := t.votes(at); rejection != nil {
		return false, nil, rejection
	}
	if compareEpochs(entry.Epoch, at.promised) < 0 || compareEntries(entry, at.entry) < 0 {
		return false, at.promised, nil
	}
	if at.entry != nil && compareEntries(entry, at.entry) == 0 {
		return true, at.promised, nil
	}
	return true, at.promised, t.keepEntry(at, entry)
}

func (t *Store) keepEntry(at *keyState, entry *wire.Entry) error {
	if err := t.scope.Disk.MakeFolder(folderOf(entry.Key)); err != nil {
		return base.NewFault(base.DiskFailure, entry.Key, "%s", err)
	}
	name := valueName(entry.Key, entry)
	if err := t.write(name, entry); err != nil {
		return err
	}
	if err := t.addToManifest(entry.Key, func(line *wire.Line) { line.Value = name }); err != nil {
		return err
	}
	at.entry = entry
	if compareEpochs(entry.Epoch, at.promised) > 0 {
		at.promised = entry.Epoch
	}
	at.show()
	t.prune(entry.Key, name)
	return nil
}

func (t *Store) prune(key, newest string) {
	names := t.values(key)
	for len(names) > t.kept {
		if path.Join(folderOf(key), names[0]) != newest {
			_ = t.scope.Disk.Remove(path.Join(folderOf(key), names[0]))
		}
		names = names[1:]
	}
}

func (t *Store) values(key string) []string {
	names, err := t.scope.Disk.List(folderOf(key))
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
func (t *Store) History(key string) func(yield func(*wire.Entry) bool) {
	names := t.values(key)
	slices.Reverse(names)
	return func(yield func(*wire.Entry) bool) {
		for _, name := range names {
			entry := &wire.Entry{}
			if t.read(path.Join(folderOf(key), name), entry) == nil && !yield(entry) {
				return
			}
		}
	}
}

func (t *Store) restore(ctx context.Context, key string, promised *wire.Epoch, entry *wire.Entry) error {
	at := t.key(key)
	if !at.latch.Lock(ctx) {
		return errBusy(key)
	}
	defer at.latch.Unlock()
	if compareEpochs(promised, at.promised) > 0 || at.damaged.Load() {
		if err := t.keepPromise(key, at, promised); err != nil {
			return err
		}
	}
	if entry != nil && (at.entry == nil || compareEntries(entry, at.entry) > 0) {
		if err := t.keepEntry(at, entry); err != nil {
			return err
		}
	}
	at.damaged.Store(false)
	return nil
}

// Package quorum keeps a few keyed values on the disks of a fixed set of core
// machines, so that a change is known once a majority of disks has it. Each key
// is a register with an owner: an epoch, numbered and named by its owner, is
// promised by a majority before values are accepted under it (Paxos, one
// register a key). docs/quorum.md has the ways weighed.
package quorum

import (
	"context"
	"hash/fnv"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

// Peer is a core machine of the set.
type Peer struct {
	Name    string
	Address string
}

// ownerState is what this machine knows of a key as its owner. A nil epoch means that
// it isn't.
type ownerState struct {
	latch  base.ContextMutex
	epoch  *wire.Epoch
	serial uint64
	value  []byte
}

// Replica is one core machine's part of the set: its disk, and changes and reads
// by majority. It is safe for concurrent use.
type Replica struct {
	scope   base.Scope
	store   *Store
	self    int
	peers   []Peer
	disks   []disk
	round   time.Duration
	mu      sync.Mutex
	holds   map[string]*ownerState
	settled base.Table[*wire.Entry]
	news    base.Broadcast
	heard   base.Table[time.Duration]
	copies  base.Table[int]
	joining bool
}

// Option changes how a Trove starts.
type Option func(*Replica)

// DiskWiped says that a blank disk here was wiped and is no new fleet's.
func DiskWiped(t *Replica) { t.joining = true }

// New returns the part of the machine self, which is one of peers. A disk that
// doesn't answer within round counts as lost for that round.
func New(s base.Scope, store *Store, web *http.Client, self string, peers []Peer, round time.Duration, options ...Option) *Replica {
	peers = slices.Clone(peers)
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	t := &Replica{scope: s, store: store, peers: peers, round: round, holds: map[string]*ownerState{}}
	for i, peer := range peers {
		if peer.Name == self {
			t.self = i
			t.disks = append(t.disks, server{t})
			continue
		}
		t.disks = append(t.disks, wireconnect.NewTroveClient(web, "http://"+peer.Address))
	}
	for _, option := range options {
		option(t)
	}
	return t
}

func place(address string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(address))
	return hash.Sum32()
}

// Store returns this machine's disk.
func (t *Replica) Store() *Store { return t.store }

// Changed returns a channel that closes when a newer value is known to be settled.
func (t *Replica) Changed() <-chan struct{} { return t.news.Next() }

// Ready reports whether this machine's disk may vote.
func (t *Replica) Ready() bool { return t.store.Phase() == wire.Phase_FOUNDED }

// Chosen returns the newest entry of a key known to be on a majority of disks.
// A newer one may be.
func (t *Replica) Chosen(key string) (*wire.Entry, bool) { return t.settled.Get(key) }

// Owner returns the machine whose epoch of a key this disk has promised, and
// that epoch.
func (t *Replica) Owner(key string) (Peer, *wire.Epoch, bool) {
	promised, _ := t.store.Peek(key)
	for _, peer := range t.peers {
		if promised.GetNumber() > 0 && promised.GetKeel() == place(peer.Address) {
			return peer, promised, true
		}
	}
	return Peer{}, promised, false
}

// Owns reports whether this machine owns a key, by its own disk's knowledge.
func (t *Replica) Owns(key string) bool {
	owner, _, known := t.Owner(key)
	return known && owner.Name == t.peers[t.self].Name
}

// HeardWithin reports whether another machine answered lately.
func (t *Replica) HeardWithin(peer Peer, lately time.Duration) bool {
	at, known := t.heard.Get(peer.Name)
	return known && t.scope.Clock.Mono()-at <= lately
}

func (t *Replica) majority() int { return len(t.disks)/2 + 1 }

func (t *Replica) ownerOf(key string) *ownerState {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.holds[key]
	if at == nil {
		at = &ownerState{latch: base.NewContextMutex()}
		t.holds[key] = at
	}
	return at
}

func (t *Replica) promises(s base.Scope, disks []disk, need int, request *wire.PromiseRequest) []Reply[wire.PromiseReply] {
	return poll(s, disks, need, t.round, func(ctx context.Context, d disk) (*wire.PromiseReply, error) {
		reply, err := d.Promise(ctx, connect.NewRequest(request))
		if err != nil {
			return nil, err
		}
		return reply.Msg, nil
	})
}

func (t *Replica) promise(s base.Scope, key string, at *ownerState) error {
	promised, _ := t.store.Peek(key)
	epoch := &wire.Epoch{Number: promised.GetNumber() + 1, Keel: place(t.peers[t.self].Address)}
	own := t.promises(s, t.disks[t.self:t.self+1], 1, &wire.PromiseRequest{Key: key, Epoch: epoch})[0]
	if own.err != nil {
		return own.err
	}
	if !own.body.Granted {
		return base.NewFault(base.Superseded, key, "a higher epoch came first")
	}
	replies := t.promises(s, t.disks, t.majority(), &wire.PromiseRequest{Key: key, Epoch: epoch})
	granted, beaten, highest := countGrants(replies, epoch)
	if granted < t.majority() {
		if beaten != epoch {
			_, _, _, _ = t.store.Promise(s, key, &wire.Epoch{Number: beaten.Number, Keel: beaten.Keel})
			return base.NewFault(base.Superseded, key, "epoch %d of keel %d goes first", beaten.Number, beaten.Keel)
		}
		return base.NewFault(base.Unreachable, key, "no majority of disks promised")
	}
	at.epoch, at.serial, at.value = epoch, highest.GetSerial(), highest.GetValue()
	t.scope.Record("owner", key, t.peers[t.self].Name)
	if highest == nil {
		return nil
	}
	return t.accept(s, key, at, at.serial, at.value)
}

// countGrants returns how many disks granted a promise, the highest epoch promised
// by any (at least the one given), and the highest entry of those that granted.
func countGrants(replies []Reply[wire.PromiseReply], epoch *wire.Epoch) (granted int, promised *wire.Epoch, highest *wire.Entry) {
	promised = epoch
	for _, reply := range replies {
		if reply.err != nil {
			continue
		}
		if compareEpochs(reply.body.Promised, promised) > 0 {
			promised = reply.body.Promised
		}
		if !reply.body.Granted {
			continue
		}
		granted++
		if reply.body.Entry != nil && compareEntries(reply.body.Entry, highest) > 0 {
			highest = reply.body.Entry
		}
	}
	return granted, promised, highest
}

func (t *Replica) accept(s base.Scope, key string, at *ownerState, serial uint64, value []byte) error {
	entry := &wire.Entry{Key: key, Epoch: at.epoch, Serial: serial, Value: value}
	replies := poll(s, t.disks, t.majority(), t.round, func(ctx context.Context, d disk) (*wire.AcceptReply, error) {
		reply, err := d.Accept(ctx, connect.NewRequest(&wire.AcceptRequest{Entry: entry}))
		if err != nil {
			return nil, err
		}
		if !reply.Msg.Granted {
			return nil, base.NewFault(base.Superseded, key, "epoch %d goes first", reply.Msg.GetPromised().GetNumber())
		}
		return reply.Msg, nil
	})
	granted := 0
	var outranked error
	for _, reply := range replies {
		if reply.err == nil {
			granted++
		} else if base.FaultOf(reply.err).Kind == base.Superseded {
			outranked = reply.err
		}
	}
	if granted < t.majority() {
		at.epoch = nil
		if outranked != nil {
			return outranked
		}
		return base.NewFault(base.Uncertain, key, "no majority of disks answered")
	}
	at.serial, at.value = serial, value
	t.settle(entry)
	request := &wire.SettleRequest{Key: key, Epoch: entry.Epoch, Serial: serial}
	poll(s, t.disks, 0, t.round, func(ctx context.Context, d disk) (*wire.SettleReply, error) {
		_, err := d.Settle(ctx, connect.NewRequest(request))
		return nil, err
	})
	return nil
}

func (t *Replica) settle(entry *wire.Entry) {
	risen := false
	t.settled.Update(func(rows map[string]*wire.Entry) {
		if compareEntries(entry, rows[entry.Key]) > 0 {
			rows[entry.Key], risen = entry, true
		}
	})
	if risen {
		t.scope.Record("settled", entry.Key, "")
		t.news.Notify()
	}
}

// Change replaces a key's value by what change makes of the newest one, nil if
// there is none. A nil result changes nothing. It returns nil once a majority
// of disks has the value. After an error of kind Outranked another machine owns
// the key; of kind Uncertain, the value may or may not get in force.
func (t *Replica) Change(s base.Scope, key string, change func(old []byte) ([]byte, error)) error {
	at := t.ownerOf(key)
	if !at.latch.Lock(s) {
		return errBusy(key)
	}
	defer at.latch.Unlock()
	promised, _ := t.store.Peek(key)
	if at.epoch != nil && compareEpochs(promised, at.epoch) > 0 {
		at.epoch = nil
	}
	if at.epoch == nil {
		if err := t.promise(s, key, at); err != nil {
			at.epoch = nil
			return err
		}
	}
	value, err := change(at.value)
	if err != nil || value == nil {
		return err
	}
	return t.accept(s, key, at, at.serial+1, value)
}

// Read returns the newest value of a key, nil if there is none, once a majority
// has it.
func (t *Replica) Read(s base.Scope, key string) ([]byte, error) {
	at := t.ownerOf(key)
	if !at.latch.Lock(s) {
		return nil, errBusy(key)
	}
	defer at.latch.Unlock()
	if at.epoch == nil || at.serial == 0 {
		err := t.promise(s, key, at)
		if err != nil {
			at.epoch = nil
		}
		return at.value, err
	}
	return at.value, t.accept(s, key, at, at.serial, at.value)
}

// Refresh is Survey without the second answer.
func (t *Replica) Refresh(s base.Scope, key string) (settled bool) {
	settled, _ = t.QuorumRead(s, key)
	return settled
}

// QuorumRead asks all disks for a key's newest entry and takes it in. It reports
// whether that is settled (or there is none), and whether a majority of disks
// answered; both together make a majority read.
func (t *Replica) QuorumRead(s base.Scope, key string) (settled, agreed bool) {
	_, mine := t.store.Peek(key)
	replies := t.promises(s, t.disks, len(t.disks), &wire.PromiseRequest{Key: key, Have: mine.GetEpoch(), HaveSerial: mine.GetSerial()})
	var highest *wire.Entry
	count, heard := 0, 0
	for _, reply := range replies {
		if reply.err == nil {
			heard++
			t.heard.Put(t.peers[reply.disk].Name, t.scope.Clock.Mono())
		}
		if reply.err != nil || reply.body.Entry == nil {
			continue
		}
		switch compared := compareEntries(reply.body.Entry, highest); {
		case compared > 0:
			highest, count = reply.body.Entry, 1
		case compared == 0:
			count++
		}
	}
	agreed = heard >= t.majority()
	if highest == nil || count < t.majority() {
		return highest == nil, agreed
	}
	if compareEntries(highest, mine) == 0 {
		highest = mine
	}
	if compareEntries(highest, mine) > 0 {
		bounded, cancel := s.WithTimeout(t.round)
		_, _, _ = t.store.Accept(bounded, highest)
		cancel()
	}
	t.settle(highest)
	t.copies.Put(key, count)
	return true, agreed
}

// Copies returns how many disks had the settled entry of a key at the last
// Survey.
func (t *Replica) Copies(key string) int {
	count, _ := t.copies.Get(key)
	return count
}

// TransferOwnership gives the keys that this machine owns to others that will take them.
func (t *Replica) TransferOwnership(s base.Scope) {
	for _, key := range t.store.Keys() {
		if !t.Owns(key) {
			continue
		}
		for i, each := range t.disks {
			if i == t.self {
				continue
			}
			if _, err := each.TakeOver(s, connect.NewRequest(&wire.TakeOverRequest{Key: key})); err == nil {
				t.scope.Record("duty", key, "handed to "+t.peers[i].Name)
				break
			}
		}
	}
}

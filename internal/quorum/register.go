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
	lock   base.ContextMutex
	epoch  *wire.Epoch
	serial uint64
	value  []byte
}

// Replica is one core machine's part of the set: its disk, and changes and reads
// by majority. It is safe for concurrent use.
type Replica struct {
	scope         base.Scope
	store         *Store
	selfIndex     int
	peers         []Peer
	acceptors     []acceptor
	roundTimeout  time.Duration
	mu            sync.Mutex
	ownerStates   map[string]*ownerState
	chosen        base.Table[*wire.Entry]
	chosenChanged base.Broadcast
	lastHeard     base.Table[time.Duration]
	copies        base.Table[int]
	wiped         bool
}

// Option changes how a Trove starts.
type Option func(*Replica)

// DiskWiped says that a blank disk here was wiped and is no new fleet's.
func DiskWiped(r *Replica) { r.wiped = true }

// New returns the part of the machine self, which is one of peers. A disk that
// doesn't answer within round counts as lost for that round.
func New(s base.Scope, store *Store, httpClient *http.Client, self string, peers []Peer, roundTimeout time.Duration, options ...Option) *Replica {
	peers = slices.Clone(peers)
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	r := &Replica{scope: s, store: store, peers: peers, roundTimeout: roundTimeout, ownerStates: map[string]*ownerState{}}
	for i, peer := range peers {
		if peer.Name == self {
			r.selfIndex = i
			r.acceptors = append(r.acceptors, server{r})
			continue
		}
		r.acceptors = append(r.acceptors, wireconnect.NewTroveClient(httpClient, "http://"+peer.Address))
	}
	for _, option := range options {
		option(r)
	}
	return r
}

func controllerID(address string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(address))
	return hash.Sum32()
}

// Store returns this machine's disk.
func (r *Replica) Store() *Store { return r.store }

// Changed returns a channel that closes when a newer value is known to be settled.
func (r *Replica) Changed() <-chan struct{} { return r.chosenChanged.Next() }

// Ready reports whether this machine's disk may vote.
func (r *Replica) Ready() bool { return r.store.Phase() == wire.Phase_FOUNDED }

// Chosen returns the newest entry of a key known to be on a majority of disks.
// A newer one may be.
func (r *Replica) Chosen(key string) (*wire.Entry, bool) { return r.chosen.Get(key) }

// Owner returns the machine whose epoch of a key this disk has promised, and
// that epoch.
func (r *Replica) Owner(key string) (Peer, *wire.Epoch, bool) {
	promised, _ := r.store.Peek(key)
	for _, peer := range r.peers {
		if promised.GetNumber() > 0 && promised.GetKeel() == controllerID(peer.Address) {
			return peer, promised, true
		}
	}
	return Peer{}, promised, false
}

// Owns reports whether this machine owns a key, by its own disk's knowledge.
func (r *Replica) Owns(key string) bool {
	owner, _, known := r.Owner(key)
	return known && owner.Name == r.peers[r.selfIndex].Name
}

// HeardWithin reports whether another machine answered lately.
func (r *Replica) HeardWithin(peer Peer, window time.Duration) bool {
	heardAt, known := r.lastHeard.Get(peer.Name)
	return known && r.scope.Clock.Mono()-heardAt <= window
}

func (r *Replica) majority() int { return len(r.acceptors)/2 + 1 }

func (r *Replica) ownerStateOf(key string) *ownerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.ownerStates[key]
	if state == nil {
		state = &ownerState{lock: base.NewContextMutex()}
		r.ownerStates[key] = state
	}
	return state
}

func (r *Replica) requestPromises(s base.Scope, acceptors []acceptor, required int, request *wire.PromiseRequest) []Reply[wire.PromiseReply] {
	return poll(s, acceptors, required, r.roundTimeout, func(ctx context.Context, target acceptor) (*wire.PromiseReply, error) {
		reply, err := target.Promise(ctx, connect.NewRequest(request))
		if err != nil {
			return nil, err
		}
		return reply.Msg, nil
	})
}

func (r *Replica) acquireOwnership(s base.Scope, key string, state *ownerState) error {
	promised, _ := r.store.Peek(key)
	epoch := &wire.Epoch{Number: promised.GetNumber() + 1, Keel: controllerID(r.peers[r.selfIndex].Address)}
	own := r.requestPromises(s, r.acceptors[r.selfIndex:r.selfIndex+1], 1, &wire.PromiseRequest{Key: key, Epoch: epoch})[0]
	if own.err != nil {
		return own.err
	}
	if !own.body.Granted {
		return base.NewFault(base.Superseded, key, "a higher epoch came first")
	}
	replies := r.requestPromises(s, r.acceptors, r.majority(), &wire.PromiseRequest{Key: key, Epoch: epoch})
	granted, highestPromised, highest := countGrants(replies, epoch)
	if granted < r.majority() {
		if highestPromised != epoch {
			_, _, _, _ = r.store.Promise(s, key, &wire.Epoch{Number: highestPromised.Number, Keel: highestPromised.Keel})
			return base.NewFault(base.Superseded, key, "epoch %d of keel %d goes first", highestPromised.Number, highestPromised.Keel)
		}
		return base.NewFault(base.Unreachable, key, "no majority of disks promised")
	}
	state.epoch, state.serial, state.value = epoch, highest.GetSerial(), highest.GetValue()
	r.scope.Record("owner", key, r.peers[r.selfIndex].Name)
	if highest == nil {
		return nil
	}
	return r.replicate(s, key, state, state.serial, state.value)
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

func (r *Replica) replicate(s base.Scope, key string, state *ownerState, serial uint64, value []byte) error {
	entry := &wire.Entry{Key: key, Epoch: state.epoch, Serial: serial, Value: value}
	replies := poll(s, r.acceptors, r.majority(), r.roundTimeout, func(ctx context.Context, target acceptor) (*wire.AcceptReply, error) {
		reply, err := target.Accept(ctx, connect.NewRequest(&wire.AcceptRequest{Entry: entry}))
		if err != nil {
			return nil, err
		}
		if !reply.Msg.Granted {
			return nil, base.NewFault(base.Superseded, key, "epoch %d goes first", reply.Msg.GetPromised().GetNumber())
		}
		return reply.Msg, nil
	})
	granted := 0
	var superseded error
	for _, reply := range replies {
		if reply.err == nil {
			granted++
		} else if base.FaultOf(reply.err).Kind == base.Superseded {
			superseded = reply.err
		}
	}
	if granted < r.majority() {
		state.epoch = nil
		if superseded != nil {
			return superseded
		}
		return base.NewFault(base.Uncertain, key, "no majority of disks answered")
	}
	state.serial, state.value = serial, value
	r.markChosen(entry)
	request := &wire.SettleRequest{Key: key, Epoch: entry.Epoch, Serial: serial}
	poll(s, r.acceptors, 0, r.roundTimeout, func(ctx context.Context, target acceptor) (*wire.SettleReply, error) {
		_, err := target.Settle(ctx, connect.NewRequest(request))
		return nil, err
	})
	return nil
}

func (r *Replica) markChosen(entry *wire.Entry) {
	newer := false
	r.chosen.Update(func(rows map[string]*wire.Entry) {
		if compareEntries(entry, rows[entry.Key]) > 0 {
			rows[entry.Key], newer = entry, true
		}
	})
	if newer {
		r.scope.Record("settled", entry.Key, "")
		r.chosenChanged.Notify()
	}
}

// Change replaces a key's value by what change makes of the newest one, nil if
// there is none. A nil result changes nothing. It returns nil once a majority
// of disks has the value. After an error of kind Outranked another machine owns
// the key; of kind Uncertain, the value may or may not get in force.
func (r *Replica) Change(s base.Scope, key string, change func(old []byte) ([]byte, error)) error {
	state := r.ownerStateOf(key)
	if !state.lock.Lock(s) {
		return errBusy(key)
	}
	defer state.lock.Unlock()
	promised, _ := r.store.Peek(key)
	if state.epoch != nil && compareEpochs(promised, state.epoch) > 0 {
		state.epoch = nil
	}
	if state.epoch == nil {
		if err := r.acquireOwnership(s, key, state); err != nil {
			state.epoch = nil
			return err
		}
	}
	value, err := change(state.value)
	if err != nil || value == nil {
		return err
	}
	return r.replicate(s, key, state, state.serial+1, value)
}

// Read returns the newest value of a key, nil if there is none, once a majority
// has it.
func (r *Replica) Read(s base.Scope, key string) ([]byte, error) {
	state := r.ownerStateOf(key)
	if !state.lock.Lock(s) {
		return nil, errBusy(key)
	}
	defer state.lock.Unlock()
	if state.epoch == nil || state.serial == 0 {
		err := r.acquireOwnership(s, key, state)
		if err != nil {
			state.epoch = nil
		}
		return state.value, err
	}
	return state.value, r.replicate(s, key, state, state.serial, state.value)
}

// Refresh is Survey without the second answer.
func (r *Replica) Refresh(s base.Scope, key string) (chosen bool) {
	chosen, _ = r.QuorumRead(s, key)
	return chosen
}

// QuorumRead asks all disks for a key's newest entry and takes it in. It reports
// whether that is settled (or there is none), and whether a majority of disks
// answered; both together make a majority read.
func (r *Replica) QuorumRead(s base.Scope, key string) (chosen, majorityReplied bool) {
	_, local := r.store.Peek(key)
	replies := r.requestPromises(s, r.acceptors, len(r.acceptors), &wire.PromiseRequest{Key: key, Have: local.GetEpoch(), HaveSerial: local.GetSerial()})
	var highest *wire.Entry
	copies, replied := 0, 0
	for _, reply := range replies {
		if reply.err == nil {
			replied++
			r.lastHeard.Put(r.peers[reply.acceptor].Name, r.scope.Clock.Mono())
		}
		if reply.err != nil || reply.body.Entry == nil {
			continue
		}
		switch compared := compareEntries(reply.body.Entry, highest); {
		case compared > 0:
			highest, copies = reply.body.Entry, 1
		case compared == 0:
			copies++
		}
	}
	majorityReplied = replied >= r.majority()
	if highest == nil || copies < r.majority() {
		return highest == nil, majorityReplied
	}
	if compareEntries(highest, local) == 0 {
		highest = local
	}
	if compareEntries(highest, local) > 0 {
		bounded, cancel := s.WithTimeout(r.roundTimeout)
		_, _, _ = r.store.Accept(bounded, highest)
		cancel()
	}
	r.markChosen(highest)
	r.copies.Put(key, copies)
	return true, majorityReplied
}

// Copies returns how many disks had the settled entry of a key at the last
// Survey.
func (r *Replica) Copies(key string) int {
	count, _ := r.copies.Get(key)
	return count
}

// TransferOwnership gives the keys that this machine owns to others that will take them.
func (r *Replica) TransferOwnership(s base.Scope) {
	for _, key := range r.store.Keys() {
		if !r.Owns(key) {
			continue
		}
		for i, each := range r.acceptors {
			if i == r.selfIndex {
				continue
			}
			if _, err := each.TakeOver(s, connect.NewRequest(&wire.TakeOverRequest{Key: key})); err == nil {
				r.scope.Record("duty", key, "handed to "+r.peers[i].Name)
				break
			}
		}
	}
}

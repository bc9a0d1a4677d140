// Package quorum stores a small number of values by key on the disks of a fixed
// set of core machines. A change is confirmed once a majority of the disks has
// it. Each key is a Paxos register with an owner, which is the proposer: the
// owner has a majority promise its epoch, which consists of a number and the
// owner's ID, before values are accepted under that epoch. docs/quorum.md compares
// the alternatives.
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

// Peer is a core machine of the set. Epochs identify it by its address.
type Peer struct {
	Name    string
	Address string
}

// ownerState is this machine's state as the owner of a key. The epoch is nil if
// the machine is not the owner. Lock is held during a whole change or read.
type ownerState struct {
	lock   base.ContextMutex
	epoch  *wire.Epoch
	serial uint64
	value  []byte
}

// Replica is one core machine's replica of the values: it stores them on its disk,
// and changes and reads them by majority. It is safe for concurrent use.
type Replica struct {
	scope         base.Scope
	store         *Store
	selfIndex     int
	peers         []Peer
	acceptors     []acceptor
	roundTimeout  time.Duration
	mu            sync.Mutex
	ownerStates   map[string]*ownerState
	chosen        base.Table[*wire.Entry] // by key
	chosenChanged base.Broadcast
	lastHeard     base.Table[time.Duration] // by the peer's name
	copies        base.Table[int]           // by key
	wiped         bool                      // set by DiskWiped
}

// Option changes how a Replica starts.
type Option func(*Replica)

// DiskWiped is the option that a blank disk of this machine was part of the set
// and has been wiped. Such a disk doesn't start a new set with other blank disks.
func DiskWiped(r *Replica) { r.wiped = true }

// New returns the replica of the machine named self, which must be one of peers. A
// disk that doesn't reply within roundTimeout counts as unreachable in that round.
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

// controllerID returns the ID of a core machine in epochs, which is the FNV-1a hash
// of its address. It does not depend on the other machines of the set.
func controllerID(address string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(address))
	return hash.Sum32()
}

// Store returns the store on this machine's disk.
func (r *Replica) Store() *Store { return r.store }

// Changed returns a channel that is closed when this machine learns that a newer
// entry of any key has been chosen.
func (r *Replica) Changed() <-chan struct{} { return r.chosenChanged.Next() }

// Ready reports whether this machine's disk has recovered and may vote. Damaged
// keys are excluded from voting one by one.
func (r *Replica) Ready() bool { return r.store.Phase() == wire.Phase_FOUNDED }

// Chosen returns the newest entry of a key that this machine knows to be on a
// majority of disks. There may be a newer one that it doesn't know of.
func (r *Replica) Chosen(key string) (*wire.Entry, bool) { return r.chosen.Get(key) }

// Owner returns the machine whose epoch this disk has promised for a key, and that
// epoch. The last result is false if the machine is unknown.
func (r *Replica) Owner(key string) (Peer, *wire.Epoch, bool) {
	promised, _ := r.store.Peek(key)
	for _, peer := range r.peers {
		if promised.GetNumber() > 0 && promised.GetKeel() == controllerID(peer.Address) {
			return peer, promised, true
		}
	}
	return Peer{}, promised, false
}

// Owns reports whether this machine owns a key according to its own disk. Another
// machine may have become the owner since.
func (r *Replica) Owns(key string) bool {
	owner, _, known := r.Owner(key)
	return known && owner.Name == r.peers[r.selfIndex].Name
}

// HeardWithin reports whether another machine replied to a QuorumRead within the
// given time before now.
func (r *Replica) HeardWithin(peer Peer, window time.Duration) bool {
	heardAt, known := r.lastHeard.Get(peer.Name)
	return known && r.scope.Clock.Mono()-heardAt <= window
}

// majority returns the number of disks that make a majority.
func (r *Replica) majority() int { return len(r.acceptors)/2 + 1 }

// ownerStateOf returns the owner state of a key, creating it if needed.
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

// requestPromises sends a promise request to the acceptors. It returns once the
// required number of them have replied, whether or not they granted it.
func (r *Replica) requestPromises(s base.Scope, acceptors []acceptor, required int, request *wire.PromiseRequest) []Reply[wire.PromiseReply] {
	return poll(s, acceptors, required, r.roundTimeout, func(ctx context.Context, target acceptor) (*wire.PromiseReply, error) {
		reply, err := target.Promise(ctx, connect.NewRequest(request))
		if err != nil {
			return nil, err
		}
		return reply.Msg, nil
	})
}

// acquireOwnership makes this machine the owner of a key under a new epoch: its own
// disk promises the epoch first, then a majority does. The newest entry among the
// replies, which a majority may not have yet, is then replicated under the new
// epoch. The caller holds the lock of state and resets its epoch after an error.
func (r *Replica) acquireOwnership(s base.Scope, key string, state *ownerState) error {
	promised, _ := r.store.Peek(key)
	epoch := &wire.Epoch{Number: promised.GetNumber() + 1, Keel: controllerID(r.peers[r.selfIndex].Address)}
	ownReply := r.requestPromises(s, r.acceptors[r.selfIndex:r.selfIndex+1], 1, &wire.PromiseRequest{Key: key, Epoch: epoch})[0]
	if ownReply.err != nil {
		return ownReply.err
	}
	if !ownReply.body.Granted {
		return base.NewFault(base.Superseded, key, "a higher epoch came first")
	}
	replies := r.requestPromises(s, r.acceptors, r.majority(), &wire.PromiseRequest{Key: key, Epoch: epoch})
	granted, highestPromised, highest := countGrants(replies, epoch)
	if granted < r.majority() {
		if highestPromised != epoch {
			// Save the higher epoch, so that Owner returns its owner and the next
			// attempt uses a higher one.
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

// countGrants returns how many disks granted the promise, the highest epoch that
// any of them has promised (at least the given one), and the newest entry of the
// disks that granted it.
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

// replicate sends a value to all disks under the owner's epoch. It succeeds once a
// majority has accepted the value, and then notifies all machines without waiting
// for all of them. On failure the machine gives up the epoch. The caller holds the
// lock of state.
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

// markChosen notes that an entry is on a majority of disks, unless a newer one is
// known to be.
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

// Change replaces the value of a key by the result of change, which gets the
// newest value, or nil if there is none. If the result is nil, nothing is written;
// if this machine owned the key already, it doesn't then ask the others whether
// the value was still the newest. Change returns nil once a majority of disks has
// the new value. After an error of kind Superseded another machine owns the key;
// after one of kind Uncertain the new value may or may not be chosen later.
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

// Read returns the newest value of a key, or nil if there is none, once a majority
// of disks has it. It makes this machine the owner of the key.
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

// Refresh is QuorumRead without the second result.
func (r *Replica) Refresh(s base.Scope, key string) (chosen bool) {
	chosen, _ = r.QuorumRead(s, key)
	return chosen
}

// QuorumRead asks all disks for the newest entry of a key, without becoming its
// owner, and stores that entry on this disk if a majority has it. It reports
// whether the newest entry is on a majority of disks, or no disk has one, and
// whether a majority of disks replied. If both are true, Chosen then returns an
// entry at least as new as any chosen before the call.
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
		callScope, cancel := s.WithTimeout(r.roundTimeout)
		_, _, _ = r.store.Accept(callScope, highest)
		cancel()
	}
	r.markChosen(highest)
	r.copies.Put(key, copies)
	return true, majorityReplied
}

// Copies returns how many disks had the newest entry of a key at the last
// QuorumRead that found it on a majority.
func (r *Replica) Copies(key string) int {
	count, _ := r.copies.Get(key)
	return count
}

// TransferOwnership asks the other machines, one after the other, to become the
// owner of each key that this machine owns, until one of them does.
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

package quorum

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// maxFetchAttempts is the number of increasing epochs under which a key is
// requested in one recovery attempt.
const maxFetchAttempts = 8

// Recover brings the disk into the phase FOUNDED, in which it may vote, with no
// damaged keys. It retries at the given interval until that is done or the scope
// ends. A blank disk starts a new set together with the others; a disk that has
// lost files fetches the keys from the others.
func (r *Replica) Recover(s base.Scope, interval time.Duration) {
	if r.wiped && r.store.Phase() == wire.Phase_BLANK {
		// By the end of this wait, every round that relies on a promise of the lost
		// disk has timed out.
		base.Await(s, 2*r.roundTimeout)
	}
	for !r.tryRecover(s, false) {
		if base.Await(s, interval); s.Err() != nil {
			return
		}
	}
}

// Adopt makes one recovery attempt that succeeds with a single other disk that
// may vote, even if that is less than the recovery quorum. Changes that had been
// confirmed may be lost. An operator requests it after two disks have been lost.
func (r *Replica) Adopt(s base.Scope) bool { return r.tryRecover(s, true) }

// tryRecover makes one recovery attempt and reports whether the disk may vote on
// all keys. The phases are BLANK, FRESH once all others were seen to be blank or
// fresh, and FOUNDED once all others were seen to be fresh or founded. A blank
// disk whose set exists already becomes founded by fetching all keys.
func (r *Replica) tryRecover(s base.Scope, adopt bool) (done bool) {
	phase := r.store.Phase()
	if phase == wire.Phase_FOUNDED && len(r.store.DamagedKeys()) == 0 {
		return true
	}
	counts, keys := r.pollOthers(s)
	otherCount := len(r.acceptors) - 1
	switch {
	case phase == wire.Phase_BLANK && r.bootstrapPeers(counts) == otherCount:
		_ = r.store.setPhase(wire.Phase_FRESH)
		return otherCount == 0 && r.store.setPhase(wire.Phase_FOUNDED) == nil
	case phase == wire.Phase_FRESH && counts[wire.Phase_FRESH]+counts[wire.Phase_FOUNDED] == otherCount:
		return r.store.setPhase(wire.Phase_FOUNDED) == nil
	case phase == wire.Phase_FRESH:
		return false
	case counts[wire.Phase_FOUNDED] >= r.recoveryQuorum(), adopt && counts[wire.Phase_FOUNDED] > 0:
		for _, key := range r.store.DamagedKeys() {
			keys[key] = true
		}
		return r.fetchKeys(s, keys, min(r.recoveryQuorum(), counts[wire.Phase_FOUNDED]))
	}
	r.scope.Record("waiting", "", "the other disks do not allow recovery yet")
	return false
}

// pollOthers returns how many of the other disks are in each phase, and every key
// that at least one of them has.
func (r *Replica) pollOthers(s base.Scope) (counts map[wire.Phase]int, keys map[string]bool) {
	replies := poll(s, r.otherAcceptors(), len(r.acceptors)-1, r.roundTimeout, func(ctx context.Context, target acceptor) (*wire.KeysReply, error) {
		reply, err := target.Keys(ctx, connect.NewRequest(&wire.KeysRequest{}))
		if err != nil {
			return nil, err
		}
		return reply.Msg, nil
	})
	counts, keys = map[wire.Phase]int{}, map[string]bool{}
	for _, reply := range replies {
		if reply.err != nil {
			continue
		}
		counts[reply.body.Phase]++
		for _, key := range reply.body.Keys {
			keys[key] = true
		}
	}
	return counts, keys
}

// recoveryQuorum returns the number of other disks to fetch from. Every majority
// that this disk was part of before it lost its files includes at least one
// disk of any group of that many others.
func (r *Replica) recoveryQuorum() int { return len(r.acceptors) - r.majority() + 1 }

// bootstrapPeers returns how many other disks allow this blank disk to start a new
// set. For a disk known to be wiped these are only the fresh ones, which have
// never voted; if it is the only disk of the set it must not start one, and the
// result is -1.
func (r *Replica) bootstrapPeers(counts map[wire.Phase]int) int {
	if r.wiped && len(r.acceptors) > 1 {
		return counts[wire.Phase_FRESH]
	}
	if r.wiped {
		return -1
	}
	return counts[wire.Phase_BLANK] + counts[wire.Phase_FRESH]
}

// otherAcceptors returns the acceptors of the other machines.
func (r *Replica) otherAcceptors() []acceptor {
	others := make([]acceptor, 0, len(r.acceptors)-1)
	for i, each := range r.acceptors {
		if i != r.selfIndex {
			others = append(others, each)
		}
	}
	return others
}

// fetchKeys fetches the keys from the other disks and then lets this one vote. It
// reports whether it succeeded.
func (r *Replica) fetchKeys(s base.Scope, keys map[string]bool, required int) bool {
	for key := range keys {
		if !r.fetchKey(s, key, required) {
			return false
		}
		r.scope.Record("recovered", key, "")
	}
	if r.store.Phase() == wire.Phase_FOUNDED {
		return true
	}
	return r.store.setPhase(wire.Phase_FOUNDED) == nil
}

// fetchKey fetches one key: it gets a new epoch promised by the required number of
// other disks and stores that epoch with the newest entry among their replies.
func (r *Replica) fetchKey(s base.Scope, key string, required int) bool {
	promised, _ := r.store.Peek(key)
	for range maxFetchAttempts {
		epoch := &wire.Epoch{Number: promised.GetNumber() + 1, Keel: controllerID(r.peers[r.selfIndex].Address)}
		replies := r.requestPromises(s, r.otherAcceptors(), len(r.acceptors)-1, &wire.PromiseRequest{Key: key, Epoch: epoch})
		granted, highestPromised, highest := countGrants(replies, promised)
		promised = highestPromised
		if granted >= required {
			return r.store.restore(s, key, epoch, highest) == nil
		}
	}
	return false
}

package quorum

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// maxFetchAttempts is how often a key is asked for under a higher epoch before the
// next step of recovery tries again.
const maxFetchAttempts = 8

// Recover brings the disk into a state in which it may vote, trying again after
// each interval until it is done or the scope ends: a blank disk founds a new
// set with the others, a lost or damaged one fetches what the others have.
func (r *Replica) Recover(s base.Scope, interval time.Duration) {
	if r.wiped && r.store.Phase() == wire.Phase_BLANK {
		// Whoever still counts on a promise of the lost self has given up by then.
		base.Await(s, 2*r.roundTimeout)
	}
	for !r.tryRecover(s, false) {
		if base.Await(s, interval); s.Err() != nil {
			return
		}
	}
}

// Adopt makes one try to recover with fewer other disks than needed to rule out
// that something is lost. An operator orders it after two disks are lost.
func (r *Replica) Adopt(s base.Scope) bool { return r.tryRecover(s, true) }

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

// pollOthers returns how many of the other disks are in each phase, and all keys
// that any of them has.
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

// Any majority that the lost self was part of has one of so many others in it.
func (r *Replica) recoveryQuorum() int { return len(r.acceptors) - r.majority() + 1 }

// A wiped disk may begin anew only with others that have begun and never voted.
func (r *Replica) bootstrapPeers(counts map[wire.Phase]int) int {
	if r.wiped && len(r.acceptors) > 1 {
		return counts[wire.Phase_FRESH]
	}
	if r.wiped {
		return -1
	}
	return counts[wire.Phase_BLANK] + counts[wire.Phase_FRESH]
}

func (r *Replica) otherAcceptors() []acceptor {
	others := make([]acceptor, 0, len(r.acceptors)-1)
	for i, each := range r.acceptors {
		if i != r.selfIndex {
			others = append(others, each)
		}
	}
	return others
}

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

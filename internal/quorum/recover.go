package quorum

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// fetchTries is how often a key is asked for under a higher epoch before the
// next step of recovery tries again.
const fetchTries = 8

// Recover brings the disk into a state in which it may vote, trying again after
// each interval until it is done or the scope ends: a blank disk founds a new
// set with the others, a lost or damaged one fetches what the others have.
func (t *Replica) Recover(s base.Scope, every time.Duration) {
	if t.joining && t.store.Phase() == wire.Phase_BLANK {
		// Whoever still counts on a promise of the lost self has given up by then.
		base.Await(s, 2*t.round)
	}
	for !t.step(s, false) {
		if base.Await(s, every); s.Err() != nil {
			return
		}
	}
}

// Adopt makes one try to recover with fewer other disks than needed to rule out
// that something is lost. An operator orders it after two disks are lost.
func (t *Replica) Adopt(s base.Scope) bool { return t.step(s, true) }

func (t *Replica) step(s base.Scope, adopting bool) (done bool) {
	phase := t.store.Phase()
	if phase == wire.Phase_FOUNDED && len(t.store.DamagedKeys()) == 0 {
		return true
	}
	counts, keys := t.askOthers(s)
	others := len(t.disks) - 1
	switch {
	case phase == wire.Phase_BLANK && t.blank(counts) == others:
		_ = t.store.setPhase(wire.Phase_FRESH)
		return others == 0 && t.store.setPhase(wire.Phase_FOUNDED) == nil
	case phase == wire.Phase_FRESH && counts[wire.Phase_FRESH]+counts[wire.Phase_FOUNDED] == others:
		return t.store.setPhase(wire.Phase_FOUNDED) == nil
	case phase == wire.Phase_FRESH:
		return false
	case counts[wire.Phase_FOUNDED] >= t.recoveryQuorum(), adopting && counts[wire.Phase_FOUNDED] > 0:
		for _, key := range t.store.DamagedKeys() {
			keys[key] = true
		}
		return t.fetch(s, keys, min(t.recoveryQuorum(), counts[wire.Phase_FOUNDED]))
	}
	t.scope.Record("waiting", "", "the other disks do not allow recovery yet")
	return false
}

// askOthers returns how many of the other disks are in each phase, and all keys
// that any of them has.
func (t *Replica) askOthers(s base.Scope) (counts map[wire.Phase]int, keys map[string]bool) {
	replies := poll(s, t.others(), len(t.disks)-1, t.round, func(ctx context.Context, d disk) (*wire.KeysReply, error) {
		reply, err := d.Keys(ctx, connect.NewRequest(&wire.KeysRequest{}))
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
func (t *Replica) recoveryQuorum() int { return len(t.disks) - t.majority() + 1 }

// A wiped disk may begin anew only with others that have begun and never voted.
func (t *Replica) blank(counts map[wire.Phase]int) int {
	if t.joining && len(t.disks) > 1 {
		return counts[wire.Phase_FRESH]
	}
	if t.joining {
		return -1
	}
	return counts[wire.Phase_BLANK] + counts[wire.Phase_FRESH]
}

func (t *Replica) others() []disk {
	others := make([]disk, 0, len(t.disks)-1)
	for i, each := range t.disks {
		if i != t.self {
			others = append(others, each)
		}
	}
	return others
}

func (t *Replica) fetch(s base.Scope, keys map[string]bool, need int) bool {
	for key := range keys {
		if !t.fetchKey(s, key, need) {
			return false
		}
		t.scope.Record("recovered", key, "")
	}
	if t.store.Phase() == wire.Phase_FOUNDED {
		return true
	}
	return t.store.setPhase(wire.Phase_FOUNDED) == nil
}

func (t *Replica) fetchKey(s base.Scope, key string, need int) bool {
	promised, _ := t.store.Peek(key)
	for range fetchTries {
		epoch := &wire.Epoch{Number: promised.GetNumber() + 1, Keel: place(t.peers[t.self].Address)}
		replies := t.promises(s, t.others(), len(t.disks)-1, &wire.PromiseRequest{Key: key, Epoch: epoch})
		granted, beaten, highest := countGrants(replies, promised)
		promised = beaten
		if granted >= need {
			return t.store.restore(s, key, epoch, highest) == nil
		}
	}
	return false
}

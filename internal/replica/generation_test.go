package replica

import (
	"testing"
	"time"

	"curlewreach/proto/wire"
)

// generationOf makes a membership of replicas whose identities are their addresses.
func generationOf(generation uint64, addresses ...string) *wire.Membership {
	membership := &wire.Membership{Generation: generation, Target: uint32(len(addresses))}
	for _, address := range addresses {
		membership.Voters = append(membership.Voters, &wire.Replica{Id: address, Address: address})
	}
	return membership
}

func voterOf(membership *wire.Membership, address string) *Machine {
	state := &wire.ReplicaState{Id: address, Membership: membership, Registers: map[string]*wire.Register{}}
	return NewMachine(Settings{
		Address: address, StatusInterval: simWatch, VoterTimeout: simSilence, RecommitAfter: time.Second, BootstrapWait: time.Second,
		NewID: func() string { return address + "/again" },
	}, state, 0)
}

// A round of the generation before may end after the next has begun; what it says of the membership is over.
func TestLateRoundOfTheGenerationBefore(t *testing.T) {
	before, next := generationOf(1, "a", "b", "c"), generationOf(2, "a", "b", "d")
	m := voterOf(before, "a")
	m.Tick(time.Second)
	asked := m.TakeOutput().Requests
	m.HandleRequest(time.Second, 1, &wire.ReplicaRequest{From: "b", Address: "b", Generation: 1, Ask: &wire.ReplicaRequest_Install{
		Install: &wire.InstallAsk{Membership: next, Registers: map[string]*wire.Register{}},
	}})
	m.TakeOutput()
	chosen := &wire.Version{Term: &wire.Term{Number: 1, Owner: "b"}, Serial: 1, Value: []byte("the second generation")}
	held := map[string]*wire.Register{membershipKey: {Promised: chosen.Term, Accepted: chosen}}
	for _, request := range asked {
		m.HandleReply(time.Second, request.ID, &wire.ReplicaReply{From: request.To, Generation: 1, Membership: before, Registers: held})
	}
	if m.generation() != 2 {
		t.Fatalf("generation %d, want 2", m.generation())
	}
	if stale := m.register(membershipKey).Accepted; stale != nil {
		t.Fatalf("the second generation holds %q as its successor", stale.Value)
	}
}

// A version that was never chosen is left behind with its generation. Its term must not be used again for another.
func TestTermsAreNotUsedAgainInTheNextGeneration(t *testing.T) {
	before, next := generationOf(1, "a", "b", "c"), generationOf(2, "a", "b", "d")
	m := voterOf(before, "a")
	used := &wire.Term{Number: 9, Owner: "a"}
	for call, key := range []string{"known", "unknown"} {
		m.HandleRequest(0, uint64(call), &wire.ReplicaRequest{From: "a", Address: "a", Generation: 1, Ask: &wire.ReplicaRequest_Promise{
			Promise: &wire.PromiseAsk{Key: key, Term: used},
		}})
	}
	gathered := map[string]*wire.Register{"known": {Promised: &wire.Term{Number: 3, Owner: "b"}}}
	m.HandleRequest(0, 7, &wire.ReplicaRequest{From: "b", Address: "b", Generation: 1, Ask: &wire.ReplicaRequest_Install{
		Install: &wire.InstallAsk{Membership: next, Registers: gathered},
	}})
	restarted := NewMachine(m.settings, m.TakeOutput().Save.State, 0)
	for _, key := range []string{"known", "unknown"} {
		if promised := restarted.register(key).Promised; compareTerms(promised, used) < 0 {
			t.Fatalf("key %s: %v is promised, below the term %v used before", key, promised, used)
		}
	}
}

package replica

import (
	"testing"
	"time"

	"curlewreach/proto/wire"
)

// TestCopyInstalledUnderHigherPromiseIsNotSettled guards against counting an installed copy as a vote. Only a has "one",
// and only c has "two", under a higher term that b promised. c merges its own and b's registers and installs "two" on d;
// b merges a's and its own and installs "one" on both. A quorum read of a and b must not report "one" as chosen, since
// the next owner may read "two" from d and b.
func TestCopyInstalledUnderHigherPromiseIsNotSettled(t *testing.T) {
	sim := newRunningSimulation(t, "a:1", "b:1", "c:1")
	sim.start("d:1", false)
	sim.run(time.Second, nil)
	sim.intercept = func(m message) delivery { return delivery{lost: m.request.GetAccept().GetKey() == "k"} }
	sim.requestChange("a:1", "k", "one;", func(Result) {}) // accepted by a alone
	sim.run(100*time.Millisecond, nil)
	sim.isolate("a:1", "c:1", "d:1")
	sim.requestChange("c:1", "k", "two;", func(Result) {}) // promised by b and c, accepted by c alone
	sim.run(100*time.Millisecond, nil)
	sim.intercept = func(m message) delivery { return delivery{lost: m.request.GetInstall() != nil && m.to == "b:1"} }
	sim.ask("c:1", func(m *Machine, ticket uint64) { m.Leave(sim.now, ticket) }, func(Result) {})
	sim.run(5*time.Second, func() bool { return sim.nodes["d:1"].machine.durable.Membership != nil }) // "two;" is installed on d
	sim.isolate("c:1", "a:1", "b:1", "d:1")
	sim.isolate("d:1", "a:1", "b:1")
	sim.intercept = nil
	sim.run(5*time.Second, func() bool { return sim.nodes["a:1"].machine.generation() == 2 }) // b merges "one;" from a and its own registers
	sim.run(time.Second, nil)
	var outcome Result
	sim.ask("a:1", func(m *Machine, ticket uint64) { m.QuorumRead(sim.now, ticket, "k") }, func(result Result) { outcome = result })
	sim.run(time.Second, nil)
	if outcome.UpToDate {
		t.Errorf("%q is reported as up to date, but it was never accepted by a majority", outcome.Version.GetValue())
	}
	sim.reconnect("d:1", "b:1")
	sim.isolate("a:1", "b:1")
	sim.ask("d:1", func(m *Machine, ticket uint64) { m.Read(sim.now, ticket, "k") }, func(Result) {})
	sim.run(time.Second, nil)
	sim.mustHaveNoViolation(t)
}

// TestSealedVoterTellsNothingToLearnersWhileTheNextGenerationIsNotOnItsDisk isolates c while b has sealed generation 1 and
// is slow to save generation 2, in which a and d accept a change. A learner that asks b and c must not count b's reply.
func TestSealedVoterTellsNothingToLearnersWhileTheNextGenerationIsNotOnItsDisk(t *testing.T) {
	sim := newRunningSimulation(t, "a:1", "b:1", "c:1")
	sim.mustChange(t, "a:1", "k", "one;", time.Second)
	sim.start("e:1", false)
	sim.run(200*time.Millisecond, nil) // e knows generation 1
	sim.isolate("e:1", "a:1", "b:1", "c:1")
	sim.isolate("c:1", "a:1", "b:1")
	sim.start("d:1", false)
	slow := false
	sim.saveDelay = func(n *node) time.Duration {
		if n.address == "b:1" && slow {
			return 3 * time.Second
		}
		return simSaveDelay
	}
	sim.intercept = func(m message) delivery {
		slow = slow || m.request.GetInstall() != nil // b has sealed generation 1 and now saves the next one slowly
		return delivery{}
	}
	sim.run(3*time.Second, func() bool { return slow })
	sim.run(100*time.Millisecond, nil)
	sim.mustChange(t, "a:1", "k", "one;two;", time.Second)
	sim.reconnect("e:1", "b:1", "c:1")
	var outcome Result
	sim.ask("e:1", func(m *Machine, ticket uint64) { m.QuorumRead(sim.now, ticket, "k") }, func(result Result) { outcome = result })
	sim.run(time.Second, nil)
	sim.mustHaveNoViolation(t)
	if outcome.UpToDate && string(outcome.Version.GetValue()) != "one;two;" {
		t.Fatalf("a learner reports %q as up to date", outcome.Version.GetValue())
	}
}

// TestQuorumReadThatOutlivesItsGenerationReportsItsReplies has b miss a change that a and c accepted in generation 1. b
// reads from them and has entered generation 2 when their replies arrive.
func TestQuorumReadThatOutlivesItsGenerationReportsItsReplies(t *testing.T) {
	previous, next := newMembership(1, "a", "b", "c"), newMembership(2, "a", "b", "d")
	m := newVoter(previous, "b")
	m.QuorumRead(time.Second, 1, "k")
	requests := m.TakeOutput().Requests
	m.HandleRequest(time.Second, 1, &wire.ReplicaRequest{From: "a", Address: "a", Generation: 1, Ask: &wire.ReplicaRequest_Install{
		Install: &wire.InstallAsk{Membership: next, Registers: map[string]*wire.Register{}},
	}})
	m.TakeOutput()
	chosen := &wire.Version{Term: &wire.Term{Number: 1, Owner: "a"}, Serial: 1, Value: []byte("one;")}
	held := map[string]*wire.Register{"k": {Promised: chosen.Term, Accepted: chosen}}
	for _, request := range requests {
		m.HandleReply(time.Second, request.ID, &wire.ReplicaReply{From: request.To, Generation: 1, Membership: previous, Registers: held})
	}
	for _, result := range m.TakeOutput().Results {
		if result.UpToDate && string(result.Version.GetValue()) != "one;" {
			t.Fatalf("%q is reported as up to date, but a majority replied with %q", result.Version.GetValue(), chosen.Value)
		}
	}
}

// TestReplicaConfirmsOnlyInAGenerationOnItsDisk asks b to confirm a term while it is saving the generation.
func TestReplicaConfirmsOnlyInAGenerationOnItsDisk(t *testing.T) {
	previous, next := newMembership(1, "a", "b", "c"), newMembership(2, "a", "b", "d")
	m := newVoter(previous, "b")
	m.HandleRequest(time.Second, 1, &wire.ReplicaRequest{From: "a", Address: "a", Generation: 1, Ask: &wire.ReplicaRequest_Install{
		Install: &wire.InstallAsk{Membership: next, Registers: map[string]*wire.Register{}},
	}})
	m.HandleRequest(time.Second, 2, &wire.ReplicaRequest{From: "a", Address: "a", Generation: 2, Ask: &wire.ReplicaRequest_Confirm{
		Confirm: &wire.ConfirmAsk{Key: "k"},
	}})
	for _, response := range m.TakeOutput().Responses {
		if response.Call == 2 && response.Reply.Standing == wire.Standing_GRANTED {
			t.Fatal("a term is confirmed in a generation that is not on disk")
		}
	}
}

// TestQuorumReadsWithoutKnownMembersSendNoRequests guards against a request storm: many nodes want the configuration
// confirmed while this replica still looks for the voters. Only its own status interval may trigger requests to the seeds.
func TestQuorumReadsWithoutKnownMembersSendNoRequests(t *testing.T) {
	const callers = 200
	m := NewMachine(Settings{
		Address: "d:1", Seeds: []string{"a:1", "b:1", "c:1"}, StatusInterval: simStatusInterval, VoterTimeout: simVoterTimeout, NewID: func() string { return "d" },
	}, nil, 0)
	m.HandleSaved(0, m.TakeOutput().Save.Number, true)
	m.Tick(simTick)
	if requests := len(m.TakeOutput().Requests); requests != 3 {
		t.Fatalf("the status interval triggered %d requests, want one per seed", requests)
	}
	for ticket := range uint64(callers) {
		m.QuorumRead(simTick, ticket+1, "k")
	}
	out := m.TakeOutput()
	if len(out.Requests) > 0 {
		t.Errorf("%d quorum reads sent %d requests", callers, len(out.Requests))
	}
	if len(out.Results) != callers {
		t.Errorf("%d of %d quorum reads have a result", len(out.Results), callers)
	}
	m.Tick(simTick + simStatusInterval)
	if requests := len(m.TakeOutput().Requests); requests != 3 {
		t.Errorf("the next status interval triggered %d requests, want one per seed", requests)
	}
}

package replica

import (
	"testing"
	"time"

	"curlewreach/proto/wire"
)

// TestCopyInstalledUnderHigherPromiseIsNotSettled: a alone has "one", c alone has "two" under a higher term that b
// promised. c gathers from itself and b, and installs "two" on d; b gathers from a and itself, and installs "one" on
// both. A survey by a and b must not take "one" for chosen: d, b give "two" to the next owner.
func TestCopyInstalledUnderHigherPromiseIsNotSettled(t *testing.T) {
	w := newFoundedWorld(t, "a:1", "b:1", "c:1")
	w.start("d:1", false)
	w.run(time.Second, nil)
	w.intercept = func(m message) verdict { return verdict{lost: m.request.GetAccept().GetKey() == "k"} }
	w.request("a:1", "k", "one;", func(Result) {}) // accepted by a alone
	w.run(100*time.Millisecond, nil)
	w.isolate("a:1", "c:1", "d:1")
	w.request("c:1", "k", "two;", func(Result) {}) // promised by b and c, accepted by c alone
	w.run(100*time.Millisecond, nil)
	w.intercept = func(m message) verdict { return verdict{lost: m.request.GetInstall() != nil && m.to == "b:1"} }
	w.ask("c:1", func(m *Machine, ticket uint64) { m.Leave(w.now, ticket) }, func(Result) {})
	w.run(5*time.Second, func() bool { return w.nodes["d:1"].machine.durable.Membership != nil }) // installed on d with "two;"
	w.isolate("c:1", "a:1", "b:1", "d:1")
	w.isolate("d:1", "a:1", "b:1")
	w.intercept = nil
	w.run(5*time.Second, func() bool { return w.nodes["a:1"].machine.generation() == 2 }) // b gathers "one;" from a and itself
	w.run(time.Second, nil)
	var told Result
	w.ask("a:1", func(m *Machine, ticket uint64) { m.QuorumRead(w.now, ticket, "k") }, func(result Result) { told = result })
	w.run(time.Second, nil)
	if told.UpToDate {
		t.Errorf("%q is settled, though nobody wrote it to a majority", told.Version.GetValue())
	}
	w.reunite("d:1", "b:1")
	w.isolate("a:1", "b:1")
	w.ask("d:1", func(m *Machine, ticket uint64) { m.Read(w.now, ticket, "k") }, func(Result) {})
	w.run(time.Second, nil)
	w.mustBeSound(t)
}

// TestSealedVoterTellsNothingToLearnersWhileTheNextGenerationIsNotOnItsDisk: c is cut off, b has sealed generation 1
// and is slow to save generation 2, in which a and d take a change. A learner that asks b and c must not count b.
func TestSealedVoterTellsNothingToLearnersWhileTheNextGenerationIsNotOnItsDisk(t *testing.T) {
	w := newFoundedWorld(t, "a:1", "b:1", "c:1")
	w.mustChange(t, "a:1", "k", "one;", time.Second)
	w.start("e:1", false)
	w.run(200*time.Millisecond, nil) // e knows generation 1
	w.isolate("e:1", "a:1", "b:1", "c:1")
	w.isolate("c:1", "a:1", "b:1")
	w.start("d:1", false)
	slow := false
	w.saveDelay = func(n *node) time.Duration {
		if n.address == "b:1" && slow {
			return 3 * time.Second
		}
		return simSaveDelay
	}
	w.intercept = func(m message) verdict {
		slow = slow || m.request.GetInstall() != nil // b has sealed generation 1; installing the next takes long
		return verdict{}
	}
	w.run(3*time.Second, func() bool { return slow })
	w.run(100*time.Millisecond, nil)
	w.mustChange(t, "a:1", "k", "one;two;", time.Second)
	w.reunite("e:1", "b:1", "c:1")
	var told Result
	w.ask("e:1", func(m *Machine, ticket uint64) { m.QuorumRead(w.now, ticket, "k") }, func(result Result) { told = result })
	w.run(time.Second, nil)
	w.mustBeSound(t)
	if told.UpToDate && string(told.Version.GetValue()) != "one;two;" {
		t.Fatalf("a learner is told that %q is settled", told.Version.GetValue())
	}
}

// TestSurveyThatOutlivesItsGenerationTellsWhatItFound: b missed a change that a and c took in generation 1, asks them,
// and has entered generation 2 when their replies come.
func TestSurveyThatOutlivesItsGenerationTellsWhatItFound(t *testing.T) {
	before, next := generationOf(1, "a", "b", "c"), generationOf(2, "a", "b", "d")
	m := voterOf(before, "b")
	m.QuorumRead(time.Second, 1, "k")
	asked := m.TakeOutput().Requests
	m.HandleRequest(time.Second, 1, &wire.ReplicaRequest{From: "a", Address: "a", Generation: 1, Ask: &wire.ReplicaRequest_Install{
		Install: &wire.InstallAsk{Membership: next, Registers: map[string]*wire.Register{}},
	}})
	m.TakeOutput()
	taken := &wire.Version{Term: &wire.Term{Number: 1, Owner: "a"}, Serial: 1, Value: []byte("one;")}
	held := map[string]*wire.Register{"k": {Promised: taken.Term, Accepted: taken}}
	for _, request := range asked {
		m.HandleReply(time.Second, request.ID, &wire.ReplicaReply{From: request.To, Generation: 1, Membership: before, Registers: held})
	}
	for _, result := range m.TakeOutput().Results {
		if result.UpToDate && string(result.Version.GetValue()) != "one;" {
			t.Fatalf("%q is settled, but a majority told of %q", result.Version.GetValue(), taken.Value)
		}
	}
}

// TestReplicaConfirmsOnlyInAGenerationOnItsDisk: b is asked to confirm a term while it installs the generation.
func TestReplicaConfirmsOnlyInAGenerationOnItsDisk(t *testing.T) {
	before, next := generationOf(1, "a", "b", "c"), generationOf(2, "a", "b", "d")
	m := voterOf(before, "b")
	m.HandleRequest(time.Second, 1, &wire.ReplicaRequest{From: "a", Address: "a", Generation: 1, Ask: &wire.ReplicaRequest_Install{
		Install: &wire.InstallAsk{Membership: next, Registers: map[string]*wire.Register{}},
	}})
	m.HandleRequest(time.Second, 2, &wire.ReplicaRequest{From: "a", Address: "a", Generation: 2, Ask: &wire.ReplicaRequest_Confirm{
		Confirm: &wire.ConfirmAsk{Key: "k"},
	}})
	for _, answer := range m.TakeOutput().Responses {
		if answer.Call == 2 && answer.Reply.Standing == wire.Standing_GRANTED {
			t.Fatal("a term is confirmed in a generation that isn't on disk")
		}
	}
}

// TestSurveysWithoutKnownMembersAskNobody: hundreds of nodes want the configuration confirmed while this replica still
// looks for the voters; only its own watch asks the seeds.
func TestSurveysWithoutKnownMembersAskNobody(t *testing.T) {
	const callers = 200
	m := NewMachine(Settings{
		Address: "d:1", Seeds: []string{"a:1", "b:1", "c:1"}, StatusInterval: simWatch, VoterTimeout: simSilence, NewID: func() string { return "d" },
	}, nil, 0)
	m.HandleSaved(0, m.TakeOutput().Save.Number, true)
	m.Tick(simTick)
	if asked := len(m.TakeOutput().Requests); asked != 3 {
		t.Fatalf("the watch asked %d times, want each seed once", asked)
	}
	for ticket := range uint64(callers) {
		m.QuorumRead(simTick, ticket+1, "k")
	}
	out := m.TakeOutput()
	if len(out.Requests) > 0 {
		t.Errorf("%d surveys asked %d times", callers, len(out.Requests))
	}
	if len(out.Results) != callers {
		t.Errorf("%d of %d surveys have a result", len(out.Results), callers)
	}
	m.Tick(simTick + simWatch)
	if asked := len(m.TakeOutput().Requests); asked != 3 {
		t.Errorf("the next watch asked %d times, want each seed once", asked)
	}
}

package replica

import (
	"fmt"
	"testing"
	"time"
)

// mustChange has a value taken at an address, trying again until it is or the time is over.
func (w *world) mustChange(t *testing.T, address, key, value string, within time.Duration) {
	t.Helper()
	taken, until := false, w.now+within
	for !taken && w.now < until {
		ended := false
		w.ask(address, func(m *Machine, ticket uint64) {
			m.Change(w.now, ticket, key, func([]byte) ([]byte, error) { return []byte(value), nil })
		}, func(result Result) { taken, ended = result.Err == nil, true })
		w.run(until-w.now, func() bool { return ended })
		if !taken {
			w.run(min(20*time.Millisecond, until-w.now), nil)
		}
	}
	w.mustBeSound(t)
	if !taken {
		t.Fatalf("%v: no change is taken at %s", w.now, address)
	}
}

// mustRead demands a value at an address.
func (w *world) mustRead(t *testing.T, address, key, want string, within time.Duration) {
	t.Helper()
	got, answered, until := "", false, w.now+within
	for !answered && w.now < until {
		ended := false
		w.ask(address, func(m *Machine, ticket uint64) { m.Read(w.now, ticket, key) }, func(result Result) {
			got, answered, ended = string(result.Version.GetValue()), result.Err == nil, true
		})
		w.run(until-w.now, func() bool { return ended })
		if !answered {
			w.run(min(20*time.Millisecond, until-w.now), nil)
		}
	}
	w.mustBeSound(t)
	if !answered || got != want {
		t.Fatalf("%v: %s reads %q (answered: %v), want %q", w.now, address, got, answered, want)
	}
}

// mustBeSound fails the test if a check of the world has failed.
func (w *world) mustBeSound(t *testing.T) {
	t.Helper()
	if w.check.failure != "" {
		t.Fatal(w.check.failure)
	}
}

// newFoundedWorld lets a system start and settle.
func newFoundedWorld(t *testing.T, addresses ...string) *world {
	w := newWorld(1, addresses[:3]...)
	w.log = t.Logf
	w.found(addresses...)
	w.run(2500*time.Millisecond, nil)
	w.mustBeSound(t)
	return w
}

func TestReplacedOneAfterTheOther(t *testing.T) {
	w := newFoundedWorld(t, "a:1", "b:1", "c:1")
	w.mustChange(t, "a:1", "k", "one;", 2*time.Second)
	living, value := []string{"a:1", "b:1", "c:1"}, "one;"
	for i := range 9 {
		gone := living[0]
		w.remove(gone)
		fresh := fmt.Sprintf("n%d:1", i)
		w.run(time.Second, nil)
		w.seeds = living
		w.start(fresh, false)
		living = append(living[1:], fresh)
		w.run(4*time.Second, nil)
		w.mustRead(t, fresh, "k", value, 2*time.Second)
		value += fmt.Sprint("v", i, ";")
		w.mustChange(t, fresh, "k", value, 2*time.Second)
		w.mustRead(t, living[0], "k", value, 2*time.Second)
	}
}

// TestReplacedVoterKeepsItsDiskUntilTheNextGenerationStandsOnAMajority: a change is on a, b and c; a and b are cut off
// and replaced by f and g, but only f has installed generation 2. a and b hear of it, then f and c lose their disks: two of
// five, and the change must still be there.
func TestReplacedVoterKeepsItsDiskUntilTheNextGenerationStandsOnAMajority(t *testing.T) {
	w := newWorld(1, "a:1", "b:1", "c:1", "d:1", "e:1")
	w.target = 5
	w.log = t.Logf
	w.found("a:1", "b:1", "c:1", "d:1", "e:1")
	w.run(2500*time.Millisecond, nil)
	w.intercept = func(m message) verdict {
		return verdict{lost: m.request.GetAccept() != nil && (m.to == "d:1" || m.to == "e:1")}
	}
	w.mustChange(t, "a:1", "k", "one;", time.Second) // on a, b and c
	w.intercept = nil
	w.isolate("a:1", w.names...)
	w.isolate("b:1", w.names...)
	w.start("f:1", false)
	w.start("g:1", false)
	stopped := false
	w.intercept = func(m message) verdict {
		if install := m.request.GetInstall(); install != nil {
			stopped = true
			return verdict{lost: m.to != "f:1"}
		}
		return verdict{lost: stopped && m.reply != nil && m.reply.From == "i006" && m.to != "a:1" && m.to != "b:1"}
	}
	w.run(5*time.Second, func() bool { return w.nodes["f:1"].machine.durable.Membership != nil })
	for _, busy := range []string{"c:1", "d:1", "e:1", "g:1"} {
		w.crash(busy, true)
	}
	w.intercept = nil
	w.reunite("a:1", w.names...)
	w.reunite("b:1", w.names...)
	w.run(4*time.Second, nil) // a and b hear of generation 2 from f
	w.remove("f:1")
	w.remove("c:1")
	for _, back := range []string{"d:1", "e:1", "g:1"} {
		w.restart(back)
	}
	w.run(5*time.Second, nil)
	w.mustRead(t, "d:1", "k", "one;", 4*time.Second)
}

// TestVoterThatMissedTheInstallCatchesUpWithoutKeys: b is replaced by d before any key was written, and c misses the
// install; on the wire, no registers and an absent map are the same.
func TestVoterThatMissedTheInstallCatchesUpWithoutKeys(t *testing.T) {
	w := newFoundedWorld(t, "a:1", "b:1", "c:1")
	w.intercept = func(m message) verdict { return verdict{lost: m.to == "c:1" && m.request.GetInstall() != nil} }
	w.remove("b:1")
	w.start("d:1", false)
	w.run(4*time.Second, nil)
	w.intercept = nil
	w.run(4*time.Second, nil)
	w.mustBeSound(t)
	if got := w.nodes["c:1"].machine.generation(); got != 2 {
		t.Fatalf("c holds generation %d, want 2", got)
	}
}

// TestReplacedCoordinatorIsAdmittedAgain: b coordinates the replacement of a, is then replaced itself, and is the only
// learner when c falls silent.
func TestReplacedCoordinatorIsAdmittedAgain(t *testing.T) {
	w := newFoundedWorld(t, "a:1", "b:1", "c:1")
	all := []string{"a:1", "b:1", "c:1", "d:1"}
	w.mustChange(t, "a:1", "k", "one;", time.Second)
	w.start("d:1", false)
	w.run(time.Second, nil)
	for i, silent := range []string{"a:1", "b:1", "c:1"} {
		w.isolate(silent, all...)
		w.run(4*time.Second, nil) // the learner takes its place
		w.reunite(silent, all...)
		w.run(2*time.Second, nil) // it is the learner
		w.mustBeSound(t)
		if got := w.check.newest.Generation; got != uint64(i)+2 {
			t.Fatalf("after %s fell silent, the newest is %s", silent, describeIDs(w.check.newest))
		}
	}
}

// TestIdentityIsAdmittedOnlyFromDisk: a has been replaced and takes long to save its new identity, while c is down.
func TestIdentityIsAdmittedOnlyFromDisk(t *testing.T) {
	w := newFoundedWorld(t, "a:1", "b:1", "c:1")
	w.mustChange(t, "b:1", "k", "one;", time.Second)
	w.isolate("a:1", "b:1", "c:1", "d:1")
	w.start("d:1", false)
	w.run(4*time.Second, nil) // d takes the place of a
	w.crash("c:1", true)
	w.run(1600*time.Millisecond, nil)
	w.saveDelay = func(n *node) time.Duration {
		if n.address == "a:1" {
			return 5 * time.Second
		}
		return simSaveDelay
	}
	w.reunite("a:1", "b:1", "d:1")
	w.run(3*time.Second, nil)
	w.mustBeSound(t)
}

// TestMembershipChosenInAnEndedGenerationIsNoVoteInTheNext: a is gone and c leaves, but stops once it has chosen that d
// takes its place. A status round of d, held up by a, begins then and ends when b has installed generation 2 on d.
func TestMembershipChosenInAnEndedGenerationIsNoVoteInTheNext(t *testing.T) {
	w := newFoundedWorld(t, "a:1", "b:1", "c:1")
	w.remove("a:1")
	w.start("d:1", false)
	w.run(800*time.Millisecond, nil)
	w.ask("c:1", func(m *Machine, ticket uint64) { m.Leave(w.now, ticket) }, func(Result) {})
	accepted := func(address string) bool {
		return w.nodes[address].machine.durable.Registers[membershipKey].GetAccepted() != nil
	}
	w.run(time.Second, func() bool { return accepted("b:1") && accepted("c:1") })
	w.crash("c:1", true)
	w.restart("c:1")
	w.run(2*time.Second, nil)
	w.mustBeSound(t)
	w.run(4*time.Second, nil) // c comes in again, in the place of a
	if w.check.newest.Generation != 3 || !w.check.complete(w.check.newest) {
		t.Fatalf("after generation 2 there is no other: %s", describeIDs(w.check.newest))
	}
}

// TestLateQuestionOfALostLearnerReplacesNobody: c loses its disk twice; a question of the identity between arrives when the
// last one is a voter at the address.
func TestLateQuestionOfALostLearnerReplacesNobody(t *testing.T) {
	w := newFoundedWorld(t, "a:1", "b:1", "c:1")
	w.mustChange(t, "a:1", "k", "one;", time.Second)
	w.wipe("c:1")
	w.start("c:1", false)
	w.intercept = func(m message) verdict {
		if m.reply != nil || m.from != "c:1" || !m.request.GetStatus().GetCaughtUp() {
			return verdict{}
		}
		return verdict{delay: 3 * time.Second}
	}
	w.run(700*time.Millisecond, nil) // the first identity has asked
	w.wipe("c:1")
	w.intercept = nil
	w.start("c:1", false)
	w.run(time.Second, nil) // the second is a voter
	first := w.check.newest
	w.run(4*time.Second, nil)
	w.mustBeSound(t)
	if w.check.newest != first {
		t.Fatalf("%s follows %s", describeIDs(w.check.newest), describeIDs(first))
	}
}

// TestTwoCoordinatorsChooseOneGeneration: c is gone; only a hears of d, only b hears of e, and messages between a and b
// take longer than the pause between their attempts.
func TestTwoCoordinatorsChooseOneGeneration(t *testing.T) {
	w := newFoundedWorld(t, "a:1", "b:1", "c:1")
	w.mustChange(t, "a:1", "k", "one;", time.Second)
	w.start("d:1", false)
	w.start("e:1", false)
	w.run(time.Second, nil) // both learn of the voters
	w.crash("c:1", true)
	w.intercept = func(m message) verdict {
		status := m.request.GetStatus()
		switch {
		case status != nil && (m.from == "d:1" && m.to == "b:1" || m.from == "e:1" && m.to == "a:1"):
			return verdict{lost: true}
		case status == nil && m.reply == nil:
			return verdict{delay: 300 * time.Millisecond}
		}
		return verdict{}
	}
	w.run(5*time.Second, nil)
	w.mustBeSound(t)
	w.intercept = nil
	w.run(4*time.Second, nil)
	w.mustBeSound(t)
	if w.check.newest.Generation < 2 || !w.check.complete(w.check.newest) {
		t.Fatalf("the newest is %s", describeIDs(w.check.newest))
	}
}

package replica

import (
	"testing"
	"time"
)

// TestFounderThatLostItsDiskFoundsNothingBesideTheFirstGeneration: b and c are cut off when a, the founder, and d and e
// begin generation 1 and take a change. a then loses its disk and hears from b and c only, which still wait for it.
func TestFounderThatLostItsDiskFoundsNothingBesideTheFirstGeneration(t *testing.T) {
	sim := newSimulation(1, "a:1", "b:1", "c:1")
	sim.log = t.Logf
	sim.bootstrap("a:1", "b:1", "c:1", "d:1", "e:1")
	sim.run(500*time.Millisecond, nil) // all have asked the founder
	for _, cut := range []string{"b:1", "c:1"} {
		sim.isolate(cut, "a:1", "d:1", "e:1")
	}
	sim.run(2*time.Second, nil)
	sim.request("a:1", "k", "one;", func(Result) {})
	sim.run(time.Second, nil)
	sim.wipe("a:1")
	sim.start("a:1", false)
	sim.isolate("a:1", "d:1", "e:1")
	for _, cut := range []string{"b:1", "c:1"} {
		sim.reconnect(cut, "a:1")
	}
	sim.run(4*time.Second, nil)
	sim.mustHaveNoViolation(t)
}

// TestFirstGenerationIsToldOnlyFromDisk: a tells of generation 1 while saving it, crashes before it is saved, and b loses
// its disk; whoever had heard of that generation told b that all was founded, and nothing ever was.
func TestFirstGenerationIsToldOnlyFromDisk(t *testing.T) {
	sim := newSimulation(1, "a:1", "b:1", "c:1")
	sim.log = t.Logf
	sim.saveDelay = func(n *node) time.Duration {
		if n.address == "a:1" && sim.now > 500*time.Millisecond && sim.now < 2*time.Second {
			return time.Second
		}
		return simSaveDelay
	}
	sim.bootstrap("a:1", "b:1", "c:1", "d:1")
	sim.run(1500*time.Millisecond, nil)
	sim.crash("a:1", false)
	sim.wipe("b:1")
	sim.run(100*time.Millisecond, nil)
	sim.start("a:1", false)
	sim.start("b:1", false)
	sim.run(4*time.Second, nil)
	sim.mustHaveNoViolation(t)
	for _, address := range sim.names {
		if n := sim.nodes[address]; n.machine.durable.Membership == nil {
			t.Errorf("%s has no vote", address)
		}
	}
}

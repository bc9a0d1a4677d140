package replica

import (
	"testing"
	"time"
)

// TestFounderThatLostItsDiskFoundsNothingBesideTheFirstGeneration isolates b and c while the bootstrap leader a creates
// generation 1 and accepts a change together with d and e. Then a loses its disk and reaches only b and c, which still
// wait for the first generation. It must not create a second one.
func TestFounderThatLostItsDiskFoundsNothingBesideTheFirstGeneration(t *testing.T) {
	sim := newSimulation(1, "a:1", "b:1", "c:1")
	sim.log = t.Logf
	sim.bootstrap("a:1", "b:1", "c:1", "d:1", "e:1")
	sim.run(500*time.Millisecond, nil) // all have sent a request to the leader
	for _, address := range []string{"b:1", "c:1"} {
		sim.isolate(address, "a:1", "d:1", "e:1")
	}
	sim.run(2*time.Second, nil)
	sim.requestChange("a:1", "k", "one;", func(Result) {})
	sim.run(time.Second, nil)
	sim.wipe("a:1")
	sim.start("a:1", false)
	sim.isolate("a:1", "d:1", "e:1")
	for _, address := range []string{"b:1", "c:1"} {
		sim.reconnect(address, "a:1")
	}
	sim.run(4*time.Second, nil)
	sim.mustHaveNoViolation(t)
}

// TestFirstGenerationIsToldOnlyFromDisk crashes a while it is saving generation 1, and b loses its disk. Had a reported
// the generation before it was on disk, others would tell b that the bootstrap is over, and it would never finish.
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
			t.Errorf("%s is not a voter", address)
		}
	}
}

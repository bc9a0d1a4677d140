package replica

import (
	"testing"
	"time"
)

// TestFounderThatLostItsDiskFoundsNothingBesideTheFirstGeneration: b and c are cut off when a, the founder, and d and e
// begin generation 1 and take a change. a then loses its disk and hears from b and c only, which still wait for it.
func TestFounderThatLostItsDiskFoundsNothingBesideTheFirstGeneration(t *testing.T) {
	w := newWorld(1, "a:1", "b:1", "c:1")
	w.log = t.Logf
	w.found("a:1", "b:1", "c:1", "d:1", "e:1")
	w.run(500*time.Millisecond, nil) // all have asked the founder
	for _, cut := range []string{"b:1", "c:1"} {
		w.isolate(cut, "a:1", "d:1", "e:1")
	}
	w.run(2*time.Second, nil)
	w.request("a:1", "k", "one;", func(Result) {})
	w.run(time.Second, nil)
	w.wipe("a:1")
	w.start("a:1", false)
	w.isolate("a:1", "d:1", "e:1")
	for _, cut := range []string{"b:1", "c:1"} {
		w.reunite(cut, "a:1")
	}
	w.run(4*time.Second, nil)
	w.mustBeSound(t)
}

// TestFirstGenerationIsToldOnlyFromDisk: a tells of generation 1 while saving it, crashes before it is saved, and b loses
// its disk; whoever had heard of that generation told b that all was founded, and nothing ever was.
func TestFirstGenerationIsToldOnlyFromDisk(t *testing.T) {
	w := newWorld(1, "a:1", "b:1", "c:1")
	w.log = t.Logf
	w.saveDelay = func(n *node) time.Duration {
		if n.address == "a:1" && w.now > 500*time.Millisecond && w.now < 2*time.Second {
			return time.Second
		}
		return simSaveDelay
	}
	w.found("a:1", "b:1", "c:1", "d:1")
	w.run(1500*time.Millisecond, nil)
	w.crash("a:1", false)
	w.wipe("b:1")
	w.run(100*time.Millisecond, nil)
	w.start("a:1", false)
	w.start("b:1", false)
	w.run(4*time.Second, nil)
	w.mustBeSound(t)
	for _, address := range w.names {
		if n := w.nodes[address]; n.machine.durable.Membership == nil {
			t.Errorf("%s has no vote", address)
		}
	}
}

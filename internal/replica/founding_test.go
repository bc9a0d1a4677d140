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

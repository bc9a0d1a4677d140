package replica

import (
	"errors"
	"testing"
	"time"
)

// TestRefusalNeedsMajority isolates a, the owner of the key, while b takes the key over and changes it. A compare-and-set
// change at a must not be rejected on the basis of the outdated value.
func TestRefusalNeedsMajority(t *testing.T) {
	sim := newRunningSimulation(t, "a:1", "b:1", "c:1")
	sim.mustChange(t, "a:1", "k", "one;", time.Second)
	sim.isolate("a:1", "b:1", "c:1")
	sim.mustChange(t, "b:1", "k", "one;two;", 2*time.Second)
	var outcome Result
	sim.ask("a:1", func(m *Machine, ticket uint64) {
		m.Change(sim.now, ticket, "k", func(old []byte) ([]byte, error) { return nil, errMismatch })
	}, func(result Result) { outcome = result })
	sim.run(2*time.Second, nil)
	if errors.Is(outcome.Err, errMismatch) {
		t.Fatal("an isolated replica rejects a change on the basis of an outdated value")
	}
}

package replica

import (
	"errors"
	"testing"
	"time"
)

// TestRefusalNeedsMajority: a owns the key and is cut off; b takes over and changes it. A change at a that compares with
// the value must not be refused by the old one.
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
		t.Fatal("a replica that is cut off refuses a change by an old value")
	}
}

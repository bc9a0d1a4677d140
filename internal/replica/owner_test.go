package replica

import (
	"errors"
	"testing"
	"time"
)

// TestRefusalNeedsMajority: a owns the key and is cut off; b takes over and changes it. A change at a that compares with
// the value must not be refused by the old one.
func TestRefusalNeedsMajority(t *testing.T) {
	w := newFoundedWorld(t, "a:1", "b:1", "c:1")
	w.mustChange(t, "a:1", "k", "one;", time.Second)
	w.isolate("a:1", "b:1", "c:1")
	w.mustChange(t, "b:1", "k", "one;two;", 2*time.Second)
	var refused Result
	w.ask("a:1", func(m *Machine, ticket uint64) {
		m.Change(w.now, ticket, "k", func(old []byte) ([]byte, error) { return nil, errMismatch })
	}, func(result Result) { refused = result })
	w.run(2*time.Second, nil)
	if errors.Is(refused.Err, errMismatch) {
		t.Fatal("a replica that is cut off refuses a change by an old value")
	}
}

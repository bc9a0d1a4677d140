package replica

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

// TestAcceptIsSentAsDelta checks that the size of an accept request depends on the size of the change, not of the value.
func TestAcceptIsSentAsDelta(t *testing.T) {
	const valueBytes, changeBytes, maxSentBytes = 250_000, 200, 600
	random := rand.New(rand.NewPCG(1, 1))
	old := make([]byte, valueBytes)
	for i := range old {
		old[i] = byte(random.Uint32())
	}
	changed := bytes.Clone(old)
	for i := range changeBytes {
		changed[valueBytes/2+i] ^= 0x55
	}
	previous := &wire.Version{Term: &wire.Term{Number: 3, Owner: "a"}, Serial: 7, Value: old}
	version := &wire.Version{Term: previous.Term, Serial: 8, Value: changed}
	ask := newDeltaAsk("k", version, previous)
	if size := proto.Size(ask); size > maxSentBytes {
		t.Fatalf("%d bytes sent for a change of %d bytes", size, changeBytes)
	} else {
		t.Logf("%d bytes sent for a change of %d bytes in %d", size, changeBytes, valueBytes)
	}
	if got := resolveVersion(ask, previous); !proto.Equal(got, version) {
		t.Fatal("the delta yields a different value")
	}
	other := &wire.Version{Term: previous.Term, Serial: 6, Value: old}
	if resolveVersion(ask, other) != nil || resolveVersion(ask, nil) != nil {
		t.Fatal("a delta to a different base version was applied")
	}
}

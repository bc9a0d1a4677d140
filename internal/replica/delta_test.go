package replica

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

// What is sent for a change grows with the change, not with the value.
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
		t.Fatalf("%d bytes for a change of %d", size, changeBytes)
	} else {
		t.Logf("%d bytes for a change of %d in %d", size, changeBytes, valueBytes)
	}
	if got := resolveVersion(ask, previous); !proto.Equal(got, version) {
		t.Fatal("the difference gives another value")
	}
	other := &wire.Version{Term: previous.Term, Serial: 6, Value: old}
	if resolveVersion(ask, other) != nil || resolveVersion(ask, nil) != nil {
		t.Fatal("a difference to another version was applied")
	}
}

package storage

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

// FuzzFrame checks that Unframe does not panic, and that a message it accepts survives another Frame and Unframe.
func FuzzFrame(f *testing.F) {
	framed, err := Frame(&wire.Entry{Key: "bundle", Serial: 3, Value: []byte("value")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(framed)
	f.Add(framed[:len(framed)-1])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		entry := &wire.Entry{}
		if Unframe(raw, entry) != nil {
			return
		}
		reframed, err := Frame(entry)
		if err != nil {
			t.Fatal(err)
		}
		decoded := &wire.Entry{}
		if Unframe(reframed, decoded) != nil || !proto.Equal(entry, decoded) {
			t.Fatal("decoded message changed when it was encoded and decoded again")
		}
	})
}

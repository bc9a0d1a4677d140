package storage

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

func FuzzFrame(f *testing.F) {
	whole, err := Frame(&wire.Entry{Key: "bundle", Serial: 3, Value: []byte("value")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		entry := &wire.Entry{}
		if Unframe(raw, entry) != nil {
			return
		}
		again, err := Frame(entry)
		if err != nil {
			t.Fatal(err)
		}
		back := &wire.Entry{}
		if Unframe(again, back) != nil || !proto.Equal(entry, back) {
			t.Fatal("what was read could not be written and read again")
		}
	})
}

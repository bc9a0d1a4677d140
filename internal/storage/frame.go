package storage

import (
	"crypto/sha256"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

// Frame encodes a message together with its SHA-256 digest, so that Unframe
// detects a truncated or corrupted file.
func Frame(message proto.Message) ([]byte, error) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(body)
	return proto.Marshal(&wire.Record{Body: body, Digest: digest[:]})
}

// Unframe decodes into message what Frame encoded. It returns an error if the
// digest does not match.
func Unframe(raw []byte, message proto.Message) error {
	record := &wire.Record{}
	if err := proto.Unmarshal(raw, record); err != nil {
		return err
	}
	digest := sha256.Sum256(record.Body)
	if string(digest[:]) != string(record.Digest) {
		return errors.New("digest mismatch")
	}
	return proto.Unmarshal(record.Body, message)
}

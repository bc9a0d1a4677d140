package storage

import (
	"crypto/sha256"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

// Frame encodes a message together with its SHA-256 digest, for a file that may
// be torn or altered.
func Frame(message proto.Message) ([]byte, error) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(body)
	return proto.Marshal(&wire.Record{Body: body, Digest: digest[:]})
}

// Unframe decodes what Frame encoded. It returns an error if the digest doesn't
// match.
func Unframe(raw []byte, message proto.Message) error {
	record := &wire.Record{}
	if err := proto.Unmarshal(raw, record); err != nil {
		return err
	}
	digest := sha256.Sum256(record.Body)
	if string(digest[:]) != string(record.Digest) {
		return errors.New("digest does not fit")
	}
	return proto.Unmarshal(record.Body, message)
}

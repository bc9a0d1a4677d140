package config

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// largestUnpacked bounds the encoding of a packed message, in bytes.
const largestUnpacked = 64 << 20

// Pack returns a message's encoding, compressed. Links of nodes are thin, and all nodes want a new configuration at once.
func Pack(message proto.Message) ([]byte, error) {
	raw, err := proto.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	var packed bytes.Buffer
	compressor, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if _, err := compressor.Write(raw); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return packed.Bytes(), nil
}

// Unpack reads what Pack wrote into a message.
func Unpack(packed []byte, into proto.Message) error {
	decompressor := flate.NewReader(bytes.NewReader(packed))
	defer decompressor.Close()
	raw, err := io.ReadAll(io.LimitReader(decompressor, largestUnpacked+1))
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	if len(raw) > largestUnpacked {
		return errors.New("too large once decompressed")
	}
	return errors.Wrap(proto.Unmarshal(raw, into), "decode")
}

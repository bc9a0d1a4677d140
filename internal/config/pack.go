package config

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// maxUnpackedBytes bounds the size of a message after decompression.
const maxUnpackedBytes = 64 << 20

// Pack returns a message's compressed encoding. Compression is used because the links of nodes have little bandwidth and
// all nodes fetch a new configuration at the same time.
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

// Unpack decodes into a message what Pack encoded. It returns an error if the decompressed size is above
// maxUnpackedBytes.
func Unpack(packed []byte, into proto.Message) error {
	decompressor := flate.NewReader(bytes.NewReader(packed))
	defer decompressor.Close()
	raw, err := io.ReadAll(io.LimitReader(decompressor, maxUnpackedBytes+1))
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	if len(raw) > maxUnpackedBytes {
		return errors.New("decompressed message is too large")
	}
	return errors.Wrap(proto.Unmarshal(raw, into), "decode")
}

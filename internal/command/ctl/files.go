package ctl

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// readProto reads a file of protobuf JSON. Invalid contents give an invalidFileError.
func readProto(file string, into proto.Message) error {
	body, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := protojson.Unmarshal(body, into); err != nil {
		return invalidFileError{errors.Wrap(err, file)}
	}
	return nil
}

// printProto prints a message as indented JSON with sorted keys. It decodes and encodes the
// JSON once more, since the whitespace of protojson's output isn't stable.
func printProto(message proto.Message) error {
	body, err := protojson.Marshal(message)
	if err != nil {
		return err
	}
	var decoded any
	if err := json.Unmarshal(body, &decoded); err != nil {
		return err
	}
	body, err = json.MarshalIndent(decoded, "", "  ")
	fmt.Println(string(body))
	return err
}

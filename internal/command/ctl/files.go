package ctl

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

func readProto(file string, into proto.Message) error {
	body, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := protojson.Unmarshal(body, into); err != nil {
		return badFile{errors.Wrap(err, file)}
	}
	return nil
}

func printProto(message proto.Message) error {
	body, err := protojson.Marshal(message)
	if err != nil {
		return err
	}
	var plain any
	if err := json.Unmarshal(body, &plain); err != nil {
		return err
	}
	body, err = json.MarshalIndent(plain, "", "  ")
	fmt.Println(string(body))
	return err
}

// Command mint generates the Go code in proto/wire from proto/*.proto. It uses the
// generators declared as tools in go.mod, so it needs no protoc. Run it in the root folder
// of the project.
package main

import (
	"bytes"
	"context"
	"log"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	log.SetFlags(0)
	schemas, err := filepath.Glob("proto/*.proto")
	if err != nil || len(schemas) == 0 {
		log.Fatal("no schema found in proto/: run mint in the root folder of the project")
	}
	names := make([]string, len(schemas))
	for i, schema := range schemas {
		names[i] = filepath.Base(schema)
	}
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{"proto"}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), names...)
	if err != nil {
		log.Fatal(err)
	}
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: names, Parameter: proto.String("module=curlewreach")}
	seen := map[string]bool{}
	var add func(file protoreflect.FileDescriptor)
	add = func(file protoreflect.FileDescriptor) {
		if seen[file.Path()] {
			return
		}
		seen[file.Path()] = true
		for i := range file.Imports().Len() {
			add(file.Imports().Get(i).FileDescriptor)
		}
		request.ProtoFile = append(request.ProtoFile, protoutil.ProtoFromFileDescriptor(file))
	}
	for _, file := range files {
		add(file)
	}
	for _, plugin := range []string{"protoc-gen-go", "protoc-gen-connect-go"} {
		if err := generate(plugin, request); err != nil {
			log.Fatal(plugin, ": ", err)
		}
	}
}

// generate runs a generator plugin and writes the files that it returns.
func generate(plugin string, request *pluginpb.CodeGeneratorRequest) error {
	input, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	command := exec.Command("go", "tool", plugin)
	command.Stdin = bytes.NewReader(input)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return err
	}
	if response.Error != nil {
		log.Fatal(response.GetError())
	}
	for _, file := range response.File {
		if err := os.MkdirAll(filepath.Dir(file.GetName()), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(file.GetName(), []byte(file.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}

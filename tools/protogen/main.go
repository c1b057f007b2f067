// Command protogen compiles the .proto files and writes the generated code to mcmessage. It
// uses Go modules only, so that no protoc needs to be installed. Run it from the root of the
// repository after changing a .proto file; the build and CI use the committed output.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/pluginpb"
)

const (
	protoFolder     = "proto"
	generatedFolder = "mcmessage"
	filePermissions = 0o644
)

func main() {
	if err := run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	names, err := protoNames()
	if err != nil {
		return err
	}
	for _, name := range names {
		request, err := compile(ctx, name)
		if err != nil {
			return err
		}
		for _, plugin := range []string{"protoc-gen-go", "protoc-gen-go-grpc"} {
			if err := runPlugin(ctx, plugin, request); err != nil {
				return fmt.Errorf("%s for %s: %w", plugin, name, err)
			}
		}
	}
	return nil
}

func protoNames() ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(protoFolder, "*.proto"))
	for i, path := range paths {
		paths[i] = filepath.Base(path)
	}
	return paths, err
}

func compile(ctx context.Context, name string) ([]byte, error) {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{protoFolder}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(ctx, name)
	if err != nil {
		return nil, err
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{name},
		Parameter:      proto.String("paths=source_relative"),
	}
	for _, file := range files {
		request.ProtoFile = append(request.ProtoFile, protodesc.ToFileDescriptorProto(file))
	}
	return proto.Marshal(request)
}

func runPlugin(ctx context.Context, plugin string, request []byte) error {
	command := exec.CommandContext(ctx, "go", "tool", plugin)
	command.Stdin = bytes.NewReader(request)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return err
	}
	if response.GetError() != "" {
		return fmt.Errorf("generator: %s", strings.TrimSpace(response.GetError()))
	}
	for _, file := range response.GetFile() {
		path := filepath.Join(generatedFolder, file.GetName())
		if err := os.WriteFile(path, []byte(file.GetContent()), filePermissions); err != nil {
			return err
		}
	}
	return nil
}

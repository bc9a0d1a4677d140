package ctl

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"curlewreach/internal/bundle"
	"curlewreach/internal/listedcore"
	"curlewreach/proto/wire"
)

// submit submits a signed bundle from a file.
func (a *args) submit(ctx context.Context, client *listedcore.Client) error {
	sealed := &wire.Sealed{}
	if err := readProto(a.Submit.Sealed, sealed); err != nil {
		return err
	}
	return a.printOutcome(client.Submit(ctx, a.Submit.ID, sealed))
}

// apply drafts, signs and submits a change in one step.
func (a *args) apply(ctx context.Context, client *listedcore.Client) error {
	request, err := newDraftRequest(a.Apply.Base, a.Apply.Bundle, a.Apply.Change, a.Apply.Forsake)
	if err != nil {
		return err
	}
	key, err := readPrivateKey(a.Apply.Key)
	if err != nil {
		return err
	}
	return a.printOutcome(client.Apply(ctx, a.Apply.ID, request, key))
}

// adopt lets a controller recover from the only intact disk.
func (a *args) adopt(ctx context.Context, client *listedcore.Client) error {
	if len(a.controllers()) != 1 {
		return errors.New("adopt takes exactly one controller")
	}
	reply, err := client.Adopt(ctx)
	return a.printReply(reply, err, func() { fmt.Printf("%s is %s\n", reply.Keel, reply.Phase) })
}

// run writes a new private key to a file that only its owner can read, and prints the public
// key.
func (k *keygenArgs) run() error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	if err := os.WriteFile(k.Out, []byte(base64.StdEncoding.EncodeToString(private.Seed())+"\n"), 0o600); err != nil {
		return err
	}
	fmt.Println(base64.StdEncoding.EncodeToString(public))
	return nil
}

// run requests a draft, prints its differences, and writes it to a file if one is named.
func (d *draftArgs) run(ctx context.Context, client *listedcore.Client) error {
	request, err := newDraftRequest(d.Base, d.Bundle, d.Change, d.Forsake)
	if err != nil {
		return err
	}
	reply, err := client.Draft(ctx, request)
	if err != nil {
		return err
	}
	fmt.Println(strings.Join(reply.Difference, "\n"))
	if d.Out == "" {
		return nil
	}
	body, err := protojson.MarshalOptions{Multiline: true}.Marshal(reply)
	if err != nil {
		return err
	}
	return os.WriteFile(d.Out, body, 0o644)
}

// run signs a draft. It first checks that the manifest to sign belongs to the bundle that the
// draft shows, so that nothing unseen is signed.
func (s *signArgs) run() error {
	reply := &wire.DraftReply{}
	if err := readProto(s.Draft, reply); err != nil {
		return err
	}
	decoded, fault := bundle.Decode(reply.Sealed)
	if fault != nil {
		return fault
	}
	if !proto.Equal(decoded, reply.Bundle) {
		return errors.New("the manifest of the draft does not match the bundle that the draft shows")
	}
	key, err := readPrivateKey(s.Key)
	if err != nil {
		return err
	}
	bundle.Sign(reply.Sealed, key)
	body, err := protojson.Marshal(reply.Sealed)
	if err != nil {
		return err
	}
	return os.WriteFile(s.Out, body, 0o644)
}

// newDraftRequest returns the request for a draft on top of a base serial, with a bundle or a
// change read from files. With only forsaken machines given, the change drops them.
func newDraftRequest(serial uint64, bundleFile, changeFile string, forsaken []string) (*wire.DraftRequest, error) {
	request := &wire.DraftRequest{Base: serial, Forsaken: forsaken}
	if bundleFile != "" {
		request.Bundle = &wire.Bundle{}
		if err := readProto(bundleFile, request.Bundle); err != nil {
			return nil, err
		}
	}
	if changeFile == "" && bundleFile == "" && len(forsaken) > 0 {
		request.Change = &wire.Change{DropMachines: forsaken}
	}
	if changeFile != "" {
		request.Change = &wire.Change{}
		if err := readProto(changeFile, request.Change); err != nil {
			return nil, err
		}
	}
	return request, nil
}

// readPrivateKey reads a private key from a file that holds its seed in base64.
func readPrivateKey(file string) (ed25519.PrivateKey, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(body)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errors.Errorf("%s holds no base64-encoded Ed25519 private key", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

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

func (a *args) submit(ctx context.Context, client *listedcore.Client) error {
	sealed := &wire.Sealed{}
	if err := readProto(a.Submit.Sealed, sealed); err != nil {
		return err
	}
	return a.outcome(client.Submit(ctx, a.Submit.ID, sealed))
}

func (a *args) apply(ctx context.Context, client *listedcore.Client) error {
	request, err := request(a.Apply.Base, a.Apply.Bundle, a.Apply.Change, a.Apply.Forsake)
	if err != nil {
		return err
	}
	key, err := readKey(a.Apply.Key)
	if err != nil {
		return err
	}
	return a.outcome(client.Apply(ctx, a.Apply.ID, request, key))
}

func (a *args) adopt(ctx context.Context, client *listedcore.Client) error {
	if len(a.controllers()) != 1 {
		return errors.New("adopt takes exactly one controller")
	}
	reply, err := client.Adopt(ctx)
	return a.table(reply, err, func() { fmt.Printf("%s is %s\n", reply.Keel, reply.Phase) })
}

func (k *keygen) run() error {
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

func (d *draft) run(ctx context.Context, client *listedcore.Client) error {
	ask, err := request(d.Base, d.Bundle, d.Change, d.Forsake)
	if err != nil {
		return err
	}
	reply, err := client.Draft(ctx, ask)
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

func (s *sign) run() error {
	reply := &wire.DraftReply{}
	if err := readProto(s.Draft, reply); err != nil {
		return err
	}
	shown, fault := bundle.Decode(reply.Sealed)
	if fault != nil {
		return fault
	}
	if !proto.Equal(shown, reply.Bundle) {
		return errors.New("the manifest does not fit the bundle shown")
	}
	key, err := readKey(s.Key)
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

func request(serial uint64, signed, change string, forsaken []string) (*wire.DraftRequest, error) {
	ask := &wire.DraftRequest{Base: serial, Forsaken: forsaken}
	if signed != "" {
		ask.Bundle = &wire.Bundle{}
		if err := readProto(signed, ask.Bundle); err != nil {
			return nil, err
		}
	}
	if change == "" && signed == "" && len(forsaken) > 0 {
		ask.Change = &wire.Change{DropMachines: forsaken}
	}
	if change != "" {
		ask.Change = &wire.Change{}
		if err := readProto(change, ask.Change); err != nil {
			return nil, err
		}
	}
	return ask, nil
}

func readKey(file string) (ed25519.PrivateKey, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(body)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errors.Errorf("%s holds no private key", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

package bundle

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

const (
	// domain begins what is signed, so that a signature made for another
	// purpose doesn't fit.
	domain = "curlewreach bundle\n"
	// commonPart names the part with machines, shares and tracing params.
	commonPart = "common"
	// servePart begins the name of a service's part.
	servePart = "service/"
)

// Encode encodes a bundle in parts under a manifest with their SHA-256 digests.
// It isn't signed yet.
func Encode(b *wire.Bundle) (*wire.Sealed, error) {
	manifest := &wire.Manifest{Serial: b.Serial, Base: b.Base, Forsaken: b.Forsaken}
	sealed := &wire.Sealed{}
	add := func(name string, message proto.Message) error {
		body, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
		if err != nil {
			return err
		}
		digest := sha256.Sum256(body)
		manifest.Parts = append(manifest.Parts, &wire.PartDigest{Name: name, Digest: digest[:], Size: uint32(len(body))})
		sealed.Parts = append(sealed.Parts, &wire.Part{Name: name, Body: body})
		return nil
	}
	if err := add(commonPart, b.Common); err != nil {
		return nil, err
	}
	for _, service := range b.Services {
		if err := add(servePart+service.Name, service); err != nil {
			return nil, err
		}
	}
	var err error
	sealed.Manifest, err = proto.MarshalOptions{Deterministic: true}.Marshal(manifest)
	return sealed, err
}

// Sign signs the manifest.
func Sign(sealed *wire.Sealed, key ed25519.PrivateKey) {
	sealed.Signature = ed25519.Sign(key, append([]byte(domain), sealed.Manifest...))
	sealed.Signer = KeyID(key.Public().(ed25519.PublicKey))
}

// KeyID returns the short name of a public key: the first 8 bytes of its
// SHA-256 as hexadecimal digits.
func KeyID(key ed25519.PublicKey) string {
	digest := sha256.Sum256(key)
	return hex.EncodeToString(digest[:8])
}

// Trust holds the public keys whose signatures are accepted, by their short
// names.
type Trust map[string]ed25519.PublicKey

// NewTrust returns the trust in public keys given as base64.
func NewTrust(keys []string) (Trust, error) {
	trust := Trust{}
	for _, text := range keys {
		raw, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			return nil, errors.Errorf("%q is not a public key", text)
		}
		trust[KeyID(raw)] = raw
	}
	return trust, nil
}

// Verify checks signature and digests, and returns the manifest. The error is
// of kind Unsigned, Untrusted or Malformed. Parts may be missing, as in a
// slice, but none may be altered or added.
func (t Trust) Verify(sealed *wire.Sealed) (*wire.Manifest, *base.Fault) {
	if len(sealed.GetSignature()) == 0 {
		return nil, base.NewFault(base.Unsigned, "sealed.signature", "the manifest is not signed")
	}
	key, ok := t[sealed.Signer]
	if !ok {
		return nil, base.NewFault(base.Untrusted, "sealed.signer", "signer %q is not trusted here", sealed.Signer)
	}
	if !ed25519.Verify(key, append([]byte(domain), sealed.Manifest...), sealed.Signature) {
		return nil, base.NewFault(base.Untrusted, "sealed.signature", "the signature does not fit the manifest")
	}
	return digests(sealed)
}

func digests(sealed *wire.Sealed) (*wire.Manifest, *base.Fault) {
	manifest := &wire.Manifest{}
	if err := proto.Unmarshal(sealed.Manifest, manifest); err != nil {
		return nil, base.NewFault(base.Malformed, "sealed.manifest", "%s", err)
	}
	listed := map[string][]byte{}
	for _, part := range manifest.Parts {
		listed[part.Name] = part.Digest
	}
	for _, part := range sealed.Parts {
		digest := sha256.Sum256(part.Body)
		if !bytes.Equal(listed[part.Name], digest[:]) {
			return nil, base.NewFault(base.Malformed, "sealed.parts", "part %q does not fit the manifest", part.Name)
		}
		delete(listed, part.Name)
	}
	return manifest, nil
}

// IsComplete reports whether no part is missing. The digests must have been
// verified.
func IsComplete(sealed *wire.Sealed, manifest *wire.Manifest) bool {
	return len(sealed.Parts) == len(manifest.Parts)
}

// Decode decodes the parts after checking their digests, but not the signature.
// The error is of kind Malformed.
func Decode(sealed *wire.Sealed) (*wire.Bundle, *base.Fault) {
	manifest, fault := digests(sealed)
	if fault != nil {
		return nil, fault
	}
	b := &wire.Bundle{Serial: manifest.Serial, Base: manifest.Base, Forsaken: manifest.Forsaken}
	for _, part := range sealed.Parts {
		if part.Name == commonPart {
			b.Common = &wire.Common{}
			if err := proto.Unmarshal(part.Body, b.Common); err != nil {
				return nil, base.NewFault(base.Malformed, "sealed.parts", "%s: %s", part.Name, err)
			}
			continue
		}
		service := &wire.Service{}
		if err := proto.Unmarshal(part.Body, service); err != nil {
			return nil, base.NewFault(base.Malformed, "sealed.parts", "%s: %s", part.Name, err)
		}
		if servePart+service.Name != part.Name {
			return nil, base.NewFault(base.Malformed, "sealed.parts", "part %q holds service %q", part.Name, service.Name)
		}
		b.Services = append(b.Services, service)
	}
	if b.Common == nil {
		return nil, base.NewFault(base.Malformed, "sealed.parts", "the common part is missing")
	}
	return b, nil
}

// Slice returns a bundle with the common part and the services of concern only.
// Its signature still holds.
func Slice(sealed *wire.Sealed, concerns func(service string) bool) *wire.Sealed {
	slice := &wire.Sealed{Manifest: sealed.Manifest, Signature: sealed.Signature, Signer: sealed.Signer}
	for _, part := range sealed.Parts {
		if part.Name == commonPart || concerns(part.Name[len(servePart):]) {
			slice.Parts = append(slice.Parts, part)
		}
	}
	return slice
}

// Digest returns the first 8 bytes of the manifest's SHA-256 as hexadecimal
// digits, or "" for nil.
func Digest(sealed *wire.Sealed) string {
	if sealed == nil {
		return ""
	}
	digest := sha256.Sum256(sealed.Manifest)
	return hex.EncodeToString(digest[:8])
}

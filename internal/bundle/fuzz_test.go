package bundle

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

// FuzzBundle checks that a bundle accepted by Check is unchanged after it is encoded
// and decoded, that its routes match their own templates, and that its tracing params
// are usable.
func FuzzBundle(f *testing.F) {
	RegisterTestingT(f)
	for _, name := range []string{"library", "gauge"} {
		body, err := protojson.Marshal(loadExample(name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Add([]byte(`{"common":{"machines":[{"name":"a","address":"1.2.3.4:5","zone":"a"}],"tracing":{"sample":"NaN","budget":"Infinity","epsilon":-0.0}}}`))
	f.Add([]byte(`{"services":[{"name":"a","routes":[{"name":"r","path":"/{x}/{y}","deadline":"-1s"},{"name":"r","path":"/"}]}]}`))
	f.Add([]byte(`{"forsaken":["a","a"],"common":{"shares":[{"group":"g","carried":1e308,"watched":-1}]}}`))
	limits := DefaultLimits(6 * time.Second)
	f.Fuzz(func(t *testing.T, body []byte) {
		b := &wire.Bundle{}
		if protojson.Unmarshal(body, b) != nil {
			return
		}
		SetDefaults(b, limits)
		if Check(b, limits) != nil {
			return
		}
		sealed, err := Encode(b)
		if err != nil {
			t.Fatal(err)
		}
		decoded, fault := Decode(sealed)
		if fault != nil {
			t.Fatal(fault)
		}
		if !proto.Equal(b, decoded) {
			t.Fatal("a valid bundle changed by encoding and decoding")
		}
		checkSelfMatch(t, b, Index(sealed, decoded))
		if tracing := b.Common.Tracing; !validTracing(tracing) {
			t.Fatalf("invalid tracing params passed: %v", tracing)
		}
	})
}

// validTracing reports whether the tracing params are usable by nodes.
func validTracing(t *wire.Tracing) bool {
	return t.Epsilon > 0 && t.Epsilon <= 1 && t.Budget >= 1 && t.Sample > 0
}

// checkSelfMatch fails the test if a route's own template is matched by another route.
func checkSelfMatch(t *testing.T, b *wire.Bundle, index *Bundle) {
	for _, service := range b.Services {
		for _, route := range service.Routes {
			match, known := index.Match(route.Method, route.Path)
			if known && (match.Service.Name != service.Name || match.Route.Name != route.Name) {
				t.Fatalf("%s matched %s", route.Path, match.Identifier())
			}
		}
	}
}

// FuzzSealed checks that no bytes decode to a bundle that verifies with another
// manifest than the signed one, and that whatever decodes can be indexed and changed.
func FuzzSealed(f *testing.F) {
	RegisterTestingT(f)
	key, trust := testKey(1)
	sealed := encodeAndSign(loadExample("library"), key)
	encoded, err := proto.Marshal(sealed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add(encoded[:len(encoded)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		received := &wire.Sealed{}
		if proto.Unmarshal(raw, received) != nil {
			return
		}
		manifest, fault := trust.Verify(received)
		decoded, _ := Decode(received)
		if fault == nil && string(received.Manifest) != string(sealed.Manifest) {
			t.Fatalf("verified a manifest that was not signed: serial %d", manifest.Serial)
		}
		if decoded != nil {
			Index(received, decoded)
			Apply(decoded, &wire.Change{DropServices: []string{"lending"}, Machines: decoded.GetCommon().GetMachines()})
		}
	})
}

// FuzzMatch checks that matching any method and path doesn't panic and returns a
// route of that method.
func FuzzMatch(f *testing.F) {
	RegisterTestingT(f)
	sealed, err := Encode(loadExample("library"))
	if err != nil {
		f.Fatal(err)
	}
	decoded, _ := Decode(sealed)
	index := Index(sealed, decoded)
	for _, path := range []string{"/catalogue/search", "/lending/borrow/7", "//", "/%2e%2e/lending", "/lending/borrow/", "\xff"} {
		f.Add("GET", path)
	}
	f.Fuzz(func(t *testing.T, method, path string) {
		match, known := index.Match(method, path)
		if known && (match.Route.Method != method || match.Service == nil) {
			t.Fatalf("%s %s matched %s %s", method, path, match.Route.Method, match.Route.Path)
		}
	})
}

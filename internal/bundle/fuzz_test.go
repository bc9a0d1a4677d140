package bundle

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

func FuzzBundle(f *testing.F) {
	RegisterTestingT(f)
	for _, name := range []string{"library", "gauge"} {
		body, err := protojson.Marshal(example(name))
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
		opened, fault := Decode(sealed)
		if fault != nil {
			t.Fatal(fault)
		}
		if !proto.Equal(b, opened) {
			t.Fatal("a bundle that passed its checks changed on the way")
		}
		matchesItself(t, b, Index(sealed, opened))
		if tracing := b.Common.Tracing; !lawful(tracing) {
			t.Fatalf("unlawful tracing passed: %v", tracing)
		}
	})
}

// lawful reports whether nodes can work with the tracing params.
func lawful(t *wire.Tracing) bool {
	return t.Epsilon > 0 && t.Epsilon <= 1 && t.Budget >= 1 && t.Sample > 0
}

// matchesItself fails the test if a route's own template is matched by another route.
func matchesItself(t *testing.T, b *wire.Bundle, index *Bundle) {
	for _, service := range b.Services {
		for _, route := range service.Routes {
			way, known := index.Match(route.Method, route.Path)
			if known && (way.Service.Name != service.Name || way.Route.Name != route.Name) {
				t.Fatalf("%s matched %s", route.Path, way.Identifier())
			}
		}
	}
}

func FuzzSealed(f *testing.F) {
	RegisterTestingT(f)
	key, trust := keys(1)
	sealed := signed(example("library"), key)
	whole, err := proto.Marshal(sealed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		got := &wire.Sealed{}
		if proto.Unmarshal(raw, got) != nil {
			return
		}
		manifest, fault := trust.Verify(got)
		opened, _ := Decode(got)
		if fault == nil && string(got.Manifest) != string(sealed.Manifest) {
			t.Fatalf("verified what was never signed: serial %d", manifest.Serial)
		}
		if opened != nil {
			Index(got, opened)
			Apply(opened, &wire.Change{DropServices: []string{"lending"}, Machines: opened.GetCommon().GetMachines()})
		}
	})
}

func FuzzMatch(f *testing.F) {
	RegisterTestingT(f)
	sealed, err := Encode(example("library"))
	if err != nil {
		f.Fatal(err)
	}
	opened, _ := Decode(sealed)
	index := Index(sealed, opened)
	for _, path := range []string{"/catalogue/search", "/lending/borrow/7", "//", "/%2e%2e/lending", "/lending/borrow/", "\xff"} {
		f.Add("GET", path)
	}
	f.Fuzz(func(t *testing.T, method, path string) {
		way, known := index.Match(method, path)
		if known && (way.Route.Method != method || way.Service == nil) {
			t.Fatalf("%s %s matched %s %s", method, path, way.Route.Method, way.Route.Path)
		}
	})
}

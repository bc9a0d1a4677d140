package config

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"curlewreach/proto/wire"
)

// drawValid draws a configuration with unique, non-empty names.
func drawValid(t *rapid.T, serial uint64) *wire.Configuration {
	c := drawConfiguration(t, serial, serial-1)
	names := map[string]bool{}
	c.Routes = slices.DeleteFunc(c.Routes, func(r *wire.ConfigurationRoute) bool { return r.Name == "" || seenBefore(names, r.Name) })
	if rapid.Bool().Draw(t, "limits") {
		c.Limits = &wire.ConfigurationLimits{IdleMs: rapid.SampledFrom([]float64{1000, 15000}).Draw(t, "idle")}
	}
	services := map[string]bool{}
	c.Services = slices.DeleteFunc(c.Services, func(s *wire.ConfigurationService) bool { return seenBefore(services, s.Name) })
	return c
}

// seenBefore adds a name to the set and reports whether it was already there.
func seenBefore(names map[string]bool, name string) bool {
	known := names[name]
	names[name] = true
	return known
}

// shareRoutes makes the routes of to those of from, in reverse order, plus at most one route of its own.
func shareRoutes(to, from *wire.Configuration) {
	names := map[string]bool{}
	to.Routes = append(slices.Clone(from.Routes), to.Routes[:min(len(to.Routes), 1)]...)
	to.Routes = slices.DeleteFunc(to.Routes, func(r *wire.ConfigurationRoute) bool { return seenBefore(names, r.Name) })
	slices.Reverse(to.Routes)
}

// sameItems reports whether two configurations have the same serial, base and routes, in any order.
func sameItems(a, b *wire.Configuration) bool {
	if len(a.Routes) != len(b.Routes) || a.Serial != b.Serial || a.Base != b.Base {
		return false
	}
	return !slices.ContainsFunc(a.Routes, func(route *wire.ConfigurationRoute) bool {
		index := slices.IndexFunc(b.Routes, func(r *wire.ConfigurationRoute) bool { return r.Name == route.Name })
		return index < 0 || !proto.Equal(b.Routes[index], route)
	})
}

// TestApplyOfDiffRestoresTheConfiguration draws pairs of configurations, some of which share routes in a different order,
// and expects that applying their difference to one gives the other.
func TestApplyOfDiffRestoresTheConfiguration(t *testing.T) {
	diffs := 0
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawValid(t, 5), drawValid(t, 7)
		if rapid.Bool().Draw(t, "related") {
			shareRoutes(to, from)
		}
		change := Diff(from, to)
		if change == nil {
			if to.Limits == nil && from.Limits != nil {
				return // a change cannot remove limits
			}
			t.Fatalf("no difference from %v to %v", from, to)
		}
		diffs++
		result := Apply(from, change)
		if Fingerprint(result) != Fingerprint(to) || !sameItems(result, to) {
			t.Fatalf("change %v results in %v, want %v", change, result, to)
		}
	})
	if diffs < 20 {
		t.Fatalf("only %d of the drawn pairs had a difference to check", diffs)
	}
}

func TestFingerprintIgnoresOrderAndDetectsChanges(t *testing.T) {
	same, other := exampleConfiguration(), exampleConfiguration()
	slices.Reverse(same.Routes)
	other.Routes[0].CutoffMs++
	if Fingerprint(exampleConfiguration()) != Fingerprint(same) {
		t.Error("the fingerprint depends on the order of routes")
	}
	if Fingerprint(exampleConfiguration()) == Fingerprint(other) {
		t.Error("the fingerprint does not depend on a route's timeout")
	}
}

func TestUnpackRestoresAPackedConfiguration(t *testing.T) {
	packed, err := Pack(exampleConfiguration())
	if err != nil {
		t.Fatal(err)
	}
	read := &wire.Configuration{}
	if err := Unpack(packed, read); err != nil || !proto.Equal(read, exampleConfiguration()) {
		t.Fatalf("unpacked %v, error %v", read, err)
	}
	for _, corrupted := range [][]byte{nil, packed[:len(packed)/2], append([]byte{255}, packed...)} {
		if err := Unpack(corrupted, &wire.Configuration{}); err == nil {
			t.Errorf("%d corrupted bytes were unpacked without an error", len(corrupted))
		}
	}
}

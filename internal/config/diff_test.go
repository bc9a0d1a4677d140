package config

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"curlewreach/proto/wire"
)

// drawValid draws a configuration that may be in force.
func drawValid(t *rapid.T, serial uint64) *wire.Configuration {
	c := drawWhole(t, serial, serial-1)
	names := map[string]bool{}
	c.Routes = slices.DeleteFunc(c.Routes, func(r *wire.ConfigurationRoute) bool { return r.Name == "" || seenBefore(names, r.Name) })
	if rapid.Bool().Draw(t, "limits") {
		c.Limits = &wire.ConfigurationLimits{IdleMs: rapid.SampledFrom([]float64{1000, 15000}).Draw(t, "idle")}
	}
	services := map[string]bool{}
	c.Services = slices.DeleteFunc(c.Services, func(s *wire.ConfigurationService) bool { return seenBefore(services, s.Name) })
	return c
}

// seenBefore notes a name and says whether it was noted before.
func seenBefore(names map[string]bool, name string) bool {
	known := names[name]
	names[name] = true
	return known
}

// relate gives a configuration the routes of another, in reverse order, and one of its own.
func relate(to, from *wire.Configuration) {
	names := map[string]bool{}
	to.Routes = append(slices.Clone(from.Routes), to.Routes[:min(len(to.Routes), 1)]...)
	to.Routes = slices.DeleteFunc(to.Routes, func(r *wire.ConfigurationRoute) bool { return seenBefore(names, r.Name) })
	slices.Reverse(to.Routes)
}

// sameItems says whether configurations hold the same routes, in any order, under the same numbers.
func sameItems(a, b *wire.Configuration) bool {
	if len(a.Routes) != len(b.Routes) || a.Serial != b.Serial || a.Base != b.Base {
		return false
	}
	return !slices.ContainsFunc(a.Routes, func(route *wire.ConfigurationRoute) bool {
		at := slices.IndexFunc(b.Routes, func(r *wire.ConfigurationRoute) bool { return r.Name == route.Name })
		return at < 0 || !proto.Equal(b.Routes[at], route)
	})
}

// TestApplyOfADiffLeadsToTheSameConfiguration draws pairs of configurations, some with their items in another order.
func TestApplyOfADiffLeadsToTheSameConfiguration(t *testing.T) {
	diffs := 0
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawValid(t, 5), drawValid(t, 7)
		if rapid.Bool().Draw(t, "related") {
			relate(to, from)
		}
		change := Diff(from, to)
		if change == nil {
			if to.Limits == nil && from.Limits != nil {
				return // a change can't take limits away
			}
			t.Fatalf("no change leads from %v to %v", from, to)
		}
		diffs++
		led := Apply(from, change)
		if Fingerprint(led) != Fingerprint(to) || !sameItems(led, to) {
			t.Fatalf("the change %v leads to %v, not %v", change, led, to)
		}
	})
	if diffs < 20 {
		t.Fatalf("only %d changes were drawn", diffs)
	}
}

func TestFingerprintsTellConfigurationsApart(t *testing.T) {
	same, other := example(), example()
	slices.Reverse(same.Routes)
	other.Routes[0].CutoffMs++
	if Fingerprint(example()) != Fingerprint(same) {
		t.Error("the order of routes changes the fingerprint")
	}
	if Fingerprint(example()) == Fingerprint(other) {
		t.Error("another cutoff leaves the fingerprint as it was")
	}
}

func TestPackedConfigurationsAreReadBack(t *testing.T) {
	packed, err := Pack(example())
	if err != nil {
		t.Fatal(err)
	}
	read := &wire.Configuration{}
	if err := Unpack(packed, read); err != nil || !proto.Equal(read, example()) {
		t.Fatalf("read %v, %v", read, err)
	}
	for _, spoilt := range [][]byte{nil, packed[:len(packed)/2], append([]byte{255}, packed...)} {
		if err := Unpack(spoilt, &wire.Configuration{}); err == nil {
			t.Errorf("%d spoilt bytes were read", len(spoilt))
		}
	}
}

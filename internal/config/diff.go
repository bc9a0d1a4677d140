package config

import (
	"cmp"
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

// Diff returns the change that turns one configuration into another, or nil if a change of named items cannot express it.
// Applying the change results in a configuration with the same fingerprint as to; the order of its items may differ.
func Diff(from, to *wire.Configuration) *wire.ConfigurationChange {
	change := &wire.ConfigurationChange{Serial: to.GetSerial(), Base: to.GetBase()}
	change.Routes, change.DropRoutes = diffByName(from.GetRoutes(), to.GetRoutes(), (*wire.ConfigurationRoute).GetName)
	change.Services, change.DropServices = diffByName(from.GetServices(), to.GetServices(), (*wire.ConfigurationService).GetName)
	if !proto.Equal(from.GetLimits(), to.GetLimits()) {
		change.Limits = to.GetLimits()
	}
	if Fingerprint(Apply(from, change)) != Fingerprint(to) {
		return nil
	}
	return change
}

// diffByName returns the items to add or replace and the names to remove that turn one list into another.
func diffByName[T proto.Message](from, to []T, name func(T) string) (upserts []T, removals []string) {
	before := make(map[string]T, len(from))
	for _, item := range from {
		before[name(item)] = item
	}
	for _, item := range to {
		old, known := before[name(item)]
		delete(before, name(item))
		if !known || !proto.Equal(old, item) {
			upserts = append(upserts, item)
		}
	}
	for _, item := range from {
		if _, removed := before[name(item)]; removed {
			removals = append(removals, name(item))
			delete(before, name(item))
		}
	}
	return upserts, removals
}

// Fingerprint returns a 64-bit hash of a configuration that does not depend on the order of its items.
func Fingerprint(c *wire.Configuration) uint64 {
	sorted := &wire.Configuration{
		Serial: c.GetSerial(), Base: c.GetBase(), Limits: c.GetLimits(),
		Routes: slices.Clone(c.GetRoutes()), Services: slices.Clone(c.GetServices()),
	}
	slices.SortStableFunc(sorted.Routes, func(a, b *wire.ConfigurationRoute) int { return cmp.Compare(a.GetName(), b.GetName()) })
	slices.SortStableFunc(sorted.Services, func(a, b *wire.ConfigurationService) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return binary.BigEndian.Uint64(Digest(sorted))
}

package config

import (
	"cmp"
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

// Diff returns the change that leads from one configuration to another, or nil if no change of named items does. Apply of
// the change gives a configuration with the same fingerprint; the order of its items may differ.
func Diff(from, to *wire.Configuration) *wire.ConfigurationChange {
	change := &wire.ConfigurationChange{Serial: to.GetSerial(), Base: to.GetBase()}
	change.Routes, change.DropRoutes = diffItems(from.GetRoutes(), to.GetRoutes(), (*wire.ConfigurationRoute).GetName)
	change.Services, change.DropServices = diffItems(from.GetServices(), to.GetServices(), (*wire.ConfigurationService).GetName)
	if !proto.Equal(from.GetLimits(), to.GetLimits()) {
		change.Limits = to.GetLimits()
	}
	if Fingerprint(Apply(from, change)) != Fingerprint(to) {
		return nil
	}
	return change
}

// diffItems returns the items to put and the names to drop that lead from one list to another.
func diffItems[T proto.Message](from, to []T, name func(T) string) (put []T, dropped []string) {
	before := make(map[string]T, len(from))
	for _, item := range from {
		before[name(item)] = item
	}
	for _, item := range to {
		old, known := before[name(item)]
		delete(before, name(item))
		if !known || !proto.Equal(old, item) {
			put = append(put, item)
		}
	}
	for _, item := range from {
		if _, gone := before[name(item)]; gone {
			dropped = append(dropped, name(item))
			delete(before, name(item))
		}
	}
	return put, dropped
}

// Fingerprint returns 64 bits that tell configurations apart whatever the order of their items.
func Fingerprint(c *wire.Configuration) uint64 {
	sorted := &wire.Configuration{
		Serial: c.GetSerial(), Base: c.GetBase(), Limits: c.GetLimits(),
		Routes: slices.Clone(c.GetRoutes()), Services: slices.Clone(c.GetServices()),
	}
	slices.SortStableFunc(sorted.Routes, func(a, b *wire.ConfigurationRoute) int { return cmp.Compare(a.GetName(), b.GetName()) })
	slices.SortStableFunc(sorted.Services, func(a, b *wire.ConfigurationService) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return binary.BigEndian.Uint64(Digest(sorted))
}

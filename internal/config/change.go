// Package config holds the configuration of an open fleet: routes, services and
// limits, called a configuration on the wire. It checks one, applies a change to one,
// and looks requests up in it.
package config

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

// Apply returns the configuration that a change leads to. The old one, which
// may be nil, is left as it is.
func Apply(old *wire.Configuration, change *wire.ConfigurationChange) *wire.Configuration {
	next := &wire.Configuration{
		Serial: change.GetSerial(), Base: change.GetBase(), Limits: old.GetLimits(),
		Routes:   merge(old.GetRoutes(), change.GetRoutes(), change.GetDropRoutes(), (*wire.ConfigurationRoute).GetName),
		Services: merge(old.GetServices(), change.GetServices(), change.GetDropServices(), (*wire.ConfigurationService).GetName),
	}
	if change.GetLimits() != nil {
		next.Limits = change.Limits
	}
	return proto.Clone(next).(*wire.Configuration)
}

func merge[T any](current, put []T, drop []string, name func(T) string) []T {
	dropped := make(map[string]bool, len(drop))
	for _, each := range drop {
		dropped[each] = true
	}
	merged := make([]T, 0, len(current)+len(put))
	at := make(map[string]int, len(current)+len(put))
	for _, item := range current {
		if !dropped[name(item)] {
			at[name(item)] = len(merged)
			merged = append(merged, item)
		}
	}
	for _, item := range put {
		if i, known := at[name(item)]; known {
			merged[i] = item
			continue
		}
		at[name(item)] = len(merged)
		merged = append(merged, item)
	}
	return merged
}

// Digest returns the SHA-256 of a message's deterministic encoding: equal
// messages have equal digests.
func Digest(message proto.Message) []byte {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(body)
	return sum[:]
}

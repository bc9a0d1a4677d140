// Package config handles the configuration of an open fleet: its routes, services and limits. It validates
// configurations, applies changes to them, computes changes between them, and looks up the routes of requests.
package config

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

// Apply returns the configuration that results from applying a change to the
// current one, which may be nil and is not modified.
func Apply(current *wire.Configuration, change *wire.ConfigurationChange) *wire.Configuration {
	next := &wire.Configuration{
		Serial: change.GetSerial(), Base: change.GetBase(), Limits: current.GetLimits(),
		Routes:   mergeByName(current.GetRoutes(), change.GetRoutes(), change.GetDropRoutes(), (*wire.ConfigurationRoute).GetName),
		Services: mergeByName(current.GetServices(), change.GetServices(), change.GetDropServices(), (*wire.ConfigurationService).GetName),
	}
	if change.GetLimits() != nil {
		next.Limits = change.Limits
	}
	return proto.Clone(next).(*wire.Configuration)
}

// mergeByName returns the current items without those named in removals, with each upsert replacing the item of its name
// or being appended. An item that is both removed and upserted is appended.
func mergeByName[T any](current, upserts []T, removals []string, name func(T) string) []T {
	removed := make(map[string]bool, len(removals))
	for _, itemName := range removals {
		removed[itemName] = true
	}
	merged := make([]T, 0, len(current)+len(upserts))
	positions := make(map[string]int, len(current)+len(upserts))
	for _, item := range current {
		if !removed[name(item)] {
			positions[name(item)] = len(merged)
			merged = append(merged, item)
		}
	}
	for _, item := range upserts {
		if i, known := positions[name(item)]; known {
			merged[i] = item
			continue
		}
		positions[name(item)] = len(merged)
		merged = append(merged, item)
	}
	return merged
}

// Digest returns the SHA-256 of a message's deterministic encoding. Equal
// messages have equal digests. It returns nil if the message cannot be encoded.
func Digest(message proto.Message) []byte {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(body)
	return sum[:]
}

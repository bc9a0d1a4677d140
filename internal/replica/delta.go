package replica

import (
	"curlewreach/internal/bytedelta"
	"curlewreach/proto/wire"
)

// maxDeltaRatio is the largest size of a delta, relative to the full value, that is sent in its place.
const maxDeltaRatio = 0.5

func newAcceptRequest(ask *wire.AcceptAsk) *wire.ReplicaRequest {
	return &wire.ReplicaRequest{Ask: &wire.ReplicaRequest_Accept{Accept: ask}}
}

// newDeltaAsk encodes a version as a delta to the previous one. It returns nil if the delta is too large to be worth it.
func newDeltaAsk(key string, version, previous *wire.Version) *wire.AcceptAsk {
	if previous == nil {
		return nil
	}
	delta := bytedelta.Encode(previous.Value, version.Value)
	if float64(len(delta)) > maxDeltaRatio*float64(len(version.Value)) {
		return nil
	}
	return &wire.AcceptAsk{Key: key, Version: withoutValue(version), Base: withoutValue(previous), Delta: delta}
}

// resolveVersion returns the full version to be accepted, or nil if this replica does not hold the base of its delta.
func resolveVersion(ask *wire.AcceptAsk, held *wire.Version) *wire.Version {
	if ask.Base == nil {
		return ask.Version
	}
	if held == nil || compareVersions(held, ask.Base) != 0 {
		return nil
	}
	value, err := bytedelta.Apply(held.Value, ask.Delta)
	if err != nil {
		return nil
	}
	return &wire.Version{Term: ask.Version.Term, Serial: ask.Version.Serial, Value: value}
}

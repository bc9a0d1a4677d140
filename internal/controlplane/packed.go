package controlplane

import (
	"sync"

	"curlewreach/internal/config"
	"curlewreach/proto/wire"
)

// maxRecentConfigurations is how many of the newest configurations are kept to compute changes from. A node that
// holds an older one is sent the whole configuration.
const maxRecentConfigurations = 16

// packedForms caches the compressed encodings of one configuration: itself, and the changes that lead to it from
// earlier ones. Each is encoded once for all nodes that need it.
type packedForms struct {
	fingerprint   func() uint64 // of the configuration, computed on first use
	mu            sync.Mutex
	configuration []byte
	changes       map[uint64][]byte // by the fingerprint of the earlier configuration; nil if no change is smaller than the whole
}

func newPackedForms(c *wire.Configuration) *packedForms {
	return &packedForms{
		fingerprint: sync.OnceValue(func() uint64 { return config.Fingerprint(c) }),
		changes:     map[uint64][]byte{},
	}
}

// recentConfigurations holds the newest configurations by ascending serial.
type recentConfigurations struct {
	mu       sync.Mutex
	versions []*configurationVersion
}

// add appends the newest configuration and drops the oldest beyond maxRecentConfigurations.
func (r *recentConfigurations) add(version *configurationVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, version)
	r.versions = r.versions[max(0, len(r.versions)-maxRecentConfigurations):]
}

// find returns the configuration with the given serial and fingerprint, or nil if it isn't kept.
func (r *recentConfigurations) find(serial, fingerprint uint64) *wire.Configuration {
	if serial == 0 || fingerprint == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, each := range r.versions {
		if c := each.head.GetConfiguration(); c.GetSerial() == serial && each.packed.fingerprint() == fingerprint {
			return c
		}
	}
	return nil
}

// attachConfiguration puts the newest configuration into a reply. Nodes that can unpack are sent the compressed
// change since the configuration that they hold if it is kept here, and otherwise the whole configuration
// compressed. All others are sent the whole configuration as it is.
func (m *Server) attachConfiguration(reply *wire.PollReply, req *wire.PollRequest, newest *configurationVersion) {
	c := newest.head.GetConfiguration()
	if c == nil {
		return
	}
	if req.Unpacks {
		if reply.PackedChange = m.packedChange(newest, req); reply.PackedChange != nil {
			return
		}
		if reply.PackedConfiguration = newest.packedConfiguration(); reply.PackedConfiguration != nil {
			return
		}
	}
	reply.Configuration = c
}

// packedConfiguration returns the whole configuration compressed, or nil if compressing fails.
func (v *configurationVersion) packedConfiguration() []byte {
	v.packed.mu.Lock()
	defer v.packed.mu.Unlock()
	if v.packed.configuration == nil {
		v.packed.configuration, _ = config.Pack(v.head.GetConfiguration())
	}
	return v.packed.configuration
}

// packedChange returns the compressed change that leads from the configuration held by a node to the newest. It
// returns nil if the former isn't kept here, or if the change is no smaller than the whole configuration.
func (m *Server) packedChange(newest *configurationVersion, req *wire.PollRequest) []byte {
	if req.Fingerprint == 0 {
		return nil
	}
	newest.packed.mu.Lock()
	packed, known := newest.packed.changes[req.Fingerprint]
	newest.packed.mu.Unlock()
	if known {
		return packed
	}
	from := m.recent.find(req.Serial, req.Fingerprint)
	if from == nil {
		return nil
	}
	if change := config.Diff(from, newest.head.GetConfiguration()); change != nil {
		packed, _ = config.Pack(change)
	}
	if len(packed) >= len(newest.packedConfiguration()) {
		packed = nil
	}
	newest.packed.mu.Lock()
	defer newest.packed.mu.Unlock()
	newest.packed.changes[req.Fingerprint] = packed
	return packed
}

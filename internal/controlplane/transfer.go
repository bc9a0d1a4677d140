package controlplane

import (
	"sync"

	"curlewreach/internal/config"
	"curlewreach/proto/wire"
)

// configurationsKept is how many of the newest configurations a control machine keeps to tell nodes what has changed
// since. A node that holds an older one is sent the whole.
const configurationsKept = 16

// transfers holds what was sent of one configuration, encoded once for all nodes that want it.
type transfers struct {
	fingerprint func() uint64 // of the configuration
	mu          sync.Mutex
	whole       []byte
	changes     map[uint64][]byte // by the fingerprint of the configuration that they lead from; nil where none does
}

func newTransfers(c *wire.Configuration) *transfers {
	return &transfers{
		fingerprint: sync.OnceValue(func() uint64 { return config.Fingerprint(c) }),
		changes:     map[uint64][]byte{},
	}
}

// recentConfigurations are the newest ones, by rising serial.
type recentConfigurations struct {
	mu    sync.Mutex
	views []*view
}

// add keeps a configuration, the newest, and forgets the oldest beyond the bound.
func (r *recentConfigurations) add(seen *view) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.views = append(r.views, seen)
	r.views = r.views[max(0, len(r.views)-configurationsKept):]
}

// find returns the configuration with a serial and a fingerprint, or nil if it isn't kept.
func (r *recentConfigurations) find(serial, fingerprint uint64) *wire.Configuration {
	if serial == 0 || fingerprint == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, each := range r.views {
		if c := each.head.GetConfiguration(); c.GetSerial() == serial && each.transfers.fingerprint() == fingerprint {
			return c
		}
	}
	return nil
}

// attach puts the configuration seen into a reply: as the change since the one that the node holds, where that is known
// here, and else whole; compressed for nodes that can read it.
func (m *Server) attach(reply *wire.PollReply, ask *wire.PollRequest, seen *view) {
	c := seen.head.GetConfiguration()
	if c == nil {
		return
	}
	if ask.Unpacks {
		if reply.PackedChange = m.packedChange(seen, ask); reply.PackedChange != nil {
			return
		}
		if reply.PackedConfiguration = seen.packedWhole(); reply.PackedConfiguration != nil {
			return
		}
	}
	reply.Configuration = c
}

// packedWhole returns the configuration compressed, or nil if that fails.
func (v *view) packedWhole() []byte {
	v.transfers.mu.Lock()
	defer v.transfers.mu.Unlock()
	if v.transfers.whole == nil {
		v.transfers.whole, _ = config.Pack(v.head.GetConfiguration())
	}
	return v.transfers.whole
}

// packedChange returns what leads from the configuration that a node holds to the one seen, compressed; nil if that one
// isn't kept here, or if the change is no smaller than the whole.
func (m *Server) packedChange(seen *view, ask *wire.PollRequest) []byte {
	if ask.Fingerprint == 0 {
		return nil
	}
	seen.transfers.mu.Lock()
	packed, known := seen.transfers.changes[ask.Fingerprint]
	seen.transfers.mu.Unlock()
	if known {
		return packed
	}
	from := m.recent.find(ask.Serial, ask.Fingerprint)
	if from == nil {
		return nil
	}
	if change := config.Diff(from, seen.head.GetConfiguration()); change != nil {
		packed, _ = config.Pack(change)
	}
	if len(packed) >= len(seen.packedWhole()) {
		packed = nil
	}
	seen.transfers.mu.Lock()
	defer seen.transfers.mu.Unlock()
	seen.transfers.changes[ask.Fingerprint] = packed
	return packed
}

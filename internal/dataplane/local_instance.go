package dataplane

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/dataplane/admission"
	"curlewreach/proto/wire"
)

const (
	silentBeats = 4
	usualHold   = 150 * time.Millisecond
)

// LocalInstance is the upstream beside this node, as it told of itself.
type LocalInstance struct {
	clock    base.Clock
	beat     time.Duration
	mu       sync.Mutex
	instance *wire.Instance
	heard    time.Duration
	gone     map[string]time.Duration
	gate     *admission.Queue
	number   uint64
	changed  base.Bell
}

// NewLocalInstance believes an upstream for four beats.
func NewLocalInstance(clock base.Clock, beat time.Duration) *LocalInstance {
	return &LocalInstance{clock: clock, beat: beat, gone: map[string]time.Duration{}, gate: admission.NewQueue(clock, 1, usualHold)}
}

// Beat takes an upstream's word on itself. A late one changes nothing.
func (d *LocalInstance) Beat(b *wire.Instance) *base.Fault {
	if b.GetId() == "" || b.Service == "" || b.Address == "" {
		return base.NewFault(base.Malformed, "id", "an upstream tells its id, service and address")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, left := d.gone[b.Id]; left {
		return nil
	}
	old := d.instance
	if old != nil && old.Id == b.Id && b.Sequence < old.Sequence {
		return nil
	}
	if old != nil && old.Id != b.Id {
		d.gone[old.Id] = d.clock.Mono()
	}
	b = proto.Clone(b).(*wire.Instance)
	if old != nil && old.Id == b.Id && old.Leaving {
		b.Leaving = true
	}
	d.heard = d.clock.Mono()
	fresh := old == nil || old.Id != b.Id
	if fresh {
		d.gate = admission.NewQueue(d.clock, int(b.Capacity), usualHold)
	} else if old.Capacity != b.Capacity {
		d.gate.Resize(int(b.Capacity))
	}
	d.instance = b
	if fresh || old.Leaving != b.Leaving || old.Capacity != b.Capacity || old.Address != b.Address || old.Service != b.Service {
		d.risen()
	}
	return nil
}

func (d *LocalInstance) risen() {
	d.number++
	d.changed.Ring()
}

// Leave takes an upstream out: it said so, or another was found in its place.
func (d *LocalInstance) Leave(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gone[id] = d.clock.Mono()
	if d.instance.GetId() == id {
		d.instance = nil
		d.risen()
	}
}

// Now tells who is there, and the admission queue in front of it.
func (d *LocalInstance) Now() (*wire.Instance, *admission.Queue, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.instance, d.gate, d.number
}

// Sweep drops an upstream that has been silent for four beats.
func (d *LocalInstance) Sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Mono()
	if d.instance != nil && now-d.heard > silentBeats*d.beat {
		d.instance = nil
		d.risen()
	}
	for id, at := range d.gone {
		if now-at > time.Minute {
			delete(d.gone, id)
		}
	}
}

// Silence is how long ago the instance last told of itself; zero if there is none.
func (d *LocalInstance) Silence() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.instance == nil {
		return 0
	}
	return d.clock.Mono() - d.heard
}

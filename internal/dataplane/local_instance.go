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
	heartbeatsMissed = 4
	firstHold        = 150 * time.Millisecond
)

// LocalInstance is the upstream beside this node, as it told of itself.
type LocalInstance struct {
	clock     base.Clock
	heartbeat time.Duration
	mu        sync.Mutex
	instance  *wire.Instance
	heard     time.Duration
	left      map[string]time.Duration
	queue     *admission.Queue
	number    uint64
	changed   base.Broadcast
}

// NewLocalInstance believes an upstream for four heartbeats.
func NewLocalInstance(clock base.Clock, beat time.Duration) *LocalInstance {
	return &LocalInstance{clock: clock, heartbeat: beat, left: map[string]time.Duration{}, queue: admission.NewQueue(clock, 1, firstHold)}
}

// Heartbeat takes what the upstream tells of itself. A late one changes nothing.
func (d *LocalInstance) Heartbeat(b *wire.Instance) *base.Fault {
	if b.GetId() == "" || b.Service == "" || b.Address == "" {
		return base.NewFault(base.Malformed, "id", "an upstream tells its id, service and address")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, left := d.left[b.Id]; left {
		return nil
	}
	old := d.instance
	if old != nil && old.Id == b.Id && b.Sequence < old.Sequence {
		return nil
	}
	if old != nil && old.Id != b.Id {
		d.left[old.Id] = d.clock.Mono()
	}
	b = proto.Clone(b).(*wire.Instance)
	if old != nil && old.Id == b.Id && old.Leaving {
		b.Leaving = true
	}
	d.heard = d.clock.Mono()
	fresh := old == nil || old.Id != b.Id
	if fresh {
		d.queue = admission.NewQueue(d.clock, int(b.Capacity), firstHold)
	} else if old.Capacity != b.Capacity {
		d.queue.Resize(int(b.Capacity))
	}
	d.instance = b
	if fresh || old.Leaving != b.Leaving || old.Capacity != b.Capacity || old.Address != b.Address || old.Service != b.Service {
		d.changedNow()
	}
	return nil
}

func (d *LocalInstance) changedNow() {
	d.number++
	d.changed.Notify()
}

// Leave takes an upstream out: it said so, or another was found in its place.
func (d *LocalInstance) Leave(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left[id] = d.clock.Mono()
	if d.instance.GetId() == id {
		d.instance = nil
		d.changedNow()
	}
}

// Current tells who is there, and the admission queue in front of it.
func (d *LocalInstance) Current() (*wire.Instance, *admission.Queue, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.instance, d.queue, d.number
}

// Sweep drops an upstream that has been silent for four heartbeats.
func (d *LocalInstance) Sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Mono()
	if d.instance != nil && now-d.heard > heartbeatsMissed*d.heartbeat {
		d.instance = nil
		d.changedNow()
	}
	for id, at := range d.left {
		if now-at > time.Minute {
			delete(d.left, id)
		}
	}
}

// SinceHeartbeat is how long ago the instance last told of itself; zero if there is none.
func (d *LocalInstance) SinceHeartbeat() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.instance == nil {
		return 0
	}
	return d.clock.Mono() - d.heard
}

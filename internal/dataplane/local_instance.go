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
	// maxMissedHeartbeats is how many heartbeat intervals an instance may be silent before it is dropped.
	maxMissedHeartbeats = 4
	// initialServiceTime is how long a request is expected to hold a slot of a new instance, until some have been measured.
	initialServiceTime = 150 * time.Millisecond
)

// LocalInstance tracks the upstream instance beside this node from its heartbeats. It is safe for concurrent use.
type LocalInstance struct {
	clock             base.Clock
	heartbeatInterval time.Duration
	mu                sync.Mutex
	instance          *wire.Instance
	lastHeartbeat     time.Duration
	departed          map[string]time.Duration // when instances left, by ID
	queue             *admission.Queue
	revision          uint64
	changed           base.Broadcast
}

// NewLocalInstance returns a LocalInstance without an instance. heartbeat is the interval at which an instance
// sends heartbeats; it is dropped after maxMissedHeartbeats intervals of silence.
func NewLocalInstance(clock base.Clock, heartbeat time.Duration) *LocalInstance {
	return &LocalInstance{clock: clock, heartbeatInterval: heartbeat, departed: map[string]time.Duration{}, queue: admission.NewQueue(clock, 1, initialServiceTime)}
}

// Heartbeat records what the upstream reports about itself. Heartbeats that are out of sequence or come from an
// instance that has left are ignored. A heartbeat with a new ID replaces the previous instance, which then counts as
// left. A leaving instance stays leaving.
func (l *LocalInstance) Heartbeat(instance *wire.Instance) *base.Fault {
	if instance.GetId() == "" || instance.Service == "" || instance.Address == "" {
		return base.NewFault(base.Malformed, "id", "an upstream tells its id, service and address")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, left := l.departed[instance.Id]; left {
		return nil
	}
	previous := l.instance
	if previous != nil && previous.Id == instance.Id && instance.Sequence < previous.Sequence {
		return nil
	}
	if previous != nil && previous.Id != instance.Id {
		l.departed[previous.Id] = l.clock.Mono()
	}
	instance = proto.Clone(instance).(*wire.Instance)
	if previous != nil && previous.Id == instance.Id && previous.Leaving {
		instance.Leaving = true
	}
	l.lastHeartbeat = l.clock.Mono()
	isNew := previous == nil || previous.Id != instance.Id
	if isNew {
		l.queue = admission.NewQueue(l.clock, int(instance.Capacity), initialServiceTime)
	} else if previous.Capacity != instance.Capacity {
		l.queue.Resize(int(instance.Capacity))
	}
	l.instance = instance
	if isNew || previous.Leaving != instance.Leaving || previous.Capacity != instance.Capacity || previous.Address != instance.Address || previous.Service != instance.Service {
		l.notifyChanged()
	}
	return nil
}

// notifyChanged increments the revision and wakes watchers. l.mu must be held.
func (l *LocalInstance) notifyChanged() {
	l.revision++
	l.changed.Notify()
}

// Leave removes an instance that announced that it leaves, or at whose address another one was found. Its later
// heartbeats are ignored.
func (l *LocalInstance) Leave(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.departed[id] = l.clock.Mono()
	if l.instance.GetId() == id {
		l.instance = nil
		l.notifyChanged()
	}
}

// Current returns the instance, nil if there is none, the admission queue in front of it, and a revision that
// increases with each change.
func (l *LocalInstance) Current() (*wire.Instance, *admission.Queue, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instance, l.queue, l.revision
}

// Sweep drops an instance that has been silent for maxMissedHeartbeats intervals, and forgets instances that left more
// than a minute ago.
func (l *LocalInstance) Sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Mono()
	if l.instance != nil && now-l.lastHeartbeat > maxMissedHeartbeats*l.heartbeatInterval {
		l.instance = nil
		l.notifyChanged()
	}
	for id, leftAt := range l.departed {
		if now-leftAt > time.Minute {
			delete(l.departed, id)
		}
	}
}

// SinceHeartbeat returns the time since the last heartbeat, 0 if there is no instance.
func (l *LocalInstance) SinceHeartbeat() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.instance == nil {
		return 0
	}
	return l.clock.Mono() - l.lastHeartbeat
}

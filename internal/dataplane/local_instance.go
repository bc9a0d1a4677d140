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
	// takeBackIntervals is how many heartbeat intervals an instance must have been silent before the one that it
	// replaced takes its place again: a live instance sends a heartbeat each interval.
	takeBackIntervals = 1.5
)

// LocalInstance tracks the upstream instance beside this node from its heartbeats. It is safe for concurrent use.
type LocalInstance struct {
	clock             base.Clock
	heartbeatInterval time.Duration
	mu                sync.Mutex
	instance          *wire.Instance
	lastHeartbeat     time.Duration
	past              *pastInstances
	pending           *wire.Instance // the newest heartbeat that waits until the past instances are complete
	queue             *admission.Queue
	revision          uint64
	changed           base.Broadcast
}

// NewLocalInstance returns a LocalInstance without an instance. heartbeat is the interval at which an instance
// sends heartbeats; it is dropped after maxMissedHeartbeats intervals of silence.
func NewLocalInstance(clock base.Clock, heartbeat time.Duration) *LocalInstance {
	return &LocalInstance{clock: clock, heartbeatInterval: heartbeat, past: newPastInstances(), queue: admission.NewQueue(clock, 1)}
}

// Heartbeat records what the upstream reports about itself. Heartbeats that are out of sequence are ignored, and so
// are those of a departed instance that is not the current one: they are late. Until the departures are complete,
// the heartbeat of an instance that this process has not heard before is held back. A leaving instance stays leaving.
func (l *LocalInstance) Heartbeat(instance *wire.Instance) *base.Fault {
	if instance.GetId() == "" || instance.Service == "" || instance.Address == "" {
		return base.NewFault(base.Malformed, "id", "an upstream tells its id, service and address")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(proto.Clone(instance).(*wire.Instance))
	return nil
}

// apply applies a heartbeat. l.mu must be held.
func (l *LocalInstance) apply(instance *wire.Instance) {
	departed := l.past.departed(instance.Id)
	if l.instance.GetId() == instance.Id {
		if instance.Sequence < l.instance.Sequence {
			return
		}
	} else if departed || !l.mayBecomeCurrent(instance) {
		return
	}
	if instance.Leaving {
		l.past.depart(instance.Id, false)
	}
	instance.Leaving = instance.Leaving || departed
	l.setCurrent(instance)
}

// mayBecomeCurrent reports whether an instance that has not departed takes the place of the current one. A leaving one
// takes only a free place. A steady one waits until the past instances are complete; then one that this process hears
// for the first time takes the place at once. If that was a late heartbeat of an instance that ended before this
// process began, the instance that it replaced goes on with its heartbeats and takes its place back. l.mu must be held.
func (l *LocalInstance) mayBecomeCurrent(instance *wire.Instance) bool {
	if instance.Leaving {
		if l.instance != nil {
			l.past.depart(instance.Id, false)
		}
		return l.instance == nil
	}
	if !l.past.complete {
		if l.pending.GetId() != instance.Id || l.pending.Sequence <= instance.Sequence {
			l.pending = instance
		}
		return false
	}
	replacedAt, replaced := l.past.replacedAt(instance.Id)
	if !replaced {
		return true
	}
	silence := l.clock.Mono() - l.lastHeartbeat
	return instance.Sequence > replacedAt && (l.instance == nil || silence > base.ScaleDuration(l.heartbeatInterval, takeBackIntervals))
}

// setCurrent stores the newest heartbeat of the current instance. l.mu must be held.
func (l *LocalInstance) setCurrent(instance *wire.Instance) {
	previous := l.instance
	l.instance, l.lastHeartbeat = instance, l.clock.Mono()
	isNew := previous.GetId() != instance.Id
	if isNew {
		if previous != nil {
			l.past.replace(previous.Id, previous.Sequence)
		}
		previousQueue := l.queue
		l.queue = admission.NewQueue(l.clock, int(instance.Capacity))
		previousQueue.Close(base.NewFault(base.NoInstance, "", "another instance has taken the place of the one waited for"))
	} else if previous.Capacity != instance.Capacity {
		l.queue.Resize(int(instance.Capacity))
	}
	if isNew || previous.Leaving != instance.Leaving || previous.Capacity != instance.Capacity || previous.Address != instance.Address || previous.Service != instance.Service {
		l.notifyChanged()
	}
}

// ApplyDepartures records departures that the control plane has recorded. If complete is set, they include all that
// earlier processes of the node have acknowledged, and the heartbeat that was held back for them is applied.
func (l *LocalInstance) ApplyDepartures(ids []string, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.past.depart(id, true)
		l.stopRequests(id)
	}
	l.past.complete = l.past.complete || complete
	if pending := l.pending; pending != nil && l.past.complete {
		l.pending = nil
		l.apply(pending)
	}
}

// stopRequests marks the current instance as leaving if it has the given ID. l.mu must be held.
func (l *LocalInstance) stopRequests(id string) {
	if l.instance.GetId() != id || l.instance.Leaving {
		return
	}
	l.instance = proto.Clone(l.instance).(*wire.Instance)
	l.instance.Leaving = true
	l.notifyChanged()
}

// DeparturesKnown reports whether the departures that earlier processes of the node have acknowledged are known.
func (l *LocalInstance) DeparturesKnown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.past.complete
}

// IsRecorded reports whether the control plane has recorded the departure of an instance.
func (l *LocalInstance) IsRecorded(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.past.isRecorded(id)
}

// MarkRecorded notes that the control plane has recorded the departure of an instance.
func (l *LocalInstance) MarkRecorded(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.past.depart(id, true)
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
	l.past.depart(id, false)
	if l.pending.GetId() == id {
		l.pending = nil
	}
	if l.instance.GetId() == id {
		l.instance = nil
		l.notifyChanged()
	}
}

// CloseQueue rejects the requests that wait for the current instance, and all that ask for it from now on. It serves
// the end of the process: the queue of a later instance is open.
func (l *LocalInstance) CloseQueue(fault *base.Fault) {
	_, queue, _ := l.Current()
	queue.Close(fault)
}

// Current returns the instance, nil if there is none, the admission queue in front of it, and a revision that
// increases with each change.
func (l *LocalInstance) Current() (*wire.Instance, *admission.Queue, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instance, l.queue, l.revision
}

// Sweep drops an instance that has been silent for maxMissedHeartbeats intervals.
func (l *LocalInstance) Sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.instance != nil && l.clock.Mono()-l.lastHeartbeat > maxMissedHeartbeats*l.heartbeatInterval {
		l.instance = nil
		l.notifyChanged()
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

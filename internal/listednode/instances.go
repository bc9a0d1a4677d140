package listednode

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// instance is an instance beside this node. A probe connection to it is kept open,
// and the identity of its listening socket (holder) noted, to tell it from a
// successor at the same address.
type instance struct {
	report atomic.Pointer[wire.Seat]
	at     time.Duration
	probe  net.Conn
	void   string
	gate   *AdmissionQueue
	passes bool
	holder string
}

func (at *instance) said() *wire.Seat { return at.report.Load() }

// Instances keeps the instances beside this node, by their reports. It is safe for
// concurrent use.
type Instances struct {
	scope   base.Scope
	oldest  time.Duration
	queue   int
	changed func([]*wire.Seat)
	mu      sync.Mutex
	seats   map[string]*instance
	closed  bool
}

// NewInstances returns a store without instances. A report holds for the time
// oldest; queue bounds the admission queue of each instance, and changed is
// told the instances after each change.
func NewInstances(s base.Scope, oldest time.Duration, queue int, changed func([]*wire.Seat)) *Instances {
	return &Instances{scope: s, oldest: oldest, queue: queue, changed: changed, seats: map[string]*instance{}}
}

// Report takes in an instance's report. A new one must accept a connection. The
// error is of kind Unreachable.
func (t *Instances) Report(s base.Scope, report *wire.Seat) *base.Fault {
	t.mu.Lock()
	known := t.seats[report.Address]
	fresh := known == nil || known.void != "" || known.said().Service != report.Service
	t.mu.Unlock()
	if !fresh {
		t.mu.Lock()
		known.report.Store(report)
		known.at = t.scope.Clock.Mono()
		known.gate.SetLimit(int(report.Capacity))
		t.mu.Unlock()
		t.publish()
		return nil
	}
	bounded, cancel := s.WithTimeout(t.oldest / 3)
	defer cancel()
	holder := t.scope.Net.ListenerID(report.Address)
	probe, err := t.scope.Net.Dial(bounded, "tcp", report.Address)
	if err != nil {
		return base.NewFault(base.Unreachable, "address", "%s", err)
	}
	if s.Err() != nil || t.scope.Net.ListenerID(report.Address) != holder {
		_ = probe.Close()
		return base.NewFault(base.Unreachable, "address", "the reporter is gone or its address passed on")
	}
	next := &instance{at: t.scope.Clock.Mono(), probe: probe, holder: holder, gate: NewAdmissionQueue(t.scope.Clock, int(report.Capacity), t.queue)}
	next.report.Store(report)
	t.mu.Lock()
	if prior := t.seats[report.Address]; prior != nil && prior.probe != nil {
		_ = prior.probe.Close()
		prior.void = "replaced"
	}
	t.seats[report.Address] = next
	t.mu.Unlock()
	t.scope.Record("seat", report.Address, report.Service)
	go t.guard(t.scope, next)
	t.publish()
	return nil
}

func (t *Instances) guard(s base.Scope, at *instance) {
	for probe := at.probe; probe != nil; probe = t.again(s, at) {
		var one [1]byte
		_, _ = probe.Read(one[:])
		_ = probe.Close()
	}
	t.Invalidate(at, "the probe connection closed")
}

func (t *Instances) again(s base.Scope, at *instance) net.Conn {
	if at.holder == "" || !t.StillListening(at) {
		return nil
	}
	bounded, cancel := s.WithTimeout(t.oldest / 3)
	defer cancel()
	probe, err := t.scope.Net.Dial(bounded, "tcp", at.said().Address)
	if err != nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.void != "" || t.closed {
		_ = probe.Close()
		return nil
	}
	at.probe = probe
	return probe
}

// StillListening reports whether the same socket still listens at the instance's address.
func (t *Instances) StillListening(at *instance) bool {
	return t.scope.Net.ListenerID(at.said().Address) == at.holder
}

// Invalidate ends an instance, until it reports again.
func (t *Instances) Invalidate(at *instance, reason string) {
	t.mu.Lock()
	if at.void != "" {
		t.mu.Unlock()
		return
	}
	at.void = reason
	_ = at.probe.Close()
	t.mu.Unlock()
	t.scope.Record("seat-void", at.said().Address, reason)
	t.publish()
}

func (t *Instances) live(at *instance) bool {
	return at.void == "" && t.scope.Clock.Mono()-at.at <= t.oldest
}

// Find returns the instance of a service at an address. The error is of kind
// NoSeat.
func (t *Instances) Find(service, address string) (*instance, *base.Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.seats[address]
	switch {
	case at == nil || !t.live(at):
		return nil, base.NewFault(base.NoInstance, "", "no upstream is known at that address now")
	case at.said().Service != service:
		return nil, base.NewFault(base.NoInstance, "", "that address belongs to another service now")
	case at.said().Leaving:
		return nil, base.NewFault(base.NoInstance, "", "the upstream is leaving")
	}
	return at, nil
}

// Sweep ends instances without a report in time.
func (t *Instances) Sweep() {
	t.mu.Lock()
	var old []*instance
	for address, at := range t.seats {
		if at.void != "" && t.scope.Clock.Mono()-at.at > 4*t.oldest {
			delete(t.seats, address)
		}
		if at.void == "" && !t.live(at) {
			old = append(old, at)
		}
	}
	t.mu.Unlock()
	for _, at := range old {
		t.Invalidate(at, "no report came in time")
	}
}

func (t *Instances) publish() {
	t.mu.Lock()
	var rows []*wire.Seat
	for _, at := range t.seats {
		if t.live(at) {
			rows = append(rows, at.said())
		}
	}
	t.mu.Unlock()
	t.changed(rows)
}

// Close closes the probe connections.
func (t *Instances) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, at := range t.seats {
		_ = at.probe.Close()
	}
}

package listednode

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// instance is a local instance. A probe connection to it is kept open, and the identity of its listening
// socket is kept to tell it from a successor at the same address.
type instance struct {
	report            atomic.Pointer[wire.Seat]
	reportedAt        time.Duration // by the monotonic clock
	probe             net.Conn
	invalidReason     string // "" while the instance is valid
	queue             *AdmissionQueue
	passesTraceHeader bool   // guarded by the call tracker's mutex
	listenerID        string // as returned by base.Net.ListenerID; identifies the listening socket
}

// lastReport returns the instance's newest report.
func (i *instance) lastReport() *wire.Seat { return i.report.Load() }

// Instances holds the local instances, as they reported themselves. It is safe for concurrent use.
type Instances struct {
	scope        base.Scope
	maxReportAge time.Duration
	maxWaiting   int // bound of each instance's admission queue
	onChange     func([]*wire.Seat)
	mu           sync.Mutex
	byAddress    map[string]*instance
	closed       bool
}

// NewInstances returns a store without instances. A report is valid for maxReportAge, maxWaiting bounds the
// admission queue of each instance, and onChange is called with the valid instances after each change.
func NewInstances(s base.Scope, maxReportAge time.Duration, maxWaiting int, onChange func([]*wire.Seat)) *Instances {
	return &Instances{scope: s, maxReportAge: maxReportAge, maxWaiting: maxWaiting, onChange: onChange, byAddress: map[string]*instance{}}
}

// Report stores an instance's report. A new instance must accept a connection; otherwise the fault is of
// kind Unreachable.
func (t *Instances) Report(s base.Scope, report *wire.Seat) *base.Fault {
	t.mu.Lock()
	known := t.byAddress[report.Address]
	isNew := known == nil || known.invalidReason != "" || known.lastReport().Service != report.Service
	t.mu.Unlock()
	if !isNew {
		t.mu.Lock()
		known.report.Store(report)
		known.reportedAt = t.scope.Clock.Mono()
		known.queue.SetLimit(int(report.Capacity))
		t.mu.Unlock()
		t.publish()
		return nil
	}
	bounded, cancel := s.WithTimeout(t.maxReportAge / 3)
	defer cancel()
	listenerID := t.scope.Net.ListenerID(report.Address)
	probe, err := t.scope.Net.Dial(bounded, "tcp", report.Address)
	if err != nil {
		return base.NewFault(base.Unreachable, "address", "%s", err)
	}
	if s.Err() != nil || t.scope.Net.ListenerID(report.Address) != listenerID {
		_ = probe.Close()
		return base.NewFault(base.Unreachable, "address", "the reporter is gone or its address passed on")
	}
	next := &instance{reportedAt: t.scope.Clock.Mono(), probe: probe, listenerID: listenerID, queue: NewAdmissionQueue(t.scope.Clock, int(report.Capacity), t.maxWaiting)}
	next.report.Store(report)
	t.mu.Lock()
	if prior := t.byAddress[report.Address]; prior != nil && prior.probe != nil {
		_ = prior.probe.Close()
		prior.invalidReason = "replaced"
	}
	t.byAddress[report.Address] = next
	t.mu.Unlock()
	t.scope.Record("seat", report.Address, report.Service)
	go t.watchProbe(t.scope, next)
	t.publish()
	return nil
}

// watchProbe waits until the probe connection closes and opens a new one if the same socket still listens;
// otherwise it invalidates the instance.
func (t *Instances) watchProbe(s base.Scope, i *instance) {
	for probe := i.probe; probe != nil; probe = t.reconnectProbe(s, i) {
		var buffer [1]byte
		_, _ = probe.Read(buffer[:])
		_ = probe.Close()
	}
	t.Invalidate(i, "the probe connection closed")
}

// reconnectProbe opens a new probe connection. It returns nil if the instance is invalid, can't be reached,
// or another socket listens at its address.
func (t *Instances) reconnectProbe(s base.Scope, i *instance) net.Conn {
	if i.listenerID == "" || !t.StillListening(i) {
		return nil
	}
	bounded, cancel := s.WithTimeout(t.maxReportAge / 3)
	defer cancel()
	probe, err := t.scope.Net.Dial(bounded, "tcp", i.lastReport().Address)
	if err != nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if i.invalidReason != "" || t.closed {
		_ = probe.Close()
		return nil
	}
	i.probe = probe
	return probe
}

// StillListening reports whether the same socket still listens at the instance's address.
func (t *Instances) StillListening(i *instance) bool {
	return t.scope.Net.ListenerID(i.lastReport().Address) == i.listenerID
}

// Invalidate removes an instance from use until it reports again.
func (t *Instances) Invalidate(i *instance, reason string) {
	t.mu.Lock()
	if i.invalidReason != "" {
		t.mu.Unlock()
		return
	}
	i.invalidReason = reason
	_ = i.probe.Close()
	t.mu.Unlock()
	t.scope.Record("seat-void", i.lastReport().Address, reason)
	t.publish()
}

// isLive reports whether the instance is valid and its report is recent. t.mu must be held.
func (t *Instances) isLive(i *instance) bool {
	return i.invalidReason == "" && t.scope.Clock.Mono()-i.reportedAt <= t.maxReportAge
}

// Find returns the instance of a service at an address. The fault is of kind NoInstance.
func (t *Instances) Find(service, address string) (*instance, *base.Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.byAddress[address]
	switch {
	case i == nil || !t.isLive(i):
		return nil, base.NewFault(base.NoInstance, "", "no upstream is known at that address now")
	case i.lastReport().Service != service:
		return nil, base.NewFault(base.NoInstance, "", "that address belongs to another service now")
	case i.lastReport().Leaving:
		return nil, base.NewFault(base.NoInstance, "", "the upstream is leaving")
	}
	return i, nil
}

// Sweep invalidates the instances whose report has expired, and forgets those that have been invalid for
// long.
func (t *Instances) Sweep() {
	t.mu.Lock()
	var expired []*instance
	for address, i := range t.byAddress {
		if i.invalidReason != "" && t.scope.Clock.Mono()-i.reportedAt > 4*t.maxReportAge {
			delete(t.byAddress, address)
		}
		if i.invalidReason == "" && !t.isLive(i) {
			expired = append(expired, i)
		}
	}
	t.mu.Unlock()
	for _, each := range expired {
		t.Invalidate(each, "no report came in time")
	}
}

// publish calls onChange with the valid instances.
func (t *Instances) publish() {
	t.mu.Lock()
	var reports []*wire.Seat
	for _, i := range t.byAddress {
		if t.isLive(i) {
			reports = append(reports, i.lastReport())
		}
	}
	t.mu.Unlock()
	t.onChange(reports)
}

// Close closes the probe connections.
func (t *Instances) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, i := range t.byAddress {
		_ = i.probe.Close()
	}
}

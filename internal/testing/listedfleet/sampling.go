package listedfleet

import (
	"time"

	"curlewreach/base"
	"curlewreach/internal/testing/judge"
)

const (
	// sampleInterval is the interval at which the history samples which bundle each node would serve under.
	sampleInterval = 50 * time.Millisecond
	// calmDelay is the time after the end of the last disturbance from which on samples are marked as calm.
	calmDelay = 4 * time.Second
)

// journalRecorder copies the events of a machine's journal to the history.
type journalRecorder struct {
	history *judge.History
	node    string
}

func (r journalRecorder) Record(event base.Event) {
	r.history.RecordEvent(r.node, event.Topic, event.Subject, event.Detail, event.Mono)
}

// disturbed reports whether any link, disk or process is impaired, stopping or not running.
func (f *Fleet) disturbed() bool {
	if f.World.Impaired() {
		return true
	}
	for _, m := range f.Machines() {
		if !m.running.Load() || m.stopping.Load() || m.Disk.Impaired() || m.Clock.Frozen() {
			return true
		}
	}
	return false
}

// sampleNodes records a sample of each running node's state in the history at every sampleInterval, until s ends.
func (f *Fleet) sampleNodes(s base.Scope) {
	lastDisturbed := f.Scope.Clock.Mono()
	base.Tick(s, sampleInterval, func(base.Scope) {
		f.mu.Lock()
		defer f.mu.Unlock()
		now := f.Scope.Clock.Mono()
		if f.disturbed() {
			lastDisturbed = now
		}
		for _, m := range f.Nodes {
			if m.Node == nil {
				continue
			}
			serial, digest, ready := m.Node.Node.Serving()
			f.History.RecordSample(judge.Sample{At: now, Node: m.Name, Serial: serial, Digest: digest, Ready: ready, Calm: now-lastDisturbed > calmDelay})
		}
	})
}

// RecordReadbacks records in the history the newest bundle that each ready controller reads from its disk.
func (f *Fleet) RecordReadbacks() {
	for _, m := range f.Controllers {
		if m.Controller == nil || !m.Controller.ControlPlane.Ready() {
			continue
		}
		reply, err := m.Controller.ControlPlane.Read(f.Scope, 0)
		f.History.RecordReadback(m.Name, reply.GetSerial(), reply.GetSealed(), err)
	}
}

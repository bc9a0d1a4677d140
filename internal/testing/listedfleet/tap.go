package listedfleet

import (
	"time"

	"curlewreach/base"
	"curlewreach/internal/testing/judge"
)

const (
	// readEvery is the interval at which the history samples what each node
	// would serve.
	readEvery = 50 * time.Millisecond
	// calmAfter is how long after the last trouble all is calm.
	calmAfter = 4 * time.Second
)

type tap struct {
	history *judge.History
	node    string
}

func (t tap) Record(event base.Event) {
	t.history.RecordEvent(t.node, event.Topic, event.Subject, event.Detail, event.Mono)
}

func (f *Fleet) troubled() bool {
	if f.World.Impaired() {
		return true
	}
	for _, m := range f.Every() {
		if !m.up.Load() || m.stopping.Load() || m.Disk.Impaired() || m.Clock.Frozen() {
			return true
		}
	}
	return false
}

func (f *Fleet) sample(s base.Scope) {
	calm := f.Scope.Clock.Mono()
	base.Tick(s, readEvery, func(base.Scope) {
		f.living.Lock()
		defer f.living.Unlock()
		now := f.Scope.Clock.Mono()
		if f.troubled() {
			calm = now
		}
		for _, m := range f.Vanes {
			if m.Node == nil {
				continue
			}
			serial, digest, ready := m.Node.Node.Serving()
			f.History.RecordSample(judge.Sample{At: now, Node: m.Name, Serial: serial, Digest: digest, Ready: ready, Calm: now-calm > calmAfter})
		}
	})
}

// ReadBack notes in the history what each core machine's disk has of the
// bundle.
func (f *Fleet) ReadBack() {
	for _, m := range f.Keels {
		if m.Controller == nil || !m.Controller.ControlPlane.Ready() {
			continue
		}
		reply, err := m.Controller.ControlPlane.Read(f.Scope, 0)
		f.History.RecordReadback(m.Name, reply.GetSerial(), reply.GetSealed(), err)
	}
}

package dataplane

import (
	"context"
	"testing"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/admission"
	"curlewreach/proto/wire"
)

// instanceStep is something that happens to a LocalInstance.
type instanceStep func(l *LocalInstance)

func heartbeat(id string, sequence uint64, leaving bool) instanceStep {
	return func(l *LocalInstance) {
		l.Heartbeat(&wire.Instance{Id: id, Service: "books", Address: "10.9.1.1:8080", Capacity: 4, Sequence: sequence, Leaving: leaving})
	}
}

func steady(id string, sequence uint64) instanceStep  { return heartbeat(id, sequence, false) }
func leaving(id string, sequence uint64) instanceStep { return heartbeat(id, sequence, true) }
func gone(id string) instanceStep                     { return func(l *LocalInstance) { l.Leave(id) } }

func recorded(complete bool, ids ...string) instanceStep {
	return func(l *LocalInstance) { l.ApplyDepartures(ids, complete) }
}

// manualClock is a clock that a test advances.
type manualClock struct {
	base.Clock
	now time.Duration
}

func (c *manualClock) Mono() time.Duration { return c.now }

const testHeartbeatInterval = time.Second

// pass lets time pass, with the sweeps of a node.
func pass(d time.Duration) instanceStep {
	return func(l *LocalInstance) {
		l.clock.(*manualClock).now += d
		l.Sweep()
	}
}

// A heartbeat that arrives late must not bring back an instance whose departure was acknowledged, whichever process
// of the node acknowledged it.
func TestLocalInstance(t *testing.T) {
	known := recorded(true)
	for _, each := range []struct {
		name  string
		steps []instanceStep
		want  string // ID of the instance that takes requests; empty if none does
	}{
		{"a first heartbeat counts once the departures are known", []instanceStep{known, steady("a", 1)}, "a"},
		{"a first heartbeat does not count before", []instanceStep{steady("a", 1)}, ""},
		{"departures without a majority are not enough", []instanceStep{recorded(false), steady("a", 1)}, ""},
		{"a heartbeat that was held back counts as soon as they are known", []instanceStep{steady("a", 1), known}, "a"},
		{"the newest of several held back counts", []instanceStep{steady("a", 1), steady("b", 1), known}, "b"},
		{"a late heartbeat of a recorded instance does not count", []instanceStep{recorded(true, "a"), steady("a", 4)}, ""},
		{"nor one that was held back", []instanceStep{steady("a", 4), recorded(true, "a")}, ""},
		{"nor one of an instance known from a single controller", []instanceStep{steady("a", 4), recorded(false, "a"), known}, ""},
		{"a new instance at the address of a recorded one counts", []instanceStep{recorded(true, "a"), steady("b", 1)}, "b"},
		{"and stays when the recorded one's heartbeat is late", []instanceStep{recorded(true, "a"), steady("b", 1), steady("a", 9)}, "b"},
		{"an instance that was held back and then said that it is gone does not count", []instanceStep{steady("a", 1), gone("a"), known}, ""},
		{"an instance that was held back and then said that it is leaving does not count", []instanceStep{steady("a", 1), leaving("a", 2), known}, ""},
		{"a leaving instance stays leaving", []instanceStep{known, steady("a", 1), leaving("a", 2), steady("a", 3)}, ""},
		{"also after a silence", []instanceStep{known, steady("a", 1), leaving("a", 2), pass(10 * testHeartbeatInterval), steady("a", 1)}, ""},
		{"an instance that is gone stays gone, however long ago", []instanceStep{known, steady("a", 1), gone("a"), pass(time.Hour), steady("a", 2)}, ""},
		{"a silent instance that has not departed comes back", []instanceStep{known, steady("a", 1), pass(10 * testHeartbeatInterval), steady("a", 2)}, "a"},
		{"a new instance replaces one that crashed", []instanceStep{known, steady("a", 5), steady("b", 1)}, "b"},
		{"whose late heartbeat does not count", []instanceStep{known, steady("a", 5), steady("b", 1), steady("a", 6)}, "b"},
		{"a late heartbeat of an instance that ended before this process is taken for a new instance", []instanceStep{known, steady("b", 3), steady("a", 9)}, "a"},
		{"but the live instance takes its place back", []instanceStep{known, steady("b", 3), steady("a", 9), pass(testHeartbeatInterval), steady("b", 4), pass(testHeartbeatInterval), steady("b", 5)}, "b"},
		{"at once if the late one was found to be gone", []instanceStep{known, steady("b", 3), steady("a", 9), gone("a"), steady("b", 4)}, "b"},
		{"and keeps it when a second heartbeat is late", []instanceStep{known, steady("b", 3), steady("a", 9), pass(2 * testHeartbeatInterval), steady("b", 5), steady("a", 10)}, "b"},
		{"a late heartbeat of the live one does not take its place back", []instanceStep{known, steady("b", 3), steady("a", 9), pass(2 * testHeartbeatInterval), steady("b", 2)}, "a"},
		{"a late heartbeat that says leaving does not displace the instance", []instanceStep{known, steady("b", 3), leaving("a", 9)}, "b"},
		{"a departure that is recorded later stops the requests", []instanceStep{known, steady("a", 1), recorded(false, "a")}, ""},
	} {
		t.Run(each.name, func(t *testing.T) {
			l := NewLocalInstance(&manualClock{}, testHeartbeatInterval)
			for _, step := range each.steps {
				step(l)
			}
			instance, _, _ := l.Current()
			got := instance.GetId()
			if instance.GetLeaving() {
				got = ""
			}
			if got != each.want {
				t.Errorf("requests go to %q, want %q", got, each.want)
			}
		})
	}
}

// A node remembers a bounded number of past instances, the newest, and which departures are recorded.
func TestPastInstancesAreBounded(t *testing.T) {
	past := newPastInstances()
	for i := range 2 * maxPastInstances {
		past.depart(string(rune('A'+i)), i%2 == 0)
	}
	if len(past.byID) != maxPastInstances || len(past.order) != maxPastInstances {
		t.Errorf("%d and %d instances are kept, want %d", len(past.byID), len(past.order), maxPastInstances)
	}
	newest := string(rune('A' + 2*maxPastInstances - 1))
	if !past.departed(newest) || past.isRecorded(newest) {
		t.Error("the newest has departed and is not recorded")
	}
	past.depart(newest, true)
	past.depart(newest, false)
	if !past.isRecorded(newest) {
		t.Error("a recorded departure stays recorded")
	}
}

// Guards against requests that wait for an instance whose place another one has taken: they can't run any more.
func TestReplacedInstanceRejectsThoseThatWaitForIt(t *testing.T) {
	clock := &manualClock{now: time.Hour}
	l := NewLocalInstance(clock, testHeartbeatInterval)
	recorded(true)(l)
	steady("a", 1)(l)
	_, queue, _ := l.Current()
	patient := admission.Request{WantedStart: clock.now + time.Hour, LatestStart: clock.now + time.Hour, MayWait: true}
	for range 4 {
		if _, fault := queue.Acquire(context.Background(), patient); fault != nil {
			t.Fatal(fault)
		}
	}
	rejected := make(chan *base.Fault, 1)
	go func() {
		_, fault := queue.Acquire(context.Background(), patient)
		rejected <- fault
	}()
	for queue.Load().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	steady("b", 1)(l)
	if fault := <-rejected; fault == nil || fault.Kind != base.NoInstance {
		t.Errorf("the waiting request got %v, want %s", fault, base.NoInstance)
	}
	_, newQueue, _ := l.Current()
	if _, fault := newQueue.Acquire(context.Background(), patient); fault != nil {
		t.Errorf("the queue of the new instance rejects: %v", fault)
	}
}

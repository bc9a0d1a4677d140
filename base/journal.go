package base

import (
	"iter"
	"slices"
	"sync"
	"time"

	"github.com/gammazero/deque"
)

// Event is an entry in the journal.
type Event struct {
	// Serial numbers the events of one process, from 1 without gaps.
	Serial uint64 `json:"serial"`
	// At is the wall clock time of the event.
	At time.Time `json:"at"`
	// Mono is the monotonic clock time of the event.
	Mono time.Duration `json:"mono"`
	// Topic is the kind of event, from a fixed set of words.
	Topic string `json:"topic"`
	// Subject identifies what the event is about, for example a request.
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// EventSink receives each event of a journal in order. Record is called while
// the journal's lock is held, so it must be fast and must not call the journal.
type EventSink interface{ Record(Event) }

// Journal keeps the newest events of a process in memory and counts all events
// by topic. It is safe for concurrent use.
type Journal struct {
	mu       sync.Mutex
	capacity int
	serial   uint64
	events   deque.Deque[Event]
	sinks    []EventSink
	counts   map[string]uint64
}

// NewJournal returns a journal that keeps the newest capacity events and passes
// every event to the sinks.
func NewJournal(capacity int, sinks ...EventSink) *Journal {
	return &Journal{capacity: capacity, sinks: sinks, counts: map[string]uint64{}}
}

// Append sets the event's serial number, stores the event and passes it to the
// sinks. It drops the oldest event if the journal is over capacity.
func (j *Journal) Append(event Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.serial++
	event.Serial = j.serial
	j.events.PushBack(event)
	if j.events.Len() > j.capacity {
		j.events.PopFront()
	}
	j.counts[event.Topic]++
	for _, sink := range j.sinks {
		sink.Record(event)
	}
}

// Subscribe adds a sink, which receives the events appended from now on.
func (j *Journal) Subscribe(sink EventSink) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sinks = append(j.sinks, sink)
}

// Len returns the number of entries in memory: stored events plus topic counts.
func (j *Journal) Len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.events.Len() + len(j.counts)
}

// Counts returns the number of events appended so far by topic, including those
// that were dropped.
func (j *Journal) Counts() map[string]uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := make(map[string]uint64, len(j.counts))
	for topic, count := range j.counts {
		counts[topic] = count
	}
	return counts
}

// Events iterates, oldest first, over the stored events about a subject, or over
// all of them if subject is empty. It iterates over a snapshot taken at the call.
func (j *Journal) Events(subject string) iter.Seq[Event] {
	j.mu.Lock()
	matching := make([]Event, 0, j.events.Len())
	for i := range j.events.Len() {
		if event := j.events.At(i); subject == "" || event.Subject == subject {
			matching = append(matching, event)
		}
	}
	j.mu.Unlock()
	return func(yield func(Event) bool) {
		for _, event := range matching {
			if !yield(event) {
				return
			}
		}
	}
}

// Last returns, oldest first, at most limit of the newest stored events about a
// subject, or of all of them if subject is empty.
func (j *Journal) Last(subject string, limit int) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	var matching []Event
	for i := j.events.Len() - 1; i >= 0 && len(matching) < limit; i-- {
		if event := j.events.At(i); subject == "" || event.Subject == subject {
			matching = append(matching, event)
		}
	}
	slices.Reverse(matching)
	return matching
}

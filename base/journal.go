package base

import (
	"iter"
	"slices"
	"sync"
	"time"

	"github.com/gammazero/deque"
)

// Event is an entry of the journal.
type Event struct {
	// Serial numbers the events of one process, from 1 without gaps.
	Serial uint64 `json:"serial"`
	// At is the wall clock's time.
	At time.Time `json:"at"`
	// Mono is the monotonic clock's time.
	Mono time.Duration `json:"mono"`
	// Topic is the kind of event, one of a fixed set of words.
	Topic string `json:"topic"`
	// Subject names what the event is about, for instance a request.
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// EventSink is a reader of the journal that is told each event in order. Record is
// called under the journal's lock: it must be quick and must not use the
// journal.
type EventSink interface{ Record(Event) }

// Journal keeps a process's newest events in memory and counts all by topic. It
// is safe for concurrent use.
type Journal struct {
	mu     sync.Mutex
	bound  int
	serial uint64
	events deque.Deque[Event]
	views  []EventSink
	counts map[string]uint64
}

// NewJournal returns a journal that keeps the newest bound events and tells all
// to the views.
func NewJournal(bound int, views ...EventSink) *Journal {
	return &Journal{bound: bound, views: views, counts: map[string]uint64{}}
}

// Append numbers and stores an event. The oldest is forgotten beyond the bound.
func (j *Journal) Append(event Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.serial++
	event.Serial = j.serial
	j.events.PushBack(event)
	if j.events.Len() > j.bound {
		j.events.PopFront()
	}
	j.counts[event.Topic]++
	for _, view := range j.views {
		view.Record(event)
	}
}

// Subscribe adds a view, which is told the events from now on.
func (j *Journal) Subscribe(view EventSink) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.views = append(j.views, view)
}

// Len returns how many rows the journal holds in memory: events and topics.
func (j *Journal) Len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.events.Len() + len(j.counts)
}

// Counts returns the number of events so far by topic, forgotten ones too.
func (j *Journal) Counts() map[string]uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := make(map[string]uint64, len(j.counts))
	for topic, count := range j.counts {
		counts[topic] = count
	}
	return counts
}

// Events iterates over the kept events about a subject, or over all if it is
// empty, the oldest first. It sees the journal as it was at the call.
func (j *Journal) Events(subject string) iter.Seq[Event] {
	j.mu.Lock()
	kept := make([]Event, 0, j.events.Len())
	for i := range j.events.Len() {
		if event := j.events.At(i); subject == "" || event.Subject == subject {
			kept = append(kept, event)
		}
	}
	j.mu.Unlock()
	return func(yield func(Event) bool) {
		for _, event := range kept {
			if !yield(event) {
				return
			}
		}
	}
}

// Last returns at most so many of the newest events about a subject, or of all
// if that is empty, the oldest first.
func (j *Journal) Last(subject string, most int) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	var kept []Event
	for i := j.events.Len() - 1; i >= 0 && len(kept) < most; i-- {
		if event := j.events.At(i); subject == "" || event.Subject == subject {
			kept = append(kept, event)
		}
	}
	slices.Reverse(kept)
	return kept
}

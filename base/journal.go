package base

import (
	"iter"
	"slices"
	"sync"
	"time"

	"github.com/gammazero/deque"
)

type Event struct {
	Serial  uint64        `json:"serial"`
	At      time.Time     `json:"at"`
	Mono    time.Duration `json:"mono"`
	Topic   string        `json:"topic"`
	Subject string        `json:"subject,omitempty"`
	Detail  string        `json:"detail,omitempty"`
}

type View interface{ Fold(Event) }

type Journal struct {
	mu     sync.Mutex
	bound  int
	serial uint64
	events deque.Deque[Event]
	views  []View
	counts map[string]uint64
}

func NewJournal(bound int, views ...View) *Journal {
	return &Journal{bound: bound, views: views, counts: map[string]uint64{}}
}

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
		view.Fold(event)
	}
}

func (j *Journal) Attach(view View) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.views = append(j.views, view)
}

func (j *Journal) Len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.events.Len() + len(j.counts)
}

func (j *Journal) Counts() map[string]uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := make(map[string]uint64, len(j.counts))
	for topic, count := range j.counts {
		counts[topic] = count
	}
	return counts
}

func (j *Journal) About(subject string) iter.Seq[Event] {
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

// Last gives the newest events about a subject, or all if that is empty, the oldest first.
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

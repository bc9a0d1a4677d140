package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"curlewreach/base"
	"curlewreach/internal/testing/simulation"
)

// queueState draws requests for a queue and plays them on a clock of its own.
type queueState struct {
	*Queue
	clock    *simulation.ManualClock
	releases []func()
	waiting  []*waiter
}

func newQueueState(limit int) *queueState {
	clock := &simulation.ManualClock{Now: time.Hour}
	return &queueState{Queue: NewQueue(clock, limit), clock: clock}
}

// newMeasuredState returns a queue that has measured requests of propertyWork.
func newMeasuredState(limit int) *queueState {
	s := newQueueState(limit)
	s.measure(1, Request{Work: propertyWork})
	return s
}

// decision is what became of a request at once. The wait is 0 unless it was rejected.
type decision string

const (
	admitted decision = "admitted"
	waits    decision = "waits"
	rejected decision = "rejected"
)

// ask offers a request to the queue.
func (s *queueState) ask(request Request) (result decision, retryAfter time.Duration) {
	w, release, fault := s.enter(request)
	switch {
	case fault != nil:
		return rejected, fault.RetryAfter
	case w != nil:
		s.waiting = append(s.waiting, w)
		return waits, 0
	}
	s.releases = append(s.releases, release)
	return admitted, 0
}

// measure lets one request after the other hold a slot for the given work.
func (s *queueState) measure(count int, request Request) {
	for range count {
		_, release, _ := s.enter(request)
		s.clock.Now += request.Work
		release()
	}
}

// drawRequest draws a request that arrives now; times are whole milliseconds.
func (s *queueState) drawRequest(t *rapid.T, work time.Duration) Request {
	millis := func(label string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	return Request{
		Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Work: work, MayWait: rapid.IntRange(0, 4).Draw(t, "mayWait") > 0,
		WantedStart: s.clock.Now + millis("wanted", -200, 2000), LatestStart: s.clock.Now + millis("latest", -50, 1500),
	}
}

const propertyWork = 100 * time.Millisecond

// Requests with the same time left, work and rank that find the same queue are treated alike, whatever came before.
func TestTreatmentDependsOnTheQueueOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		busy, fresh := newQueueState(limit), newQueueState(limit)
		for range rapid.IntRange(1, 30).Draw(t, "before") {
			request := busy.drawRequest(t, propertyWork)
			request.LatestStart += time.Duration(rapid.IntRange(0, 1).Draw(t, "patient")) * time.Minute
			busy.measure(1, request)
		}
		fresh.measure(1, Request{Work: propertyWork})
		fresh.clock.Now = busy.clock.Now
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			request := busy.drawRequest(t, propertyWork)
			result, retryAfter := busy.ask(request)
			freshResult, freshRetryAfter := fresh.ask(request)
			if result != freshResult || retryAfter != freshRetryAfter {
				t.Fatalf("%+v: %s, %s after requests of others, %s, %s without", request, result, retryAfter, freshResult, freshRetryAfter)
			}
			step := time.Duration(rapid.IntRange(0, 40).Draw(t, "step")) * time.Millisecond
			busy.clock.Now, fresh.clock.Now = busy.clock.Now+step, fresh.clock.Now+step
		}
	})
}

// Whether a request may wait does not depend on its latency target.
func TestTargetDecidesNothingButTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		short, long := newMeasuredState(limit), newMeasuredState(limit)
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			request := short.drawRequest(t, propertyWork)
			other := request
			other.WantedStart += time.Duration(rapid.IntRange(0, 5000).Draw(t, "later")) * time.Millisecond
			result, retryAfter := short.ask(request)
			otherResult, otherRetryAfter := long.ask(other)
			if result != otherResult || retryAfter != otherRetryAfter {
				t.Fatalf("%+v: %s, %s; with a later target %s, %s", request, result, retryAfter, otherResult, otherRetryAfter)
			}
		}
	})
}

// oracle tells in the plainest way when the requests start that wait for limit slots, if they go in their order.
func oracle(releases []time.Duration, waiters []*waiter) (starts []time.Duration) {
	slots := slices.Clone(releases)
	for _, each := range waiters {
		next := 0
		for i := range slots {
			if slots[i] < slots[next] {
				next = i
			}
		}
		starts = append(starts, slots[next])
		slots[next] += each.Work
	}
	return starts
}

// A request that may wait is rejected only if there is no room that its rank gives it, or if a slot would come too late
// for it or for one of no lower rank. One that is rejected is told when a slot is expected. One that waits can be served,
// and nobody of a higher rank is rejected in its favor, nor of its own rank unless that one can come back and it can't.
func TestRejectedOnlyIfItCannotBeServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newMeasuredState(rapid.IntRange(1, 6).Draw(t, "limit"))
		for range rapid.IntRange(1, 25).Draw(t, "requests") {
			request := s.drawRequest(t, propertyWork)
			before := slices.Clone(s.waiters)
			releases := s.Queue.releases(s.clock.Now, atAnyMoment)
			result, retryAfter := s.ask(request)
			w := &waiter{Request: request, sequence: s.lastSequence}
			switch result {
			case waits:
				s.checkAccepted(t, releases, before, w)
			case rejected:
				s.checkRejected(t, releases, before, w, retryAfter)
			case admitted:
			}
			s.clock.Now += time.Duration(rapid.IntRange(0, 15).Draw(t, "step")) * time.Millisecond
		}
	})
}

// checkAccepted checks a request that waits now, beside those that waited before.
func (s *queueState) checkAccepted(t *rapid.T, releases []time.Duration, before []*waiter, w *waiter) {
	if !canServeAll(releases, before, w) {
		t.Fatalf("%+v waits, though it can't be served", w.Request)
	}
	wait := s.waitBehind(before, w, s.clock.Now)
	for _, each := range before {
		mayGo := each.Rank > w.Rank || each.Rank == w.Rank && mayReplace(w, each, s.clock.Now, wait)
		if !mayGo && len(each.decision) > 0 {
			t.Fatalf("%+v was rejected in favor of %+v", each.Request, w.Request)
		}
	}
}

// checkRejected checks a request that was rejected, beside those that waited before.
func (s *queueState) checkRejected(t *rapid.T, releases []time.Duration, before []*waiter, w *waiter, retryAfter time.Duration) {
	if retryAfter < time.Millisecond {
		t.Fatalf("%+v was rejected without a Retry-After", w.Request)
	}
	wait := s.waitBehind(before, w, s.clock.Now)
	hasRoom := slices.ContainsFunc(before, func(each *waiter) bool {
		return each.Rank > w.Rank || each.Rank == w.Rank && mayReplace(w, each, s.clock.Now, wait)
	})
	full := len(before) == waitersPerSlot*s.limit && !hasRoom
	if w.MayWait && !full && canServeAll(releases, before, w) {
		t.Fatalf("%+v was rejected, though it could have been served", w.Request)
	}
}

// mayReplace reports whether one that waits can stay away for a third of its time and find a slot then, and w can't.
func mayReplace(w, waiting *waiter, now, wait time.Duration) bool {
	return 3*wait <= waiting.LatestStart-now && 3*wait > w.LatestStart-now
}

// canServeAll reports whether a request can start in time, and all those of no lower rank that could without it.
func canServeAll(releases []time.Duration, waiting []*waiter, w *waiter) bool {
	lateWithout := lateOf(releases, waiting)
	return !slices.ContainsFunc(lateOf(releases, append(slices.Clone(waiting), w)), func(late *waiter) bool {
		return late.Rank <= w.Rank && !slices.Contains(lateWithout, late)
	})
}

// lateOf returns those that can't start in time, in the order in which most can.
func lateOf(releases []time.Duration, waiters []*waiter) (late []*waiter) {
	order := slices.SortedFunc(slices.Values(waiters), byLatestStart)
	for i, start := range oracle(releases, order) {
		if start > order[i].LatestStart {
			late = append(late, order[i])
		}
	}
	return late
}

// Turns go by rank, no more wait than there is room for, and everybody is told once what becomes of it.
func TestTurnsGoByRankAndEverybodyIsTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newMeasuredState(rapid.IntRange(1, 4).Draw(t, "limit"))
		for range rapid.IntRange(5, 25).Draw(t, "requests") {
			request := s.drawRequest(t, propertyWork)
			request.MayWait = true
			s.ask(request)
			s.checkWaiters(t)
		}
		for len(s.releases) > 0 {
			s.clock.Now += propertyWork / 3
			s.releases[0]()
			s.releases = s.releases[1:]
			s.checkWaiters(t)
		}
		s.Close(base.NewFault(base.Stopping, "", "the end"))
		for _, w := range s.waiting {
			if len(w.decision) != 1 {
				t.Fatalf("a request was left waiting")
			}
		}
	})
}

// checkWaiters checks the order and the number of those that wait, and that none of them has been told its fate.
func (s *queueState) checkWaiters(t *rapid.T) {
	if !slices.IsSortedFunc(s.waiters, func(a, b *waiter) int { return a.Rank - b.Rank }) {
		t.Fatalf("the waiters are not in the order of their ranks")
	}
	if len(s.waiters) > waitersPerSlot*s.limit {
		t.Fatalf("%d wait for %d slots", len(s.waiters), s.limit)
	}
	if slices.ContainsFunc(s.waiters, func(w *waiter) bool { return len(w.decision) > 0 }) {
		t.Fatalf("a request that was told its fate still waits")
	}
}

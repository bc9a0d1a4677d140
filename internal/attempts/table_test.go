package attempts

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
)

const (
	stateUnknown    = wire.AttemptState_ATTEMPT_UNKNOWN
	stateNeverBegan = wire.AttemptState_ATTEMPT_NEVER_BEGAN
	stateAtWork     = wire.AttemptState_ATTEMPT_AT_WORK
	stateFinished   = wire.AttemptState_ATTEMPT_FINISHED
	stateTurnedAway = wire.AttemptState_ATTEMPT_TURNED_AWAY
)

// manualClock is a clock that tests advance by hand.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

var testBounds = Bounds{Entries: 16, Age: 40 * time.Second, AnswerBytes: 100, LargestAnswer: 60, AnswerAge: 2 * time.Second}

func newTestTable() (*Table, *manualClock) {
	clock := &manualClock{now: time.Hour}
	return NewTable("one", clock.Now, testBounds), clock
}

func (t *Table) resolveState(id ID, m Mark) wire.AttemptState {
	reply, _ := t.Resolve(id, m)
	return reply.State
}

func (t *Table) mustAccept(id ID, m Mark) *Entry {
	entry, result := t.Accept(id, m)
	ExpectWithOffset(1, result).To(Equal(Accepted))
	return entry
}

func finishedReply(bytes int) *wire.AttemptReply {
	return &wire.AttemptReply{State: stateFinished, Answer: &wire.AttemptAnswer{Status: 200, Body: make([]byte, bytes)}}
}

var _ = ginkgo.Describe("the attempt table", func() {
	ginkgo.It("given an attempt that has not arrived, when it is queried, then it is reported as never begun from then on, and is not accepted when it arrives", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		Expect(t.resolveState("a", mark)).To(Equal(stateNeverBegan))
		entry, result := t.Accept("a", mark)
		Expect(result).To(Equal(Fenced))
		Expect(entry).To(BeNil())
		Expect(t.resolveState("a", mark)).To(Equal(stateNeverBegan))
		Expect(t.mustAccept("b", mark).Begin()).To(BeTrue(), "a query fences only the queried attempt")
	})

	ginkgo.It("given a waiting attempt, when it is queried, then it never begins", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		entry := t.mustAccept("a", mark)
		Expect(t.resolveState("a", mark)).To(Equal(stateNeverBegan))
		Expect(entry.Begin()).To(BeFalse())
		entry.Finish(finishedReply(1))
		Expect(t.resolveState("a", mark)).To(Equal(stateNeverBegan), "the reported state is final")
	})

	ginkgo.It("given a waiting attempt, when it is withdrawn, then it never begins; a running one cannot be withdrawn", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		entry := t.mustAccept("a", mark)
		Expect(entry.Withdraw()).To(BeTrue())
		Expect(entry.Begin()).To(BeFalse())
		Expect(t.resolveState("a", mark)).To(Equal(stateNeverBegan))
		working := t.mustAccept("b", mark)
		Expect(working.Begin()).To(BeTrue())
		Expect(working.Withdraw()).To(BeFalse())
		Expect(t.resolveState("b", mark)).To(Equal(stateAtWork))
	})

	ginkgo.It("given a running attempt, when it is queried, then it is never reported as never begun", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		entry := t.mustAccept("a", mark)
		Expect(entry.Begin()).To(BeTrue())
		Expect(entry.Begin()).To(BeFalse(), "an attempt begins only once")
		Expect(t.resolveState("a", mark)).To(Equal(stateAtWork))
		_, result := t.Accept("a", mark)
		Expect(result).To(Equal(Duplicate))
		entry.Finish(finishedReply(10))
		reply, _ := t.Resolve("a", mark)
		Expect(reply.State).To(Equal(stateFinished))
		Expect(reply.Answer.Body).To(HaveLen(10))
	})

	ginkgo.It("given an attempt that was rejected before it ran, when it is queried, then the rejection is returned", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		t.mustAccept("a", mark).Finish(&wire.AttemptReply{State: stateTurnedAway, Refusal: &wire.AttemptRefusal{Kind: "crowded", AfterMs: 30}})
		reply, _ := t.Resolve("a", mark)
		Expect(reply.Refusal.AfterMs).To(BeEquivalentTo(30))
	})

	ginkgo.It("given a mark of another incarnation, when an attempt is queried or arrives, then its state is unknown and it is not accepted", func() {
		t, _ := newTestTable()
		earlier := Mark{"zero", 1}
		Expect(t.resolveState("a", earlier)).To(Equal(stateUnknown))
		_, result := t.Accept("a", earlier)
		Expect(result).To(Equal(Forgotten))
	})

	ginkgo.It("given a table that has dropped an era, when an attempt of that era is queried or arrives, then its state is unknown and it is not accepted", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		Expect(t.mustAccept("ran", mark).Begin()).To(BeTrue())
		Expect(t.resolveState("fenced", mark)).To(Equal(stateNeverBegan))
		for i := range 3 * testBounds.Entries {
			t.mustAccept(ID(fmt.Sprint("other-", i)), t.CurrentMark())
		}
		Expect(t.resolveState("ran", mark)).To(Equal(stateUnknown))
		Expect(t.resolveState("fenced", mark)).To(Equal(stateUnknown))
		_, result := t.Accept("fenced", mark)
		Expect(result).To(Equal(Forgotten))
		Expect(t.resolveState("never came", mark)).To(Equal(stateUnknown))
	})

	ginkgo.It("given a waiting attempt that was fenced, when its era is dropped, then it still does not begin", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		free, fencedBefore := t.mustAccept("free", mark), t.mustAccept("fenced", mark)
		Expect(t.resolveState("fenced", mark)).To(Equal(stateNeverBegan))
		for i := range 3 * testBounds.Entries {
			t.mustAccept(ID(fmt.Sprint("other-", i)), t.CurrentMark())
		}
		Expect(fencedBefore.Begin()).To(BeFalse())
		Expect(free.Begin()).To(BeTrue(), "it was never reported as never begun")
	})

	ginkgo.It("given queries under an old mark, when they fill the table, then the number of entries stays within its bound", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		for i := range 10 * testBounds.Entries {
			t.Resolve(ID(fmt.Sprint("q-", i)), mark)
			entries, _ := t.Size()
			Expect(entries).To(BeNumerically("<=", testBounds.Entries))
		}
	})

	ginkgo.It("given an old attempt, when its age exceeds the bound, then it is dropped; an empty table keeps its mark", func() {
		t, clock := newTestTable()
		mark := t.CurrentMark()
		clock.now += 10 * testBounds.Age
		Expect(t.CurrentMark()).To(Equal(mark))
		t.mustAccept("a", mark)
		for range 5 {
			clock.now += testBounds.Age / maxEras
			t.Sweep()
		}
		entries, _ := t.Size()
		Expect(entries).To(BeZero())
		Expect(t.resolveState("a", mark)).To(Equal(stateUnknown))
	})

	ginkgo.It("given held answers, when they exceed a bound on total size, answer size or age, then the attempts stay finished without an answer", func() {
		t, clock := newTestTable()
		mark := t.CurrentMark()
		finish := func(id ID, size int) {
			entry := t.mustAccept(id, mark)
			Expect(entry.Begin()).To(BeTrue())
			entry.Finish(finishedReply(size))
		}
		holds := func(id ID) bool {
			reply, _ := t.Resolve(id, mark)
			Expect(reply.State).To(Equal(stateFinished))
			return reply.Answer != nil
		}
		finish("large", 61)
		finish("first", 50)
		finish("second", 50)
		Expect([]bool{holds("large"), holds("first"), holds("second")}).To(Equal([]bool{false, true, true}))
		finish("third", 20)
		Expect([]bool{holds("first"), holds("second"), holds("third")}).To(Equal([]bool{false, true, true}))
		clock.now += testBounds.AnswerAge
		t.Sweep()
		_, bytes := t.Size()
		Expect([]bool{holds("second"), holds("third")}).To(Equal([]bool{false, false}))
		Expect(bytes).To(BeZero())
	})

	ginkgo.It("given a running attempt with a watcher, when it ends, then the watcher is notified; the attempt is of interest until the watcher has left", func() {
		t, clock := newTestTable()
		mark := t.CurrentMark()
		entry := t.mustAccept("a", mark)
		Expect(entry.HasRecentInterest(time.Second)).To(BeFalse())
		Expect(entry.Begin()).To(BeTrue())
		_, watched := t.Resolve("a", mark)
		ended, leave := watched.Watch()
		clock.now += time.Minute
		Expect(entry.HasRecentInterest(time.Second)).To(BeTrue())
		Expect(ended).NotTo(BeClosed())
		entry.Finish(finishedReply(1))
		Expect(ended).To(BeClosed())
		leave()
		Expect(entry.HasRecentInterest(time.Second)).To(BeTrue())
		clock.now += time.Second
		Expect(entry.HasRecentInterest(time.Second)).To(BeFalse())
	})
})

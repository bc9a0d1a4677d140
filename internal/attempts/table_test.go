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
	entry, verdict := t.Accept(id, m)
	ExpectWithOffset(1, verdict).To(Equal(Accepted))
	return entry
}

func finishedReply(bytes int) *wire.AttemptReply {
	return &wire.AttemptReply{State: stateFinished, Answer: &wire.AttemptAnswer{Status: 200, Body: make([]byte, bytes)}}
}

var _ = ginkgo.Describe("the memory of attempts", func() {
	ginkgo.It("given an attempt that never came, when it is asked about, then it never began, now and later, and is turned away when it comes", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		Expect(t.resolveState("a", mark)).To(Equal(stateNeverBegan))
		entry, verdict := t.Accept("a", mark)
		Expect(verdict).To(Equal(Fenced))
		Expect(entry).To(BeNil())
		Expect(t.resolveState("a", mark)).To(Equal(stateNeverBegan))
		Expect(t.mustAccept("b", mark).Begin()).To(BeTrue(), "another attempt is none of its business")
	})

	ginkgo.It("given an attempt that waits for its turn, when it is asked about, then it never begins", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		entry := t.mustAccept("a", mark)
		Expect(t.resolveState("a", mark)).To(Equal(stateNeverBegan))
		Expect(entry.Begin()).To(BeFalse())
		entry.Finish(finishedReply(1))
		Expect(t.resolveState("a", mark)).To(Equal(stateNeverBegan), "what was said once holds")
	})

	ginkgo.It("given an attempt that waits for its turn, when it is withdrawn, then it never begins; one at work can't be withdrawn", func() {
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

	ginkgo.It("given an attempt at work, when it is asked about, then it is never called unbegun", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		entry := t.mustAccept("a", mark)
		Expect(entry.Begin()).To(BeTrue())
		Expect(entry.Begin()).To(BeFalse(), "it begins once")
		Expect(t.resolveState("a", mark)).To(Equal(stateAtWork))
		_, verdict := t.Accept("a", mark)
		Expect(verdict).To(Equal(Duplicate))
		entry.Finish(finishedReply(10))
		reply, _ := t.Resolve("a", mark)
		Expect(reply.State).To(Equal(stateFinished))
		Expect(reply.Answer.Body).To(HaveLen(10))
	})

	ginkgo.It("given an attempt that was refused before it ran, when it is asked about, then the refusal is told", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		t.mustAccept("a", mark).Finish(&wire.AttemptReply{State: stateTurnedAway, Refusal: &wire.AttemptRefusal{Kind: "crowded", AfterMs: 30}})
		reply, _ := t.Resolve("a", mark)
		Expect(reply.Refusal.AfterMs).To(BeEquivalentTo(30))
	})

	ginkgo.It("given a mark of another incarnation, when it is asked about or comes, then nothing is known and nothing begins", func() {
		t, _ := newTestTable()
		earlier := Mark{"zero", 1}
		Expect(t.resolveState("a", earlier)).To(Equal(stateUnknown))
		_, verdict := t.Accept("a", earlier)
		Expect(verdict).To(Equal(Forgotten))
	})

	ginkgo.It("given a memory that overflows, when a forgotten attempt is asked about or comes, then it is neither called unbegun nor begun", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		Expect(t.mustAccept("ran", mark).Begin()).To(BeTrue())
		Expect(t.resolveState("fenced", mark)).To(Equal(stateNeverBegan))
		for i := range 3 * testBounds.Entries {
			t.mustAccept(ID(fmt.Sprint("other-", i)), t.CurrentMark())
		}
		Expect(t.resolveState("ran", mark)).To(Equal(stateUnknown))
		Expect(t.resolveState("fenced", mark)).To(Equal(stateUnknown))
		_, verdict := t.Accept("fenced", mark)
		Expect(verdict).To(Equal(Forgotten))
		Expect(t.resolveState("never came", mark)).To(Equal(stateUnknown))
	})

	ginkgo.It("given an attempt that waited while it was forgotten, when it was fenced before, then it still does not begin", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		free, fencedBefore := t.mustAccept("free", mark), t.mustAccept("fenced", mark)
		Expect(t.resolveState("fenced", mark)).To(Equal(stateNeverBegan))
		for i := range 3 * testBounds.Entries {
			t.mustAccept(ID(fmt.Sprint("other-", i)), t.CurrentMark())
		}
		Expect(fencedBefore.Begin()).To(BeFalse())
		Expect(free.Begin()).To(BeTrue(), "nobody was told that it never would")
	})

	ginkgo.It("given questions under an old mark, when they alone fill the memory, then the bound of entries holds", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		for i := range 10 * testBounds.Entries {
			t.Resolve(ID(fmt.Sprint("q-", i)), mark)
			entries, _ := t.Size()
			Expect(entries).To(BeNumerically("<=", testBounds.Entries))
		}
	})

	ginkgo.It("given an attempt of long ago, when its age passes the bound, then it is forgotten; a memory without entries keeps its mark", func() {
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

	ginkgo.It("given held answers, when they pass the bounds of bytes, size or age, then the attempts stay finished without an answer", func() {
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

	ginkgo.It("given somebody who watches an attempt at work, when it ends, then they are told; until they leave it is wanted", func() {
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

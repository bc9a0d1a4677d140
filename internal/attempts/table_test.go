package attempts

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
)

const (
	unknown    = wire.AttemptState_ATTEMPT_UNKNOWN
	neverBegan = wire.AttemptState_ATTEMPT_NEVER_BEGAN
	atWork     = wire.AttemptState_ATTEMPT_AT_WORK
	hasEnded   = wire.AttemptState_ATTEMPT_FINISHED
	turnedAway = wire.AttemptState_ATTEMPT_TURNED_AWAY
)

type handClock struct{ now time.Duration }

func (c *handClock) Now() time.Duration { return c.now }

var testBounds = Bounds{Entries: 16, Age: 40 * time.Second, AnswerBytes: 100, LargestAnswer: 60, AnswerAge: 2 * time.Second}

func newTestTable() (*Table, *handClock) {
	clock := &handClock{now: time.Hour}
	return NewTable("one", clock.Now, testBounds), clock
}

func (t *Table) stateOf(id ID, m Mark) wire.AttemptState {
	reply, _ := t.Resolve(id, m)
	return reply.State
}

func (t *Table) accepted(id ID, m Mark) *Entry {
	entry, verdict := t.Accept(id, m)
	ExpectWithOffset(1, verdict).To(Equal(Accepted))
	return entry
}

func answered(bytes int) *wire.AttemptReply {
	return &wire.AttemptReply{State: hasEnded, Answer: &wire.AttemptAnswer{Status: 200, Body: make([]byte, bytes)}}
}

var _ = ginkgo.Describe("the memory of attempts", func() {
	ginkgo.It("given an attempt that never came, when it is asked about, then it never began, now and later, and is turned away when it comes", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		Expect(t.stateOf("a", mark)).To(Equal(neverBegan))
		entry, verdict := t.Accept("a", mark)
		Expect(verdict).To(Equal(Fenced))
		Expect(entry).To(BeNil())
		Expect(t.stateOf("a", mark)).To(Equal(neverBegan))
		Expect(t.accepted("b", mark).Begin()).To(BeTrue(), "another attempt is none of its business")
	})

	ginkgo.It("given an attempt that waits for its turn, when it is asked about, then it never begins", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		entry := t.accepted("a", mark)
		Expect(t.stateOf("a", mark)).To(Equal(neverBegan))
		Expect(entry.Begin()).To(BeFalse())
		entry.Finish(answered(1))
		Expect(t.stateOf("a", mark)).To(Equal(neverBegan), "what was said once holds")
	})

	ginkgo.It("given an attempt that waits for its turn, when it is withdrawn, then it never begins; one at work can't be withdrawn", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		entry := t.accepted("a", mark)
		Expect(entry.Withdraw()).To(BeTrue())
		Expect(entry.Begin()).To(BeFalse())
		Expect(t.stateOf("a", mark)).To(Equal(neverBegan))
		working := t.accepted("b", mark)
		Expect(working.Begin()).To(BeTrue())
		Expect(working.Withdraw()).To(BeFalse())
		Expect(t.stateOf("b", mark)).To(Equal(atWork))
	})

	ginkgo.It("given an attempt at work, when it is asked about, then it is never called unbegun", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		entry := t.accepted("a", mark)
		Expect(entry.Begin()).To(BeTrue())
		Expect(entry.Begin()).To(BeFalse(), "it begins once")
		Expect(t.stateOf("a", mark)).To(Equal(atWork))
		_, verdict := t.Accept("a", mark)
		Expect(verdict).To(Equal(Duplicate))
		entry.Finish(answered(10))
		reply, _ := t.Resolve("a", mark)
		Expect(reply.State).To(Equal(hasEnded))
		Expect(reply.Answer.Body).To(HaveLen(10))
	})

	ginkgo.It("given an attempt that was refused before it ran, when it is asked about, then the refusal is told", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		t.accepted("a", mark).Finish(&wire.AttemptReply{State: turnedAway, Refusal: &wire.AttemptRefusal{Kind: "crowded", AfterMs: 30}})
		reply, _ := t.Resolve("a", mark)
		Expect(reply.Refusal.AfterMs).To(BeEquivalentTo(30))
	})

	ginkgo.It("given a mark of another incarnation, when it is asked about or comes, then nothing is known and nothing begins", func() {
		t, _ := newTestTable()
		earlier := Mark{"zero", 1}
		Expect(t.stateOf("a", earlier)).To(Equal(unknown))
		_, verdict := t.Accept("a", earlier)
		Expect(verdict).To(Equal(Forgotten))
	})

	ginkgo.It("given a memory that overflows, when a forgotten attempt is asked about or comes, then it is neither called unbegun nor begun", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		Expect(t.accepted("ran", mark).Begin()).To(BeTrue())
		Expect(t.stateOf("fenced", mark)).To(Equal(neverBegan))
		for i := range 3 * testBounds.Entries {
			t.accepted(ID(fmt.Sprint("other-", i)), t.CurrentMark())
		}
		Expect(t.stateOf("ran", mark)).To(Equal(unknown))
		Expect(t.stateOf("fenced", mark)).To(Equal(unknown))
		_, verdict := t.Accept("fenced", mark)
		Expect(verdict).To(Equal(Forgotten))
		Expect(t.stateOf("never came", mark)).To(Equal(unknown))
	})

	ginkgo.It("given an attempt that waited while it was forgotten, when it was fenced before, then it still does not begin", func() {
		t, _ := newTestTable()
		mark := t.CurrentMark()
		free, fencedBefore := t.accepted("free", mark), t.accepted("fenced", mark)
		Expect(t.stateOf("fenced", mark)).To(Equal(neverBegan))
		for i := range 3 * testBounds.Entries {
			t.accepted(ID(fmt.Sprint("other-", i)), t.CurrentMark())
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
		t.accepted("a", mark)
		for range 5 {
			clock.now += testBounds.Age / erasKept
			t.Sweep()
		}
		entries, _ := t.Size()
		Expect(entries).To(BeZero())
		Expect(t.stateOf("a", mark)).To(Equal(unknown))
	})

	ginkgo.It("given held answers, when they pass the bounds of bytes, size or age, then the attempts stay finished without an answer", func() {
		t, clock := newTestTable()
		mark := t.CurrentMark()
		finish := func(id ID, size int) {
			entry := t.accepted(id, mark)
			Expect(entry.Begin()).To(BeTrue())
			entry.Finish(answered(size))
		}
		holds := func(id ID) bool {
			reply, _ := t.Resolve(id, mark)
			Expect(reply.State).To(Equal(hasEnded))
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
		entry := t.accepted("a", mark)
		Expect(entry.HasRecentInterest(time.Second)).To(BeFalse())
		Expect(entry.Begin()).To(BeTrue())
		_, watched := t.Resolve("a", mark)
		ended, leave := watched.Watch()
		clock.now += time.Minute
		Expect(entry.HasRecentInterest(time.Second)).To(BeTrue())
		Expect(ended).NotTo(BeClosed())
		entry.Finish(answered(1))
		Expect(ended).To(BeClosed())
		leave()
		Expect(entry.HasRecentInterest(time.Second)).To(BeTrue())
		clock.now += time.Second
		Expect(entry.HasRecentInterest(time.Second)).To(BeFalse())
	})
})

package controlclient

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"curlewreach/proto/wire"
)

// provenNode starts a node beside three control machines whose answers tell as of when they are the newest.
func (s *stand) provenNode() (all []*standControl, n *node) {
	all = s.controls(3)
	for _, c := range all {
		c.set(func() { c.ages = true })
	}
	n = s.node(1, addresses(all))
	s.WaitUntil(time.Second, n.Confirmed)
	return all, n
}

var _ = ginkgo.Describe("asking beyond the polls", func() {
	begun := 10 * time.Second
	fresh := func() *configFreshness {
		f := newConfigFreshness(inForce, begun)
		return &f
	}

	ginkgo.DescribeTable("given what is known, the next refresh is due", func(prepare func(f *configFreshness), now, due time.Duration) {
		f := fresh()
		prepare(f)
		Expect(f.nextRefresh(5, begun+now)).To(Equal(begun + due))
	},
		ginkgo.Entry("half the in-force bound after the node began", func(*configFreshness) {}, time.Duration(0), time.Second),
		ginkgo.Entry("half the in-force bound after the last proof", func(f *configFreshness) { f.proven(begun + 300*time.Millisecond) }, time.Duration(0), 1300*time.Millisecond),
		ginkgo.Entry("no earlier for an older proof", func(f *configFreshness) {
			f.proven(begun + 300*time.Millisecond)
			f.proven(begun + 200*time.Millisecond)
		}, time.Duration(0), 1300*time.Millisecond),
		ginkgo.Entry("soon after a peer's hint", func(f *configFreshness) { f.hint(7, begun+100*time.Millisecond) }, 100*time.Millisecond, 250*time.Millisecond),
		ginkgo.Entry("as usual after a hint at what is in force", func(f *configFreshness) { f.hint(5, begun+100*time.Millisecond) }, 100*time.Millisecond, time.Second),
		ginkgo.Entry("as usual once a hint has not been borne out for long", func(f *configFreshness) {
			f.hint(7, begun)
			f.proven(begun + 2*time.Second)
		}, 2*time.Second, 3*time.Second),
		ginkgo.Entry("a pause after the last one", func(f *configFreshness) { f.begin(begun + 1100*time.Millisecond) }, 1100*time.Millisecond, 1250*time.Millisecond),
		ginkgo.Entry("later and later while none brings anything", func(f *configFreshness) {
			for range 6 {
				f.begin(begun + 2*time.Second)
			}
		}, 2*time.Second, 2600*time.Millisecond),
		ginkgo.Entry("half the in-force bound later at most", func(f *configFreshness) {
			for range 60 {
				f.begin(begun + 2*time.Second)
			}
		}, 2*time.Second, 3*time.Second),
	)

	ginkgo.It("lets three be in flight at most", func() {
		f := fresh()
		Expect([]bool{f.begin(begun), f.begin(begun), f.begin(begun), f.begin(begun)}).To(Equal([]bool{true, true, true, false}))
	})

	story("given three control machines whose answers to polls all hang, when a newer configuration is acknowledged, then it is in force within the bound by further questions, on connections of their own", func(s *stand) {
		all := s.controls(3)
		n := s.node(1, addresses(all))
		s.WaitUntil(time.Second, n.Confirmed)
		time.Sleep(3 * time.Second)
		for _, c := range all {
			c.set(func() { c.freeze, c.serial = time.Minute, 7 })
		}
		Expect(s.WaitUntil(10*time.Second, func() bool { return n.Serial() == 7 })).To(BeNumerically("<", 3*inForce/4))
	})

	story("given nobody with a majority, when the in-force bound is over, then the node serves on and says that it is in doubt, and asks with growing pauses", func(s *stand) {
		all, n := s.provenNode()
		time.Sleep(3 * time.Second)
		Expect(n.IsStale(n.ConfigurationAge())).To(BeFalse())
		Expect(n.ConfigurationAge()).To(BeNumerically("<", inForce/2))
		cutOff(all...)
		time.Sleep(20 * time.Second)
		Expect(n.Ready()).To(BeTrue())
		Expect(n.IsStale(n.ConfigurationAge())).To(BeTrue())
		Expect(n.ConfigurationAge()).To(BeNumerically("~", 20*time.Second, 700*time.Millisecond))
		for _, c := range all {
			c.set(func() { c.refreshed = 0 })
		}
		time.Sleep(10 * time.Second)
		refreshes := 0
		for _, c := range all {
			c.set(func() { refreshes += c.refreshed })
		}
		Expect(refreshes).To(And(BeNumerically(">", 5), BeNumerically("<=", 11)))
		for _, c := range all {
			c.set(func() { c.confirmed = true })
		}
		time.Sleep(time.Second)
		Expect(n.IsStale(n.ConfigurationAge())).To(BeFalse())
	})

	story("given a calm fleet, when minutes pass, then nobody is asked beyond the polls", func(s *stand) {
		all, _ := s.provenNode()
		time.Sleep(2 * time.Minute)
		for _, c := range all {
			c.set(func() { Expect(c.refreshed).To(BeZero()) })
		}
	})
})

// TestProofNeverReachesBeyondTheMajorityRound draws when a round of questions began, when a question was sent and
// came, how long it was held, how long the answer stood still before it was sent and how long it was under way: the
// proof that a node takes from it never lies after the beginning of that round.
func TestProofNeverReachesBeyondTheMajorityRound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(label string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, label))
		}
		sent := span("sent", time.Minute)
		came := sent + span("under way to the control machine", 3*time.Second)
		made := came + span("held", 3*time.Second)
		looked := made + span("standstill between the two looks at the clock", 3*time.Second)
		round := max(looked-span("age of the round", 10*time.Second), 0)
		heldMs, ageMs := uint64((made-came)/time.Millisecond), uint64((looked-round)/time.Millisecond)+1
		n := &Client{freshness: newConfigFreshness(inForce, 0)}
		n.isConfirmed.Store(true)
		n.proveFresh(&wire.PollReply{FreshMs: proto.Uint64(ageMs), HeldMs: heldMs}, sent)
		if n.freshness.asOf > round {
			t.Fatalf("proven as of %v, but the round began at %v", n.freshness.asOf, round)
		}
	})
}

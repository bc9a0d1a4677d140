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

// startNodeWithFreshness starts a node and three controllers whose replies state their freshness.
func (s *testbed) startNodeWithFreshness() (all []*fakeController, n *testNode) {
	all = s.startControllers(3)
	for _, c := range all {
		c.update(func() { c.reportsFreshness = true })
	}
	n = s.startNode(1, addresses(all))
	s.WaitUntil(time.Second, n.Confirmed)
	return all, n
}

var _ = ginkgo.Describe("refreshes", func() {
	start := 10 * time.Second
	newFreshness := func() *configFreshness {
		f := newConfigFreshness(inForce, start)
		return &f
	}

	ginkgo.DescribeTable("given the proofs, hints and refreshes so far, the next refresh is due", func(prepare func(f *configFreshness), now, due time.Duration) {
		f := newFreshness()
		prepare(f)
		Expect(f.nextRefreshAt(5, start+now)).To(Equal(start + due))
	},
		ginkgo.Entry("half the in-force bound after the node started", func(*configFreshness) {}, time.Duration(0), time.Second),
		ginkgo.Entry("half the in-force bound after the latest proof", func(f *configFreshness) { f.recordCurrent(start + 300*time.Millisecond) }, time.Duration(0), 1300*time.Millisecond),
		ginkgo.Entry("no earlier after an older proof", func(f *configFreshness) {
			f.recordCurrent(start + 300*time.Millisecond)
			f.recordCurrent(start + 200*time.Millisecond)
		}, time.Duration(0), 1300*time.Millisecond),
		ginkgo.Entry("soon after a peer's hint of a newer configuration", func(f *configFreshness) { f.recordHint(7, start+100*time.Millisecond) }, 100*time.Millisecond, 250*time.Millisecond),
		ginkgo.Entry("as usual after a hint of the configuration in force", func(f *configFreshness) { f.recordHint(5, start+100*time.Millisecond) }, 100*time.Millisecond, time.Second),
		ginkgo.Entry("as usual once a hint has expired", func(f *configFreshness) {
			f.recordHint(7, start)
			f.recordCurrent(start + 2*time.Second)
		}, 2*time.Second, 3*time.Second),
		ginkgo.Entry("one interval after the last refresh", func(f *configFreshness) { f.beginRefresh(start + 1100*time.Millisecond) }, 1100*time.Millisecond, 1250*time.Millisecond),
		ginkgo.Entry("with backoff while refreshes bring no progress", func(f *configFreshness) {
			for range 6 {
				f.beginRefresh(start + 2*time.Second)
			}
		}, 2*time.Second, 2600*time.Millisecond),
		ginkgo.Entry("at most half the in-force bound after the last refresh", func(f *configFreshness) {
			for range 60 {
				f.beginRefresh(start + 2*time.Second)
			}
		}, 2*time.Second, 3*time.Second),
	)

	ginkgo.It("allows at most three in flight", func() {
		f := newFreshness()
		Expect([]bool{f.beginRefresh(start), f.beginRefresh(start), f.beginRefresh(start), f.beginRefresh(start)}).To(Equal([]bool{true, true, true, false}))
	})

	spec("given three controllers whose replies to polls hang, when a newer configuration is acknowledged, then refreshes on separate connections bring it in force within the bound", func(s *testbed) {
		all := s.startControllers(3)
		n := s.startNode(1, addresses(all))
		s.WaitUntil(time.Second, n.Confirmed)
		time.Sleep(3 * time.Second)
		for _, c := range all {
			c.update(func() { c.nextReplyDelay, c.serial = time.Minute, 7 })
		}
		Expect(s.WaitUntil(10*time.Second, func() bool { return n.Serial() == 7 })).To(BeNumerically("<", 3*inForce/4))
	})

	spec("given no controller with a majority, when the in-force bound has passed, then the node keeps serving, reports its configuration as stale and refreshes with backoff", func(s *testbed) {
		all, n := s.startNodeWithFreshness()
		time.Sleep(3 * time.Second)
		Expect(n.IsStale(n.ConfigurationAge())).To(BeFalse())
		Expect(n.ConfigurationAge()).To(BeNumerically("<", inForce/2))
		removeMajority(all...)
		time.Sleep(20 * time.Second)
		Expect(n.Ready()).To(BeTrue())
		Expect(n.IsStale(n.ConfigurationAge())).To(BeTrue())
		Expect(n.ConfigurationAge()).To(BeNumerically("~", 20*time.Second, 700*time.Millisecond))
		for _, c := range all {
			c.update(func() { c.refreshes = 0 })
		}
		time.Sleep(10 * time.Second)
		refreshes := 0
		for _, c := range all {
			c.update(func() { refreshes += c.refreshes })
		}
		Expect(refreshes).To(And(BeNumerically(">", 5), BeNumerically("<=", 11)))
		for _, c := range all {
			c.update(func() { c.hasMajority = true })
		}
		time.Sleep(time.Second)
		Expect(n.IsStale(n.ConfigurationAge())).To(BeFalse())
	})

	spec("given working controllers and an unchanged configuration, when minutes pass, then no refreshes are sent", func(s *testbed) {
		all, _ := s.startNodeWithFreshness()
		time.Sleep(2 * time.Minute)
		for _, c := range all {
			c.update(func() { Expect(c.refreshes).To(BeZero()) })
		}
	})
})

// TestProofNeverReachesBeyondTheMajorityRound guards against proofs of freshness that are too new when a
// process is suspended. It draws when a request was sent and received, how long it was held, how long the
// controller was suspended between the clock readings for HeldMs and FreshMs, and the age of the majority
// round. The proof that a node derives must never be later than the start of that round.
func TestProofNeverReachesBeyondTheMajorityRound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawDuration := func(label string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, label))
		}
		sentAt := drawDuration("request sent", time.Minute)
		receivedAt := sentAt + drawDuration("time to the controller", 3*time.Second)
		heldUntil := receivedAt + drawDuration("held", 3*time.Second)
		freshnessReadAt := heldUntil + drawDuration("suspension between the two clock readings", 3*time.Second)
		roundStartedAt := max(freshnessReadAt-drawDuration("age of the round", 10*time.Second), 0)
		heldMs, ageMs := uint64((heldUntil-receivedAt)/time.Millisecond), uint64((freshnessReadAt-roundStartedAt)/time.Millisecond)+1
		client := &Client{freshness: newConfigFreshness(inForce, 0)}
		client.isConfirmed.Store(true)
		client.recordFreshness(&wire.PollReply{FreshMs: proto.Uint64(ageMs), HeldMs: heldMs}, sentAt)
		if client.freshness.currentAsOf > roundStartedAt {
			t.Fatalf("proven as of %v, but the round started at %v", client.freshness.currentAsOf, roundStartedAt)
		}
	})
}

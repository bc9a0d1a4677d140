package listedfleet

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/testing/judge"
	"curlewreach/internal/testing/standin"
	"curlewreach/proto/wire"
)

// librariansShareChange returns a change of the librarians' weight for recorded spans.
func librariansShareChange(weight float64) *wire.Change {
	return &wire.Change{Shares: []*wire.Share{{Group: "librarians", Carried: 1, Watched: weight}}}
}

// newestAccepted returns the serial of the newest bundle that was acknowledged as accepted, 0 if there is none.
func (f *Fleet) newestAccepted() uint64 {
	for _, ack := range reversed(f.History.Acks()) {
		if ack.Verdict == wire.Verdict_TAKEN {
			return ack.Serial
		}
	}
	return 0
}

func reversed[T any](items []T) []T {
	result := make([]T, 0, len(items))
	for i := len(items) - 1; i >= 0; i-- {
		result = append(result, items[i])
	}
	return result
}

// awaitOutcome waits up to 20 s for the final outcome of a submission, and records it.
func (f *Fleet) awaitOutcome(submission string) *wire.Outcome {
	var outcome *wire.Outcome
	f.WaitUntil(20*time.Second, func() bool {
		status, err := f.OperatorClient.Status(f.Scope, submission)
		if err == nil && status.Verdict != wire.Verdict_UNKNOWN {
			outcome = status
		}
		return outcome != nil
	})
	Expect(outcome).NotTo(BeNil(), "an unknown outcome is resolved once controllers are back")
	f.History.RecordOutcome(outcome)
	return outcome
}

// push applies a change. If that fails, the outcome's verdict is UNKNOWN.
func (f *Fleet) push(submission string, base uint64, change *wire.Change) *wire.Outcome {
	outcome, err := f.Apply(submission, &wire.DraftRequest{Base: base, Change: change})
	if err != nil {
		return &wire.Outcome{Submission: submission}
	}
	return outcome
}

var _ = ginkgo.Describe("rollouts", func() {
	scenario("given many bundles in a row, when clients make requests, then each is in force in time and no node returns to an older one", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(80)
		for serial := uint64(1); serial < 8; serial++ {
			outcome := f.push(fmt.Sprint("s", serial), serial, librariansShareChange(float64(serial)))
			Expect(outcome.Verdict).To(Equal(wire.Verdict_TAKEN))
			Expect(f.WaitUntil(2*time.Second, func() bool { return f.AllNodesHaveSerial(serial + 1) })).To(BeTrue())
			f.Sleep(700 * time.Millisecond)
		}
		f.StopLoad()
		expectNoViolations(f)
		Expect(f.outcomeCounts(f.History.Calls())).To(HaveLen(1), "a rollout rejects no request")
	})

	scenario("given an isolated node, when a bundle rolls out, then the node rejects requests instead of serving under the older one", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(80)
		f.Sleep(time.Second)
		f.Isolate(f.Nodes[0])
		Expect(f.push("second", 1, librariansShareChange(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Sleep(4 * time.Second)
		Expect(f.Nodes[0].Node.Node.Ready()).To(BeFalse())
		call := f.send(f.Nodes[0], holdRequest, "alone")
		Expect(call.Outcome).To(Equal("not-run"))
		f.World.HealAll()
		f.Sleep(2 * time.Second)
		Expect(f.Nodes[0].Node.Node.Bundle().Serial).To(Equal(uint64(2)))
		f.StopLoad()
		expectNoViolations(f)
	})

	scenario("given all controllers down, when clients make requests, then nodes confirm each other's bundle and continue to serve", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		f.Sleep(2 * time.Second)
		for _, m := range f.Controllers {
			f.Kill(m)
		}
		f.Sleep(2 * time.Second)
		before := len(f.History.Calls())
		f.Sleep(5 * time.Second)
		f.StopLoad()
		calls := f.History.Calls()[before:]
		Expect(f.outcomeCounts(calls)["answered"]).To(BeNumerically(">", 19*len(calls)/20))
		expectNoViolations(f)
	})

	scenario("given controllers cut off from all nodes during a rollout, when the cut heals, then no node has returned to an older bundle and there is one final outcome", []uint64{1, 2, 3, 4, 5, 6}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(80)
		f.Sleep(time.Second)
		done := make(chan *wire.Outcome, 1)
		go func() { done <- f.push("second", 1, librariansShareChange(2)) }()
		f.Sleep(time.Duration(f.Seed) * 2 * time.Millisecond)
		for _, controller := range f.Controllers {
			for _, node := range f.Nodes {
				f.Partition(controller, node)
			}
		}
		f.Sleep(5 * time.Second)
		f.World.HealAll()
		outcome := <-done
		if outcome.Verdict == wire.Verdict_UNKNOWN {
			outcome = f.awaitOutcome("second")
		}
		f.Sleep(3 * time.Second)
		Expect(f.awaitOutcome("second").Verdict).To(Equal(outcome.Verdict))
		for _, m := range f.Nodes {
			Expect(m.Node.Node.Ready()).To(BeTrue())
			Expect(m.Node.Node.Bundle().Serial).To(Equal(f.newestAccepted()))
		}
		f.StopLoad()
		expectNoViolations(f)
	})

	scenario("given a power loss of the owner during a change, when another controller takes over, then the change is resolved and the fleet serves", []uint64{1, 2, 3, 4, 5, 6}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(80)
		f.Sleep(time.Second)
		done := make(chan *wire.Outcome, 1)
		go func() { done <- f.push("second", 1, librariansShareChange(2)) }()
		f.Sleep(time.Duration(f.Seed) * 1500 * time.Microsecond)
		owner, _, known := f.Controllers[1].Controller.ReplicatedStore.Owner("bundle")
		Expect(known).To(BeTrue())
		for _, m := range f.Controllers {
			if m.Address == owner.Address {
				f.PowerLoss(m)
			}
		}
		<-done
		outcome := f.awaitOutcome("second")
		f.Sleep(3 * time.Second)
		Expect(f.AllNodesHaveSerial(f.newestAccepted())).To(BeTrue())
		Expect(outcome.Verdict).NotTo(Equal(wire.Verdict_UNKNOWN))
		f.StopLoad()
		expectNoViolations(f)
	})

	scenario("given two bundles with the same base at two controllers, when both are submitted at once, then one is accepted and the other finally rejected", []uint64{1, 2, 3, 4}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		outcomes := make([]*wire.Outcome, 2)
		base.Parallel([]int{0, 1}, func(i int) {
			client := *f.OperatorClient
			client.Controllers = client.Controllers[i : i+1]
			outcomes[i], _ = client.Apply(f.Scope, fmt.Sprint("race-", i), &wire.DraftRequest{Base: 1, Change: librariansShareChange(float64(2 + i))}, f.OperatorKey)
			f.History.RecordOutcome(outcomes[i])
		})
		verdicts := []wire.Verdict{outcomes[0].Verdict, outcomes[1].Verdict}
		Expect(verdicts).To(ConsistOf(wire.Verdict_TAKEN, wire.Verdict_BOUNCED))
		f.Sleep(3 * time.Second)
		for i, outcome := range outcomes {
			Expect(f.awaitOutcome(fmt.Sprint("race-", i)).Verdict).To(Equal(outcome.Verdict))
			if outcome.Verdict == wire.Verdict_BOUNCED {
				Expect(outcome.Mishap.Kind).To(Equal(string(base.StaleBase)))
			}
		}
		f.StopLoad()
		expectNoViolations(f)
	})

	scenario("given most nodes down, when a bundle is pushed, then it is withdrawn and finally rejected", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		for _, m := range f.Nodes[1:] {
			f.Kill(m)
		}
		f.Sleep(time.Second)
		outcome := f.push("second", 1, librariansShareChange(2))
		Expect(outcome.Verdict).To(Equal(wire.Verdict_BOUNCED))
		for _, m := range f.Nodes[1:] {
			Expect(f.StartProcess(m)).To(Succeed())
		}
		f.Sleep(3 * time.Second)
		Expect(f.awaitOutcome("second").Verdict).To(Equal(wire.Verdict_BOUNCED))
		Expect(f.push("third", 1, librariansShareChange(3)).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.StartLoad(60)
		f.Sleep(2 * time.Second)
		f.StopLoad()
		expectNoViolations(f)
	})

	scenario("given a slow request in progress, when a bundle rolls out, then it is neither dropped nor sent to an upstream under the older bundle", []uint64{1, 2}, func(f *Fleet) {
		f.Behaviors = []standin.Behavior{{Prefix: "/catalogue/report", MinDelay: 3000, FillerBytes: 2000}}
		startAll(f)
		done := make(chan judge.Call, 1)
		go func() { done <- f.send(f.Nodes[1], reportRequest, "slow") }()
		f.Sleep(200 * time.Millisecond)
		Expect(f.push("second", 1, librariansShareChange(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Sleep(time.Second)
		f.send(f.Nodes[0], holdRequest, "new")
		call := <-done
		Expect(call.Status).To(Equal(200))
		Expect(call.Broken).To(BeEmpty())
		expectNoViolations(f)
	})

	scenario("given a power loss of all machines, when they restart, then requests succeed again well within 15 s under the newest bundle", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		Expect(f.push("second", 1, librariansShareChange(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.StartLoad(60)
		f.Sleep(time.Second)
		machines := append(append([]*Machine{}, f.Nodes...), f.Controllers...)
		for _, m := range machines {
			f.PowerLoss(m)
		}
		lost := f.Controllers[int(f.Seed)%3]
		lost.Disk.Wipe()
		f.Sleep(2 * time.Second)
		for _, m := range machines {
			Expect(f.StartProcess(m)).To(Succeed())
		}
		restarted := f.Scope.Clock.Mono()
		f.Sleep(10 * time.Second)
		f.StopLoad()
		var late []judge.Call
		for _, call := range f.History.Calls() {
			if call.Started > restarted+5*time.Second {
				late = append(late, call)
			}
		}
		Expect(f.outcomeCounts(late)["answered"]).To(BeNumerically(">", len(late)*9/10))
		expectNoViolations(f)
		reply, err := f.OperatorClient.Bundle(f.Scope, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Serial).To(Equal(uint64(2)))
		Expect(f.WaitUntil(5*time.Second, func() bool { return lost.Controller.ControlPlane.Ready() })).To(BeTrue(), "a controller with a wiped disk recovers without an operator")
	})

	scenario("given a power loss of all controllers right after an ack, when one disk is wiped, then the newest bundle reads back complete", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		Expect(f.push("second", 1, librariansShareChange(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		for _, m := range f.Controllers {
			f.PowerLoss(m)
		}
		f.Controllers[int(f.Seed)%3].Disk.Wipe()
		for _, m := range f.Controllers {
			Expect(f.StartProcess(m)).To(Succeed())
		}
		var reply *wire.BundleReply
		Expect(f.WaitUntil(10*time.Second, func() bool {
			received, err := f.OperatorClient.Bundle(f.Scope, 2)
			reply = received
			return err == nil
		})).To(BeTrue())
		trust, err := bundle.NewTrust(f.trustedKeys)
		Expect(err).NotTo(HaveOccurred())
		manifest, fault := trust.Verify(reply.Sealed)
		Expect(fault).To(BeNil())
		Expect(bundle.IsComplete(reply.Sealed, manifest)).To(BeTrue())
	})

	scenario("given a bundle staged on one disk only, when every machine loses power, then the controllers settle it and the fleet serves without an operator", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.Partition(f.Controllers[0], f.Controllers[1])
		f.Partition(f.Controllers[0], f.Controllers[2])
		firstOnly := *f.OperatorClient
		firstOnly.Controllers = f.OperatorClient.Controllers[:1]
		_, _ = firstOnly.Apply(f.Scope, "lonely", &wire.DraftRequest{Base: 1, Change: librariansShareChange(2)}, f.OperatorKey)
		for _, m := range f.Machines() {
			f.PowerLoss(m)
		}
		f.World.HealAll()
		for _, m := range f.Machines() {
			Expect(f.StartProcess(m)).To(Succeed())
		}
		Expect(f.WaitUntil(15*time.Second, func() bool { return f.Ready(f.Nodes) })).To(BeTrue())
		f.awaitOutcome("lonely")
		expectNoViolations(f)
	})

	scenario("given wall clocks that jump in both directions, when bundles roll out, then each is in force in time and no node returns to an older one", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		for round := range uint64(4) {
			for i, m := range append(append([]*Machine{}, f.Nodes...), f.Controllers...) {
				m.Clock.Jump(time.Duration(1-2*(i%2)) * time.Duration(round+1) * time.Hour)
			}
			Expect(f.push(fmt.Sprint("jump", round), round+1, librariansShareChange(float64(round+2))).Verdict).To(Equal(wire.Verdict_TAKEN))
			f.Sleep(time.Second)
		}
		f.StopLoad()
		expectNoViolations(f)
		Expect(f.outcomeCounts(f.History.Calls())).To(HaveLen(1))
	})

	scenario("given one controller cut off from the other two, when a bundle is pushed to either side, then only the one at the majority is accepted", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		f.Partition(f.Controllers[0], f.Controllers[1])
		f.Partition(f.Controllers[0], f.Controllers[2])
		minority, majority := *f.OperatorClient, *f.OperatorClient
		minority.Controllers, majority.Controllers = f.OperatorClient.Controllers[:1], f.OperatorClient.Controllers[1:]
		minorityOutcome, _ := minority.Apply(f.Scope, "lonely", &wire.DraftRequest{Base: 1, Change: librariansShareChange(2)}, f.OperatorKey)
		Expect(minorityOutcome.GetVerdict()).NotTo(Equal(wire.Verdict_TAKEN))
		majorityOutcome, err := majority.Apply(f.Scope, "majority", &wire.DraftRequest{Base: 1, Change: librariansShareChange(3)}, f.OperatorKey)
		Expect(err).NotTo(HaveOccurred())
		if majorityOutcome.Verdict == wire.Verdict_UNKNOWN {
			majorityOutcome = f.awaitOutcome("majority")
		}
		f.History.RecordOutcome(majorityOutcome)
		f.Sleep(3 * time.Second)
		f.World.HealAll()
		f.awaitOutcome("lonely")
		f.Sleep(2 * time.Second)
		f.StopLoad()
		expectNoViolations(f)
	})
})

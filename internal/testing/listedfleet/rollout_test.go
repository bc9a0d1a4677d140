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

func nudge(weight float64) *wire.Change {
	return &wire.Change{Shares: []*wire.Share{{Group: "librarians", Carried: 1, Watched: weight}}}
}

func (f *Fleet) newest() uint64 {
	for _, ack := range reversed(f.History.Acks()) {
		if ack.Verdict == wire.Verdict_TAKEN {
			return ack.Serial
		}
	}
	return 0
}

func reversed[T any](items []T) []T {
	turned := make([]T, 0, len(items))
	for i := len(items) - 1; i >= 0; i-- {
		turned = append(turned, items[i])
	}
	return turned
}

func (f *Fleet) resolve(submission string) *wire.Outcome {
	var outcome *wire.Outcome
	f.Until(20*time.Second, func() bool {
		said, err := f.Clerk.Status(f.Scope, submission)
		if err == nil && said.Verdict != wire.Verdict_UNKNOWN {
			outcome = said
		}
		return outcome != nil
	})
	Expect(outcome).NotTo(BeNil(), "an unknown outcome resolves once the core is back")
	f.History.RecordOutcome(outcome)
	return outcome
}

func (f *Fleet) push(submission string, base uint64, change *wire.Change) *wire.Outcome {
	outcome, err := f.Apply(submission, &wire.DraftRequest{Base: base, Change: change})
	if err != nil {
		return &wire.Outcome{Submission: submission}
	}
	return outcome
}

var _ = ginkgo.Describe("a roll-out", func() {
	story("given many bundles in a row, when visitors call, then each is in force in time and none slides back", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(80)
		for serial := uint64(1); serial < 8; serial++ {
			outcome := f.push(fmt.Sprint("s", serial), serial, nudge(float64(serial)))
			Expect(outcome.Verdict).To(Equal(wire.Verdict_TAKEN))
			Expect(f.Until(2*time.Second, func() bool { return f.AllOn(serial + 1) })).To(BeTrue())
			f.Pass(700 * time.Millisecond)
		}
		f.Leave()
		sound(f)
		Expect(f.tally(f.History.Calls())).To(HaveLen(1), "a roll-out bounces nobody")
	})

	story("given a node cut off alone, when a bundle rolls out, then the node bounces rather than serve the older", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(80)
		f.Pass(time.Second)
		f.Isolate(f.Vanes[0])
		Expect(f.push("second", 1, nudge(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Pass(4 * time.Second)
		Expect(f.Vanes[0].Node.Node.Ready()).To(BeFalse())
		call := f.ask(f.Vanes[0], hold, "alone")
		Expect(call.Outcome).To(Equal("not-run"))
		f.World.HealAll()
		f.Pass(2 * time.Second)
		Expect(f.Vanes[0].Node.Node.Bundle().Serial).To(Equal(uint64(2)))
		f.Leave()
		sound(f)
	})

	story("given the whole core down, when visitors call, then a majority of the machines vouches and service goes on", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(60)
		f.Pass(2 * time.Second)
		for _, m := range f.Keels {
			f.Kill(m)
		}
		f.Pass(2 * time.Second)
		before := len(f.History.Calls())
		f.Pass(5 * time.Second)
		f.Leave()
		calls := f.History.Calls()[before:]
		Expect(f.tally(calls)["answered"]).To(BeNumerically(">", 19*len(calls)/20))
		sound(f)
	})

	story("given the core cut off amid a roll-out, when it heals, then nothing slid back and the outcome is one and final", []uint64{1, 2, 3, 4, 5, 6}, func(f *Fleet) {
		raised(f)
		f.Visit(80)
		f.Pass(time.Second)
		done := make(chan *wire.Outcome, 1)
		go func() { done <- f.push("second", 1, nudge(2)) }()
		f.Pass(time.Duration(f.Seed) * 2 * time.Millisecond)
		for _, controller := range f.Keels {
			for _, node := range f.Vanes {
				f.Cut(controller, node)
			}
		}
		f.Pass(5 * time.Second)
		f.World.HealAll()
		outcome := <-done
		if outcome.Verdict == wire.Verdict_UNKNOWN {
			outcome = f.resolve("second")
		}
		f.Pass(3 * time.Second)
		Expect(f.resolve("second").Verdict).To(Equal(outcome.Verdict))
		for _, m := range f.Vanes {
			Expect(m.Node.Node.Ready()).To(BeTrue())
			Expect(m.Node.Node.Bundle().Serial).To(Equal(f.newest()))
		}
		f.Leave()
		sound(f)
	})

	story("given the owner lost mid-change, when others take over, then the change is resolved and the fleet serves", []uint64{1, 2, 3, 4, 5, 6}, func(f *Fleet) {
		raised(f)
		f.Visit(80)
		f.Pass(time.Second)
		done := make(chan *wire.Outcome, 1)
		go func() { done <- f.push("second", 1, nudge(2)) }()
		f.Pass(time.Duration(f.Seed) * 1500 * time.Microsecond)
		owner, _, known := f.Keels[1].Controller.ReplicatedStore.Owner("bundle")
		Expect(known).To(BeTrue())
		for _, m := range f.Keels {
			if m.Address == owner.Address {
				f.PowerLoss(m)
			}
		}
		<-done
		outcome := f.resolve("second")
		f.Pass(3 * time.Second)
		Expect(f.AllOn(f.newest())).To(BeTrue())
		Expect(outcome.Verdict).NotTo(Equal(wire.Verdict_UNKNOWN))
		f.Leave()
		sound(f)
	})

	story("given two bundles at once on one base at two keels, when both are signed, then one wins and the other is bounced for good", []uint64{1, 2, 3, 4}, func(f *Fleet) {
		raised(f)
		f.Visit(60)
		outcomes := make([]*wire.Outcome, 2)
		base.Parallel([]int{0, 1}, func(i int) {
			clerk := *f.Clerk
			clerk.Controllers = clerk.Controllers[i : i+1]
			outcomes[i], _ = clerk.Apply(f.Scope, fmt.Sprint("race-", i), &wire.DraftRequest{Base: 1, Change: nudge(float64(2 + i))}, f.Key)
			f.History.RecordOutcome(outcomes[i])
		})
		verdicts := []wire.Verdict{outcomes[0].Verdict, outcomes[1].Verdict}
		Expect(verdicts).To(ConsistOf(wire.Verdict_TAKEN, wire.Verdict_BOUNCED))
		f.Pass(3 * time.Second)
		for i, outcome := range outcomes {
			Expect(f.resolve(fmt.Sprint("race-", i)).Verdict).To(Equal(outcome.Verdict))
			if outcome.Verdict == wire.Verdict_BOUNCED {
				Expect(outcome.Mishap.Kind).To(Equal(string(base.StaleBase)))
			}
		}
		f.Leave()
		sound(f)
	})

	story("given most application machines gone, when a bundle is pushed, then it is withdrawn with a definite bounce", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		for _, m := range f.Vanes[1:] {
			f.Kill(m)
		}
		f.Pass(time.Second)
		outcome := f.push("second", 1, nudge(2))
		Expect(outcome.Verdict).To(Equal(wire.Verdict_BOUNCED))
		for _, m := range f.Vanes[1:] {
			Expect(f.Raise(m)).To(Succeed())
		}
		f.Pass(3 * time.Second)
		Expect(f.resolve("second").Verdict).To(Equal(wire.Verdict_BOUNCED))
		Expect(f.push("third", 1, nudge(3)).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Visit(60)
		f.Pass(2 * time.Second)
		f.Leave()
		sound(f)
	})

	story("given a slow request under way, when a bundle rolls out, then it is neither dropped nor handed over under the older", []uint64{1, 2}, func(f *Fleet) {
		f.Habits = []standin.Behavior{{Prefix: "/catalogue/report", MinDelay: 3000, FillerBytes: 2000}}
		raised(f)
		done := make(chan judge.Call, 1)
		go func() { done <- f.ask(f.Vanes[1], report, "slow") }()
		f.Pass(200 * time.Millisecond)
		Expect(f.push("second", 1, nudge(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Pass(time.Second)
		f.ask(f.Vanes[0], hold, "new")
		call := <-done
		Expect(call.Status).To(Equal(200))
		Expect(call.Broken).To(BeEmpty())
		sound(f)
	})

	story("given all machines killed at once, when they return, then a quarter of requests is back well within 15 s on the newest bundle", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		Expect(f.push("second", 1, nudge(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Visit(60)
		f.Pass(time.Second)
		every := append(append([]*Machine{}, f.Vanes...), f.Keels...)
		for _, m := range every {
			f.PowerLoss(m)
		}
		lost := f.Keels[int(f.Seed)%3]
		lost.Disk.Wipe()
		f.Pass(2 * time.Second)
		for _, m := range every {
			Expect(f.Raise(m)).To(Succeed())
		}
		back := f.Scope.Clock.Mono()
		f.Pass(10 * time.Second)
		f.Leave()
		var late []judge.Call
		for _, call := range f.History.Calls() {
			if call.Started > back+5*time.Second {
				late = append(late, call)
			}
		}
		Expect(f.tally(late)["answered"]).To(BeNumerically(">", len(late)*9/10))
		sound(f)
		reply, err := f.Clerk.Bundle(f.Scope, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Serial).To(Equal(uint64(2)))
		Expect(f.Until(5*time.Second, func() bool { return lost.Controller.ControlPlane.Ready() })).To(BeTrue(), "a wiped core is whole again without an operator")
	})

	story("given power lost right after an ack, when the owner's disk is gone, then the newest bundle reads back whole", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		Expect(f.push("second", 1, nudge(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		for _, m := range f.Keels {
			f.PowerLoss(m)
		}
		f.Keels[int(f.Seed)%3].Disk.Wipe()
		for _, m := range f.Keels {
			Expect(f.Raise(m)).To(Succeed())
		}
		var reply *wire.BundleReply
		Expect(f.Until(10*time.Second, func() bool {
			got, err := f.Clerk.Bundle(f.Scope, 2)
			reply = got
			return err == nil
		})).To(BeTrue())
		trust, err := bundle.NewTrust(f.trusted)
		Expect(err).NotTo(HaveOccurred())
		manifest, fault := trust.Verify(reply.Sealed)
		Expect(fault).To(BeNil())
		Expect(bundle.IsComplete(reply.Sealed, manifest)).To(BeTrue())
	})

	story("given a staged bundle on one disk only, when every machine loses power, then the core settles it and serves without being asked", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Cut(f.Keels[0], f.Keels[1])
		f.Cut(f.Keels[0], f.Keels[2])
		lonely := *f.Clerk
		lonely.Controllers = f.Clerk.Controllers[:1]
		_, _ = lonely.Apply(f.Scope, "lonely", &wire.DraftRequest{Base: 1, Change: nudge(2)}, f.Key)
		for _, m := range f.Every() {
			f.PowerLoss(m)
		}
		f.World.HealAll()
		for _, m := range f.Every() {
			Expect(f.Raise(m)).To(Succeed())
		}
		Expect(f.Until(15*time.Second, func() bool { return f.Ready(f.Vanes) })).To(BeTrue())
		f.resolve("lonely")
		sound(f)
	})

	story("given wall clocks jumping both ways, when bundles roll out, then nothing is late or slides back", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(60)
		for round := range uint64(4) {
			for i, m := range append(append([]*Machine{}, f.Vanes...), f.Keels...) {
				m.Clock.Jump(time.Duration(1-2*(i%2)) * time.Duration(round+1) * time.Hour)
			}
			Expect(f.push(fmt.Sprint("jump", round), round+1, nudge(float64(round+2))).Verdict).To(Equal(wire.Verdict_TAKEN))
			f.Pass(time.Second)
		}
		f.Leave()
		sound(f)
		Expect(f.tally(f.History.Calls())).To(HaveLen(1))
	})

	story("given a core split one to two, when a bundle is pushed to either side, then only the majority's is taken", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(60)
		f.Cut(f.Keels[0], f.Keels[1])
		f.Cut(f.Keels[0], f.Keels[2])
		minority, majority := *f.Clerk, *f.Clerk
		minority.Controllers, majority.Controllers = f.Clerk.Controllers[:1], f.Clerk.Controllers[1:]
		lonely, _ := minority.Apply(f.Scope, "lonely", &wire.DraftRequest{Base: 1, Change: nudge(2)}, f.Key)
		Expect(lonely.GetVerdict()).NotTo(Equal(wire.Verdict_TAKEN))
		taken, err := majority.Apply(f.Scope, "majority", &wire.DraftRequest{Base: 1, Change: nudge(3)}, f.Key)
		Expect(err).NotTo(HaveOccurred())
		if taken.Verdict == wire.Verdict_UNKNOWN {
			taken = f.resolve("majority")
		}
		f.History.RecordOutcome(taken)
		f.Pass(3 * time.Second)
		f.World.HealAll()
		f.resolve("lonely")
		f.Pass(2 * time.Second)
		f.Leave()
		sound(f)
	})
})

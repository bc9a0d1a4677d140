package openfleet

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// forEachController calls do for each control plane replica in order.
func (f *Fleet) forEachController(do func(m *Machine)) {
	for _, m := range f.Controllers {
		do(m)
	}
}

// changeRoutes changes the services of the routes "return" and "mix" and replaces the last change's new route by one
// with the number of round. It changes c and returns it.
func changeRoutes(c *wire.Configuration, round int) *wire.Configuration {
	for _, route := range c.Routes {
		switch route.Name {
		case "return":
			route.Service = stringPtr([]string{"loans", "gates"}[round%2])
		case "mix":
			route.Destinations = []*wire.Destination{{Service: []string{"gates", "books"}[round%2], Weight: 1}}
		}
	}
	if last := len(c.Routes) - 1; c.Routes[last].Name[:3] == "new" {
		c.Routes = c.Routes[:last]
	}
	c.Routes = append(c.Routes, &wire.ConfigurationRoute{Name: fmt.Sprint("new-", round), Host: "new.example", Prefix: fmt.Sprintf("/new%d/", round), CutoffMs: 1000, AimMs: 300, Tries: 1, Service: stringPtr("books")})
	return c
}

// requestNewRoutes requests at every node the new routes of rounds 0 to rounds-1, then pauses. Which of them are
// routed shows the configuration that the node uses.
func (f *Fleet) requestNewRoutes(rounds int, pause time.Duration) {
	for round := range rounds {
		f.RequestFromAll("POST", "new.example", fmt.Sprintf("/new%d/x", round))
	}
	f.Sleep(pause)
}

var _ = ginkgo.Describe("control plane faults", func() {
	spec("given load, when all control plane replicas are killed, then nodes continue to serve", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(35)
		f.Sleep(2 * time.Second)
		f.forEachController(f.Kill)
		f.Sleep(8 * time.Second)
		f.StopLoad()
		f.expectSuccessRate(0.999, 0, 0, nil)
		checkHistory(f, RuleAtMostOnce)
	})

	spec("given load and a killed control plane, when nodes and upstreams are killed, then the other nodes route around them by their own observations", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(35)
		f.Sleep(2 * time.Second)
		f.forEachController(f.Kill)
		f.Sleep(time.Second)
		f.Kill(f.NodesOf("books")[0])
		f.NodesOf("loans")[0].Upstream.Kill()
		failedAt := f.Scope.Clock.Mono()
		f.Sleep(5 * time.Second)
		f.StopLoad()
		f.expectSuccessRate(0.98, failedAt+2500*time.Millisecond, 0, nil)
		checkHistory(f, RuleAtMostOnce)
	})

	spec("given load, when control plane replicas are killed and restarted while configurations change, then each is in force in time and no node returns to an older one", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(35)
		f.Sleep(time.Second)
		for round := range 3 {
			controller := f.Controllers[(round+int(f.Seed))%3]
			f.Kill(controller)
			outcome := f.PushConfiguration(changeRoutes(f.NextConfiguration(), round), 10*time.Second)
			Expect(outcome).NotTo(BeNil(), f.Description)
			Expect(outcome.Kind).To(BeEmpty(), f.Description)
			for range 6 {
				f.requestNewRoutes(round+2, 300*time.Millisecond)
			}
			Expect(f.StartProcess(controller)).To(Succeed())
			f.requestNewRoutes(round+2, 300*time.Millisecond)
		}
		f.ReadConfiguration()
		f.StopLoad()
		f.expectSuccessRate(0.995, 0, 0, nil)
		checkHistory(f, RuleAtMostOnce, RuleConfigInForce, RuleNoConfigRollback, RuleProposalConflict, RuleConfigDurability)
	})

	spec("given load without faults, when configurations change often, then all jobs succeed, changes are acknowledged quickly and in force in time", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(35)
		f.Sleep(time.Second)
		for round := range 5 {
			start := f.Scope.Clock.Mono()
			outcome := f.PushConfiguration(changeRoutes(f.NextConfiguration(), round), 10*time.Second)
			Expect(outcome.GetKind()).To(BeEmpty(), f.Description)
			Expect(f.Scope.Clock.Mono()-start).To(BeNumerically("<", 500*time.Millisecond), f.Description)
			for range 8 {
				f.requestNewRoutes(round+2, 150*time.Millisecond)
			}
		}
		f.Sleep(2500 * time.Millisecond)
		f.requestNewRoutes(7, 0)
		f.ReadConfiguration()
		f.StopLoad()
		f.expectSuccessRate(0.999, 0, 0, nil)
		checkHistory(f, RuleAtMostOnce, RuleConfigInForce, RuleNoConfigRollback, RuleConfigDurability, RuleFewClientErrors)
	})

	spec("given two operators at two control plane replicas, when both propose a change with the same base, then exactly one is accepted each time", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(20)
		for round := range 4 {
			outcomes := [2]*wire.ConfigurationOutcome{}
			base.Parallel([]int{0, 1}, func(i int) {
				next := changeRoutes(f.NextConfiguration(), 2*round+i)
				next.Serial += uint64(i)
				operator := f.NewOperator(fmt.Sprint(round, " ", i))
				base.Await(f.Scope, time.Duration(f.Seed)*time.Duration(i)*300*time.Microsecond)
				outcomes[i] = operator.Propose(&wire.ConfigurationProposal{Configuration: next}, next, 10*time.Second)
				if outcomes[i].GetKind() == "" && outcomes[i] != nil {
					f.recordAccepted(next)
				}
			})
			Expect(outcomes[0]).NotTo(BeNil(), f.Description)
			Expect(outcomes[1]).NotTo(BeNil(), f.Description)
			Expect((outcomes[0].Kind == "") != (outcomes[1].Kind == "")).To(BeTrue(), "%s: %v %v", f.Description, outcomes[0], outcomes[1])
			f.requestNewRoutes(2*round+2, 700*time.Millisecond)
		}
		f.ReadConfiguration()
		checkHistory(f, RuleConfigInForce, RuleNoConfigRollback, RuleProposalConflict, RuleConfigDurability)
	})

	spec("given a configuration just acknowledged, when a control plane replica loses power and its disk and restarts empty, then the configuration is kept and can be changed", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(30)
		f.Sleep(time.Second)
		for round := range 3 {
			Expect(f.PushConfiguration(changeRoutes(f.NextConfiguration(), round), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
			controller := f.Controllers[(round+int(f.Seed))%3]
			f.PowerLoss(controller)
			controller.Disk.Wipe()
			f.Sleep(500 * time.Millisecond)
			f.RestorePower(controller)
			Expect(f.StartProcess(controller)).To(Succeed())
			Expect(f.WaitUntil(5*time.Second, controller.Controller.Ready)).To(BeTrue(), f.Description)
			f.Sleep(time.Second)
		}
		f.ReadConfiguration()
		Expect(f.PushConfiguration(changeRoutes(f.NextConfiguration(), 3), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
		f.Sleep(3 * time.Second)
		f.ReadConfiguration()
		f.StopLoad()
		f.expectSuccessRate(0.998, 0, 0, nil)
		checkHistory(f, RuleProposalConflict, RuleConfigDurability)
	})

	spec("given a configuration just acknowledged, when every control plane replica loses power at once and restarts, then the configuration is kept and in force", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(30)
		f.Sleep(time.Second)
		for round := range 2 {
			Expect(f.PushConfiguration(changeRoutes(f.NextConfiguration(), round), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
			f.forEachController(f.PowerLoss)
			f.Sleep(300 * time.Millisecond)
			f.forEachController(f.RestorePower)
			f.forEachController(func(m *Machine) { Expect(f.StartProcess(m)).To(Succeed()) })
			Expect(f.WaitUntil(5*time.Second, func() bool { return f.Ready(f.Controllers) })).To(BeTrue(), f.Description)
			f.ReadConfiguration()
			f.Sleep(7 * time.Second)
			f.requestNewRoutes(round+2, 0)
		}
		f.StopLoad()
		f.expectSuccessRate(0.999, 0, 0, nil)
		checkHistory(f, RuleConfigInForce, RuleNoConfigRollback, RuleConfigDurability)
	})

	spec("given a killed control plane, when a node restarts, then it becomes ready only after a majority of replicas is back, and soon after", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(35)
		f.Sleep(time.Second)
		Expect(f.PushConfiguration(changeRoutes(f.NextConfiguration(), 0), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
		f.Sleep(2500 * time.Millisecond)
		f.forEachController(f.Kill)
		f.Sleep(500 * time.Millisecond)
		m := f.NodesOf("books")[2]
		f.Kill(m)
		f.Sleep(200 * time.Millisecond)
		Expect(f.StartProcess(m)).To(Succeed())
		f.Sleep(3 * time.Second)
		Expect(m.Node.Ready()).To(BeFalse(), f.Description)
		Expect(f.StartProcess(f.Controllers[0])).To(Succeed())
		Expect(f.StartProcess(f.Controllers[1])).To(Succeed())
		Expect(f.WaitUntil(2*time.Second, m.Node.Ready)).To(BeTrue(), f.Description)
		f.Sleep(time.Second)
		Expect(f.StartProcess(f.Controllers[2])).To(Succeed())
		f.Sleep(2 * time.Second)
		f.ReadConfiguration()
		f.requestNewRoutes(3, 0)
		f.StopLoad()
		checkHistory(f, RuleAtMostOnce, RuleConfigDurability)
	})

	spec("given one control plane replica left of three, when a node restarts, then after a delay it uses the configuration of that replica and serves", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(35)
		f.Sleep(time.Second)
		f.Kill(f.Controllers[0])
		f.Kill(f.Controllers[1])
		f.Sleep(2 * time.Second)
		m := f.NodesOf("books")[2]
		f.Kill(m)
		f.Sleep(200 * time.Millisecond)
		Expect(f.StartProcess(m)).To(Succeed())
		Expect(f.WaitUntil(2500*time.Millisecond, m.Node.Ready)).To(BeTrue(), f.Description)
		f.Sleep(3 * time.Second)
		f.StopLoad()
		f.expectSuccessRate(0.95, 0, 0, nil)
		checkHistory(f, RuleAtMostOnce)
	})

	spec("given a node cut off from the control plane during a change, when it learns of the change from a peer or the partition heals, then it uses the newer configuration and never returns to the older one", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(35)
		f.Sleep(time.Second)
		m := f.NodesOf("books")[0]
		end := f.StartDisturbance(m.Name, "cut off")
		f.forEachController(func(controller *Machine) { f.Partition(m, controller) })
		Expect(f.PushConfiguration(changeRoutes(f.NextConfiguration(), 0), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
		f.Sleep(4 * time.Second)
		f.World.HealAll()
		end()
		f.Sleep(5 * time.Second)
		f.requestNewRoutes(2, 0)
		f.StopLoad()
		f.expectSuccessRate(0.95, 0, 0, nil)
		checkHistory(f, RuleConfigInForce, RuleNoConfigRollback)
	})

	specWith("given five control plane replicas, when two are lost with their disks during changes, then every acknowledged configuration is kept", 5, map[string]int{"books": 2, "loans": 1, "gates": 1}, []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(20)
		for round := range 3 {
			outcome := f.PushConfiguration(changeRoutes(f.NextConfiguration(), round), 10*time.Second)
			Expect(outcome.GetKind()).To(BeEmpty(), f.Description)
			f.Sleep(200 * time.Millisecond)
		}
		for _, controller := range f.Controllers[:2] {
			f.PowerLoss(controller)
			controller.Disk.Wipe()
		}
		Expect(f.PushConfiguration(changeRoutes(f.NextConfiguration(), 3), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
		for _, controller := range f.Controllers[:2] {
			f.RestorePower(controller)
			Expect(f.StartProcess(controller)).To(Succeed())
		}
		Expect(f.WaitUntil(5*time.Second, func() bool { return f.Ready(f.Controllers) })).To(BeTrue(), f.Description)
		f.Kill(f.Controllers[2])
		f.Kill(f.Controllers[3])
		f.Sleep(time.Second)
		f.ReadConfiguration()
		checkHistory(f, RuleProposalConflict, RuleConfigDurability)
	})

	spec("given invalid configurations, when they are proposed, then none is accepted or in force", []uint64{1}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(30)
		invalidate := []func(c *wire.Configuration){
			func(c *wire.Configuration) { c.Routes[0].Service = stringPtr("unknown") },
			func(c *wire.Configuration) {
				c.Routes[1].Prefix, c.Routes[1].Host = c.Routes[0].Prefix, c.Routes[0].Host
			},
			func(c *wire.Configuration) { c.Routes[2].Tries = 0 },
			func(c *wire.Configuration) { c.Routes[3].Host = "" },
			func(c *wire.Configuration) { c.Serial = c.Base },
			func(c *wire.Configuration) { c.Base = 1 },
		}
		for i, each := range invalidate {
			next := changeRoutes(f.NextConfiguration(), i)
			each(next)
			operator := f.NewOperator(fmt.Sprint("bad ", i))
			outcome := operator.Propose(&wire.ConfigurationProposal{Configuration: next}, next, 5*time.Second)
			Expect(outcome.GetKind()).NotTo(BeEmpty(), "%s %d", f.Description, i)
			f.History.Update(func() { f.History.proposals[len(f.History.proposals)-1].Invalid = true })
			f.requestNewRoutes(i+1, 400*time.Millisecond)
		}
		f.ReadConfiguration()
		f.StopLoad()
		f.expectSuccessRate(0.999, 0, 0, nil)
		checkHistory(f, RuleConfigInForce, RuleNoConfigRollback, RuleProposalConflict, RuleConfigDurability, RuleFewClientErrors)
	})
})

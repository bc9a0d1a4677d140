package openfleet

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

func (f *Fleet) allControllers(do func(m *Machine)) {
	for _, m := range f.Controllers {
		do(m)
	}
}

// shift moves two routes and puts a new one in the last one's place.
func shift(c *wire.Configuration, turn int) *wire.Configuration {
	for _, route := range c.Routes {
		switch route.Name {
		case "return":
			route.Service = to([]string{"loans", "gates"}[turn%2])
		case "mix":
			route.Destinations = []*wire.Destination{{Service: []string{"gates", "books"}[turn%2], Weight: 1}}
		}
	}
	if last := len(c.Routes) - 1; c.Routes[last].Name[:3] == "new" {
		c.Routes = c.Routes[:last]
	}
	c.Routes = append(c.Routes, &wire.ConfigurationRoute{Name: fmt.Sprint("new-", turn), Host: "new.example", Prefix: fmt.Sprintf("/new%d/", turn), CutoffMs: 1000, AimMs: 300, Tries: 1, Service: to("books")})
	return c
}

func (f *Fleet) prove(turns int, pause time.Duration) {
	for turn := range turns {
		f.RequestFromAll("POST", "new.example", fmt.Sprintf("/new%d/x", turn))
	}
	f.Sleep(pause)
}

var _ = ginkgo.Describe("the core in trouble", func() {
	story("given load, when the whole core is gone, then nodes serve on", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(35)
		f.Sleep(2 * time.Second)
		f.allControllers(f.Kill)
		f.Sleep(8 * time.Second)
		f.StopLoad()
		f.fares(0.999, 0, 0, nil)
		sound(f, RuleAtMostOnce)
	})

	story("given load and a core that is gone, when nodes are killed and upstreams end, then nodes steer by what they see", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(35)
		f.Sleep(2 * time.Second)
		f.allControllers(f.Kill)
		f.Sleep(time.Second)
		f.Kill(f.NodesOf("books")[0])
		f.NodesOf("loans")[0].Upstream.Kill()
		at := f.Scope.Clock.Mono()
		f.Sleep(5 * time.Second)
		f.StopLoad()
		f.fares(0.98, at+2500*time.Millisecond, 0, nil)
		sound(f, RuleAtMostOnce)
	})

	story("given load, when control machines are killed and raised while configurations change, then each is in force in time and none goes back", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.StartLoad(35)
		f.Sleep(time.Second)
		for turn := range 3 {
			controller := f.Controllers[(turn+int(f.Seed))%3]
			f.Kill(controller)
			outcome := f.PushConfiguration(shift(f.NextConfiguration(), turn), 10*time.Second)
			Expect(outcome).NotTo(BeNil(), f.Description)
			Expect(outcome.Kind).To(BeEmpty(), f.Description)
			for range 6 {
				f.prove(turn+2, 300*time.Millisecond)
			}
			Expect(f.StartProcess(controller)).To(Succeed())
			f.prove(turn+2, 300*time.Millisecond)
		}
		f.ReadConfiguration()
		f.StopLoad()
		f.fares(0.995, 0, 0, nil)
		sound(f, RuleAtMostOnce, RuleConfigInForce, RuleNoConfigRollback, RuleProposalConflict, RuleConfigDurability)
	})

	story("given calm load, when configurations change often, then all are served, acks are quick and changes are in force in time", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.StartLoad(35)
		f.Sleep(time.Second)
		for turn := range 5 {
			begun := f.Scope.Clock.Mono()
			outcome := f.PushConfiguration(shift(f.NextConfiguration(), turn), 10*time.Second)
			Expect(outcome.GetKind()).To(BeEmpty(), f.Description)
			Expect(f.Scope.Clock.Mono()-begun).To(BeNumerically("<", 500*time.Millisecond), f.Description)
			for range 8 {
				f.prove(turn+2, 150*time.Millisecond)
			}
		}
		f.Sleep(2500 * time.Millisecond)
		f.prove(7, 0)
		f.ReadConfiguration()
		f.StopLoad()
		f.fares(0.999, 0, 0, nil)
		sound(f, RuleAtMostOnce, RuleConfigInForce, RuleNoConfigRollback, RuleConfigDurability, RuleFewClientErrors)
	})

	story("given two operators at two control machines, when both change on top of the same configuration, then one of them wins each time", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.StartLoad(20)
		for turn := range 4 {
			outcomes := [2]*wire.ConfigurationOutcome{}
			base.Parallel([]int{0, 1}, func(i int) {
				next := shift(f.NextConfiguration(), 2*turn+i)
				next.Serial += uint64(i)
				operator := f.NewOperator(fmt.Sprint(turn, " ", i))
				base.Await(f.Scope, time.Duration(f.Seed)*time.Duration(i)*300*time.Microsecond)
				outcomes[i] = operator.Propose(&wire.ConfigurationProposal{Configuration: next}, next, 10*time.Second)
				if outcomes[i].GetKind() == "" && outcomes[i] != nil {
					f.settle(next)
				}
			})
			Expect(outcomes[0]).NotTo(BeNil(), f.Description)
			Expect(outcomes[1]).NotTo(BeNil(), f.Description)
			Expect((outcomes[0].Kind == "") != (outcomes[1].Kind == "")).To(BeTrue(), "%s: %v %v", f.Description, outcomes[0], outcomes[1])
			f.prove(2*turn+2, 700*time.Millisecond)
		}
		f.ReadConfiguration()
		sound(f, RuleConfigInForce, RuleNoConfigRollback, RuleProposalConflict, RuleConfigDurability)
	})

	story("given a configuration just acked, when a control machine loses power and its disk and comes back blank, then the configuration is kept and can change", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.StartLoad(30)
		f.Sleep(time.Second)
		for turn := range 3 {
			Expect(f.PushConfiguration(shift(f.NextConfiguration(), turn), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
			controller := f.Controllers[(turn+int(f.Seed))%3]
			f.PowerLoss(controller)
			controller.Disk.Wipe()
			f.Sleep(500 * time.Millisecond)
			f.RestorePower(controller)
			Expect(f.StartProcess(controller)).To(Succeed())
			Expect(f.WaitUntil(5*time.Second, controller.Controller.Ready)).To(BeTrue(), f.Description)
			f.Sleep(time.Second)
		}
		f.ReadConfiguration()
		Expect(f.PushConfiguration(shift(f.NextConfiguration(), 3), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
		f.Sleep(3 * time.Second)
		f.ReadConfiguration()
		f.StopLoad()
		f.fares(0.998, 0, 0, nil)
		sound(f, RuleProposalConflict, RuleConfigDurability)
	})

	story("given a configuration just acked, when every control machine loses power at once and comes back, then it is kept and in force", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.StartLoad(30)
		f.Sleep(time.Second)
		for turn := range 2 {
			Expect(f.PushConfiguration(shift(f.NextConfiguration(), turn), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
			f.allControllers(f.PowerLoss)
			f.Sleep(300 * time.Millisecond)
			f.allControllers(f.RestorePower)
			f.allControllers(func(m *Machine) { Expect(f.StartProcess(m)).To(Succeed()) })
			Expect(f.WaitUntil(5*time.Second, func() bool { return f.Ready(f.Controllers) })).To(BeTrue(), f.Description)
			f.ReadConfiguration()
			f.Sleep(7 * time.Second)
			f.prove(turn+2, 0)
		}
		f.StopLoad()
		f.fares(0.999, 0, 0, nil)
		sound(f, RuleConfigInForce, RuleNoConfigRollback, RuleConfigDurability)
	})

	story("given a core that is gone, when a node starts anew, then it is not ready before a majority is back, and then soon", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(35)
		f.Sleep(time.Second)
		Expect(f.PushConfiguration(shift(f.NextConfiguration(), 0), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
		f.Sleep(2500 * time.Millisecond)
		f.allControllers(f.Kill)
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
		f.prove(3, 0)
		f.StopLoad()
		sound(f, RuleAtMostOnce, RuleConfigDurability)
	})

	story("given one control machine left of three, when a node starts anew, then it takes the configuration it is told after a while and serves", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
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
		f.fares(0.95, 0, 0, nil)
		sound(f, RuleAtMostOnce)
	})

	story("given a node cut off from the core over a change, when it hears of it from a peer or is joined again, then it takes the newer and never goes back", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(35)
		f.Sleep(time.Second)
		m := f.NodesOf("books")[0]
		end := f.StartDisturbance(m.Name, "cut off")
		f.allControllers(func(controller *Machine) { f.Partition(m, controller) })
		Expect(f.PushConfiguration(shift(f.NextConfiguration(), 0), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
		f.Sleep(4 * time.Second)
		f.World.HealAll()
		end()
		f.Sleep(5 * time.Second)
		f.prove(2, 0)
		f.StopLoad()
		f.fares(0.95, 0, 0, nil)
		sound(f, RuleConfigInForce, RuleNoConfigRollback)
	})

	storyOf("given a core of five, when two control machines are lost with their disks amid changes, then every acked configuration is kept", 5, map[string]int{"books": 2, "loans": 1, "gates": 1}, []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(20)
		for turn := range 3 {
			outcome := f.PushConfiguration(shift(f.NextConfiguration(), turn), 10*time.Second)
			Expect(outcome.GetKind()).To(BeEmpty(), f.Description)
			f.Sleep(200 * time.Millisecond)
		}
		for _, controller := range f.Controllers[:2] {
			f.PowerLoss(controller)
			controller.Disk.Wipe()
		}
		Expect(f.PushConfiguration(shift(f.NextConfiguration(), 3), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
		for _, controller := range f.Controllers[:2] {
			f.RestorePower(controller)
			Expect(f.StartProcess(controller)).To(Succeed())
		}
		Expect(f.WaitUntil(5*time.Second, func() bool { return f.Ready(f.Controllers) })).To(BeTrue(), f.Description)
		f.Kill(f.Controllers[2])
		f.Kill(f.Controllers[3])
		f.Sleep(time.Second)
		f.ReadConfiguration()
		sound(f, RuleProposalConflict, RuleConfigDurability)
	})

	story("given configurations that are not proper, when they are pushed, then none is acked or in force", []uint64{1}, func(f *Fleet) {
		raised(f)
		f.StartLoad(30)
		spoil := []func(c *wire.Configuration){
			func(c *wire.Configuration) { c.Routes[0].Service = to("nobody") },
			func(c *wire.Configuration) {
				c.Routes[1].Prefix, c.Routes[1].Host = c.Routes[0].Prefix, c.Routes[0].Host
			},
			func(c *wire.Configuration) { c.Routes[2].Tries = 0 },
			func(c *wire.Configuration) { c.Routes[3].Host = "" },
			func(c *wire.Configuration) { c.Serial = c.Base },
			func(c *wire.Configuration) { c.Base = 1 },
		}
		for i, each := range spoil {
			next := shift(f.NextConfiguration(), i)
			each(next)
			operator := f.NewOperator(fmt.Sprint("bad ", i))
			outcome := operator.Propose(&wire.ConfigurationProposal{Configuration: next}, next, 5*time.Second)
			Expect(outcome.GetKind()).NotTo(BeEmpty(), "%s %d", f.Description, i)
			f.History.Update(func() { f.History.sent[len(f.History.sent)-1].Invalid = true })
			f.prove(i+1, 400*time.Millisecond)
		}
		f.ReadConfiguration()
		f.StopLoad()
		f.fares(0.999, 0, 0, nil)
		sound(f, RuleConfigInForce, RuleNoConfigRollback, RuleProposalConflict, RuleConfigDurability, RuleFewClientErrors)
	})
})

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
		f.Prove("POST", "new.example", fmt.Sprintf("/new%d/x", turn))
	}
	f.Pass(pause)
}

var _ = ginkgo.Describe("the core in trouble", func() {
	story("given load, when the whole core is gone, then nodes serve on", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(35)
		f.Pass(2 * time.Second)
		f.allControllers(f.Kill)
		f.Pass(8 * time.Second)
		f.Away()
		f.fares(0.999, 0, 0, nil)
		sound(f, Twice)
	})

	story("given load and a core that is gone, when nodes are killed and upstreams end, then nodes steer by what they see", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(35)
		f.Pass(2 * time.Second)
		f.allControllers(f.Kill)
		f.Pass(time.Second)
		f.Kill(f.Of("books")[0])
		f.Of("loans")[0].Upstream.Kill()
		at := f.Scope.Clock.Mono()
		f.Pass(5 * time.Second)
		f.Away()
		f.fares(0.98, at+2500*time.Millisecond, 0, nil)
		sound(f, Twice)
	})

	story("given load, when control machines are killed and raised while configurations change, then each is in force in time and none goes back", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(35)
		f.Pass(time.Second)
		for turn := range 3 {
			controller := f.Controllers[(turn+int(f.Seed))%3]
			f.Kill(controller)
			outcome := f.Push(shift(f.Configuration(), turn), 10*time.Second)
			Expect(outcome).NotTo(BeNil(), f.Story)
			Expect(outcome.Kind).To(BeEmpty(), f.Story)
			for range 6 {
				f.prove(turn+2, 300*time.Millisecond)
			}
			Expect(f.Raise(controller)).To(Succeed())
			f.prove(turn+2, 300*time.Millisecond)
		}
		f.ReadBack()
		f.Away()
		f.fares(0.995, 0, 0, nil)
		sound(f, Twice, Config, Back, Race, Kept)
	})

	story("given calm load, when configurations change often, then all are served, acks are quick and changes are in force in time", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(35)
		f.Pass(time.Second)
		for turn := range 5 {
			begun := f.Scope.Clock.Mono()
			outcome := f.Push(shift(f.Configuration(), turn), 10*time.Second)
			Expect(outcome.GetKind()).To(BeEmpty(), f.Story)
			Expect(f.Scope.Clock.Mono()-begun).To(BeNumerically("<", 500*time.Millisecond), f.Story)
			for range 8 {
				f.prove(turn+2, 150*time.Millisecond)
			}
		}
		f.Pass(2500 * time.Millisecond)
		f.prove(7, 0)
		f.ReadBack()
		f.Away()
		f.fares(0.999, 0, 0, nil)
		sound(f, Twice, Config, Back, Kept, Denied)
	})

	story("given two operators at two control machines, when both change on top of the same configuration, then one of them wins each time", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(20)
		for turn := range 4 {
			outcomes := [2]*wire.ConfigurationOutcome{}
			base.Parallel([]int{0, 1}, func(i int) {
				next := shift(f.Configuration(), 2*turn+i)
				next.Serial += uint64(i)
				operator := f.Operator(fmt.Sprint(turn, " ", i))
				base.Await(f.Scope, time.Duration(f.Seed)*time.Duration(i)*300*time.Microsecond)
				outcomes[i] = operator.Propose(&wire.ConfigurationProposal{Configuration: next}, next, 10*time.Second)
				if outcomes[i].GetKind() == "" && outcomes[i] != nil {
					f.settle(next)
				}
			})
			Expect(outcomes[0]).NotTo(BeNil(), f.Story)
			Expect(outcomes[1]).NotTo(BeNil(), f.Story)
			Expect((outcomes[0].Kind == "") != (outcomes[1].Kind == "")).To(BeTrue(), "%s: %v %v", f.Story, outcomes[0], outcomes[1])
			f.prove(2*turn+2, 700*time.Millisecond)
		}
		f.ReadBack()
		sound(f, Config, Back, Race, Kept)
	})

	story("given a configuration just acked, when a control machine loses power and its disk and comes back blank, then the configuration is kept and can change", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(30)
		f.Pass(time.Second)
		for turn := range 3 {
			Expect(f.Push(shift(f.Configuration(), turn), 10*time.Second).GetKind()).To(BeEmpty(), f.Story)
			controller := f.Controllers[(turn+int(f.Seed))%3]
			f.PowerLoss(controller)
			controller.Disk.Wipe()
			f.Pass(500 * time.Millisecond)
			f.Power(controller)
			Expect(f.Raise(controller)).To(Succeed())
			Expect(f.Until(5*time.Second, controller.Controller.Ready)).To(BeTrue(), f.Story)
			f.Pass(time.Second)
		}
		f.ReadBack()
		Expect(f.Push(shift(f.Configuration(), 3), 10*time.Second).GetKind()).To(BeEmpty(), f.Story)
		f.Pass(3 * time.Second)
		f.ReadBack()
		f.Away()
		f.fares(0.998, 0, 0, nil)
		sound(f, Race, Kept)
	})

	story("given a configuration just acked, when every control machine loses power at once and comes back, then it is kept and in force", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(30)
		f.Pass(time.Second)
		for turn := range 2 {
			Expect(f.Push(shift(f.Configuration(), turn), 10*time.Second).GetKind()).To(BeEmpty(), f.Story)
			f.allControllers(f.PowerLoss)
			f.Pass(300 * time.Millisecond)
			f.allControllers(f.Power)
			f.allControllers(func(m *Machine) { Expect(f.Raise(m)).To(Succeed()) })
			Expect(f.Until(5*time.Second, func() bool { return f.Ready(f.Controllers) })).To(BeTrue(), f.Story)
			f.ReadBack()
			f.Pass(7 * time.Second)
			f.prove(turn+2, 0)
		}
		f.Away()
		f.fares(0.999, 0, 0, nil)
		sound(f, Config, Back, Kept)
	})

	story("given a core that is gone, when a node starts anew, then it is not ready before a majority is back, and then soon", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(35)
		f.Pass(time.Second)
		Expect(f.Push(shift(f.Configuration(), 0), 10*time.Second).GetKind()).To(BeEmpty(), f.Story)
		f.Pass(2500 * time.Millisecond)
		f.allControllers(f.Kill)
		f.Pass(500 * time.Millisecond)
		m := f.Of("books")[2]
		f.Kill(m)
		f.Pass(200 * time.Millisecond)
		Expect(f.Raise(m)).To(Succeed())
		f.Pass(3 * time.Second)
		Expect(m.Node.Ready()).To(BeFalse(), f.Story)
		Expect(f.Raise(f.Controllers[0])).To(Succeed())
		Expect(f.Raise(f.Controllers[1])).To(Succeed())
		Expect(f.Until(2*time.Second, m.Node.Ready)).To(BeTrue(), f.Story)
		f.Pass(time.Second)
		Expect(f.Raise(f.Controllers[2])).To(Succeed())
		f.Pass(2 * time.Second)
		f.ReadBack()
		f.prove(3, 0)
		f.Away()
		sound(f, Twice, Kept)
	})

	story("given one control machine left of three, when a node starts anew, then it takes the configuration it is told after a while and serves", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(35)
		f.Pass(time.Second)
		f.Kill(f.Controllers[0])
		f.Kill(f.Controllers[1])
		f.Pass(2 * time.Second)
		m := f.Of("books")[2]
		f.Kill(m)
		f.Pass(200 * time.Millisecond)
		Expect(f.Raise(m)).To(Succeed())
		Expect(f.Until(2500*time.Millisecond, m.Node.Ready)).To(BeTrue(), f.Story)
		f.Pass(3 * time.Second)
		f.Away()
		f.fares(0.95, 0, 0, nil)
		sound(f, Twice)
	})

	story("given a node cut off from the core over a change, when it hears of it from a peer or is joined again, then it takes the newer and never goes back", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(35)
		f.Pass(time.Second)
		m := f.Of("books")[0]
		end := f.Trouble(m.Name, "cut off")
		f.allControllers(func(controller *Machine) { f.Cut(m, controller) })
		Expect(f.Push(shift(f.Configuration(), 0), 10*time.Second).GetKind()).To(BeEmpty(), f.Story)
		f.Pass(4 * time.Second)
		f.World.HealAll()
		end()
		f.Pass(5 * time.Second)
		f.prove(2, 0)
		f.Away()
		f.fares(0.95, 0, 0, nil)
		sound(f, Config, Back)
	})

	storyOf("given a core of five, when two control machines are lost with their disks amid changes, then every acked configuration is kept", 5, map[string]int{"books": 2, "loans": 1, "gates": 1}, []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(20)
		for turn := range 3 {
			outcome := f.Push(shift(f.Configuration(), turn), 10*time.Second)
			Expect(outcome.GetKind()).To(BeEmpty(), f.Story)
			f.Pass(200 * time.Millisecond)
		}
		for _, controller := range f.Controllers[:2] {
			f.PowerLoss(controller)
			controller.Disk.Wipe()
		}
		Expect(f.Push(shift(f.Configuration(), 3), 10*time.Second).GetKind()).To(BeEmpty(), f.Story)
		for _, controller := range f.Controllers[:2] {
			f.Power(controller)
			Expect(f.Raise(controller)).To(Succeed())
		}
		Expect(f.Until(5*time.Second, func() bool { return f.Ready(f.Controllers) })).To(BeTrue(), f.Story)
		f.Kill(f.Controllers[2])
		f.Kill(f.Controllers[3])
		f.Pass(time.Second)
		f.ReadBack()
		sound(f, Race, Kept)
	})

	story("given configurations that are not proper, when they are pushed, then none is acked or in force", []uint64{1}, func(f *Fleet) {
		raised(f)
		f.Visit(30)
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
			next := shift(f.Configuration(), i)
			each(next)
			operator := f.Operator(fmt.Sprint("bad ", i))
			outcome := operator.Propose(&wire.ConfigurationProposal{Configuration: next}, next, 5*time.Second)
			Expect(outcome.GetKind()).NotTo(BeEmpty(), "%s %d", f.Story, i)
			f.History.Mark(func() { f.History.sent[len(f.History.sent)-1].Bad = true })
			f.prove(i+1, 400*time.Millisecond)
		}
		f.ReadBack()
		f.Away()
		f.fares(0.999, 0, 0, nil)
		sound(f, Config, Back, Race, Kept, Denied)
	})
})

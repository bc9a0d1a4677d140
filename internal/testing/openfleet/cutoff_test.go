package openfleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
)

const (
	startBound = 150 * time.Millisecond // from a start to a confirmed configuration
	coreRound  = 400 * time.Millisecond // 0.1 of the ack bound
)

// isolate cuts a control machine from the others, not from nodes: both ways, or only what it sends, or only what comes in.
func (f *Fleet) isolate(m *Machine, way uint64) {
	end := f.StartDisturbance(m.Name, "cut from the core")
	for _, other := range f.Controllers {
		if other == m {
			continue
		}
		if way%3 != 1 {
			f.World.Cut(m.IP, other.IP)
		}
		if way%3 != 2 {
			f.World.Cut(other.IP, m.IP)
		}
	}
	end()
}

// rejoin heals all cuts.
func (f *Fleet) rejoin() {
	end := f.StartDisturbance("core", "joined again")
	f.World.HealAll()
	end()
}

// restart kills and raises a node at once and tells how long it took to a confirmed configuration.
func (f *Fleet) restart(m *Machine) time.Duration {
	f.Kill(m)
	f.Sleep(100 * time.Millisecond)
	Expect(f.StartProcess(m)).To(Succeed())
	begun := f.Scope.Clock.Mono()
	for !m.Node.View().Confirmed && f.Scope.Clock.Mono()-begun < 10*time.Second {
		f.Sleep(100 * time.Microsecond)
	}
	Expect(m.Node.View().Confirmed).To(BeTrue(), f.Description)
	return f.Scope.Clock.Mono() - begun
}

// change pushes a configuration and shows, once nodes are in touch, that every node has it in force in time.
func (f *Fleet) change(turn int) {
	outcome := f.PushConfiguration(shift(f.NextConfiguration(), turn), 10*time.Second)
	Expect(outcome).NotTo(BeNil(), f.Description)
	Expect(outcome.Kind).To(BeEmpty(), f.Description)
	f.Sleep(inForceBound + 50*time.Millisecond)
	f.prove(turn+2, 200*time.Millisecond)
}

// held is the control machine that owns the configuration, or another, by seed.
func (f *Fleet) held(seed uint64) *Machine {
	for _, m := range f.Controllers {
		if owns := f.controller(m).Owner == m.Address(inwardPort); owns == (seed%2 == 0) {
			return m
		}
	}
	return f.Controllers[0]
}

var _ = ginkgo.Describe("a control machine that is cut off", func() {
	story("given one cut from the core for 20 s, both ways or one way, while configurations change and clocks step, when nodes start beside it, then none in touch serves an old configuration past the bound", []uint64{1, 2, 3, 4, 5, 6}, func(f *Fleet) {
		raised(f)
		f.StartLoad(20)
		f.Sleep(time.Second)
		cut := f.held(f.Seed)
		f.isolate(cut, f.Seed)
		turn := 0
		longest := coreRound + startBound // a core that has just lost one waits for it, one round long
		for _, m := range []*Machine{f.NodesOf("books")[0], f.NodesOf("loans")[1]} {
			f.PushConfiguration(shift(f.NextConfiguration(), turn), 10*time.Second)
			turn++
			Expect(f.restart(m)).To(BeNumerically("<", longest), f.Description)
			longest = startBound
			Expect(m.Node.View().Serial).To(Equal(f.NextConfiguration().Base), f.Description)
			cut.Clock.Jump(7 * time.Second)
			m.Clock.Jump(-5 * time.Second)
			f.Sleep(contact + 50*time.Millisecond)
			f.change(turn)
			turn++
		}
		f.rejoin()
		f.Sleep(contact + 50*time.Millisecond)
		f.change(turn)
		f.ReadConfiguration()
		sound(f, RuleAtMostOnce, RuleConfigInForce, RuleNoConfigRollback, RuleProposalConflict, RuleConfigDurability)
	})

	story("given nodes whose settings name only the one that is cut off, when they start beside it, then they find those with a majority and none in touch serves an old configuration past the bound", []uint64{1, 2, 3}, func(f *Fleet) {
		f.AdjustParams = func(p *wire.NodeParams) { p.Seeds = []string{f.Controllers[0].Address(inwardPort)} }
		raised(f)
		f.StartLoad(20)
		f.Sleep(time.Second)
		f.isolate(f.Controllers[0], f.Seed)
		Expect(f.PushConfiguration(shift(f.NextConfiguration(), 0), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
		for _, m := range []*Machine{f.NodesOf("books")[0], f.NodesOf("loans")[1]} {
			Expect(f.restart(m)).To(BeNumerically("<", 1500*time.Millisecond), f.Description)
			Expect(m.Node.View().Serial).To(Equal(f.NextConfiguration().Base), f.Description)
		}
		f.Sleep(contact + 50*time.Millisecond)
		f.change(1)
		f.rejoin()
		f.Sleep(contact + 50*time.Millisecond)
		f.change(2)
		sound(f, RuleConfigInForce, RuleNoConfigRollback)
	})

	story("given a node that reaches only the one that is cut off, when it starts, then it serves the old configuration marked unconfirmed, and goes on to the newest as soon as it reaches a majority", []uint64{1, 2, 3}, func(f *Fleet) {
		looked(f)
		f.StartLoad(20)
		f.Sleep(time.Second)
		m, cut := f.NodesOf("books")[1], f.Controllers[2]
		f.isolate(cut, 0)
		end := f.StartDisturbance(m.Name, "cut off")
		f.Partition(m, f.Controllers[0])
		f.Partition(m, f.Controllers[1])
		Expect(f.PushConfiguration(shift(f.NextConfiguration(), 0), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
		f.Kill(m)
		f.Sleep(100 * time.Millisecond)
		Expect(f.StartProcess(m)).To(Succeed())
		begun := f.Scope.Clock.Mono()
		Expect(f.WaitUntil(4*time.Second, m.Node.Ready)).To(BeTrue(), f.Description)
		Expect(f.Scope.Clock.Mono()-begun).To(BeNumerically("~", 1500*time.Millisecond, 100*time.Millisecond), f.Description)
		f.Sleep(12 * time.Second)
		view := f.node(m)
		Expect(view.Confirmed).To(BeFalse(), f.Description)
		Expect(view.Serial).To(Equal(uint64(3)), f.Description)
		Expect(f.see(m.Address(viewsPort), "/metrics")).To(ContainSubstring("curlew_configuration_confirmed 0\n"))
		f.World.HealAll()
		end()
		healed := f.Scope.Clock.Mono()
		Expect(f.WaitUntil(5*time.Second, func() bool { return m.Node.View().Confirmed })).To(BeTrue(), f.Description)
		Expect(m.Node.View().Serial).To(Equal(uint64(5)), f.Description)
		Expect(f.Scope.Clock.Mono()-healed).To(BeNumerically("<", 1500*time.Millisecond), f.Description)
		f.Sleep(contact)
		f.change(1)
		sound(f, RuleConfigInForce, RuleNoConfigRollback)
	})

	storyOf("given five control machines, two of a node's three seeds among them dead, when it starts and configurations change, then it asks living ones and is in time", 5, small, []uint64{1, 2}, func(f *Fleet) {
		f.AdjustParams = func(p *wire.NodeParams) { p.Seeds = p.Seeds[:3] }
		raised(f)
		f.StartLoad(20)
		f.PowerLoss(f.Controllers[0])
		f.PowerLoss(f.Controllers[1])
		f.Sleep(2 * time.Second)
		m := f.NodesOf("books")[0]
		Expect(f.restart(m)).To(BeNumerically("<", 200*time.Millisecond), f.Description)
		f.Sleep(contact)
		living := []string{f.Controllers[2].Address(inwardPort), f.Controllers[3].Address(inwardPort), f.Controllers[4].Address(inwardPort)}
		var asked []string
		for _, each := range m.Node.View().Polled {
			asked = append(asked, each.Address)
		}
		Expect(asked).To(ConsistOf(living), f.Description)
		f.change(0)
	})

	story("given a control machine that is frozen while nodes start and configurations change, when it thaws and sends what it had made, then no node takes the old for confirmed", []uint64{1, 2, 3, 4}, func(f *Fleet) {
		raised(f)
		f.StartLoad(20)
		f.Sleep(time.Second)
		frozen := f.held(f.Seed)
		for turn := range 3 {
			m := f.NodesOf("books")[turn]
			f.Kill(m)
			f.Sleep(100 * time.Millisecond)
			Expect(f.StartProcess(m)).To(Succeed())
			f.Sleep(time.Duration(f.Seed) * 700 * time.Microsecond)
			thaw := f.Freeze(frozen)
			outcome := f.PushConfiguration(shift(f.NextConfiguration(), turn), 10*time.Second)
			Expect(outcome.GetKind()).To(BeEmpty(), f.Description)
			f.Sleep(time.Duration(f.Seed) * 600 * time.Millisecond)
			thaw()
			Expect(f.WaitUntil(5*time.Second, func() bool { return m.Node.View().Confirmed && m.Node.View().Serial == outcome.Serial })).To(BeTrue(), f.Description)
		}
		f.Sleep(contact + 50*time.Millisecond)
		f.change(3)
		f.ReadConfiguration()
		sound(f, RuleAtMostOnce, RuleConfigInForce, RuleNoConfigRollback, RuleConfigDurability)
	})

	story("given a calm core, or one whose third machine is dark, when nodes start, then their first confirmed configuration comes within a few round trips", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		var told []string
		for _, dark := range []bool{false, true} {
			if dark {
				f.PowerLoss(f.Controllers[2])
				f.Sleep(2 * time.Second)
			}
			for _, m := range f.Nodes {
				took := f.restart(m)
				told = append(told, fmt.Sprintf("%.1f", took.Seconds()*1000))
				Expect(took).To(BeNumerically("<", startBound), f.Description)
			}
		}
		ginkgo.AddReportEntry("ms to a confirmed configuration, calm and beside one dark of three", strings.Join(told, " "))
	})
})

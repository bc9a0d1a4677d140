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
	confirmationBound    = 150 * time.Millisecond // from the start of a node to a confirmed configuration
	controllerRoundBound = 400 * time.Millisecond // one round of the control plane: 0.1 of the acknowledgement bound
)

// isolate cuts a control plane replica off from the other replicas, but not from nodes. The direction, modulo 3,
// chooses whether both directions are cut (0), only the traffic to it (1) or only the traffic from it (2). The
// disturbance is recorded as over at once although the partition lasts, so that it exempts nodes from the configuration
// bound for contactBound only.
func (f *Fleet) isolate(m *Machine, direction uint64) {
	end := f.StartDisturbance(m.Name, "isolated from the control plane")
	for _, other := range f.Controllers {
		if other == m {
			continue
		}
		if direction%3 != 1 {
			f.World.Cut(m.IP, other.IP)
		}
		if direction%3 != 2 {
			f.World.Cut(other.IP, m.IP)
		}
	}
	end()
}

// healPartitions heals all partitions and link faults, and records a disturbance of the control plane at that time.
func (f *Fleet) healPartitions() {
	end := f.StartDisturbance("core", "partition healed")
	f.World.HealAll()
	end()
}

// restartUntilConfirmed kills a node, starts it 100 ms later and returns how long it then took to have a confirmed
// configuration.
func (f *Fleet) restartUntilConfirmed(m *Machine) time.Duration {
	f.Kill(m)
	f.Sleep(100 * time.Millisecond)
	Expect(f.StartProcess(m)).To(Succeed())
	start := f.Scope.Clock.Mono()
	for !m.Node.View().Confirmed && f.Scope.Clock.Mono()-start < 10*time.Second {
		f.Sleep(100 * time.Microsecond)
	}
	Expect(m.Node.View().Confirmed).To(BeTrue(), f.Description)
	return f.Scope.Clock.Mono() - start
}

// changeConfiguration pushes a changed configuration, waits for inForceBound and requests its routes at every node, so
// that the rules show whether each node in contact has it in force in time.
func (f *Fleet) changeConfiguration(round int) {
	outcome := f.PushConfiguration(changeRoutes(f.NextConfiguration(), round), 10*time.Second)
	Expect(outcome).NotTo(BeNil(), f.Description)
	Expect(outcome.Kind).To(BeEmpty(), f.Description)
	f.Sleep(inForceBound + 50*time.Millisecond)
	f.requestNewRoutes(round+2, 200*time.Millisecond)
}

// controllerBySeed returns the control plane replica that owns the configuration if the seed is even, or another if it
// is odd.
func (f *Fleet) controllerBySeed(seed uint64) *Machine {
	for _, m := range f.Controllers {
		if owns := f.controllerView(m).Owner == m.Address(inboundPort); owns == (seed%2 == 0) {
			return m
		}
	}
	return f.Controllers[0]
}

var _ = ginkgo.Describe("an isolated control plane replica", func() {
	spec("given a replica isolated from the others for 20 s, in both directions or one, while configurations change and clocks step, when nodes restart, then no node in contact uses an old configuration past the bound", []uint64{1, 2, 3, 4, 5, 6}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(20)
		f.Sleep(time.Second)
		isolated := f.controllerBySeed(f.Seed)
		f.isolate(isolated, f.Seed)
		round := 0
		longest := controllerRoundBound + confirmationBound // replicas that have just lost contact with one wait one round for its response
		for _, m := range []*Machine{f.NodesOf("books")[0], f.NodesOf("loans")[1]} {
			f.PushConfiguration(changeRoutes(f.NextConfiguration(), round), 10*time.Second)
			round++
			Expect(f.restartUntilConfirmed(m)).To(BeNumerically("<", longest), f.Description)
			longest = confirmationBound
			Expect(m.Node.View().Serial).To(Equal(f.NextConfiguration().Base), f.Description)
			isolated.Clock.Jump(7 * time.Second)
			m.Clock.Jump(-5 * time.Second)
			f.Sleep(contactBound + 50*time.Millisecond)
			f.changeConfiguration(round)
			round++
		}
		f.healPartitions()
		f.Sleep(contactBound + 50*time.Millisecond)
		f.changeConfiguration(round)
		f.ReadConfiguration()
		checkHistory(f, RuleAtMostOnce, RuleConfigInForce, RuleNoConfigRollback, RuleProposalConflict, RuleConfigDurability)
	})

	spec("given nodes whose only seed is the isolated replica, when they restart, then they find the majority and no node in contact uses an old configuration past the bound", []uint64{1, 2, 3}, func(f *Fleet) {
		f.AdjustParams = func(p *wire.NodeParams) { p.Seeds = []string{f.Controllers[0].Address(inboundPort)} }
		startAll(f)
		f.StartLoad(20)
		f.Sleep(time.Second)
		f.isolate(f.Controllers[0], f.Seed)
		Expect(f.PushConfiguration(changeRoutes(f.NextConfiguration(), 0), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
		for _, m := range []*Machine{f.NodesOf("books")[0], f.NodesOf("loans")[1]} {
			Expect(f.restartUntilConfirmed(m)).To(BeNumerically("<", 1500*time.Millisecond), f.Description)
			Expect(m.Node.View().Serial).To(Equal(f.NextConfiguration().Base), f.Description)
		}
		f.Sleep(contactBound + 50*time.Millisecond)
		f.changeConfiguration(1)
		f.healPartitions()
		f.Sleep(contactBound + 50*time.Millisecond)
		f.changeConfiguration(2)
		checkHistory(f, RuleConfigInForce, RuleNoConfigRollback)
	})

	spec("given a node that reaches only the isolated replica, when it restarts, then it uses the old configuration as unconfirmed, and changes to the newest one as soon as it reaches a majority", []uint64{1, 2, 3}, func(f *Fleet) {
		startAllWithViews(f)
		f.StartLoad(20)
		f.Sleep(time.Second)
		m, isolated := f.NodesOf("books")[1], f.Controllers[2]
		f.isolate(isolated, 0)
		end := f.StartDisturbance(m.Name, "cut off")
		f.Partition(m, f.Controllers[0])
		f.Partition(m, f.Controllers[1])
		Expect(f.PushConfiguration(changeRoutes(f.NextConfiguration(), 0), 10*time.Second).GetKind()).To(BeEmpty(), f.Description)
		f.Kill(m)
		f.Sleep(100 * time.Millisecond)
		Expect(f.StartProcess(m)).To(Succeed())
		start := f.Scope.Clock.Mono()
		Expect(f.WaitUntil(4*time.Second, m.Node.Ready)).To(BeTrue(), f.Description)
		Expect(f.Scope.Clock.Mono()-start).To(BeNumerically("~", 1500*time.Millisecond, 100*time.Millisecond), f.Description)
		f.Sleep(12 * time.Second)
		view := f.nodeView(m)
		Expect(view.Confirmed).To(BeFalse(), f.Description)
		Expect(view.Serial).To(Equal(uint64(3)), f.Description)
		Expect(f.fetch(m.Address(viewPort), "/metrics")).To(ContainSubstring("curlew_configuration_confirmed 0\n"))
		f.World.HealAll()
		end()
		healed := f.Scope.Clock.Mono()
		Expect(f.WaitUntil(5*time.Second, func() bool { return m.Node.View().Confirmed })).To(BeTrue(), f.Description)
		Expect(m.Node.View().Serial).To(Equal(uint64(5)), f.Description)
		Expect(f.Scope.Clock.Mono()-healed).To(BeNumerically("<", 1500*time.Millisecond), f.Description)
		f.Sleep(contactBound)
		f.changeConfiguration(1)
		checkHistory(f, RuleConfigInForce, RuleNoConfigRollback)
	})

	specWith("given five replicas and a node with three seeds of which two have no power, when it restarts and configurations change, then it polls the running replicas and changes in time", 5, smallServices, []uint64{1, 2}, func(f *Fleet) {
		f.AdjustParams = func(p *wire.NodeParams) { p.Seeds = p.Seeds[:3] }
		startAll(f)
		f.StartLoad(20)
		f.PowerLoss(f.Controllers[0])
		f.PowerLoss(f.Controllers[1])
		f.Sleep(2 * time.Second)
		m := f.NodesOf("books")[0]
		Expect(f.restartUntilConfirmed(m)).To(BeNumerically("<", 200*time.Millisecond), f.Description)
		f.Sleep(contactBound)
		running := []string{f.Controllers[2].Address(inboundPort), f.Controllers[3].Address(inboundPort), f.Controllers[4].Address(inboundPort)}
		var polled []string
		for _, each := range m.Node.View().Polled {
			polled = append(polled, each.Address)
		}
		Expect(polled).To(ConsistOf(running), f.Description)
		f.changeConfiguration(0)
	})

	spec("given a replica that is frozen while nodes restart and configurations change, when it resumes and sends old responses, then no node takes an old configuration as confirmed", []uint64{1, 2, 3, 4}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(20)
		f.Sleep(time.Second)
		frozen := f.controllerBySeed(f.Seed)
		for round := range 3 {
			m := f.NodesOf("books")[round]
			f.Kill(m)
			f.Sleep(100 * time.Millisecond)
			Expect(f.StartProcess(m)).To(Succeed())
			f.Sleep(time.Duration(f.Seed) * 700 * time.Microsecond)
			thaw := f.Freeze(frozen)
			outcome := f.PushConfiguration(changeRoutes(f.NextConfiguration(), round), 10*time.Second)
			Expect(outcome.GetKind()).To(BeEmpty(), f.Description)
			f.Sleep(time.Duration(f.Seed) * 600 * time.Millisecond)
			thaw()
			Expect(f.WaitUntil(5*time.Second, func() bool { return m.Node.View().Confirmed && m.Node.View().Serial == outcome.Serial })).To(BeTrue(), f.Description)
		}
		f.Sleep(contactBound + 50*time.Millisecond)
		f.changeConfiguration(3)
		f.ReadConfiguration()
		checkHistory(f, RuleAtMostOnce, RuleConfigInForce, RuleNoConfigRollback, RuleConfigDurability)
	})

	spec("given three replicas, all running or one without power, when nodes restart, then they have a confirmed configuration within a few round trips", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		var reported []string
		for _, withoutPower := range []bool{false, true} {
			if withoutPower {
				f.PowerLoss(f.Controllers[2])
				f.Sleep(2 * time.Second)
			}
			for _, m := range f.Nodes {
				took := f.restartUntilConfirmed(m)
				reported = append(reported, fmt.Sprintf("%.1f", took.Seconds()*1000))
				Expect(took).To(BeNumerically("<", confirmationBound), f.Description)
			}
		}
		ginkgo.AddReportEntry("ms to a confirmed configuration, with all replicas and with one of three without power", strings.Join(reported, " "))
	})
})

package openfleet

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/random"
	"curlewreach/internal/testing/simnet"
	"curlewreach/proto/wire"
)

// lowBandwidth is what comes in at a node on thin links, in bytes a second.
const lowBandwidth = 275_000

// namedControllerFault disturbs the control machines until it is ended.
type namedControllerFault struct {
	name  string
	start func(f *Fleet, m *Machine, rnd *random.Source) (end func())
}

var namedControllerFaults = []namedControllerFault{
	{"one cut from the others, both ways or one way", func(f *Fleet, m *Machine, rnd *random.Source) func() {
		f.isolate(m, uint64(rnd.IntN(3)))
		return f.healPartitions
	}},
	{"one cut off, nodes restarted beside it with seeds that begin with it", func(f *Fleet, m *Machine, rnd *random.Source) func() {
		f.isolate(m, 0)
		f.seeds = append([]string{m.Address(inboundPort)}, f.seeds...)
		for range 2 {
			f.restartRandomNode(f.firstHalfOfNodes(), rnd)
		}
		return f.healPartitions
	}},
	{"one cut off that was restarted meanwhile", func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.isolate(m, 0)
		f.Kill(m)
		f.Sleep(200 * time.Millisecond)
		f.mustStart(m)
		return f.healPartitions
	}},
	{"one cut off, the others killed as the cut heals", func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.isolate(m, 0)
		return func() {
			f.healPartitions()
			for _, other := range f.Controllers {
				if other != m {
					f.Kill(other)
				}
			}
			f.Sleep(300 * time.Millisecond)
			for _, other := range f.Controllers {
				if other != m {
					f.mustStart(other)
				}
			}
		}
	}},
	{"one cut off from half of the nodes, too", func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.isolate(m, 0)
		end := []func(){}
		for _, node := range f.firstHalfOfNodes() {
			f.Partition(m, node)
			end = append(end, f.StartDisturbance(node.Name, "cut off"))
		}
		return func() {
			f.healPartitions()
			for _, each := range end {
				each()
			}
		}
	}},
	{"one cut off, packets lost between the others and the nodes", func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.isolate(m, 0)
		end := f.StartDisturbance(allLinks, "lossy")
		for _, node := range f.currentNodes() {
			for _, controller := range f.Controllers {
				f.World.SetLink(controller.IP, node.IP, simnet.Link{Loss: 0.1})
				f.World.SetLink(node.IP, controller.IP, simnet.Link{Loss: 0.1})
			}
		}
		return func() {
			f.healPartitions()
			end()
		}
	}},
	{"the core cut into two halves", func(f *Fleet, _ *Machine, _ *random.Source) func() {
		half := len(f.Controllers) / 2
		end := f.StartDisturbance(controllerPrefix, "cut into halves")
		for _, a := range f.Controllers[:half] {
			for _, b := range f.Controllers[half:] {
				f.Partition(a, b)
			}
		}
		return func() {
			f.healPartitions()
			end()
		}
	}},
	{"one behind, then the disk of another lost and the rest dark", func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.isolate(m, 0)
		f.Sleep(2 * time.Second)
		wiped := false
		for _, other := range f.Controllers {
			if other == m {
				continue
			}
			f.PowerLoss(other)
			if !wiped {
				other.Disk.Wipe()
				wiped = true
			}
		}
		return func() {
			f.healPartitions()
			for _, other := range f.Controllers {
				if other != m {
					f.RestorePower(other)
					f.mustStart(other)
				}
			}
		}
	}},
	{"one frozen", func(f *Fleet, m *Machine, _ *random.Source) func() { return f.Freeze(m) }},
	{"one killed", func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.Kill(m)
		return func() { f.mustStart(m) }
	}},
}

// firstHalfOfNodes are disturbed by troubles of the core, lastNodes by disturbNodes: two that restart one node at the same
// moment would get in each other's way.
func (f *Fleet) firstHalfOfNodes() []*Machine { return f.currentNodes()[:len(f.currentNodes())/2] }

func (f *Fleet) secondHalfOfNodes() []*Machine { return f.currentNodes()[len(f.currentNodes())/2:] }

// restartRandomNode kills one of some nodes and raises it again.
func (f *Fleet) restartRandomNode(nodes []*Machine, rnd *random.Source) {
	m := nodes[rnd.IntN(len(nodes))]
	f.Kill(m)
	f.Sleep(100 * time.Millisecond)
	f.mustStart(m)
}

// injectNodeFaults restarts, freezes and reloads single nodes and steps their clocks; the others stay in touch.
func (f *Fleet) injectNodeFaults(rnd *random.Source, until time.Duration) {
	for f.History.Now() < until {
		nodes := f.secondHalfOfNodes()
		m := nodes[rnd.IntN(len(nodes))]
		switch rnd.IntN(4) {
		case 0:
			f.restartRandomNode(nodes, rnd)
		case 1:
			thaw := f.Freeze(m)
			f.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
			thaw()
		case 2:
			m.Clock.Jump(time.Duration(rnd.IntN(9000)-4500) * time.Millisecond)
		case 3:
			p := f.nodeParams(m)
			p.Seeds = []string{f.Controllers[rnd.IntN(len(f.Controllers))].Address(inboundPort)}
			Expect(m.Node.Reload(p)).To(Succeed())
		}
		f.Sleep(time.Duration(300+rnd.IntN(1500)) * time.Millisecond)
	}
}

// proposePeriodically sends a change about every so often, and looks at every node which configurations are in force.
func (f *Fleet) proposePeriodically(interval, until time.Duration) {
	operator := f.NewOperator("one")
	for round := 0; f.History.Now() < until; round++ {
		next := changeRoutes(f.NextConfiguration(), round)
		if outcome := operator.Propose(&wire.ConfigurationProposal{Configuration: next}, next, 30*time.Second); outcome != nil && outcome.Kind == "" {
			f.recordAccepted(next)
		}
		for age := range 4 {
			f.requestNewRoutes(max(round-age, 0)+1, interval/4)
		}
	}
}

// configUnderFaults lets one trouble of the core after the other come, with pauses long enough that nodes are in touch
// between and amid them, while the configuration changes and single nodes are disturbed.
func configUnderFaults(f *Fleet) {
	f.zoneDelay = []time.Duration{500 * time.Microsecond, 3 * time.Millisecond, 12 * time.Millisecond}[f.Seed%3]
	rnd := f.rand("troubled configuration")
	if f.Seed%2 == 1 {
		for _, m := range f.Nodes {
			f.World.SetBandwidth(m.IP, lowBandwidth)
		}
	}
	startAll(f)
	f.StartLoad(25)
	f.Sleep(time.Second)
	until := f.History.Now() + 24*time.Second
	every := time.Duration(500+rnd.IntN(900)) * time.Millisecond
	base.Parallel([]func(){
		func() { f.proposePeriodically(every, until) },
		func() { f.injectNodeFaults(f.rand("nodes"), until) },
		func() {
			for f.History.Now() < until {
				injected := namedControllerFaults[rnd.IntN(len(namedControllerFaults))]
				f.Scope.Record("core-trouble", injected.name, "")
				end := injected.start(f, f.Controllers[rnd.IntN(len(f.Controllers))], rnd)
				f.Sleep(contactBound + time.Duration(rnd.IntN(4000))*time.Millisecond)
				end()
				f.Sleep(contactBound)
			}
		},
	}, func(do func()) { do() })
	f.World.HealAll()
	f.Sleep(contactBound + 50*time.Millisecond)
	f.changeConfiguration(1000)
	f.ReadConfiguration()
	checkHistory(f, RuleAtMostOnce, RuleConfigInForce, RuleNoConfigRollback, RuleProposalConflict, RuleConfigDurability)
}

var _ = ginkgo.Describe("the configuration under trouble of the core", func() {
	spec("given cuts of every kind, lost packets, restarts, freezes, clock steps and reloads, on thin links and in zones up to 12 ms apart, when the configuration changes all the while, then no node in touch handles a request by one older than was acknowledged the bound before", []uint64{1, 3, 5}, configUnderFaults)
})

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

// thinLink is what comes in at a node on thin links, in bytes a second.
const thinLink = 275_000

// coreTrouble disturbs the control machines until it is ended.
type coreTrouble struct {
	name  string
	begin func(f *Fleet, m *Machine, random *random.Source) (end func())
}

var coreTroubles = []coreTrouble{
	{"one cut from the others, both ways or one way", func(f *Fleet, m *Machine, random *random.Source) func() {
		f.isolate(m, uint64(random.IntN(3)))
		return f.rejoin
	}},
	{"one cut off, nodes restarted beside it with seeds that begin with it", func(f *Fleet, m *Machine, random *random.Source) func() {
		f.isolate(m, 0)
		f.seeds = append([]string{m.Address(inwardPort)}, f.seeds...)
		for range 2 {
			f.restartOne(f.firstNodes(), random)
		}
		return f.rejoin
	}},
	{"one cut off that was restarted meanwhile", func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.isolate(m, 0)
		f.Kill(m)
		f.Sleep(200 * time.Millisecond)
		f.revive(m)
		return f.rejoin
	}},
	{"one cut off, the others killed as the cut heals", func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.isolate(m, 0)
		return func() {
			f.rejoin()
			for _, other := range f.Controllers {
				if other != m {
					f.Kill(other)
				}
			}
			f.Sleep(300 * time.Millisecond)
			for _, other := range f.Controllers {
				if other != m {
					f.revive(other)
				}
			}
		}
	}},
	{"one cut off from half of the nodes, too", func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.isolate(m, 0)
		end := []func(){}
		for _, node := range f.firstNodes() {
			f.Partition(m, node)
			end = append(end, f.StartDisturbance(node.Name, "cut off"))
		}
		return func() {
			f.rejoin()
			for _, each := range end {
				each()
			}
		}
	}},
	{"one cut off, packets lost between the others and the nodes", func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.isolate(m, 0)
		end := f.StartDisturbance(allLinks, "lossy")
		for _, node := range f.nodes() {
			for _, controller := range f.Controllers {
				f.World.SetLink(controller.IP, node.IP, simnet.Link{Loss: 0.1})
				f.World.SetLink(node.IP, controller.IP, simnet.Link{Loss: 0.1})
			}
		}
		return func() {
			f.rejoin()
			end()
		}
	}},
	{"the core cut into two halves", func(f *Fleet, _ *Machine, _ *random.Source) func() {
		half := len(f.Controllers) / 2
		end := f.StartDisturbance(corePrefix, "cut into halves")
		for _, a := range f.Controllers[:half] {
			for _, b := range f.Controllers[half:] {
				f.Partition(a, b)
			}
		}
		return func() {
			f.rejoin()
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
			f.rejoin()
			for _, other := range f.Controllers {
				if other != m {
					f.RestorePower(other)
					f.revive(other)
				}
			}
		}
	}},
	{"one frozen", func(f *Fleet, m *Machine, _ *random.Source) func() { return f.Freeze(m) }},
	{"one killed", func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.Kill(m)
		return func() { f.revive(m) }
	}},
}

// firstNodes are disturbed by troubles of the core, lastNodes by disturbNodes: two that restart one node at the same
// moment would get in each other's way.
func (f *Fleet) firstNodes() []*Machine { return f.nodes()[:len(f.nodes())/2] }

func (f *Fleet) lastNodes() []*Machine { return f.nodes()[len(f.nodes())/2:] }

// restartOne kills one of some nodes and raises it again.
func (f *Fleet) restartOne(nodes []*Machine, random *random.Source) {
	m := nodes[random.IntN(len(nodes))]
	f.Kill(m)
	f.Sleep(100 * time.Millisecond)
	f.revive(m)
}

// disturbNodes restarts, freezes and reloads single nodes and steps their clocks; the others stay in touch.
func (f *Fleet) disturbNodes(random *random.Source, till time.Duration) {
	for f.History.Now() < till {
		nodes := f.lastNodes()
		m := nodes[random.IntN(len(nodes))]
		switch random.IntN(4) {
		case 0:
			f.restartOne(nodes, random)
		case 1:
			thaw := f.Freeze(m)
			f.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			thaw()
		case 2:
			m.Clock.Jump(time.Duration(random.IntN(9000)-4500) * time.Millisecond)
		case 3:
			p := f.params(m)
			p.Seeds = []string{f.Controllers[random.IntN(len(f.Controllers))].Address(inwardPort)}
			Expect(m.Node.Reload(p)).To(Succeed())
		}
		f.Sleep(time.Duration(300+random.IntN(1500)) * time.Millisecond)
	}
}

// changeOften sends a change about every so often, and looks at every node which configurations are in force.
func (f *Fleet) changeOften(every, till time.Duration) {
	operator := f.NewOperator("one")
	for turn := 0; f.History.Now() < till; turn++ {
		next := shift(f.NextConfiguration(), turn)
		if outcome := operator.Propose(&wire.ConfigurationProposal{Configuration: next}, next, 30*time.Second); outcome != nil && outcome.Kind == "" {
			f.settle(next)
		}
		for back := range 4 {
			f.prove(max(turn-back, 0)+1, every/4)
		}
	}
}

// troubledConfig lets one trouble of the core after the other come, with pauses long enough that nodes are in touch
// between and amid them, while the configuration changes and single nodes are disturbed.
func troubledConfig(f *Fleet) {
	f.apart = []time.Duration{500 * time.Microsecond, 3 * time.Millisecond, 12 * time.Millisecond}[f.Seed%3]
	random := f.rand("troubled configuration")
	if f.Seed%2 == 1 {
		for _, m := range f.Nodes {
			f.World.SetBandwidth(m.IP, thinLink)
		}
	}
	raised(f)
	f.StartLoad(25)
	f.Sleep(time.Second)
	till := f.History.Now() + 24*time.Second
	every := time.Duration(500+random.IntN(900)) * time.Millisecond
	base.Parallel([]func(){
		func() { f.changeOften(every, till) },
		func() { f.disturbNodes(f.rand("nodes"), till) },
		func() {
			for f.History.Now() < till {
				trouble := coreTroubles[random.IntN(len(coreTroubles))]
				f.Scope.Record("core-trouble", trouble.name, "")
				end := trouble.begin(f, f.Controllers[random.IntN(len(f.Controllers))], random)
				f.Sleep(contact + time.Duration(random.IntN(4000))*time.Millisecond)
				end()
				f.Sleep(contact)
			}
		},
	}, func(do func()) { do() })
	f.World.HealAll()
	f.Sleep(contact + 50*time.Millisecond)
	f.change(1000)
	f.ReadConfiguration()
	sound(f, RuleAtMostOnce, RuleConfigInForce, RuleNoConfigRollback, RuleProposalConflict, RuleConfigDurability)
}

var _ = ginkgo.Describe("the configuration under trouble of the core", func() {
	story("given cuts of every kind, lost packets, restarts, freezes, clock steps and reloads, on thin links and in zones up to 12 ms apart, when the configuration changes all the while, then no node in touch handles a request by one older than was acknowledged the bound before", []uint64{1, 3, 5}, troubledConfig)
})

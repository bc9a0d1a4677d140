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

// lowBandwidth limits the traffic into each node in runs with slow links, in bytes per second.
const lowBandwidth = 275_000

// namedControllerFault is a fault of control plane replicas that lasts until end is called. m is the replica to which
// a fault of a single replica applies.
type namedControllerFault struct {
	name  string
	start func(f *Fleet, m *Machine, rnd *random.Source) (end func())
}

var namedControllerFaults = []namedControllerFault{
	{"one replica isolated from the others, in both directions or one", func(f *Fleet, m *Machine, rnd *random.Source) func() {
		f.isolate(m, uint64(rnd.IntN(3)))
		return f.healPartitions
	}},
	{"one replica isolated, nodes restarted with it as their first seed", func(f *Fleet, m *Machine, rnd *random.Source) func() {
		f.isolate(m, 0)
		f.seeds = append([]string{m.Address(inboundPort)}, f.seeds...)
		for range 2 {
			f.restartRandomNode(f.firstHalfOfNodes(), rnd)
		}
		return f.healPartitions
	}},
	{"one replica isolated and restarted", func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.isolate(m, 0)
		f.Kill(m)
		f.Sleep(200 * time.Millisecond)
		f.mustStart(m)
		return f.healPartitions
	}},
	{"one replica isolated, the others killed as the partition heals", func(f *Fleet, m *Machine, _ *random.Source) func() {
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
	{"one replica isolated, also from half of the nodes", func(f *Fleet, m *Machine, _ *random.Source) func() {
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
	{"one replica isolated, packet loss between all replicas and the nodes", func(f *Fleet, m *Machine, _ *random.Source) func() {
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
	{"replicas partitioned into two halves", func(f *Fleet, _ *Machine, _ *random.Source) func() {
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
	{"one replica behind, then the disk of another lost and the rest without power", func(f *Fleet, m *Machine, _ *random.Source) func() {
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
	{"one replica frozen", func(f *Fleet, m *Machine, _ *random.Source) func() { return f.Freeze(m) }},
	{"one replica killed", func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.Kill(m)
		return func() { f.mustStart(m) }
	}},
}

// firstHalfOfNodes returns the nodes that control plane faults disturb; injectNodeFaults disturbs those of
// secondHalfOfNodes. Two tasks that restart the same node at the same time would interfere with each other.
func (f *Fleet) firstHalfOfNodes() []*Machine { return f.currentNodes()[:len(f.currentNodes())/2] }

func (f *Fleet) secondHalfOfNodes() []*Machine { return f.currentNodes()[len(f.currentNodes())/2:] }

// restartRandomNode kills one of the nodes and starts it again.
func (f *Fleet) restartRandomNode(nodes []*Machine, rnd *random.Source) {
	m := nodes[rnd.IntN(len(nodes))]
	f.Kill(m)
	f.Sleep(100 * time.Millisecond)
	f.mustStart(m)
}

// injectNodeFaults restarts, freezes and reloads single nodes and steps their clocks; the others stay in contact with
// the control plane.
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

// proposePeriodically proposes a change about once per interval, and requests the routes of recent changes at every
// node to see which configuration is in force there.
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

// configUnderFaults injects one control plane fault after the other while the configuration changes and single nodes
// are disturbed. Each fault and each pause lasts contactBound at least, so that the configuration bound applies during
// and between faults, too.
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
	interval := time.Duration(500+rnd.IntN(900)) * time.Millisecond
	base.Parallel([]func(){
		func() { f.proposePeriodically(interval, until) },
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

var _ = ginkgo.Describe("configuration changes under control plane faults", func() {
	spec("given partitions, packet loss, restarts, freezes, clock steps and reloads, with slow links and zones up to 12 ms apart, when the configuration keeps changing, then no node in contact uses a configuration that was replaced by an acknowledged one longer ago than the bound", []uint64{1, 3, 5}, configUnderFaults)
})

package openfleet

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

type misfortune func(f *Fleet, m *Machine, random *random.Source) (end func())

func (f *Fleet) revive(m *Machine) { Expect(f.StartProcess(m)).To(Succeed()) }

var ofNodes = []misfortune{
	func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.Kill(m)
		return func() { f.revive(m) }
	},
	func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.PowerLoss(m)
		return func() {
			f.RestorePower(m)
			f.revive(m)
			f.StartUpstream(m)
		}
	},
	func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.Stop(m)
		return func() { f.revive(m) }
	},
	func(f *Fleet, m *Machine, _ *random.Source) func() { return f.Freeze(m) },
	func(f *Fleet, m *Machine, _ *random.Source) func() {
		m.Upstream.Kill()
		return func() { f.StartUpstream(m) }
	},
	func(f *Fleet, m *Machine, _ *random.Source) func() {
		m.Upstream.Leave()
		return func() { f.StartUpstream(m) }
	},
	func(f *Fleet, m *Machine, _ *random.Source) func() {
		m.Upstream.Kill()
		other := f.NewUpstream(m, "strangers", upstreamPort)
		other.NoHeartbeats = true
		Expect(other.Start()).To(Succeed())
		return func() {
			other.Kill()
			f.StartUpstream(m)
		}
	},
	func(f *Fleet, m *Machine, random *random.Source) func() {
		faults := []Fault{NoResponse, ConnReset, TruncatedBody, InvalidResponse, MissingSeal, UndelimitedBody, DuplicateResponse, LateDuplicate, DuplicateOnNextRequest, TrailingBytes, LateTrailingBytes, CloseAfterResponse, CloseWithoutResponse, InternalError, UnrelatedResponse}
		at := random.IntN(len(faults))
		m.Upstream.SetFaults(FaultRate{faults[at], 0.3, 10 * time.Millisecond}, FaultRate{faults[(at+1)%len(faults)], 0.2, 2 * time.Millisecond})
		return func() { m.Upstream.SetFaults() }
	},
	func(f *Fleet, m *Machine, random *random.Source) func() {
		m.Upstream.SetSlowdown(3 + 10*random.Float64())
		return func() { m.Upstream.SetSlowdown(1) }
	},
	func(f *Fleet, m *Machine, random *random.Source) func() {
		end := f.StartDisturbance(m.Name, "cut off")
		all := append(f.nodes(), f.Controllers...)
		var cut []*Machine
		for _, other := range all {
			if other != m && random.Float64() < 0.6 {
				cut = append(cut, other)
				f.Partition(m, other)
			}
		}
		return func() {
			for _, other := range cut {
				f.World.Heal(m.IP, other.IP)
				f.World.Heal(other.IP, m.IP)
			}
			end()
		}
	},
}

var ofControllers = []misfortune{
	func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.Kill(m)
		return func() { f.revive(m) }
	},
	func(f *Fleet, m *Machine, random *random.Source) func() {
		f.PowerLoss(m)
		if random.Float64() < 0.5 {
			m.Disk.Wipe()
		}
		return func() {
			f.RestorePower(m)
			f.revive(m)
			f.WaitUntil(8*time.Second, m.Controller.Ready)
		}
	},
	func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.Stop(m)
		return func() { f.revive(m) }
	},
	func(f *Fleet, m *Machine, _ *random.Source) func() { return f.Freeze(m) },
	func(f *Fleet, m *Machine, _ *random.Source) func() {
		end := f.StartDisturbance(m.Name, "cut off")
		for _, other := range f.Controllers {
			if other != m {
				f.Partition(m, other)
			}
		}
		return func() {
			for _, other := range f.Controllers {
				f.World.Heal(m.IP, other.IP)
				f.World.Heal(other.IP, m.IP)
			}
			end()
		}
	},
}

func (f *Fleet) lane(name string, machines []*Machine, of []misfortune, till time.Duration) {
	random := f.rand("lane " + name)
	for f.History.Now() < till {
		m := machines[random.IntN(len(machines))]
		end := of[random.IntN(len(of))](f, m, random)
		f.Sleep(time.Duration((0.1 + 1.5*random.Float64()) * float64(time.Second)))
		end()
		f.Sleep(time.Duration(random.Float64() * float64(time.Second)))
	}
}

var _ = ginkgo.Describe("a bad day", func() {
	story("given random troubles of nodes, upstreams, control machines and links at once, when configurations change amid load, then every rule is kept and all is well once they end", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(60)
		f.Sleep(500 * time.Millisecond)
		till := f.History.Now() + 15*time.Second
		var even, odd []*Machine
		for i, m := range f.Nodes {
			if i%2 == 0 {
				even = append(even, m)
			} else {
				odd = append(odd, m)
			}
		}
		base.Parallel([]func(){
			func() { f.lane("even", even, ofNodes, till) },
			func() { f.lane("odd", odd, ofNodes, till) },
			func() { f.lane("core", f.Controllers, ofControllers, till) },
			func() {
				operator := f.NewOperator("one")
				for turn := 0; f.History.Now() < till; turn++ {
					next := shift(f.NextConfiguration(), turn)
					if outcome := operator.Propose(&wire.ConfigurationProposal{Configuration: next}, next, 30*time.Second); outcome != nil && outcome.Kind == "" {
						f.settle(next)
					}
					f.prove(turn+1, time.Second)
				}
			},
		}, func(do func()) { do() })
		f.World.HealAll()
		end := f.History.Now()
		f.Sleep(8 * time.Second)
		f.ReadConfiguration()
		f.StopLoad()
		sound(f, RuleAtMostOnce, RuleResponseIntegrity, RuleRequestIntegrity, RuleRouting, RuleConfigDurability)
		f.fares(0.99, end+4*time.Second, 0, nil)
	})
})

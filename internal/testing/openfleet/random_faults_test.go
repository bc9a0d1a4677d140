package openfleet

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

// faultScenario injects a fault into a machine, which lasts until end is called.
type faultScenario func(f *Fleet, m *Machine, rnd *random.Source) (end func())

// mustStart starts the machine's process and expects that to succeed.
func (f *Fleet) mustStart(m *Machine) { Expect(f.StartProcess(m)).To(Succeed()) }

var nodeFaults = []faultScenario{
	func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.Kill(m)
		return func() { f.mustStart(m) }
	},
	func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.PowerLoss(m)
		return func() {
			f.RestorePower(m)
			f.mustStart(m)
			f.StartUpstream(m)
		}
	},
	func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.Stop(m)
		return func() { f.mustStart(m) }
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
	func(f *Fleet, m *Machine, rnd *random.Source) func() {
		faults := []Fault{NoResponse, ConnReset, TruncatedBody, InvalidResponse, MissingSeal, UndelimitedBody, DuplicateResponse, LateDuplicate, DuplicateOnNextRequest, TrailingBytes, LateTrailingBytes, CloseAfterResponse, CloseWithoutResponse, InternalError, UnrelatedResponse}
		first := rnd.IntN(len(faults))
		m.Upstream.SetFaults(FaultRate{faults[first], 0.3, 10 * time.Millisecond}, FaultRate{faults[(first+1)%len(faults)], 0.2, 2 * time.Millisecond})
		return func() { m.Upstream.SetFaults() }
	},
	func(f *Fleet, m *Machine, rnd *random.Source) func() {
		m.Upstream.SetSlowdown(3 + 10*rnd.Float64())
		return func() { m.Upstream.SetSlowdown(1) }
	},
	func(f *Fleet, m *Machine, rnd *random.Source) func() {
		end := f.StartDisturbance(m.Name, "cut off")
		all := append(f.currentNodes(), f.Controllers...)
		var partitioned []*Machine
		for _, other := range all {
			if other != m && rnd.Float64() < 0.6 {
				partitioned = append(partitioned, other)
				f.Partition(m, other)
			}
		}
		return func() {
			for _, other := range partitioned {
				f.World.Heal(m.IP, other.IP)
				f.World.Heal(other.IP, m.IP)
			}
			end()
		}
	},
}

var controllerFaults = []faultScenario{
	func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.Kill(m)
		return func() { f.mustStart(m) }
	},
	func(f *Fleet, m *Machine, rnd *random.Source) func() {
		f.PowerLoss(m)
		if rnd.Float64() < 0.5 {
			m.Disk.Wipe()
		}
		return func() {
			f.RestorePower(m)
			f.mustStart(m)
			f.WaitUntil(8*time.Second, m.Controller.Ready)
		}
	},
	func(f *Fleet, m *Machine, _ *random.Source) func() {
		f.Stop(m)
		return func() { f.mustStart(m) }
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

// injectFaults injects one random fault after the other, each into a random one of the machines, until a time on the
// History's clock. The name determines the random choices.
func (f *Fleet) injectFaults(name string, machines []*Machine, faults []faultScenario, until time.Duration) {
	rnd := f.rand("lane " + name)
	for f.History.Now() < until {
		m := machines[rnd.IntN(len(machines))]
		end := faults[rnd.IntN(len(faults))](f, m, rnd)
		f.Sleep(time.Duration((0.1 + 1.5*rnd.Float64()) * float64(time.Second)))
		end()
		f.Sleep(time.Duration(rnd.Float64() * float64(time.Second)))
	}
}

var _ = ginkgo.Describe("random faults", func() {
	spec("given random faults of nodes, upstreams, control plane replicas and links at once, when configurations change under load, then every rule holds and jobs succeed again once the faults end", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		f.Sleep(500 * time.Millisecond)
		until := f.History.Now() + 15*time.Second
		var even, odd []*Machine
		for i, m := range f.Nodes {
			if i%2 == 0 {
				even = append(even, m)
			} else {
				odd = append(odd, m)
			}
		}
		base.Parallel([]func(){
			func() { f.injectFaults("even", even, nodeFaults, until) },
			func() { f.injectFaults("odd", odd, nodeFaults, until) },
			func() { f.injectFaults("core", f.Controllers, controllerFaults, until) },
			func() {
				operator := f.NewOperator("one")
				for round := 0; f.History.Now() < until; round++ {
					next := changeRoutes(f.NextConfiguration(), round)
					if outcome := operator.Propose(&wire.ConfigurationProposal{Configuration: next}, next, 30*time.Second); outcome != nil && outcome.Kind == "" {
						f.recordAccepted(next)
					}
					f.requestNewRoutes(round+1, time.Second)
				}
			},
		}, func(do func()) { do() })
		f.World.HealAll()
		end := f.History.Now()
		f.Sleep(8 * time.Second)
		f.ReadConfiguration()
		f.StopLoad()
		checkHistory(f, RuleAtMostOnce, RuleResponseIntegrity, RuleRequestIntegrity, RuleRouting, RuleConfigDurability)
		f.expectSuccessRate(0.99, end+4*time.Second, 0, nil)
	})
})

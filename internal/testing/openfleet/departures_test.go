package openfleet

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// restart kills machines at the same moment and starts them again after a pause.
func (f *Fleet) restart(pause time.Duration, machines ...*Machine) {
	for _, m := range machines {
		f.Kill(m)
	}
	f.Sleep(pause)
	for _, m := range machines {
		Expect(f.StartProcess(m)).To(Succeed())
	}
}

// expectNoRequests expects that an instance that serves on gets no request until long after the drain bound.
func (f *Fleet) expectNoRequests(u *Upstream) {
	f.Sleep(3 * drainBound)
	u.Kill()
	f.Sleep(time.Second)
	checkHistory(f, RuleAtMostOnce, RuleDrain)
}

// departureKinds are the ways in which an instance says that it goes.
var departureKinds = []struct {
	name     string
	announce func(u *Upstream) bool
}{
	{"is leaving", (*Upstream).AnnounceLeaving},
	{"is gone", (*Upstream).AnnounceGone},
}

// A node that was killed after it had acknowledged a departure used to take a late heartbeat for that of a live
// instance, so that requests reached an instance that was about to end.
var _ = ginkgo.Describe("acknowledged departures", func() {
	for _, kind := range departureKinds {
		for _, trouble := range []struct {
			name  string
			cause func(f *Fleet, m *Machine)
		}{
			{"its node is killed", func(f *Fleet, m *Machine) { f.restart(500*time.Millisecond, m) }},
			{"its node and all controllers are killed at once", func(f *Fleet, m *Machine) {
				f.restart(700*time.Millisecond, append([]*Machine{m}, f.Controllers...)...)
			}},
			{"its node is killed, all controllers lose power and one its disk", func(f *Fleet, m *Machine) {
				for _, controller := range f.Controllers {
					f.PowerLoss(controller)
				}
				f.Kill(m)
				f.Controllers[f.Seed%3].Disk.Wipe()
				f.Sleep(700 * time.Millisecond)
				for _, controller := range f.Controllers {
					f.RestorePower(controller)
					Expect(f.StartProcess(controller)).To(Succeed())
				}
				Expect(f.StartProcess(m)).To(Succeed())
			}},
		} {
			spec("given an instance that "+kind.name+" and was told so, when "+trouble.name+" and an older heartbeat arrives late, then it gets no request past the bound", []uint64{1, 2}, func(f *Fleet) {
				startAll(f)
				f.StartLoad(50)
				f.Sleep(time.Second)
				m := f.NodesOf("books")[int(f.Seed)%4]
				u := m.Upstream
				late := u.NextHeartbeat()
				Expect(kind.announce(u)).To(BeTrue(), f.Description)
				trouble.cause(f, m)
				u.mu.Lock()
				u.silent = true
				u.mu.Unlock()
				Expect(f.WaitUntil(5*time.Second, func() bool { return u.DeliverLate(late) })).To(BeTrue(), f.Description)
				f.expectNoRequests(u)
			})
		}

		spec("given a node that can't reach the control plane, when its instance "+kind.name+", then no request is delivered any more, and the departure is acknowledged only once it is recorded", []uint64{1, 2}, func(f *Fleet) {
			startAll(f)
			f.StartLoad(50)
			f.Sleep(time.Second)
			m := f.NodesOf("gates")[0]
			u := m.Upstream
			end := f.StartDisturbance("core", "cut off")
			for _, controller := range f.Controllers {
				f.Partition(m, controller)
			}
			acknowledged := make(chan bool, 1)
			announcedAt := f.History.Now()
			go func() { acknowledged <- kind.announce(u) }()
			f.Sleep(4 * time.Second)
			Expect(acknowledged).To(BeEmpty(), f.Description)
			f.World.HealAll()
			end()
			Expect(f.WaitUntil(3*time.Second, func() bool { return len(acknowledged) > 0 })).To(BeTrue(), f.Description)
			Expect(<-acknowledged).To(BeTrue(), f.Description)
			f.expectNoRequests(u)
			for _, arrival := range f.History.arrivals {
				Expect(arrival.Instance != u.ID || arrival.ArrivedAt <= announcedAt+drainBound).To(BeTrue(), "%s: %s arrived after the announcement", f.Description, arrival.ID)
			}
		})

		spec("given calm times, when an instance "+kind.name+", then that is acknowledged within 100 ms", []uint64{1, 2}, func(f *Fleet) {
			startAll(f)
			f.StartLoad(50)
			f.Sleep(time.Second)
			for _, m := range []*Machine{f.NodesOf("books")[0], f.NodesOf("loans")[1], f.NodesOf("gates")[0]} {
				announcedAt := f.History.Now()
				Expect(kind.announce(m.Upstream)).To(BeTrue(), f.Description)
				Expect(f.History.Now()-announcedAt).To(BeNumerically("<", 100*time.Millisecond), f.Description)
			}
		})
	}

	spec("given a restarted node that finds no majority of controllers, when its instance sends heartbeats, then it gets requests only once a majority is back", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		m := f.NodesOf("gates")[0]
		f.Kill(f.Controllers[0])
		f.Kill(f.Controllers[1])
		f.restart(500*time.Millisecond, m)
		f.Sleep(4 * time.Second)
		Expect(m.Node.View().Instance).To(BeNil(), f.Description)
		Expect(f.StartProcess(f.Controllers[0])).To(Succeed())
		Expect(f.WaitUntil(2*time.Second, func() bool { return m.Node.View().Instance.GetId() == m.Upstream.ID })).To(BeTrue(), f.Description)
	})

	spec("given an instance that has gone, when a new one starts at its address, then the new one gets requests after a kill of its node, and the old one's late heartbeat doesn't count", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(50)
		m := f.NodesOf("books")[0]
		old := m.Upstream
		late := old.NextHeartbeat()
		Expect(old.AnnounceGone()).To(BeTrue(), f.Description)
		f.Sleep(drainBound)
		old.Kill()
		successor := f.StartUpstream(m)
		f.Sleep(time.Second)
		f.restart(500*time.Millisecond, m)
		f.Sleep(heartbeatInterval)
		Expect(successor.DeliverLate(late)).To(BeTrue(), f.Description)
		restartedAt := f.History.Now()
		f.Sleep(2 * time.Second)
		Expect(m.Node.View().Instance.GetId()).To(Equal(successor.ID), f.Description)
		Expect(count(f.History.arrivals, func(a *Arrival) bool { return a.Instance == successor.ID && a.ArrivedAt > restartedAt })).NotTo(BeZero(), f.Description)
		checkHistory(f, RuleAtMostOnce, RuleDrain)
	})
})

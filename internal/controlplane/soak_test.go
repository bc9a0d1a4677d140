package controlplane

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/proto/wire"
)

type verdict struct {
	p     *wire.ConfigurationProposal
	taken bool
	clear bool
}

type ledger struct {
	mu       sync.Mutex
	verdicts []verdict
	acked    uint64
	served   map[uint64]string
	faults   []string
}

func (l *ledger) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

func (l *ledger) newest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acked
}

func (l *ledger) say(each verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.verdicts = append(l.verdicts, each)
	if each.taken {
		l.acked = max(l.acked, config.ProposedSerial(each.p))
	}
}

func (l *ledger) serve(c *wire.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	digest := string(config.Digest(c))
	if was, known := l.served[c.Serial]; known && was != digest {
		l.faults = append(l.faults, fmt.Sprintf("two configurations were served as serial %d", c.Serial))
	}
	l.served[c.Serial] = digest
}

func (f *fleet) controller(i int) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controllers[i].server
}

func (f *fleet) operate(s base.Scope, l *ledger, name int) {
	for round := 0; s.Err() == nil; round++ {
		base.Await(s, time.Duration(f.scope.Rand.IntN(1500))*time.Millisecond)
		m := f.controller(f.scope.Rand.IntN(len(f.controllers)))
		if m == nil {
			continue
		}
		least := l.newest()
		current, err := m.Configuration(s)
		if err != nil {
			continue
		}
		on := current.GetSerial()
		if on < least {
			l.fault("serial %d was read after %d was acked", on, least)
		}
		p := whole(on+1+uint64(f.scope.Rand.IntN(3)), on, fmt.Sprintf("/o%d/%d/", name, round))
		if on > 0 && f.scope.Rand.IntN(2) == 0 {
			p = &wire.ConfigurationProposal{Change: &wire.ConfigurationChange{Serial: p.Configuration.Serial, Base: on, Routes: p.Configuration.Routes[1:]}}
		}
		l.say(f.push(s, p))
	}
}

func (f *fleet) push(s base.Scope, p *wire.ConfigurationProposal) verdict {
	for range 8 {
		if s.Err() != nil {
			break
		}
		m := f.controller(f.scope.Rand.IntN(len(f.controllers)))
		if m == nil {
			base.Await(s, 50*time.Millisecond)
			continue
		}
		ctx, cancel := context.WithTimeout(s, time.Duration(20+f.scope.Rand.IntN(1000))*time.Millisecond)
		outcome, err := m.Propose(ctx, p)
		cancel()
		if err == nil {
			return verdict{p, outcome.Kind == "", true}
		}
		base.Await(s, 100*time.Millisecond)
	}
	return verdict{p, false, false}
}

func (f *fleet) watch(s base.Scope, l *ledger, i int) {
	controller, last := "", uint64(0)
	for s.Err() == nil {
		reply, err := f.poll(i, &wire.PollRequest{Wants: true, Controller: controller, Serial: last, WaitMs: 100})
		if err != nil {
			base.Await(s, 50*time.Millisecond)
			continue
		}
		if reply.Controller != controller {
			controller, last = reply.Controller, 0
		}
		if reply.Serial < last {
			l.fault("control machine %d went back from %d to %d", i, last, reply.Serial)
		}
		last = max(last, reply.Serial)
		if reply.Configuration != nil {
			l.serve(reply.Configuration)
		}
	}
}

// harm brings about one trouble after the other until the scope ends.
func (f *fleet) harm(s base.Scope) {
	rand := f.scope.Rand
	pass := func(ms int) { base.Await(s, time.Duration(rand.IntN(ms))*time.Millisecond) }
	troubles := []func(i int, pass func(ms int)){f.harmKill, f.harmPower, f.harmAllPower, f.harmWipe, f.harmIsolate, f.harmCut, f.harmStall, f.harmFull, f.harmSlow}
	for s.Err() == nil {
		pass(1500)
		i := rand.IntN(len(f.controllers))
		troubles[rand.IntN(len(troubles))](i, pass)
	}
}

func (f *fleet) harmKill(i int, pass func(ms int)) {
	f.kill(i)
	pass(2000)
	f.raise(i, false)
}

func (f *fleet) harmPower(i int, pass func(ms int)) {
	f.powerLoss(i)
	pass(2000)
	f.raise(i, false)
}

func (f *fleet) harmAllPower(_ int, pass func(ms int)) {
	for k := range f.controllers {
		f.powerLoss(k)
	}
	pass(500)
	for k := range f.controllers {
		f.raise(k, false)
	}
}

func (f *fleet) harmWipe(i int, pass func(ms int)) {
	if !f.until(f.ready) {
		ginkgo.Fail("the fleet didn't recover")
	}
	f.wipe(i)
	pass(1500)
	f.raise(i, false)
}

func (f *fleet) harmIsolate(i int, pass func(ms int)) {
	f.cut(i, (i+1)%len(f.controllers))
	f.cut(i, (i+2)%len(f.controllers))
	pass(3000)
	f.world.HealAll()
}

func (f *fleet) harmCut(i int, pass func(ms int)) {
	f.cut(i, (i+1)%len(f.controllers))
	pass(3000)
	f.world.HealAll()
}

func (f *fleet) harmStall(i int, pass func(ms int)) {
	release := f.controllers[i].disk.Stall()
	pass(3000)
	release()
}

func (f *fleet) harmFull(i int, pass func(ms int)) {
	f.controllers[i].disk.SetFull(true)
	pass(3000)
	f.controllers[i].disk.SetFull(false)
}

func (f *fleet) harmSlow(_ int, pass func(ms int)) {
	for k := range f.controllers {
		f.controllers[k].disk.SetLatency(time.Duration(f.scope.Rand.IntN(30)) * time.Millisecond)
	}
	pass(3000)
	for k := range f.controllers {
		f.controllers[k].disk.SetLatency(0)
	}
}

func (f *fleet) check(l *ledger) {
	f.world.HealAll()
	Expect(f.until(func() bool { return f.ready() && f.newest(0) > 0 })).To(BeTrue())
	f.agree(f.newest(0))
	head := f.controllers[0].server.view.Load().head
	Expect(head.Orders.Forgotten).To(BeZero(), "every order of the story is remembered")
	remembered, serials := map[order]bool{}, map[uint64]bool{}
	for i, serial := range head.Orders.Serials {
		remembered[order{serial, head.Orders.Digests[i]}] = true
		serials[serial] = true
	}
	whose, acks := map[uint64]*order{}, 0
	for _, each := range l.verdicts {
		asked := orderOf(each.p)
		if each.taken {
			acks++
			Expect(whose[config.ProposedBase(each.p)]).To(BeNil(), "two were taken on %d", config.ProposedBase(each.p))
			whose[config.ProposedBase(each.p)] = &asked
		}
		if each.clear {
			Expect(remembered[asked]).To(Equal(each.taken), "serial %d on %d, answered taken=%t", config.ProposedSerial(each.p), config.ProposedBase(each.p), each.taken)
		}
	}
	for serial := range l.served {
		Expect(serials[serial]).To(BeTrue(), "serial %d was served and never taken", serial)
	}
	Expect(l.faults).To(BeEmpty())
	Expect(acks).To(BeNumerically(">=", 3))
}

var _ = ginkgo.Describe("a long day", func() {
	seeds := 6
	if most, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = most
	}
	for seed := range uint64(seeds) {
		count := 3 + 2*int(seed%2)
		ginkgo.It(fmt.Sprintf("given operators that race and every trouble in turn, when all is well again, then answers fit the chain of configurations (%d control machines, seed %d)", count, seed), func() {
			synctest.Test(suite, func(*testing.T) {
				defer ginkgo.GinkgoRecover()
				f := newFleet(1000*seed+7, count)
				defer f.end()
				Expect(f.until(f.ready)).To(BeTrue())
				l := &ledger{served: map[uint64]string{}}
				s, cancel := f.scope.WithTimeout(45 * time.Second)
				defer cancel()
				var crew base.Group
				for name := range 3 {
					crew.Go(func() { f.operate(s, l, name) })
				}
				for i := range f.controllers {
					crew.Go(func() { f.watch(s, l, i) })
				}
				f.harm(s)
				crew.Wait()
				f.check(l)
			})
		})
	}
})

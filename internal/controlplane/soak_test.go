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

// answer is the last answer that an operator got to a proposal; final is false if the outcome stayed unknown.
type answer struct {
	p         *wire.ConfigurationProposal
	committed bool
	final     bool
}

// history records all answers and served configurations of a run, to be checked against the final state.
type history struct {
	mu              sync.Mutex
	answers         []answer
	newestCommitted uint64
	served          map[uint64]string
	faults          []string
}

func (h *history) addFault(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

func (h *history) newestSerial() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newestCommitted
}

func (h *history) addAnswer(each answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, each)
	if each.committed {
		h.newestCommitted = max(h.newestCommitted, config.ProposedSerial(each.p))
	}
}

// addServed records a served configuration. Two different ones under one serial are a fault.
func (h *history) addServed(c *wire.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	digest := string(config.Digest(c))
	if was, known := h.served[c.Serial]; known && was != digest {
		h.faults = append(h.faults, fmt.Sprintf("two configurations were served as serial %d", c.Serial))
	}
	h.served[c.Serial] = digest
}

// controller returns the server of a control machine, or nil while it is down.
func (f *fleet) controller(i int) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controllers[i].server
}

// runOperator keeps proposing on top of the newest configuration that it reads, in competition with other
// operators.
func (f *fleet) runOperator(s base.Scope, h *history, name int) {
	for round := 0; s.Err() == nil; round++ {
		base.Await(s, time.Duration(f.scope.Rand.IntN(1500))*time.Millisecond)
		server := f.controller(f.scope.Rand.IntN(len(f.controllers)))
		if server == nil {
			continue
		}
		atLeast := h.newestSerial()
		current, err := server.Configuration(s)
		if err != nil {
			continue
		}
		baseSerial := current.GetSerial()
		if baseSerial < atLeast {
			h.addFault("serial %d was read after %d was acknowledged", baseSerial, atLeast)
		}
		p := fullProposal(baseSerial+1+uint64(f.scope.Rand.IntN(3)), baseSerial, fmt.Sprintf("/o%d/%d/", name, round))
		if baseSerial > 0 && f.scope.Rand.IntN(2) == 0 {
			p = &wire.ConfigurationProposal{Change: &wire.ConfigurationChange{Serial: p.Configuration.Serial, Base: baseSerial, Routes: p.Configuration.Routes[1:]}}
		}
		h.addAnswer(f.proposeWithRetries(s, p))
	}
}

// proposeWithRetries sends a proposal to random control machines until there is a final answer, with eight
// attempts at most.
func (f *fleet) proposeWithRetries(s base.Scope, p *wire.ConfigurationProposal) answer {
	for range 8 {
		if s.Err() != nil {
			break
		}
		server := f.controller(f.scope.Rand.IntN(len(f.controllers)))
		if server == nil {
			base.Await(s, 50*time.Millisecond)
			continue
		}
		ctx, cancel := context.WithTimeout(s, time.Duration(20+f.scope.Rand.IntN(1000))*time.Millisecond)
		outcome, err := server.Propose(ctx, p)
		cancel()
		if err == nil {
			return answer{p, outcome.Kind == "", true}
		}
		base.Await(s, 100*time.Millisecond)
	}
	return answer{p, false, false}
}

// pollContinuously polls one control machine as a node does, and checks that its serials never decrease within an
// incarnation.
func (f *fleet) pollContinuously(s base.Scope, h *history, i int) {
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
			h.addFault("control machine %d went back from %d to %d", i, last, reply.Serial)
		}
		last = max(last, reply.Serial)
		if reply.Configuration != nil {
			h.addServed(reply.Configuration)
		}
	}
}

// injectFaults injects one random fault after the other until the scope ends.
func (f *fleet) injectFaults(s base.Scope) {
	rand := f.scope.Rand
	wait := func(ms int) { base.Await(s, time.Duration(rand.IntN(ms))*time.Millisecond) }
	faults := []func(i int, wait func(ms int)){f.injectKill, f.injectPowerLoss, f.injectPowerLossOfAll, f.injectWipe, f.injectIsolation, f.injectCut, f.injectStalledDisk, f.injectFullDisk, f.injectSlowDisks}
	for s.Err() == nil {
		wait(1500)
		i := rand.IntN(len(f.controllers))
		faults[rand.IntN(len(faults))](i, wait)
	}
}

func (f *fleet) injectKill(i int, wait func(ms int)) {
	f.kill(i)
	wait(2000)
	f.start(i, false)
}

func (f *fleet) injectPowerLoss(i int, wait func(ms int)) {
	f.powerLoss(i)
	wait(2000)
	f.start(i, false)
}

func (f *fleet) injectPowerLossOfAll(_ int, wait func(ms int)) {
	for i := range f.controllers {
		f.powerLoss(i)
	}
	wait(500)
	for i := range f.controllers {
		f.start(i, false)
	}
}

func (f *fleet) injectWipe(i int, wait func(ms int)) {
	if !f.eventually(f.ready) {
		ginkgo.Fail("the fleet didn't recover")
	}
	f.wipe(i)
	wait(1500)
	f.start(i, false)
}

func (f *fleet) injectIsolation(i int, wait func(ms int)) {
	f.cut(i, (i+1)%len(f.controllers))
	f.cut(i, (i+2)%len(f.controllers))
	wait(3000)
	f.network.HealAll()
}

func (f *fleet) injectCut(i int, wait func(ms int)) {
	f.cut(i, (i+1)%len(f.controllers))
	wait(3000)
	f.network.HealAll()
}

func (f *fleet) injectStalledDisk(i int, wait func(ms int)) {
	release := f.controllers[i].disk.Stall()
	wait(3000)
	release()
}

func (f *fleet) injectFullDisk(i int, wait func(ms int)) {
	f.controllers[i].disk.SetFull(true)
	wait(3000)
	f.controllers[i].disk.SetFull(false)
}

func (f *fleet) injectSlowDisks(_ int, wait func(ms int)) {
	for i := range f.controllers {
		f.controllers[i].disk.SetLatency(time.Duration(f.scope.Rand.IntN(30)) * time.Millisecond)
	}
	wait(3000)
	for i := range f.controllers {
		f.controllers[i].disk.SetLatency(0)
	}
}

const (
	// abandonedFor is how long after its operator gave up a proposal may still be under way.
	abandonedFor = 2 * time.Second
	// unchangedFor is how long an agreement must last that nothing is proposed against any more.
	unchangedFor = 5 * time.Second
)

// expectLastingAgreement waits until all control machines agree on a configuration, and expects that it stays. Which
// one isn't known in advance: a proposal that got no clear answer may be committed after its operator has given up. It
// isn't older than an acknowledged one.
func (f *fleet) expectLastingAgreement(acknowledged uint64) {
	time.Sleep(abandonedFor)
	var serial uint64
	Expect(f.eventually(func() bool {
		serial = f.newestSerial(0)
		return f.agreeOn(serial)
	})).To(BeTrue(), "not all agree, the first has serial %d", serial)
	Expect(serial).To(BeNumerically(">=", acknowledged))
	time.Sleep(unchangedFor)
	Expect(f.agreeOn(serial)).To(BeTrue(), "serial %d, on which all had agreed, was replaced", serial)
}

// checkHistory waits until all control machines agree and checks the history: no two proposals were committed on
// one base, every final answer matches the committed proposals, and only committed configurations were served, all of
// them proposed by an operator.
func (f *fleet) checkHistory(h *history) {
	f.network.HealAll()
	Expect(f.eventually(func() bool { return f.ready() && f.newestSerial(0) > 0 })).To(BeTrue())
	f.expectLastingAgreement(h.newestSerial())
	head := f.controllers[0].server.configuration.Load().head
	Expect(head.Orders.Forgotten).To(BeZero(), "every committed proposal is remembered")
	remembered, serials := map[proposalID]bool{}, map[uint64]bool{}
	for i, serial := range head.Orders.Serials {
		remembered[proposalID{serial, head.Orders.Digests[i]}] = true
		serials[serial] = true
	}
	committedOn, proposed, commits := map[uint64]*proposalID{}, map[proposalID]bool{}, 0
	for _, each := range h.answers {
		id := proposalIDOf(each.p)
		proposed[id] = true
		if each.committed {
			commits++
			Expect(committedOn[config.ProposedBase(each.p)]).To(BeNil(), "two proposals were committed on base %d", config.ProposedBase(each.p))
			committedOn[config.ProposedBase(each.p)] = &id
		}
		if each.final {
			Expect(remembered[id]).To(Equal(each.committed), "serial %d on base %d, answered committed=%t", config.ProposedSerial(each.p), config.ProposedBase(each.p), each.committed)
		}
	}
	for id := range remembered {
		Expect(proposed[id]).To(BeTrue(), "serial %d was committed but never proposed", id.serial)
	}
	for serial := range h.served {
		Expect(serials[serial]).To(BeTrue(), "serial %d was served but never committed", serial)
	}
	Expect(h.faults).To(BeEmpty())
	Expect(commits).To(BeNumerically(">=", 3))
}

var _ = ginkgo.Describe("random faults", func() {
	seeds := 6
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		count := 3 + 2*int(seed%2)
		ginkgo.It(fmt.Sprintf("given competing operators and random faults, when all faults are over, then all answers agree with the sequence of committed configurations (%d control machines, seed %d)", count, seed), func() {
			synctest.Test(suite, func(*testing.T) {
				defer ginkgo.GinkgoRecover()
				f := newFleet(1000*seed+7, count)
				defer f.end()
				Expect(f.eventually(f.ready)).To(BeTrue())
				h := &history{served: map[uint64]string{}}
				s, cancel := f.scope.WithTimeout(45 * time.Second)
				defer cancel()
				var group base.Group
				for name := range 3 {
					group.Go(func() { f.runOperator(s, h, name) })
				}
				for i := range f.controllers {
					group.Go(func() { f.pollContinuously(s, h, i) })
				}
				f.injectFaults(s)
				group.Wait()
				f.checkHistory(h)
			})
		})
	}
})

package openfleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// converged is the bound within which a new control machine must have a vote.
const converged = 4 * time.Second

// replace puts an empty control machine at an address of its own in the place of another, which is gone for good: lost
// before, or stopped once the new one runs. Settings that are written from then on name the new one.
func (f *Fleet) replace(place int, planned bool) *Machine {
	old := f.Controllers[place]
	number := f.newest() + 1
	next := f.machine(fmt.Sprint("core-", number), fmt.Sprintf("10.9.0.%d", number), place)
	next.IsController = true
	next.lives.Add(1) // not the first start of all
	end := f.StartDisturbance(next.Name, "new")
	if !planned {
		f.PowerLoss(old)
	}
	Expect(f.StartProcess(next)).To(Succeed())
	if planned {
		f.Sleep(time.Second)
		f.Stop(old)
		f.PowerLoss(old)
	}
	f.Controllers[place] = next
	f.seeds = slices.Clone(f.seeds) // processes that run keep the list that they were started with
	f.seeds[place] = next.Address(inwardPort)
	Expect(f.WaitUntil(converged, next.Controller.Ready)).To(BeTrue(), f.Description)
	end()
	if old.back != nil {
		old.back()
		old.back = nil
	}
	return next
}

// newest is the highest number of a control machine.
func (f *Fleet) newest() (number int) {
	for _, m := range f.Controllers {
		var each int
		_, err := fmt.Sscanf(m.Name, "core-%d", &each)
		Expect(err).NotTo(HaveOccurred())
		number = max(number, each)
	}
	return number
}

var _ = ginkgo.Describe("control machines replaced", func() {
	story("given load and changes, when all are replaced in turn, lost or by plan, while nodes start anew, then none in touch serves an old configuration and what was acknowledged outlives a loss of all power", []uint64{1, 2, 3, 4}, func(f *Fleet) {
		raised(f)
		f.StartLoad(20)
		f.Sleep(time.Second)
		for turn := range 4 {
			f.replace(turn%len(f.Controllers), (uint64(turn)+f.Seed)%2 == 0)
			node := f.nodes()[turn%len(f.nodes())]
			Expect(f.restart(node)).To(BeNumerically("<", coreRound+startBound), f.Description)
			Expect(node.Node.View().Serial).To(Equal(f.NextConfiguration().Base), f.Description)
			f.Sleep(contact + 50*time.Millisecond)
			f.change(turn)
		}
		f.allControllers(f.PowerLoss)
		f.Sleep(500 * time.Millisecond)
		f.allControllers(func(m *Machine) {
			f.RestorePower(m)
			Expect(f.StartProcess(m)).To(Succeed())
		})
		f.Sleep(contact + 50*time.Millisecond)
		f.change(4)
		f.ReadConfiguration()
		sound(f, RuleAtMostOnce, RuleConfigInForce, RuleNoConfigRollback, RuleProposalConflict, RuleConfigDurability)
	})
})

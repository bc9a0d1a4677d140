package openfleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newVoterBound is the time within which a new control plane replica must become a voter.
const newVoterBound = 4 * time.Second

// replaceController replaces a control plane replica for good by an empty one at a new address. If planned, the old one
// is stopped once the new one runs; otherwise it loses power first. Processes started from then on have the new one
// among their seeds.
func (f *Fleet) replaceController(index int, planned bool) *Machine {
	old := f.Controllers[index]
	number := f.highestControllerNumber() + 1
	next := f.newMachine(fmt.Sprint("core-", number), fmt.Sprintf("10.9.0.%d", number), index)
	next.IsController = true
	next.starts.Add(1) // not its first start, so that it joins instead of founding a new control plane
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
	f.Controllers[index] = next
	f.seeds = slices.Clone(f.seeds) // running processes keep the list that they were started with
	f.seeds[index] = next.Address(inboundPort)
	Expect(f.WaitUntil(newVoterBound, next.Controller.Ready)).To(BeTrue(), f.Description)
	end()
	if old.endDisturbance != nil {
		old.endDisturbance()
		old.endDisturbance = nil
	}
	return next
}

// highestControllerNumber returns the highest number in the names of the control plane replicas.
func (f *Fleet) highestControllerNumber() (number int) {
	for _, m := range f.Controllers {
		var n int
		_, err := fmt.Sscanf(m.Name, "core-%d", &n)
		Expect(err).NotTo(HaveOccurred())
		number = max(number, n)
	}
	return number
}

var _ = ginkgo.Describe("control plane replica replacement", func() {
	spec("given load and changes, when all replicas are replaced one by one, after a loss or by plan, while nodes restart, then no node in contact uses an old configuration and what was acknowledged survives a power loss of all replicas", []uint64{1, 2, 3, 4}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(20)
		f.Sleep(time.Second)
		for round := range 4 {
			f.replaceController(round%len(f.Controllers), (uint64(round)+f.Seed)%2 == 0)
			node := f.currentNodes()[round%len(f.currentNodes())]
			Expect(f.restartUntilConfirmed(node)).To(BeNumerically("<", controllerRoundBound+confirmationBound), f.Description)
			Expect(node.Node.View().Serial).To(Equal(f.NextConfiguration().Base), f.Description)
			f.Sleep(contactBound + 50*time.Millisecond)
			f.changeConfiguration(round)
		}
		f.forEachController(f.PowerLoss)
		f.Sleep(500 * time.Millisecond)
		f.forEachController(func(m *Machine) {
			f.RestorePower(m)
			Expect(f.StartProcess(m)).To(Succeed())
		})
		f.Sleep(contactBound + 50*time.Millisecond)
		f.changeConfiguration(4)
		f.ReadConfiguration()
		checkHistory(f, RuleAtMostOnce, RuleConfigInForce, RuleNoConfigRollback, RuleProposalConflict, RuleConfigDurability)
	})
})

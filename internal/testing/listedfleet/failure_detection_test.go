package listedfleet

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/membership"
)

// standingSeenBy returns the standing of a machine in the view of a controller. It is Absent if the view doesn't list it.
func (f *Fleet) standingSeenBy(controller, observed *Machine) string {
	for observation := range controller.Controller.ControlPlane.View().All() {
		if observation.Roster.Node == observed.Name {
			return observation.Standing
		}
	}
	return membership.Absent
}

var _ = ginkgo.Describe("failure detection", func() {
	scenario("given a node that loses power, when its peers miss its heartbeats, then every controller lists it as absent within 2 s", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		lost := f.Nodes[int(f.Seed)%4]
		for _, controller := range f.Controllers {
			Expect(f.standingSeenBy(controller, lost)).To(Equal(membership.Alive))
		}
		f.PowerLoss(lost)
		start := f.Scope.Clock.Mono()
		for _, controller := range f.Controllers {
			Expect(f.WaitUntil(2*time.Second, func() bool { return f.standingSeenBy(controller, lost) == membership.Absent })).To(BeTrue())
		}
		ginkgo.GinkgoWriter.Printf("MEASURE detection, seed %d: absent at all controllers after %s\n", f.Seed, f.Scope.Clock.Mono()-start)
		Expect(f.StartProcess(lost)).To(Succeed())
		for _, controller := range f.Controllers {
			Expect(f.WaitUntil(time.Second, func() bool { return f.standingSeenBy(controller, lost) == membership.Alive })).To(BeTrue())
		}
	})

	scenario("given links cut briefly in one direction, when machines are alive, then none is listed as absent", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		for round := range 20 {
			a, b := f.Machines()[round%7], f.Machines()[(round*3+1)%7]
			if a == b {
				continue
			}
			f.World.Cut(a.IP, b.IP)
			f.Sleep(400 * time.Millisecond)
			f.World.Heal(a.IP, b.IP)
			f.Sleep(100 * time.Millisecond)
		}
		falseAlarms := 0
		for _, controller := range f.Controllers {
			for event := range controller.Journal.Events("") {
				if event.Topic == "standing" && event.Detail == membership.Absent {
					falseAlarms++
				}
			}
		}
		Expect(falseAlarms).To(BeZero())
	})
})

package listedfleet

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/membership"
)

func (f *Fleet) standing(controller, of *Machine) string {
	for sighting := range controller.Controller.ControlPlane.View().All() {
		if sighting.Roster.Node == of.Name {
			return sighting.Standing
		}
	}
	return membership.Absent
}

var _ = ginkgo.Describe("failure detection", func() {
	story("given a node lost without a word, when its watchers miss it, then every keel calls it absent within the leaving bound", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		lost := f.Vanes[int(f.Seed)%4]
		for _, controller := range f.Keels {
			Expect(f.standing(controller, lost)).To(Equal(membership.Alive))
		}
		f.PowerLoss(lost)
		begun := f.Scope.Clock.Mono()
		for _, controller := range f.Keels {
			Expect(f.Until(2*time.Second, func() bool { return f.standing(controller, lost) == membership.Absent })).To(BeTrue())
		}
		ginkgo.GinkgoWriter.Printf("MEASURE detection, seed %d: absent at all keels after %s\n", f.Seed, f.Scope.Clock.Mono()-begun)
		Expect(f.Raise(lost)).To(Succeed())
		for _, controller := range f.Keels {
			Expect(f.Until(time.Second, func() bool { return f.standing(controller, lost) == membership.Alive })).To(BeTrue())
		}
	})

	story("given links cut one way and for moments, when nodes are alive, then none is called absent", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		for round := range 20 {
			a, b := f.Every()[round%7], f.Every()[(round*3+1)%7]
			if a == b {
				continue
			}
			f.World.Cut(a.IP, b.IP)
			f.Pass(400 * time.Millisecond)
			f.World.Heal(a.IP, b.IP)
			f.Pass(100 * time.Millisecond)
		}
		alarms := 0
		for _, controller := range f.Keels {
			for event := range controller.Journal.Events("") {
				if event.Topic == "standing" && event.Detail == membership.Absent {
					alarms++
				}
			}
		}
		Expect(alarms).To(BeZero())
	})
})

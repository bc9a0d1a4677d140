package openfleet

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("idle talk", func() {
	story("given nothing to do, when time passes, then all talk on control stays small for each node, calm and beside a dark control machine", []uint64{1}, func(f *Fleet) {
		raised(f)
		f.Sleep(5 * time.Second)
		measure := func(what string) {
			bytes, packets := f.World.Sent()
			f.Sleep(20 * time.Second)
			later, more := f.World.Sent()
			each := float64(later-bytes) / 20 / float64(len(f.Nodes))
			ginkgo.AddReportEntry("idle "+what, fmt.Sprintf("%.0f B/s and %.1f packets/s for each node", each, float64(more-packets)/20/float64(len(f.Nodes))))
			Expect(each).To(BeNumerically("<", 5500), what)
		}
		measure("calm")
		f.PowerLoss(f.Controllers[2])
		f.Sleep(5 * time.Second)
		measure("beside one dark of three")
	})
})

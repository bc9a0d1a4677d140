package openfleet

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("idle control traffic", func() {
	spec("given no load, when time passes, then control traffic per node stays small, without faults and with one control plane replica without power", []uint64{1}, func(f *Fleet) {
		startAll(f)
		f.Sleep(5 * time.Second)
		measure := func(what string) {
			bytes, packets := f.World.Sent()
			f.Sleep(20 * time.Second)
			bytesAfter, packetsAfter := f.World.Sent()
			bytesPerNode := float64(bytesAfter-bytes) / 20 / float64(len(f.Nodes))
			ginkgo.AddReportEntry("idle "+what, fmt.Sprintf("%.0f B/s and %.1f packets/s per node", bytesPerNode, float64(packetsAfter-packets)/20/float64(len(f.Nodes))))
			Expect(bytesPerNode).To(BeNumerically("<", 5500), what)
		}
		measure("without faults")
		f.PowerLoss(f.Controllers[2])
		f.Sleep(5 * time.Second)
		measure("with one of three replicas without power")
	})
})

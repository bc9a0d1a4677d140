package listedfleet

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/testing/standin"
	"curlewreach/proto/wire"
)

func (f *Fleet) sizes() map[string]int {
	largest := map[string]int{}
	note := func(name string, size int) { largest[name] = max(largest[name], size) }
	for _, m := range f.Every() {
		kind := "vane "
		if m.Controller != nil {
			kind = "keel "
			for name, size := range m.Controller.ControlPlane.Sizes() {
				note(kind+name, size)
			}
		}
		if m.Node != nil {
			for name, size := range m.Node.Node.Sizes() {
				note(kind+name, size)
			}
		}
		note(kind+"files", len(m.Disk.Names()))
		note(kind+"bytes", m.Disk.Bytes())
	}
	return largest
}

var _ = ginkgo.Describe("a long life", func() {
	ginkgo.It("given bundles, new services, gone upstreams and restarts for long, when sizes are compared, then none grows", func() {
		if os.Getenv("SEEDS") != "" {
			ginkgo.Skip("sizes are compared once, without the race detector")
		}
		bubble(1, shape(4), func(f *Fleet) {
			f.TuneController = func(p *wire.KeelParams) { p.Traces, p.Serials = 500, 4 }
			f.Tune = func(p *wire.VaneParams) { p.Bounds = &wire.Bounds{} }
			raised(f)
			f.Visit(8)
			serial, port := uint64(1), 9000
			var guest *standin.Upstream
			churn := func(rounds int) map[string]int {
				for range rounds {
					name := fmt.Sprint("guest-", serial)
					change := &wire.Change{
						Services: []*wire.Service{{Name: name, Routes: []*wire.Route{{Name: "r", Method: "GET", Path: "/" + name + "/r"}}}},
						Shares:   []*wire.Share{{Group: fmt.Sprint("group-", serial), Services: []string{name}, Carried: 1, Watched: 1}},
					}
					if serial > 1 {
						change.DropServices, change.DropShares = []string{fmt.Sprint("guest-", serial-1)}, []string{fmt.Sprint("group-", serial-1)}
					}
					Expect(f.push(fmt.Sprint("life-", serial), serial, change).Verdict).To(Equal(wire.Verdict_TAKEN))
					if guest != nil {
						guest.Kill()
						f.Seats = f.Seats[:len(f.Seats)-1]
					}
					port++
					var err error
					guest, err = f.Seat(f.Vanes[int(serial)%4], name, port, 4)
					Expect(err).NotTo(HaveOccurred())
					f.Pass(2 * time.Second)
					f.ask(f.Vanes[0], standin.PlannedRequest{Service: name, Route: "r", Method: "GET", Path: "/" + name + "/r"}, name)
					m := f.Every()[int(serial)%7]
					f.Stop(m)
					Expect(f.Raise(m)).To(Succeed())
					serial++
					f.Pass(3 * time.Second)
				}
				f.Pass(62 * time.Second)
				return f.sizes()
			}
			rounds := 8
			if os.Getenv("MEASURE") != "" {
				rounds = 40
			}
			early := churn(rounds)
			late := churn(2 * rounds)
			for _, name := range slices.Sorted(maps.Keys(late)) {
				ginkgo.GinkgoWriter.Printf("MEASURE life, %s: %d, then %d\n", name, early[name], late[name])
				if strings.HasSuffix(name, "journal") {
					Expect(late[name]).To(BeNumerically("<", journalBound+200))
					continue
				}
				Expect(late[name]).To(BeNumerically("<=", early[name]+early[name]/4+8), name)
			}
			f.Leave()
			sound(f)
		})
	})
})

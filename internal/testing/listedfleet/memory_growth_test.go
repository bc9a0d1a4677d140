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
	"google.golang.org/protobuf/proto"

	"curlewreach/internal/testing/simnet"
	"curlewreach/internal/testing/standin"
	"curlewreach/proto/wire"
)

// traceFolder is where a controller keeps files of spans. There are as many spans in them as were sampled in a number of
// intervals, so their size follows from the load.
const traceFolder = "traces/"

// diskSizes returns the size of a disk without its files of spans, and how much each span takes in those.
func diskSizes(disk *simnet.Disk) (bytes, bytesPerSpan int) {
	bytes = disk.Bytes()
	traceBytes, spans := 0, 0
	for _, name := range disk.Names() {
		if !strings.HasPrefix(name, traceFolder) {
			continue
		}
		raw, err := disk.Read(name)
		Expect(err).NotTo(HaveOccurred())
		batch := &wire.Batch{}
		Expect(proto.Unmarshal(raw, batch)).To(Succeed())
		traceBytes += len(raw)
		spans += len(batch.Spans)
	}
	return bytes - traceBytes, traceBytes / max(spans, 1)
}

// largestSizes returns the largest size of each table, of the journal and of the disk (in files and bytes, and in bytes
// for each span) over all nodes and over all controllers.
func (f *Fleet) largestSizes() map[string]int {
	largest := map[string]int{}
	add := func(name string, size int) { largest[name] = max(largest[name], size) }
	for _, m := range f.Machines() {
		kind := "node "
		if m.Controller != nil {
			kind = "controller "
			for name, size := range m.Controller.ControlPlane.Sizes() {
				add(kind+name, size)
			}
		}
		if m.Node != nil {
			for name, size := range m.Node.Node.Sizes() {
				add(kind+name, size)
			}
		}
		add(kind+"files", len(m.Disk.Names()))
		bytes, bytesPerSpan := diskSizes(m.Disk)
		add(kind+"bytes", bytes)
		add(kind+"bytes per span", bytesPerSpan)
	}
	return largest
}

const (
	// journalSuffix ends the names of the sizes of journals, which are full after a while and then stay so.
	journalSuffix = "journal"
	// sizeSnapshots is the number of snapshots that are compared: a request may be under way at any of them, and
	// attempts are remembered for a while, now more at one node, now at another. What leaks is in all of them.
	sizeSnapshots    = 18
	snapshotInterval = 5 * time.Second
)

// usualSizes returns the median of each of the largestSizes over some time, and of each journal the largest.
func (f *Fleet) usualSizes() map[string]int {
	snapshots := map[string][]int{}
	for range sizeSnapshots {
		f.Sleep(snapshotInterval)
		for name, size := range f.largestSizes() {
			snapshots[name] = append(snapshots[name], size)
		}
	}
	usual := map[string]int{}
	for name, sizes := range snapshots {
		slices.Sort(sizes)
		usual[name] = sizes[len(sizes)/2]
		if strings.HasSuffix(name, journalSuffix) {
			usual[name] = slices.Max(sizes)
		}
	}
	return usual
}

var _ = ginkgo.Describe("long-running processes", func() {
	ginkgo.It("given many bundles, added services, killed upstreams and restarts, when sizes are compared, then none grows", func() {
		if os.Getenv("SEEDS") != "" {
			ginkgo.Skip("sizes are compared once, without the race detector")
		}
		runFleet(1, libraryBundle(4), func(f *Fleet) {
			f.AdjustControllerParams = func(p *wire.KeelParams) { p.Traces, p.Serials = 500, 4 }
			f.AdjustNodeParams = func(p *wire.VaneParams) { p.Bounds = &wire.Bounds{} }
			startAll(f)
			f.StartLoad(8)
			serial, port := uint64(1), 9000
			var tempUpstream *standin.Upstream
			runRounds := func(rounds int) map[string]int {
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
					if tempUpstream != nil {
						tempUpstream.Kill()
						f.Upstreams = f.Upstreams[:len(f.Upstreams)-1]
					}
					port++
					var err error
					tempUpstream, err = f.StartUpstream(f.Nodes[int(serial)%4], name, port, 4)
					Expect(err).NotTo(HaveOccurred())
					f.Sleep(2 * time.Second)
					f.send(f.Nodes[0], standin.PlannedRequest{Service: name, Route: "r", Method: "GET", Path: "/" + name + "/r"}, name)
					m := f.Machines()[int(serial)%7]
					f.Stop(m)
					Expect(f.StartProcess(m)).To(Succeed())
					serial++
					f.Sleep(3 * time.Second)
				}
				f.Sleep(62 * time.Second)
				return f.usualSizes()
			}
			rounds := 8
			if os.Getenv("MEASURE") != "" {
				rounds = 40
			}
			early := runRounds(rounds)
			late := runRounds(2 * rounds)
			for _, name := range slices.Sorted(maps.Keys(late)) {
				ginkgo.GinkgoWriter.Printf("MEASURE memory growth, %s: %d, then %d\n", name, early[name], late[name])
				if strings.HasSuffix(name, journalSuffix) {
					Expect(late[name]).To(BeNumerically("<", journalLimit+200))
					continue
				}
				Expect(late[name]).To(BeNumerically("<=", early[name]+early[name]/4+8), name)
			}
			f.StopLoad()
			expectNoViolations(f)
		})
	})
})

package listedfleet

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
	"curlewreach/internal/testing/standin"
	"curlewreach/proto/wire"
)

// suite is the test that the synctest bubbles of specs belong to.
var suite *testing.T

func TestFleet(t *testing.T) {
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "fleet")
}

// scenario adds a spec that runs on a fleet of the library example with four nodes, once for each seed.
func scenario(text string, seeds []uint64, run func(f *Fleet)) {
	ginkgo.It(text, func() {
		base.Parallel(limitSeeds(seeds), func(seed uint64) { runFleet(seed, libraryBundle(4), run) })
	})
}

// limitSeeds returns only the first SEEDS seeds if that environment variable is set to a number.
func limitSeeds(seeds []uint64) []uint64 {
	if limit, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		return seeds[:min(limit, len(seeds))]
	}
	return seeds
}

// runFleet runs a test on a new fleet within a synctest bubble, and closes the fleet.
func runFleet(seed uint64, initialBundle *wire.Bundle, run func(f *Fleet)) {
	synctest.Test(suite, func(*testing.T) {
		defer ginkgo.GinkgoRecover()
		f := New(seed, initialBundle)
		f.Behaviors, f.Plan = behaviors, plan
		defer f.Close()
		run(f)
	})
}

// libraryBundle returns the bundle of the library example with three controllers and the given number of nodes.
func libraryBundle(nodes int) *wire.Bundle { return exampleBundle("library", nodes) }

// exampleBundle returns the bundle of an example with three controllers, the given number of nodes and a learning cycle
// of one second.
func exampleBundle(example string, nodes int) *wire.Bundle {
	b := &wire.Bundle{}
	if err := protojson.Unmarshal(exampleFile(example, "bundle.json"), b); err != nil {
		panic(err)
	}
	for i := len(b.Common.Machines) - 3; i < nodes; i++ {
		b.Common.Machines = append(b.Common.Machines, &wire.Machine{Name: fmt.Sprint("app-", i+1), Zone: string(rune('a' + i%3))})
	}
	b.Common.Machines = b.Common.Machines[:3+nodes]
	b.Common.Tracing.Cycle = durationpb.New(time.Second)
	return b
}

func exampleFile(example, name string) []byte {
	body, err := os.ReadFile("../../../examples/" + example + "/" + name)
	if err != nil {
		panic(err)
	}
	return body
}

// useGaugeWorkload loads the behaviors and the planned requests of the gauge example, with fillers of at most 20 kB.
func (f *Fleet) useGaugeWorkload() {
	f.Behaviors, f.Plan = nil, nil
	for name, target := range map[string]any{"habits.json": &f.Behaviors, "plan.json": &f.Plan} {
		if err := json.Unmarshal(exampleFile("gauge", name), target); err != nil {
			panic(err)
		}
	}
	for i := range f.Behaviors {
		f.Behaviors[i].FillerBytes = min(f.Behaviors[i].FillerBytes, 20000)
	}
}

var behaviors = []standin.Behavior{
	{Prefix: "/catalogue/search", MinDelay: 4, Jitter: 3, FillerBytes: 200},
	{Prefix: "/catalogue/report", MinDelay: 20, Jitter: 60, FillerBytes: 4000},
	{Prefix: "/catalogue/licences", MinDelay: 1, Jitter: 1, FillerBytes: 60},
	{Prefix: "/lending/borrow", MinDelay: 4, Jitter: 4, FillerBytes: 120, Calls: []string{"GET /catalogue/licences/{last}"}},
	{Prefix: "/lending/hold", MinDelay: 3, Jitter: 2, FillerBytes: 120},
}

var plan = []standin.PlannedRequest{
	{Service: "catalogue", Route: "search", Group: "patrons", Method: "GET", Path: "/catalogue/search?q={n}", Weight: 5},
	{Service: "catalogue", Route: "report", Group: "librarians", Method: "GET", Path: "/catalogue/report/{n}", Weight: 1},
	{Service: "lending", Route: "borrow", Group: "patrons", Method: "POST", Path: "/lending/borrow/{n}", Weight: 2},
	{Service: "lending", Route: "hold", Group: "patrons", Method: "POST", Path: "/lending/hold/{n}", Weight: 1},
}

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

var suite *testing.T

func TestFleet(t *testing.T) {
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "fleet")
}

func story(text string, seeds []uint64, tell func(f *Fleet)) {
	ginkgo.It(text, func() {
		base.Parallel(few(seeds), func(seed uint64) { bubble(seed, shape(4), tell) })
	})
}

func few(seeds []uint64) []uint64 {
	if most, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		return seeds[:min(most, len(seeds))]
	}
	return seeds
}

func bubble(seed uint64, shape *wire.Bundle, tell func(f *Fleet)) {
	synctest.Test(suite, func(*testing.T) {
		defer ginkgo.GinkgoRecover()
		f := New(seed, shape)
		f.Habits, f.Plan = habits, plan
		defer f.End()
		tell(f)
	})
}

func shape(vanes int) *wire.Bundle { return shapeOf("library", vanes) }

func shapeOf(example string, vanes int) *wire.Bundle {
	b := &wire.Bundle{}
	if err := protojson.Unmarshal(exampleFile(example, "bundle.json"), b); err != nil {
		panic(err)
	}
	for i := len(b.Common.Machines) - 3; i < vanes; i++ {
		b.Common.Machines = append(b.Common.Machines, &wire.Machine{Name: fmt.Sprint("app-", i+1), Zone: string(rune('a' + i%3))})
	}
	b.Common.Machines = b.Common.Machines[:3+vanes]
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

func (f *Fleet) gauge() {
	f.Habits, f.Plan = nil, nil
	for name, into := range map[string]any{"habits.json": &f.Habits, "plan.json": &f.Plan} {
		if err := json.Unmarshal(exampleFile("gauge", name), into); err != nil {
			panic(err)
		}
	}
	for i := range f.Habits {
		f.Habits[i].FillerBytes = min(f.Habits[i].FillerBytes, 20000)
	}
}

var habits = []standin.Behavior{
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

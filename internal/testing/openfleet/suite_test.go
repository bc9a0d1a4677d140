package openfleet

import (
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/testing/judge"
	"curlewreach/proto/wire"
)

// suite is the test that the synctest bubbles of specs belong to.
var suite *testing.T

func TestOpen(t *testing.T) {
	suite = t
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "open")
}

var defaultServices = map[string]int{"books": 4, "loans": 3, "gates": 2}

var smallServices = map[string]int{"books": 2, "loans": 2, "gates": 1}

// spec adds a spec that runs on a fleet with three control plane replicas and the default services, once per seed.
func spec(text string, seeds []uint64, run func(f *Fleet)) {
	specWith(text, 3, defaultServices, seeds, run)
}

// specWith adds a spec that runs in parallel for each seed, each on a fleet of its own in simulated time.
func specWith(text string, controllers int, services map[string]int, seeds []uint64, run func(f *Fleet)) {
	ginkgo.It(text, func() {
		base.Parallel(selectSeeds(seeds), func(seed uint64) {
			synctest.Test(suite, func(*testing.T) {
				defer ginkgo.GinkgoRecover()
				f := New(seed, controllers, services)
				f.Description = fmt.Sprint(text, ", seed ", seed)
				f.Behaviors, f.Workload = defaultBehaviors(), defaultWorkload
				defer f.Close()
				run(f)
			})
		})
	})
}

// selectSeeds returns the given seeds, or 1 to SEEDS if that environment variable is set.
func selectSeeds(seeds []uint64) []uint64 {
	count, err := strconv.Atoi(os.Getenv("SEEDS"))
	if err != nil {
		return seeds
	}
	all := make([]uint64, count)
	for i := range all {
		all[i] = uint64(i + 1)
	}
	return all
}

func defaultBehaviors() []Behavior {
	return []Behavior{
		{Prefix: "/search/", Base: 8 * time.Millisecond, Swing: 20 * time.Millisecond, Size: 700},
		{Prefix: "/scans/", Base: 15 * time.Millisecond, Swing: 30 * time.Millisecond, Size: 150_000, Chunks: true},
		{Prefix: "/lend/", Base: 10 * time.Millisecond, Swing: 20 * time.Millisecond, Size: 200, Calls: []string{"GET books.example /search/near"}},
		{Prefix: "/browse/", Base: 5 * time.Millisecond, Swing: 10 * time.Millisecond, Size: 300, Calls: []string{"GET books.example /search/far", "GET books.example /search/off"}},
		{Prefix: "/return/", Base: 10 * time.Millisecond, Swing: 30 * time.Millisecond, Size: 200},
		{Prefix: "/pass/", Base: 5 * time.Millisecond, Swing: 15 * time.Millisecond, Size: 100},
		{Prefix: "/mix/", Base: 5 * time.Millisecond, Swing: 15 * time.Millisecond, Size: 100},
	}
}

var defaultWorkload = []RequestClass{
	{Method: "GET", Host: "books.example", Path: "/search/", Weight: 5},
	{Method: "GET", Host: "books.example", Path: "/scans/", Weight: 0.5},
	{Method: "POST", Host: "loans.example", Path: "/lend/", Weight: 2, BodySize: 40},
	{Method: "GET", Host: "loans.example", Path: "/browse/", Weight: 0.7},
	{Method: "PUT", Host: "loans.example", Path: "/return/", Weight: 2, BodySize: 2000},
	{Method: "POST", Host: "gates.example", Path: "/pass/", Weight: 2, BodySize: 10},
	{Method: "GET", Host: "mix.example", Path: "/mix/", Weight: 1},
}

func stringPtr(service string) *string { return &service }

// initialConfiguration returns the configuration with which most specs begin.
func initialConfiguration() *wire.Configuration {
	c := &wire.Configuration{Serial: 3}
	for _, name := range []string{"books", "loans", "gates"} {
		c.Services = append(c.Services, &wire.ConfigurationService{Name: name, Probe: "/health", ConnLimit: 130, Protocol: "h1"})
	}
	c.Routes = []*wire.ConfigurationRoute{
		{Name: "search", Host: "books.example", Prefix: "/search/", Repeat: wire.Repeat_REPEATABLE, CutoffMs: 2000, AimMs: 400, Rank: 2, Tries: 3, Service: stringPtr("books")},
		{Name: "scans", Host: "books.example", Prefix: "/scans/", Repeat: wire.Repeat_BULK, CutoffMs: 2000, AimMs: 600, Rank: 3, Tries: 2, Service: stringPtr("books")},
		{Name: "lend", Host: "loans.example", Prefix: "/lend/", Repeat: wire.Repeat_ONCE, CutoffMs: 2000, AimMs: 500, Rank: 0, Tries: 2, Service: stringPtr("loans")},
		{Name: "browse", Host: "loans.example", Prefix: "/browse/", Repeat: wire.Repeat_REPEATABLE, CutoffMs: 2000, AimMs: 500, Rank: 2, Tries: 3, Service: stringPtr("loans")},
		{Name: "return", Host: "loans.example", Prefix: "/return/", Repeat: wire.Repeat_ONCE, CutoffMs: 2000, AimMs: 500, Rank: 1, Tries: 3, Service: stringPtr("loans")},
		{Name: "pass", Host: "gates.example", Prefix: "/pass/", Repeat: wire.Repeat_ONCE, CutoffMs: 1500, AimMs: 300, Rank: 0, Tries: 2, Service: stringPtr("gates")},
		{Name: "mix", Host: "mix.example", Prefix: "/mix/", Repeat: wire.Repeat_REPEATABLE, CutoffMs: 1500, AimMs: 300, Rank: 1, Tries: 2, Destinations: []*wire.Destination{{Service: "books", Weight: 80}, {Service: "gates", Weight: 20}}},
	}
	return c
}

// startAll starts the control plane, pushes the initial configuration, starts all nodes with their upstreams and waits
// until the nodes are ready.
func startAll(f *Fleet) {
	for _, m := range f.Controllers {
		Expect(f.StartProcess(m)).To(Succeed())
	}
	if f.InitialConfiguration == nil {
		f.InitialConfiguration = initialConfiguration()
	}
	outcome := f.PushConfiguration(f.InitialConfiguration, 10*time.Second)
	Expect(outcome).NotTo(BeNil(), f.Description)
	Expect(outcome.Kind).To(BeEmpty(), f.Description)
	for _, m := range f.Nodes {
		Expect(f.StartProcess(m)).To(Succeed())
		f.StartUpstream(m)
	}
	Expect(f.WaitUntil(5*time.Second, func() bool { return f.Ready(f.Nodes) })).To(BeTrue(), f.Description)
	f.Sleep(300 * time.Millisecond)
}

// checkHistory stops the load and expects that no rule is violated and that each rule in wanted applied at least once.
func checkHistory(f *Fleet, wanted ...string) {
	f.StopLoad()
	verdicts := Check(f.History)
	f.printReport(verdicts)
	Expect(judge.Violations(verdicts)).To(BeEmpty(), f.Description)
	Expect(judge.Vacuous(verdicts, wanted...)).To(BeEmpty(), f.Description)
}

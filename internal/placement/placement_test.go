package placement

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "placement")
}

// testPlan returns a valid plan of four machines in three zones and three services,
// with the given rules in JSON.
func testPlan(rules string) *wire.PerchPlan {
	p := &wire.PerchPlan{}
	Expect(protojson.Unmarshal([]byte(`{
		"machines": [{"name":"a1","zone":"a","capacity":2},{"name":"a2","zone":"a","capacity":2},{"name":"b1","zone":"b","capacity":2},{"name":"c1","zone":"c","capacity":2}],
		"services": [{"name":"loans","replicas":3,"weight":1},{"name":"books","replicas":2,"weight":1},{"name":"bulk","replicas":1,"weight":2}],
		"rules": [`+rules+`]}`), p)).To(Succeed())
	Expect(Check(p)).To(Succeed())
	return p
}

// expectValid checks that assignments are unique, give each service its replicas and
// keep to the machines' capacities.
func expectValid(p *wire.PerchPlan, assignments []Assignment) {
	weights, counts, used := map[string]int{}, map[string]int{}, map[string]int{}
	for _, service := range p.Services {
		weights[service.Name] = int(service.Weight)
	}
	seen := map[Assignment]bool{}
	for _, seat := range assignments {
		Expect(seen[seat]).To(BeFalse())
		seen[seat] = true
		counts[seat.Service]++
		used[seat.Machine] += weights[seat.Service]
	}
	for _, service := range p.Services {
		Expect(counts[service.Name]).To(Equal(int(service.Replicas)), service.Name)
	}
	for _, machine := range p.Machines {
		Expect(used[machine.Name]).To(BeNumerically("<=", machine.Capacity), machine.Name)
	}
}

func machinesOf(assignments []Assignment, service string) (machines []string) {
	for _, seat := range assignments {
		if seat.Service == service {
			machines = append(machines, seat.Machine)
		}
	}
	return machines
}

var _ = ginkgo.Describe("placement", func() {
	ginkgo.DescribeTable("given rules that can be met, when solved, then each holds",
		func(rules string, verify func(assignments []Assignment)) {
			p := testPlan(rules)
			assignments, conflict := Solve(p)
			Expect(conflict).To(BeEmpty())
			expectValid(p, assignments)
			verify(assignments)
		},
		ginkgo.Entry("capacity alone", ``, func([]Assignment) {}),
		ginkgo.Entry("spread over zones", `{"kind":"spread","services":["loans"]}`, func(assignments []Assignment) {
			zones := map[string]bool{}
			for _, seat := range assignments {
				if seat.Service == "loans" {
					zones[seat.Zone] = true
				}
			}
			Expect(zones).To(HaveLen(3))
		}),
		ginkgo.Entry("apart", `{"kind":"apart","services":["loans","bulk"]}`, func(assignments []Assignment) {
			Expect(machinesOf(assignments, "loans")).NotTo(ContainElement(machinesOf(assignments, "bulk")[0]))
		}),
		ginkgo.Entry("pinned", `{"kind":"pinned","services":["bulk"],"machines":["b1"]}`, func(assignments []Assignment) {
			Expect(machinesOf(assignments, "bulk")).To(ConsistOf("b1"))
		}),
		ginkgo.Entry("at most one of two on a machine", `{"kind":"most","services":["books","loans"],"most":1,"machines":["a1"]}`, func(assignments []Assignment) {
			count := 0
			for _, machine := range append(machinesOf(assignments, "books"), machinesOf(assignments, "loans")...) {
				if machine == "a1" {
					count++
				}
			}
			Expect(count).To(BeNumerically("<=", 1))
		}),
	)

	ginkgo.It("given services that must run together, when solved, then they share their machines", func() {
		p := testPlan(`{"kind":"together","services":["loans","books"]}`)
		p.Services[1].Replicas, p.Services = 3, p.Services[:2]
		assignments, conflict := Solve(p)
		Expect(conflict).To(BeEmpty())
		expectValid(p, assignments)
		Expect(machinesOf(assignments, "books")).To(Equal(machinesOf(assignments, "loans")))
	})

	ginkgo.It("given requirements that can't all be met, when solved, then only the conflicting ones are named", func() {
		_, conflict := Solve(testPlan(`{"kind":"pinned","services":["bulk"],"machines":["b1"]}, {"kind":"pinned","services":["loans"],"machines":["a1","b1","c1"]}, {"kind":"spread","services":["books"]}`))
		Expect(conflict).To(ConsistOf("3 of loans", "1 of bulk", "capacity 2 of b1", "rules[0] pinned bulk b1", "rules[1] pinned loans a1 b1 c1"))
		p := testPlan(``)
		p.Services[0].Replicas = 9
		_, conflict = Solve(p)
		Expect(conflict).To(ConsistOf("9 of loans"))
	})

	ginkgo.It("given a plan with many faults, when checked, then all are listed", func() {
		p := &wire.PerchPlan{
			Machines: []*wire.PerchMachine{{Name: "A", Zone: "a"}, {Name: "b", Zone: "", Capacity: 1}, {Name: "b", Zone: "b", Capacity: 1}},
			Services: []*wire.PerchService{{Name: "s"}},
			Rules:    []*wire.PerchRule{{Kind: "near", Services: []string{"t"}}, {Kind: Pinned, Services: []string{"s"}, Machines: []string{"z"}}, {Kind: Apart, Services: []string{"s"}}},
		}
		Expect(len(base.ErrorLines(Check(p)))).To(BeNumerically(">=", 9))
	})
})

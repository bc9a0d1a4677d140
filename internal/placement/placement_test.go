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

func plan(rules string) *wire.PerchPlan {
	p := &wire.PerchPlan{}
	Expect(protojson.Unmarshal([]byte(`{
		"machines": [{"name":"a1","zone":"a","capacity":2},{"name":"a2","zone":"a","capacity":2},{"name":"b1","zone":"b","capacity":2},{"name":"c1","zone":"c","capacity":2}],
		"services": [{"name":"loans","replicas":3,"weight":1},{"name":"books","replicas":2,"weight":1},{"name":"bulk","replicas":1,"weight":2}],
		"rules": [`+rules+`]}`), p)).To(Succeed())
	Expect(Check(p)).To(Succeed())
	return p
}

func obeys(p *wire.PerchPlan, seats []Assignment) {
	weights, counts, used := map[string]int{}, map[string]int{}, map[string]int{}
	for _, service := range p.Services {
		weights[service.Name] = int(service.Weight)
	}
	seen := map[Assignment]bool{}
	for _, seat := range seats {
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

func machinesOf(seats []Assignment, service string) (machines []string) {
	for _, seat := range seats {
		if seat.Service == service {
			machines = append(machines, seat.Machine)
		}
	}
	return machines
}

var _ = ginkgo.Describe("placements", func() {
	ginkgo.DescribeTable("given constraints that can be met, when solved, then each holds",
		func(rules string, holds func(seats []Assignment)) {
			p := plan(rules)
			seats, clash := Solve(p)
			Expect(clash).To(BeEmpty())
			obeys(p, seats)
			holds(seats)
		},
		ginkgo.Entry("capacity alone", ``, func([]Assignment) {}),
		ginkgo.Entry("spread over zones", `{"kind":"spread","services":["loans"]}`, func(seats []Assignment) {
			zones := map[string]bool{}
			for _, seat := range seats {
				if seat.Service == "loans" {
					zones[seat.Zone] = true
				}
			}
			Expect(zones).To(HaveLen(3))
		}),
		ginkgo.Entry("apart", `{"kind":"apart","services":["loans","bulk"]}`, func(seats []Assignment) {
			Expect(machinesOf(seats, "loans")).NotTo(ContainElement(machinesOf(seats, "bulk")[0]))
		}),
		ginkgo.Entry("pinned", `{"kind":"pinned","services":["bulk"],"machines":["b1"]}`, func(seats []Assignment) {
			Expect(machinesOf(seats, "bulk")).To(ConsistOf("b1"))
		}),
		ginkgo.Entry("at most one of two on a machine", `{"kind":"most","services":["books","loans"],"most":1,"machines":["a1"]}`, func(seats []Assignment) {
			on := 0
			for _, machine := range append(machinesOf(seats, "books"), machinesOf(seats, "loans")...) {
				if machine == "a1" {
					on++
				}
			}
			Expect(on).To(BeNumerically("<=", 1))
		}),
	)

	ginkgo.It("given services that belong together, when solved, then they share their machines", func() {
		p := plan(`{"kind":"together","services":["loans","books"]}`)
		p.Services[1].Replicas, p.Services = 3, p.Services[:2]
		seats, clash := Solve(p)
		Expect(clash).To(BeEmpty())
		obeys(p, seats)
		Expect(machinesOf(seats, "books")).To(Equal(machinesOf(seats, "loans")))
	})

	ginkgo.It("given constraints that can't all be met, when solved, then just those that clash are named", func() {
		_, clash := Solve(plan(`{"kind":"pinned","services":["bulk"],"machines":["b1"]}, {"kind":"pinned","services":["loans"],"machines":["a1","b1","c1"]}, {"kind":"spread","services":["books"]}`))
		Expect(clash).To(ConsistOf("3 of loans", "1 of bulk", "capacity 2 of b1", "rules[0] pinned bulk b1", "rules[1] pinned loans a1 b1 c1"))
		p := plan(``)
		p.Services[0].Replicas = 9
		_, clash = Solve(p)
		Expect(clash).To(ConsistOf("9 of loans"))
	})

	ginkgo.It("given a file with many faults, when checked, then all are listed", func() {
		p := &wire.PerchPlan{
			Machines: []*wire.PerchMachine{{Name: "A", Zone: "a"}, {Name: "b", Zone: "", Capacity: 1}, {Name: "b", Zone: "b", Capacity: 1}},
			Services: []*wire.PerchService{{Name: "s"}},
			Rules:    []*wire.PerchRule{{Kind: "near", Services: []string{"t"}}, {Kind: Pinned, Services: []string{"s"}, Machines: []string{"z"}}, {Kind: Apart, Services: []string{"s"}}},
		}
		Expect(len(base.ErrorLines(Check(p)))).To(BeNumerically(">=", 9))
	})
})

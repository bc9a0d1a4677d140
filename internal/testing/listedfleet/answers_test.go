package listedfleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/testing/judge"
	"curlewreach/internal/testing/standin"
	"curlewreach/proto/wire"
)

func sound(f *Fleet, wanted ...string) {
	verdicts := judge.Check(f.History, f.Bounds())
	Expect(judge.Violations(verdicts)).To(BeEmpty(), f.Story)
	Expect(judge.Vacuous(verdicts, wanted...)).To(BeEmpty(), f.Story)
}

func (f *Fleet) seatsOf(service string) []*standin.Upstream {
	var seats []*standin.Upstream
	for _, u := range f.Seats {
		if u.Service == service {
			seats = append(seats, u)
		}
	}
	return seats
}

func (f *Fleet) ask(m *Machine, habit standin.PlannedRequest, id string) judge.Call {
	s := f.scope("asker "+id, m.IP, m.Disk, m.Clock, m.Journal)
	call := (&standin.Clients{Scope: s, NodeAddress: m.At(visitorsPort)}).Send(s, habit, id)
	f.History.RecordCall(call)
	return call
}

var (
	hold   = standin.PlannedRequest{Service: "lending", Route: "hold", Method: "POST", Path: "/lending/hold/7"}
	report = standin.PlannedRequest{Service: "catalogue", Route: "report", Method: "GET", Path: "/catalogue/report/7"}
)

func (f *Fleet) tally(calls []judge.Call) map[string]int {
	counts := map[string]int{}
	for _, call := range calls {
		switch {
		case call.Broken != "":
			counts["broken"]++
		case call.Outcome != "":
			counts[call.Outcome]++
		default:
			counts["answered"]++
		}
	}
	return counts
}

var _ = ginkgo.Describe("answers", func() {
	for _, fault := range []standin.Fault{standin.CloseUnanswered, standin.Truncate, standin.Corrupt, standin.ExtraBody, standin.NoLength, standin.InvalidHTTP} {
		story(fmt.Sprintf("given upstreams that %s their answers, when a hold is asked, then it runs once and nothing but a whole answer is relayed", fault), []uint64{1, 2}, func(f *Fleet) {
			raised(f)
			for _, u := range f.seatsOf("lending") {
				u.SetFault(fault)
			}
			for i := range 12 {
				call := f.ask(f.Vanes[i%len(f.Vanes)], hold, fmt.Sprintf("hold-%d", i))
				Expect(call.Broken).To(BeEmpty())
				if fault == standin.ExtraBody {
					Expect(call.Status).To(Equal(200))
					continue
				}
				Expect(call.Outcome).To(Equal("unknown"))
				Expect(call.Status).To(Equal(502))
				Expect(call.Ended-call.Started).To(BeNumerically("<", time.Second), "a request given up on is answered at once")
			}
			sound(f)
		})
	}

	story("given one upstream that loses answers, when searches are asked, then repeats find another within their bound", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.seatsOf("catalogue")[0].SetFault(standin.CloseUnanswered)
		f.Visit(80)
		f.Pass(15 * time.Second)
		f.Leave()
		sound(f)
		counts := f.tally(f.History.Calls())
		Expect(counts["answered"]).To(BeNumerically(">", 20*counts["unknown"]))
	})

	story("given every upstream losing answers, when the crowd comes, then repeats stay within a fifth and the allowance", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		for _, u := range f.seatsOf("catalogue") {
			u.SetFault(standin.CloseUnanswered)
		}
		f.Visit(100)
		f.Pass(15 * time.Second)
		f.Leave()
		sound(f)
		Expect(f.tally(f.History.Calls())["unknown"]).To(BeNumerically(">", 100))
	})

	story("given a long answer, when its upstream breaks off midway, then the visitor cannot take it for whole", []uint64{1}, func(f *Fleet) {
		f.Habits = []standin.Behavior{{Prefix: "/catalogue/report", MinDelay: 5, FillerBytes: 3 << 20}}
		f.Tune = func(p *wire.VaneParams) { p.Held = 64 << 10 }
		raised(f)
		Expect(f.ask(f.Vanes[1], report, "whole").Broken).To(BeEmpty())
		for _, u := range f.seatsOf("catalogue") {
			u.SetFault(standin.Truncate)
		}
		Expect(f.ask(f.Vanes[1], report, "torn").Broken).To(HavePrefix("torn"))
		for _, u := range f.seatsOf("catalogue") {
			u.SetFault(standin.Corrupt)
		}
		Expect(f.ask(f.Vanes[1], report, "garbled").Broken).To(HavePrefix("torn"))
		sound(f)
	})

	story("given little room in memory, when many bodies and long answers come at once, then room is never overdrawn, some are turned back, and the rest are whole", []uint64{1, 2}, func(f *Fleet) {
		f.Habits = []standin.Behavior{{Prefix: "/catalogue/report", MinDelay: 20, FillerBytes: 300 << 10}, {Prefix: "/lending", MinDelay: 200}}
		f.Tune = func(p *wire.VaneParams) { p.Room = 1 << 20 }
		raised(f)
		statuses := make(chan int, 40)
		var bodies []int
		for i := range 40 {
			bodies = append(bodies, i)
		}
		base.Parallel(bodies, func(i int) {
			body := strings.Repeat("b", 100<<10)
			text := fmt.Sprintf("POST /lending/hold/7 HTTP/1.1\r\nHost: x\r\nMime-Id: body-%d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", i, len(body), body)
			status, _, err := f.raw(f.Vanes[0].At(visitorsPort), text, 20*time.Second)
			Expect(err).NotTo(HaveOccurred())
			statuses <- status
		})
		counts := map[int]int{}
		for range 40 {
			counts[<-statuses]++
		}
		Expect(counts[200]).To(BeNumerically(">=", 10))
		Expect(counts[503]).To(BeNumerically(">", 10))
		calls := make([]judge.Call, 12)
		base.Parallel([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}, func(i int) { calls[i] = f.ask(f.Vanes[0], report, fmt.Sprint("long-", i)) })
		for _, call := range calls {
			Expect(call.Broken).To(BeEmpty())
			Expect(call.Status).To(Equal(200))
		}
		f.Pass(time.Second)
		Expect(f.Vanes[0].Node.Node.Sizes()["room"]).To(BeZero(), "all room is given back")
		sound(f, judge.WholeAnswers)
	})

	story("given a slow upstream, when a hold's deadline passes, then the answer is unknown and the hold never runs again", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		for _, u := range f.seatsOf("lending") {
			u.SetFault(standin.Hang)
		}
		call := f.ask(f.Vanes[0], hold, "stuck")
		Expect(call.Outcome).To(Equal("unknown"))
		Expect(call.Status).To(Equal(504))
		f.Pass(30 * time.Second)
		sound(f)
	})

	story("given no route, seat or room, when asked, then the bounce promises not run and says when to come back", []uint64{1}, func(f *Fleet) {
		raised(f)
		Expect(f.ask(f.Vanes[0], standin.PlannedRequest{Method: "GET", Path: "/nowhere"}, "nowhere").Status).To(Equal(404))
		for _, u := range f.seatsOf("lending") {
			u.Kill()
		}
		f.Pass(time.Second)
		call := f.ask(f.Vanes[0], hold, "no seat")
		Expect(call.Status).To(Equal(503))
		Expect(call.Outcome).To(Equal("not-run"))
		sound(f)
	})
})

var _ = ginkgo.Describe("machines and upstreams that come and go", func() {
	story("given an upstream that leaves, when visitors go on, then it gets nothing new after 2 s and nobody is bounced", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(80)
		f.Pass(3 * time.Second)
		f.seatsOf("lending")[0].AnnounceLeaving()
		f.Pass(6 * time.Second)
		f.Leave()
		sound(f)
		Expect(f.tally(f.History.Calls())).To(HaveLen(1))
	})

	story("given a node that can't hear the news, when an upstream leaves, then the node beside it bounces what still comes", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(80)
		for _, controller := range f.Keels {
			f.Cut(controller, f.Vanes[0])
		}
		f.Pass(time.Second)
		f.seatsOf("lending")[1].AnnounceLeaving()
		f.Pass(6 * time.Second)
		f.Leave()
		sound(f)
		Expect(f.tally(f.History.Calls())).To(HaveLen(1))
		Expect(f.Vanes[3].Journal.Counts()["far-no-seat"]).To(BeNumerically(">", 0))
	})

	story("given upstreams in several zones, when all are well, then the visitor's zone goes first, and another serves when it has none", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		near := f.seatsOf("lending")[1]
		Expect(near.Zone).To(Equal(f.Vanes[0].Zone))
		for i := range 40 {
			f.ask(f.Vanes[0], hold, fmt.Sprint("zone-", i))
		}
		Expect(near.Counts().Ran).To(BeNumerically(">=", 38))
		near.AnnounceLeaving()
		f.Pass(time.Second)
		ran := near.Counts().Ran
		for i := range 20 {
			Expect(f.ask(f.Vanes[0], hold, fmt.Sprint("elsewhere-", i)).Status).To(Equal(200))
		}
		Expect(near.Counts().Ran).To(Equal(ran))
		sound(f)
	})

	story("given an upstream that ends, when another service takes its address at once, then it gets none of the first's requests", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(120)
		f.Pass(2 * time.Second)
		first := f.seatsOf("lending")[0]
		home := f.Vanes[1]
		Expect(first.Address).To(Equal(home.At(8001)))
		first.Kill()
		_, err := f.Seat(home, "catalogue", 8001, 16)
		Expect(err).NotTo(HaveOccurred())
		f.Pass(3 * time.Second)
		f.Leave()
		sound(f)
		Expect(f.tally(f.History.Calls())["answered"]).To(BeNumerically(">", 400))
	})

	story("given an upstream that reports and ends in the same moment, when another service takes its address, then the late report seats nobody else", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		home := f.Vanes[2]
		for _, u := range f.seatsOf("lending") {
			u.AnnounceLeaving()
		}
		for round := range 25 {
			first := &standin.Upstream{Scope: f.scope(fmt.Sprint("first ", round), home.IP, home.Disk, home.Clock, home.Journal), Service: "lending", Address: home.At(8100 + round), Zone: home.Zone, Capacity: 16, NodeAddress: home.At(upstreamsPort), History: f.History}
			second := &standin.Upstream{Scope: f.scope(fmt.Sprint("second ", round), home.IP, home.Disk, home.Clock, home.Journal), Service: "catalogue", Address: first.Address, Zone: home.Zone, Capacity: 16, NodeAddress: "10.9.0.99:1", History: f.History}
			Expect(first.Start(time.Hour)).To(Succeed())
			f.Pass(time.Duration(round*int(f.Seed)*3) * time.Microsecond)
			first.Kill()
			Expect(second.Start(time.Hour)).To(Succeed())
			for i := range 4 {
				f.ask(home, hold, fmt.Sprintf("late-%d-%d", round, i))
				f.Pass(time.Millisecond)
			}
			second.Kill()
		}
		sound(f, judge.NotRun)
	})

	story("given upstreams that close idle connections, when none of them ends, then no request is bounced for it", []uint64{1}, func(f *Fleet) {
		raised(f)
		f.Visit(40)
		f.Pass(32 * time.Second)
		f.Leave()
		sound(f)
		Expect(f.tally(f.History.Calls())).To(HaveLen(1))
		for _, m := range f.Vanes {
			Expect(m.Journal.Counts()["seat-void"]).To(BeZero())
		}
	})

	story("given an address passed on silently, when the probe still stands, then the new listener is noticed before a byte is sent", []uint64{1}, func(f *Fleet) {
		raised(f)
		first := f.seatsOf("lending")[0]
		home := f.Vanes[1]
		first.Drain()
		second := &standin.Upstream{Scope: first.Scope, Service: "catalogue", Address: first.Address, NodeAddress: "10.9.0.99:1", Capacity: 16, Zone: home.Zone, History: f.History}
		Expect(second.Start(time.Hour)).To(Succeed())
		defer second.Kill()
		for i := range 20 {
			f.ask(home, hold, fmt.Sprintf("passed-%d", i))
		}
		sound(f)
		Expect(f.tally(f.History.Calls())["answered"]).To(BeNumerically(">", 10))
	})

	story("given a node killed while it carries, when it returns, then no hold ran twice and service goes on", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(80)
		for _, m := range f.Vanes[:3] {
			f.Pass(2 * time.Second)
			f.Kill(m)
			f.Pass(time.Second)
			Expect(f.Raise(m)).To(Succeed())
		}
		f.Pass(6 * time.Second)
		f.Leave()
		sound(f)
		calls := f.History.Calls()
		late := calls[len(calls)-50:]
		Expect(f.tally(late)["answered"]).To(BeNumerically(">", 40))
	})

	story("given machines rolled in turn with a polite stop, when visitors call, then nothing in flight is dropped", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(80)
		for _, m := range f.Vanes {
			f.Pass(2 * time.Second)
			f.Stop(m)
			f.Pass(500 * time.Millisecond)
			Expect(f.Raise(m)).To(Succeed())
		}
		f.Pass(3 * time.Second)
		f.Leave()
		sound(f)
		for _, call := range f.History.Calls() {
			Expect(call.Outcome).NotTo(Equal("unknown"), call.ID)
			Expect(call.Broken).NotTo(HavePrefix("torn"), call.ID)
		}
	})

	story("given one-way and two-way cuts between nodes, when they come and go, then doubt is told and nothing runs twice", []uint64{1, 2, 3, 4}, func(f *Fleet) {
		raised(f)
		f.Visit(80)
		for round := range 6 {
			f.Pass(2 * time.Second)
			a, b := f.Vanes[round%4], f.Vanes[(round+1)%4]
			f.World.Cut(a.IP, b.IP)
			if round%2 == 0 {
				f.World.Cut(b.IP, a.IP)
			}
			f.Pass(1500 * time.Millisecond)
			f.World.HealAll()
		}
		f.Pass(5 * time.Second)
		f.Leave()
		sound(f)
	})
})

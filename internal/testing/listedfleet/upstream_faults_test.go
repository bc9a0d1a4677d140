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

// expectNoViolations expects that the history violates no rule and that the wanted rules had something to check.
func expectNoViolations(f *Fleet, wanted ...string) {
	verdicts := judge.Check(f.History, f.Bounds())
	Expect(judge.Violations(verdicts)).To(BeEmpty(), f.Description)
	Expect(judge.Vacuous(verdicts, wanted...)).To(BeEmpty(), f.Description)
}

func (f *Fleet) upstreamsOf(service string) []*standin.Upstream {
	var upstreams []*standin.Upstream
	for _, u := range f.Upstreams {
		if u.Service == service {
			upstreams = append(upstreams, u)
		}
	}
	return upstreams
}

// send makes one request through a machine's node and records the call.
func (f *Fleet) send(m *Machine, planned standin.PlannedRequest, id string) judge.Call {
	s := f.newScope("asker "+id, m.IP, m.Disk, m.Clock, m.Journal)
	call := (&standin.Clients{Scope: s, NodeAddress: m.PortAddress(clientsPort)}).Send(s, planned, id)
	f.History.RecordCall(call)
	return call
}

var (
	holdRequest   = standin.PlannedRequest{Service: "lending", Route: "hold", Method: "POST", Path: "/lending/hold/7"}
	reportRequest = standin.PlannedRequest{Service: "catalogue", Route: "report", Method: "GET", Path: "/catalogue/report/7"}
)

// outcomeCounts counts the calls that were answered, that are broken, and the others by their outcome ("not-run" or
// "unknown").
func (f *Fleet) outcomeCounts(calls []judge.Call) map[string]int {
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

var _ = ginkgo.Describe("faulty answers", func() {
	for _, fault := range []standin.Fault{standin.CloseUnanswered, standin.Truncate, standin.Corrupt, standin.ExtraBody, standin.NoLength, standin.InvalidHTTP} {
		scenario(fmt.Sprintf("given upstreams with the fault %q, when POST requests are sent, then each runs at most once and only a complete answer is relayed", fault), []uint64{1, 2}, func(f *Fleet) {
			startAll(f)
			for _, u := range f.upstreamsOf("lending") {
				u.SetFault(fault)
			}
			for i := range 12 {
				call := f.send(f.Nodes[i%len(f.Nodes)], holdRequest, fmt.Sprintf("hold-%d", i))
				Expect(call.Broken).To(BeEmpty())
				if fault == standin.ExtraBody {
					Expect(call.Status).To(Equal(200))
					continue
				}
				Expect(call.Outcome).To(Equal("unknown"))
				Expect(call.Status).To(Equal(502))
				Expect(call.Ended-call.Started).To(BeNumerically("<", time.Second), "a request that can't be retried is answered at once")
			}
			expectNoViolations(f)
		})
	}

	scenario("given one upstream that loses answers, when clients make requests, then retries reach another one within the retry budget", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.upstreamsOf("catalogue")[0].SetFault(standin.CloseUnanswered)
		f.StartLoad(80)
		f.Sleep(15 * time.Second)
		f.StopLoad()
		expectNoViolations(f)
		counts := f.outcomeCounts(f.History.Calls())
		Expect(counts["answered"]).To(BeNumerically(">", 20*counts["unknown"]))
	})

	scenario("given every upstream of a service losing answers, when clients make requests, then retries stay within a fifth of the requests plus the allowance", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		for _, u := range f.upstreamsOf("catalogue") {
			u.SetFault(standin.CloseUnanswered)
		}
		f.StartLoad(100)
		f.Sleep(15 * time.Second)
		f.StopLoad()
		expectNoViolations(f)
		Expect(f.outcomeCounts(f.History.Calls())["unknown"]).To(BeNumerically(">", 100))
	})

	scenario("given a long answer, when its upstream truncates or corrupts it, then the client can't take it as complete", []uint64{1}, func(f *Fleet) {
		f.Behaviors = []standin.Behavior{{Prefix: "/catalogue/report", MinDelay: 5, FillerBytes: 3 << 20}}
		f.AdjustNodeParams = func(p *wire.VaneParams) { p.Held = 64 << 10 }
		startAll(f)
		Expect(f.send(f.Nodes[1], reportRequest, "whole").Broken).To(BeEmpty())
		for _, u := range f.upstreamsOf("catalogue") {
			u.SetFault(standin.Truncate)
		}
		Expect(f.send(f.Nodes[1], reportRequest, "torn").Broken).To(HavePrefix("torn"))
		for _, u := range f.upstreamsOf("catalogue") {
			u.SetFault(standin.Corrupt)
		}
		Expect(f.send(f.Nodes[1], reportRequest, "garbled").Broken).To(HavePrefix("torn"))
		expectNoViolations(f)
	})

	scenario("given little memory for bodies, when many request bodies and long answers arrive at once, then the memory limit holds, some requests are rejected, the other answers are complete and all memory is released", []uint64{1, 2}, func(f *Fleet) {
		f.Behaviors = []standin.Behavior{{Prefix: "/catalogue/report", MinDelay: 20, FillerBytes: 300 << 10}, {Prefix: "/lending", MinDelay: 200}}
		f.AdjustNodeParams = func(p *wire.VaneParams) { p.Room = 1 << 20 }
		startAll(f)
		statuses := make(chan int, 40)
		var bodies []int
		for i := range 40 {
			bodies = append(bodies, i)
		}
		base.Parallel(bodies, func(i int) {
			body := strings.Repeat("b", 100<<10)
			text := fmt.Sprintf("POST /lending/hold/7 HTTP/1.1\r\nHost: x\r\nMime-Id: body-%d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", i, len(body), body)
			status, _, err := f.sendRaw(f.Nodes[0].PortAddress(clientsPort), text, 20*time.Second)
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
		base.Parallel([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}, func(i int) { calls[i] = f.send(f.Nodes[0], reportRequest, fmt.Sprint("long-", i)) })
		for _, call := range calls {
			Expect(call.Broken).To(BeEmpty())
			Expect(call.Status).To(Equal(200))
		}
		f.Sleep(time.Second)
		Expect(f.Nodes[0].Node.Node.Sizes()["room"]).To(BeZero(), "all memory for bodies is released")
		expectNoViolations(f, judge.WholeAnswers)
	})

	scenario("given upstreams that hang, when the deadline of a POST request passes, then its outcome is unknown and it never runs again", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		for _, u := range f.upstreamsOf("lending") {
			u.SetFault(standin.Hang)
		}
		call := f.send(f.Nodes[0], holdRequest, "stuck")
		Expect(call.Outcome).To(Equal("unknown"))
		Expect(call.Status).To(Equal(504))
		f.Sleep(30 * time.Second)
		expectNoViolations(f)
	})

	scenario("given no route or no upstream, when a request is sent, then it is rejected as not run", []uint64{1}, func(f *Fleet) {
		startAll(f)
		Expect(f.send(f.Nodes[0], standin.PlannedRequest{Method: "GET", Path: "/nowhere"}, "nowhere").Status).To(Equal(404))
		for _, u := range f.upstreamsOf("lending") {
			u.Kill()
		}
		f.Sleep(time.Second)
		call := f.send(f.Nodes[0], holdRequest, "no seat")
		Expect(call.Status).To(Equal(503))
		Expect(call.Outcome).To(Equal("not-run"))
		expectNoViolations(f)
	})
})

var _ = ginkgo.Describe("joining and leaving machines and upstreams", func() {
	scenario("given an upstream that leaves, when clients continue, then it gets no new request after 2 s and no request is rejected", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(80)
		f.Sleep(3 * time.Second)
		f.upstreamsOf("lending")[0].AnnounceLeaving()
		f.Sleep(6 * time.Second)
		f.StopLoad()
		expectNoViolations(f)
		Expect(f.outcomeCounts(f.History.Calls())).To(HaveLen(1))
	})

	scenario("given a node cut off from the controllers, when an upstream leaves, then the upstream's own node rejects requests that still arrive for it", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(80)
		for _, controller := range f.Controllers {
			f.Partition(controller, f.Nodes[0])
		}
		f.Sleep(time.Second)
		f.upstreamsOf("lending")[1].AnnounceLeaving()
		f.Sleep(6 * time.Second)
		f.StopLoad()
		expectNoViolations(f)
		Expect(f.outcomeCounts(f.History.Calls())).To(HaveLen(1))
		Expect(f.Nodes[3].Journal.Counts()["far-no-seat"]).To(BeNumerically(">", 0))
	})

	scenario("given upstreams in several zones, when all are healthy, then the client's zone is preferred, and another one serves when it has none", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		sameZone := f.upstreamsOf("lending")[1]
		Expect(sameZone.Zone).To(Equal(f.Nodes[0].Zone))
		for i := range 40 {
			f.send(f.Nodes[0], holdRequest, fmt.Sprint("zone-", i))
		}
		Expect(sameZone.Counts().Ran).To(BeNumerically(">=", 38))
		sameZone.AnnounceLeaving()
		f.Sleep(time.Second)
		ran := sameZone.Counts().Ran
		for i := range 20 {
			Expect(f.send(f.Nodes[0], holdRequest, fmt.Sprint("elsewhere-", i)).Status).To(Equal(200))
		}
		Expect(sameZone.Counts().Ran).To(Equal(ran))
		expectNoViolations(f)
	})

	scenario("given a killed upstream, when another service takes its address at once, then it gets none of the first one's requests", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(120)
		f.Sleep(2 * time.Second)
		first := f.upstreamsOf("lending")[0]
		node := f.Nodes[1]
		Expect(first.Address).To(Equal(node.PortAddress(8001)))
		first.Kill()
		_, err := f.StartUpstream(node, "catalogue", 8001, 16)
		Expect(err).NotTo(HaveOccurred())
		f.Sleep(3 * time.Second)
		f.StopLoad()
		expectNoViolations(f)
		Expect(f.outcomeCounts(f.History.Calls())["answered"]).To(BeNumerically(">", 400))
	})

	scenario("given an upstream that reports and is killed at the same moment, when another service takes its address, then the late report doesn't register the newcomer", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		node := f.Nodes[2]
		for _, u := range f.upstreamsOf("lending") {
			u.AnnounceLeaving()
		}
		for round := range 25 {
			first := &standin.Upstream{Scope: f.newScope(fmt.Sprint("first ", round), node.IP, node.Disk, node.Clock, node.Journal), Service: "lending", Address: node.PortAddress(8100 + round), Zone: node.Zone, Capacity: 16, NodeAddress: node.PortAddress(upstreamsPort), History: f.History}
			second := &standin.Upstream{Scope: f.newScope(fmt.Sprint("second ", round), node.IP, node.Disk, node.Clock, node.Journal), Service: "catalogue", Address: first.Address, Zone: node.Zone, Capacity: 16, NodeAddress: "10.9.0.99:1", History: f.History}
			Expect(first.Start(time.Hour)).To(Succeed())
			f.Sleep(time.Duration(round*int(f.Seed)*3) * time.Microsecond)
			first.Kill()
			Expect(second.Start(time.Hour)).To(Succeed())
			for i := range 4 {
				f.send(node, holdRequest, fmt.Sprintf("late-%d-%d", round, i))
				f.Sleep(time.Millisecond)
			}
			second.Kill()
		}
		expectNoViolations(f, judge.NotRun)
	})

	scenario("given upstreams that close idle connections, when all keep running, then no request is rejected", []uint64{1}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(40)
		f.Sleep(32 * time.Second)
		f.StopLoad()
		expectNoViolations(f)
		Expect(f.outcomeCounts(f.History.Calls())).To(HaveLen(1))
		for _, m := range f.Nodes {
			Expect(m.Journal.Counts()["seat-void"]).To(BeZero())
		}
	})

	scenario("given an address that another service takes over without a report, when requests are sent, then the new listener is detected before it gets any", []uint64{1}, func(f *Fleet) {
		startAll(f)
		first := f.upstreamsOf("lending")[0]
		node := f.Nodes[1]
		first.Drain()
		second := &standin.Upstream{Scope: first.Scope, Service: "catalogue", Address: first.Address, NodeAddress: "10.9.0.99:1", Capacity: 16, Zone: node.Zone, History: f.History}
		Expect(second.Start(time.Hour)).To(Succeed())
		defer second.Kill()
		for i := range 20 {
			f.send(node, holdRequest, fmt.Sprintf("passed-%d", i))
		}
		expectNoViolations(f)
		Expect(f.outcomeCounts(f.History.Calls())["answered"]).To(BeNumerically(">", 10))
	})

	scenario("given nodes killed while they forward requests, when they restart, then no POST request has run twice and requests succeed again", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(80)
		for _, m := range f.Nodes[:3] {
			f.Sleep(2 * time.Second)
			f.Kill(m)
			f.Sleep(time.Second)
			Expect(f.StartProcess(m)).To(Succeed())
		}
		f.Sleep(6 * time.Second)
		f.StopLoad()
		expectNoViolations(f)
		calls := f.History.Calls()
		late := calls[len(calls)-50:]
		Expect(f.outcomeCounts(late)["answered"]).To(BeNumerically(">", 40))
	})

	scenario("given nodes stopped gracefully and restarted in turn, when clients make requests, then no request in flight is dropped", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(80)
		for _, m := range f.Nodes {
			f.Sleep(2 * time.Second)
			f.Stop(m)
			f.Sleep(500 * time.Millisecond)
			Expect(f.StartProcess(m)).To(Succeed())
		}
		f.Sleep(3 * time.Second)
		f.StopLoad()
		expectNoViolations(f)
		for _, call := range f.History.Calls() {
			Expect(call.Outcome).NotTo(Equal("unknown"), call.ID)
			Expect(call.Broken).NotTo(HavePrefix("torn"), call.ID)
		}
	})

	scenario("given cuts between nodes in one direction or both, when they come and heal, then unknown outcomes are reported as such and no request runs twice", []uint64{1, 2, 3, 4}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(80)
		for round := range 6 {
			f.Sleep(2 * time.Second)
			a, b := f.Nodes[round%4], f.Nodes[(round+1)%4]
			f.World.Cut(a.IP, b.IP)
			if round%2 == 0 {
				f.World.Cut(b.IP, a.IP)
			}
			f.Sleep(1500 * time.Millisecond)
			f.World.HealAll()
		}
		f.Sleep(5 * time.Second)
		f.StopLoad()
		expectNoViolations(f)
	})
})

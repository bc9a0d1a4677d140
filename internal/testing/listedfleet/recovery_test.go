package listedfleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
	"curlewreach/internal/testing/judge"
	"curlewreach/internal/testing/simnet"
	"curlewreach/internal/testing/standin"
	"curlewreach/proto/wire"
)

func machineNames(machines []*Machine) []string {
	var names []string
	for _, m := range machines {
		names = append(names, m.Name)
	}
	return names
}

// removeLost applies a bundle that removes machines and declares them lost for good.
func (f *Fleet) removeLost(id string, serial uint64, lost []*Machine) *wire.Outcome {
	outcome, err := f.Apply(id, &wire.DraftRequest{Base: serial, Change: &wire.Change{DropMachines: machineNames(lost)}, Forsaken: machineNames(lost)})
	Expect(err).NotTo(HaveOccurred())
	return outcome
}

var _ = ginkgo.Describe("loss of machines", func() {
	ginkgo.It("given most nodes lost for good, when a signed bundle removes them as lost, then it rolls out without them and none serves under the older one when it returns", func() {
		base.Parallel(limitSeeds([]uint64{1, 2, 3}), func(seed uint64) {
			runFleet(seed, libraryBundle(6), func(f *Fleet) {
				startAll(f)
				f.StartLoad(60)
				f.Sleep(14 * time.Second)
				lost := f.Nodes[2:]
				outcome := f.removeLost("too early", 1, lost)
				Expect(outcome.Verdict).To(Equal(wire.Verdict_BOUNCED))
				Expect(outcome.Mishap.Kind).To(Equal(string(base.StillAlive)), "a reachable node can't be removed as lost")
				for _, m := range lost {
					f.PowerLoss(m)
				}
				f.Sleep(2 * time.Second)
				Expect(f.push("plain", 1, librariansShareChange(2)).Verdict).To(Equal(wire.Verdict_BOUNCED))
				Expect(f.removeLost("too soon", 1, lost).Verdict).To(Equal(wire.Verdict_BOUNCED))
				f.Sleep(15 * time.Second)
				Expect(f.removeLost("without them", 1, lost).Verdict).To(Equal(wire.Verdict_TAKEN))
				f.Sleep(2 * time.Second)
				Expect(f.push("on", 2, librariansShareChange(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
				for _, controller := range f.Controllers {
					for _, m := range lost {
						f.Partition(controller, m)
					}
				}
				for _, m := range lost {
					Expect(f.StartProcess(m)).To(Succeed())
				}
				f.Sleep(4 * time.Second)
				for _, m := range lost {
					if serial, _, ready := m.Node.Node.Serving(); ready {
						Expect(serial).To(Equal(uint64(3)), "a bundle from disk is in force only after nodes with the newest bundle confirm it")
					}
				}
				f.World.HealAll()
				f.Sleep(3 * time.Second)
				Expect(f.AllNodesHaveSerial(3)).To(BeTrue())
				f.StopLoad()
				expectNoViolations(f, judge.InForce, judge.NoRegression)
			})
		})
	})

	scenario("given a limit on serving without controllers, when a majority of nodes is cut off for longer, then it stops serving and can be removed as lost safely", []uint64{1, 2}, func(f *Fleet) {
		aloneLimit := durationpb.New(3 * time.Second)
		f.AdjustNodeParams = func(p *wire.VaneParams) {
			p.Bounds = &wire.Bounds{Alone: aloneLimit, Recovery: durationpb.New(4 * time.Second)}
		}
		f.AdjustControllerParams = func(p *wire.KeelParams) {
			p.Bounds = &wire.Bounds{Alone: aloneLimit, Recovery: durationpb.New(4 * time.Second)}
		}
		startAll(f)
		f.StartLoad(60)
		f.Sleep(4 * time.Second)
		lost := f.Nodes[1:]
		for _, m := range lost {
			for _, other := range append([]*Machine{f.Nodes[0]}, f.Controllers...) {
				f.Partition(m, other)
			}
		}
		f.Sleep(2 * time.Second)
		Expect(f.Ready(lost)).To(BeTrue(), "nodes confirmed by their peers keep serving within the limit")
		f.Sleep(3 * time.Second)
		for _, m := range lost {
			Expect(m.Node.Node.Ready()).To(BeFalse())
		}
		Expect(f.removeLost("without them", 1, lost).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Sleep(4 * time.Second)
		f.StopLoad()
		expectNoViolations(f, judge.InForce, judge.NoRegression)
	})

	scenario("given a lost controller, when one at another address replaces it, then it recovers every key and the newest bundle survives the loss of another disk", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		Expect(f.push("second", 1, librariansShareChange(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		lost := f.Controllers[int(f.Seed)%3]
		f.PowerLoss(lost)
		lost.endDisturbance()
		replacement := &Machine{
			Machine: &wire.Machine{Name: "core-9", Zone: lost.Zone, Core: true, Address: "10.9.0.77:7001"}, IP: "10.9.0.77",
			Disk: simnet.NewDisk(f.rand("disk core-9")), Clock: simnet.NewClock(f.startTime), Journal: base.NewJournal(journalLimit),
		}
		for i, seed := range f.seeds {
			if seed == lost.Address {
				f.seeds[i] = replacement.Address
			}
		}
		var remaining []*Machine
		for _, m := range f.Controllers {
			if m != lost {
				remaining = append(remaining, m)
			}
		}
		f.Controllers = append(remaining, replacement)
		f.OperatorClient.Controllers = nil
		for _, m := range f.Controllers {
			f.OperatorClient.Controllers = append(f.OperatorClient.Controllers, m.PortAddress(operatorsPort))
		}
		for _, m := range append(remaining, f.Nodes...) {
			f.Stop(m)
			Expect(f.StartProcess(m)).To(Succeed())
			Expect(f.WaitUntil(10*time.Second, func() bool { return f.Ready([]*Machine{m}) })).To(BeTrue(), m.Name)
		}
		Expect(f.StartProcess(replacement)).To(Succeed())
		Expect(f.WaitUntil(10*time.Second, func() bool { return replacement.Controller.ControlPlane.Ready() })).To(BeTrue())
		change := &wire.Change{DropMachines: []string{lost.Name}, Machines: []*wire.Machine{replacement.Machine}}
		Expect(f.push("third", 2, change).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Sleep(2 * time.Second)
		f.PowerLoss(remaining[0])
		remaining[0].Disk.Wipe()
		f.Sleep(time.Second)
		f.RecordReadbacks()
		Expect(f.push("fourth", 3, librariansShareChange(4)).Verdict).To(Equal(wire.Verdict_TAKEN))
		Expect(f.StartProcess(remaining[0])).To(Succeed())
		Expect(f.WaitUntil(10*time.Second, func() bool { return remaining[0].Controller.ControlPlane.Ready() })).To(BeTrue())
		f.Sleep(2 * time.Second)
		f.RecordReadbacks()
		f.StopLoad()
		expectNoViolations(f, judge.Durability, judge.InForce)
	})
})

var _ = ginkgo.Describe("repair of stale replicas", func() {
	scenario("given a controller that missed a change, when it restarts and another disk is lost, then it has received the newest bundle in between", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(40)
		stale, lost := f.Controllers[int(f.Seed)%3], f.Controllers[(int(f.Seed)+1)%3]
		f.PowerLoss(stale)
		f.Sleep(500 * time.Millisecond)
		outcome := f.push("missed", 1, librariansShareChange(2))
		if outcome.Verdict == wire.Verdict_UNKNOWN {
			outcome = f.awaitOutcome("missed")
		}
		Expect(outcome.Verdict).To(Equal(wire.Verdict_TAKEN))
		Expect(f.StartProcess(stale)).To(Succeed())
		start := f.Scope.Clock.Mono()
		Expect(f.WaitUntil(3*time.Second, func() bool { return stale.Controller.ReplicatedStore.Copies("bundle") == 3 })).To(BeTrue())
		ginkgo.GinkgoWriter.Printf("MEASURE repair, seed %d: three copies restored after %s\n", f.Seed, f.Scope.Clock.Mono()-start)
		f.PowerLoss(lost)
		lost.Disk.Wipe()
		f.Sleep(2 * time.Second)
		f.RecordReadbacks()
		f.StopLoad()
		expectNoViolations(f, judge.Durability)
	})
})

// sendHold sends a hold request on an open connection and reads the answer.
func sendHold(conn net.Conn, in *bufio.Reader, id string) (*http.Response, error) {
	request, err := http.NewRequest(holdRequest.Method, "http://lending.example"+holdRequest.Path, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header.Set(standin.IDHeader, id)
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(in, request)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

var _ = ginkgo.Describe("graceful stops", func() {
	scenario("given an idle keep-alive connection when a node begins to stop, when a request arrives on it, then it is answered with Connection: close", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		m := f.Nodes[0]
		s := f.newScope("asker", m.IP, m.Disk, m.Clock, m.Journal)
		conn, err := s.Net.Dial(s, "tcp", m.PortAddress(clientsPort))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		before, err := sendHold(conn, in, "before")
		Expect(err).NotTo(HaveOccurred())
		Expect(before.Close).To(BeFalse())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			f.Stop(m)
		}()
		f.Sleep(20 * time.Millisecond)
		during, err := sendHold(conn, in, "during")
		Expect(err).NotTo(HaveOccurred())
		Expect(during.Close).To(BeTrue())
		<-stopped
	})

	scenario("given long answers in flight, when every machine is stopped and restarted in turn, then it finishes what fits into its grace period and drops none", []uint64{1, 2, 3}, func(f *Fleet) {
		f.Behaviors = append([]standin.Behavior{{Prefix: "/catalogue/report", MinDelay: 1500, Jitter: 1000, FillerBytes: 200000}}, behaviors...)
		startAll(f)
		f.StartLoad(50)
		for _, m := range f.Machines() {
			f.Sleep(2 * time.Second)
			f.Stop(m)
			f.Sleep(200 * time.Millisecond)
			Expect(f.StartProcess(m)).To(Succeed())
			Expect(f.WaitUntil(10*time.Second, func() bool { return f.Ready([]*Machine{m}) })).To(BeTrue(), m.Name)
		}
		f.Sleep(2 * time.Second)
		f.StopLoad()
		counts, refused := f.outcomeCounts(f.History.Calls()), 0
		kinds := map[string]int{}
		for _, call := range f.History.Calls() {
			if call.Broken != "" {
				refused++
			}
			if call.Kind != "" {
				kinds[call.Kind+" "+call.Outcome]++
			}
		}
		ginkgo.GinkgoWriter.Printf("MEASURE rolling restart, seed %d: %v, refused or broken %d, %v\n", f.Seed, counts, refused, kinds)
		for _, call := range f.History.Calls() {
			if call.Outcome == "unknown" {
				Expect(call.Kind).To(Equal(string(base.Expired)), fmt.Sprint(call))
			}
		}
		Expect(counts["answered"]).To(BeNumerically(">", 20*(counts["not-run"]+counts["unknown"])))
		expectNoViolations(f, judge.PlannedStops)
	})

	scenario("given a controller that owns keys, when it stops gracefully, then the keys have another owner at once", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(40)
		owner, _, known := f.Controllers[0].Controller.ReplicatedStore.Owner("bundle")
		Expect(known).To(BeTrue())
		for _, m := range f.Controllers {
			if m.Address == owner.Address {
				f.Stop(m)
			}
		}
		owned := 0
		for _, m := range f.Controllers {
			if m.Controller != nil && m.Controller.ReplicatedStore.Owns("bundle") {
				owned++
			}
		}
		Expect(owned).To(Equal(1))
		start := f.Scope.Clock.Mono()
		Expect(f.push("next", 1, librariansShareChange(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		Expect(f.Scope.Clock.Mono() - start).To(BeNumerically("<", 500*time.Millisecond))
		f.StopLoad()
		expectNoViolations(f)
	})
})

var _ = ginkgo.Describe("spans recorded while controllers are unreachable", func() {
	scenario("given two controllers down, then the third unreachable, when they return, then the spans recorded meanwhile are on two disks again", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		f.Sleep(2 * time.Second)
		for _, m := range f.Controllers[1:] {
			f.PowerLoss(m)
		}
		f.Sleep(3 * time.Second)
		for _, m := range f.Nodes {
			f.Partition(f.Controllers[0], m)
		}
		f.Sleep(3 * time.Second)
		f.StopLoad()
		f.World.HealAll()
		for _, m := range f.Controllers[1:] {
			Expect(f.StartProcess(m)).To(Succeed())
		}
		f.Sleep(4 * time.Second)
		copies := map[string]int{}
		for _, m := range f.Controllers {
			recent, _ := m.Controller.Traces.Recent(0, 100000)
			for _, span := range recent {
				copies[span.Id]++
			}
		}
		duringOutage, singleCopy := 0, 0
		for _, span := range f.allSpans() {
			if span.StartedUs > f.startTime.Add(8*time.Second).UnixMicro() {
				duringOutage++
			}
			if copies[span.Id] < 2 {
				singleCopy++
			}
		}
		Expect(duringOutage).To(BeNumerically(">", 50), "spans that nodes kept while no controller was reachable are exported later")
		ginkgo.GinkgoWriter.Printf("MEASURE spans, seed %d: %d stored, %d recorded during the outage, %d on one disk only\n", f.Seed, len(copies), duringOutage, singleCopy)
		Expect(singleCopy).To(BeZero())
		expectNoViolations(f)
	})
})

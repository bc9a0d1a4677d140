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

func names(machines []*Machine) []string {
	var names []string
	for _, m := range machines {
		names = append(names, m.Name)
	}
	return names
}

func (f *Fleet) forsake(id string, serial uint64, lost []*Machine) *wire.Outcome {
	outcome, err := f.Apply(id, &wire.DraftRequest{Base: serial, Change: &wire.Change{DropMachines: names(lost)}, Forsaken: names(lost)})
	Expect(err).NotTo(HaveOccurred())
	return outcome
}

var _ = ginkgo.Describe("ways out", func() {
	ginkgo.It("given most application machines gone for good, when they are forsaken under a signature, then a bundle rolls out without them and none comes back under the older", func() {
		base.Parallel(few([]uint64{1, 2, 3}), func(seed uint64) {
			bubble(seed, shape(6), func(f *Fleet) {
				raised(f)
				f.Visit(60)
				f.Pass(14 * time.Second)
				lost := f.Vanes[2:]
				outcome := f.forsake("too early", 1, lost)
				Expect(outcome.Verdict).To(Equal(wire.Verdict_BOUNCED))
				Expect(outcome.Mishap.Kind).To(Equal(string(base.StillAlive)), "who is in reach can't be forsaken")
				for _, m := range lost {
					f.PowerLoss(m)
				}
				f.Pass(2 * time.Second)
				Expect(f.push("plain", 1, nudge(2)).Verdict).To(Equal(wire.Verdict_BOUNCED))
				Expect(f.forsake("too soon", 1, lost).Verdict).To(Equal(wire.Verdict_BOUNCED))
				f.Pass(15 * time.Second)
				Expect(f.forsake("without them", 1, lost).Verdict).To(Equal(wire.Verdict_TAKEN))
				f.Pass(2 * time.Second)
				Expect(f.push("on", 2, nudge(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
				for _, controller := range f.Keels {
					for _, m := range lost {
						f.Cut(controller, m)
					}
				}
				for _, m := range lost {
					Expect(f.Raise(m)).To(Succeed())
				}
				f.Pass(4 * time.Second)
				for _, m := range lost {
					if serial, _, ready := m.Node.Node.Serving(); ready {
						Expect(serial).To(Equal(uint64(3)), "what returns from disk is in force only once those who hold the newest vouch")
					}
				}
				f.World.HealAll()
				f.Pass(3 * time.Second)
				Expect(f.AllOn(3)).To(BeTrue())
				f.Leave()
				sound(f, judge.InForce, judge.NoRegression)
			})
		})
	})

	story("given a bound on going on alone, when a majority is cut off from the core for longer, then it serves nothing and may be forsaken safely", []uint64{1, 2}, func(f *Fleet) {
		alone := durationpb.New(3 * time.Second)
		f.Tune = func(p *wire.VaneParams) {
			p.Bounds = &wire.Bounds{Alone: alone, Recovery: durationpb.New(4 * time.Second)}
		}
		f.TuneController = func(p *wire.KeelParams) {
			p.Bounds = &wire.Bounds{Alone: alone, Recovery: durationpb.New(4 * time.Second)}
		}
		raised(f)
		f.Visit(60)
		f.Pass(4 * time.Second)
		lost := f.Vanes[1:]
		for _, m := range lost {
			for _, other := range append([]*Machine{f.Vanes[0]}, f.Keels...) {
				f.Cut(m, other)
			}
		}
		f.Pass(2 * time.Second)
		Expect(f.Ready(lost)).To(BeTrue(), "within the bound mates go on")
		f.Pass(3 * time.Second)
		for _, m := range lost {
			Expect(m.Node.Node.Ready()).To(BeFalse())
		}
		Expect(f.forsake("without them", 1, lost).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Pass(4 * time.Second)
		f.Leave()
		sound(f, judge.InForce, judge.NoRegression)
	})

	story("given a core machine lost, when one at another address takes its place, then it recovers every key and the newest bundle outlives the loss of another disk", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(60)
		Expect(f.push("second", 1, nudge(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		lost := f.Keels[int(f.Seed)%3]
		f.PowerLoss(lost)
		lost.back()
		next := &Machine{
			Machine: &wire.Machine{Name: "core-9", Zone: lost.Zone, Core: true, Address: "10.9.0.77:7001"}, IP: "10.9.0.77",
			Disk: simnet.NewDisk(f.rand("disk core-9")), Clock: simnet.NewClock(f.born), Journal: base.NewJournal(journalBound),
		}
		for i, seed := range f.seeds {
			if seed == lost.Address {
				f.seeds[i] = next.Address
			}
		}
		var kept []*Machine
		for _, m := range f.Keels {
			if m != lost {
				kept = append(kept, m)
			}
		}
		f.Keels = append(kept, next)
		f.Clerk.Controllers = nil
		for _, m := range f.Keels {
			f.Clerk.Controllers = append(f.Clerk.Controllers, m.At(operatorsPort))
		}
		for _, m := range append(kept, f.Vanes...) {
			f.Stop(m)
			Expect(f.Raise(m)).To(Succeed())
			Expect(f.Until(10*time.Second, func() bool { return f.Ready([]*Machine{m}) })).To(BeTrue(), m.Name)
		}
		Expect(f.Raise(next)).To(Succeed())
		Expect(f.Until(10*time.Second, func() bool { return next.Controller.ControlPlane.Ready() })).To(BeTrue())
		change := &wire.Change{DropMachines: []string{lost.Name}, Machines: []*wire.Machine{next.Machine}}
		Expect(f.push("third", 2, change).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Pass(2 * time.Second)
		f.PowerLoss(kept[0])
		kept[0].Disk.Wipe()
		f.Pass(time.Second)
		f.ReadBack()
		Expect(f.push("fourth", 3, nudge(4)).Verdict).To(Equal(wire.Verdict_TAKEN))
		Expect(f.Raise(kept[0])).To(Succeed())
		Expect(f.Until(10*time.Second, func() bool { return kept[0].Controller.ControlPlane.Ready() })).To(BeTrue())
		f.Pass(2 * time.Second)
		f.ReadBack()
		f.Leave()
		sound(f, judge.Durability, judge.InForce)
	})
})

var _ = ginkgo.Describe("repair by others", func() {
	story("given a disk that missed a change, when it returns and another is lost, then the newest was handed over in between", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(40)
		missing, lost := f.Keels[int(f.Seed)%3], f.Keels[(int(f.Seed)+1)%3]
		f.PowerLoss(missing)
		f.Pass(500 * time.Millisecond)
		outcome := f.push("missed", 1, nudge(2))
		if outcome.Verdict == wire.Verdict_UNKNOWN {
			outcome = f.resolve("missed")
		}
		Expect(outcome.Verdict).To(Equal(wire.Verdict_TAKEN))
		Expect(f.Raise(missing)).To(Succeed())
		begun := f.Scope.Clock.Mono()
		Expect(f.Until(3*time.Second, func() bool { return missing.Controller.ReplicatedStore.Copies("bundle") == 3 })).To(BeTrue())
		ginkgo.GinkgoWriter.Printf("MEASURE repair, seed %d: three copies again after %s\n", f.Seed, f.Scope.Clock.Mono()-begun)
		f.PowerLoss(lost)
		lost.Disk.Wipe()
		f.Pass(2 * time.Second)
		f.ReadBack()
		f.Leave()
		sound(f, judge.Durability)
	})
})

// holdOn sends a hold on a connection that is open already and reads its answer.
func holdOn(conn net.Conn, in *bufio.Reader, id string) (*http.Response, error) {
	request, err := http.NewRequest(hold.Method, "http://lending.example"+hold.Path, http.NoBody)
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

var _ = ginkgo.Describe("stops", func() {
	story("given a kept connection that is idle when a stop begins, when a request comes on it, then it is answered, and told to go elsewhere", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		m := f.Vanes[0]
		s := f.scope("asker", m.IP, m.Disk, m.Clock, m.Journal)
		conn, err := s.Net.Dial(s, "tcp", m.At(visitorsPort))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		before, err := holdOn(conn, in, "before")
		Expect(err).NotTo(HaveOccurred())
		Expect(before.Close).To(BeFalse())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			f.Stop(m)
		}()
		f.Pass(20 * time.Millisecond)
		during, err := holdOn(conn, in, "during")
		Expect(err).NotTo(HaveOccurred())
		Expect(during.Close).To(BeTrue())
		<-stopped
	})

	story("given every machine rolled with long answers in flight, when each stops, then it carries what fits in its grace and drops none", []uint64{1, 2, 3}, func(f *Fleet) {
		f.Habits = append([]standin.Behavior{{Prefix: "/catalogue/report", MinDelay: 1500, Jitter: 1000, FillerBytes: 200000}}, habits...)
		raised(f)
		f.Visit(50)
		for _, m := range f.Every() {
			f.Pass(2 * time.Second)
			f.Stop(m)
			f.Pass(200 * time.Millisecond)
			Expect(f.Raise(m)).To(Succeed())
			Expect(f.Until(10*time.Second, func() bool { return f.Ready([]*Machine{m}) })).To(BeTrue(), m.Name)
		}
		f.Pass(2 * time.Second)
		f.Leave()
		counts, refused := f.tally(f.History.Calls()), 0
		kinds := map[string]int{}
		for _, call := range f.History.Calls() {
			if call.Broken != "" {
				refused++
			}
			if call.Kind != "" {
				kinds[call.Kind+" "+call.Outcome]++
			}
		}
		ginkgo.GinkgoWriter.Printf("MEASURE roll, seed %d: %v, refused or broken %d, %v\n", f.Seed, counts, refused, kinds)
		for _, call := range f.History.Calls() {
			if call.Outcome == "unknown" {
				Expect(call.Kind).To(Equal(string(base.Expired)), fmt.Sprint(call))
			}
		}
		Expect(counts["answered"]).To(BeNumerically(">", 20*(counts["not-run"]+counts["unknown"])))
		sound(f, judge.PlannedStops)
	})

	story("given a keel stopped politely, when it goes, then the keys it owned have an owner at once", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(40)
		owner, _, known := f.Keels[0].Controller.ReplicatedStore.Owner("bundle")
		Expect(known).To(BeTrue())
		for _, m := range f.Keels {
			if m.Address == owner.Address {
				f.Stop(m)
			}
		}
		owned := 0
		for _, m := range f.Keels {
			if m.Controller != nil && m.Controller.ReplicatedStore.Owns("bundle") {
				owned++
			}
		}
		Expect(owned).To(Equal(1))
		begun := f.Scope.Clock.Mono()
		Expect(f.push("next", 1, nudge(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		Expect(f.Scope.Clock.Mono() - begun).To(BeNumerically("<", 500*time.Millisecond))
		f.Leave()
		sound(f)
	})
})

var _ = ginkgo.Describe("spans owed", func() {
	story("given two keels away, then all out of reach, when they return, then spans recorded meanwhile are on two disks again", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(60)
		f.Pass(2 * time.Second)
		for _, m := range f.Keels[1:] {
			f.PowerLoss(m)
		}
		f.Pass(3 * time.Second)
		for _, m := range f.Vanes {
			f.Cut(f.Keels[0], m)
		}
		f.Pass(3 * time.Second)
		f.Leave()
		f.World.HealAll()
		for _, m := range f.Keels[1:] {
			Expect(f.Raise(m)).To(Succeed())
		}
		f.Pass(4 * time.Second)
		copies := map[string]int{}
		for _, m := range f.Keels {
			recent, _ := m.Controller.Traces.Recent(0, 100000)
			for _, span := range recent {
				copies[span.Id]++
			}
		}
		dark, single := 0, 0
		for _, span := range f.spans() {
			if span.StartedUs > f.born.Add(8*time.Second).UnixMicro() {
				dark++
			}
			if copies[span.Id] < 2 {
				single++
			}
		}
		Expect(dark).To(BeNumerically(">", 50), "what nodes kept while no core was there arrived")
		ginkgo.GinkgoWriter.Printf("MEASURE spans, seed %d: %d kept, %d of the dark time, %d on one disk only\n", f.Seed, len(copies), dark, single)
		Expect(single).To(BeZero())
		sound(f)
	})
})

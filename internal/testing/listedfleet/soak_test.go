package listedfleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/random"
	"curlewreach/internal/testing/judge"
	"curlewreach/internal/testing/simnet"
	"curlewreach/internal/testing/standin"
	"curlewreach/proto/wire"
)

const (
	// defaultSeedCount is the number of seeds unless SOAK_SEEDS is set, as FIRST+COUNT.
	defaultSeedCount = 6
	soakRounds       = 8
	// recoveryTime is the judge's default bound on the time until requests succeed again.
	recoveryTime = 15 * time.Second
)

// faultScenario injects a fault until undo is called.
type faultScenario struct {
	name   string
	inject func(f *Fleet, rand *random.Source) (undo func())
}

func randomMachine(f *Fleet, rand *random.Source) *Machine {
	machines := f.Machines()
	return machines[rand.IntN(len(machines))]
}

// restartFunc returns a function that ends a stall of the machine's disk and starts its process, unless that runs.
func restartFunc(f *Fleet, m *Machine) func() {
	return func() {
		if m.cancel == nil {
			m.Disk.EndStall()
			Expect(f.StartProcess(m)).To(Succeed())
		}
	}
}

var faultScenarios = []faultScenario{
	{"kill", func(f *Fleet, rand *random.Source) func() {
		m := randomMachine(f, rand)
		f.Kill(m)
		return restartFunc(f, m)
	}},
	{"power loss", func(f *Fleet, rand *random.Source) func() {
		m := randomMachine(f, rand)
		f.PowerLoss(m)
		return restartFunc(f, m)
	}},
	{"wiped controller disk", func(f *Fleet, rand *random.Source) func() {
		m := f.Controllers[rand.IntN(len(f.Controllers))]
		for _, other := range f.Controllers {
			if other.cancel == nil || !other.Controller.ControlPlane.Ready() {
				return func() {}
			}
		}
		f.PowerLoss(m)
		m.Disk.Wipe()
		return restartFunc(f, m)
	}},
	{"power loss of all machines", func(f *Fleet, rand *random.Source) func() {
		var undos []func()
		for _, m := range f.Machines() {
			f.PowerLoss(m)
			undos = append(undos, restartFunc(f, m))
		}
		return func() {
			for _, undo := range undos {
				undo()
			}
		}
	}},
	{"all controllers killed", func(f *Fleet, rand *random.Source) func() {
		var undos []func()
		for _, m := range f.Controllers {
			f.Kill(m)
			undos = append(undos, restartFunc(f, m))
		}
		return func() {
			for _, undo := range undos {
				undo()
			}
		}
	}},
	{"graceful stop of a node", func(f *Fleet, rand *random.Source) func() {
		m := f.Nodes[rand.IntN(len(f.Nodes))]
		if m.Node != nil {
			f.Stop(m)
		}
		return restartFunc(f, m)
	}},
	{"cut link", func(f *Fleet, rand *random.Source) func() {
		a, b := randomMachine(f, rand), randomMachine(f, rand)
		f.World.Cut(a.IP, b.IP)
		if rand.IntN(2) == 0 {
			f.World.Cut(b.IP, a.IP)
		}
		return f.World.HealAll
	}},
	{"isolated machine", func(f *Fleet, rand *random.Source) func() {
		f.Isolate(randomMachine(f, rand))
		return f.World.HealAll
	}},
	{"controllers cut off from nodes", func(f *Fleet, rand *random.Source) func() {
		for _, controller := range f.Controllers {
			for _, node := range f.Nodes {
				f.Partition(controller, node)
			}
		}
		return f.World.HealAll
	}},
	{"controllers cut off from each other", func(f *Fleet, rand *random.Source) func() {
		for i, a := range f.Controllers {
			for _, b := range f.Controllers[i+1:] {
				f.Partition(a, b)
			}
		}
		return f.World.HealAll
	}},
	{"faulty upstream", func(f *Fleet, rand *random.Source) func() {
		u := f.Upstreams[rand.IntN(len(f.Upstreams))]
		faults := []standin.Fault{standin.CloseUnanswered, standin.Truncate, standin.Corrupt, standin.NoLength, standin.Hang, standin.InvalidHTTP}
		u.SetFault(faults[rand.IntN(len(faults))])
		return func() { u.SetFault(standin.NoFault) }
	}},
	{"full controller disk", func(f *Fleet, rand *random.Source) func() {
		m := f.Controllers[rand.IntN(len(f.Controllers))]
		m.Disk.SetFull(true)
		return func() { m.Disk.SetFull(false) }
	}},
	{"stalled controller disk", func(f *Fleet, rand *random.Source) func() {
		return f.Controllers[rand.IntN(len(f.Controllers))].Disk.Stall()
	}},
	{"clock jump", func(f *Fleet, rand *random.Source) func() {
		randomMachine(f, rand).Clock.Jump(time.Duration(rand.IntN(7200)-3600) * time.Second)
		return func() {}
	}},
	{"frozen process", func(f *Fleet, rand *random.Source) func() {
		m := randomMachine(f, rand)
		if m.cancel == nil || m.Clock.Frozen() {
			return func() {}
		}
		return f.Freeze(m)
	}},
	{"two frozen controllers", func(f *Fleet, rand *random.Source) func() {
		var thaws []func()
		for _, m := range f.Controllers[:2] {
			if m.cancel != nil && !m.Clock.Frozen() {
				thaws = append(thaws, f.Freeze(m))
			}
		}
		return func() {
			for _, thaw := range thaws {
				thaw()
			}
		}
	}},
	{"slow and lossy links", func(f *Fleet, rand *random.Source) func() {
		end := f.StartDisturbance("links", "slow")
		m := randomMachine(f, rand)
		for _, other := range f.Machines() {
			link := simnet.Link{ExtraDelay: time.Duration(rand.IntN(30)) * time.Millisecond, Loss: 0.05 * rand.Float64()}
			f.World.SetLink(m.IP, other.IP, link)
			f.World.SetLink(other.IP, m.IP, link)
		}
		return func() {
			f.World.HealAll()
			end()
		}
	}},
	{"slow disk", func(f *Fleet, rand *random.Source) func() {
		m := randomMachine(f, rand)
		m.Disk.SetLatency(time.Duration(5+rand.IntN(60)) * time.Millisecond)
		return func() { m.Disk.SetLatency(0) }
	}},
	{"full node disk", func(f *Fleet, rand *random.Source) func() {
		m := f.Nodes[rand.IntN(len(f.Nodes))]
		m.Disk.SetFull(true)
		return func() { m.Disk.SetFull(false) }
	}},
	{"flipped bits on a controller disk", func(f *Fleet, rand *random.Source) func() {
		m := f.Controllers[rand.IntN(len(f.Controllers))]
		for _, other := range f.Controllers {
			if other.cancel == nil || !other.Controller.ControlPlane.Ready() {
				return func() {}
			}
		}
		f.PowerLoss(m)
		m.Disk.FlipBits([]string{"/v-", "/p-", "roll-", "brand"}[rand.IntN(4)])
		return restartFunc(f, m)
	}},
	{"upstream leaves and returns", func(f *Fleet, rand *random.Source) func() {
		u := f.Upstreams[rand.IntN(len(f.Upstreams))]
		u.AnnounceLeaving()
		return u.CancelLeaving
	}},
	{"overload", func(f *Fleet, rand *random.Source) func() {
		stop := f.startExtraLoad(400)
		return stop
	}},
	{"machine moved to another zone", func(f *Fleet, rand *random.Source) func() {
		m := f.Nodes[rand.IntN(len(f.Nodes))]
		current, err := f.OperatorClient.Bundle(f.Scope, 0)
		if err != nil {
			return func() {}
		}
		zone := string(rune('a' + rand.IntN(3)))
		f.push(fmt.Sprint("zone-", f.Scope.Clock.Mono()), current.Serial, &wire.Change{Machines: []*wire.Machine{{Name: m.Name, Address: m.Address, Zone: zone}}})
		return func() {}
	}},
	{"replayed and corrupted bundles", func(f *Fleet, rand *random.Source) func() {
		for serial := range uint64(3) {
			reply, err := f.OperatorClient.Bundle(f.Scope, serial+1)
			if err != nil {
				continue
			}
			id := fmt.Sprint("replay-", serial, f.Scope.Clock.Mono())
			if outcome, err := f.OperatorClient.Submit(f.Scope, id, reply.Sealed); err == nil {
				f.History.RecordOutcome(outcome)
			}
			reply.Sealed.Signature[3] ^= 1
			if outcome, err := f.OperatorClient.Submit(f.Scope, id+"-broken", reply.Sealed); err == nil {
				f.History.RecordOutcome(outcome)
			}
		}
		return func() {}
	}},
	{"address taken over by another service", func(f *Fleet, rand *random.Source) func() {
		index := rand.IntN(len(f.Upstreams))
		replaced := f.Upstreams[index]
		if len(f.upstreamsOf(replaced.Service)) < 2 {
			return func() {}
		}
		service := f.InitialBundle.Services[rand.IntN(len(f.InitialBundle.Services))].Name
		for _, m := range f.Nodes {
			if strings.HasPrefix(replaced.Address, m.IP+":") {
				replaced.Kill()
				f.Upstreams = append(f.Upstreams[:index], f.Upstreams[index+1:]...)
				_, err := f.StartUpstream(m, service, 8001, 16)
				Expect(err).NotTo(HaveOccurred())
			}
		}
		return func() {}
	}},
}

// controllerStates describes the controllers' state and their journals' events on storage and recovery, for failure
// messages.
func (f *Fleet) controllerStates() string {
	var lines []string
	for _, m := range f.Controllers {
		if m.Controller != nil {
			lines = append(lines, fmt.Sprint("\n", m.Name, " ", m.Controller.ControlPlane.State()))
			for event := range m.Journal.Events("") {
				switch event.Topic {
				case "phase", "waiting", "blank", "sick-key", "recovered", "set-aside", "disk-trouble":
					lines = append(lines, fmt.Sprint("\n  ", event.Mono, " ", event.Topic, " ", event.Subject, " ", event.Detail))
				}
			}
		}
	}
	return strings.Join(lines, "")
}

// startPushing starts an operator that applies a change every 1.2 s, with a timeout of 8 s, until stop is called.
func (f *Fleet) startPushing() (stop func()) {
	s, cancel := f.Scope.WithCancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for count := 0; s.Err() == nil; count++ {
			submission := fmt.Sprint("push-", count)
			attemptScope, cancelAttempt := s.WithTimeout(8 * time.Second)
			current, err := f.OperatorClient.Bundle(attemptScope, 0)
			if err == nil {
				outcome, err := f.OperatorClient.Apply(attemptScope, submission, &wire.DraftRequest{Base: current.Serial, Change: f.watchedShareChange(float64(1 + count%7))}, f.OperatorKey)
				if err == nil {
					f.History.RecordOutcome(outcome)
				}
			}
			cancelAttempt()
			base.Await(s, 1200*time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// watchedShareChange returns a change of the first group's weight for recorded spans.
func (f *Fleet) watchedShareChange(weight float64) *wire.Change {
	share := proto.Clone(f.InitialBundle.Common.Shares[0]).(*wire.Share)
	share.Watched = weight
	return &wire.Change{Shares: []*wire.Share{share}}
}

// startExtraLoad starts more clients at every node, with the given total rate per second, until stop is called.
func (f *Fleet) startExtraLoad(rate float64) (stop func()) {
	s, cancel := f.Scope.WithCancel()
	var loadTasks base.Group
	for _, m := range f.Nodes {
		clientScope := f.newScope(fmt.Sprint("crowd ", m.Name, f.Scope.Clock.Mono()), m.IP, m.Disk, m.Clock, m.Journal)
		clients := &standin.Clients{Scope: clientScope, Name: fmt.Sprint("crowd-", m.Name), NodeAddress: m.PortAddress(clientsPort), Rate: rate / float64(len(f.Nodes)), Plan: f.Plan, History: f.History}
		loadTasks.Go(func() { clients.Run(clientScope.WithContext(s)) })
	}
	return func() {
		cancel()
		loadTasks.Wait()
	}
}

// faultInjector injects random faults and keeps a list of them.
type faultInjector struct {
	*Fleet
	rand     *random.Source
	injected []string
}

func (i *faultInjector) injectOne() (undo func()) {
	selected := faultScenarios[i.rand.IntN(len(faultScenarios))]
	i.injected = append(i.injected, fmt.Sprintf("%s %s", i.Scope.Clock.Mono(), selected.name))
	endDisturbance := i.StartDisturbance("fleet", selected.name)
	undoFault := selected.inject(i.Fleet, i.rand)
	return func() {
		undoFault()
		endDisturbance()
	}
}

// injectRound injects up to three faults that overlap, and undoes them.
func (i *faultInjector) injectRound() {
	var undos []func()
	for range 1 + i.rand.IntN(3) {
		undos = append(undos, i.injectOne())
		i.Sleep(time.Duration(i.rand.IntN(600)) * time.Millisecond)
	}
	i.Sleep(time.Duration(500+i.rand.IntN(2500)) * time.Millisecond)
	for _, undo := range undos {
		undo()
	}
	i.Sleep(time.Duration(i.rand.IntN(2000)) * time.Millisecond)
}

// repairAll heals all links and restarts all machines that are down.
func (i *faultInjector) repairAll() {
	i.World.HealAll()
	for _, m := range i.Machines() {
		restartFunc(i.Fleet, m)()
	}
}

// soak injects random faults under load while bundles change, and checks that every rule holds, that requests succeed
// again after recoveryTime, and that all machines are ready. The last fault begins while clients still send requests.
func soak(f *Fleet) {
	injector := &faultInjector{Fleet: f, rand: f.rand("troubles")}
	startAll(f)
	f.StartLoad(50)
	stop := f.startPushing()
	for range soakRounds {
		injector.injectRound()
	}
	injector.repairAll()
	f.History.RecordReturn()
	f.Sleep(recoveryTime + 2*time.Second)
	stop()
	recovered := f.Scope.Clock.Mono()
	f.Sleep(3 * time.Second)
	undo := injector.injectOne()
	f.Sleep(700 * time.Millisecond)
	f.StopLoad()
	undo()
	injector.repairAll()
	f.Sleep(recoveryTime)
	f.Description = fmt.Sprintf("seed %d: %s", f.Seed, strings.Join(injector.injected, "; "))
	f.recordUnknownOutcomes(f.Description)
	f.RecordReadbacks()
	expectNoViolations(f, judge.RunOnce, judge.WholeAnswers, judge.AllowedServices, judge.InForce, judge.NoRegression, judge.SingleAck, judge.Durability, judge.Recovery)
	var late []judge.Call
	for _, call := range f.History.Calls() {
		if call.Started > recovered && call.Started < recovered+2500*time.Millisecond {
			late = append(late, call)
		}
	}
	Expect(f.outcomeCounts(late)["answered"]).To(BeNumerically(">", len(late)*3/4), f.Description)
	Expect(f.Ready(f.Machines())).To(BeTrue(), f.Description)
}

// recordUnknownOutcomes records each serial that is stored but whose acknowledgement no operator received, so that the
// judge doesn't take it for a bundle that was never accepted.
func (f *Fleet) recordUnknownOutcomes(description string) {
	known := map[uint64]bool{}
	for _, ack := range f.History.Acks() {
		known[ack.Serial] = true
	}
	reply, err := f.OperatorClient.Bundle(f.Scope, 0)
	Expect(err).NotTo(HaveOccurred(), description+f.controllerStates())
	for serial := uint64(1); serial <= reply.Serial; serial++ {
		if !known[serial] {
			f.History.RecordOutcome(&wire.Outcome{Serial: serial, Verdict: wire.Verdict_UNKNOWN})
		}
	}
}

var _ = ginkgo.Describe("random faults", func() {
	first, seedCount := uint64(1), defaultSeedCount
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		from, length, _ := strings.Cut(text, "+")
		first, _ = strconv.ParseUint(from, 10, 64)
		seedCount, _ = strconv.Atoi(length)
	}
	var seeds []uint64
	for i := range seedCount {
		seeds = append(seeds, first+uint64(i))
	}
	for len(seeds) > 0 {
		batch := seeds[:min(6, len(seeds))]
		seeds = seeds[len(batch):]
		ginkgo.It(fmt.Sprintf("given random faults of seeds %d to %d, when all are repaired, then every rule holds and requests succeed again", batch[0], batch[len(batch)-1]), func() {
			base.Parallel(limitSeeds(batch), func(seed uint64) {
				if seed%2 == 1 {
					runFleet(seed, libraryBundle(4), soak)
					return
				}
				runFleet(seed, exampleBundle("gauge", 6), func(f *Fleet) {
					f.useGaugeWorkload()
					soak(f)
				})
			})
		})
	}
})

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
	usualSeeds  = 6
	soakRounds  = 8
	recoverTime = 15 * time.Second
)

type trouble struct {
	name  string
	cause func(f *Fleet, rand *random.Source) (mend func())
}

func any1(f *Fleet, rand *random.Source) *Machine {
	every := f.Every()
	return every[rand.IntN(len(every))]
}

func raise(f *Fleet, m *Machine) func() {
	return func() {
		if m.cancel == nil {
			m.Disk.EndStall()
			Expect(f.Raise(m)).To(Succeed())
		}
	}
}

var troubles = []trouble{
	{"kill", func(f *Fleet, rand *random.Source) func() {
		m := any1(f, rand)
		f.Kill(m)
		return raise(f, m)
	}},
	{"power", func(f *Fleet, rand *random.Source) func() {
		m := any1(f, rand)
		f.PowerLoss(m)
		return raise(f, m)
	}},
	{"wipe", func(f *Fleet, rand *random.Source) func() {
		m := f.Keels[rand.IntN(len(f.Keels))]
		for _, other := range f.Keels {
			if other.cancel == nil || !other.Controller.ControlPlane.Ready() {
				return func() {}
			}
		}
		f.PowerLoss(m)
		m.Disk.Wipe()
		return raise(f, m)
	}},
	{"everything", func(f *Fleet, rand *random.Source) func() {
		var mends []func()
		for _, m := range f.Every() {
			f.PowerLoss(m)
			mends = append(mends, raise(f, m))
		}
		return func() {
			for _, mend := range mends {
				mend()
			}
		}
	}},
	{"core down", func(f *Fleet, rand *random.Source) func() {
		var mends []func()
		for _, m := range f.Keels {
			f.Kill(m)
			mends = append(mends, raise(f, m))
		}
		return func() {
			for _, mend := range mends {
				mend()
			}
		}
	}},
	{"stop", func(f *Fleet, rand *random.Source) func() {
		m := f.Vanes[rand.IntN(len(f.Vanes))]
		if m.Node != nil {
			f.Stop(m)
		}
		return raise(f, m)
	}},
	{"cut", func(f *Fleet, rand *random.Source) func() {
		a, b := any1(f, rand), any1(f, rand)
		f.World.Cut(a.IP, b.IP)
		if rand.IntN(2) == 0 {
			f.World.Cut(b.IP, a.IP)
		}
		return f.World.HealAll
	}},
	{"isolate", func(f *Fleet, rand *random.Source) func() {
		f.Isolate(any1(f, rand))
		return f.World.HealAll
	}},
	{"core cut off", func(f *Fleet, rand *random.Source) func() {
		for _, controller := range f.Keels {
			for _, node := range f.Vanes {
				f.Cut(controller, node)
			}
		}
		return f.World.HealAll
	}},
	{"core split", func(f *Fleet, rand *random.Source) func() {
		for i, a := range f.Keels {
			for _, b := range f.Keels[i+1:] {
				f.Cut(a, b)
			}
		}
		return f.World.HealAll
	}},
	{"faulty upstream", func(f *Fleet, rand *random.Source) func() {
		u := f.Seats[rand.IntN(len(f.Seats))]
		faults := []standin.Fault{standin.CloseUnanswered, standin.Truncate, standin.Corrupt, standin.NoLength, standin.Hang, standin.InvalidHTTP}
		u.SetFault(faults[rand.IntN(len(faults))])
		return func() { u.SetFault(standin.NoFault) }
	}},
	{"full disk", func(f *Fleet, rand *random.Source) func() {
		m := f.Keels[rand.IntN(len(f.Keels))]
		m.Disk.SetFull(true)
		return func() { m.Disk.SetFull(false) }
	}},
	{"stalled disk", func(f *Fleet, rand *random.Source) func() {
		return f.Keels[rand.IntN(len(f.Keels))].Disk.Stall()
	}},
	{"clock jump", func(f *Fleet, rand *random.Source) func() {
		any1(f, rand).Clock.Jump(time.Duration(rand.IntN(7200)-3600) * time.Second)
		return func() {}
	}},
	{"frozen", func(f *Fleet, rand *random.Source) func() {
		m := any1(f, rand)
		if m.cancel == nil || m.Clock.Frozen() {
			return func() {}
		}
		return f.Freeze(m)
	}},
	{"frozen core", func(f *Fleet, rand *random.Source) func() {
		var thaws []func()
		for _, m := range f.Keels[:2] {
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
	{"slow and losing links", func(f *Fleet, rand *random.Source) func() {
		end := f.Trouble("links", "slow")
		m := any1(f, rand)
		for _, other := range f.Every() {
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
		m := any1(f, rand)
		m.Disk.SetLatency(time.Duration(5+rand.IntN(60)) * time.Millisecond)
		return func() { m.Disk.SetLatency(0) }
	}},
	{"full disk of an application machine", func(f *Fleet, rand *random.Source) func() {
		m := f.Vanes[rand.IntN(len(f.Vanes))]
		m.Disk.SetFull(true)
		return func() { m.Disk.SetFull(false) }
	}},
	{"bit flip", func(f *Fleet, rand *random.Source) func() {
		m := f.Keels[rand.IntN(len(f.Keels))]
		for _, other := range f.Keels {
			if other.cancel == nil || !other.Controller.ControlPlane.Ready() {
				return func() {}
			}
		}
		f.PowerLoss(m)
		m.Disk.FlipBits([]string{"/v-", "/p-", "roll-", "brand"}[rand.IntN(4)])
		return raise(f, m)
	}},
	{"upstream leaves and returns", func(f *Fleet, rand *random.Source) func() {
		u := f.Seats[rand.IntN(len(f.Seats))]
		u.AnnounceLeaving()
		return u.CancelLeaving
	}},
	{"crowd", func(f *Fleet, rand *random.Source) func() {
		stop := f.crowd(400)
		return stop
	}},
	{"machine re-zoned", func(f *Fleet, rand *random.Source) func() {
		m := f.Vanes[rand.IntN(len(f.Vanes))]
		shown, err := f.Clerk.Bundle(f.Scope, 0)
		if err != nil {
			return func() {}
		}
		zone := string(rune('a' + rand.IntN(3)))
		f.push(fmt.Sprint("zone-", f.Scope.Clock.Mono()), shown.Serial, &wire.Change{Machines: []*wire.Machine{{Name: m.Name, Address: m.Address, Zone: zone}}})
		return func() {}
	}},
	{"replayed and broken bundles", func(f *Fleet, rand *random.Source) func() {
		for serial := range uint64(3) {
			reply, err := f.Clerk.Bundle(f.Scope, serial+1)
			if err != nil {
				continue
			}
			id := fmt.Sprint("replay-", serial, f.Scope.Clock.Mono())
			if outcome, err := f.Clerk.Submit(f.Scope, id, reply.Sealed); err == nil {
				f.History.RecordOutcome(outcome)
			}
			reply.Sealed.Signature[3] ^= 1
			if outcome, err := f.Clerk.Submit(f.Scope, id+"-broken", reply.Sealed); err == nil {
				f.History.RecordOutcome(outcome)
			}
		}
		return func() {}
	}},
	{"passed address", func(f *Fleet, rand *random.Source) func() {
		at := rand.IntN(len(f.Seats))
		old := f.Seats[at]
		if len(f.seatsOf(old.Service)) < 2 {
			return func() {}
		}
		service := f.Shape.Services[rand.IntN(len(f.Shape.Services))].Name
		for _, m := range f.Vanes {
			if strings.HasPrefix(old.Address, m.IP+":") {
				old.Kill()
				f.Seats = append(f.Seats[:at], f.Seats[at+1:]...)
				_, err := f.Seat(m, service, 8001, 16)
				Expect(err).NotTo(HaveOccurred())
			}
		}
		return func() {}
	}},
}

func (f *Fleet) coreStates() string {
	var lines []string
	for _, m := range f.Keels {
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

func (f *Fleet) pusher() (stop func()) {
	s, cancel := f.Scope.WithCancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for count := 0; s.Err() == nil; count++ {
			submission := fmt.Sprint("push-", count)
			ask, release := s.WithTimeout(8 * time.Second)
			shown, err := f.Clerk.Bundle(ask, 0)
			if err == nil {
				outcome, err := f.Clerk.Apply(ask, submission, &wire.DraftRequest{Base: shown.Serial, Change: f.tweak(float64(1 + count%7))}, f.Key)
				if err == nil {
					f.History.RecordOutcome(outcome)
				}
			}
			release()
			base.Await(s, 1200*time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (f *Fleet) tweak(weight float64) *wire.Change {
	share := proto.Clone(f.Shape.Common.Shares[0]).(*wire.Share)
	share.Watched = weight
	return &wire.Change{Shares: []*wire.Share{share}}
}

func (f *Fleet) crowd(rate float64) (stop func()) {
	s, cancel := f.Scope.WithCancel()
	var crew base.Group
	for _, m := range f.Vanes {
		each := f.scope(fmt.Sprint("crowd ", m.Name, f.Scope.Clock.Mono()), m.IP, m.Disk, m.Clock, m.Journal)
		visitors := &standin.Clients{Scope: each, Name: fmt.Sprint("crowd-", m.Name), NodeAddress: m.At(visitorsPort), Rate: rate / float64(len(f.Vanes)), Plan: f.Plan, History: f.History}
		crew.Go(func() { visitors.Run(each.WithContext(s)) })
	}
	return func() {
		cancel()
		crew.Wait()
	}
}

// badDay causes random troubles and tells which.
type badDay struct {
	*Fleet
	rand *random.Source
	told []string
}

func (d *badDay) cause() (mend func()) {
	chosen := troubles[d.rand.IntN(len(troubles))]
	d.told = append(d.told, fmt.Sprintf("%s %s", d.Scope.Clock.Mono(), chosen.name))
	end := d.Trouble("day", chosen.name)
	heal := chosen.cause(d.Fleet, d.rand)
	return func() {
		heal()
		end()
	}
}

// round causes up to three troubles that overlap, and mends them.
func (d *badDay) round() {
	var mends []func()
	for range 1 + d.rand.IntN(3) {
		mends = append(mends, d.cause())
		d.Pass(time.Duration(d.rand.IntN(600)) * time.Millisecond)
	}
	d.Pass(time.Duration(500+d.rand.IntN(2500)) * time.Millisecond)
	for _, mend := range mends {
		mend()
	}
	d.Pass(time.Duration(d.rand.IntN(2000)) * time.Millisecond)
}

func (d *badDay) heal() {
	d.World.HealAll()
	for _, m := range d.Every() {
		raise(d.Fleet, m)()
	}
}

func soak(f *Fleet) {
	day := &badDay{Fleet: f, rand: f.rand("troubles")}
	raised(f)
	f.Visit(50)
	stop := f.pusher()
	for range soakRounds {
		day.round()
	}
	day.heal()
	f.History.RecordReturn()
	f.Pass(recoverTime + 2*time.Second)
	stop()
	back := f.Scope.Clock.Mono()
	f.Pass(3 * time.Second)
	last := day.cause()
	f.Pass(700 * time.Millisecond)
	f.Leave()
	last()
	day.heal()
	f.Pass(recoverTime)
	f.Story = fmt.Sprintf("seed %d: %s", f.Seed, strings.Join(day.told, "; "))
	f.learnOutcomes(f.Story)
	f.ReadBack()
	sound(f, judge.RunOnce, judge.WholeAnswers, judge.AllowedServices, judge.InForce, judge.NoRegression, judge.SingleAck, judge.Durability, judge.Recovery)
	var late []judge.Call
	for _, call := range f.History.Calls() {
		if call.Started > back && call.Started < back+2500*time.Millisecond {
			late = append(late, call)
		}
	}
	Expect(f.tally(late)["answered"]).To(BeNumerically(">", len(late)*3/4), f.Story)
	Expect(f.Ready(f.Every())).To(BeTrue(), f.Story)
}

func (f *Fleet) learnOutcomes(story string) {
	known := map[uint64]bool{}
	for _, ack := range f.History.Acks() {
		known[ack.Serial] = true
	}
	reply, err := f.Clerk.Bundle(f.Scope, 0)
	Expect(err).NotTo(HaveOccurred(), story+f.coreStates())
	for serial := uint64(1); serial <= reply.Serial; serial++ {
		if !known[serial] {
			f.History.RecordOutcome(&wire.Outcome{Serial: serial, Verdict: wire.Verdict_UNKNOWN})
		}
	}
}

var _ = ginkgo.Describe("a long day", func() {
	first, count := uint64(1), usualSeeds
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		from, many, _ := strings.Cut(text, "+")
		first, _ = strconv.ParseUint(from, 10, 64)
		count, _ = strconv.Atoi(many)
	}
	var seeds []uint64
	for i := range count {
		seeds = append(seeds, first+uint64(i))
	}
	for len(seeds) > 0 {
		batch := seeds[:min(6, len(seeds))]
		seeds = seeds[len(batch):]
		ginkgo.It(fmt.Sprintf("given random troubles of seeds %d to %d, when all is mended, then no rule was broken and service is back", batch[0], batch[len(batch)-1]), func() {
			base.Parallel(few(batch), func(seed uint64) {
				if seed%2 == 1 {
					bubble(seed, shape(4), soak)
					return
				}
				bubble(seed, shapeOf("gauge", 6), func(f *Fleet) {
					f.gauge()
					soak(f)
				})
			})
		})
	}
})

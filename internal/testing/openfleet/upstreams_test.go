package openfleet

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func (f *Fleet) afflict(services []string, troubles ...Trouble) {
	for _, service := range services {
		for _, m := range f.Of(service) {
			m.Upstream.Set(troubles...)
		}
	}
}

func once(job *Job) bool { return job.Route == "return" || job.Route == "pass" || job.Route == "lend" }

func repeatable(job *Job) bool { return !once(job) }

var _ = ginkgo.Describe("upstreams in trouble", func() {
	for _, each := range []struct {
		fault        Fault
		late         time.Duration
		once, others float64
	}{
		{Silent, 0, 0.75, 0.85},
		{Reset, 0, 0.7, 0.95},
		{Torn, 0, 0.7, 0.95},
		{Garbled, 0, 0.7, 0.95},
		{Unsealed, 0, 0.7, 0.95},
		{Endless, 0, 0.7, 0.95},
		{Failing, 0, 0.7, 0.95},
		{Twin, 0, 0.995, 0.995},
		{LateTwin, 3 * time.Millisecond, 0.99, 0.995},
		{LateTwin, 30 * time.Millisecond, 0.99, 0.995},
		{Stale, 0, 0.995, 0.995},
		{Trail, 0, 0.995, 0.995},
		{LateTrail, 15 * time.Millisecond, 0.7, 0.95},
		{Crossed, 0, 0.995, 0.995},
		{Closing, 0, 0.995, 0.995},
		{Hangup, 0, 0.7, 0.95},
	} {
		storyOf(fmt.Sprintf("given upstreams with one answer in ten %s %s, when visitors come, then nothing runs twice, every success is whole and its own", each.fault, each.late), 3, small, []uint64{1, 2}, func(f *Fleet) {
			raised(f)
			f.Visit(50)
			f.Pass(200 * time.Millisecond)
			f.afflict([]string{"books", "loans", "gates"}, Trouble{each.fault, 0.1, each.late})
			f.Pass(3 * time.Second)
			f.Away()
			sound(f, Twice, Mixed, Unasked, Routed)
			t, o := f.Tally(0, 0, once), f.Tally(0, 0, repeatable)
			Expect(t.Share()).To(BeNumerically(">", each.once), "%s: %s", f.Story, t)
			Expect(o.Share()).To(BeNumerically(">", each.others), "%s: %s", f.Story, o)
		})
	}
})

var _ = ginkgo.Describe("large answers", func() {
	for _, chunks := range []bool{false, true} {
		storyOf(fmt.Sprintf("given upstreams that break off large answers, chunked: %v, when visitors come, then none looks whole that is not", chunks), 3, small, []uint64{1, 2}, func(f *Fleet) {
			f.Habits = []Habit{{Prefix: "/scans/", Base: 10 * time.Millisecond, Size: 2_600_000, Chunks: chunks}}
			f.Plan = []Plan{{Method: "GET", Host: "books.example", Path: "/scans/", Part: 1}}
			raised(f)
			f.afflict([]string{"books"}, Trouble{Torn, 0.3, 0})
			f.Visit(10)
			f.Pass(3 * time.Second)
			f.Away()
			f.fares(0.7, 0, 0, nil)
			sound(f, Mixed)
		})
	}
})

func (f *Fleet) replaceAll(services []string, change func(u *Upstream)) {
	for _, service := range services {
		for _, m := range f.Of(service) {
			m.Upstream.Kill()
			u := f.Upstream(m, service, upstreamPort)
			change(u)
			Expect(u.Start()).To(Succeed())
			m.Upstream = u
		}
	}
	f.Pass(time.Second)
}

var everyService = []string{"books", "loans", "gates"}

var _ = ginkgo.Describe("upstreams and their connections", func() {
	for _, rest := range []time.Duration{60 * time.Millisecond, time.Second, 2 * time.Second} {
		storyOf(fmt.Sprintf("given upstreams that close what is idle for %s, when visitors come now and then, then nobody loses an answer", rest), 3, small, []uint64{1, 2}, func(f *Fleet) {
			raised(f)
			f.replaceAll(everyService, func(u *Upstream) { u.Rest, u.TellRest = rest, rest >= time.Second })
			f.Visit(25)
			f.Pass(6 * time.Second)
			f.Away()
			t := f.Tally(0, 0, nil)
			Expect(t.Share()).To(BeNumerically(">", 0.995), "%s: %s", f.Story, t)
			sound(f, Twice, Mixed)
		})
	}

	storyOf("given upstreams that take few connections, when visitors come, then most are served and nothing runs twice", 3, small, []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.replaceAll(everyService, func(u *Upstream) { u.ConnLimit = 5 })
		f.Visit(90)
		f.Pass(4 * time.Second)
		f.Away()
		t := f.Tally(0, 0, nil)
		Expect(t.Share()).To(BeNumerically(">", 0.95), "%s: %s", f.Story, t)
		sound(f, Twice, Mixed)
	})

	for _, reset := range []bool{false, true} {
		storyOf(fmt.Sprintf("given upstreams that tell of more slots than they have and are full, resetting: %v, when visitors come, then no refused one ran and repeats stay paid", reset), 3, small, []uint64{1, 2}, func(f *Fleet) {
			raised(f)
			f.replaceAll(everyService, func(u *Upstream) {
				u.Queue, u.FullReset = 0, reset
				u.Boast = 6
				u.Capacity = 2
			})
			f.Visit(120)
			f.Pass(4 * time.Second)
			sound(f, Twice, Mixed, Budget)
		})
	}

	story("given one upstream of four that is ten times slower, when visitors come, then few wait for it", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		slow := f.Of("books")[1].Upstream
		slow.SetSpeed(10)
		f.Visit(90)
		f.Pass(6 * time.Second)
		f.Away()
		t := f.Tally(2*time.Second, 0, nil)
		Expect(t.Share()).To(BeNumerically(">", 0.999), "%s: %s", f.Story, t)
		Expect(t.Aimed()).To(BeNumerically(">", 0.97), "%s: %s", f.Story, t)
		sound(f, Twice)
	})
})

var _ = ginkgo.Describe("upstreams that leave", func() {
	story("given load, when upstreams leave in order one by one, then none gets anything past the bound and nobody loses an answer", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(50)
		f.Pass(time.Second)
		for _, m := range []*Machine{f.Of("books")[0], f.Of("loans")[1], f.Of("gates")[0]} {
			m.Upstream.Leave()
			f.Pass(500 * time.Millisecond)
			f.Seat(m)
			f.Pass(time.Second)
		}
		f.Away()
		t := f.Tally(0, 0, nil)
		Expect(t.Share()).To(BeNumerically(">", 0.999), "%s: %s", f.Story, t)
		sound(f, Twice, Drain)
	})

	story("given the only upstream of a service, when it leaves with the control machines cut off, then its node still hands it nothing past the bound", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(50)
		f.Pass(time.Second)
		m := f.Of("gates")[0]
		end := f.Trouble("core", "cut off")
		for _, controller := range f.Controllers {
			f.Cut(m, controller)
		}
		m.Upstream.Announce()
		f.Pass(4 * time.Second)
		f.World.HealAll()
		end()
		m.Upstream.Kill()
		f.Pass(time.Second)
		sound(f, Twice, Drain)
	})

	story("given load, when upstreams are killed without a word and start anew, then nothing runs twice and most are served", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(50)
		f.Pass(time.Second)
		for _, m := range []*Machine{f.Of("books")[0], f.Of("loans")[1], f.Of("gates")[0]} {
			m.Upstream.Kill()
			f.Pass(1500 * time.Millisecond)
			f.Seat(m)
			f.Pass(time.Second)
		}
		f.Away()
		t := f.Tally(0, 0, nil)
		Expect(t.Share()).To(BeNumerically(">", 0.985), "%s: %s", f.Story, t)
		sound(f, Twice)
	})

	story("given an upstream killed, when another service's stands at its address at once and says nothing, then it runs nothing", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(50)
		f.Pass(time.Second)
		for _, m := range []*Machine{f.Of("books")[0], f.Of("loans")[1], f.Of("gates")[0]} {
			m.Upstream.Kill()
			other := f.Upstream(m, "strangers", upstreamPort)
			other.Dumb = true
			Expect(other.Start()).To(Succeed())
			f.Pass(3 * time.Second)
			other.Kill()
			f.Seat(m)
		}
		f.Pass(time.Second)
		f.Away()
		t := f.Tally(0, 0, nil)
		Expect(t.Share()).To(BeNumerically(">", 0.99), "%s: %s", f.Story, t)
		sound(f, Twice, Routed)
	})

	story("given a machine gone, when another service's machine takes its address at once, then no service runs what is not its own", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(50)
		f.Pass(time.Second)
		for i, m := range []*Machine{f.Of("books")[0], f.Of("loans")[1]} {
			f.Retire(m)
			next := f.Enrol([]string{"loans", "gates"}[i], m.IP)
			Expect(f.Raise(next)).To(Succeed())
			f.Seat(next)
			f.Pass(3 * time.Second)
		}
		f.Away()
		t := f.Tally(0, 0, nil)
		Expect(t.Share()).To(BeNumerically(">", 0.98), "%s: %s", f.Story, t)
		sound(f, Twice, Routed, Unasked)
	})
})

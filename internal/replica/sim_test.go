package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"curlewreach/proto/wire"
)

const (
	simRound   = 400 * time.Millisecond
	simWatch   = 250 * time.Millisecond
	simSilence = 1500 * time.Millisecond
	simSync    = 5 * time.Millisecond
	simDelay   = time.Millisecond
)

// simEvent is something that happens at a moment of the simulated time.
type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

// simNode is a machine with its disk.
type simNode struct {
	address string
	machine *Machine
	life    int
	disk    *wire.ReplicaState
	dark    bool
	full    bool
}

// sim runs machines over a simulated network, without real time.
type sim struct {
	now     time.Duration
	order   int
	events  []simEvent
	nodes   map[string]*simNode
	random  *rand.Rand
	cut     map[string]bool
	ticket  uint64
	results map[uint64]Result
	seeds   []string
	ids     int
	log     func(string, ...any)
}

func newSim(seed uint64, addresses ...string) *sim {
	s := &sim{nodes: map[string]*simNode{}, random: rand.New(rand.NewPCG(seed, 1)), cut: map[string]bool{}, results: map[uint64]Result{}, log: func(string, ...any) {}}
	s.seeds = addresses[:min(3, len(addresses))]
	for _, address := range addresses {
		s.start(address, true)
	}
	return s
}

func (s *sim) at(after time.Duration, run func()) {
	s.order++
	s.events = append(s.events, simEvent{s.now + after, s.order, run})
}

func (s *sim) step() bool {
	best := -1
	for i, each := range s.events {
		if best < 0 || each.at < s.events[best].at || each.at == s.events[best].at && each.order < s.events[best].order {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	next := s.events[best]
	s.events = append(s.events[:best], s.events[best+1:]...)
	s.now = max(s.now, next.at)
	next.run()
	return true
}

func (s *sim) run(span time.Duration) {
	end := false
	s.at(span, func() { end = true })
	for !end && s.step() {
	}
}

func (s *sim) start(address string, founding bool) *simNode {
	n := s.nodes[address]
	if n == nil {
		n = &simNode{address: address}
		s.nodes[address] = n
	}
	n.life++
	n.machine = NewMachine(Settings{
		Address: address, Seeds: s.seeds, Founding: founding, Target: 3, Watch: simWatch, Silence: simSilence, Patience: time.Second,
		FoundingWait: time.Second, NewID: func() string { s.ids++; return fmt.Sprintf("id%03d", s.ids) },
		Note: func(what, subject, detail string) { s.log("%v %s: %s %s %s", s.now, address, what, subject, detail) },
	}, n.disk, s.now)
	s.tick(n, n.life)
	return n
}

func (s *sim) tick(n *simNode, life int) {
	if n.life != life {
		return
	}
	n.machine.Tick(s.now)
	s.flush(n)
	s.at(simWatch/5, func() { s.tick(n, life) })
}

func (s *sim) kill(address string) {
	s.nodes[address].life++
	s.nodes[address].machine = nil
}

func (s *sim) connected(a, b string) bool {
	return !s.cut[a] && !s.cut[b] || a == b
}

func (s *sim) flush(n *simNode) {
	out := n.machine.Take()
	life := n.life
	for _, result := range out.Results {
		s.results[result.Ticket] = result
	}
	if out.Save != nil {
		save := out.Save
		s.at(simSync, func() {
			if n.life != life {
				return
			}
			if !n.full {
				n.disk = save.State
			}
			n.machine.Saved(s.now, save.Number, !n.full)
			s.flush(n)
		})
	}
	for _, request := range out.Requests {
		s.send(n, life, request)
	}
	for _, answer := range out.Answers {
		s.answer(answer)
	}
}

type simCall struct {
	from *simNode
	life int
	id   uint64
}

var simCalls = map[uint64]simCall{}
var simLastCall uint64

func (s *sim) send(n *simNode, life int, request Request) {
	answered := false
	finish := func(reply *wire.ReplicaReply) {
		if answered || n.life != life {
			return
		}
		answered = true
		n.machine.Answered(s.now, request.ID, reply)
		s.flush(n)
	}
	s.at(simRound, func() { finish(nil) })
	s.at(simDelay, func() {
		to := s.nodes[request.To]
		if to == nil || to.machine == nil || !s.connected(n.address, request.To) {
			return
		}
		simLastCall++
		call := simLastCall
		s.pending(call, func(reply *wire.ReplicaReply) {
			s.at(simDelay, func() {
				if s.connected(n.address, request.To) {
					finish(reply)
				}
			})
		})
		to.machine.Receive(s.now, call, request.Ask)
		s.flush(to)
	})
}

var simPending = map[uint64]func(*wire.ReplicaReply){}

func (s *sim) pending(call uint64, reply func(*wire.ReplicaReply)) { simPending[call] = reply }

func (s *sim) answer(answer Answer) {
	reply := simPending[answer.Call]
	delete(simPending, answer.Call)
	if reply != nil {
		reply(answer.Reply)
	}
}

// set changes a key at one replica, trying again until it is done or the time is over.
func (s *sim) set(address, key, value string, within time.Duration) bool {
	until := s.now + within
	for s.now < until {
		n := s.nodes[address]
		if n.machine == nil {
			return false
		}
		s.ticket++
		ticket := s.ticket
		n.machine.Change(s.now, ticket, key, func([]byte) ([]byte, error) { return []byte(value), nil })
		s.flush(n)
		for s.now < until {
			if _, done := s.results[ticket]; done || !s.step() {
				break
			}
		}
		if result, done := s.results[ticket]; done && result.Err == nil {
			return true
		}
		s.run(20 * time.Millisecond)
	}
	return false
}

func (s *sim) get(address, key string, within time.Duration) (string, bool) {
	until := s.now + within
	for s.now < until {
		n := s.nodes[address]
		s.ticket++
		ticket := s.ticket
		n.machine.Read(s.now, ticket, key)
		s.flush(n)
		for s.now < until {
			if _, done := s.results[ticket]; done || !s.step() {
				break
			}
		}
		if result, done := s.results[ticket]; done && result.Err == nil {
			return string(result.Version.GetValue()), true
		}
		s.run(20 * time.Millisecond)
	}
	return "", false
}

func TestReplacedOneAfterTheOther(t *testing.T) {
	s := newSim(1, "a:1", "b:1", "c:1")
	s.log = t.Logf
	s.run(3 * time.Second)
	if !s.set("a:1", "k", "one", 2*time.Second) {
		t.Fatal("no change was taken")
	}
	living := []string{"a:1", "b:1", "c:1"}
	for i := range 9 {
		gone := living[0]
		s.kill(gone)
		fresh := fmt.Sprintf("n%d:1", i)
		s.run(time.Second)
		s.start(fresh, false)
		living = append(living[1:], fresh)
		s.seeds = living
		s.run(4 * time.Second)
		value := fmt.Sprint("v", i)
		if !s.set(fresh, "k", value, 2*time.Second) {
			t.Fatalf("no change was taken after replacing %d", i)
		}
		if got, ok := s.get(living[0], "k", 2*time.Second); !ok || got != value {
			t.Fatalf("read %q, %v, want %q", got, ok, value)
		}
	}
}

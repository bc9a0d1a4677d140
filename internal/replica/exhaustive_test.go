package replica

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewreach/proto/wire"
)

// smallCase is a system of three voters and a learner that knows all, and what befalls it.
type smallCase struct {
	name string
	// moves may happen at any moment, each once, in this order.
	moves []move
	// passed is how often in a run a younger event may come before the oldest.
	passed int
}

// move is one thing that happens in a small case.
type move struct {
	name string
	run  func(x *exploration)
}

// exploration is one run of a small case: which of the pending messages and saves, or the next move, comes next is
// chosen from outside. No time passes.
type exploration struct {
	world     *world
	history   *history
	operators [2]*operator
	moves     []move
	past      map[string]uint64 // hash of what each node was handed
	passed    int               // how often an event was passed over
}

func explore(c smallCase) *exploration {
	w := newWorld(1, "a", "b", "c")
	w.exploring, w.now = true, time.Minute
	x := &exploration{world: w, history: &history{world: w}, moves: c.moves, past: map[string]uint64{}}
	for i := range x.operators {
		x.operators[i] = &operator{known: map[string]string{}}
	}
	membership := generationOf(1, "a", "b", "c")
	for _, address := range []string{"a", "b", "c", "d"} {
		n := &node{world: w, address: address}
		w.nodes[address] = n
		w.names = append(w.names, address)
		n.write(&wire.ReplicaState{Id: address})
	}
	for _, address := range []string{"a", "b", "c"} {
		w.nodes[address].write(&wire.ReplicaState{Id: address, Membership: membership})
	}
	for _, address := range w.names {
		x.place(address)
	}
	w.nodes["d"].input(w.nodes["d"].life, func() { w.nodes["d"].machine.learn(membership) })
	return x
}

// place runs a machine without a clock.
func (x *exploration) place(address string) {
	w := x.world
	n := w.nodes[address]
	n.life++
	n.seen = nodeView{}
	n.machine = NewMachine(Settings{
		Address: address, Seeds: []string{"a", "b", "c"}, StatusInterval: simWatch, VoterTimeout: simSilence, RecommitAfter: simPatience,
		BootstrapWait: simFoundingWait, NewID: w.newID,
	}, n.diskState(), w.now)
	n.flush()
}

// replace has an address begin to choose the generation in which a learner takes the place of a voter.
func (x *exploration) replace(by, voter string, newcomer *wire.Replica) {
	n := x.world.nodes[by]
	if n.machine == nil {
		return
	}
	n.input(n.life, func() {
		m := n.machine
		if m.votes() && m.generation() == 1 {
			m.learners[newcomer.Id] = &learner{address: newcomer.Address, heard: m.now, caughtUp: true, verified: true}
			m.heard[voter] = -time.Hour
			m.steadySince = -time.Hour
			m.chooseNext()
			m.drain()
		}
	})
}

func changeAt(operator int, address string) move {
	return move{"change at " + address, func(x *exploration) { x.history.change(x.operators[operator], address, "k", false) }}
}

func replaceBy(by string) move {
	return move{by + " replaces c", func(x *exploration) { x.replace(by, "c", &wire.Replica{Id: "d", Address: "d"}) }}
}

func restartOf(address string) move {
	return move{"crash and restart of " + address, func(x *exploration) {
		x.world.crash(address, false)
		x.place(address)
	}}
}

func cutOff(address string) move {
	return move{"cut around " + address, func(x *exploration) { x.world.isolate(address, "a", "b", "c", "d") }}
}

func healed(address string) move {
	return move{"end of the cut", func(x *exploration) { x.world.reunite(address, "a", "b", "c", "d") }}
}

func wipeOf(address string) move {
	return move{"wipe of " + address, func(x *exploration) {
		x.world.wipe(address)
		x.place(address)
	}}
}

func replaceWiped(by, address string) move {
	return move{by + " replaces what was wiped", func(x *exploration) {
		x.replace(by, address, &wire.Replica{Id: x.world.nodes[address].machine.state.Id, Address: address})
	}}
}

func readAt(operator int, address string) move {
	return move{"read at " + address, func(x *exploration) { x.history.read(x.operators[operator], address, "k", false) }}
}

var smallCases = []smallCase{
	{name: "two changes", moves: []move{changeAt(0, "a"), changeAt(1, "b")}, passed: 1},
	{name: "two changes and a cut", moves: []move{changeAt(0, "a"), cutOff("a"), changeAt(1, "b")}},
	{name: "two changes and a restart", moves: []move{changeAt(0, "a"), restartOf("b"), changeAt(1, "b")}},
	{name: "a replacement between two changes", moves: []move{changeAt(0, "a"), replaceBy("b"), changeAt(1, "b")}},
	{name: "a change between two coordinators", moves: []move{replaceBy("a"), changeAt(0, "c"), replaceBy("b")}},
	{name: "a change and the replacement of a wiped disk", moves: []move{changeAt(0, "a"), wipeOf("c"), replaceWiped("a", "c")}},
	{name: "a replacement with a cut", moves: []move{changeAt(0, "a"), replaceBy("b"), cutOff("c")}},
}

// largeCases take minutes; LARGE asks for them.
var largeCases = []smallCase{
	{name: "two changes, a cut that ends, a read", moves: []move{changeAt(0, "a"), cutOff("a"), changeAt(1, "b"), healed("a"), readAt(0, "a")}},
	{name: "two coordinators, a change and a read", moves: []move{changeAt(0, "c"), replaceBy("a"), replaceBy("b"), readAt(1, "a")}},
	{name: "two changes, a wipe and its replacement", moves: []move{changeAt(0, "a"), wipeOf("c"), replaceWiped("a", "c"), changeAt(1, "b")}},
}

// pending lists the events that may come next, the oldest first.
func (x *exploration) pending() []int {
	var found []int
	for i, each := range x.world.events {
		if each.label != "" {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(i, j int) int { return cmp.Compare(x.world.events[i].order, x.world.events[j].order) })
	return found
}

// take runs option number choice: a pending event, or after them the next move.
func (x *exploration) take(choice int) {
	w := x.world
	pending := x.pending()
	if choice == len(pending) {
		next := x.moves[0]
		x.moves = x.moves[1:]
		for _, name := range w.names {
			x.note(name, next.name)
		}
		next.run(x)
		return
	}
	if choice > 0 {
		x.passed++
	}
	chosen := w.events[pending[choice]]
	w.events = slices.Delete(w.events, pending[choice], pending[choice]+1)
	x.note(chosen.node, chosen.label)
	chosen.run()
}

// note adds to what a node was handed. Machines are deterministic, so equal pasts are equal states.
func (x *exploration) note(node, label string) {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d %s", x.past[node], label)
	x.past[node] = hash.Sum64()
}

// state names where a run stands: what each node was handed, what is pending, and what may yet be passed over.
func (x *exploration) state() string {
	var parts []string
	for _, name := range x.world.names {
		parts = append(parts, fmt.Sprint(x.past[name]))
	}
	for _, i := range x.pending() {
		parts = append(parts, x.world.events[i].label)
	}
	return fmt.Sprint(parts, len(x.moves), x.passed)
}

// search visits every state of a case, by replay of the choices that lead there.
type search struct {
	problem string
	small   smallCase
	seen    map[uint64]bool
	ends    int
	replays int
}

func (s *search) replay(path []int) *exploration {
	s.replays++
	x := explore(s.small)
	for _, choice := range path {
		x.take(choice)
	}
	return x
}

// visit goes on from a run that stands at the end of a path.
func (s *search) visit(x *exploration, path []int) {
	for s.problem == "" {
		if x.world.check.failure != "" {
			s.problem = fmt.Sprintf("%s\npath %v", x.world.check.failure, path)
			return
		}
		hash := fnv.New64a()
		hash.Write([]byte(x.state()))
		if s.seen[hash.Sum64()] {
			return
		}
		s.seen[hash.Sum64()] = true
		options := s.options(x)
		if len(options) == 0 {
			s.ends++
			if wrong := x.history.judge(); wrong != "" {
				s.problem = fmt.Sprintf("%s\npath %v", wrong, path)
			}
			return
		}
		for _, choice := range options[1:] {
			next := append(slices.Clone(path), choice)
			s.visit(s.replay(next), next)
		}
		path = append(path, options[0])
		x.take(options[0])
	}
}

func (s *search) options(x *exploration) []int {
	pending := len(x.pending())
	var options []int
	for choice := range pending {
		if choice == 0 || x.passed < s.small.passed {
			options = append(options, choice)
		}
	}
	if len(x.moves) > 0 {
		options = append(options, pending)
	}
	return options
}

// TestSmallCasesExhaustively visits all states of the small cases; PASSED lets the order be broken more often.
func TestSmallCasesExhaustively(t *testing.T) {
	cases := smallCases
	if numberFrom(t, "LARGE", 0) > 0 {
		cases = slices.Concat(smallCases, largeCases)
	}
	total := 0
	for _, each := range cases {
		each.passed += numberFrom(t, "PASSED", 0)
		s := &search{small: each, seen: map[uint64]bool{}}
		s.visit(s.replay(nil), nil)
		if s.problem != "" {
			t.Errorf("%s: %s", each.name, strings.ReplaceAll(s.problem, "\n", "\n\t"))
		}
		t.Logf("%s, order broken %d times: %d states, %d ends, %d runs", each.name, each.passed, len(s.seen), s.ends, s.replays)
		total += len(s.seen)
	}
	t.Logf("%d states", total)
}

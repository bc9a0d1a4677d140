package replica

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

// The durations of the simulated replicas.
const (
	simRequestTimeout = 400 * time.Millisecond
	simWatch          = 250 * time.Millisecond
	simSilence        = 1500 * time.Millisecond
	simPatience       = time.Second
	simFoundingWait   = time.Second
	simTick           = simWatch / 5
	simSaveDelay      = 5 * time.Millisecond
	simMessageDelay   = time.Millisecond
)

// event is something that happens at a moment of the simulated time.
type event struct {
	at    time.Duration
	order int
	run   func()
	label string // of messages and saves: names it among all of a run, whatever the order
	node  string // whom it concerns
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return popped
}

// node is one address with its disk and, while it runs, its machine.
type node struct {
	world   *world
	address string
	machine *Machine // nil while it is down
	life    int      // rises with each stop, so that events of an earlier process are told apart
	disk    []byte   // the last durable state; nil where there is none
	saving  *Save
	full    bool     // saves fail
	frozen  bool     // inputs and ticks wait
	pending []func() // inputs that wait for the thaw
	lost    bool     // the disk is gone and the address won't come back
	seen    nodeView
}

// weather says what the network and the disks do by chance.
type weather struct {
	lossPercent      int
	duplicatePercent int
	failPercent      int           // of the saves
	maxDelay         time.Duration // of one message
	maxSave          time.Duration
}

// message is one request or reply on its way.
type message struct {
	from, to string
	request  *wire.ReplicaRequest
	reply    *wire.ReplicaReply // nil for a request
	label    string
	lost     func() // runs where the world is explored and the message can't arrive
}

// verdict says what becomes of a message.
type verdict struct {
	lost  bool
	delay time.Duration
}

// world runs machines over a simulated network and simulated disks, without real time.
type world struct {
	now     time.Duration
	order   int
	events  eventQueue
	nodes   map[string]*node
	names   []string // of nodes, in the order of their first start
	random  *rand.Rand
	seeds   []string
	target  int
	cuts    map[[2]string]bool // from, to
	weather weather
	// intercept, where set, decides about each message in place of the weather.
	intercept func(message) verdict
	// saveDelay, where set, decides how long a save takes.
	saveDelay func(*node) time.Duration

	lastID     int
	lastCall   uint64
	calls      map[uint64]*call
	lastTicket uint64
	tickets    map[uint64]func(Result)
	exploring  bool // no time passes, and what can't arrive is known to be lost at once

	check *checker
	log   func(string, ...any)
}

// call is a request that a machine has been handed and not yet answered.
type call struct {
	to      *node
	life    int
	request *wire.ReplicaRequest
	sealed  bool // the receiver had told before that it has sealed the request's generation
	reply   func(*wire.ReplicaReply)
}

func newWorld(seed uint64, seeds ...string) *world {
	w := &world{
		nodes: map[string]*node{}, random: rand.New(rand.NewPCG(seed, 1)), seeds: seeds, target: 3, cuts: map[[2]string]bool{},
		calls: map[uint64]*call{}, tickets: map[uint64]func(Result){}, log: func(string, ...any) {},
	}
	w.check = newChecker(w)
	return w
}

// found starts a system for the first time.
func (w *world) found(addresses ...string) {
	for _, address := range addresses {
		w.start(address, true)
	}
}

func (w *world) after(span time.Duration, run func()) { w.schedule(span, "", "", run) }

func (w *world) schedule(span time.Duration, label, node string, run func()) {
	w.order++
	heap.Push(&w.events, event{w.now + span, w.order, run, label, node})
}

// step runs the next event.
func (w *world) step() {
	next := heap.Pop(&w.events).(event)
	w.now = max(w.now, next.at)
	next.run()
}

// run lets a span of time pass, or less once done says so or a check has failed.
func (w *world) run(span time.Duration, done func() bool) bool {
	until := w.now + span
	for len(w.events) > 0 && w.events[0].at <= until && w.check.failure == "" {
		if done != nil && done() {
			return true
		}
		w.step()
	}
	w.now = until
	return done != nil && done()
}

func (w *world) newID() string {
	w.lastID++
	return fmt.Sprintf("i%03d", w.lastID)
}

// start runs the process of an address from what its disk holds.
func (w *world) start(address string, founding bool) *node {
	n := w.nodes[address]
	if n == nil {
		n = &node{world: w, address: address}
		w.nodes[address] = n
		w.names = append(w.names, address)
	}
	n.life++
	n.seen = nodeView{}
	n.machine = NewMachine(Settings{
		Address: address, Seeds: slices.Clone(w.seeds), Bootstrap: founding, TargetVoters: w.target, StatusInterval: simWatch, VoterTimeout: simSilence,
		RecommitAfter: simPatience, BootstrapWait: simFoundingWait, NewID: w.newID,
		RecordEvent: func(what, subject, detail string) { w.log("%v %s: %s %s %s", w.now, address, what, subject, detail) },
	}, n.diskState(), w.now)
	n.tick(n.life)
	return n
}

// diskState reads the disk; nil where it holds nothing.
func (n *node) diskState() *wire.ReplicaState {
	if n.disk == nil {
		return nil
	}
	state := &wire.ReplicaState{}
	if err := proto.Unmarshal(n.disk, state); err != nil {
		panic(err)
	}
	return state
}

// write puts a state on the disk.
func (n *node) write(state *wire.ReplicaState) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		panic(err)
	}
	n.disk = encoded
	n.world.check.wrote(n, state)
}

// crash ends the process; a save in flight ends either way.
func (w *world) crash(address string, saveLands bool) {
	n := w.nodes[address]
	if n.machine == nil {
		return
	}
	if n.saving != nil && saveLands && !n.full {
		n.write(n.saving.State)
	}
	n.life++
	n.machine, n.saving, n.frozen, n.pending = nil, nil, false, nil
}

// wipe ends the process and empties the disk.
func (w *world) wipe(address string) {
	w.crash(address, false)
	w.check.lostDisk(w.nodes[address])
	w.nodes[address].disk = nil
}

// remove ends an address for good.
func (w *world) remove(address string) {
	w.wipe(address)
	w.nodes[address].lost = true
}

func (w *world) cut(from, to string)  { w.cuts[[2]string{from, to}] = true }
func (w *world) heal(from, to string) { delete(w.cuts, [2]string{from, to}) }

// isolate cuts an address off from some others, both ways.
func (w *world) isolate(address string, others ...string) {
	for _, other := range others {
		w.cut(address, other)
		w.cut(other, address)
	}
}

// reunite ends isolate.
func (w *world) reunite(address string, others ...string) {
	for _, other := range others {
		w.heal(address, other)
		w.heal(other, address)
	}
}

func (w *world) freeze(address string) {
	if n := w.nodes[address]; n.machine != nil {
		n.frozen = true
	}
}

// thaw handles what came meanwhile, all at once.
func (w *world) thaw(address string) {
	n := w.nodes[address]
	if !n.frozen {
		return
	}
	n.frozen = false
	late := n.pending
	n.pending = nil
	life := n.life
	for _, each := range late {
		n.input(life, each)
	}
}

// input hands something to the machine, or keeps it for the thaw.
func (n *node) input(life int, hand func()) {
	switch {
	case n.life != life || n.machine == nil:
	case n.frozen:
		n.pending = append(n.pending, hand)
	default:
		hand()
		n.flush()
	}
}

func (n *node) tick(life int) {
	if n.life != life {
		return
	}
	n.input(life, func() {
		n.machine.Tick(n.world.now)
		n.world.after(simTick, func() { n.tick(life) })
	})
}

// flush does what the machine wants done.
func (n *node) flush() {
	w := n.world
	out := n.machine.TakeOutput()
	w.check.observe(n)
	for _, result := range out.Results {
		if done := w.tickets[result.Ticket]; done != nil {
			delete(w.tickets, result.Ticket)
			done(result)
		}
	}
	if out.Save != nil {
		n.save(out.Save)
	}
	for _, request := range out.Requests {
		w.send(n, request)
	}
	for _, answer := range out.Responses {
		w.reply(answer)
	}
}

func (n *node) save(save *Save) {
	w, life := n.world, n.life
	n.saving = save
	label := fmt.Sprintf("save %s/%d/%d", n.address, life, save.Number)
	w.schedule(w.drawSave(n), label, n.address, func() {
		if n.life != life {
			return
		}
		n.saving = nil
		ok := !n.full && !w.chance(w.weather.failPercent)
		if ok || !n.full && w.chance(50) {
			n.write(save.State)
		}
		n.input(life, func() { n.machine.HandleSaved(w.now, save.Number, ok) })
	})
}

func (w *world) drawSave(n *node) time.Duration {
	if w.saveDelay != nil {
		return w.saveDelay(n)
	}
	return simSaveDelay + w.upTo(w.weather.maxSave)
}

func (w *world) upTo(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(most)))
}

func (w *world) chance(percent int) bool { return percent > 0 && w.random.IntN(100) < percent }

// carry takes a message over the network; deliver may run never, once or twice.
func (w *world) carry(m message, deliver func()) {
	if w.intercept != nil {
		if v := w.intercept(m); !v.lost {
			w.arrive(m, max(v.delay, simMessageDelay), deliver)
		}
		return
	}
	if w.chance(w.weather.lossPercent) {
		return
	}
	w.arrive(m, simMessageDelay+w.upTo(w.weather.maxDelay), deliver)
	if w.chance(w.weather.duplicatePercent) {
		w.arrive(m, simMessageDelay+w.upTo(2*w.weather.maxDelay), deliver)
	}
}

func (w *world) arrive(m message, delay time.Duration, deliver func()) {
	w.schedule(delay, m.label, m.to, func() {
		if !w.cuts[[2]string{m.from, m.to}] {
			deliver()
			return
		}
		if w.exploring {
			m.lost()
		}
	})
}

func (w *world) send(n *node, request Request) {
	life := n.life
	w.check.sent(n, request.Payload)
	answered := false
	finish := func(reply *wire.ReplicaReply) {
		if !answered {
			answered = true
			n.input(life, func() { n.machine.HandleReply(w.now, request.ID, reply) })
		}
	}
	w.after(simRequestTimeout, func() { finish(nil) })
	question := overTheWire(request.Payload)
	lost := func() { finish(nil) }
	label := fmt.Sprintf("%s/%d/%d", n.address, life, request.ID)
	w.carry(message{from: n.address, to: request.To, request: question, label: "ask " + label, lost: lost}, func() {
		if to := w.nodes[request.To]; w.exploring && (to == nil || to.machine == nil) {
			lost()
			return
		}
		w.receive(request.To, question, func(reply *wire.ReplicaReply) {
			told := overTheWire(reply)
			back := message{from: request.To, to: n.address, request: question, reply: told, label: "answer " + label, lost: lost}
			w.carry(back, func() { finish(told) })
		})
	})
}

// overTheWire gives the message as its receiver decodes it.
func overTheWire[M proto.Message](sent M) M {
	encoded, err := proto.Marshal(sent)
	if err != nil {
		panic(err)
	}
	received := sent.ProtoReflect().New().Interface().(M)
	if err := proto.Unmarshal(encoded, received); err != nil {
		panic(err)
	}
	return received
}

func (w *world) receive(address string, question *wire.ReplicaRequest, reply func(*wire.ReplicaReply)) {
	n := w.nodes[address]
	if n == nil || n.machine == nil {
		return
	}
	n.input(n.life, func() {
		w.lastCall++
		w.calls[w.lastCall] = &call{to: n, life: n.life, request: question, sealed: w.check.hasSealed(n, question.Generation), reply: reply}
		n.machine.HandleRequest(w.now, w.lastCall, question)
	})
}

func (w *world) reply(answer Response) {
	call := w.calls[answer.Call]
	delete(w.calls, answer.Call)
	w.check.answered(call, answer.Reply)
	call.reply(answer.Reply)
}

// ask opens a ticket on a machine; done runs with its result, unless the process ends before.
func (w *world) ask(address string, open func(m *Machine, ticket uint64), done func(Result)) {
	n := w.nodes[address]
	if n == nil || n.machine == nil {
		return
	}
	w.lastTicket++
	ticket := w.lastTicket
	w.tickets[ticket] = done
	n.input(n.life, func() { open(n.machine, ticket) })
}

// restart runs a stopped process again, from what its disk holds.
func (w *world) restart(address string) { w.start(address, false) }

// request opens a change that puts a value, whatever the old one was.
func (w *world) request(address, key, value string, done func(Result)) {
	w.ask(address, func(m *Machine, ticket uint64) {
		m.Change(w.now, ticket, key, func([]byte) ([]byte, error) { return []byte(value), nil })
	}, done)
}

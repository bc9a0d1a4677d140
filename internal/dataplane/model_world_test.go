package dataplane

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"curlewreach/internal/attempts"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/dataplane/retry"
	"curlewreach/proto/wire"
)

// The model runs the product's ledger, retry budget, fences and memory of attempts over a network, upstreams and troubles of its own. Time is virtual, everything runs in one goroutine, and every choice is drawn.

// spoilt lists what a spoilt version of the request path leaves out or does wrong.
type spoilt struct {
	fenceForgottenOnRestart bool
	neverAfterForgetting    bool
	markIgnoredOnArrival    bool
	waitingNotFenced        bool
	identityShared          bool
	idNotCompared           bool
	writeRepeated           bool
	idleCheckLeftOut        bool
	lateAnswerTaken         bool
	promiseAfterDoubt       bool
	hedgeOfLoan             bool
	sealKept                bool
	repeatsUnpaid           bool
	timeIgnored             bool
}

const (
	modelSpan      = 3 * time.Second
	modelLinger    = 60 * time.Millisecond
	modelEntries   = 8
	modelRatio     = 0.2
	modelSlack     = 2
	modelTries     = 2
	modelUpstreams = 2
	modelSteps     = 100_000
)

type modelEvent struct {
	at     time.Duration
	number int
	do     func()
}

type modelWorld struct {
	draw     func(n int) int
	spoilt   spoilt
	now      time.Duration
	number   int
	events   []modelEvent
	nodes    []*modelNode
	requests []*modelRequest
	hops     []*modelHop
	runs     map[string]int
	arrivals map[string]int
	answers  map[string]bool
	found    []string
	settled  map[string]int
}

func (w *modelWorld) Mono() time.Duration { return w.now }

func (w *modelWorld) Wall() time.Time { return time.Unix(0, int64(w.now)) }

func (w *modelWorld) violated(format string, args ...any) {
	w.found = append(w.found, fmt.Sprintf(format, args...))
}

// chance draws an event of so many in a hundred.
func (w *modelWorld) chance(percent int) bool { return w.draw(100) >= 100-percent }

var modelDelays = []time.Duration{1, 1, 1, 2, 3, 5, 10, 40, 150, 400}

// delay draws how long a message travels; later ones may overtake it.
func (w *modelWorld) delay() time.Duration {
	return modelDelays[w.draw(len(modelDelays))] * time.Millisecond
}

func (w *modelWorld) after(d time.Duration, do func()) {
	w.number++
	event := modelEvent{w.now + d, w.number, do}
	at, _ := slices.BinarySearchFunc(w.events, event, func(a, b modelEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.number, b.number))
	})
	w.events = slices.Insert(w.events, at, event)
}

func (w *modelWorld) run() {
	for steps := 0; len(w.events) > 0; steps++ {
		if steps > modelSteps {
			w.violated("the schedule doesn't come to an end")
			return
		}
		next := w.events[0]
		w.events = w.events[1:]
		w.now = next.at
		next.do()
	}
}

func newModelWorld(draw func(n int) int, spoilt spoilt) *modelWorld {
	w := &modelWorld{draw: draw, spoilt: spoilt, now: time.Second, runs: map[string]int{}, arrivals: map[string]int{}, answers: map[string]bool{}, settled: map[string]int{}}
	for i := range modelUpstreams + draw(3) {
		n := &modelNode{world: w, name: fmt.Sprint("node-", i)}
		if i < modelUpstreams {
			n.upstream = &modelUpstream{world: w, life: 1}
		}
		w.nodes = append(w.nodes, n)
		n.raise()
	}
	return w
}

// modelRun plays one schedule and lists the rules that it broke.
func modelRun(draw func(n int) int, spoilt spoilt) *modelWorld {
	w := newModelWorld(draw, spoilt)
	for range 6 + draw(20) {
		w.after(time.Duration(draw(int(modelSpan/time.Millisecond)))*time.Millisecond, w.ask)
	}
	for range draw(5) {
		w.after(time.Duration(draw(int(modelSpan/time.Millisecond)))*time.Millisecond, w.trouble)
	}
	w.run()
	w.judge()
	return w
}

func (w *modelWorld) trouble() {
	n := w.nodes[w.draw(len(w.nodes))]
	switch w.draw(3) {
	case 0:
		n.kill()
		w.after(w.delay(), n.raise)
	case 1:
		n.freeze()
		w.after(w.delay()+w.delay(), n.thaw)
	default:
		if n.upstream != nil {
			n.upstream.restart()
		}
	}
}

// modelRequest is one try of a client and what it was told.
type modelRequest struct {
	id       string
	once     bool
	origin   *modelNode
	life     int
	until    time.Duration
	ledger   *retry.Ledger
	answered time.Duration
	status   int
	answer   *forwarding.Response
	excused  bool
}

func (w *modelWorld) ask() {
	n := w.nodes[w.draw(len(w.nodes))]
	if !n.up {
		return
	}
	until := w.now + time.Duration(50+w.draw(900))*time.Millisecond
	once := w.draw(2) == 0
	r := &modelRequest{id: fmt.Sprint("r", len(w.requests)), once: once, origin: n, life: n.life, until: until}
	r.ledger = &retry.Ledger{Repeatable: !once, MaxTries: modelTries, Deadline: until}
	w.requests = append(w.requests, r)
	n.retryBudget.Earn(modelService)
	n.then(0, func() { n.advance(r) })
	if !w.spoilt.timeIgnored {
		n.then(until-w.now, func() { n.giveUp(r) })
	}
	if w.chance(30) {
		n.then(w.delay(), func() { n.hedge(r) })
	}
}

// judge holds what clients and upstreams saw against the rules.
func (w *modelWorld) judge() {
	further, owed := 0, 0
	for _, r := range w.requests {
		owed++
		further += max(w.arrivals[r.id]-1, 0)
		if r.once && w.runs[r.id] > 1 {
			w.violated("%s may not be repeated and ran %d times", r.id, w.runs[r.id])
		}
		if r.once && r.status == http.StatusServiceUnavailable && w.runs[r.id] > 0 {
			w.violated("%s was promised not to run and ran", r.id)
		}
		if w.arrivals[r.id] > modelTries {
			w.violated("%s came to upstreams %d times", r.id, w.arrivals[r.id])
		}
		w.judgeAnswer(r)
		if r.status == 0 && !r.excused || r.answered > r.until {
			w.violated("%s was held past its time", r.id)
		}
	}
	if float64(further) > modelRatio*float64(owed)+modelSlack {
		w.violated("%d further arrivals of %d requests", further, owed)
	}
}

func (w *modelWorld) judgeAnswer(r *modelRequest) {
	if r.answer == nil {
		return
	}
	key := modelAnswerKey(r.id, r.answer.Status, string(r.answer.Body))
	sealed := r.answer.Header.Get(forwarding.DefaultHeaderNames.Seal) != ""
	switch {
	case r.answer.Status == http.StatusOK && !w.answers[key]:
		w.violated("%s got %q, which no upstream answered to it", r.id, r.answer.Body)
	case r.answer.Status != http.StatusOK && sealed && !w.answers[key]:
		w.violated("%s got a sealed %d that no upstream gave", r.id, r.answer.Status)
	}
}

func modelAnswerKey(id string, status int, body string) string {
	return fmt.Sprint(id, " ", status, " ", body)
}

// settledAs counts the replies to questions.
func (w *modelWorld) settledAs(reply *wire.AttemptReply) { w.settled[reply.State.String()]++ }

// asked is a question as a spoilt node would understand it.
func (w *modelWorld) asked(n *modelNode, mark attempts.Mark) attempts.Mark {
	present := n.fences.Table.CurrentMark()
	if w.spoilt.fenceForgottenOnRestart && mark.Incarnation != present.Incarnation {
		return present
	}
	if w.spoilt.neverAfterForgetting && mark.Incarnation == present.Incarnation {
		return present
	}
	return mark
}

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

// modelDefects lists what a spoilt version of the request path leaves out or does wrong.
type modelDefects struct {
	fenceLostOnRestart      bool
	neverBeganAfterEviction bool
	markIgnoredOnArrival    bool
	waitingNotFenced        bool
	identityShared          bool
	idNotCompared           bool
	writeRepeated           bool
	idleCheckSkipped        bool
	lateAnswerAccepted      bool
	notRunAfterDoubt        bool
	hedgeOfOnce             bool
	sealKeptOnOtherStatus   bool
	retriesUnpaid           bool
	deadlineIgnored         bool
}

const (
	modelDuration   = 3 * time.Second
	modelLinger     = 60 * time.Millisecond
	modelEntries    = 8
	modelRetryRatio = 0.2
	modelRetrySlack = 2
	modelTries      = 2
	modelUpstreams  = 2
	maxModelSteps   = 100_000
)

type modelEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type modelCluster struct {
	draw        func(n int) int
	defects     modelDefects
	now         time.Duration
	eventCount  int
	events      []modelEvent
	nodes       []*modelNode
	requests    []*modelRequest
	attempts    []*modelAttempt
	runs        map[string]int
	arrivals    map[string]int
	answers     map[string]bool
	violations  []string
	replyStates map[string]int
}

func (w *modelCluster) Mono() time.Duration { return w.now }

func (w *modelCluster) Wall() time.Time { return time.Unix(0, int64(w.now)) }

func (w *modelCluster) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// chance draws an event of so many in a hundred.
func (w *modelCluster) chance(percent int) bool { return w.draw(100) >= 100-percent }

var modelDelays = []time.Duration{1, 1, 1, 2, 3, 5, 10, 40, 150, 400}

// delay draws how long a message travels; later ones may overtake it.
func (w *modelCluster) delay() time.Duration {
	return modelDelays[w.draw(len(modelDelays))] * time.Millisecond
}

func (w *modelCluster) after(d time.Duration, do func()) {
	w.eventCount++
	event := modelEvent{w.now + d, w.eventCount, do}
	at, _ := slices.BinarySearchFunc(w.events, event, func(a, b modelEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence))
	})
	w.events = slices.Insert(w.events, at, event)
}

func (w *modelCluster) run() {
	for steps := 0; len(w.events) > 0; steps++ {
		if steps > maxModelSteps {
			w.addViolation("the schedule doesn't come to an end")
			return
		}
		next := w.events[0]
		w.events = w.events[1:]
		w.now = next.at
		next.do()
	}
}

func newModelCluster(draw func(n int) int, defects modelDefects) *modelCluster {
	w := &modelCluster{draw: draw, defects: defects, now: time.Second, runs: map[string]int{}, arrivals: map[string]int{}, answers: map[string]bool{}, replyStates: map[string]int{}}
	for i := range modelUpstreams + draw(3) {
		n := &modelNode{cluster: w, name: fmt.Sprint("node-", i)}
		if i < modelUpstreams {
			n.upstream = &modelUpstream{cluster: w, generation: 1}
		}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	return w
}

// runModel plays one schedule and lists the rules that it broke.
func runModel(draw func(n int) int, defects modelDefects) *modelCluster {
	w := newModelCluster(draw, defects)
	for range 6 + draw(20) {
		w.after(time.Duration(draw(int(modelDuration/time.Millisecond)))*time.Millisecond, w.sendRequest)
	}
	for range draw(5) {
		w.after(time.Duration(draw(int(modelDuration/time.Millisecond)))*time.Millisecond, w.injectFault)
	}
	w.run()
	w.checkRules()
	return w
}

func (w *modelCluster) injectFault() {
	n := w.nodes[w.draw(len(w.nodes))]
	switch w.draw(3) {
	case 0:
		n.kill()
		w.after(w.delay(), n.start)
	case 1:
		n.pause()
		w.after(w.delay()+w.delay(), n.resume)
	default:
		if n.upstream != nil {
			n.upstream.restart()
		}
	}
}

// modelRequest is one try of a client and what it was told.
type modelRequest struct {
	id         string
	once       bool
	origin     *modelNode
	generation int
	until      time.Duration
	ledger     *retry.Ledger
	answered   time.Duration
	status     int
	answer     *forwarding.Answer
	exempt     bool
}

func (w *modelCluster) sendRequest() {
	n := w.nodes[w.draw(len(w.nodes))]
	if !n.running {
		return
	}
	until := w.now + time.Duration(50+w.draw(900))*time.Millisecond
	once := w.draw(2) == 0
	r := &modelRequest{id: fmt.Sprint("r", len(w.requests)), once: once, origin: n, generation: n.generation, until: until}
	r.ledger = &retry.Ledger{Repeatable: !once, Tries: modelTries, Until: until}
	w.requests = append(w.requests, r)
	n.retryBudget.Earn(modelService)
	n.schedule(0, func() { n.advance(r) })
	if !w.defects.deadlineIgnored {
		n.schedule(until-w.now, func() { n.giveUp(r) })
	}
	if w.chance(30) {
		n.schedule(w.delay(), func() { n.hedge(r) })
	}
}

// checkRules holds what clients and upstreams saw against the rules.
func (w *modelCluster) checkRules() {
	retries, total := 0, 0
	for _, r := range w.requests {
		total++
		retries += max(w.arrivals[r.id]-1, 0)
		if r.once && w.runs[r.id] > 1 {
			w.addViolation("%s may not be repeated and ran %d times", r.id, w.runs[r.id])
		}
		if r.once && r.status == http.StatusServiceUnavailable && w.runs[r.id] > 0 {
			w.addViolation("%s was promised not to run and ran", r.id)
		}
		if w.arrivals[r.id] > modelTries {
			w.addViolation("%s came to upstreams %d times", r.id, w.arrivals[r.id])
		}
		w.checkAnswer(r)
		if r.status == 0 && !r.exempt || r.answered > r.until {
			w.addViolation("%s was held past its time", r.id)
		}
	}
	if float64(retries) > modelRetryRatio*float64(total)+modelRetrySlack {
		w.addViolation("%d further arrivals of %d requests", retries, total)
	}
}

func (w *modelCluster) checkAnswer(r *modelRequest) {
	if r.answer == nil {
		return
	}
	key := modelAnswerKey(r.id, r.answer.Status, string(r.answer.Body))
	sealed := r.answer.Header.Get(forwarding.Plain.Seal) != ""
	switch {
	case r.answer.Status == http.StatusOK && !w.answers[key]:
		w.addViolation("%s got %q, which no upstream answered to it", r.id, r.answer.Body)
	case r.answer.Status != http.StatusOK && sealed && !w.answers[key]:
		w.addViolation("%s got a sealed %d that no upstream gave", r.id, r.answer.Status)
	}
}

func modelAnswerKey(id string, status int, body string) string {
	return fmt.Sprint(id, " ", status, " ", body)
}

// countReply counts the replies to questions.
func (w *modelCluster) countReply(reply *wire.AttemptReply) { w.replyStates[reply.State.String()]++ }

// questionMark is a question as a spoilt node would understand it.
func (w *modelCluster) questionMark(n *modelNode, mark attempts.Mark) attempts.Mark {
	current := n.fences.Table.Mark()
	if w.defects.fenceLostOnRestart && mark.Incarnation != current.Incarnation {
		return current
	}
	if w.defects.neverBeganAfterEviction && mark.Incarnation == current.Incarnation {
		return current
	}
	return mark
}

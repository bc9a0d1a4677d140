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

// The model runs the real retry ledger, retry budget, fences and attempt table on a simulated network with simulated
// upstreams and faults. Time is virtual, everything runs in one goroutine, and every choice comes from a draw function.

// modelDefects selects defects to plant in the request path. The checks must detect each of them.
type modelDefects struct {
	fenceLostOnRestart           bool
	neverBeganAfterEviction      bool
	markIgnoredOnArrival         bool
	waitingNotFenced             bool
	identityShared               bool
	idNotCompared                bool
	requestResent                bool
	idleCheckSkipped             bool
	connectionReusedAfterTimeout bool
	notRunAfterDoubt             bool
	hedgeOfOnce                  bool
	sealKeptOnOtherStatus        bool
	withdrawnWithoutReply        bool // a withdrawal without a reply counts as "never began"
	retriesUnpaid                bool
	deadlineIgnored              bool
}

const (
	modelDuration         = 3 * time.Second       // requests and faults begin within this time
	modelLinger           = 60 * time.Millisecond // how long an attempt outlives its connection
	modelEntries          = 8                     // small, so that attempts are evicted
	modelRetryBudgetRatio = 0.2
	modelRetryBudgetSlack = 2
	modelTries            = 2
	modelUpstreams        = 2
	maxModelSteps         = 100_000
)

// modelEvent is a scheduled event. sequence orders events at the same time.
type modelEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

// modelCluster is one run of the model. It records what upstreams and clients saw, and the rules that were violated.
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

func (m *modelCluster) Mono() time.Duration { return m.now }

func (m *modelCluster) Wall() time.Time { return time.Unix(0, int64(m.now)) }

func (m *modelCluster) addViolation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// chance draws whether an event of the given probability, in percent, happens.
func (m *modelCluster) chance(percent int) bool { return m.draw(100) >= 100-percent }

var modelDelays = []time.Duration{1, 1, 1, 2, 3, 5, 10, 40, 150, 400}

// delay draws the travel time of a message. Messages can overtake each other.
func (m *modelCluster) delay() time.Duration {
	return modelDelays[m.draw(len(modelDelays))] * time.Millisecond
}

// after schedules do for a later time. Events at the same time run in the order in which they were scheduled.
func (m *modelCluster) after(d time.Duration, do func()) {
	m.eventCount++
	event := modelEvent{m.now + d, m.eventCount, do}
	at, _ := slices.BinarySearchFunc(m.events, event, func(a, b modelEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence))
	})
	m.events = slices.Insert(m.events, at, event)
}

// run executes events until none is left.
func (m *modelCluster) run() {
	for steps := 0; len(m.events) > 0; steps++ {
		if steps > maxModelSteps {
			m.addViolation("the schedule doesn't come to an end")
			return
		}
		next := m.events[0]
		m.events = m.events[1:]
		m.now = next.at
		next.do()
	}
}

func newModelCluster(draw func(n int) int, defects modelDefects) *modelCluster {
	m := &modelCluster{draw: draw, defects: defects, now: time.Second, runs: map[string]int{}, arrivals: map[string]int{}, answers: map[string]bool{}, replyStates: map[string]int{}}
	for i := range modelUpstreams + draw(3) {
		n := &modelNode{cluster: m, name: fmt.Sprint("node-", i)}
		if i < modelUpstreams {
			n.upstream = &modelUpstream{cluster: m, generation: 1}
		}
		m.nodes = append(m.nodes, n)
		n.start()
	}
	return m
}

// runModel runs one schedule and checks the rules at its end.
func runModel(draw func(n int) int, defects modelDefects) *modelCluster {
	m := newModelCluster(draw, defects)
	for range 6 + draw(20) {
		m.after(time.Duration(draw(int(modelDuration/time.Millisecond)))*time.Millisecond, m.sendRequest)
	}
	for range draw(5) {
		m.after(time.Duration(draw(int(modelDuration/time.Millisecond)))*time.Millisecond, m.injectFault)
	}
	m.run()
	m.checkRules()
	return m
}

// injectFault kills or pauses a node, or restarts an upstream.
func (m *modelCluster) injectFault() {
	n := m.nodes[m.draw(len(m.nodes))]
	switch m.draw(3) {
	case 0:
		n.kill()
		m.after(m.delay(), n.start)
	case 1:
		n.pause()
		m.after(m.delay()+m.delay(), n.resume)
	default:
		if n.upstream != nil {
			n.upstream.restart()
		}
	}
}

// modelRequest is a client request and the answer that it got. An exempt request needs no answer, because its node
// was killed or paused.
type modelRequest struct {
	id         string
	once       bool
	origin     *modelNode
	generation int
	deadline   time.Duration
	ledger     *retry.Ledger
	answeredAt time.Duration
	status     int
	answer     *forwarding.Response
	exempt     bool
}

// sendRequest starts a client request at a drawn node.
func (m *modelCluster) sendRequest() {
	n := m.nodes[m.draw(len(m.nodes))]
	if !n.running {
		return
	}
	until := m.now + time.Duration(50+m.draw(900))*time.Millisecond
	once := m.draw(2) == 0
	r := &modelRequest{id: fmt.Sprint("r", len(m.requests)), once: once, origin: n, generation: n.generation, deadline: until}
	r.ledger = &retry.Ledger{Repeatable: !once, MaxTries: modelTries, Deadline: until}
	m.requests = append(m.requests, r)
	n.retryBudget.Earn(modelService)
	n.schedule(0, func() { n.advance(r) })
	if !m.defects.deadlineIgnored {
		n.schedule(until-m.now, func() { n.giveUp(r) })
	}
	if m.chance(30) {
		n.schedule(m.delay(), func() { n.hedge(r) })
	}
}

// checkRules checks what clients and upstreams saw. A request that may run once runs at most once, and not at all if
// its client got a 503. No request reaches upstreams too often, answers come from upstreams and in time, and retries
// stay within the budget.
func (m *modelCluster) checkRules() {
	retries, total := 0, 0
	for _, r := range m.requests {
		total++
		retries += max(m.arrivals[r.id]-1, 0)
		if r.once && m.runs[r.id] > 1 {
			m.addViolation("%s may not be repeated and ran %d times", r.id, m.runs[r.id])
		}
		if r.once && r.status == http.StatusServiceUnavailable && m.runs[r.id] > 0 {
			m.addViolation("%s was promised not to run and ran", r.id)
		}
		if m.arrivals[r.id] > modelTries {
			m.addViolation("%s came to upstreams %d times", r.id, m.arrivals[r.id])
		}
		m.checkAnswer(r)
		if r.status == 0 && !r.exempt || r.answeredAt > r.deadline {
			m.addViolation("%s was held past its time", r.id)
		}
	}
	if float64(retries) > modelRetryBudgetRatio*float64(total)+modelRetryBudgetSlack {
		m.addViolation("%d further arrivals of %d requests", retries, total)
	}
}

// checkAnswer checks that an upstream gave the answer if its status is 200 or it is sealed.
func (m *modelCluster) checkAnswer(r *modelRequest) {
	if r.answer == nil {
		return
	}
	key := modelAnswerKey(r.id, r.answer.Status, string(r.answer.Body))
	sealed := r.answer.Header.Get(forwarding.DefaultHeaderNames.Seal) != ""
	switch {
	case r.answer.Status == http.StatusOK && !m.answers[key]:
		m.addViolation("%s got %q, which no upstream answered to it", r.id, r.answer.Body)
	case r.answer.Status != http.StatusOK && sealed && !m.answers[key]:
		m.addViolation("%s got a sealed %d that no upstream gave", r.id, r.answer.Status)
	}
}

// modelAnswerKey returns the key of an answer in modelCluster.answers.
func modelAnswerKey(id string, status int, body string) string {
	return fmt.Sprint(id, " ", status, " ", body)
}

// countReply counts the replies to questions by state.
func (m *modelCluster) countReply(reply *wire.AttemptReply) { m.replyStates[reply.State.String()]++ }

// questionMark returns the mark of a question as the node takes it: the current mark where a planted defect makes it
// ignore a restart or an eviction.
func (m *modelCluster) questionMark(n *modelNode, mark attempts.Mark) attempts.Mark {
	current := n.fences.Table.CurrentMark()
	if m.defects.fenceLostOnRestart && mark.Incarnation != current.Incarnation {
		return current
	}
	if m.defects.neverBeganAfterEviction && mark.Incarnation == current.Incarnation {
		return current
	}
	return mark
}

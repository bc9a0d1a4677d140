package dataplane

import (
	"fmt"
	"net/http"
	"time"

	"curlewreach/base"
	"curlewreach/internal/attempts"
	"curlewreach/internal/dataplane/fencing"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/dataplane/retry"
	"curlewreach/proto/wire"
)

const modelService = "books"

// modelNode is a node of the model. It makes the real decisions, and can be killed and paused.
type modelNode struct {
	cluster     *modelCluster
	name        string
	upstream    *modelUpstream
	generation  int
	running     bool
	paused      bool
	deferred    []func() // events that came due while the node was paused
	retryBudget *retry.Budget
	fences      *fencing.Fences
}

// start starts a new incarnation of the node, with an empty attempt table.
func (n *modelNode) start() {
	if n.running {
		return
	}
	m := n.cluster
	n.generation++
	n.running = true
	n.retryBudget = retry.NewBudget(m, modelRetryBudgetRatio, modelRetryBudgetSlack, time.Hour, func() int { return len(m.nodes) })
	n.fences = fencing.NewWithTable(n.incarnation(), attempts.NewTable(n.incarnation(), m.Mono, attempts.Bounds{
		Entries: modelEntries, Age: time.Minute, AnswerBytes: 1 << 10, LargestAnswer: 1 << 10, AnswerAge: 300 * time.Millisecond,
	}))
}

func (n *modelNode) incarnation() string { return fmt.Sprint(n.name, "/", n.generation) }

// kill ends the incarnation: connections to the node break, and its requests are exempt from the rules.
func (n *modelNode) kill() {
	if !n.running {
		return
	}
	n.running, n.paused, n.deferred = false, false, nil
	for _, a := range n.cluster.attempts {
		if a.to == n && a.generation == n.generation {
			a.from.schedule(n.cluster.delay(), a.connectionFails)
		}
	}
	for _, r := range n.cluster.requests {
		if r.origin == n && r.status == 0 {
			r.exempt = true
		}
	}
	if n.upstream != nil {
		for _, c := range n.upstream.conns {
			c.ended, c.reader = true, nil
		}
		n.upstream.conns = nil
	}
}

func (n *modelNode) pause() { n.paused = n.running }

func (n *modelNode) resume() {
	deferred := n.deferred
	n.paused, n.deferred = false, nil
	for _, do := range deferred {
		do()
	}
}

// schedule runs do later, if this incarnation of the node is still running. While the node is paused, do is deferred
// until it resumes.
func (n *modelNode) schedule(d time.Duration, do func()) {
	generation := n.generation
	var run func()
	run = func() {
		switch {
		case !n.running || n.generation != generation:
		case n.paused:
			for _, r := range n.cluster.requests {
				r.exempt = r.exempt || r.origin == n
			}
			n.deferred = append(n.deferred, run)
		default:
			do()
		}
	}
	n.cluster.after(d, run)
}

// advance takes the steps that the ledger decides on until it has to wait or the request is answered.
func (n *modelNode) advance(r *modelRequest) {
	for r.status == 0 {
		switch r.ledger.Next(n.cluster.now) {
		case retry.Await:
			return
		case retry.Relay:
			best := r.ledger.Answered()
			if best == nil {
				best = r.ledger.Failed()
			}
			n.relay(r, best.Response)
		case retry.GiveUp:
			n.giveUp(r)
		case retry.Send:
			n.startNext(r)
		}
	}
}

// startNext starts the ledger's next attempt. If no node is left to try or the retry budget is exhausted, it answers the
// client instead.
func (n *modelNode) startNext(r *modelRequest) {
	repeat := r.ledger.UpstreamAttempts() > 0
	to := n.selectNode(r)
	if to == nil || repeat && !n.spendRetry() {
		if failed := r.ledger.Failed(); failed != nil {
			n.relay(r, failed.Response)
			return
		}
		n.giveUp(r)
		return
	}
	n.startAttempt(r, to)
}

func (n *modelNode) spendRetry() bool {
	return n.cluster.defects.retriesUnpaid || n.retryBudget.Spend(modelService)
}

// selectNode draws a node with an upstream that the request has not tried, or returns nil.
func (n *modelNode) selectNode(r *modelRequest) *modelNode {
	first := n.cluster.draw(modelUpstreams)
	for i := range modelUpstreams {
		to := n.cluster.nodes[(first+i)%modelUpstreams]
		if !r.ledger.Tried(to.name) {
			return to
		}
	}
	return nil
}

// hedge starts a second attempt while the first one runs, if the ledger and the retry budget allow it.
func (n *modelNode) hedge(r *modelRequest) {
	allowed := r.ledger.MayHedge()
	if n.cluster.defects.hedgeOfOnce {
		allowed = r.ledger.Running() == 1
	}
	if to := n.selectNode(r); r.status == 0 && allowed && to != nil && n.spendRetry() {
		n.startAttempt(r, to)
	}
}

// giveUp answers 502 if the request may have run, and 503 otherwise.
func (n *modelNode) giveUp(r *modelRequest) {
	mayHaveRun := r.ledger.MayHaveRun() && !n.cluster.defects.notRunAfterDoubt
	if mayHaveRun {
		n.answerClient(r, http.StatusBadGateway, nil)
		return
	}
	n.answerClient(r, http.StatusServiceUnavailable, nil)
}

// relay sends an upstream's answer unchanged, or an error of the node if the request must not be repeated and the
// answer's status would claim that it did not run.
func (n *modelNode) relay(r *modelRequest, a *forwarding.Response) {
	switch {
	case forwarding.MayRelay(a, r.ledger.Repeatable):
		n.answerClient(r, a.Status, a)
	case n.cluster.defects.sealKeptOnOtherStatus:
		n.answerClient(r, http.StatusBadGateway, &forwarding.Response{Status: http.StatusBadGateway, Header: a.Header, Body: a.Body})
	default:
		n.answerClient(r, http.StatusBadGateway, nil)
	}
}

// answerClient records the first answer to a request.
func (n *modelNode) answerClient(r *modelRequest, status int, a *forwarding.Response) {
	if r.status == 0 {
		r.status, r.answeredAt, r.answer = status, n.cluster.now, a
		if r.exempt {
			r.answeredAt = 0
		}
	}
}

// startAttempt starts an attempt and advances the request when it has an outcome.
func (n *modelNode) startAttempt(r *modelRequest, to *modelNode) {
	entry := &retry.Attempt{Node: to.name, StartedAt: n.cluster.now}
	r.ledger.Attempts = append(r.ledger.Attempts, entry)
	settle := func(o forwarding.Outcome) {
		if entry.State != forwarding.Running {
			return
		}
		entry.State, entry.Kind, entry.ReachedUpstream, entry.RetryAfter, entry.Response = o.State, o.Kind, o.ReachedUpstream, o.RetryAfter, o.Response
		n.advance(r)
	}
	if to == n {
		n.deliver(r.id, attempts.Reference{}, r.deadline, settle)
		return
	}
	if !to.running {
		settle(forwarding.NotRunOutcome(base.NewFault(base.Unreachable, "", "the node is not running")))
		return
	}
	attempt := &modelAttempt{from: n, to: to, generation: to.generation, request: r, settle: settle}
	if r.once || !n.retryBudget.CanSpend(modelService) {
		attempt.ref = n.fences.NewReference(to.name, func(string) string { return to.incarnation() })
		if n.cluster.defects.identityShared {
			attempt.ref.ID = "shared"
		}
	}
	n.cluster.attempts = append(n.cluster.attempts, attempt)
	attempt.send()
	if n.cluster.chance(20) {
		n.schedule(n.cluster.delay()+n.cluster.delay(), attempt.withdraw)
	}
}

// deliver passes a request to the upstream beside this node. stop abandons it.
func (n *modelNode) deliver(id string, ref attempts.Reference, until time.Duration, done func(forwarding.Outcome)) (stop func()) {
	stopped, stopExchange := false, func() {}
	n.schedule(n.cluster.delay(), func() {
		left := until - n.cluster.now
		switch {
		case stopped || left <= 0:
			done(forwarding.NotRunOutcome(base.NewFault(base.Expired, "", "no time was left after the wait in the queue")))
		case !ref.Begin() && !n.cluster.defects.waitingNotFenced:
			done(forwarding.NotRunOutcome(base.NewFault(base.Fenced, "", "the attempt was fenced before it began")))
		default:
			generation := n.generation
			stopExchange = n.upstream.exchange(id, left, func(o forwarding.Outcome) {
				if n.running && n.generation == generation {
					n.schedule(0, func() { done(o) })
				}
			})
		}
	})
	return func() {
		stopped = true
		stopExchange()
	}
}

// modelAttempt is an attempt on a connection between two nodes.
type modelAttempt struct {
	from, to   *modelNode
	generation int
	request    *modelRequest
	ref        attempts.Reference
	settle     func(forwarding.Outcome)
	stop       func()
	broken     bool
	done       bool
}

// send sends the request. The connection may fail before or after the request arrives.
func (a *modelAttempt) send() {
	m := a.from.cluster
	header := http.Header{}
	fencing.SetAttemptHeader(a.ref, header)
	if m.chance(25) {
		a.from.schedule(m.delay(), a.connectionFails)
	}
	if m.chance(15) {
		a.from.schedule(m.delay(), a.connectionFails)
		return
	}
	m.after(m.delay(), func() {
		if !a.to.running || a.to.generation != a.generation {
			a.from.schedule(m.delay(), a.connectionFails)
			return
		}
		a.to.schedule(0, func() { a.arrive(header.Get(forwarding.AttemptHeader)) })
	})
}

// arrive handles the complete request at the peer. text is its attempt header.
func (a *modelAttempt) arrive(text string) {
	n, m := a.to, a.to.cluster
	if m.defects.markIgnoredOnArrival && text != "" {
		text = string(a.ref.ID) + ";" + n.fences.Table.CurrentMark().String()
	}
	ref, refusal := n.fences.Accept(text)
	if refusal != nil {
		a.reply(*refusal)
		return
	}
	a.stop = n.deliver(a.request.id, ref, a.request.deadline, func(o forwarding.Outcome) {
		fencing.Finish(ref, o)
		a.done = true
		a.reply(o)
	})
	if a.broken {
		a.finishUnlessWanted(ref)
		return
	}
	a.ref.Entry = ref.Entry
}

// reply sends the outcome back, unless the connection fails.
func (a *modelAttempt) reply(o forwarding.Outcome) {
	m := a.to.cluster
	mark := a.to.fences.Table.CurrentMark()
	if m.chance(15) {
		a.from.schedule(m.delay(), a.connectionFails)
		return
	}
	a.from.schedule(m.delay(), func() {
		if a.broken {
			return
		}
		a.from.fences.Learn(a.to.name, mark)
		a.broken = true
		a.settle(o)
	})
}

// connectionFails is called when the sender sees the connection break. The peer may see it later.
func (a *modelAttempt) connectionFails() {
	if a.broken {
		return
	}
	a.broken = true
	a.to.schedule(a.from.cluster.delay(), func() { a.finishUnlessWanted(a.ref) })
	a.resolve(3)
}

// withdraw asks the peer to fence the attempt while its connection is intact, as a stopping node does. Only the reply
// that it never began changes anything.
func (a *modelAttempt) withdraw() {
	if a.broken || !a.ref.Mark.IsSet() {
		return
	}
	a.sendQuestion(0, func(reply *wire.AttemptReply) {
		neverBegan := reply.GetState() == wire.AttemptState_ATTEMPT_NEVER_BEGAN
		if reply == nil && a.from.cluster.defects.withdrawnWithoutReply {
			neverBegan = true
		}
		if a.broken || !neverBegan {
			return
		}
		a.broken = true
		a.to.schedule(a.from.cluster.delay(), func() { a.finishUnlessWanted(a.ref) })
		a.settle(forwarding.NotRunOutcome(base.NewFault(base.Fenced, "", "the attempt was withdrawn before it began")))
	})
}

// finishUnlessWanted abandons the attempt at the peer unless the sender has asked for its result.
func (a *modelAttempt) finishUnlessWanted(ref attempts.Reference) {
	if a.stop == nil || a.done {
		return
	}
	if ref.Entry != nil && ref.Entry.Withdraw() {
		a.stop()
		return
	}
	a.to.schedule(modelLinger, func() {
		if ref.Entry != nil && ref.Entry.HasRecentInterest(modelLinger) {
			a.finishUnlessWanted(ref)
			return
		}
		a.stop()
	})
}

// resolve asks the peer about the attempt on a new connection, in at most the given number of rounds.
func (a *modelAttempt) resolve(rounds int) {
	doubtful := forwarding.IndeterminateOutcome(base.ResponseLost, "the connection broke")
	m, n := a.from.cluster, a.from
	if a.ref.ID == "" || !a.ref.Mark.IsSet() || rounds == 0 || !a.to.running {
		a.settle(doubtful)
		return
	}
	giveUp := time.Duration(fencing.QueryTimeRatio * float64(a.request.deadline-m.now))
	replied := false
	n.schedule(giveUp, func() {
		if !replied {
			replied = true
			a.settle(doubtful)
		}
	})
	a.sendQuestion(0, func(reply *wire.AttemptReply) {
		if replied {
			return
		}
		replied = true
		switch {
		case reply == nil:
			a.resolve(rounds - 1)
		case reply.State == wire.AttemptState_ATTEMPT_AT_WORK:
			a.fetch()
		default:
			a.settle(a.outcomeOf(reply))
		}
	})
}

// fetch waits for the answer of an attempt that is still running at the peer.
func (a *modelAttempt) fetch() {
	a.sendQuestion(a.request.deadline-a.from.cluster.now, func(reply *wire.AttemptReply) {
		if reply == nil {
			a.settle(forwarding.IndeterminateOutcome(base.ResponseLost, "the answer could not be fetched"))
			return
		}
		a.settle(a.outcomeOf(reply))
	})
}

// outcomeOf returns the outcome that a reply to a question shows, unless its answer belongs to another request.
func (a *modelAttempt) outcomeOf(reply *wire.AttemptReply) forwarding.Outcome {
	own := func(answer *forwarding.Response) bool {
		return a.from.cluster.defects.identityShared || answer.Header.Get(forwarding.DefaultHeaderNames.RequestID) == a.request.id
	}
	return fencing.OutcomeFromReply(reply, own, forwarding.IndeterminateOutcome(base.ResponseLost, "the connection broke"))
}

// sendQuestion sends a question to whichever incarnation of the peer is running and calls done with the reply, nil
// if either is lost.
func (a *modelAttempt) sendQuestion(wait time.Duration, done func(*wire.AttemptReply)) {
	m, to := a.from.cluster, a.to
	lost := func() { a.from.schedule(m.delay(), func() { done(nil) }) }
	if m.chance(15) {
		lost()
		return
	}
	m.after(m.delay(), func() {
		if !to.running {
			lost()
			return
		}
		to.schedule(0, func() { a.receiveQuestion(wait, lost, done) })
	})
}

// receiveQuestion handles a question at the peer. If the attempt is still running, the reply waits for its end, for
// up to wait.
func (a *modelAttempt) receiveQuestion(wait time.Duration, lost func(), done func(*wire.AttemptReply)) {
	m, table := a.to.cluster, a.to.fences.Table
	mark := m.questionMark(a.to, a.ref.Mark)
	_, entry := table.Resolve(a.ref.ID, mark)
	answer := func() {
		reply, _ := table.Resolve(a.ref.ID, mark)
		m.countReply(reply)
		if m.chance(15) {
			lost()
			return
		}
		a.from.schedule(m.delay(), func() { done(reply) })
	}
	if entry == nil || wait <= 0 {
		answer()
		return
	}
	ended, leave := entry.Watch()
	a.awaitEnd(ended, m.now+wait, func() {
		leave()
		answer()
	})
}

// awaitEnd polls until the attempt has ended or the time is over, then calls then.
func (a *modelAttempt) awaitEnd(ended <-chan struct{}, until time.Duration, then func()) {
	select {
	case <-ended:
		then()
		return
	default:
	}
	if a.to.cluster.now >= until {
		then()
		return
	}
	a.to.schedule(5*time.Millisecond, func() { a.awaitEnd(ended, until, then) })
}

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

// modelNode is a node of the model: the product's decisions, and a process that can be killed and frozen.
type modelNode struct {
	cluster     *modelCluster
	name        string
	upstream    *modelUpstream
	generation  int
	running     bool
	paused      bool
	deferred    []func()
	retryBudget *retry.Budget
	fences      *fencing.Fences
}

func (n *modelNode) start() {
	if n.running {
		return
	}
	w := n.cluster
	n.generation++
	n.running = true
	n.retryBudget = retry.NewBudget(w, modelRetryRatio, modelRetrySlack, time.Hour, func() int { return len(w.nodes) })
	n.fences = fencing.WithTable(n.incarnation(), attempts.NewTable(n.incarnation(), w.Mono, attempts.Bounds{
		Entries: modelEntries, Age: time.Minute, AnswerBytes: 1 << 10, LargestAnswer: 1 << 10, AnswerAge: 300 * time.Millisecond,
	}))
}

func (n *modelNode) incarnation() string { return fmt.Sprint(n.name, "/", n.generation) }

func (n *modelNode) kill() {
	if !n.running {
		return
	}
	n.running, n.paused, n.deferred = false, false, nil
	for _, h := range n.cluster.attempts {
		if h.to == n && h.generation == n.generation {
			h.from.schedule(n.cluster.delay(), h.connectionFails)
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

// schedule does something later in this life of the node, after a thaw if it is frozen by then.
func (n *modelNode) schedule(d time.Duration, do func()) {
	life := n.generation
	var run func()
	run = func() {
		switch {
		case !n.running || n.generation != life:
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

// advance takes the next move that the ledger asks for.
func (n *modelNode) advance(r *modelRequest) {
	for r.status == 0 {
		switch r.ledger.Next(n.cluster.now) {
		case retry.Await:
			return
		case retry.Relay:
			best := r.ledger.Best()
			if best == nil {
				best = r.ledger.Failed()
			}
			n.relay(r, best.Answer)
		case retry.GiveUp:
			n.giveUp(r)
		case retry.Send:
			n.startNext(r)
		}
	}
}

func (n *modelNode) startNext(r *modelRequest) {
	repeat := r.ledger.Arrivals() > 0
	to := n.selectNode(r)
	if to == nil || repeat && !n.spendRetry() {
		if failed := r.ledger.Failed(); failed != nil {
			n.relay(r, failed.Answer)
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

func (n *modelNode) hedge(r *modelRequest) {
	allowed := r.ledger.MayHedge()
	if n.cluster.defects.hedgeOfOnce {
		allowed = r.ledger.Running() == 1
	}
	if to := n.selectNode(r); r.status == 0 && allowed && to != nil && n.spendRetry() {
		n.startAttempt(r, to)
	}
}

func (n *modelNode) giveUp(r *modelRequest) {
	mayHaveRun := r.ledger.Doubtful() && !n.cluster.defects.notRunAfterDoubt
	if mayHaveRun {
		n.answerClient(r, http.StatusBadGateway, nil)
		return
	}
	n.answerClient(r, http.StatusServiceUnavailable, nil)
}

// relay sends an upstream's answer back as it is, or where its status would promise too much one of the node's own.
func (n *modelNode) relay(r *modelRequest, a *forwarding.Answer) {
	switch {
	case forwarding.MayPass(a, r.ledger.Repeatable):
		n.answerClient(r, a.Status, a)
	case n.cluster.defects.sealKeptOnOtherStatus:
		n.answerClient(r, http.StatusBadGateway, &forwarding.Answer{Status: http.StatusBadGateway, Header: a.Header, Body: a.Body})
	default:
		n.answerClient(r, http.StatusBadGateway, nil)
	}
}

func (n *modelNode) answerClient(r *modelRequest, status int, a *forwarding.Answer) {
	if r.status == 0 {
		r.status, r.answered, r.answer = status, n.cluster.now, a
		if r.exempt {
			r.answered = 0
		}
	}
}

// startAttempt sends one attempt on its way and moves on once it is settled.
func (n *modelNode) startAttempt(r *modelRequest, to *modelNode) {
	attempt := &retry.Attempt{Node: to.name, Began: n.cluster.now}
	r.ledger.Attempts = append(r.ledger.Attempts, attempt)
	settle := func(o forwarding.Outcome) {
		if attempt.State != forwarding.Running {
			return
		}
		attempt.State, attempt.Kind, attempt.Arrived, attempt.After, attempt.Answer = o.State, o.Kind, o.Arrived, o.After, o.Answer
		n.advance(r)
	}
	if to == n {
		n.deliver(r.id, attempts.Reference{}, r.until, settle)
		return
	}
	if !to.running {
		settle(forwarding.NotRunBy(base.NewFault(base.Unreachable, "", "nobody listens")))
		return
	}
	hop := &modelAttempt{from: n, to: to, generation: to.generation, request: r, settle: settle}
	if r.once || !n.retryBudget.Pays(modelService) {
		hop.ref = n.fences.Start(to.name, func(string) string { return to.incarnation() })
		if n.cluster.defects.identityShared {
			hop.ref.ID = "shared"
		}
	}
	n.cluster.attempts = append(n.cluster.attempts, hop)
	hop.send()
}

// deliver passes a request to the upstream beside this node.
func (n *modelNode) deliver(id string, ref attempts.Reference, until time.Duration, done func(forwarding.Outcome)) (stop func()) {
	stopped, stopExchange := false, func() {}
	n.schedule(n.cluster.delay(), func() {
		left := until - n.cluster.now
		switch {
		case stopped || left <= 0:
			done(forwarding.NotRunBy(base.NewFault(base.Expired, "", "no time was left at the turn")))
		case !ref.Begin() && !n.cluster.defects.waitingNotFenced:
			done(forwarding.NotRunBy(base.NewFault(base.Fenced, "", "declared never to begin")))
		default:
			life := n.generation
			stopExchange = n.upstream.exchange(id, left, func(o forwarding.Outcome) {
				if n.running && n.generation == life {
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

// modelAttempt is one attempt on a connection between two nodes.
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

func (h *modelAttempt) send() {
	w := h.from.cluster
	header := http.Header{}
	fencing.SendAttempt(h.ref, header)
	if w.chance(25) {
		h.from.schedule(w.delay(), h.connectionFails)
	}
	if w.chance(15) {
		h.from.schedule(w.delay(), h.connectionFails)
		return
	}
	w.after(w.delay(), func() {
		if !h.to.running || h.to.generation != h.generation {
			h.from.schedule(w.delay(), h.connectionFails)
			return
		}
		h.to.schedule(0, func() { h.arrive(header.Get(forwarding.AttemptHeader)) })
	})
}

// arrive is the request read whole by the node beside the upstream.
func (h *modelAttempt) arrive(text string) {
	n, w := h.to, h.to.cluster
	if w.defects.markIgnoredOnArrival && text != "" {
		text = string(h.ref.ID) + ";" + n.fences.Table.Mark().String()
	}
	ref, refusal := n.fences.Accept(text)
	if refusal != nil {
		h.reply(*refusal)
		return
	}
	h.stop = n.deliver(h.request.id, ref, h.request.until, func(o forwarding.Outcome) {
		fencing.Finish(ref, o)
		h.done = true
		h.reply(o)
	})
	if h.broken {
		h.finishUnlessWanted(ref)
		return
	}
	h.ref.Entry = ref.Entry
}

func (h *modelAttempt) reply(o forwarding.Outcome) {
	w := h.to.cluster
	mark := h.to.fences.Table.Mark()
	if w.chance(15) {
		h.from.schedule(w.delay(), h.connectionFails)
		return
	}
	h.from.schedule(w.delay(), func() {
		if h.broken {
			return
		}
		h.from.fences.Learn(h.to.name, mark)
		h.broken = true
		h.settle(o)
	})
}

// connectionFails is the connection seen broken by the sender; the other side may see it later.
func (h *modelAttempt) connectionFails() {
	if h.broken {
		return
	}
	h.broken = true
	h.to.schedule(h.from.cluster.delay(), func() { h.finishUnlessWanted(h.ref) })
	h.resolve(3)
}

// finishUnlessWanted breaks the attempt's work off unless somebody asks for it.
func (h *modelAttempt) finishUnlessWanted(ref attempts.Reference) {
	if h.stop == nil || h.done {
		return
	}
	if ref.Entry != nil && ref.Entry.Withdraw() {
		h.stop()
		return
	}
	h.to.schedule(modelLinger, func() {
		if ref.Entry != nil && ref.Entry.Wanted(modelLinger) {
			h.finishUnlessWanted(ref)
			return
		}
		h.stop()
	})
}

// resolve asks about the attempt on a fresh connection.
func (h *modelAttempt) resolve(rounds int) {
	doubtful := forwarding.Doubt(base.Lost, "the connection broke")
	w, n := h.from.cluster, h.from
	if h.ref.ID == "" || !h.ref.Mark.Known() || rounds == 0 || !h.to.running {
		h.settle(doubtful)
		return
	}
	giveUp := time.Duration(fencing.QuestionPart * float64(h.request.until-w.now))
	replied := false
	n.schedule(giveUp, func() {
		if !replied {
			replied = true
			h.settle(doubtful)
		}
	})
	h.sendQuestion(0, func(reply *wire.AttemptReply) {
		if replied {
			return
		}
		replied = true
		switch {
		case reply == nil:
			h.resolve(rounds - 1)
		case reply.State == wire.AttemptState_ATTEMPT_AT_WORK:
			h.fetch()
		default:
			h.settle(h.outcomeOf(reply))
		}
	})
}

func (h *modelAttempt) fetch() {
	h.sendQuestion(h.request.until-h.from.cluster.now, func(reply *wire.AttemptReply) {
		if reply == nil {
			h.settle(forwarding.Doubt(base.Lost, "the answer could not be fetched"))
			return
		}
		h.settle(h.outcomeOf(reply))
	})
}

func (h *modelAttempt) outcomeOf(reply *wire.AttemptReply) forwarding.Outcome {
	own := func(a *forwarding.Answer) bool {
		return h.from.cluster.defects.identityShared || a.Header.Get(forwarding.Plain.Attempt) == h.request.id
	}
	return fencing.OutcomeOf(reply, own, forwarding.Doubt(base.Lost, "the connection broke"))
}

// sendQuestion carries one question to whichever life of the node listens, and its reply back; nil where either is lost.
func (h *modelAttempt) sendQuestion(wait time.Duration, done func(*wire.AttemptReply)) {
	w, to := h.from.cluster, h.to
	lost := func() { h.from.schedule(w.delay(), func() { done(nil) }) }
	if w.chance(15) {
		lost()
		return
	}
	w.after(w.delay(), func() {
		if !to.running {
			lost()
			return
		}
		to.schedule(0, func() { h.receiveQuestion(wait, lost, done) })
	})
}

// receiveQuestion is a question at the node beside the upstream; one about work is answered at its end, if it may wait.
func (h *modelAttempt) receiveQuestion(wait time.Duration, lost func(), done func(*wire.AttemptReply)) {
	w, table := h.to.cluster, h.to.fences.Table
	mark := w.questionMark(h.to, h.ref.Mark)
	_, entry := table.Ask(h.ref.ID, mark)
	answer := func() {
		reply, _ := table.Ask(h.ref.ID, mark)
		w.countReply(reply)
		if w.chance(15) {
			lost()
			return
		}
		h.from.schedule(w.delay(), func() { done(reply) })
	}
	if entry == nil || wait <= 0 {
		answer()
		return
	}
	ended, leave := entry.Watch()
	h.awaitEnd(ended, w.now+wait, func() {
		leave()
		answer()
	})
}

// awaitEnd looks until an attempt has ended or the time is over.
func (h *modelAttempt) awaitEnd(ended <-chan struct{}, until time.Duration, then func()) {
	select {
	case <-ended:
		then()
		return
	default:
	}
	if h.to.cluster.now >= until {
		then()
		return
	}
	h.to.schedule(5*time.Millisecond, func() { h.awaitEnd(ended, until, then) })
}

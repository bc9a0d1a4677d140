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
	world       *modelWorld
	name        string
	upstream    *modelUpstream
	life        int
	up          bool
	frozen      bool
	held        []func()
	retryBudget *retry.Budget
	fences      *fencing.Fences
}

func (n *modelNode) raise() {
	if n.up {
		return
	}
	w := n.world
	n.life++
	n.up = true
	n.retryBudget = retry.NewBudget(w, modelRatio, modelSlack, time.Hour, func() int { return len(w.nodes) })
	n.fences = fencing.NewWithTable(n.incarnation(), attempts.NewTable(n.incarnation(), w.Mono, attempts.Bounds{
		Entries: modelEntries, Age: time.Minute, AnswerBytes: 1 << 10, LargestAnswer: 1 << 10, AnswerAge: 300 * time.Millisecond,
	}))
}

func (n *modelNode) incarnation() string { return fmt.Sprint(n.name, "/", n.life) }

func (n *modelNode) kill() {
	if !n.up {
		return
	}
	n.up, n.frozen, n.held = false, false, nil
	for _, h := range n.world.hops {
		if h.to == n && h.life == n.life {
			h.from.then(n.world.delay(), h.breaks)
		}
	}
	for _, r := range n.world.requests {
		if r.origin == n && r.status == 0 {
			r.excused = true
		}
	}
	if n.upstream != nil {
		for _, c := range n.upstream.conns {
			c.ended, c.reader = true, nil
		}
		n.upstream.conns = nil
	}
}

func (n *modelNode) freeze() { n.frozen = n.up }

func (n *modelNode) thaw() {
	held := n.held
	n.frozen, n.held = false, nil
	for _, do := range held {
		do()
	}
}

// then does something later in this life of the node, after a thaw if it is frozen by then.
func (n *modelNode) then(d time.Duration, do func()) {
	life := n.life
	var now func()
	now = func() {
		switch {
		case !n.up || n.life != life:
		case n.frozen:
			for _, r := range n.world.requests {
				r.excused = r.excused || r.origin == n
			}
			n.held = append(n.held, now)
		default:
			do()
		}
	}
	n.world.after(d, now)
}

// advance takes the next move that the ledger asks for.
func (n *modelNode) advance(r *modelRequest) {
	for r.status == 0 {
		switch r.ledger.Next(n.world.now) {
		case retry.Await:
			return
		case retry.Relay:
			best := r.ledger.Answered()
			if best == nil {
				best = r.ledger.Failed()
			}
			n.pass(r, best.Response)
		case retry.GiveUp:
			n.giveUp(r)
		case retry.Send:
			n.try(r)
		}
	}
}

func (n *modelNode) try(r *modelRequest) {
	repeat := r.ledger.UpstreamAttempts() > 0
	to := n.choose(r)
	if to == nil || repeat && !n.pay() {
		if failed := r.ledger.Failed(); failed != nil {
			n.pass(r, failed.Response)
			return
		}
		n.giveUp(r)
		return
	}
	n.start(r, to)
}

func (n *modelNode) pay() bool {
	return n.world.spoilt.repeatsUnpaid || n.retryBudget.Spend(modelService)
}

func (n *modelNode) choose(r *modelRequest) *modelNode {
	first := n.world.draw(modelUpstreams)
	for i := range modelUpstreams {
		to := n.world.nodes[(first+i)%modelUpstreams]
		if !r.ledger.Tried(to.name) {
			return to
		}
	}
	return nil
}

func (n *modelNode) hedge(r *modelRequest) {
	allowed := r.ledger.MayHedge()
	if n.world.spoilt.hedgeOfLoan {
		allowed = r.ledger.Running() == 1
	}
	if to := n.choose(r); r.status == 0 && allowed && to != nil && n.pay() {
		n.start(r, to)
	}
}

func (n *modelNode) giveUp(r *modelRequest) {
	doubtful := r.ledger.MayHaveRun() && !n.world.spoilt.promiseAfterDoubt
	if doubtful {
		n.tell(r, http.StatusBadGateway, nil)
		return
	}
	n.tell(r, http.StatusServiceUnavailable, nil)
}

// pass sends an upstream's answer back as it is, or where its status would promise too much one of the node's own.
func (n *modelNode) pass(r *modelRequest, a *forwarding.Response) {
	switch {
	case forwarding.MayRelay(a, r.ledger.Repeatable):
		n.tell(r, a.Status, a)
	case n.world.spoilt.sealKept:
		n.tell(r, http.StatusBadGateway, &forwarding.Response{Status: http.StatusBadGateway, Header: a.Header, Body: a.Body})
	default:
		n.tell(r, http.StatusBadGateway, nil)
	}
}

func (n *modelNode) tell(r *modelRequest, status int, a *forwarding.Response) {
	if r.status == 0 {
		r.status, r.answered, r.answer = status, n.world.now, a
		if r.excused {
			r.answered = 0
		}
	}
}

// start sends one attempt on its way and moves on once it is settled.
func (n *modelNode) start(r *modelRequest, to *modelNode) {
	at := &retry.Attempt{Node: to.name, StartedAt: n.world.now}
	r.ledger.Attempts = append(r.ledger.Attempts, at)
	settle := func(o forwarding.Outcome) {
		if at.State != forwarding.Running {
			return
		}
		at.State, at.Kind, at.ReachedUpstream, at.RetryAfter, at.Response = o.State, o.Kind, o.ReachedUpstream, o.RetryAfter, o.Response
		n.advance(r)
	}
	if to == n {
		n.hand(r.id, attempts.Reference{}, r.until, settle)
		return
	}
	if !to.up {
		settle(forwarding.NotRunOutcome(base.NewFault(base.Unreachable, "", "nobody listens")))
		return
	}
	hop := &modelHop{from: n, to: to, life: to.life, request: r, settle: settle}
	if r.once || !n.retryBudget.CanSpend(modelService) {
		hop.ref = n.fences.NewReference(to.name, func(string) string { return to.incarnation() })
		if n.world.spoilt.identityShared {
			hop.ref.ID = "shared"
		}
	}
	n.world.hops = append(n.world.hops, hop)
	hop.send()
}

// hand passes a request to the upstream beside this node.
func (n *modelNode) hand(id string, ref attempts.Reference, until time.Duration, told func(forwarding.Outcome)) (stop func()) {
	stopped, breakOff := false, func() {}
	n.then(n.world.delay(), func() {
		left := until - n.world.now
		switch {
		case stopped || left <= 0:
			told(forwarding.NotRunOutcome(base.NewFault(base.Expired, "", "no time was left at the turn")))
		case !ref.Begin() && !n.world.spoilt.waitingNotFenced:
			told(forwarding.NotRunOutcome(base.NewFault(base.Fenced, "", "declared never to begin")))
		default:
			life := n.life
			breakOff = n.upstream.exchange(id, left, func(o forwarding.Outcome) {
				if n.up && n.life == life {
					n.then(0, func() { told(o) })
				}
			})
		}
	})
	return func() {
		stopped = true
		breakOff()
	}
}

// modelHop is one attempt on a connection between two nodes.
type modelHop struct {
	from, to *modelNode
	life     int
	request  *modelRequest
	ref      attempts.Reference
	settle   func(forwarding.Outcome)
	stop     func()
	broken   bool
	done     bool
}

func (h *modelHop) send() {
	w := h.from.world
	header := http.Header{}
	fencing.SetAttemptHeader(h.ref, header)
	if w.chance(25) {
		h.from.then(w.delay(), h.breaks)
	}
	if w.chance(15) {
		h.from.then(w.delay(), h.breaks)
		return
	}
	w.after(w.delay(), func() {
		if !h.to.up || h.to.life != h.life {
			h.from.then(w.delay(), h.breaks)
			return
		}
		h.to.then(0, func() { h.arrive(header.Get(forwarding.AttemptHeader)) })
	})
}

// arrive is the request read whole by the node beside the upstream.
func (h *modelHop) arrive(text string) {
	n, w := h.to, h.to.world
	if w.spoilt.markIgnoredOnArrival && text != "" {
		text = string(h.ref.ID) + ";" + n.fences.Table.CurrentMark().String()
	}
	ref, refusal := n.fences.Accept(text)
	if refusal != nil {
		h.reply(*refusal)
		return
	}
	h.stop = n.hand(h.request.id, ref, h.request.until, func(o forwarding.Outcome) {
		fencing.Finish(ref, o)
		h.done = true
		h.reply(o)
	})
	if h.broken {
		h.linger(ref)
		return
	}
	h.ref.Entry = ref.Entry
}

func (h *modelHop) reply(o forwarding.Outcome) {
	w := h.to.world
	mark := h.to.fences.Table.CurrentMark()
	if w.chance(15) {
		h.from.then(w.delay(), h.breaks)
		return
	}
	h.from.then(w.delay(), func() {
		if h.broken {
			return
		}
		h.from.fences.Learn(h.to.name, mark)
		h.broken = true
		h.settle(o)
	})
}

// breaks is the connection seen broken by the sender; the other side may see it later.
func (h *modelHop) breaks() {
	if h.broken {
		return
	}
	h.broken = true
	h.to.then(h.from.world.delay(), func() { h.linger(h.ref) })
	h.resolve(3)
}

// linger breaks the attempt's work off unless somebody asks for it.
func (h *modelHop) linger(ref attempts.Reference) {
	if h.stop == nil || h.done {
		return
	}
	if ref.Entry != nil && ref.Entry.Withdraw() {
		h.stop()
		return
	}
	h.to.then(modelLinger, func() {
		if ref.Entry != nil && ref.Entry.HasRecentInterest(modelLinger) {
			h.linger(ref)
			return
		}
		h.stop()
	})
}

// resolve asks about the attempt on a fresh connection.
func (h *modelHop) resolve(rounds int) {
	doubted := forwarding.IndeterminateOutcome(base.Lost, "the connection broke")
	w, n := h.from.world, h.from
	if h.ref.ID == "" || !h.ref.Mark.IsSet() || rounds == 0 || !h.to.up {
		h.settle(doubted)
		return
	}
	giveUp := time.Duration(fencing.QueryTimeRatio * float64(h.request.until-w.now))
	heard := false
	n.then(giveUp, func() {
		if !heard {
			heard = true
			h.settle(doubted)
		}
	})
	h.ask(0, func(reply *wire.AttemptReply) {
		if heard {
			return
		}
		heard = true
		switch {
		case reply == nil:
			h.resolve(rounds - 1)
		case reply.State == wire.AttemptState_ATTEMPT_AT_WORK:
			h.fetch()
		default:
			h.settle(h.read(reply))
		}
	})
}

func (h *modelHop) fetch() {
	h.ask(h.request.until-h.from.world.now, func(reply *wire.AttemptReply) {
		if reply == nil {
			h.settle(forwarding.IndeterminateOutcome(base.Lost, "the answer could not be fetched"))
			return
		}
		h.settle(h.read(reply))
	})
}

func (h *modelHop) read(reply *wire.AttemptReply) forwarding.Outcome {
	own := func(a *forwarding.Response) bool {
		return h.from.world.spoilt.identityShared || a.Header.Get(forwarding.DefaultHeaderNames.RequestID) == h.request.id
	}
	return fencing.OutcomeFromReply(reply, own, forwarding.IndeterminateOutcome(base.Lost, "the connection broke"))
}

// ask carries one question to whichever life of the node listens, and its reply back; nil where either is lost.
func (h *modelHop) ask(wait time.Duration, told func(*wire.AttemptReply)) {
	w, to := h.from.world, h.to
	lost := func() { h.from.then(w.delay(), func() { told(nil) }) }
	if w.chance(15) {
		lost()
		return
	}
	w.after(w.delay(), func() {
		if !to.up {
			lost()
			return
		}
		to.then(0, func() { h.asked(wait, lost, told) })
	})
}

// asked is a question at the node beside the upstream; one about work is answered at its end, if it may wait.
func (h *modelHop) asked(wait time.Duration, lost func(), told func(*wire.AttemptReply)) {
	w, table := h.to.world, h.to.fences.Table
	mark := w.asked(h.to, h.ref.Mark)
	_, entry := table.Resolve(h.ref.ID, mark)
	answer := func() {
		reply, _ := table.Resolve(h.ref.ID, mark)
		w.settledAs(reply)
		if w.chance(15) {
			lost()
			return
		}
		h.from.then(w.delay(), func() { told(reply) })
	}
	if entry == nil || wait <= 0 {
		answer()
		return
	}
	ended, leave := entry.Watch()
	h.watch(ended, w.now+wait, func() {
		leave()
		answer()
	})
}

// watch looks until an attempt has ended or the time is over.
func (h *modelHop) watch(ended <-chan struct{}, until time.Duration, then func()) {
	select {
	case <-ended:
		then()
		return
	default:
	}
	if h.to.world.now >= until {
		then()
		return
	}
	h.to.then(5*time.Millisecond, func() { h.watch(ended, until, then) })
}

package dataplane

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

const (
	farHeld = 1 << 20
	leftPad = 5 * time.Millisecond

	headGuess    = 300
	leastBacklog = 100 * time.Millisecond
)

type outcome struct {
	state   State
	kind    base.Kind
	reason  string
	arrived bool
	after   time.Duration
	answer  *answer
	weight  *Weight
	waited  time.Duration
	further bool
}

func bounced(mishap *base.Mishap) outcome {
	return outcome{state: NotRun, kind: mishap.Kind, reason: mishap.Reason, after: mishap.After}
}

func doubt(kind base.Kind, reason string) outcome {
	return outcome{state: Doubtful, kind: kind, reason: reason, arrived: true}
}

func (n *Node) berthFor(way Way) (*wire.Berth, *Gate, *base.Mishap) {
	berth, gate, _ := n.dock.Now()
	switch {
	case berth == nil || berth.Service != way.Service || way.Berth != "" && way.Berth != berth.Id:
		return nil, gate, base.Bounce(base.NoSeat, "", "that upstream is not here")
	case berth.Leaving:
		return nil, gate, base.Bounce(base.NoSeat, "", "that upstream is leaving")
	case n.closed.Load():
		return nil, gate, base.Bounce(base.Stopping, "", "this node is stopping")
	}
	return berth, gate, nil
}

// hand passes a request to the upstream beside this node.
func (n *Node) hand(ctx context.Context, way Way, m *message, attempt string, until time.Duration) outcome {
	berth, gate, mishap := n.berthFor(way)
	if mishap != nil {
		return bounced(mishap)
	}
	if repeatable, _, _ := n.repeatableNow(way, m); way.Repeat && !way.Once && !repeatable {
		return bounced(base.Bounce(base.Crowded, "", "the route's requests may run once by now"))
	}
	now := n.scope.Clock.Mono()
	further := false
	if caller := m.header.Get(n.speech.Caller); caller != "" {
		if further = n.callers.Further(way.Route, caller, n.roster.Services(n.params.Zone)); further {
			way.Rank = min(way.Rank, topRank)
		}
	}
	leave, mishap := gate.Enter(ctx, Ask{Rank: way.Rank, AimBy: now + way.Aim, DieBy: now + way.Stay, Patience: way.Patience})
	if mishap != nil {
		o := bounced(mishap)
		o.further = further
		return o
	}
	waited := n.scope.Clock.Mono() - now
	if berth, _, mishap = n.berthFor(way); mishap != nil {
		leave()
		return bounced(mishap)
	}
	left := until - n.scope.Clock.Mono() - leftPad
	if left <= 0 || ctx.Err() != nil {
		leave()
		return bounced(base.Bounce(base.Expired, "", "no time was left at the turn"))
	}
	m.header[n.speech.Left] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	m.header[n.speech.Target] = []string{berth.Id}
	m.certain = way.Once
	if !way.Attempt.begin() {
		leave()
		return bounced(base.Bounce(base.Fenced, "", "this attempt was declared never to begin"))
	}
	f := n.ties.board(way, until, left)
	own := func(r *http.Response) bool {
		id := r.Header.Get(n.speech.Attempt)
		return id == attempt || id == "" && (r.Header.Get(n.speech.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest)
	}
	land := func(status int) {
		leave()
		n.ties.land(f, berth, status)
	}
	r, sent, err := n.upward.exchange(ctx, berth.Address, m, own)
	if err != nil {
		land(0)
		switch {
		case !sent:
			n.scope.Note("dial-failed", berth.Id, err.Error())
			return bounced(base.Bounce(base.Unreachable, "", "the upstream could not be dialled"))
		case ctx.Err() != nil:
			return doubt(base.Expired, "no answer in time")
		}
		n.ills.Saw(berth.Id, false)
		n.scope.Note("answer-lost", berth.Id, err.Error())
		return doubt(base.Lost, err.Error())
	}
	status := r.StatusCode
	turnedAway := status >= http.StatusBadRequest && r.Header.Get(n.speech.NotRun) != "" || status == http.StatusMisdirectedRequest
	if turnedAway && r.Header.Get(n.speech.Attempt) == "" && !r.first() {
		r.broken()
		land(0)
		n.scope.Note("answer-unowned", berth.Id, "")
		return doubt(base.Garbled, "a refusal without an id, perhaps of another request")
	}
	if turnedAway {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, farHeld))
		r.broken()
		land(0)
		if status == http.StatusMisdirectedRequest {
			n.scope.Note("berth-void", berth.Id, "another upstream listens there")
			n.dock.Leave(berth.Id)
		}
		o := bounced(base.Bounce(base.Crowded, "", "the upstream turned it away with %d", status).Later(n.gateWait(gate)))
		o.arrived = status != http.StatusMisdirectedRequest
		return o
	}
	sealed := status >= 300 || r.Header.Get(n.speech.Seal) != ""
	if !sealed {
		r.distrust()
	}
	a, err := take(r, farHeld, func(bool) { land(status) })
	if err != nil || !sealed {
		r.broken()
		land(0)
		n.ills.Saw(berth.Id, false)
		n.scope.Note("answer-garbled", berth.Id, "")
		return doubt(base.Garbled, "the upstream's answer was not whole")
	}
	n.ills.Saw(berth.Id, status < 500)
	return outcome{state: stateOf(status), arrived: true, answer: a, waited: waited, further: further}
}

func (n *Node) gateWait(gate *Gate) time.Duration {
	w := gate.Weight()
	return time.Duration(w.HoldMs) * time.Millisecond
}

func (n *Node) weight() Weight {
	berth, gate, _ := n.dock.Now()
	w := gate.Weight()
	w.Serial = n.serial()
	w.IllPct = int(100 * n.ills.Share(berth.GetId()))
	w.Leaving = berth.GetLeaving() || berth == nil || n.stopping.Load()
	return w
}

// inward serves mates.
func (n *Node) inward(w http.ResponseWriter, r *http.Request) {
	n.inside.Add(1)
	defer n.inside.Add(-1)
	if isQuestion(r) {
		n.fences.questions.ServeHTTP(w, r)
		return
	}
	began := n.scope.Clock.Mono()
	attempt := r.Header.Get(n.speech.Attempt)
	way, ok := readWay(r.Header.Get(wayHeader))
	ms, err := strconv.ParseInt(r.Header.Get(n.speech.Left), 10, 64)
	if !ok || err != nil || attempt == "" {
		base.Reply(w, http.StatusBadRequest, map[string]string{"kind": string(base.Malformed), "reason": "this door is for mates"})
		return
	}
	if way.Serial > n.serial() {
		n.behind.Ring()
	}
	body, done, mishap := n.hold.Read(r, n.hold.most)
	if mishap != nil && mishap.Kind == base.Malformed {
		panic(http.ErrAbortHandler)
	}
	defer done()
	until := began + time.Duration(ms)*time.Millisecond
	var said *outcome
	way.Attempt, said = n.fences.accept(r.Header.Get(attemptHeader))
	ctx, cancel := n.fences.lifetime(n.scope, r.Context(), until-began, way.Attempt)
	defer cancel()
	m := &message{method: r.Method, target: r.RequestURI, host: r.Host, header: passing(r.Header), body: body}
	var o outcome
	settle := func(int64) {}
	if said != nil {
		n.tally(countRefused)
		o = *said
	} else if mishap != nil {
		o = bounced(base.Bounce(base.Crowded, "", "the body has no room now").Later(holdAgain))
	} else if backlog := n.spout.Backlog(); n.spout.Large(way.Route) && backlog > max(way.Aim, way.Patience, leastBacklog) {
		o = bounced(base.Bounce(base.Crowded, "", "this machine's link is taken").Later(backlog))
	} else {
		settle = n.spout.Owe(way.Route)
		o = n.hand(ctx, way, m, attempt, until)
	}
	way.Attempt.finish(o)
	n.fences.tell(w.Header(), r.Header)
	weight := n.weight()
	weight.Waited, weight.Further = int(o.waited.Milliseconds()), o.further
	w.Header()[weightHeader] = []string{weight.text()}
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if o.answer != nil {
		settle(int64(len(o.answer.body)))
		n.spout.Pass(ctx, int64(len(o.answer.body))+headGuess)
		relay(w, o.answer)
		return
	}
	settle(0)
	w.Header()[n.speech.Attempt] = []string{attempt}
	w.Header()[outcomeHeader] = []string{o.text()}
	w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (o outcome) text() string {
	return strings.Join([]string{string(o.kind), flag(o.arrived), flag(o.state == Doubtful), strconv.FormatInt(o.after.Milliseconds(), 10)}, ";")
}

func readOutcome(text string) (o outcome, ok bool) {
	parts := strings.Split(text, ";")
	if len(parts) != 4 {
		return o, false
	}
	after, err := strconv.ParseInt(parts[3], 10, 64)
	o = outcome{kind: base.Kind(parts[0]), arrived: parts[1] == "1", state: NotRun, after: time.Duration(after) * time.Millisecond}
	if parts[2] == "1" {
		o.state, o.arrived = Doubtful, true
	}
	return o, err == nil
}

// carry passes a request to the node beside an upstream, or hands it over here. Where that node has forgotten the mark that the attempt bore, another attempt with the present one follows at once.
func (n *Node) carry(ctx context.Context, to Option, way Way, m *message, attempt string, until time.Duration) outcome {
	o := n.carryOnce(ctx, to, way, m, attempt, until)
	if staleMark(way.Attempt, o) {
		way.Attempt = n.fences.start(to.node, n.roster.Incarnation)
		return n.carryOnce(ctx, to, way, m, attempt, until)
	}
	return o
}

func (n *Node) carryOnce(ctx context.Context, to Option, way Way, m *message, attempt string, until time.Duration) outcome {
	way.Berth = to.berth
	mine := *m
	mine.header = passing(m.header)
	if to.node == n.params.Name {
		o := n.hand(ctx, way, &mine, attempt, until)
		weight := n.weight()
		weight.Further = o.further
		o.weight = &weight
		return o
	}
	left := until - n.scope.Clock.Mono()
	if left <= 0 {
		return bounced(base.Bounce(base.Expired, "", "no time was left"))
	}
	mine.header[n.speech.Left] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	mine.header[wayHeader] = []string{way.text()}
	way.Attempt.sendIn(mine.header)
	r, sent, err := n.across.exchange(ctx, to.inward, &mine, func(r *http.Response) bool { return r.Header.Get(n.speech.Attempt) == attempt })
	if err != nil {
		switch {
		case ctx.Err() != nil && sent:
			return doubt(base.Expired, "no answer in time")
		case ctx.Err() != nil:
			return bounced(base.Bounce(base.Expired, "", "no time was left"))
		}
		n.scope.Note("mate-lost", to.node, err.Error())
		n.roster.Avoid(to.node)
		if !sent {
			return bounced(base.Bounce(base.Unreachable, "", "the mate could not be reached"))
		}
		n.across.Forget(to.inward)
		o := n.resolve(ctx, to, way.Attempt, attempt, until, doubt(base.Lost, err.Error()))
		if way.Attempt.id != "" && o.state == Doubtful {
			n.roster.Avoid(to.node)
		}
		return o
	}
	weight, weighed := readWeight(r.Header.Get(weightHeader))
	if weighed && weight.Serial > n.serial() {
		n.behind.Ring()
	}
	n.fences.heard(to.node, r.Header.Get(memoryHeader))
	said, isOutcome := readOutcome(r.Header.Get(outcomeHeader))
	if !weighed {
		r.distrust()
	}
	a, err := take(r, nearHeld, func(bool) {})
	if err != nil {
		r.broken()
		return n.resolve(ctx, to, way.Attempt, attempt, until, doubt(base.Garbled, "the answer broke off between nodes"))
	}
	if !weighed {
		a.drop()
		return doubt(base.Garbled, "an answer of no mate")
	}
	if isOutcome {
		a.drop()
		said.weight = &weight
		return said
	}
	return outcome{state: stateOf(a.status), arrived: true, answer: a, weight: &weight, waited: time.Duration(weight.Waited) * time.Millisecond}
}

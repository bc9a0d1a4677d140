package dataplane

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/admission"
	"curlewreach/internal/dataplane/balancer"
	"curlewreach/internal/dataplane/callgraph"
	"curlewreach/internal/dataplane/connection"
	"curlewreach/internal/dataplane/fencing"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/proto/wire"
)

const (
	farHeld = 1 << 20

	headGuess    = 300
	leastBacklog = 100 * time.Millisecond
)

func (n *Node) instanceFor(way forwarding.Metadata) (*wire.Instance, *admission.Queue, *base.Fault) {
	instance, gate, _ := n.instance.Now()
	switch {
	case instance == nil || instance.Service != way.Service || way.Instance != "" && way.Instance != instance.Id:
		return nil, gate, base.NewFault(base.NoSeat, "", "that upstream is not here")
	case instance.Leaving:
		return nil, gate, base.NewFault(base.NoSeat, "", "that upstream is leaving")
	case n.closed.Load():
		return nil, gate, base.NewFault(base.Stopping, "", "this node is stopping")
	}
	return instance, gate, nil
}

// delivery is a request on its way through the admission queue to the upstream beside this node.
type delivery struct {
	node     *Node
	way      forwarding.Metadata
	message  *connection.Request
	id       string        // the request's own, which its answer must bear
	until    time.Duration // its deadline by the steady clock
	gate     *admission.Queue
	instance *wire.Instance
	flight   *callgraph.Request
	leave    func()        // gives the turn back
	waited   time.Duration // for the turn
	further  bool          // it is a call of another upstream
}

// hand passes a request to the upstream beside this node.
func (n *Node) hand(ctx context.Context, way forwarding.Metadata, m *connection.Request, attempt string, until time.Duration) forwarding.Outcome {
	d := &delivery{node: n, way: way, message: m, id: attempt, until: until}
	if refusal := d.enter(ctx); refusal != nil {
		return *refusal
	}
	if refusal := d.begin(ctx); refusal != nil {
		d.leave()
		return *refusal
	}
	return d.exchange(ctx)
}

// enter waits for a turn in the admission queue.
func (d *delivery) enter(ctx context.Context) (refusal *forwarding.Outcome) {
	n, way := d.node, d.way
	_, gate, fault := n.instanceFor(way)
	if fault != nil {
		return forwarding.Rejected(fault)
	}
	if repeatable, _, _ := n.repeatableNow(way, d.message); way.Repeat && !way.Once && !repeatable {
		return forwarding.Rejected(base.NewFault(base.Crowded, "", "the route's requests may run once by now"))
	}
	now := n.scope.Clock.Mono()
	rank := way.Rank
	if caller := d.message.Header.Get(n.headers.Caller); caller != "" {
		if d.further = n.callers.Further(way.Route, caller, n.peers.Services(n.params.Zone)); d.further {
			rank = min(rank, admission.UrgentRank)
		}
	}
	d.gate = gate
	d.leave, fault = gate.Enter(ctx, admission.Request{Rank: rank, AimBy: now + way.Aim, DieBy: now + way.Stay, Patience: way.Patience})
	if fault != nil {
		refusal = forwarding.Rejected(fault)
		refusal.Further = d.further
		return refusal
	}
	d.waited = n.scope.Clock.Mono() - now
	return nil
}

// begin makes the request ready to be written, once its turn has come: from here on it may run. The upstream may have
// left while the request waited.
func (d *delivery) begin(ctx context.Context) (refusal *forwarding.Outcome) {
	n := d.node
	instance, _, fault := n.instanceFor(d.way)
	if fault != nil {
		return forwarding.Rejected(fault)
	}
	left := d.until - n.scope.Clock.Mono() - forwarding.DeadlineMargin
	if left <= 0 || ctx.Err() != nil {
		return forwarding.Rejected(base.NewFault(base.Expired, "", "no time was left at the turn"))
	}
	d.message.Header[n.headers.Left] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	d.message.Header[n.headers.Target] = []string{instance.Id}
	d.message.Certain = d.way.Once
	if !d.way.Attempt.Begin() {
		return forwarding.Rejected(base.NewFault(base.Fenced, "", "this attempt was declared never to begin"))
	}
	d.instance, d.flight = instance, n.calls.Begin(d.way, d.until, left)
	return nil
}

// land gives the turn back and closes the request's span; status 0 makes no span.
func (d *delivery) land(status int) {
	d.leave()
	d.node.calls.End(d.flight, d.instance, status)
}

// exchange writes the request to the upstream and reads what comes back.
func (d *delivery) exchange(ctx context.Context) forwarding.Outcome {
	r, sent, err := d.node.instanceConnections.Exchange(ctx, d.instance.Address, d.message, d.owns)
	if err != nil {
		return d.unanswered(ctx, sent, err)
	}
	if !d.turnsAway(r) {
		return d.answered(r)
	}
	if r.Header.Get(d.node.headers.Attempt) == "" && !r.IsFirst() {
		r.Abort()
		d.land(0)
		d.node.scope.Note("answer-unowned", d.instance.Id, "")
		return forwarding.Doubt(base.Garbled, "a refusal without an id, perhaps of another request")
	}
	return d.turnedAway(r)
}

// owns tells whether an answer belongs to this request. Only refusals may come without an id.
func (d *delivery) owns(r *http.Response) bool {
	id := r.Header.Get(d.node.headers.Attempt)
	return id == d.id || id == "" && (r.Header.Get(d.node.headers.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest)
}

// turnsAway tells whether an answer says that the request has not run.
func (d *delivery) turnsAway(r *connection.Response) bool {
	return r.StatusCode >= http.StatusBadRequest && r.Header.Get(d.node.headers.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
}

// unanswered ends a request to which no answer came; sent tells whether a byte of it may have left.
func (d *delivery) unanswered(ctx context.Context, sent bool, err error) forwarding.Outcome {
	d.land(0)
	n := d.node
	switch {
	case !sent:
		n.scope.Note("dial-failed", d.instance.Id, err.Error())
		return forwarding.NotRunBy(base.NewFault(base.Unreachable, "", "the upstream could not be dialled"))
	case ctx.Err() != nil:
		return forwarding.Doubt(base.Expired, "no answer in time")
	}
	n.failures.Record(d.instance.Id, false)
	n.scope.Note("answer-lost", d.instance.Id, err.Error())
	return forwarding.Doubt(base.Lost, err.Error())
}

// turnedAway ends a request that the upstream says it has not run.
func (d *delivery) turnedAway(r *connection.Response) forwarding.Outcome {
	n, status := d.node, r.StatusCode
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, farHeld))
	r.Abort()
	d.land(0)
	if status == http.StatusMisdirectedRequest {
		n.scope.Note("instance-void", d.instance.Id, "another upstream listens there")
		n.instance.Leave(d.instance.Id)
	}
	o := forwarding.NotRunBy(base.NewFault(base.Crowded, "", "the upstream turned it away with %d", status).Later(n.gateWait(d.gate)))
	o.Arrived = status != http.StatusMisdirectedRequest
	return o
}

// answered reads the upstream's answer. One that is not whole, or a success without its seal, counts as lost.
func (d *delivery) answered(r *connection.Response) forwarding.Outcome {
	n, status := d.node, r.StatusCode
	sealed := status >= http.StatusMultipleChoices || r.Header.Get(n.headers.Seal) != ""
	if !sealed {
		r.Discard()
	}
	a, err := forwarding.ReadAnswer(r, farHeld, func(bool) { d.land(status) })
	if err != nil || !sealed {
		r.Abort()
		d.land(0)
		n.failures.Record(d.instance.Id, false)
		n.scope.Note("answer-garbled", d.instance.Id, "")
		return forwarding.Doubt(base.Garbled, "the upstream's answer was not whole")
	}
	n.failures.Record(d.instance.Id, status < http.StatusInternalServerError)
	return forwarding.Outcome{State: forwarding.StateOf(status), Arrived: true, Answer: a, Waited: d.waited, Further: d.further}
}

func (n *Node) gateWait(gate *admission.Queue) time.Duration {
	w := gate.Load()
	return time.Duration(w.HoldMs) * time.Millisecond
}

func (n *Node) load() forwarding.LoadReport {
	instance, gate, _ := n.instance.Now()
	w := forwarding.LoadReport{Load: gate.Load()}
	w.Serial = n.control.Serial()
	w.FailurePercent = int(100 * n.failures.Share(instance.GetId()))
	w.Leaving = instance.GetLeaving() || instance == nil || n.stopping.Load()
	return w
}

// forwarded is a request that another node passes to the upstream beside this one.
type forwarded struct {
	way   forwarding.Metadata
	id    string        // the request's own
	left  time.Duration // until its deadline
	began time.Duration
}

// readForwarded reads what the other node says of a request; ok is false if a header is missing or can't be read.
func (n *Node) readForwarded(r *http.Request) (f forwarded, ok bool) {
	way, ok := forwarding.ParseMetadata(r.Header.Get(forwarding.MetadataHeader))
	ms, err := strconv.ParseInt(r.Header.Get(n.headers.Left), 10, 64)
	f = forwarded{way: way, id: r.Header.Get(n.headers.Attempt), left: time.Duration(ms) * time.Millisecond, began: n.scope.Clock.Mono()}
	return f, ok && err == nil && f.id != ""
}

// inward serves other nodes: their requests to the upstream beside this one, and their questions about them.
func (n *Node) inward(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if fencing.IsQuestion(r) {
		n.fences.ServeHTTP(w, r)
		return
	}
	f, ok := n.readForwarded(r)
	if !ok {
		base.Reply(w, http.StatusBadRequest, map[string]string{"kind": string(base.Malformed), "reason": "this door is for peers"})
		return
	}
	n.control.PeerServes(f.way.Serial)
	body, done, fault := n.bodies.Read(r, n.bodies.Capacity())
	if fault != nil && fault.Kind == base.Malformed {
		panic(http.ErrAbortHandler)
	}
	defer done()
	attempt, refusal := n.fences.Accept(r.Header.Get(forwarding.AttemptHeader))
	f.way.Attempt = attempt
	ctx, cancel := n.fences.Lifetime(n.scope, r.Context(), f.left, attempt)
	defer cancel()
	if refusal != nil {
		n.countOutcome(fencing.CountRefused)
	} else {
		refusal = n.noRoom(f.way, fault)
	}
	var o forwarding.Outcome
	settle := func(int64) {}
	if refusal != nil {
		o = *refusal
	} else {
		settle = n.link.Owe(f.way.Route)
		m := &connection.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: forwarding.EndToEnd(r.Header), Body: body}
		o = n.hand(ctx, f.way, m, f.id, f.began+f.left)
	}
	fencing.Finish(attempt, o)
	n.fences.Tell(w.Header(), r.Header)
	n.answerNode(ctx, w, f.id, o, settle)
}

// noRoom refuses a request whose body was not read for want of memory, or whose large answer would wait too long for
// this machine's link.
func (n *Node) noRoom(way forwarding.Metadata, unread *base.Fault) (refusal *forwarding.Outcome) {
	if unread != nil {
		return forwarding.Rejected(base.NewFault(base.Crowded, "", "the body has no room now").Later(admission.MemoryRetryAfter))
	}
	if backlog := n.link.Backlog(); n.link.Large(way.Route) && backlog > max(way.Aim, way.Patience, leastBacklog) {
		return forwarding.Rejected(base.NewFault(base.Crowded, "", "this machine's link is taken").Later(backlog))
	}
	return nil
}

// answerNode tells another node how its request went, and how full the upstream here is. settle takes the size of the
// answer off what this machine's link owes.
func (n *Node) answerNode(ctx context.Context, w http.ResponseWriter, id string, o forwarding.Outcome, settle func(size int64)) {
	weight := n.load()
	weight.Waited, weight.Further = int(o.Waited.Milliseconds()), o.Further
	header := w.Header()
	header[forwarding.LoadHeader] = []string{weight.String()}
	if n.stopping.Load() {
		header.Set("Connection", "close")
	}
	if o.Answer != nil {
		size := int64(len(o.Answer.Body))
		settle(size)
		n.link.Pass(ctx, size+headGuess)
		forwarding.Relay(w, o.Answer)
		return
	}
	settle(0)
	header[n.headers.Attempt] = []string{id}
	header[forwarding.OutcomeHeader] = []string{o.String()}
	header["Date"], header["Content-Type"] = nil, nil
	w.WriteHeader(http.StatusServiceUnavailable)
}

// carry passes a request to the node beside an upstream, or hands it over here. Where that node has forgotten the mark that the attempt bore, another attempt with the present one follows at once.
func (n *Node) carry(ctx context.Context, to balancer.Candidate, way forwarding.Metadata, m *connection.Request, attempt string, until time.Duration) forwarding.Outcome {
	o := n.carryOnce(ctx, to, way, m, attempt, until)
	if fencing.StaleMark(way.Attempt, o) {
		way.Attempt = n.fences.Start(to.Node, n.peers.Incarnation)
		return n.carryOnce(ctx, to, way, m, attempt, until)
	}
	return o
}

func (n *Node) carryOnce(ctx context.Context, to balancer.Candidate, way forwarding.Metadata, m *connection.Request, attempt string, until time.Duration) forwarding.Outcome {
	way.Instance = to.Instance
	mine := *m
	mine.Header = forwarding.EndToEnd(m.Header)
	if to.Node == n.params.Name {
		o := n.hand(ctx, way, &mine, attempt, until)
		weight := n.load()
		weight.Further = o.Further
		o.Load = &weight
		return o
	}
	left := until - n.scope.Clock.Mono()
	if left <= 0 {
		return forwarding.NotRunBy(base.NewFault(base.Expired, "", "no time was left"))
	}
	mine.Header[n.headers.Left] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	mine.Header[forwarding.MetadataHeader] = []string{way.String()}
	fencing.SendAttempt(way.Attempt, mine.Header)
	h := hop{node: n, to: to, way: way, id: attempt, until: until}
	r, sent, err := n.peerConnections.Exchange(ctx, to.Address, &mine, func(r *http.Response) bool { return r.Header.Get(n.headers.Attempt) == attempt })
	if err != nil {
		return h.broken(ctx, sent, err)
	}
	return h.answered(ctx, r)
}

// hop is one attempt's way to the node beside an upstream.
type hop struct {
	node  *Node
	to    balancer.Candidate
	way   forwarding.Metadata
	id    string // the request's own
	until time.Duration
}

// broken ends an attempt whose connection gave no answer; sent tells whether a byte of it may have left.
func (h hop) broken(ctx context.Context, sent bool, err error) forwarding.Outcome {
	n, name := h.node, h.to.Node
	switch {
	case ctx.Err() != nil && sent:
		return forwarding.Doubt(base.Expired, "no answer in time")
	case ctx.Err() != nil:
		return forwarding.NotRunBy(base.NewFault(base.Expired, "", "no time was left"))
	}
	n.scope.Note("peer-lost", name, err.Error())
	n.peers.Avoid(name)
	if !sent {
		return forwarding.NotRunBy(base.NewFault(base.Unreachable, "", "the peer could not be reached"))
	}
	n.peerConnections.Forget(h.to.Address)
	o := h.resolve(ctx, forwarding.Doubt(base.Lost, err.Error()))
	if h.way.Attempt.Known() && o.State == forwarding.Doubtful {
		n.peers.Avoid(name)
	}
	return o
}

func (h hop) resolve(ctx context.Context, doubted forwarding.Outcome) forwarding.Outcome {
	return h.node.fences.Resolve(ctx, fencing.Peer{Node: h.to.Node, Address: h.to.Address}, h.way.Attempt, h.id, h.until, doubted)
}

// answered reads what the other node says: an upstream's answer, or an outcome without one.
func (h hop) answered(ctx context.Context, r *connection.Response) forwarding.Outcome {
	n := h.node
	weight, weighed := forwarding.ParseLoadReport(r.Header.Get(forwarding.LoadHeader))
	if weighed {
		n.control.PeerServes(weight.Serial)
	}
	n.fences.Heard(h.to.Node, r.Header.Get(forwarding.MarkHeader))
	said, isOutcome := forwarding.ParseOutcome(r.Header.Get(forwarding.OutcomeHeader))
	if !weighed {
		r.Discard()
	}
	a, err := forwarding.ReadAnswer(r, nearHeld, func(bool) {})
	if err != nil {
		r.Abort()
		return h.resolve(ctx, forwarding.Doubt(base.Garbled, "the answer broke off between nodes"))
	}
	if !weighed {
		a.Drop()
		return forwarding.Doubt(base.Garbled, "an answer of no peer")
	}
	if isOutcome {
		a.Drop()
		said.Load = &weight
		return said
	}
	return forwarding.Outcome{State: forwarding.StateOf(a.Status), Arrived: true, Answer: a, Load: &weight, Waited: time.Duration(weight.Waited) * time.Millisecond}
}

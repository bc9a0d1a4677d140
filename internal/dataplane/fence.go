package dataplane

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/internal/attempts"
	"curlewreach/internal/dataplane/balancer"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

// Bounds of the memory of attempts, as ratios of the bounds in the settings.
const (
	rememberRatio   = 30.0
	entryBytes      = 256
	megabyte        = 1 << 20
	entriesRatio    = 1.0 / 256
	entriesUntold   = 16384
	fewestEntries   = 512
	answersRatio    = 1.0 / 64
	answersUntold   = 4 << 20
	largestAnswer   = 256 << 10
	answerHeldRatio = 1.0
	lingerRatio     = 0.075
)

// Bounds of a question about an attempt.
const (
	askRatio       = 0.45
	questionRatio  = 0.15
	mostQuestions  = 6
	mostFetches    = 4
	firstAskPause  = 10 * time.Millisecond
	fetchMargin    = 10 * time.Millisecond
	questionBytes  = 1 << 20
	mostMarksKept  = 4096
	attemptsPrefix = "/" + wireconnect.AttemptsName + "/"
)

// What is counted of broken connections between nodes, for what may not be repeated.
const (
	countBroken  = "hop-broken"
	countDoubt   = "hop-doubt"
	countAsked   = "attempt-asked"
	countNoMark  = "attempt-no-mark"
	countSilent  = "attempt-unanswered"
	countFetched = "attempt-fetched"
	countTooLate = "attempt-fetch-failed"
	countReplied = "attempt-reply-"
	countRefused = "attempt-refused"
)

// fences is a node's part in settling attempts whose connection between nodes broke: the memory of those it accepted, and the marks of its peers' memories.
type fences struct {
	table       *attempts.Table
	incarnation string
	next        atomic.Uint64
	web         *http.Client
	questions   http.Handler
	linger      time.Duration
	question    time.Duration
	mu          sync.Mutex
	marks       map[string]attempts.Mark
}

func newFences(s base.Scope, incarnation string, inForce time.Duration, memoryMb uint32) *fences {
	portion := func(ratio float64) time.Duration { return time.Duration(float64(inForce) * ratio) }
	entries, answers := entriesUntold, answersUntold
	if memoryMb > 0 {
		memory := float64(memoryMb) * megabyte
		entries, answers = max(int(memory*entriesRatio/entryBytes), fewestEntries), int(memory*answersRatio)
	}
	f := &fences{
		incarnation: incarnation, linger: portion(lingerRatio), question: portion(questionRatio), marks: map[string]attempts.Mark{},
		web: &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial, DisableKeepAlives: true, DisableCompression: true}},
		table: attempts.NewTable(incarnation, s.Clock.Mono, attempts.Bounds{
			Entries: entries, Age: portion(rememberRatio), AnswerBytes: answers, LargestAnswer: largestAnswer, AnswerAge: portion(answerHeldRatio),
		}),
	}
	_, f.questions = wireconnect.NewAttemptsHandler(attemptsServer{f}, base.Plain(), connect.WithReadMaxBytes(questionBytes))
	return f
}

// isQuestion tells questions about attempts from requests; those always say which way they go.
func isQuestion(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, attemptsPrefix) && r.Header.Get(forwarding.MetadataHeader) == ""
}

// start gives a new attempt its identity and the mark last heard from the node that it goes to. Without one, the first era of the incarnation that the registry knows must do; where that is forgotten by then, the attempt is turned away with the present mark.
func (f *fences) start(node string, incarnation func(node string) string) attempts.Reference {
	ref := attempts.Reference{ID: attempts.ID(f.incarnation + "-" + strconv.FormatUint(f.next.Add(1), 36)), Mark: f.markOf(node)}
	if !ref.Mark.Known() {
		ref.Mark = attempts.Mark{Incarnation: incarnation(node), Era: attempts.FirstEra}
	}
	return ref
}

func (f *fences) markOf(node string) attempts.Mark {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.marks[node]
}

// heard notes the mark that a peer told with an answer.
func (f *fences) heard(node, text string) {
	mark, ok := attempts.ParseMark(text)
	if !ok {
		return
	}
	f.learn(node, mark)
}

func (f *fences) learn(node string, mark attempts.Mark) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.marks) >= mostMarksKept {
		clear(f.marks)
	}
	if known := f.marks[node]; known.Incarnation != mark.Incarnation || known.Era < mark.Era {
		f.marks[node] = mark
	}
}

// sendAttempt puts an attempt's identity into a request's header.
func sendAttempt(ref attempts.Reference, header http.Header) {
	if ref.Known() {
		header[forwarding.AttemptHeader] = []string{ref.String()}
	}
}

// accept files an attempt that arrived whole, or says why it can't begin.
func (f *fences) accept(text string) (ref attempts.Reference, refusal *forwarding.Outcome) {
	ref, known := attempts.ParseReference(text)
	if !known {
		return attempts.Reference{}, nil
	}
	entry, verdict := f.table.Accept(ref.ID, ref.Mark)
	ref.Entry = entry
	if verdict == attempts.Accepted {
		return ref, nil
	}
	said := refusalOf(verdict)
	return ref, &said
}

// refusalOf is what an attempt is told that can't begin. Of a copy nothing can be said: the first may have run.
func refusalOf(verdict attempts.Verdict) forwarding.Outcome {
	if verdict == attempts.Repeated {
		return forwarding.Doubt(base.Lost, "this attempt has come before")
	}
	return forwarding.NotRunBy(base.NewFault(base.Fenced, "", "this attempt was declared never to begin, or its mark is forgotten"))
}

// finishAttempt files how an attempt ended.
func finishAttempt(ref attempts.Reference, o forwarding.Outcome) {
	if ref.Entry != nil {
		ref.Entry.Finish(resultOf(o))
	}
}

// tell adds this node's mark to the answer of a request whose sender keeps it.
func (f *fences) tell(answer, request http.Header) {
	if _, asked := request[forwarding.AttemptHeader]; asked {
		answer[forwarding.MarkHeader] = []string{f.table.Mark().String()}
	}
}

// lifetime bounds an attempt's work by its time left and by its connection. Where somebody can ask about the attempt, work that has begun outlives the connection for a moment, and for as long as its end is waited for; what has not begun never will.
func (f *fences) lifetime(s base.Scope, connection context.Context, left time.Duration, ref attempts.Reference) (context.Context, context.CancelFunc) {
	if ref.Entry == nil {
		return context.WithTimeout(connection, left)
	}
	ctx, cancel := context.WithTimeout(s, left)
	settled := context.AfterFunc(connection, func() {
		if !ref.Entry.Withdraw() {
			f.outlive(s.Under(ctx), ref.Entry)
		}
		cancel()
	})
	return ctx, func() {
		settled()
		cancel()
	}
}

// outlive returns once nobody has asked for an attempt's end for a moment, or the attempt is over.
func (f *fences) outlive(s base.Scope, entry *attempts.Entry) {
	for {
		base.Await(s, f.linger)
		if s.Err() != nil || !entry.Wanted(f.linger) {
			return
		}
	}
}

// resultOf is an outcome as it is remembered.
func resultOf(o forwarding.Outcome) *wire.AttemptReply {
	switch {
	case o.State == forwarding.NotRun:
		refusal := &wire.AttemptRefusal{Kind: string(o.Kind), Arrived: o.Arrived, AfterMs: uint64(max(o.After.Milliseconds(), 0))}
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_TURNED_AWAY, Refusal: refusal}
	case o.Answer == nil:
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_LOST}
	case o.Answer.Rest != nil:
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_FINISHED}
	}
	return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_FINISHED, Answer: answerMessage(o.Answer)}
}

func answerMessage(a *forwarding.Answer) *wire.AttemptAnswer {
	message := &wire.AttemptAnswer{Status: uint32(a.Status), Body: a.Body, Headers: make([]*wire.AttemptHeader, 0, len(a.Header))}
	headers := make([]wire.AttemptHeader, len(a.Header))
	for name, values := range a.Header {
		next := &headers[len(message.Headers)]
		next.Name, next.Values = name, values
		message.Headers = append(message.Headers, next)
	}
	return message
}

func answerOf(message *wire.AttemptAnswer) *forwarding.Answer {
	a := &forwarding.Answer{Status: int(message.Status), Header: http.Header{}, Body: message.Body, Size: int64(len(message.Body))}
	for _, header := range message.Headers {
		a.Header[header.Name] = header.Values
	}
	return a
}

// outcomeOf reads a reply about an attempt. own tells whether an answer is this request's; doubted is what holds where the reply settles nothing.
func outcomeOf(reply *wire.AttemptReply, own func(*forwarding.Answer) bool, doubted forwarding.Outcome) forwarding.Outcome {
	switch reply.State {
	case wire.AttemptState_ATTEMPT_NEVER_BEGAN:
		return forwarding.NotRunBy(base.NewFault(base.Fenced, "", "the connection broke before it began"))
	case wire.AttemptState_ATTEMPT_TURNED_AWAY:
		refusal := reply.GetRefusal()
		return forwarding.Outcome{State: forwarding.NotRun, Kind: base.Kind(refusal.GetKind()), Arrived: refusal.GetArrived(), After: time.Duration(refusal.GetAfterMs()) * time.Millisecond}
	case wire.AttemptState_ATTEMPT_FINISHED:
		if reply.Answer == nil {
			return doubted
		}
		a := answerOf(reply.Answer)
		if !own(a) {
			return doubted
		}
		return forwarding.Outcome{State: forwarding.StateOf(a.Status), Arrived: true, Answer: a}
	}
	return doubted
}

type attemptsServer struct{ fences *fences }

// Resolve tells what is known of an attempt, and waits for the end of one at work if it is asked to.
func (s attemptsServer) Resolve(ctx context.Context, request *connect.Request[wire.AttemptQuestion]) (*connect.Response[wire.AttemptReply], error) {
	q, table := request.Msg, s.fences.table
	reply, entry := table.Ask(attempts.ID(q.Id), attempts.MarkOf(q.Mark))
	if entry != nil && q.WaitMs > 0 {
		wait(ctx, entry, time.Duration(q.WaitMs)*time.Millisecond)
		reply, _ = table.Ask(attempts.ID(q.Id), attempts.MarkOf(q.Mark))
	}
	return connect.NewResponse(&wire.AttemptReply{State: reply.State, Refusal: reply.Refusal, Answer: reply.Answer, Mark: table.Mark().Message()}), nil
}

func wait(ctx context.Context, entry *attempts.Entry, longest time.Duration) {
	ended, leave := entry.Watch()
	defer leave()
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// identified tells whether a request's attempts can be asked about: those that may not be repeated, and others while no repeat could be paid.
func (v *clientCall) identified(to balancer.Candidate) bool {
	if to.Node == v.node.params.Name {
		return false
	}
	return !v.ledger.Repeatable || !v.node.retries.Pays(v.way.Service)
}

// staleMark tells whether an attempt was turned away by a peer that told its present mark with it.
func staleMark(ref attempts.Reference, o forwarding.Outcome) bool {
	return ref.Known() && o.State == forwarding.NotRun && o.Kind == base.Fenced && o.Load != nil
}

// resolve settles an attempt whose connection to another node broke by asking that node on a fresh connection.
// The question takes at most a part of the time left; only the answer of an attempt known to be at work is waited for longer.
func (n *Node) resolve(ctx context.Context, to balancer.Candidate, ref attempts.Reference, requestID string, until time.Duration, doubted forwarding.Outcome) forwarding.Outcome {
	if !ref.Known() {
		return doubted
	}
	n.countOutcome(countBroken)
	o := n.settled(ctx, to, ref, requestID, until, doubted)
	if o.State == forwarding.Doubtful {
		n.countOutcome(countDoubt)
	}
	n.scope.Note("attempt-settled", to.Node, string(o.Kind))
	return o
}

func (n *Node) settled(ctx context.Context, to balancer.Candidate, ref attempts.Reference, requestID string, until time.Duration, doubted forwarding.Outcome) forwarding.Outcome {
	if !ref.Mark.Known() {
		n.countOutcome(countNoMark)
		return doubted
	}
	reply := n.askAbout(ctx, to, ref, until)
	if reply.GetState() == wire.AttemptState_ATTEMPT_AT_WORK {
		reply = n.fetch(ctx, to, ref, until)
	}
	if reply == nil {
		return doubted
	}
	own := func(a *forwarding.Answer) bool { return a.Header.Get(n.headers.Attempt) == requestID }
	return outcomeOf(reply, own, doubted)
}

// askAbout asks until there is a reply, within the part of the time left that a question may take. Where nobody listens any more, the incarnation that knew is gone.
func (n *Node) askAbout(ctx context.Context, to balancer.Candidate, ref attempts.Reference, until time.Duration) *wire.AttemptReply {
	now := n.scope.Clock.Mono()
	giveUp := now + time.Duration(askRatio*float64(until-now))
	pause := firstAskPause
	for range mostQuestions {
		left := min(giveUp-n.scope.Clock.Mono(), n.fences.question)
		if left <= 0 || ctx.Err() != nil {
			break
		}
		n.countOutcome(countAsked)
		reply, err := n.ask(ctx, to, ref, 0, left)
		if err == nil {
			n.countOutcome(countReplied + strings.ToLower(strings.TrimPrefix(reply.State.String(), "ATTEMPT_")))
			return reply
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		base.Await(n.scope.Under(ctx), min(pause, max(giveUp-n.scope.Clock.Mono(), 0)))
		pause *= 2
	}
	n.countOutcome(countSilent)
	return nil
}

// fetch waits for the answer of an attempt at work. If that breaks as well, it asks again a few times.
func (n *Node) fetch(ctx context.Context, to balancer.Candidate, ref attempts.Reference, until time.Duration) *wire.AttemptReply {
	for range mostFetches {
		left := until - n.scope.Clock.Mono() - fetchMargin
		if left <= 0 || ctx.Err() != nil {
			break
		}
		if reply, err := n.ask(ctx, to, ref, left, left); err == nil {
			n.countOutcome(countFetched)
			return reply
		}
	}
	n.countOutcome(countTooLate)
	return nil
}

func (n *Node) ask(ctx context.Context, to balancer.Candidate, ref attempts.Reference, wait, within time.Duration) (*wire.AttemptReply, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	client := wireconnect.NewAttemptsClient(n.fences.web, "http://"+to.Address, base.Plain(), connect.WithReadMaxBytes(questionBytes))
	question := &wire.AttemptQuestion{Id: string(ref.ID), Mark: ref.Mark.Message(), WaitMs: uint64(max(wait.Milliseconds(), 0))}
	reply, err := client.Resolve(ctx, connect.NewRequest(question))
	if err != nil {
		return nil, err
	}
	n.fences.learn(to.Node, attempts.MarkOf(reply.Msg.Mark))
	return reply.Msg, nil
}

// Package fencing settles attempts whose connection between two nodes broke: the node that made one asks the other, on a fresh
// connection, whether the attempt began, and one that had not begun never will (docs/requests-fencing.md).
package fencing

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/internal/attempts"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/httpserver"
	"curlewreach/proto/wire/wireconnect"
)

// Bounds of the memory of attempts, as ratios of the bounds in the settings.
const (
	rememberRatio   = 30.0
	entryBytes      = 256
	megabyte        = 1 << 20
	entriesRatio    = 1.0 / 256
	DefaultEntries  = 16384
	fewestEntries   = 512
	answersRatio    = 1.0 / 64
	answersUntold   = 4 << 20
	MaxAnswerBytes  = 256 << 10
	answerHeldRatio = 1.0
	LingerRatio     = 0.075
)

// Events that are counted of broken connections between nodes, for what may not be repeated.
const (
	CountBroken        = "hop-broken"           // connections that broke
	CountIndeterminate = "hop-doubt"            // of these, those after which the attempt may have run
	CountAsked         = "attempt-asked"        // questions
	CountNoMark        = "attempt-no-mark"      // attempts that can't be asked about
	CountUnanswered    = "attempt-unanswered"   // attempts about which no reply came
	CountFetched       = "attempt-fetched"      // answers fetched after the connection broke
	CountFetchFailed   = "attempt-fetch-failed" // answers that could not be fetched
	CountReplied       = "attempt-reply-"       // replies, by state
	CountRefused       = "attempt-refused"      // attempts that were rejected as fenced or repeated
)

// Fences is a node's part in settling attempts: the memory of those it accepted, and the marks of its peers' memories. It is
// safe for concurrent use.
type Fences struct {
	// Table remembers the attempts that were accepted here.
	Table       *attempts.Table
	incarnation string
	next        atomic.Uint64
	scope       base.Scope
	attemptName string // of the header that bears a request's identity
	count       func(event string)
	web         *http.Client
	questions   http.Handler
	linger      time.Duration
	question    time.Duration
	mu          sync.Mutex
	marks       map[string]attempts.Mark
}

// Settings of Fences.
type Settings struct {
	// Incarnation is the node's.
	Incarnation string
	// InForce is the in-force bound, of which the others are ratios.
	InForce time.Duration
	// MemoryMb is the process's memory in megabytes; 0 if it isn't known.
	MemoryMb uint32
	// RequestIDHeader is the name of the header that bears a request's identity.
	RequestIDHeader string
}

// New returns a node's fences. count counts events.
func New(s base.Scope, settings Settings, count func(event string)) *Fences {
	portion := func(ratio float64) time.Duration { return base.Ratio(settings.InForce, ratio) }
	entries, answers := DefaultEntries, answersUntold
	if settings.MemoryMb > 0 {
		memory := float64(settings.MemoryMb) * megabyte
		entries, answers = max(int(memory*entriesRatio/entryBytes), fewestEntries), int(memory*answersRatio)
	}
	f := NewWithTable(settings.Incarnation, attempts.NewTable(settings.Incarnation, s.Clock.Mono, attempts.Bounds{
		Entries: entries, Age: portion(rememberRatio), AnswerBytes: answers, LargestAnswer: MaxAnswerBytes, AnswerAge: portion(answerHeldRatio),
	}))
	f.scope, f.attemptName, f.count = s, settings.RequestIDHeader, count
	f.linger, f.question = portion(LingerRatio), portion(questionRatio)
	f.web = &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial, DisableKeepAlives: true, DisableCompression: true}}
	_, f.questions = wireconnect.NewAttemptsHandler(attemptsServer{f}, httpserver.HandlerOptions(), connect.WithReadMaxBytes(questionBytes))
	return f
}

// NewWithTable returns fences over a table, which neither ask nor answer questions.
func NewWithTable(incarnation string, table *attempts.Table) *Fences {
	return &Fences{incarnation: incarnation, Table: table, marks: map[string]attempts.Mark{}}
}

// NewReference gives a new attempt its identity and the mark last heard from the node that it goes to. Without one, the first era
// of the incarnation that is known of the node must do; if that is forgotten by then, the attempt is rejected with the
// present mark.
func (f *Fences) NewReference(node string, incarnation func(node string) string) attempts.Reference {
	ref := attempts.Reference{ID: attempts.ID(f.incarnation + "-" + strconv.FormatUint(f.next.Add(1), 36)), Mark: f.MarkOf(node)}
	if !ref.Mark.IsSet() {
		ref.Mark = attempts.Mark{Incarnation: incarnation(node), Era: attempts.FirstEra}
	}
	return ref
}

// MarkOf returns the mark last heard from a node.
func (f *Fences) MarkOf(node string) attempts.Mark {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.marks[node]
}

// LearnFromHeader notes the mark that a peer told with an answer.
func (f *Fences) LearnFromHeader(node, text string) {
	mark, ok := attempts.ParseMark(text)
	if !ok {
		return
	}
	f.Learn(node, mark)
}

// Learn takes a mark heard from a node, unless a newer one is known.
func (f *Fences) Learn(node string, mark attempts.Mark) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.marks) >= mostMarksKept {
		clear(f.marks)
	}
	if known := f.marks[node]; known.Incarnation != mark.Incarnation || known.Era < mark.Era {
		f.marks[node] = mark
	}
}

// SetAttemptHeader puts an attempt's identity into a request's header.
func SetAttemptHeader(ref attempts.Reference, header http.Header) {
	if ref.IsSet() {
		header[forwarding.AttemptHeader] = []string{ref.String()}
	}
}

// Accept files an attempt that arrived whole, or says why it can't begin.
func (f *Fences) Accept(text string) (ref attempts.Reference, refusal *forwarding.Outcome) {
	ref, known := attempts.ParseReference(text)
	if !known {
		return attempts.Reference{}, nil
	}
	entry, verdict := f.Table.Accept(ref.ID, ref.Mark)
	ref.Entry = entry
	if verdict == attempts.Accepted {
		return ref, nil
	}
	said := refusalOf(verdict)
	return ref, &said
}

// refusalOf is what an attempt is told that can't begin. Of a copy nothing can be said: the first may have run.
func refusalOf(verdict attempts.AcceptResult) forwarding.Outcome {
	if verdict == attempts.Duplicate {
		return forwarding.IndeterminateOutcome(base.Lost, "this attempt has come before")
	}
	return forwarding.NotRunOutcome(base.NewFault(base.Fenced, "", "this attempt was declared never to begin, or its mark is forgotten"))
}

// Finish files how an attempt ended.
func Finish(ref attempts.Reference, o forwarding.Outcome) {
	if ref.Entry != nil {
		ref.Entry.Finish(ReplyFromOutcome(o))
	}
}

// SetMarkHeader adds this node's mark to the answer of a request whose sender keeps it.
func (f *Fences) SetMarkHeader(answer, request http.Header) {
	if _, asked := request[forwarding.AttemptHeader]; asked {
		answer[forwarding.MarkHeader] = []string{f.Table.CurrentMark().String()}
	}
}

// AttemptContext bounds an attempt's work by its time left and by its connection. Where somebody can ask about the attempt, work
// that has begun outlives the connection for a moment, and for as long as its end is waited for; what has not begun never
// will.
func (f *Fences) AttemptContext(s base.Scope, connection context.Context, left time.Duration, ref attempts.Reference) (context.Context, context.CancelFunc) {
	if ref.Entry == nil {
		return context.WithTimeout(connection, left)
	}
	ctx, cancel := context.WithTimeout(s, left)
	settled := context.AfterFunc(connection, func() {
		if !ref.Entry.Withdraw() {
			f.outlive(s.WithContext(ctx), ref.Entry)
		}
		cancel()
	})
	return ctx, func() {
		settled()
		cancel()
	}
}

// outlive returns once nobody has asked for an attempt's end for a moment, or the attempt is over.
func (f *Fences) outlive(s base.Scope, entry *attempts.Entry) {
	for {
		base.Await(s, f.linger)
		if s.Err() != nil || !entry.HasRecentInterest(f.linger) {
			return
		}
	}
}

// Sweep forgets attempts that are too old.
func (f *Fences) Sweep() { f.Table.Sweep() }

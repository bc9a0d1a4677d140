// Package fencing resolves attempts whose connection between two nodes broke. The node that made the attempt
// asks the other one, on a new connection, whether the attempt began. An attempt that had not begun is fenced
// by the question: it never will (docs/requests-fencing.md).
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

// Bounds of the record of attempts. Ratios of time apply to the in-force bound, ratios of memory to the
// process's memory.
const (
	// retentionRatio is how long attempts are recorded.
	retentionRatio = 30.0
	// entrySizeEstimate is the memory of one recorded attempt in bytes.
	entrySizeEstimate = 256
	megabyte          = 1 << 20
	// entriesMemoryRatio is the fraction of the memory that recorded attempts may take.
	entriesMemoryRatio = 1.0 / 256
	// DefaultEntries is the number of recorded attempts if the process's memory is not known, minEntries the
	// least number otherwise.
	DefaultEntries = 16384
	minEntries     = 512
	// answersMemoryRatio is the fraction of the memory that held responses may take, defaultAnswerBytes their
	// limit if the process's memory is not known.
	answersMemoryRatio = 1.0 / 64
	defaultAnswerBytes = 4 << 20
	// MaxAnswerBytes is the size of the largest response that is held.
	MaxAnswerBytes = 256 << 10
	// answerRetentionRatio is how long a response is held.
	answerRetentionRatio = 1.0
	// LingerRatio is how long work that has begun continues after its connection broke, unless its result is
	// asked for.
	LingerRatio = 0.075
)

// Events that are counted for connections between nodes that break, and for attempts that can be queried.
const (
	CountBroken        = "hop-broken"           // connections that broke
	CountIndeterminate = "hop-doubt"            // broken connections after which the attempt may have run
	CountAsked         = "attempt-asked"        // queries sent
	CountNoMark        = "attempt-no-mark"      // attempts that can't be queried because no mark is known
	CountUnanswered    = "attempt-unanswered"   // attempts about which no reply came
	CountFetched       = "attempt-fetched"      // responses fetched after the connection broke
	CountFetchFailed   = "attempt-fetch-failed" // responses that could not be fetched
	CountReplied       = "attempt-reply-"       // replies; the state follows the prefix
	CountRefused       = "attempt-refused"      // attempts rejected as fenced or repeated
)

// Fences resolves attempts for a node. It records the attempts that the node accepted and the current marks
// of its peers' records. It is safe for concurrent use.
type Fences struct {
	// Table records the attempts accepted by this node.
	Table       *attempts.Table
	incarnation string
	// lastID is the number in the newest attempt ID.
	lastID          atomic.Uint64
	scope           base.Scope
	requestIDHeader string // the header that carries a request's identity
	count           func(event string)
	client          *http.Client
	// queryHandler answers queries of other nodes.
	queryHandler http.Handler
	// linger is how long work outlives its connection, queryTimeout bounds one query.
	linger       time.Duration
	queryTimeout time.Duration
	mu           sync.Mutex
	// marks holds the mark last received from each node.
	marks map[string]attempts.Mark
}

// Settings configures Fences.
type Settings struct {
	// Incarnation is the incarnation of this node.
	Incarnation string
	// InForce is the in-force bound, to which the ratios of time apply.
	InForce time.Duration
	// MemoryMb is the process's memory in megabytes; 0 if it is not known.
	MemoryMb uint32
	// RequestIDHeader is the name of the header that carries a request's identity.
	RequestIDHeader string
}

// New returns the fences of a node. count is called for each event that is counted.
func New(s base.Scope, settings Settings, count func(event string)) *Fences {
	scaled := func(ratio float64) time.Duration { return base.ScaleDuration(settings.InForce, ratio) }
	entries, answers := DefaultEntries, defaultAnswerBytes
	if settings.MemoryMb > 0 {
		memory := float64(settings.MemoryMb) * megabyte
		entries, answers = max(int(memory*entriesMemoryRatio/entrySizeEstimate), minEntries), int(memory*answersMemoryRatio)
	}
	f := NewWithTable(settings.Incarnation, attempts.NewTable(settings.Incarnation, s.Clock.Mono, attempts.Bounds{
		Entries: entries, Age: scaled(retentionRatio), AnswerBytes: answers, LargestAnswer: MaxAnswerBytes, AnswerAge: scaled(answerRetentionRatio),
	}))
	f.scope, f.requestIDHeader, f.count = s, settings.RequestIDHeader, count
	f.linger, f.queryTimeout = scaled(LingerRatio), scaled(queryTimeoutRatio)
	f.client = &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial, DisableKeepAlives: true, DisableCompression: true}}
	_, f.queryHandler = wireconnect.NewAttemptsHandler(attemptsServer{f}, httpserver.HandlerOptions(), connect.WithReadMaxBytes(maxReplyBytes))
	return f
}

// NewWithTable returns fences over an existing table. They can neither send nor answer queries.
func NewWithTable(incarnation string, table *attempts.Table) *Fences {
	return &Fences{incarnation: incarnation, Table: table, marks: map[string]attempts.Mark{}}
}

// NewReference returns a reference for a new attempt, with a unique ID and the mark last received from the
// node that it is sent to. If there is none, it uses the first era of the node's known incarnation. If that
// era has been forgotten, the node rejects the attempt and returns its current mark.
func (f *Fences) NewReference(node string, incarnation func(node string) string) attempts.Reference {
	ref := attempts.Reference{ID: attempts.ID(f.incarnation + "-" + strconv.FormatUint(f.lastID.Add(1), 36)), Mark: f.MarkOf(node)}
	if !ref.Mark.IsSet() {
		ref.Mark = attempts.Mark{Incarnation: incarnation(node), Era: attempts.FirstEra}
	}
	return ref
}

// MarkOf returns the mark last received from a node.
func (f *Fences) MarkOf(node string) attempts.Mark {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.marks[node]
}

// LearnFromHeader stores the mark that a peer sent with a response, if there is one.
func (f *Fences) LearnFromHeader(node, text string) {
	mark, ok := attempts.ParseMark(text)
	if !ok {
		return
	}
	f.Learn(node, mark)
}

// Learn stores a mark received from a node, unless a newer one of the same incarnation is known. At maxMarks
// nodes it discards all marks first.
func (f *Fences) Learn(node string, mark attempts.Mark) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.marks) >= maxMarks {
		clear(f.marks)
	}
	if known := f.marks[node]; known.Incarnation != mark.Incarnation || known.Era < mark.Era {
		f.marks[node] = mark
	}
}

// SetAttemptHeader adds the reference of an attempt to a request's header.
func SetAttemptHeader(ref attempts.Reference, header http.Header) {
	if ref.IsSet() {
		header[forwarding.AttemptHeader] = []string{ref.String()}
	}
}

// Accept records an attempt that arrived completely, or returns the outcome with which it is refused.
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
	outcome := refusalFor(verdict)
	return ref, &outcome
}

// refusalFor returns the outcome of an attempt that must not begin. For a duplicate the outcome is
// indeterminate, since the original may have run.
func refusalFor(verdict attempts.AcceptResult) forwarding.Outcome {
	if verdict == attempts.Duplicate {
		return forwarding.IndeterminateOutcome(base.ResponseLost, "the attempt has already arrived")
	}
	return forwarding.NotRunOutcome(base.NewFault(base.Fenced, "", "the attempt is fenced, or the era of its mark is forgotten"))
}

// Finish records the outcome of an attempt.
func Finish(ref attempts.Reference, o forwarding.Outcome) {
	if ref.Entry != nil {
		ref.Entry.Finish(ReplyFromOutcome(o))
	}
}

// SetMarkHeader adds this node's current mark to a response, if the request carries the reference of an
// attempt.
func (f *Fences) SetMarkHeader(response, request http.Header) {
	if _, asked := request[forwarding.AttemptHeader]; asked {
		response[forwarding.MarkHeader] = []string{f.Table.CurrentMark().String()}
	}
}

// AttemptContext returns a context that limits the work of an attempt by its time left and by its connection.
// If the attempt can be queried, work that has begun outlives the connection by the linger time, and for as
// long as its result is asked for. Work that has not begun when the connection ends never begins.
func (f *Fences) AttemptContext(s base.Scope, connection context.Context, timeLeft time.Duration, ref attempts.Reference) (context.Context, context.CancelFunc) {
	if ref.Entry == nil {
		return context.WithTimeout(connection, timeLeft)
	}
	ctx, cancel := context.WithTimeout(s, timeLeft)
	stop := context.AfterFunc(connection, func() {
		if !ref.Entry.Withdraw() {
			f.waitWhileWanted(s.WithContext(ctx), ref.Entry)
		}
		cancel()
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// waitWhileWanted returns once nobody has asked for the result of an attempt for the linger time, or the
// attempt is over.
func (f *Fences) waitWhileWanted(s base.Scope, entry *attempts.Entry) {
	for {
		base.Await(s, f.linger)
		if s.Err() != nil || !entry.HasRecentInterest(f.linger) {
			return
		}
	}
}

// Sweep removes attempts and held responses that are too old.
func (f *Fences) Sweep() { f.Table.Sweep() }

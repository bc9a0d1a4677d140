// Package attempts remembers which attempts of requests a node has accepted for the upstream beside it, so that another node can ask after a broken connection whether an attempt began.
//
// The memory is bounded. It is divided into eras, numbered upwards within one incarnation of the node. Whoever starts an attempt names the era that it last heard of, its mark. An attempt and every question about it are filed under that mark. The oldest eras are forgotten as wholes, and an attempt whose mark lies in a forgotten era or in another incarnation is neither accepted nor spoken about. So what was fenced stays fenced after it is forgotten, and nothing is called "never began" that might have been forgotten. No clock of another node takes part in this.
package attempts

import (
	"sync"
	"time"

	"curlewreach/proto/wire"
)

// ID is the identity of one attempt; two attempts of one request have different ones.
type ID string

const longestID = 64

// Mark is an era of one incarnation's memory.
type Mark struct {
	Incarnation string
	Era         uint64
}

// FirstEra is the number of an incarnation's first era.
const FirstEra = 1

// IsSet tells whether the mark names an era at all.
func (m Mark) IsSet() bool { return m.Incarnation != "" }

// ToWire is the mark as it is sent.
func (m Mark) ToWire() *wire.AttemptMark {
	return &wire.AttemptMark{Incarnation: m.Incarnation, Era: m.Era}
}

// MarkFromWire reads a mark that was sent.
func MarkFromWire(m *wire.AttemptMark) Mark { return Mark{m.GetIncarnation(), m.GetEra()} }

const erasKept = 4

// Bounds limit what a table remembers.
type Bounds struct {
	// Entries is the most attempts remembered.
	Entries int
	// Age is the longest that an attempt is remembered.
	Age time.Duration
	// AnswerBytes is the most bytes of held answers.
	AnswerBytes int
	// LargestAnswer is the most bytes of one held answer.
	LargestAnswer int
	// AnswerAge is the longest that an answer is held.
	AnswerAge time.Duration
}

// AcceptResult is what becomes of an attempt that arrives.
type AcceptResult int

const (
	// Accepted attempts may begin.
	Accepted AcceptResult = iota
	// Fenced attempts were declared never to begin.
	Fenced
	// Forgotten attempts bear a mark that the memory does not reach back to; they do not begin.
	Forgotten
	// Duplicate attempts have arrived before; the copy does not begin, the first may have.
	Duplicate
)

type phase int

const (
	waiting phase = iota
	fenced
	begun
	finished
)

// Entry is one remembered attempt. Its fields are guarded by the table's mutex.
type Entry struct {
	table    *Table
	phase    phase
	result   *wire.AttemptReply
	done     chan struct{}
	watchers int
	asked    time.Duration
}

type heldAnswer struct {
	entry *Entry
	size  int
	until time.Duration
}

// Table is a node's memory of the attempts that it accepted and of those that it fenced.
type Table struct {
	incarnation string
	now         func() time.Duration
	bounds      Bounds

	mu      sync.Mutex
	floor   uint64
	current uint64
	began   time.Duration
	added   int
	count   int
	eras    map[uint64]map[ID]*Entry
	held    []heldAnswer
	bytes   int
}

// NewTable starts the empty memory of one incarnation of a node.
func NewTable(incarnation string, now func() time.Duration, bounds Bounds) *Table {
	bounds.Entries = max(bounds.Entries, erasKept)
	return &Table{incarnation: incarnation, now: now, bounds: bounds, floor: FirstEra, current: FirstEra, began: now(), eras: map[uint64]map[ID]*Entry{}}
}

// CurrentMark is the present era.
func (t *Table) CurrentMark() Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn()
	return Mark{t.incarnation, t.current}
}

// reaches tells whether every attempt under this mark is still remembered.
func (t *Table) reaches(m Mark) bool {
	return m.Incarnation == t.incarnation && m.Era >= t.floor && m.Era <= t.current
}

// turn begins a new era when the present one has taken its part of the entries or of the time, and forgets the oldest. It comes before each filing, so the eras kept hold at most their bound of entries, whatever marks those bear.
func (t *Table) turn() {
	now := t.now()
	if t.count == 0 && t.added == 0 {
		t.began = now
		return
	}
	if t.added < t.bounds.Entries/erasKept && now-t.began < t.bounds.Age/erasKept {
		return
	}
	t.current++
	t.added, t.began = 0, now
	t.forgetBelow(max(t.floor, t.current+1-min(t.current, erasKept)))
}

func (t *Table) forgetBelow(floor uint64) {
	for era := t.floor; era < floor; era++ {
		t.count -= len(t.eras[era])
		delete(t.eras, era)
	}
	t.floor = floor
}

// file remembers an attempt under a mark that the memory reaches back to.
func (t *Table) file(id ID, m Mark, p phase) *Entry {
	entry := &Entry{table: t, phase: p}
	t.added++
	if t.eras[m.Era] == nil {
		t.eras[m.Era] = map[ID]*Entry{}
	}
	t.eras[m.Era][id] = entry
	t.count++
	return entry
}

// Accept files an attempt that arrived whole. The entry is given with Accepted only.
func (t *Table) Accept(id ID, m Mark) (*Entry, AcceptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn()
	if !t.reaches(m) || len(id) > longestID {
		return nil, Forgotten
	}
	if entry := t.eras[m.Era][id]; entry != nil {
		if entry.phase == fenced {
			return nil, Fenced
		}
		return nil, Duplicate
	}
	return t.file(id, m, waiting), Accepted
}

// Begin is asked right before the first byte may go to the upstream, and tells whether it may.
func (e *Entry) Begin() bool {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.phase != waiting {
		return false
	}
	e.phase = begun
	return true
}

// Withdraw fences an attempt that has not begun, and tells whether it did.
func (e *Entry) Withdraw() bool {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.phase != waiting {
		return false
	}
	e.phase = fenced
	return true
}

// Finish files how an attempt ended.
func (e *Entry) Finish(result *wire.AttemptReply) {
	t := e.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.phase == fenced || e.phase == finished {
		return
	}
	e.phase, e.result = finished, result
	if result.Answer != nil {
		t.hold(e)
	}
	if e.done != nil {
		close(e.done)
	}
}

func size(a *wire.AttemptAnswer) int {
	total := len(a.Body)
	for _, header := range a.Headers {
		total += len(header.Name)
		for _, value := range header.Values {
			total += len(value)
		}
	}
	return total
}

// hold keeps an answer for a while; the oldest make room.
func (t *Table) hold(e *Entry) {
	size := size(e.result.Answer)
	if size > min(t.bounds.LargestAnswer, t.bounds.AnswerBytes) {
		e.dropAnswer()
		return
	}
	t.held = append(t.held, heldAnswer{e, size, t.now() + t.bounds.AnswerAge})
	t.bytes += size
	for t.bytes > t.bounds.AnswerBytes {
		t.dropOldest()
	}
}

func (e *Entry) dropAnswer() {
	e.result = &wire.AttemptReply{State: e.result.State}
}

func (t *Table) dropOldest() {
	oldest := t.held[0]
	t.held[0] = heldAnswer{}
	t.held = t.held[1:]
	t.bytes -= oldest.size
	oldest.entry.dropAnswer()
}

// Sweep lets go of answers and eras that have had their time.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn()
	for len(t.held) > 0 && t.now() >= t.held[0].until {
		t.dropOldest()
	}
}

// Resolve answers the question about an attempt. One that has not begun never will after it.
// For an attempt at work, the entry can be watched until it ends.
func (t *Table) Resolve(id ID, m Mark) (*wire.AttemptReply, *Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn()
	if !t.reaches(m) || len(id) > longestID {
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_UNKNOWN}, nil
	}
	entry := t.eras[m.Era][id]
	if entry == nil {
		entry = t.file(id, m, fenced)
	}
	entry.asked = t.now()
	switch entry.phase {
	case waiting:
		entry.phase = fenced
	case begun:
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_AT_WORK}, entry
	case finished:
		return entry.result, nil
	}
	return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_NEVER_BEGAN}, nil
}

// Watch counts whoever waits for the end of an attempt at work, until leave.
func (e *Entry) Watch() (ended <-chan struct{}, leave func()) {
	t := e.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.done == nil {
		e.done = make(chan struct{})
		if e.phase == finished {
			close(e.done)
		}
	}
	e.watchers++
	return e.done, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		e.watchers--
		e.asked = t.now()
	}
}

// HasRecentInterest tells whether somebody waits for this attempt's end, or asked after it within a span.
func (e *Entry) HasRecentInterest(within time.Duration) bool {
	t := e.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.watchers > 0 || e.asked > 0 && t.now()-e.asked < within
}

// Size counts what is remembered and the bytes of held answers.
func (t *Table) Size() (entries, answerBytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count, t.bytes
}

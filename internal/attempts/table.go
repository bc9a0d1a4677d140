// Package attempts records which attempts of requests a node has accepted for its local upstream, so that after a broken
// connection another node can query whether an attempt began. A query fences an attempt that has not begun: it will never
// begin, so the other node may safely retry the request.
//
// The number of recorded attempts is bounded. Entries are grouped into eras, which are numbered upwards from FirstEra
// within one incarnation of the node. The node that starts an attempt sends a mark with it: the incarnation and era that
// it last received from the other node. The attempt, and every query about it, is recorded under that mark. Entries are
// dropped in whole eras, the oldest first. An attempt whose mark is in a dropped era or another incarnation is not
// accepted, and a query about it is answered with "unknown". This gives two guarantees: a fenced attempt stays fenced
// after its entry is dropped, and "never began" is never reported for an attempt whose entry may have been dropped. They
// do not depend on the clocks of other nodes.
package attempts

import (
	"sync"
	"time"

	"curlewreach/proto/wire"
)

// ID identifies one attempt. Different attempts of one request have different IDs.
type ID string

// maxIDBytes is the maximum length of an ID. Attempts and queries with a longer one are not recorded.
const maxIDBytes = 64

// Mark identifies an era of one incarnation's table.
type Mark struct {
	Incarnation string
	Era         uint64
}

// FirstEra is the number of an incarnation's first era.
const FirstEra = 1

// IsSet reports whether the mark identifies an era.
func (m Mark) IsSet() bool { return m.Incarnation != "" }

// ToWire returns the mark's wire message.
func (m Mark) ToWire() *wire.AttemptMark {
	return &wire.AttemptMark{Incarnation: m.Incarnation, Era: m.Era}
}

// MarkFromWire returns the mark of a wire message, which may be nil.
func MarkFromWire(m *wire.AttemptMark) Mark { return Mark{m.GetIncarnation(), m.GetEra()} }

// maxEras is the number of eras kept. Each takes an equal part of the bounds on entries and age.
const maxEras = 4

// Bounds limits what a table holds.
type Bounds struct {
	// Entries is the maximum number of recorded attempts.
	Entries int
	// Age is the time for which an attempt is recorded.
	Age time.Duration
	// AnswerBytes is the maximum total size of the held answers, in bytes.
	AnswerBytes int
	// LargestAnswer is the maximum size of one held answer, in bytes.
	LargestAnswer int
	// AnswerAge is the maximum time for which an answer is held.
	AnswerAge time.Duration
}

// AcceptResult says whether an attempt that arrived was accepted, or why not.
type AcceptResult int

const (
	// Accepted means that the attempt may begin.
	Accepted AcceptResult = iota
	// Fenced means that the attempt was fenced by a query or withdrawn, so it must not begin.
	Fenced
	// Forgotten means that the attempt's mark is in a dropped era or another incarnation, so it must not begin.
	Forgotten
	// Duplicate means that the attempt has arrived before. The copy must not begin; the first one may have begun.
	Duplicate
)

// phase is the phase of an attempt's execution. Phases only change from waiting to fenced, running or finished, and from
// running to finished.
type phase int

const (
	waiting  phase = iota // accepted, not yet sent to the upstream
	fenced                // must never begin
	running               // sent to the upstream
	finished              // has a result
)

// Entry is one recorded attempt. Its fields are guarded by the table's mutex.
type Entry struct {
	table       *Table
	phase       phase
	result      *wire.AttemptReply // set when the attempt is finished
	done        chan struct{}      // closed when the attempt is finished; nil until it is first watched
	watchers    int
	lastQueried time.Duration // when it was last queried, or a watcher left; 0 if never
}

// heldAnswer is an answer that is kept with its entry until it expires.
type heldAnswer struct {
	entry     *Entry
	size      int // in bytes
	expiresAt time.Duration
}

// Table records the attempts that a node has accepted and those that it has fenced. It is safe for concurrent use.
type Table struct {
	incarnation string
	now         func() time.Duration
	bounds      Bounds

	mu          sync.Mutex
	oldestEra   uint64
	currentEra  uint64
	eraStarted  time.Duration
	addedInEra  int // entries added during the current era, under whatever mark
	entryCount  int
	eras        map[uint64]map[ID]*Entry
	heldAnswers []heldAnswer // the oldest first
	heldBytes   int
}

// NewTable returns an empty table for one incarnation of a node. now returns the time of a monotonic clock.
func NewTable(incarnation string, now func() time.Duration, bounds Bounds) *Table {
	bounds.Entries = max(bounds.Entries, maxEras)
	return &Table{incarnation: incarnation, now: now, bounds: bounds, oldestEra: FirstEra, currentEra: FirstEra, eraStarted: now(), eras: map[uint64]map[ID]*Entry{}}
}

// CurrentMark returns the mark of the current era.
func (t *Table) CurrentMark() Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceEra()
	return Mark{t.incarnation, t.currentEra}
}

// covers reports whether every attempt recorded under this mark is still in the table.
func (t *Table) covers(m Mark) bool {
	return m.Incarnation == t.incarnation && m.Era >= t.oldestEra && m.Era <= t.currentEra
}

// advanceEra starts a new era if the current one has used up its part of the entries or of the time, and drops the oldest.
// It is called before each insertion, so the table never has more entries than its bound, whatever their marks are. It
// does not start a new era while the table is empty.
func (t *Table) advanceEra() {
	now := t.now()
	if t.entryCount == 0 && t.addedInEra == 0 {
		t.eraStarted = now
		return
	}
	if t.addedInEra < t.bounds.Entries/maxEras && now-t.eraStarted < t.bounds.Age/maxEras {
		return
	}
	t.currentEra++
	t.addedInEra, t.eraStarted = 0, now
	t.dropErasBelow(max(t.oldestEra, t.currentEra+1-min(t.currentEra, maxEras)))
}

// dropErasBelow drops all entries of the eras before oldest.
func (t *Table) dropErasBelow(oldest uint64) {
	for era := t.oldestEra; era < oldest; era++ {
		t.entryCount -= len(t.eras[era])
		delete(t.eras, era)
	}
	t.oldestEra = oldest
}

// insert records an attempt under a mark that the table covers.
func (t *Table) insert(id ID, m Mark, p phase) *Entry {
	entry := &Entry{table: t, phase: p}
	t.addedInEra++
	if t.eras[m.Era] == nil {
		t.eras[m.Era] = map[ID]*Entry{}
	}
	t.eras[m.Era][id] = entry
	t.entryCount++
	return entry
}

// NewEntry returns the entry of an attempt that starts on this node itself. It is not recorded, so that it cannot be
// queried, but it can be withdrawn like the others.
func (t *Table) NewEntry() *Entry { return &Entry{table: t, phase: waiting} }

// Accept records an attempt that arrived completely. The entry is nil unless the result is Accepted.
func (t *Table) Accept(id ID, m Mark) (*Entry, AcceptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceEra()
	if !t.covers(m) || len(id) > maxIDBytes {
		return nil, Forgotten
	}
	if entry := t.eras[m.Era][id]; entry != nil {
		if entry.phase == fenced {
			return nil, Fenced
		}
		return nil, Duplicate
	}
	return t.insert(id, m, waiting), Accepted
}

// Begin must be called immediately before the first byte is sent to the upstream. It returns false if the attempt is
// fenced or has already begun; nothing may be sent then.
func (e *Entry) Begin() bool {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.phase != waiting {
		return false
	}
	e.phase = running
	return true
}

// Withdraw fences the attempt if it has not begun, and reports whether it is fenced: then it never begins.
func (e *Entry) Withdraw() bool {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.phase == waiting {
		e.phase = fenced
	}
	return e.phase == fenced
}

// Finish records the result of the attempt. It does nothing if the attempt is fenced or has already finished.
func (e *Entry) Finish(result *wire.AttemptReply) {
	t := e.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.phase == fenced || e.phase == finished {
		return
	}
	e.phase, e.result = finished, result
	if result.Answer != nil {
		t.holdAnswer(e)
	}
	if e.done != nil {
		close(e.done)
	}
}

// answerSize returns the size of an answer's headers and body, in bytes.
func answerSize(a *wire.AttemptAnswer) int {
	total := len(a.Body)
	for _, header := range a.Headers {
		total += len(header.Name)
		for _, value := range header.Values {
			total += len(value)
		}
	}
	return total
}

// holdAnswer keeps the entry's answer for a limited time, and drops the oldest answers if there are too many bytes. An
// answer that is too large is dropped immediately.
func (t *Table) holdAnswer(e *Entry) {
	size := answerSize(e.result.Answer)
	if size > min(t.bounds.LargestAnswer, t.bounds.AnswerBytes) {
		e.dropAnswer()
		return
	}
	t.heldAnswers = append(t.heldAnswers, heldAnswer{e, size, t.now() + t.bounds.AnswerAge})
	t.heldBytes += size
	for t.heldBytes > t.bounds.AnswerBytes {
		t.dropOldestAnswer()
	}
}

// dropAnswer keeps only the state of the entry's result.
func (e *Entry) dropAnswer() {
	e.result = &wire.AttemptReply{State: e.result.State}
}

func (t *Table) dropOldestAnswer() {
	oldest := t.heldAnswers[0]
	t.heldAnswers[0] = heldAnswer{}
	t.heldAnswers = t.heldAnswers[1:]
	t.heldBytes -= oldest.size
	oldest.entry.dropAnswer()
}

// Sweep drops answers and eras that are too old. It must be called regularly.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceEra()
	for len(t.heldAnswers) > 0 && t.now() >= t.heldAnswers[0].expiresAt {
		t.dropOldestAnswer()
	}
}

// Resolve returns the state of an attempt. An attempt that has not begun, or has not arrived, is fenced by the call. If
// the table does not cover the mark, the state is unknown and nothing is recorded. The entry is nil unless the attempt is
// running; it can then be watched until the attempt ends.
func (t *Table) Resolve(id ID, m Mark) (*wire.AttemptReply, *Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceEra()
	if !t.covers(m) || len(id) > maxIDBytes {
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_UNKNOWN}, nil
	}
	entry := t.eras[m.Era][id]
	if entry == nil {
		entry = t.insert(id, m, fenced)
	}
	entry.lastQueried = t.now()
	switch entry.phase {
	case waiting:
		entry.phase = fenced
	case running:
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_AT_WORK}, entry
	case finished:
		return entry.result, nil
	}
	return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_NEVER_BEGAN}, nil
}

// Watch returns a channel that is closed when the attempt ends. The caller counts as a watcher until it calls leave.
func (e *Entry) Watch() (done <-chan struct{}, leave func()) {
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
		e.lastQueried = t.now()
	}
}

// HasRecentInterest reports whether the attempt has a watcher, or was last queried or watched less than the given time
// ago.
func (e *Entry) HasRecentInterest(within time.Duration) bool {
	t := e.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.watchers > 0 || e.lastQueried > 0 && t.now()-e.lastQueried < within
}

// Size returns the number of recorded attempts and the size of the held answers in bytes.
func (t *Table) Size() (entries, answerBytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entryCount, t.heldBytes
}

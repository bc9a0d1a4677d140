package admission

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"curlewreach/base"
)

const (
	// DefaultBodyLimit is the largest body in bytes if the configuration sets no limit.
	DefaultBodyLimit = 8 << 20

	// memoryRatio is the fraction of the process's memory that request bodies may take.
	memoryRatio = 0.25
	// smallBodyRatio is the fraction of that memory that only bodies of at most minReserve bytes may take, so that
	// long bodies never keep short ones out.
	smallBodyRatio = 1.0 / 16
	// defaultCapacity is the limit in bytes if the process's memory is not known.
	defaultCapacity = 64 << 20
	// minReserve is the least number of bytes reserved for a body, and what is reserved at first for one of unknown
	// length.
	minReserve = 64 << 10
	// holdSmoothing is the weight of the newest body in the average time for which a body's memory is held.
	holdSmoothing = 0.1
	// maxBlock is the size in bytes of the largest block of memory that a body is read into.
	maxBlock = 1 << 20
	megabyte = 1 << 20
)

// BodyMemory limits the memory taken by request bodies. It is safe for concurrent use.
type BodyMemory struct {
	clock base.Clock
	// capacity and reserved are in bytes.
	capacity int64
	reserved atomic.Int64
	holds    holdTimes
}

// holdTimes tells for how long bodies hold their memory. It is safe for concurrent use.
type holdTimes struct {
	mu sync.Mutex
	// mean is the average of those that have released it; 0 until one has.
	mean time.Duration
	// held counts the bodies that hold memory, sinceSum is the sum of the times since when.
	held     int
	sinceSum time.Duration
}

// begin records that a body begins to hold memory.
func (h *holdTimes) begin(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held++
	h.sinceSum += now
}

// end records that a body that was read has released its memory, or with read unset that it was rejected.
func (h *holdTimes) end(since, now time.Duration, read bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held--
	h.sinceSum -= since
	switch {
	case !read:
	case h.mean == 0:
		h.mean = now - since
	default:
		h.mean += time.Duration(holdSmoothing * float64(now-since-h.mean))
	}
}

// expected returns for how long memory is expected to be held: the average, or while there is none, as long again as
// bodies have held theirs so far.
func (h *holdTimes) expected(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mean > 0 || h.held == 0 {
		return h.mean
	}
	return now - h.sinceSum/time.Duration(h.held)
}

// Capacity returns the limit in bytes.
func (m *BodyMemory) Capacity() int64 { return m.capacity }

// NewBodyMemory returns a limit of a quarter of the process's memory, which is given in megabytes; 64 MiB if
// memoryMb is 0.
func NewBodyMemory(clock base.Clock, memoryMb uint32) *BodyMemory {
	if memoryMb == 0 {
		return &BodyMemory{clock: clock, capacity: defaultCapacity}
	}
	return &BodyMemory{clock: clock, capacity: int64(float64(memoryMb) * memoryRatio * megabyte)}
}

// RetryAfter returns the time within which memory that is taken now is expected to be released.
func (m *BodyMemory) RetryAfter() time.Duration {
	return max(m.holds.expected(m.clock.Mono()), MinRetryAfter)
}

// Body is a request body in blocks of memory.
type Body [][]byte

// Len returns the length in bytes.
func (b Body) Len() (length int) {
	for _, block := range b {
		length += len(block)
	}
	return length
}

// Read reads a whole body of at most limit bytes; release returns its memory. All memory is reserved before it is
// taken: for a body of known length at once, for another as it grows. The fault is of kind TooLarge if the body exceeds
// limit, Malformed if it ends early, and Overloaded if there is no memory for it, or for the rest of it, now.
func (m *BodyMemory) Read(r *http.Request, limit int64) (body Body, release func(), fault *base.Fault) {
	noRelease := func() {}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, noRelease, nil
	}
	if r.ContentLength > limit {
		return nil, noRelease, base.NewFault(base.TooLarge, "", "a body of %d bytes; at most %d may come", r.ContentLength, limit)
	}
	reservation := &reservation{memory: m, since: m.clock.Mono()}
	if r.ContentLength > 0 {
		body, fault = reservation.readKnown(r.Body, r.ContentLength)
	} else {
		body, fault = reservation.readUnknown(r.Body, limit)
	}
	if fault != nil {
		reservation.end(false)
		return nil, noRelease, fault
	}
	var once sync.Once
	return body, func() { once.Do(func() { reservation.end(true) }) }, nil
}

// reservation is the memory that one body has reserved.
type reservation struct {
	memory *BodyMemory
	bytes  int64
	since  time.Duration
	begun  bool // some bytes have been reserved
}

// grow reserves between least and wanted bytes more, and returns how many; 0 if least aren't there.
func (r *reservation) grow(least, wanted int64) int64 {
	for {
		reserved := r.memory.reserved.Load()
		limit := r.memory.capacity
		if r.bytes+wanted > minReserve {
			limit -= int64(smallBodyRatio * float64(limit))
		}
		granted := min(wanted, limit-reserved)
		if granted < least {
			return 0
		}
		if r.memory.reserved.CompareAndSwap(reserved, reserved+granted) {
			r.recordBegin()
			r.bytes += granted
			return granted
		}
	}
}

// shrink returns what is reserved beyond a number of bytes.
func (r *reservation) shrink(bytes int64) {
	r.memory.reserved.Add(bytes - r.bytes)
	r.bytes = bytes
}

// recordBegin records the first bytes that are reserved.
func (r *reservation) recordBegin() {
	if !r.begun {
		r.begun = true
		r.memory.holds.begin(r.since)
	}
}

// end returns all that is reserved. read is unset if the body was rejected.
func (r *reservation) end(read bool) {
	r.shrink(0)
	if r.begun {
		r.memory.holds.end(r.since, r.memory.clock.Mono(), read)
	}
}

// noMemory says that there is no memory for the body now.
func (r *reservation) noMemory() *base.Fault {
	return base.NewFault(base.Overloaded, "", "the body has no room now").WithRetryAfter(r.memory.RetryAfter())
}

// readKnown reads a body of the given length.
func (r *reservation) readKnown(in io.Reader, length int64) (body Body, fault *base.Fault) {
	if needed := max(length, minReserve); r.grow(needed, needed) == 0 {
		return nil, r.noMemory()
	}
	for length > 0 {
		block := make([]byte, min(length, maxBlock))
		if _, err := io.ReadFull(in, block); err != nil {
			return nil, endedEarly()
		}
		body = append(body, block)
		length -= int64(len(block))
	}
	return body, nil
}

// readUnknown reads a body of unknown length, of at most limit bytes, in blocks that grow with it.
func (r *reservation) readUnknown(in io.Reader, limit int64) (body Body, fault *base.Fault) {
	length := int64(0)
	for {
		size := r.grow(minReserve, min(max(minReserve, length), maxBlock))
		if size == 0 {
			return nil, r.noMemory()
		}
		block := make([]byte, size)
		n, err := io.ReadFull(in, block)
		length += int64(n)
		if length > limit {
			return nil, base.NewFault(base.TooLarge, "", "at most %d bytes may come", limit)
		}
		switch {
		case err == nil:
			body = append(body, block)
			continue
		case !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) || !atEnd(in):
			return nil, endedEarly()
		}
		if n > 0 {
			body = append(body, slices.Clone(block[:n])) // the rest of the block isn't kept
		}
		r.shrink(max(length, minReserve))
		return body, nil
	}
}

// atEnd reports whether a body ended in order. io.ReadFull returns io.ErrUnexpectedEOF both for a body that fills no
// block and for one that broke off; read again, only the former has ended.
func atEnd(in io.Reader) bool {
	var next [1]byte
	n, err := in.Read(next[:])
	return n == 0 && err == io.EOF
}

// endedEarly says that a body broke off.
func endedEarly() *base.Fault { return base.NewFault(base.Malformed, "", "the body ended early") }

package admission

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"curlewreach/base"
)

const (
	// MemoryRetryAfter is when to come back for want of memory.
	MemoryRetryAfter = 250 * time.Millisecond
	// DefaultBodyLimit is the longest body in bytes where the configuration sets none.
	DefaultBodyLimit = 8 << 20

	// memoryRatio is the part of the process's memory that bodies may fill.
	memoryRatio = 0.25
	// untoldMemory is the bound in bytes where the process's memory isn't known.
	untoldMemory = 64 << 20
	// bodyGuess is what is reserved in bytes for a body of unknown length.
	bodyGuess = 64 << 10
	// allocatedAtOnce is the longest body in bytes that is allocated by its announced length.
	allocatedAtOnce = 1 << 20
	megabyte        = 1 << 20
)

// BodyMemory bounds the bytes of request bodies in memory. It is safe for concurrent use.
type BodyMemory struct {
	capacity int64
	held     atomic.Int64
}

// Capacity is the bound in bytes.
func (m *BodyMemory) Capacity() int64 { return m.capacity }

// NewBodyMemory allows a quarter of a process's memory in megabytes, and 64 MiB where that is 0.
func NewBodyMemory(memoryMb uint32) *BodyMemory {
	if memoryMb == 0 {
		return &BodyMemory{capacity: untoldMemory}
	}
	return &BodyMemory{capacity: int64(float64(memoryMb) * memoryRatio * megabyte)}
}

// Read reads a whole body of at most limit bytes; done frees its memory. A fault is of kind TooLarge, of kind Malformed if
// the body ended early, or of kind Crowded if there is no memory for it now.
func (m *BodyMemory) Read(r *http.Request, limit int64) (body []byte, done func(), fault *base.Fault) {
	none := func() {}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, none, nil
	}
	if r.ContentLength > limit {
		return nil, none, base.NewFault(base.TooLarge, "", "a body of %d bytes; at most %d may come", r.ContentLength, limit)
	}
	wanted := max(r.ContentLength, bodyGuess)
	if m.held.Add(wanted) > m.capacity {
		m.held.Add(-wanted)
		return nil, none, base.NewFault(base.Overloaded, "", "the body has no room now").WithRetryAfter(MemoryRetryAfter)
	}
	done = func() { m.held.Add(-wanted) }
	if r.ContentLength > 0 && r.ContentLength <= allocatedAtOnce {
		body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			done()
			return nil, none, base.NewFault(base.Malformed, "", "the body ended early")
		}
		return body, done, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, min(limit, m.capacity)+1))
	if err != nil {
		done()
		return nil, none, base.NewFault(base.Malformed, "", "the body ended early")
	}
	if int64(len(body)) > limit {
		done()
		return nil, none, base.NewFault(base.TooLarge, "", "at most %d bytes may come", limit)
	}
	if int64(len(body)) > m.capacity {
		done()
		return nil, none, base.NewFault(base.Overloaded, "", "the body has no room now").WithRetryAfter(MemoryRetryAfter)
	}
	if more := int64(len(body)) - wanted; more > 0 {
		m.held.Add(more)
		wanted += more
	}
	return body, done, nil
}

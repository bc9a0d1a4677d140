package admission

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"curlewreach/base"
)

const (
	// MemoryRetryAfter is how long a client should wait before it retries a request rejected for lack of body
	// memory.
	MemoryRetryAfter = 250 * time.Millisecond
	// DefaultBodyLimit is the largest body in bytes if the configuration sets no limit.
	DefaultBodyLimit = 8 << 20

	// memoryRatio is the fraction of the process's memory that request bodies may take.
	memoryRatio = 0.25
	// defaultCapacity is the limit in bytes if the process's memory is not known.
	defaultCapacity = 64 << 20
	// unknownLengthReserve is the number of bytes reserved for a body of unknown length, and the least for
	// any body.
	unknownLengthReserve = 64 << 10
	// maxPreallocation is the largest body in bytes for which a buffer of the announced length is allocated
	// before it is read.
	maxPreallocation = 1 << 20
	megabyte         = 1 << 20
)

// BodyMemory limits the memory taken by request bodies. It is safe for concurrent use.
type BodyMemory struct {
	// capacity and reserved are in bytes.
	capacity int64
	reserved atomic.Int64
}

// Capacity returns the limit in bytes.
func (m *BodyMemory) Capacity() int64 { return m.capacity }

// NewBodyMemory returns a limit of a quarter of the process's memory, which is given in megabytes; 64 MiB if
// memoryMb is 0.
func NewBodyMemory(memoryMb uint32) *BodyMemory {
	if memoryMb == 0 {
		return &BodyMemory{capacity: defaultCapacity}
	}
	return &BodyMemory{capacity: int64(float64(memoryMb) * memoryRatio * megabyte)}
}

// Read reads a whole body of at most limit bytes; release returns its memory. The fault is of kind TooLarge
// if the body exceeds limit, Malformed if it ends early, and Overloaded if there is no memory for it now.
func (m *BodyMemory) Read(r *http.Request, limit int64) (body []byte, release func(), fault *base.Fault) {
	noRelease := func() {}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, noRelease, nil
	}
	if r.ContentLength > limit {
		return nil, noRelease, base.NewFault(base.TooLarge, "", "a body of %d bytes; at most %d may come", r.ContentLength, limit)
	}
	reserved := max(r.ContentLength, unknownLengthReserve)
	if m.reserved.Add(reserved) > m.capacity {
		m.reserved.Add(-reserved)
		return nil, noRelease, base.NewFault(base.Overloaded, "", "the body has no room now").WithRetryAfter(MemoryRetryAfter)
	}
	release = func() { m.reserved.Add(-reserved) }
	if r.ContentLength > 0 && r.ContentLength <= maxPreallocation {
		body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			release()
			return nil, noRelease, base.NewFault(base.Malformed, "", "the body ended early")
		}
		return body, release, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, min(limit, m.capacity)+1))
	if err != nil {
		release()
		return nil, noRelease, base.NewFault(base.Malformed, "", "the body ended early")
	}
	if int64(len(body)) > limit {
		release()
		return nil, noRelease, base.NewFault(base.TooLarge, "", "at most %d bytes may come", limit)
	}
	if int64(len(body)) > m.capacity {
		release()
		return nil, noRelease, base.NewFault(base.Overloaded, "", "the body has no room now").WithRetryAfter(MemoryRetryAfter)
	}
	if extra := int64(len(body)) - reserved; extra > 0 {
		m.reserved.Add(extra)
		reserved += extra
	}
	return body, release, nil
}

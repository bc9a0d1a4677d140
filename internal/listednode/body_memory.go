package listednode

import "sync/atomic"

// bodyMemory limits the memory for the bodies of requests and responses.
type bodyMemory struct {
	limit int64        // in bytes
	used  atomic.Int64 // in bytes
}

// reserve reserves size bytes and reports whether that was possible.
func (r *bodyMemory) reserve(size int64) bool {
	if r.used.Add(size) <= r.limit {
		return true
	}
	r.used.Add(-size)
	return false
}

// release gives size bytes back.
func (r *bodyMemory) release(size int64) { r.used.Add(-size) }

package listednode

import "sync/atomic"

// bodyMemory bounds the bytes of requests and answers held in memory.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

func (r *bodyMemory) reserve(size int64) bool {
	if r.used.Add(size) <= r.limit {
		return true
	}
	r.used.Add(-size)
	return false
}

func (r *bodyMemory) release(size int64) { r.used.Add(-size) }

package listednode

import "sync/atomic"

// bodyMemory bounds the bytes of requests and answers held in memory.
type bodyMemory struct {
	most int64
	used atomic.Int64
}

func (r *bodyMemory) take(size int64) bool {
	if r.used.Add(size) <= r.most {
		return true
	}
	r.used.Add(-size)
	return false
}

func (r *bodyMemory) give(size int64) { r.used.Add(-size) }

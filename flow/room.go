package flow

import "sync/atomic"

// room bounds the bytes of requests and answers held in memory.
type room struct {
	most int64
	used atomic.Int64
}

func (r *room) take(size int64) bool {
	if r.used.Add(size) <= r.most {
		return true
	}
	r.used.Add(-size)
	return false
}

func (r *room) give(size int64) { r.used.Add(-size) }

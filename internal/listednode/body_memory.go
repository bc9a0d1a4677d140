package listednode

import "sync/atomic"

// bodyMemory limits the memory for the bodies of requests and responses.
type bodyMemory struct {
	limit int64        // in bytes
	used  atomic.Int64 // in bytes
}

// reserve reserves size bytes and reports whether that was possible.
func (m *bodyMemory) reserve(size int64) bool {
	if m.used.Add(size) <= m.limit {
		return true
	}
	m.used.Add(-size)
	return false
}

// release gives size bytes back.
func (m *bodyMemory) release(size int64) { m.used.Add(-size) }

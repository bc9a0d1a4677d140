package connection

import "time"

const (
	// safeIdleRatio is the fraction of the longest proven idle time within which a connection counts as live.
	safeIdleRatio = 0.5
	// recordTTLRatio is the number of idle timeouts after which a record that was not updated is removed.
	recordTTLRatio = 8
)

// idleRecord holds the longest idle time after which a connection to a peer was found open, and when the peer
// was last checked or a request last required a live connection to it.
type idleRecord struct {
	longestOpen time.Duration
	updatedAt   time.Duration
}

// idleRecords holds, by address, how long peers keep idle connections open. If a peer closes one, its record
// is discarded and built up again from the connections that are still open. Only peers that get requests
// which require a live connection are watched, because each check of an idle connection is a system call. It
// is not safe for concurrent use.
type idleRecords map[string]idleRecord

// watched reports whether idle connections to a peer are checked.
func (r idleRecords) watched(address string) bool {
	_, known := r[address]
	return known
}

// recordOpen records that a connection was found open after an idle time.
func (r idleRecords) recordOpen(address string, idle, now time.Duration) {
	r[address] = idleRecord{longestOpen: max(r[address].longestOpen, idle), updatedAt: now}
}

// recordClosed records that a peer closed an idle connection or sent unsolicited data on one.
func (r idleRecords) recordClosed(address string) {
	if record, watched := r[address]; watched {
		r[address] = idleRecord{updatedAt: record.updatedAt}
	}
}

// safeIdle returns the idle time within which connections to a peer count as live. The peer is watched from
// now on.
func (r idleRecords) safeIdle(address string, now time.Duration) time.Duration {
	record := r[address]
	record.updatedAt = now
	r[address] = record
	return time.Duration(safeIdleRatio * float64(record.longestOpen))
}

// sweep removes records that were not updated lately.
func (r idleRecords) sweep(now, idleTimeout time.Duration) {
	for address, record := range r {
		if now-record.updatedAt > recordTTLRatio*idleTimeout {
			delete(r, address)
		}
	}
}

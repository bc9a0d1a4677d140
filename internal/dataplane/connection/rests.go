package connection

import "time"

const (
	// certainRatio is the part of a rest seen kept that counts as certain.
	certainRatio = 0.5
	// restMemory says how many idle limits a peer is remembered for without news.
	restMemory = 8
)

// restKept is the longest rest after which a connection to a peer was found open, and when the peer was last looked at
// or asked for a certain connection.
type restKept struct {
	longest time.Duration
	seen    time.Duration
}

// restsKept learns, by address, for how long peers keep idle connections open. A connection that a peer closed puts
// all that was learned about it in doubt: it is forgotten, and learned anew from the connections that are still open.
// Only peers are watched to which requests go that need a certain connection, since each look at an idle connection is
// a system call. It has no lock of its own.
type restsKept map[string]restKept

// watched tells whether connections to a peer are looked at while they rest.
func (r restsKept) watched(address string) bool {
	_, known := r[address]
	return known
}

// held notes that a connection was found open after a rest.
func (r restsKept) held(address string, rest, now time.Duration) {
	r[address] = restKept{longest: max(r[address].longest, rest), seen: now}
}

// broke notes that a peer closed an idle connection, or sent on one what nobody asked for.
func (r restsKept) broke(address string) {
	if known, watched := r[address]; watched {
		r[address] = restKept{seen: known.seen}
	}
}

// certain is the longest rest after which a connection to a peer counts as certainly open. From now on the peer is
// watched.
func (r restsKept) certain(address string, now time.Duration) time.Duration {
	known := r[address]
	known.seen = now
	r[address] = known
	return time.Duration(certainRatio * float64(known.longest))
}

// sweep forgets peers without news.
func (r restsKept) sweep(now, idle time.Duration) {
	for address, known := range r {
		if now-known.seen > restMemory*idle {
			delete(r, address)
		}
	}
}

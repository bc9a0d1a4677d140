package simnet

import (
	"sync"
	"time"
)

// retransmitDelay is the extra delay of a lost packet: the stream is reliable, so a loss shows as a TCP retransmission.
const retransmitDelay = 200 * time.Millisecond

// Link describes an impaired link in one direction: ExtraDelay is added to the usual delay of each packet, and Loss is
// the probability, from 0 to 1, that a packet is lost and retransmitted.
type Link struct {
	ExtraDelay time.Duration
	Loss       float64
}

// DisableJitter makes each packet take exactly the usual delay plus the link's extra delay. It must be called before
// there is any traffic.
func (n *Network) DisableJitter() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noJitter = true
}

// SetLink impairs the link from one machine to another, in this direction only, until HealAll.
func (n *Network) SetLink(from, to string, link Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[[2]string{from, to}] = link
}

// limitedLink is the access link of a machine with limited bandwidth. All incoming traffic shares it and is queued.
type limitedLink struct {
	bytesPerSecond float64
	freeAt         time.Time // when all traffic queued so far has arrived
}

// SetBandwidth limits the total incoming traffic of a machine, in bytes per second.
func (n *Network) SetBandwidth(ip string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bandwidths[ip] = &limitedLink{bytesPerSecond: bytesPerSecond}
}

// arriveThrough returns when the last of so many bytes arrives at a machine whose access link they reach at the given
// time, and reserves the link until then. Without a bandwidth limit that is the given time itself.
func (n *Network) arriveThrough(ip string, at time.Time, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := n.bandwidths[ip]
	if link == nil {
		return at
	}
	if link.freeAt.After(at) {
		at = link.freeAt
	}
	link.freeAt = at.Add(time.Duration(float64(bytes) / link.bytesPerSecond * float64(time.Second)))
	return link.freeAt
}

// Impaired reports whether any link is cut or impaired or any process is frozen. Bandwidth limits don't count.
func (n *Network) Impaired() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, cut := range n.cuts {
		if cut {
			return true
		}
	}
	return len(n.links) > 0 || len(n.frozen) > 0
}

// Freeze blocks the network operations of a process until Thaw, as if the process was suspended.
func (n *Network) Freeze(owner string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[owner] == nil {
		n.frozen[owner] = make(chan struct{})
	}
}

// Thaw resumes a frozen process.
func (n *Network) Thaw(owner string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if frozen := n.frozen[owner]; frozen != nil {
		close(frozen)
		delete(n.frozen, owner)
	}
}

// waitWhileFrozen blocks until the process is not frozen.
func (n *Network) waitWhileFrozen(owner string) {
	n.mu.Lock()
	frozen := n.frozen[owner]
	n.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// writeSwap is a pending exchange of two writes. The first write waits until the second one arrives, for 1 s at most.
type writeSwap struct {
	mu     sync.Mutex
	match  func([]byte) bool
	first  []byte
	second chan []byte
	done   bool
}

// SwapWrites exchanges the data of the next two writes from one machine to another that match, once. Tests use it to
// check that a response is never taken for the response to another request.
func (n *Network) SwapWrites(from, to string, match func([]byte) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.swaps[[2]string{from, to}] = &writeSwap{match: match, second: make(chan []byte, 1)}
}

// swapWrite returns the data to send in place of data.
func (n *Network) swapWrite(p *pipe, data []byte) []byte {
	n.mu.Lock()
	s := n.swaps[[2]string{p.from, p.to}]
	n.mu.Unlock()
	if s == nil || !s.match(data) {
		return data
	}
	s.mu.Lock()
	switch {
	case s.done:
		s.mu.Unlock()
		return data
	case s.first == nil:
		s.first = append([]byte(nil), data...)
		s.mu.Unlock()
		select {
		case other := <-s.second:
			return other
		case <-time.After(time.Second):
			return data
		}
	}
	s.done = true
	first := s.first
	s.mu.Unlock()
	s.second <- append([]byte(nil), data...)
	return first
}

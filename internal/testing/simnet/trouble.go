package simnet

import (
	"sync"
	"time"
)

// resend is the time by which a lost packet is late, as TCP sends it again.
const resend = 200 * time.Millisecond

// Link is how a way from one machine to another differs from the usual: a delay
// added, and the ratio of packets that are lost and sent again.
type Link struct {
	ExtraDelay time.Duration
	Loss       float64
}

// DisableJitter takes away the jitter: packets take the usual time exactly.
func (w *Network) DisableJitter() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.even = true
}

// SetLink changes the way from one machine to another.
func (w *Network) SetLink(from, to string, link Link) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links[[2]string{from, to}] = link
}

// thinLink is the link of one machine, on which all that comes in waits its turn.
type thinLink struct {
	bytesPerSecond float64
	free           time.Time // when what is on the way has come in
}

// SetBandwidth limits what comes in at a machine, from all others together.
func (w *Network) SetBandwidth(ip string, bytesPerSecond float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.thin[ip] = &thinLink{bytesPerSecond: bytesPerSecond}
}

// through is when so many bytes have come in at a machine that reach its link at a time.
func (w *Network) through(ip string, at time.Time, bytes int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	link := w.thin[ip]
	if link == nil {
		return at
	}
	if link.free.After(at) {
		at = link.free
	}
	link.free = at.Add(time.Duration(float64(bytes) / link.bytesPerSecond * float64(time.Second)))
	return link.free
}

// Impaired reports whether anything is cut, changed or frozen.
func (w *Network) Impaired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cut := range w.cuts {
		if cut {
			return true
		}
	}
	return len(w.links) > 0 || len(w.frozen) > 0
}

// Freeze stops what a process does on the network, until Thaw.
func (w *Network) Freeze(owner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.frozen[owner] == nil {
		w.frozen[owner] = make(chan struct{})
	}
}

// Thaw lets a frozen process go on.
func (w *Network) Thaw(owner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if frozen := w.frozen[owner]; frozen != nil {
		close(frozen)
		delete(w.frozen, owner)
	}
}

func (w *Network) await(owner string) {
	w.mu.Lock()
	frozen := w.frozen[owner]
	w.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

type crossed struct {
	mu    sync.Mutex
	match func([]byte) bool
	first []byte
	other chan []byte
	done  bool
}

// SwapWrites exchanges the next two writes on the way from one machine to another
// that match, once, to test that an answer isn't taken for another's.
func (w *Network) SwapWrites(from, to string, match func([]byte) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crossing[[2]string{from, to}] = &crossed{match: match, other: make(chan []byte, 1)}
}

func (w *Network) cross(p *pipe, data []byte) []byte {
	w.mu.Lock()
	c := w.crossing[[2]string{p.from, p.to}]
	w.mu.Unlock()
	if c == nil || !c.match(data) {
		return data
	}
	c.mu.Lock()
	switch {
	case c.done:
		c.mu.Unlock()
		return data
	case c.first == nil:
		c.first = append([]byte(nil), data...)
		c.mu.Unlock()
		select {
		case other := <-c.other:
			return other
		case <-time.After(time.Second):
			return data
		}
	}
	c.done = true
	first := c.first
	c.mu.Unlock()
	c.other <- append([]byte(nil), data...)
	return first
}

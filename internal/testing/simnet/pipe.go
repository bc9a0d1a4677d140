package simnet

import (
	"io"
	"os"
	"sync"
	"time"

	"curlewreach/base"
)

// windowMax is the number of unread bytes from which a writer waits, as with
// TCP.
const windowMax = 256 << 10

type packet struct {
	at   time.Time
	data []byte
}

type pipe struct {
	world    *Network
	from, to string
	mu       sync.Mutex
	packets  []packet
	size     int
	last     time.Time
	ended    bool
	broken   error
	readBy   time.Time
	writeBy  time.Time
	bell     base.Broadcast
}

func newPipe(w *Network, from, to string) *pipe { return &pipe{world: w, from: from, to: to} }

// arrival is when a packet of so many bytes that is sent now has come in, after what was sent before it.
func (p *pipe) arrival(bytes int) time.Time {
	at := p.world.through(p.to, time.Now().Add(p.world.delay(p.from, p.to)), bytes)
	if at.Before(p.last) {
		at = p.last
	}
	p.last = at
	return at
}

func (p *pipe) write(data []byte) (int, error) {
	for {
		heard := p.bell.Next()
		p.mu.Lock()
		switch {
		case p.broken != nil:
			p.mu.Unlock()
			return 0, p.broken
		case p.ended:
			p.mu.Unlock()
			return 0, io.ErrClosedPipe
		case expired(p.writeBy):
			p.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case p.size < windowMax:
			p.packets = append(p.packets, packet{p.arrival(len(data)), append([]byte(nil), data...)})
			p.size += len(data)
			p.mu.Unlock()
			p.world.sent.Add(uint64(len(data)))
			p.world.packets.Add(1)
			p.bell.Notify()
			return len(data), nil
		}
		by := p.writeBy
		p.mu.Unlock()
		pause(heard, nil, by)
	}
}

func (p *pipe) read(into []byte) (int, error) {
	for {
		heard, world := p.bell.Next(), p.world.bell.Next()
		n, arrived, by, err := p.take(into, p.world.severed(p.from, p.to))
		if err != nil {
			return 0, err
		}
		if arrived {
			p.bell.Notify()
			return n, nil
		}
		pause(heard, world, by)
	}
}

// take copies out what has arrived. If nothing has, it returns when to look
// again at the latest: at the next packet's arrival or the reader's deadline,
// zero if neither is known.
func (p *pipe) take(into []byte, severed bool) (n int, arrived bool, by time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.broken != nil:
		return 0, false, by, p.broken
	case expired(p.readBy):
		return 0, false, by, os.ErrDeadlineExceeded
	case len(p.packets) == 0 || severed:
		return 0, false, p.readBy, nil
	}
	first := &p.packets[0]
	if first.at.After(time.Now()) {
		if p.readBy.IsZero() || first.at.Before(p.readBy) {
			return 0, false, first.at, nil
		}
		return 0, false, p.readBy, nil
	}
	if first.data == nil {
		return 0, false, by, io.EOF
	}
	n = copy(into, first.data)
	first.data = first.data[n:]
	p.size -= n
	if len(first.data) == 0 {
		p.packets = p.packets[1:]
	}
	return n, true, by, nil
}

func (p *pipe) end() {
	p.mu.Lock()
	if !p.ended {
		p.ended = true
		p.packets = append(p.packets, packet{at: p.arrival(0)})
	}
	p.mu.Unlock()
	p.bell.Notify()
}

func (p *pipe) fail(err error) {
	p.mu.Lock()
	if p.broken == nil {
		p.broken = err
	}
	p.mu.Unlock()
	p.bell.Notify()
}

func expired(by time.Time) bool { return !by.IsZero() && !time.Now().Before(by) }

func pause(first, second <-chan struct{}, by time.Time) {
	var due <-chan time.Time
	if !by.IsZero() {
		wakeup := time.NewTimer(time.Until(by))
		defer wakeup.Stop()
		due = wakeup.C
	}
	select {
	case <-first:
	case <-second:
	case <-due:
	}
}

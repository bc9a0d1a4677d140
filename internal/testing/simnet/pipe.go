package simnet

import (
	"io"
	"os"
	"sync"
	"time"

	"curlewreach/base"
)

// maxUnread is the flow control window in bytes: a writer blocks while at least so many bytes are unread, as with TCP.
const maxUnread = 256 << 10

// packet is the data of one write, or the end of the stream if data is nil.
type packet struct {
	arrival time.Time
	data    []byte
}

// pipe is one direction of a connection, from one machine to another.
type pipe struct {
	network       *Network
	from, to      string
	mu            sync.Mutex
	packets       []packet
	unread        int // bytes
	lastArrival   time.Time
	writeClosed   bool
	err           error // returned by all later reads and writes
	readDeadline  time.Time
	writeDeadline time.Time
	changed       base.Broadcast // notified when any of the fields above changes
}

func newPipe(network *Network, from, to string) *pipe {
	return &pipe{network: network, from: from, to: to}
}

// arrival returns when a packet of so many bytes that is sent now arrives. Packets arrive in the order sent.
func (p *pipe) arrival(bytes int) time.Time {
	at := p.network.arriveThrough(p.to, time.Now().Add(p.network.delay(p.from, p.to)), bytes)
	if at.Before(p.lastArrival) {
		at = p.lastArrival
	}
	p.lastArrival = at
	return at
}

// write queues data as one packet. It blocks while maxUnread is reached.
func (p *pipe) write(data []byte) (int, error) {
	for {
		changed := p.changed.Next()
		p.mu.Lock()
		switch {
		case p.err != nil:
			p.mu.Unlock()
			return 0, p.err
		case p.writeClosed:
			p.mu.Unlock()
			return 0, io.ErrClosedPipe
		case expired(p.writeDeadline):
			p.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case p.unread < maxUnread:
			p.packets = append(p.packets, packet{p.arrival(len(data)), append([]byte(nil), data...)})
			p.unread += len(data)
			p.mu.Unlock()
			p.network.sentBytes.Add(uint64(len(data)))
			p.network.sentPackets.Add(1)
			p.changed.Notify()
			return len(data), nil
		}
		deadline := p.writeDeadline
		p.mu.Unlock()
		waitUntil(changed, nil, deadline)
	}
}

// read blocks until data, the end of the stream or an error arrives, or the read deadline passes.
func (p *pipe) read(buffer []byte) (int, error) {
	for {
		changed, networkChanged := p.changed.Next(), p.network.cutsChanged.Next()
		n, arrived, wakeAt, err := p.receive(buffer, p.network.isCut(p.from, p.to))
		if err != nil {
			return 0, err
		}
		if arrived {
			p.changed.Notify()
			return n, nil
		}
		waitUntil(changed, networkChanged, wakeAt)
	}
}

// receive copies data that has arrived into buffer. If none has, it returns the time at which the reader must check
// again at the latest: the next packet's arrival or the read deadline, whichever is earlier. A zero time means that
// there is neither.
func (p *pipe) receive(buffer []byte, cut bool) (n int, arrived bool, wakeAt time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.err != nil:
		return 0, false, wakeAt, p.err
	case expired(p.readDeadline):
		return 0, false, wakeAt, os.ErrDeadlineExceeded
	case len(p.packets) == 0 || cut:
		return 0, false, p.readDeadline, nil
	}
	first := &p.packets[0]
	if first.arrival.After(time.Now()) {
		if p.readDeadline.IsZero() || first.arrival.Before(p.readDeadline) {
			return 0, false, first.arrival, nil
		}
		return 0, false, p.readDeadline, nil
	}
	if first.data == nil {
		return 0, false, wakeAt, io.EOF
	}
	n = copy(buffer, first.data)
	first.data = first.data[n:]
	p.unread -= n
	if len(first.data) == 0 {
		p.packets = p.packets[1:]
	}
	return n, true, wakeAt, nil
}

// closeWrite queues the end of the stream.
func (p *pipe) closeWrite() {
	p.mu.Lock()
	if !p.writeClosed {
		p.writeClosed = true
		p.packets = append(p.packets, packet{arrival: p.arrival(0)})
	}
	p.mu.Unlock()
	p.changed.Notify()
}

// fail makes all later reads and writes return err, unless the pipe has failed before.
func (p *pipe) fail(err error) {
	p.mu.Lock()
	if p.err == nil {
		p.err = err
	}
	p.mu.Unlock()
	p.changed.Notify()
}

func expired(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// waitUntil blocks until a channel is closed or, unless wakeAt is zero, until wakeAt.
func waitUntil(first, second <-chan struct{}, wakeAt time.Time) {
	var fired <-chan time.Time
	if !wakeAt.IsZero() {
		timer := time.NewTimer(time.Until(wakeAt))
		defer timer.Stop()
		fired = timer.C
	}
	select {
	case <-first:
	case <-second:
	case <-fired:
	}
}

package openfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/proto/wire"
)

const (
	longRest   = 30 * time.Second
	trailBytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	junkBytes  = "\x00\x16 this is no answer\r\n\r\n"
	stuckFor   = time.Hour
)

// Habit describes how an upstream serves paths with a prefix. The work takes Base plus a uniform random
// part of Swing, then makes Calls in order, each "METHOD host path". Size is the approximate response size
// in bytes; Chunks selects chunked encoding.
type Habit struct {
	Prefix string
	Base   time.Duration
	Swing  time.Duration
	Size   int
	Calls  []string
	Chunks bool
}

// Upstream is a simulated service instance beside a node. At most Capacity requests run at a time and Queue
// more wait; the others are rejected, or reset with FullReset. Rest is the idle timeout of its connections
// (30 s if zero), which TellRest announces in a Keep-Alive header. ConnLimit is the most open connections
// (zero sets no limit), Boast is added to the capacity that its heartbeats report, and Dumb sends no
// heartbeats.
type Upstream struct {
	ID        string
	Service   string
	Address   string
	Zone      string
	Capacity  int
	Queue     int
	Rest      time.Duration
	TellRest  bool
	FullReset bool
	ConnLimit int
	Boast     int
	Dumb      bool
	Habits    []Habit
	machine   *Machine
	fleet     *Fleet
	scope     base.Scope
	web       *http.Client
	inner     *client
	mu        sync.Mutex
	troubles  []Trouble
	leaving   bool
	sequence  uint64
	waiting   int
	conns     int
	calls     int
	slots     chan struct{}
	listener  net.Listener
	cancel    context.CancelFunc
	crew      base.Group
	ended     bool
	speed     float64
}

// Start listens on the instance's address and begins its heartbeats. It returns the error of the listen
// call.
func (u *Upstream) Start() error {
	s, cancel := u.scope.WithCancel()
	u.cancel = cancel
	u.slots = make(chan struct{}, u.Capacity)
	u.web = &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial, MaxIdleConnsPerHost: 4}, Timeout: time.Second}
	u.inner = &client{scope: s, history: u.fleet.History, to: u.machine.At(outwardPort), name: u.ID}
	listener, err := s.Net.Listen(u.Address)
	if err != nil {
		cancel()
		return err
	}
	u.listener = listener
	u.crew.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.crew.Go(func() { u.admit(s, conn) })
		}
	})
	if !u.Dumb {
		u.crew.Go(func() {
			u.beat(s)
			base.Tick(s, beatEvery, func(s base.Scope) { u.beat(s) })
		})
	}
	return nil
}

func (u *Upstream) admit(s context.Context, conn net.Conn) {
	u.mu.Lock()
	u.conns++
	over := u.ConnLimit > 0 && u.conns > u.ConnLimit
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.conns--
		u.mu.Unlock()
	}()
	if over {
		newTalk(s, conn).reset()
		return
	}
	u.talk(s, conn)
}

func (u *Upstream) rest() time.Duration {
	if u.Rest > 0 {
		return u.Rest
	}
	return longRest
}

// Instance returns the body of the next heartbeat, with a new sequence number.
func (u *Upstream) Instance() *wire.Instance {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return &wire.Instance{Id: u.ID, Service: u.Service, Address: u.Address, Zone: u.Zone, Capacity: uint32(u.Capacity + u.Boast), Leaving: u.leaving, Sequence: u.sequence}
}

func (u *Upstream) beat(s base.Scope) bool {
	body, _ := json.Marshal(u.Instance())
	return u.report(s, http.MethodPut, body)
}

func (u *Upstream) report(s base.Scope, method string, body []byte) bool {
	request, err := http.NewRequestWithContext(s, method, "http://"+u.machine.At(controlPort)+"/berths/"+u.ID, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := u.web.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode < 300
}

// Leave says that it leaves until that is acknowledged, serves on for the leaving bound and ends.
func (u *Upstream) Leave() {
	u.Announce()
	base.Await(u.scope, leavingBound+300*time.Millisecond)
	u.report(u.scope, http.MethodDelete, nil)
	u.end(false)
}

// Announce reports to the node that the instance is leaving, up to 50 times at 100 ms intervals, and
// records when the node acknowledges it.
func (u *Upstream) Announce() {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	for range 50 {
		if u.beat(u.scope) {
			h := u.fleet.History
			note(h, &h.left, Departure{u.ID, h.Now()})
			return
		}
		base.Await(u.scope, 100*time.Millisecond)
	}
}

// Kill ends the instance at once and closes its connections, without draining and without a last heartbeat.
func (u *Upstream) Kill() { u.end(true) }

func (u *Upstream) end(hard bool) {
	u.mu.Lock()
	ended := u.ended
	u.ended = true
	u.mu.Unlock()
	if ended {
		return
	}
	_ = u.listener.Close()
	if !hard {
		for range 20 {
			if len(u.slots) == 0 {
				break
			}
			base.Await(u.scope, 50*time.Millisecond)
		}
	}
	u.cancel()
	u.fleet.World.Crash(u.machine.IP, u.scope.Node, false)
	u.crew.Wait()
	u.inner.close()
	u.web.CloseIdleConnections()
}

// SetSpeed makes work take so many times as long.
func (u *Upstream) SetSpeed(times float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.speed = times
}

// Running returns how many requests hold a slot of the instance's capacity.
func (u *Upstream) Running() int { return len(u.slots) }

func (u *Upstream) habit(path string) Habit {
	for _, each := range u.Habits {
		if strings.HasPrefix(path, each.Prefix) {
			return each
		}
	}
	return Habit{Base: 2 * time.Millisecond, Size: 64}
}

type turn int

const (
	entered turn = iota
	full
	expired
	dropped
)

func (u *Upstream) enter(gone context.Context, left time.Duration) turn {
	select {
	case u.slots <- struct{}{}:
		return entered
	default:
	}
	u.mu.Lock()
	if u.waiting >= u.Queue {
		u.mu.Unlock()
		return full
	}
	u.waiting++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
	}()
	wakeup := time.NewTimer(left)
	defer wakeup.Stop()
	select {
	case u.slots <- struct{}{}:
		return entered
	case <-gone.Done():
		return dropped
	case <-wakeup.C:
		return expired
	}
}

func (u *Upstream) serve(t *talk, r *http.Request, body []byte) (keep bool) {
	h, speech := u.fleet.History, forwarding.DefaultHeaderNames
	began := h.Now()
	id, wanted := r.Header.Get(speech.RequestID), r.Header.Get(speech.Target)
	row := &Arrival{ID: id, At: began, Service: u.Service, Instance: u.ID, Method: r.Method, Host: r.Host, Target: r.RequestURI, Digest: digest(body), Caller: r.Header.Get(speech.Caller)}
	row.Missed = wanted != "" && wanted != u.ID
	h.Arrived(row)
	tagged := []string{speech.RequestID + ": " + id}
	if u.TellRest {
		tagged = append(tagged, fmt.Sprintf("Keep-Alive: timeout=%d", int(u.rest().Seconds())))
	}
	away := append([]string{speech.NotRun + ": 1"}, tagged...)
	ms, err := strconv.ParseInt(r.Header.Get(speech.TimeLeft), 10, 64)
	switch {
	case id == "" || err != nil:
		return t.say(text(http.StatusBadRequest, []string{speech.NotRun + ": 1"}, nil)) == nil
	case row.Missed:
		return t.say(text(http.StatusMisdirectedRequest, away, nil)) == nil
	}
	until := began + time.Duration(ms)*time.Millisecond
	switch u.enter(t.gone, until-began) {
	case full:
		if u.FullReset {
			t.reset()
			return false
		}
		return t.say(text(http.StatusServiceUnavailable, away, nil)) == nil
	case expired:
		return t.say(text(http.StatusServiceUnavailable, away, nil)) == nil
	case dropped:
		return false
	}
	defer func() { <-u.slots }()
	repeat := h.Ran(row)
	status, answer := u.work(t.gone, r, id, repeat, until)
	if t.gone.Err() != nil {
		h.Mark(func() { row.Ended, row.Gone = h.Now(), true })
		return false
	}
	trouble := u.draw()
	h.Mark(func() {
		row.Ended, row.Status = h.Now(), status
		row.Broke = trouble.Fault == Silent || trouble.Fault == Reset || trouble.Fault == Torn || trouble.Fault == Garbled || trouble.Fault == Endless || trouble.Fault == Hangup
	})
	return u.tell(t, trouble, tagged, id, status, answer, u.habit(r.URL.Path).Chunks)
}

func (u *Upstream) work(gone context.Context, r *http.Request, id string, repeat bool, until time.Duration) (status int, answer []byte) {
	h := u.fleet.History
	habit := u.habit(r.URL.Path)
	u.mu.Lock()
	speed := u.speed
	u.mu.Unlock()
	pause := time.Duration(speed * (float64(habit.Base) + float64(habit.Swing)*u.scope.Rand.Float64()))
	base.Await(u.scope.WithContext(gone), min(pause, until-h.Now()))
	for _, call := range habit.Calls {
		if gone.Err() != nil {
			return 0, nil
		}
		if h.Now() >= until {
			return http.StatusGatewayTimeout, nil
		}
		if told := u.call(r, call, id, repeat, until); told.Status != http.StatusOK {
			if h.Now() >= until {
				return http.StatusGatewayTimeout, nil
			}
			return http.StatusInternalServerError, nil
		}
	}
	if h.Now() >= until {
		return http.StatusGatewayTimeout, nil
	}
	return http.StatusOK, []byte(strings.Repeat(id+" "+u.ID+"\n", 1+habit.Size/(len(id)+len(u.ID)+2)))
}

func (u *Upstream) call(parent *http.Request, call, id string, repeat bool, until time.Duration) *Told {
	u.mu.Lock()
	u.calls++
	name := fmt.Sprintf("%s.%s.%d", id, u.ID, u.calls)
	u.mu.Unlock()
	ask := u.fleet.ask(u.machine, call, name)
	ask.Inner, ask.Repeats, ask.Until = true, repeat, until
	return u.inner.ask(ask, nil, false, false)
}

func (u *Upstream) tell(t *talk, trouble Trouble, tagged []string, id string, status int, answer []byte, chunks bool) (keep bool) {
	speech := forwarding.DefaultHeaderNames
	header := tagged
	if status == http.StatusOK {
		header = append([]string{speech.Seal + ": " + seal(id, u.ID, answer)}, tagged...)
	}
	u.mu.Lock()
	closing := u.leaving
	u.mu.Unlock()
	if trouble.Fault == Closing || closing {
		_ = t.say(text(status, append([]string{"Connection: close"}, header...), answer))
		return false
	}
	whole := text(status, header, answer)
	if chunks && status == http.StatusOK {
		whole = chunked(header, answer)
	}
	if u.breaks(t, trouble.Fault, text(status, header, answer), whole, answer) {
		return false
	}
	if t.say(spoilt(t, trouble.Fault, whole, text(status, tagged, answer), text(http.StatusInternalServerError, tagged, nil))) != nil {
		return false
	}
	switch trouble.Fault {
	case LateTwin:
		t.sayLater(trouble.Late, whole)
	case LateTrail:
		t.sayLater(trouble.Late, []byte(junkBytes))
	}
	return true
}

// breaks ends the connection without a whole answer, if the fault asks for it. plain is the answer in one piece with its
// length, whole as it would be sent.
func (u *Upstream) breaks(t *talk, fault Fault, plain, whole, body []byte) (broke bool) {
	switch fault {
	case Silent:
		base.Await(u.scope.WithContext(t.gone), stuckFor)
	case Reset:
		t.reset()
	case Torn:
		_ = t.say(whole[:len(whole)-6-len(body)/2])
	case Garbled:
		_ = t.say([]byte(junkBytes))
	case Endless:
		head, _, _ := bytes.Cut(plain, []byte("Content-Length"))
		_ = t.say(append(append(head, "Connection: close\r\n\r\n"...), body[:len(body)/2]...))
	case Hangup:
		_ = t.conn.Close()
	default:
		return false
	}
	return true
}

// spoilt gives what is sent in place of a whole answer, and keeps what is to come with the next one.
func spoilt(t *talk, fault Fault, whole, unsealed, failing []byte) []byte {
	switch fault {
	case Unsealed:
		return unsealed
	case Twin:
		return append(whole, whole...)
	case Trail:
		return append(whole, junkBytes...)
	case Crossed:
		return append([]byte(trailBytes), whole...)
	case Stale:
		t.owed = whole
	case Failing:
		return failing
	}
	return whole
}

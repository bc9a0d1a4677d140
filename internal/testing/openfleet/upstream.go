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

// Behavior describes how an upstream serves paths with a prefix. The work takes Base plus a uniform random
// part of Swing, then makes Calls in order, each "METHOD host path". Size is the approximate response size
// in bytes; Chunks selects chunked encoding.
type Behavior struct {
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
	ID                    string
	Service               string
	Address               string
	Zone                  string
	Capacity              int
	Queue                 int
	IdleTimeout           time.Duration
	AnnounceIdleTimeout   bool
	ResetWhenFull         bool
	ConnLimit             int
	ExtraReportedCapacity int
	NoHeartbeats          bool
	Behaviors             []Behavior
	machine               *Machine
	fleet                 *Fleet
	scope                 base.Scope
	web                   *http.Client
	inner                 *client
	mu                    sync.Mutex
	troubles              []FaultRate
	leaving               bool
	sequence              uint64
	waiting               int
	conns                 int
	calls                 int
	slots                 chan struct{}
	listener              net.Listener
	cancel                context.CancelFunc
	crew                  base.Group
	ended                 bool
	speed                 float64
}

// Start listens on the instance's address and begins its heartbeats. It returns the error of the listen
// call.
func (u *Upstream) Start() error {
	s, cancel := u.scope.WithCancel()
	u.cancel = cancel
	u.slots = make(chan struct{}, u.Capacity)
	u.web = &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial, MaxIdleConnsPerHost: 4}, Timeout: time.Second}
	u.inner = &client{scope: s, history: u.fleet.History, to: u.machine.Address(outwardPort), name: u.ID}
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
	if !u.NoHeartbeats {
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
	if u.IdleTimeout > 0 {
		return u.IdleTimeout
	}
	return longRest
}

// NextHeartbeat returns the body of the next heartbeat, with a new sequence number.
func (u *Upstream) NextHeartbeat() *wire.Instance {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return &wire.Instance{Id: u.ID, Service: u.Service, Address: u.Address, Zone: u.Zone, Capacity: uint32(u.Capacity + u.ExtraReportedCapacity), Leaving: u.leaving, Sequence: u.sequence}
}

func (u *Upstream) beat(s base.Scope) bool {
	body, _ := json.Marshal(u.NextHeartbeat())
	return u.report(s, http.MethodPut, body)
}

func (u *Upstream) report(s base.Scope, method string, body []byte) bool {
	request, err := http.NewRequestWithContext(s, method, "http://"+u.machine.Address(controlPort)+"/berths/"+u.ID, bytes.NewReader(body))
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
	u.AnnounceLeaving()
	base.Await(u.scope, leavingBound+300*time.Millisecond)
	u.report(u.scope, http.MethodDelete, nil)
	u.end(false)
}

// AnnounceLeaving reports to the node that the instance is leaving, up to 50 times at 100 ms intervals, and
// records when the node acknowledges it.
func (u *Upstream) AnnounceLeaving() {
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

// SetSlowdown makes work take so many times as long.
func (u *Upstream) SetSlowdown(times float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.speed = times
}

// ActiveRequests returns how many requests hold a slot of the instance's capacity.
func (u *Upstream) ActiveRequests() int { return len(u.slots) }

func (u *Upstream) habit(path string) Behavior {
	for _, each := range u.Behaviors {
		if strings.HasPrefix(path, each.Prefix) {
			return each
		}
	}
	return Behavior{Base: 2 * time.Millisecond, Size: 64}
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
	row := &Arrival{ID: id, ArrivedAt: began, Service: u.Service, Instance: u.ID, Method: r.Method, Host: r.Host, Target: r.RequestURI, Digest: digest(body), Caller: r.Header.Get(speech.Caller)}
	row.Misdirected = wanted != "" && wanted != u.ID
	h.RecordArrival(row)
	tagged := []string{speech.RequestID + ": " + id}
	if u.AnnounceIdleTimeout {
		tagged = append(tagged, fmt.Sprintf("Keep-Alive: timeout=%d", int(u.rest().Seconds())))
	}
	away := append([]string{speech.NotRun + ": 1"}, tagged...)
	ms, err := strconv.ParseInt(r.Header.Get(speech.TimeLeft), 10, 64)
	switch {
	case id == "" || err != nil:
		return t.say(text(http.StatusBadRequest, []string{speech.NotRun + ": 1"}, nil)) == nil
	case row.Misdirected:
		return t.say(text(http.StatusMisdirectedRequest, away, nil)) == nil
	}
	until := began + time.Duration(ms)*time.Millisecond
	switch u.enter(t.gone, until-began) {
	case full:
		if u.ResetWhenFull {
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
	repeat := h.RecordExecution(row)
	status, answer := u.work(t.gone, r, id, repeat, until)
	if t.gone.Err() != nil {
		h.Update(func() { row.EndedAt, row.CallerGone = h.Now(), true })
		return false
	}
	trouble := u.draw()
	h.Update(func() {
		row.EndedAt, row.Status = h.Now(), status
		row.ResponseBroken = trouble.Fault == NoResponse || trouble.Fault == ConnReset || trouble.Fault == TruncatedBody || trouble.Fault == InvalidResponse || trouble.Fault == UndelimitedBody || trouble.Fault == CloseWithoutResponse
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

func (u *Upstream) call(parent *http.Request, call, id string, repeat bool, until time.Duration) *Outcome {
	u.mu.Lock()
	u.calls++
	name := fmt.Sprintf("%s.%s.%d", id, u.ID, u.calls)
	u.mu.Unlock()
	ask := u.fleet.ask(u.machine, call, name)
	ask.FromUpstream, ask.DuringRetry, ask.Deadline = true, repeat, until
	return u.inner.ask(ask, nil, false, false)
}

func (u *Upstream) tell(t *talk, trouble FaultRate, tagged []string, id string, status int, answer []byte, chunks bool) (keep bool) {
	speech := forwarding.DefaultHeaderNames
	header := tagged
	if status == http.StatusOK {
		header = append([]string{speech.Seal + ": " + seal(id, u.ID, answer)}, tagged...)
	}
	u.mu.Lock()
	closing := u.leaving
	u.mu.Unlock()
	if trouble.Fault == CloseAfterResponse || closing {
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
	case LateDuplicate:
		t.sayLater(trouble.Delay, whole)
	case LateTrailingBytes:
		t.sayLater(trouble.Delay, []byte(junkBytes))
	}
	return true
}

// breaks ends the connection without a whole answer, if the fault asks for it. plain is the answer in one piece with its
// length, whole as it would be sent.
func (u *Upstream) breaks(t *talk, fault Fault, plain, whole, body []byte) (broke bool) {
	switch fault {
	case NoResponse:
		base.Await(u.scope.WithContext(t.gone), stuckFor)
	case ConnReset:
		t.reset()
	case TruncatedBody:
		_ = t.say(whole[:len(whole)-6-len(body)/2])
	case InvalidResponse:
		_ = t.say([]byte(junkBytes))
	case UndelimitedBody:
		head, _, _ := bytes.Cut(plain, []byte("Content-Length"))
		_ = t.say(append(append(head, "Connection: close\r\n\r\n"...), body[:len(body)/2]...))
	case CloseWithoutResponse:
		_ = t.conn.Close()
	default:
		return false
	}
	return true
}

// spoilt gives what is sent in place of a whole answer, and keeps what is to come with the next one.
func spoilt(t *talk, fault Fault, whole, unsealed, failing []byte) []byte {
	switch fault {
	case MissingSeal:
		return unsealed
	case DuplicateResponse:
		return append(whole, whole...)
	case TrailingBytes:
		return append(whole, junkBytes...)
	case UnrelatedResponse:
		return append([]byte(trailBytes), whole...)
	case DuplicateOnNextRequest:
		t.owed = whole
	case InternalError:
		return failing
	}
	return whole
}

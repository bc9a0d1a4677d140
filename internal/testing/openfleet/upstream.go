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
	defaultIdleTimeout     = 30 * time.Second
	unrelatedResponseBytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	invalidBytes           = "\x00\x16 this is no answer\r\n\r\n"
	noResponseFor          = time.Hour // longer than any client waits
)

// Behavior describes how an upstream serves paths with a prefix. The execution takes Base plus a uniform random part of
// Swing, then makes Calls in order, each "METHOD host path". Size is the approximate response size in bytes; Chunks
// selects chunked encoding.
type Behavior struct {
	Prefix string
	Base   time.Duration
	Swing  time.Duration
	Size   int
	Calls  []string
	Chunks bool
}

// Upstream is a simulated service instance beside a node. At most Capacity requests run at a time and Queue more wait;
// the others are rejected, or their connections reset with ResetWhenFull. IdleTimeout is that of its connections (30 s
// if zero), which AnnounceIdleTimeout makes it send in a Keep-Alive header. ConnLimit is the largest number of open
// connections (zero sets no limit), ExtraReportedCapacity is added to the capacity that its heartbeats report, and
// NoHeartbeats suppresses heartbeats.
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
	httpClient            *http.Client
	client                *client
	mu                    sync.Mutex
	faults                []FaultRate
	leaving               bool
	silent                bool
	sequence              uint64
	waiting               int
	conns                 int
	calls                 int
	slots                 chan struct{}
	listener              net.Listener
	cancel                context.CancelFunc
	tasks                 base.Group
	ended                 bool
	slowdown              float64
}

// Start listens on the instance's address and begins its heartbeats. It returns the error of the listen call.
func (u *Upstream) Start() error {
	s, cancel := u.scope.WithCancel()
	u.cancel = cancel
	u.slots = make(chan struct{}, u.Capacity)
	u.httpClient = &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial, MaxIdleConnsPerHost: 4}, Timeout: time.Second}
	u.client = &client{scope: s, history: u.fleet.History, address: u.machine.Address(outboundPort), name: u.ID}
	listener, err := s.Net.Listen(u.Address)
	if err != nil {
		cancel()
		return err
	}
	u.listener = listener
	u.tasks.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.tasks.Go(func() { u.handleConn(s, conn) })
		}
	})
	if !u.NoHeartbeats {
		u.tasks.Go(func() { u.sendHeartbeats(s) })
	}
	return nil
}

// handleConn serves a connection, or resets it if ConnLimit is exceeded.
func (u *Upstream) handleConn(s context.Context, conn net.Conn) {
	u.mu.Lock()
	u.conns++
	overLimit := u.ConnLimit > 0 && u.conns > u.ConnLimit
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.conns--
		u.mu.Unlock()
	}()
	if overLimit {
		newServerConn(s, conn).reset()
		return
	}
	u.serveConn(s, conn)
}

func (u *Upstream) idleTimeout() time.Duration {
	if u.IdleTimeout > 0 {
		return u.IdleTimeout
	}
	return defaultIdleTimeout
}

// NextHeartbeat returns the body of the next heartbeat, with a new sequence number.
func (u *Upstream) NextHeartbeat() *wire.Instance {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return &wire.Instance{Id: u.ID, Service: u.Service, Address: u.Address, Zone: u.Zone, Capacity: uint32(u.Capacity + u.ExtraReportedCapacity), Leaving: u.leaving, Sequence: u.sequence}
}

// sendHeartbeats sends heartbeats until the scope ends, except while the instance is silent.
func (u *Upstream) sendHeartbeats(s base.Scope) {
	u.sendHeartbeat(s)
	base.Tick(s, heartbeatInterval, func(s base.Scope) {
		if !u.isSilent() {
			u.sendHeartbeat(s)
		}
	})
}

// sendHeartbeat sends one heartbeat to the node and reports whether the node accepted it.
func (u *Upstream) sendHeartbeat(s base.Scope) bool { return u.deliver(s, u.NextHeartbeat()) }

// deliver sends a heartbeat, which may be an old one, and reports whether the node accepted it.
func (u *Upstream) deliver(s base.Scope, heartbeat *wire.Instance) bool {
	body, _ := json.Marshal(heartbeat)
	return u.callNode(s, http.MethodPut, body)
}

// DeliverLate delivers a heartbeat that NextHeartbeat returned some time ago.
func (u *Upstream) DeliverLate(heartbeat *wire.Instance) bool { return u.deliver(u.scope, heartbeat) }

// isSilent reports whether the instance has stopped its heartbeats.
func (u *Upstream) isSilent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.silent
}

// callNode calls the node's control endpoint for this instance and reports whether the response is a success.
func (u *Upstream) callNode(s base.Scope, method string, body []byte) bool {
	request, err := http.NewRequestWithContext(s, method, "http://"+u.machine.Address(controlPort)+"/berths/"+u.ID, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := u.httpClient.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode < 300
}

// Leave announces that the instance is leaving, serves for drainBound and 300 ms more, deregisters it and shuts it
// down.
func (u *Upstream) Leave() {
	u.AnnounceLeaving()
	base.Await(u.scope, drainBound+300*time.Millisecond)
	u.callNode(u.scope, http.MethodDelete, nil)
	u.shutDown(false)
}

// AnnounceLeaving reports to the node that the instance is leaving, until the node acknowledges it, and records when
// that was. It reports whether the node acknowledged it.
func (u *Upstream) AnnounceLeaving() bool {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	return u.announce(func() bool { return u.sendHeartbeat(u.scope) })
}

// AnnounceGone ends the heartbeats and reports to the node that the instance is gone, without having said that it is
// leaving, until the node acknowledges it. The instance serves on.
func (u *Upstream) AnnounceGone() bool {
	u.mu.Lock()
	u.silent = true
	u.mu.Unlock()
	return u.announce(func() bool { return u.callNode(u.scope, http.MethodDelete, nil) })
}

// announce makes a call up to 50 times at 100 ms intervals until it is acknowledged, and records when that was.
func (u *Upstream) announce(call func() bool) (acknowledged bool) {
	for range 50 {
		if call() {
			h := u.fleet.History
			appendRecord(h, &h.departures, Departure{u.ID, h.Now()})
			return true
		}
		base.Await(u.scope, 100*time.Millisecond)
	}
	return false
}

// Kill ends the instance at once and closes its connections, without draining and without a last heartbeat.
func (u *Upstream) Kill() { u.shutDown(true) }

// shutDown ends the instance once. Unless immediate, it first waits up to 1 s for requests under way.
func (u *Upstream) shutDown(immediate bool) {
	u.mu.Lock()
	alreadyEnded := u.ended
	u.ended = true
	u.mu.Unlock()
	if alreadyEnded {
		return
	}
	_ = u.listener.Close()
	if !immediate {
		for range 20 {
			if len(u.slots) == 0 {
				break
			}
			base.Await(u.scope, 50*time.Millisecond)
		}
	}
	u.cancel()
	u.fleet.World.Crash(u.machine.IP, u.scope.Node, false)
	u.tasks.Wait()
	u.client.close()
	u.httpClient.CloseIdleConnections()
}

// SetSlowdown multiplies the duration of later executions by factor.
func (u *Upstream) SetSlowdown(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slowdown = factor
}

// ActiveRequests returns how many requests hold a slot of the instance's capacity.
func (u *Upstream) ActiveRequests() int { return len(u.slots) }

// behaviorFor returns the first behavior that matches the path, or a default one.
func (u *Upstream) behaviorFor(path string) Behavior {
	for _, behavior := range u.Behaviors {
		if strings.HasPrefix(path, behavior.Prefix) {
			return behavior
		}
	}
	return Behavior{Base: 2 * time.Millisecond, Size: 64}
}

// slotResult is how the wait of a request for a slot ended.
type slotResult int

const (
	slotAcquired slotResult = iota
	queueFull
	deadlineExpired
	callerGone
)

// acquireSlot takes a slot of the instance's capacity, waiting in the queue if there is room.
func (u *Upstream) acquireSlot(ctx context.Context, wait time.Duration) slotResult {
	select {
	case u.slots <- struct{}{}:
		return slotAcquired
	default:
	}
	u.mu.Lock()
	if u.waiting >= u.Queue {
		u.mu.Unlock()
		return queueFull
	}
	u.waiting++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
	}()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case u.slots <- struct{}{}:
		return slotAcquired
	case <-ctx.Done():
		return callerGone
	case <-timer.C:
		return deadlineExpired
	}
}

// serve handles one request and reports whether the connection can be used for another. It rejects requests as not run
// that lack an ID or a deadline, are addressed to another instance, find the queue full or wait beyond their deadline.
func (u *Upstream) serve(conn *serverConn, r *http.Request, body []byte) (keepOpen bool) {
	h, headers := u.fleet.History, forwarding.DefaultHeaderNames
	start := h.Now()
	id, target := r.Header.Get(headers.RequestID), r.Header.Get(headers.Target)
	arrival := &Arrival{ID: id, ArrivedAt: start, Service: u.Service, Instance: u.ID, Method: r.Method, Host: r.Host, Target: r.RequestURI, Digest: digest(body), Caller: r.Header.Get(headers.Caller)}
	arrival.Misdirected = target != "" && target != u.ID
	h.RecordArrival(arrival)
	header := []string{headers.RequestID + ": " + id}
	if u.AnnounceIdleTimeout {
		header = append(header, fmt.Sprintf("Keep-Alive: timeout=%d", int(u.idleTimeout().Seconds())))
	}
	notRun := append([]string{headers.NotRun + ": 1"}, header...)
	ms, err := strconv.ParseInt(r.Header.Get(headers.TimeLeft), 10, 64)
	switch {
	case id == "" || err != nil:
		return conn.write(formatResponse(http.StatusBadRequest, []string{headers.NotRun + ": 1"}, nil)) == nil
	case arrival.Misdirected:
		return conn.write(formatResponse(http.StatusMisdirectedRequest, notRun, nil)) == nil
	}
	deadline := start + time.Duration(ms)*time.Millisecond
	switch u.acquireSlot(conn.ctx, deadline-start) {
	case queueFull:
		if u.ResetWhenFull {
			conn.reset()
			return false
		}
		return conn.write(formatResponse(http.StatusServiceUnavailable, notRun, nil)) == nil
	case deadlineExpired:
		return conn.write(formatResponse(http.StatusServiceUnavailable, notRun, nil)) == nil
	case callerGone:
		return false
	}
	defer func() { <-u.slots }()
	retry := h.RecordExecution(arrival)
	status, responseBody := u.execute(conn.ctx, r, id, retry, deadline)
	if conn.ctx.Err() != nil {
		h.Update(func() { arrival.EndedAt, arrival.CallerGone = h.Now(), true })
		return false
	}
	injected := u.drawFault()
	h.Update(func() {
		arrival.EndedAt, arrival.Status = h.Now(), status
		arrival.ResponseBroken = injected.Fault == NoResponse || injected.Fault == ConnReset || injected.Fault == TruncatedBody || injected.Fault == InvalidResponse || injected.Fault == UndelimitedBody || injected.Fault == CloseWithoutResponse
	})
	return u.respond(conn, injected, header, id, status, responseBody, u.behaviorFor(r.URL.Path).Chunks)
}

// execute simulates the execution of a request: it waits for the behavior's duration and makes its calls. It returns
// status 504 once the deadline has passed, and 500 if a call fails.
func (u *Upstream) execute(ctx context.Context, r *http.Request, id string, retry bool, deadline time.Duration) (status int, body []byte) {
	h := u.fleet.History
	behavior := u.behaviorFor(r.URL.Path)
	u.mu.Lock()
	slowdown := u.slowdown
	u.mu.Unlock()
	duration := time.Duration(slowdown * (float64(behavior.Base) + float64(behavior.Swing)*u.scope.Rand.Float64()))
	base.Await(u.scope.WithContext(ctx), min(duration, deadline-h.Now()))
	for _, call := range behavior.Calls {
		if ctx.Err() != nil {
			return 0, nil
		}
		if h.Now() >= deadline {
			return http.StatusGatewayTimeout, nil
		}
		if outcome := u.callDependency(r, call, id, retry, deadline); outcome.Status != http.StatusOK {
			if h.Now() >= deadline {
				return http.StatusGatewayTimeout, nil
			}
			return http.StatusInternalServerError, nil
		}
	}
	if h.Now() >= deadline {
		return http.StatusGatewayTimeout, nil
	}
	return http.StatusOK, []byte(strings.Repeat(id+" "+u.ID+"\n", 1+behavior.Size/(len(id)+len(u.ID)+2)))
}

// callDependency makes one call "METHOD host path" through the node beside the instance.
func (u *Upstream) callDependency(parent *http.Request, call, id string, retry bool, deadline time.Duration) *Outcome {
	u.mu.Lock()
	u.calls++
	name := fmt.Sprintf("%s.%s.%d", id, u.ID, u.calls)
	u.mu.Unlock()
	attempt := u.fleet.newAttempt(u.machine, call, name)
	attempt.FromUpstream, attempt.DuringRetry, attempt.Deadline = true, retry, deadline
	return u.client.do(attempt, nil, false, false)
}

// respond sends the response with the injected fault and reports whether the connection stays open.
func (u *Upstream) respond(conn *serverConn, injected FaultRate, header []string, id string, status int, body []byte, chunked bool) (keepOpen bool) {
	headers := forwarding.DefaultHeaderNames
	sealedHeader := header
	if status == http.StatusOK {
		sealedHeader = append([]string{headers.Seal + ": " + seal(id, u.ID, body)}, header...)
	}
	u.mu.Lock()
	leaving := u.leaving
	u.mu.Unlock()
	if injected.Fault == CloseAfterResponse || leaving {
		_ = conn.write(formatResponse(status, append([]string{"Connection: close"}, sealedHeader...), body))
		return false
	}
	whole := formatResponse(status, sealedHeader, body)
	if chunked && status == http.StatusOK {
		whole = formatChunkedResponse(sealedHeader, body)
	}
	if u.breakResponse(conn, injected.Fault, formatResponse(status, sealedHeader, body), whole, body) {
		return false
	}
	if conn.write(alterResponse(conn, injected.Fault, whole, formatResponse(status, header, body), formatResponse(http.StatusInternalServerError, header, nil))) != nil {
		return false
	}
	switch injected.Fault {
	case LateDuplicate:
		conn.writeLater(injected.Delay, whole)
	case LateTrailingBytes:
		conn.writeLater(injected.Delay, []byte(invalidBytes))
	}
	return true
}

// breakResponse applies the faults that leave the response incomplete or absent, and reports whether fault is one of
// them. plain is the response with a Content-Length, whole the response as it would be sent without the fault.
func (u *Upstream) breakResponse(conn *serverConn, fault Fault, plain, whole, body []byte) (broken bool) {
	switch fault {
	case NoResponse:
		base.Await(u.scope.WithContext(conn.ctx), noResponseFor)
	case ConnReset:
		conn.reset()
	case TruncatedBody:
		_ = conn.write(whole[:len(whole)-6-len(body)/2])
	case InvalidResponse:
		_ = conn.write([]byte(invalidBytes))
	case UndelimitedBody:
		head, _, _ := bytes.Cut(plain, []byte("Content-Length"))
		_ = conn.write(append(append(head, "Connection: close\r\n\r\n"...), body[:len(body)/2]...))
	case CloseWithoutResponse:
		_ = conn.raw.Close()
	default:
		return false
	}
	return true
}

// alterResponse returns the bytes that a fault sends in place of the whole response. For DuplicateOnNextRequest it
// stores the copy that is sent when the next request arrives.
func alterResponse(conn *serverConn, fault Fault, whole, unsealed, failing []byte) []byte {
	switch fault {
	case MissingSeal:
		return unsealed
	case DuplicateResponse:
		return append(whole, whole...)
	case TrailingBytes:
		return append(whole, invalidBytes...)
	case UnrelatedResponse:
		return append([]byte(unrelatedResponseBytes), whole...)
	case DuplicateOnNextRequest:
		conn.delayedCopy = whole
	case InternalError:
		return failing
	}
	return whole
}

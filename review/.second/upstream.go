package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is what an upstream saw of one request.
type run struct {
	id       string
	upstream string
	reached  time.Time
	began    time.Time // zero if it never began
	ended    time.Time // zero while it goes on
	notRun   bool      // it was turned away
	cut      bool      // its connection was closed before the answer
}

// upstream is a stand-in for the application upstream on a machine. It works on capacity requests at once and queues a
// few more.
type upstream struct {
	machine  *machine
	id       string
	capacity int
	workOf   func(r *http.Request) time.Duration
	// losesAnswer reports, for the number of a request that it ran, whether its answer is lost.
	losesAnswer func(number int) bool
	slots       chan struct{}
	waiting     chan struct{}
	server      *http.Server
	stopped     chan struct{}
	stopOnce    sync.Once

	mu       sync.Mutex
	sequence int
	state    string
	runs     []*run
	ran      int // requests
}

// startUpstream starts an upstream beside a node and its heartbeats.
func (m *machine) startUpstream(capacity, queue int, workOf func(r *http.Request) time.Duration) error {
	return m.startLossyUpstream(capacity, queue, workOf, func(int) bool { return false })
}

// startLossyUpstream does the same with an upstream that loses some of its answers.
func (m *machine) startLossyUpstream(capacity, queue int, workOf func(r *http.Request) time.Duration, losesAnswer func(number int) bool) error {
	listener, err := net.Listen("tcp", m.at(portApp))
	if err != nil {
		return err
	}
	u := &upstream{
		machine: m, id: fmt.Sprintf("i-%s-%d", m.name, m.fleet.lastID.Add(1)), capacity: capacity, workOf: workOf, losesAnswer: losesAnswer,
		slots: make(chan struct{}, capacity), waiting: make(chan struct{}, capacity+queue), stopped: make(chan struct{}), state: "steady",
	}
	u.server = &http.Server{Handler: u, BaseContext: func(net.Listener) context.Context { return context.Background() }}
	m.upstream = u
	go func() { _ = u.server.Serve(listener) }()
	m.fleet.tasks.Add(1)
	go u.sendHeartbeats()
	return nil
}

func (u *upstream) sendHeartbeats() {
	defer u.machine.fleet.tasks.Done()
	for {
		u.heartbeat()
		select {
		case <-u.stopped:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// heartbeat sends one heartbeat and reports whether it was acknowledged.
func (u *upstream) heartbeat() bool {
	u.mu.Lock()
	u.sequence++
	body, _ := json.Marshal(map[string]any{
		"Target": u.machine.service, "Address": u.machine.at(portApp), "Zone": u.machine.zone, "Version": "v1", "Capacity": u.capacity,
		"State": u.state, "WarmupMs": 0, "Sequence": u.sequence,
	})
	u.mu.Unlock()
	request, _ := http.NewRequest(http.MethodPut, "http://"+u.machine.at(portController)+"/v1/instances/"+u.id, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := u.machine.fleet.http.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

func (u *upstream) end() {
	u.stopOnce.Do(func() {
		close(u.stopped)
		_ = u.server.Close()
	})
}

func sealFor(body string) string {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, body)
	return strconv.FormatUint(sum.Sum64(), 16)
}

// update changes the record of a run.
func (u *upstream) update(change func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change()
}

// runsOf returns copies of the records of a request.
func (u *upstream) runsOf(id string) (runs []run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, each := range u.runs {
		if each.id == id {
			runs = append(runs, *each)
		}
	}
	return runs
}

// ServeHTTP takes a slot, works, and answers with the id and the seal.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	rec := u.machine.fleet.rec
	record := &run{id: id, upstream: u.id, reached: time.Now()}
	u.update(func() { u.runs = append(u.runs, record) })
	w.Header().Set("Attempt-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != u.id {
		u.update(func() { record.notRun = true })
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	left, _ := strconv.Atoi(r.Header.Get("Time-Left"))
	deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
	if !u.acquire(r, deadline) {
		u.update(func() { record.notRun, record.cut = true, r.Context().Err() != nil })
		rec.log("upstream %s: %s not run", u.id, id)
		w.Header().Set("Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	number := 0
	u.update(func() {
		record.began = time.Now()
		u.ran++
		number = u.ran
	})
	size, _ := io.Copy(io.Discard, r.Body)
	rec.log("upstream %s: %s runs, path %s, body of %d bytes", u.id, id, r.RequestURI, size)
	status := http.StatusOK
	select {
	case <-time.After(min(u.workOf(r), time.Until(deadline))):
	case <-r.Context().Done():
	}
	if !time.Now().Before(deadline) {
		status = http.StatusGatewayTimeout
	}
	u.update(func() { record.ended, record.cut = time.Now(), r.Context().Err() != nil })
	rec.log("upstream %s: %s ends with %d, connection closed: %v", u.id, id, status, record.cut)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	if u.losesAnswer(number) {
		rec.log("upstream %s: the answer to %s is lost", u.id, id)
		reset(w)
		return
	}
	body := u.id + " for " + id + "\n"
	w.Header().Set("Server-Seal", sealFor(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// acquire takes a slot, after a wait in the queue if there is room.
func (u *upstream) acquire(r *http.Request, deadline time.Time) bool {
	select {
	case u.waiting <- struct{}{}:
		defer func() { <-u.waiting }()
	default:
		return false
	}
	select {
	case u.slots <- struct{}{}:
		return true
	case <-time.After(time.Until(deadline)):
	case <-r.Context().Done():
	case <-u.stopped:
	}
	return false
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that an upstream began to work on.
type run struct {
	id, upstream, target, method, path, caller string
	at                                         time.Time
	bodyBytes                                  int64
}

// upstream is a stand-in for an application upstream beside a node. It does what PROTOCOL.md says of a sound one.
type upstream struct {
	record   *record
	beside   *machine
	id       string
	target   string
	capacity int
	work     time.Duration
	mu       sync.Mutex
	sequence int
	state    string // steady or decaying; empty: it sends no beats
	runs     []run
	slots    chan struct{}
	listener net.Listener
	server   *http.Server
	client   *http.Client
	done     chan struct{}
}

// startUpstream starts a sound upstream at the machine's App address.
func startUpstream(rec *record, beside *machine, id, target string, capacity int, work time.Duration) (*upstream, error) {
	u, err := newUpstream(rec, beside, id, target, capacity, work)
	if err == nil {
		u.serve(u)
	}
	return u, err
}

// newUpstream listens at the machine's App address.
func newUpstream(rec *record, beside *machine, id, target string, capacity int, work time.Duration) (*upstream, error) {
	listener, err := net.Listen("tcp", beside.at(portApp))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	return &upstream{
		record: rec, beside: beside, id: id, target: target, capacity: capacity, work: work, state: "steady",
		slots: make(chan struct{}, capacity), done: make(chan struct{}), listener: listener,
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}, nil
}

// serve begins to answer requests with the handler and to send beats.
func (u *upstream) serve(handler http.Handler) {
	u.server = &http.Server{Handler: handler}
	go func() { _ = u.server.Serve(smallWindows{u.listener}) }()
	go u.sendBeats()
}

func (u *upstream) sendBeats() {
	for {
		if beat := u.nextBeat(); beat != nil {
			u.deliver(beat)
		}
		select {
		case <-u.done:
			return
		case <-time.After(sampleEvery):
		}
	}
}

// nextBeat returns the body of the next beat, or nil if the upstream sends none any more.
func (u *upstream) nextBeat() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.state == "" {
		return nil
	}
	u.sequence++
	body, _ := json.Marshal(map[string]any{
		"Target": u.target, "Address": u.beside.at(portApp), "Zone": u.beside.zone, "Version": "v1", "Capacity": u.capacity,
		"State": u.state, "WarmupMs": 0, "Sequence": u.sequence,
	})
	return body
}

// deliver sends a beat to the Controller address of the upstream's machine and returns the status, 0 for no answer.
func (u *upstream) deliver(beat []byte) int {
	return u.call(http.MethodPut, bytes.NewReader(beat))
}

// leave sends DELETE and returns the status.
func (u *upstream) leave() int { return u.call(http.MethodDelete, nil) }

func (u *upstream) call(method string, body io.Reader) int {
	request, err := http.NewRequest(method, "http://"+u.beside.at(portController)+"/v1/instances/"+u.id, body)
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := u.client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// ServeHTTP runs a request: it takes a slot, reads the body, works, and answers with the id and the seal.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", u.id)
		return
	}
	w.Header().Set("Attempt-Id", id)
	if instance := r.Header.Get("Target-Instance"); instance != "" && instance != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	default:
		w.Header().Set("Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	began := time.Now()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	u.runs = append(u.runs, run{id, u.id, u.target, r.Method, r.RequestURI, r.Header.Get("Caller-Service"), began, size})
	u.mu.Unlock()
	u.record.say("upstream %s (%s): runs %s: %s %s, %d bytes", u.id, u.target, id, r.Method, r.RequestURI, size)
	time.Sleep(u.work)
	body := fmt.Sprintf("%s of %s, for %s\n", u.id, u.target, id)
	w.Header().Set("Server-Seal", "3e1b.07.5a2."+id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// ran returns the runs of an id.
func (u *upstream) ran(id string) (all []run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, each := range u.runs {
		if each.id == id {
			all = append(all, each)
		}
	}
	return all
}

// end closes the upstream at once.
func (u *upstream) end() {
	close(u.done)
	_ = u.server.Close()
}

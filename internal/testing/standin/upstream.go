// Package standin provides test upstreams and clients for a fleet of listed machines, both for simulated fleets in memory
// and, through curlew standin, for real processes on loopback. Both record what they observe in a judge.History.
package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/testing/judge"
)

// Headers that test clients and upstreams set, and those of the mesh that they read.
const (
	// IDHeader carries the ID of a request, which is the same in all of its attempts.
	IDHeader = "Mime-Id"
	// ExpectedTraceHeader carries, in an onward call, the traceparent of the request that caused it, to check which
	// trace the mesh assigns the call to.
	ExpectedTraceHeader = "Mime-Truth"
	// SerialHeader is set by the mesh to the serial number of the bundle under which it sent the request.
	SerialHeader = "Curlew-Serial"
)

// Millis is a duration in milliseconds, as in the JSON files of behaviors.
type Millis int

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Behavior describes how an upstream answers requests whose path begins with Prefix.
type Behavior struct {
	Prefix string `json:"prefix"`
	// MinDelay is the minimum time until an answer.
	MinDelay Millis `json:"base"`
	// Jitter is the upper limit of a uniformly distributed random time added to MinDelay.
	Jitter Millis `json:"swing"`
	// FillerBytes is the number of filler bytes in an answer.
	FillerBytes int `json:"size"`
	// Calls are the onward calls made while answering, one after the other, such as "GET /loans/{last}". {last} is the
	// last segment of the request's path.
	Calls []string `json:"calls"`
	// PropagatesTrace is set if the upstream copies the traceparent header to its onward calls.
	PropagatesTrace bool `json:"passes"`
}

// Fault is an injected fault in an upstream's answers. Its values are part of the path PUT /mime/fault/{fault}.
type Fault string

// The faults that an upstream can inject.
const (
	// NoFault sends correct answers.
	NoFault Fault = ""
	// CloseUnanswered runs the request but closes the connection instead of answering.
	CloseUnanswered Fault = "lose-after"
	// Truncate closes the connection halfway through the body.
	Truncate Fault = "truncate"
	// Corrupt alters one byte of the body.
	Corrupt Fault = "garble"
	// ExtraBody sends the body twice, with the Content-Length of one.
	ExtraBody Fault = "overlong"
	// NoLength sends half of the body without a Content-Length and closes the connection.
	NoLength Fault = "unframed"
	// Hang doesn't answer for an hour, or until the request is canceled.
	Hang Fault = "stuck"
	// InvalidHTTP sends bytes that aren't HTTP.
	InvalidHTTP Fault = "nonsense"
)

// Upstream is a test instance of a service. It reports itself to the node on its machine.
type Upstream struct {
	Scope    base.Scope
	Service  string
	Address  string
	Zone     string
	Capacity int
	// NodeAddress is the node's address for reports and onward calls.
	NodeAddress string
	Behaviors   []Behavior
	// History records the requests that ran. It may be nil.
	History      *judge.History
	client       *http.Client
	mu           sync.Mutex
	leaving      bool
	leavingSince time.Duration
	fault        Fault
	runs         map[string]int // by request ID
	correctTrace int
	otherTrace   int
	server       *httpserver.Server
	cancel       context.CancelFunc
	tasks        base.Group
}

// Counts are the counters of an upstream.
type Counts struct {
	// Ran is the number of requests run.
	Ran int `json:"ran"`
	// Repeated is how many of them had already run on this upstream.
	Repeated int `json:"repeated"`
	// CorrectTrace counts the onward calls that the mesh assigned to the trace of the request that caused them,
	// OtherTrace those that it assigned to another trace or to none.
	CorrectTrace int `json:"tiedWell"`
	OtherTrace   int `json:"tiedElse"`
}

// Start starts listening, and reports the upstream to the node now and at each interval.
func (u *Upstream) Start(reportInterval time.Duration) error {
	u.runs = map[string]int{}
	s, cancel := u.Scope.WithCancel()
	u.cancel = cancel
	u.client = &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial, MaxIdleConnsPerHost: 16}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /mime/counts", func(w http.ResponseWriter, r *http.Request) { httpserver.ReplyJSON(w, http.StatusOK, u.Counts()) })
	mux.HandleFunc("PUT /mime/fault/{fault}", func(w http.ResponseWriter, r *http.Request) { u.SetFault(Fault(r.PathValue("fault"))) })
	mux.HandleFunc("PUT /mime/leave", func(w http.ResponseWriter, r *http.Request) { u.AnnounceLeaving() })
	mux.HandleFunc("/", u.serve)
	server, err := httpserver.Serve(s, u.Address, mux)
	if err != nil {
		return err
	}
	u.server = server
	u.tasks.Go(func() {
		u.report(s)
		base.Tick(s, reportInterval, u.report)
	})
	return nil
}

// Kill stops the upstream and closes all of its connections at once.
func (u *Upstream) Kill() {
	u.cancel()
	u.server.Close()
	u.tasks.Wait()
}

// Drain stops reporting and accepting connections. Requests in flight are still answered.
func (u *Upstream) Drain() {
	u.cancel()
	u.server.CloseListener()
	u.tasks.Wait()
}

// AnnounceLeaving reports to the node that the upstream is leaving. It continues to serve.
func (u *Upstream) AnnounceLeaving() {
	u.mu.Lock()
	u.leaving, u.leavingSince = true, u.Scope.Clock.Mono()
	u.mu.Unlock()
	u.report(u.Scope)
}

// CancelLeaving reports that the upstream is no longer leaving.
func (u *Upstream) CancelLeaving() {
	u.mu.Lock()
	u.leaving = false
	u.mu.Unlock()
	u.report(u.Scope)
}

// SetCapacity sets the capacity in later reports.
func (u *Upstream) SetCapacity(capacity int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Capacity = capacity
}

// SetFault sets the fault in answers to later requests.
func (u *Upstream) SetFault(fault Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault = fault
}

// Counts returns the counters.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	counts := Counts{CorrectTrace: u.correctTrace, OtherTrace: u.otherTrace}
	for _, times := range u.runs {
		counts.Ran += times
		counts.Repeated += times - 1
	}
	return counts
}

// report sends one report to the node. Errors are ignored, as the next report follows.
func (u *Upstream) report(s base.Scope) {
	u.mu.Lock()
	body, _ := json.Marshal(map[string]any{"service": u.Service, "address": u.Address, "zone": u.Zone, "capacity": u.Capacity, "leaving": u.leaving})
	u.mu.Unlock()
	s, cancel := s.WithTimeout(time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(s, http.MethodPost, "http://"+u.NodeAddress+"/curlewreach/report", bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := u.client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// behaviorFor returns the first behavior whose prefix matches a path, or a default one.
func (u *Upstream) behaviorFor(path string) Behavior {
	for _, each := range u.Behaviors {
		if strings.HasPrefix(path, each.Prefix) {
			return each
		}
	}
	return Behavior{FillerBytes: 64}
}

// serve runs a request: it records it, waits, makes the onward calls and answers, with the current fault if any.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(IDHeader)
	serial, _ := strconv.ParseUint(r.Header.Get(SerialHeader), 10, 64)
	_, _ = io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	u.runs[id]++
	fault := u.fault
	if expected := r.Header.Get(ExpectedTraceHeader); expected != "" {
		if traceID(expected) == traceID(r.Header.Get("Traceparent")) {
			u.correctTrace++
		} else {
			u.otherTrace++
		}
	}
	leaving, left := u.leaving, u.leavingSince
	u.mu.Unlock()
	u.History.RecordRun(judge.Run{ID: id, Service: u.Service, Address: u.Address, Serial: serial, Leaving: leaving, Left: left, Method: r.Method, Path: r.URL.Path})
	behavior := u.behaviorFor(r.URL.Path)
	delay := behavior.MinDelay.Duration() + time.Duration(float64(behavior.Jitter.Duration())*u.Scope.Rand.Float64())
	base.Await(u.Scope.WithContext(r.Context()), delay)
	if fault == Hang {
		base.Await(u.Scope.WithContext(r.Context()), time.Hour)
	}
	for i, call := range behavior.Calls {
		u.callOnward(r, behavior, call, fmt.Sprintf("%s.%d", id, i))
	}
	body := AnswerBody(id, u.Service, behavior.FillerBytes)
	digest := sha256.Sum256(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(digest[:])+":")
	switch fault {
	case CloseUnanswered:
		panic(http.ErrAbortHandler)
	case Truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case Corrupt:
		body = slices.Clone(body)
		body[len(body)/2] ^= 0x20
	case ExtraBody:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		u.writeRaw(w, "HTTP/1.1 200 OK\r\nContent-Digest: %s\r\nContent-Length: %d\r\n\r\n%s%s", w.Header().Get("Content-Digest"), len(body), body, body)
		return
	case NoLength:
		u.writeRaw(w, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", body[:len(body)/2])
		return
	case InvalidHTTP:
		u.writeRaw(w, "\x00\x01\x02 what is this\r\n\r\n")
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// writeRaw writes raw bytes to the request's connection and closes it.
func (u *Upstream) writeRaw(w http.ResponseWriter, format string, args ...any) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, format, args...)
}

// callOnward makes one onward call for a request through the node and discards the answer.
func (u *Upstream) callOnward(parent *http.Request, behavior Behavior, call, id string) {
	method, path, _ := strings.Cut(call, " ")
	segments := strings.Split(parent.URL.Path, "/")
	path = strings.ReplaceAll(path, "{last}", segments[len(segments)-1])
	request, err := http.NewRequestWithContext(parent.Context(), method, "http://"+u.NodeAddress+path, nil)
	if err != nil {
		return
	}
	request.Header.Set(IDHeader, id)
	disableReplay(request)
	request.Header.Set(ExpectedTraceHeader, parent.Header.Get("Traceparent"))
	if behavior.PropagatesTrace {
		request.Header.Set("Traceparent", parent.Header.Get("Traceparent"))
	}
	if response, err := u.client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// traceID returns the trace ID of a traceparent header, or "none".
func traceID(traceparent string) string {
	fields := strings.Split(traceparent, "-")
	if len(fields) != 4 {
		return "none"
	}
	return fields[1]
}

// AnswerBody returns the body of the answer to a request: a JSON object with the request's ID, the service and a filler.
func AnswerBody(id, service string, size int) []byte {
	body, _ := json.Marshal(map[string]string{"id": id, "service": service, "filler": strings.Repeat("x", size)})
	return body
}

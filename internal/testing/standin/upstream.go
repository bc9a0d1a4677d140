// Package standin stands in for the upstreams and visitors of a fleet of listed
// machines, in stories in memory and, through cmd/mime, on loopback. Both note
// what they saw in a judge.History.
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

// The headers between stand-ins, and the mesh's own that they look at.
const (
	// IDHeader names a request, the same in all its attempts.
	IDHeader = "Mime-Id"
	// ExpectedTraceHeader tells, in a further call, the traceparent of its true parent,
	// to judge what the mesh tied it to.
	ExpectedTraceHeader = "Mime-Truth"
	// SerialHeader is set by the mesh to the number of the bundle that the
	// request was sent under.
	SerialHeader = "Curlew-Serial"
)

// Millis is a duration in milliseconds, as habits files have it.
type Millis int

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Behavior is how an upstream answers paths that begin with a prefix.
type Behavior struct {
	Prefix string `json:"prefix"`
	// MinDelay is the least time that a request takes.
	MinDelay Millis `json:"base"`
	// Jitter is the width of the random time added to Base.
	Jitter Millis `json:"swing"`
	// FillerBytes is the number of filler bytes in an answer.
	FillerBytes int `json:"size"`
	// Calls are the further calls made for a request, such as "GET
	// /loans/{last}", where {last} is the last segment of the request's path.
	Calls []string `json:"calls"`
	// PropagatesTrace is set if the upstream passes the traceparent header on.
	PropagatesTrace bool `json:"passes"`
}

// Fault is how an upstream's answers are broken.
type Fault string

// The faults.
const (
	// NoFault breaks nothing.
	NoFault Fault = ""
	// CloseUnanswered closes the connection instead of answering.
	CloseUnanswered Fault = "lose-after"
	// Truncate closes the connection halfway through the body.
	Truncate Fault = "truncate"
	// Corrupt alters a byte of the body.
	Corrupt Fault = "garble"
	// ExtraBody sends the body twice under the length of one.
	ExtraBody Fault = "overlong"
	// NoLength sends half a body that has no stated length.
	NoLength Fault = "unframed"
	// Hang never answers.
	Hang Fault = "stuck"
	// InvalidHTTP sends bytes that are no HTTP.
	InvalidHTTP Fault = "nonsense"
)

// Upstream is a stand-in for one instance of a service.
type Upstream struct {
	Scope    base.Scope
	Service  string
	Address  string
	Zone     string
	Capacity int
	// NodeAddress is the node's address for reports and further calls.
	NodeAddress string
	Behaviors   []Behavior
	// History takes what ran here.
	History *judge.History
	web     *http.Client
	mu      sync.Mutex
	leaving bool
	left    time.Duration
	fault   Fault
	ran     map[string]int
	right   int
	other   int
	door    *httpserver.Server
	cancel  context.CancelFunc
	crew    base.Group
}

// Counts are what an upstream saw.
type Counts struct {
	// Ran is the number of requests run.
	Ran int `json:"ran"`
	// Repeated is how many of them had run here before.
	Repeated int `json:"repeated"`
	// CorrectTrace counts the further calls that the mesh tied to their true
	// parent, TiedElse those that it didn't.
	CorrectTrace int `json:"tiedWell"`
	OtherTrace   int `json:"tiedElse"`
}

// Start listens and reports itself to the node at each interval.
func (u *Upstream) Start(every time.Duration) error {
	u.ran = map[string]int{}
	s, cancel := u.Scope.WithCancel()
	u.cancel = cancel
	u.web = &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial, MaxIdleConnsPerHost: 16}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /mime/counts", func(w http.ResponseWriter, r *http.Request) { httpserver.ReplyJSON(w, http.StatusOK, u.Counts()) })
	mux.HandleFunc("PUT /mime/fault/{fault}", func(w http.ResponseWriter, r *http.Request) { u.SetFault(Fault(r.PathValue("fault"))) })
	mux.HandleFunc("PUT /mime/leave", func(w http.ResponseWriter, r *http.Request) { u.AnnounceLeaving() })
	mux.HandleFunc("/", u.serve)
	door, err := httpserver.Serve(s, u.Address, mux)
	if err != nil {
		return err
	}
	u.door = door
	u.crew.Go(func() {
		u.report(s)
		base.Tick(s, every, u.report)
	})
	return nil
}

// Kill ends it at once, with all connections.
func (u *Upstream) Kill() {
	u.cancel()
	u.door.Close()
	u.crew.Wait()
}

// Drain stops reporting and listening; requests in flight end as usual.
func (u *Upstream) Drain() {
	u.cancel()
	u.door.CloseListener()
	u.crew.Wait()
}

// AnnounceLeaving reports that it is leaving; it goes on serving.
func (u *Upstream) AnnounceLeaving() {
	u.mu.Lock()
	u.leaving, u.left = true, u.Scope.Clock.Mono()
	u.mu.Unlock()
	u.report(u.Scope)
}

// CancelLeaving takes Leave back.
func (u *Upstream) CancelLeaving() {
	u.mu.Lock()
	u.leaving = false
	u.mu.Unlock()
	u.report(u.Scope)
}

// SetCapacity sets the capacity told from the next report on.
func (u *Upstream) SetCapacity(capacity int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Capacity = capacity
}

// SetFault sets how answers are broken from now on.
func (u *Upstream) SetFault(fault Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault = fault
}

// Counts returns what it saw so far.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	counts := Counts{CorrectTrace: u.right, OtherTrace: u.other}
	for _, times := range u.ran {
		counts.Ran += times
		counts.Repeated += times - 1
	}
	return counts
}

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
	if response, err := u.web.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

func (u *Upstream) habit(path string) Behavior {
	for _, each := range u.Behaviors {
		if strings.HasPrefix(path, each.Prefix) {
			return each
		}
	}
	return Behavior{FillerBytes: 64}
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(IDHeader)
	serial, _ := strconv.ParseUint(r.Header.Get(SerialHeader), 10, 64)
	_, _ = io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	u.ran[id]++
	fault := u.fault
	if truth := r.Header.Get(ExpectedTraceHeader); truth != "" {
		if traceOf(truth) == traceOf(r.Header.Get("Traceparent")) {
			u.right++
		} else {
			u.other++
		}
	}
	leaving, left := u.leaving, u.left
	u.mu.Unlock()
	u.History.RecordRun(judge.Run{ID: id, Service: u.Service, Address: u.Address, Serial: serial, Leaving: leaving, Left: left, Method: r.Method, Path: r.URL.Path})
	habit := u.habit(r.URL.Path)
	pause := habit.MinDelay.Duration() + time.Duration(float64(habit.Jitter.Duration())*u.Scope.Rand.Float64())
	base.Await(u.Scope.WithContext(r.Context()), pause)
	if fault == Hang {
		base.Await(u.Scope.WithContext(r.Context()), time.Hour)
	}
	for i, call := range habit.Calls {
		u.call(r, habit, call, fmt.Sprintf("%s.%d", id, i))
	}
	body := AnswerBody(id, u.Service, habit.FillerBytes)
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
		u.raw(w, "HTTP/1.1 200 OK\r\nContent-Digest: %s\r\nContent-Length: %d\r\n\r\n%s%s", w.Header().Get("Content-Digest"), len(body), body, body)
		return
	case NoLength:
		u.raw(w, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", body[:len(body)/2])
		return
	case InvalidHTTP:
		u.raw(w, "\x00\x01\x02 what is this\r\n\r\n")
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func (u *Upstream) raw(w http.ResponseWriter, format string, args ...any) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, format, args...)
}

func (u *Upstream) call(parent *http.Request, habit Behavior, call, id string) {
	method, path, _ := strings.Cut(call, " ")
	segments := strings.Split(parent.URL.Path, "/")
	path = strings.ReplaceAll(path, "{last}", segments[len(segments)-1])
	request, err := http.NewRequestWithContext(parent.Context(), method, "http://"+u.NodeAddress+path, nil)
	if err != nil {
		return
	}
	request.Header.Set(IDHeader, id)
	once(request)
	request.Header.Set(ExpectedTraceHeader, parent.Header.Get("Traceparent"))
	if habit.PropagatesTrace {
		request.Header.Set("Traceparent", parent.Header.Get("Traceparent"))
	}
	if response, err := u.web.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// traceOf returns the trace ID of a traceparent header, or "none".
func traceOf(traceparent string) string {
	pieces := strings.Split(traceparent, "-")
	if len(pieces) != 4 {
		return "none"
	}
	return pieces[1]
}

// AnswerBody returns the answer to a request.
func AnswerBody(id, service string, size int) []byte {
	body, _ := json.Marshal(map[string]string{"id": id, "service": service, "filler": strings.Repeat("x", size)})
	return body
}

package openfleet

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"time"

	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

const (
	maxAttempts        = 4                     // of one job
	initialBackoff     = 40 * time.Millisecond // doubled after each attempt
	maxRetryAfterShare = 1.0 / 3               // the largest share of the remaining time that a Retry-After makes a client wait
	newConnShare       = 0.15                  // of jobs that use a new connection
	chunkedShare       = 0.3                   // of jobs that send their body chunked
	failedProbeLimit   = 2                     // consecutive failed probes that take a machine out of rotation
)

// RequestClass describes one class of requests in the client workload. Weight is its share of all requests, relative to
// the sum of the weights; BodySize is in bytes; Timeout is the client's timeout for a job, retries included, and 2 s if
// zero. A number is appended to Path for each job.
type RequestClass struct {
	Method   string
	Host     string
	Path     string
	Weight   float64
	BodySize int
	Timeout  time.Duration
}

// StartLoad starts Poisson arrivals of clients at the ready nodes, at rate per second, until StopLoad.
func (f *Fleet) StartLoad(rate float64) {
	f.StartVariableLoad(func(time.Duration) float64 { return rate })
}

// StartVariableLoad starts Poisson arrivals of clients at the ready nodes, until StopLoad. rate returns the arrivals
// per second, given the time since the call. Repeated calls add their loads.
func (f *Fleet) StartVariableLoad(rate func(since time.Duration) float64) {
	if f.cancelLoad == nil {
		s, cancel := f.Scope.WithCancel()
		f.cancelLoad = cancel
		f.loadTasks.Go(func() { f.probeReadiness(s) })
	}
	s, cancel := f.Scope.WithCancel()
	previous := f.cancelLoad
	f.cancelLoad = func() {
		previous()
		cancel()
	}
	f.loadTasks.Go(func() { f.generateLoad(s, rate) })
}

// StopLoad stops all client load and waits for the jobs under way to end.
func (f *Fleet) StopLoad() {
	if f.cancelLoad != nil {
		f.cancelLoad()
		f.loadTasks.Wait()
		f.cancelLoad = nil
	}
}

// probeReadiness probes the nodes' readiness every second, as the platform around them does, and takes machines in and
// out of rotation for clients.
func (f *Fleet) probeReadiness(s base.Scope) {
	httpClient := &http.Client{Transport: &http.Transport{DialContext: f.World.At("10.9.9.7", "platform").Dial, DisableKeepAlives: true}, Timeout: 500 * time.Millisecond}
	probe := func(base.Scope) {
		base.Parallel(f.currentNodes(), func(m *Machine) {
			if status, err := httpGetStatus(s, httpClient, "http://"+m.Address(readyPort)+"/"); err == nil && status == http.StatusOK {
				m.failedProbes = 0
				m.inRotation.Store(true)
				return
			}
			if m.failedProbes++; m.failedProbes >= failedProbeLimit {
				m.inRotation.Store(false)
			}
		})
	}
	probe(s)
	base.Tick(s, time.Second, probe)
}

// currentNodes returns a copy of the list of nodes that aren't retired.
func (f *Fleet) currentNodes() []*Machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Machine(nil), f.Nodes...)
}

// generateLoad starts jobs at the current rate. It looks at the rate again at least every 100 ms.
func (f *Fleet) generateLoad(s base.Scope, rate func(time.Duration) float64) {
	rnd := f.rand(fmt.Sprint("arrivals ", f.nextID.Load()))
	start := f.Scope.Clock.Mono()
	base.Await(s, 50*time.Millisecond)
	var tasks base.Group
	for s.Err() == nil {
		current := rate(f.Scope.Clock.Mono() - start)
		gap := -math.Log(1-rnd.Float64()) / max(current, 0.001)
		base.Await(s, time.Duration(min(gap, 0.1)*float64(time.Second)))
		if s.Err() != nil || gap > 0.1 {
			continue
		}
		var ready []*Machine
		for _, m := range f.currentNodes() {
			if m.inRotation.Load() {
				ready = append(ready, m)
			}
		}
		if len(ready) == 0 {
			continue
		}
		m, class, seed := ready[rnd.IntN(len(ready))], f.pickClass(rnd.Float64()), rnd.Uint64()
		tasks.Go(func() { f.RunJob(m, class, random.Seeded(seed)) })
	}
	tasks.Wait()
}

// pickClass returns the request class at a point from 0 to 1 of the sum of weights.
func (f *Fleet) pickClass(point float64) RequestClass {
	total := 0.0
	for _, class := range f.Workload {
		total += class.Weight
	}
	point *= total
	for _, class := range f.Workload {
		if point -= class.Weight; point < 0 {
			return class
		}
	}
	return f.Workload[0]
}

// newAttempt returns an attempt for a call "METHOD host path", with what the newest acknowledged configuration says of
// its route.
func (f *Fleet) newAttempt(m *Machine, call, id string) *Attempt {
	var method, host, path string
	_, _ = fmt.Sscanf(call, "%s %s %s", &method, &host, &path)
	a := &Attempt{SentAt: f.History.Now(), ID: id, FirstID: id, Node: m.Name, Incarnation: int(m.starts.Load()), Service: m.Service, Method: method, Host: host, Target: path, Digest: digest(nil)}
	f.mu.Lock()
	current := f.configuration
	f.mu.Unlock()
	if route, known := config.NewRoutingTable(current).Find(host, path); known {
		a.Route, a.Repeat, a.LatencyTarget = route.Name(), route.Raw.Repeat, route.LatencyTarget()
	}
	return a
}

// RunJob runs one client operation against a node: attempts within the class's timeout, each after the first on a new
// connection. It records and returns the job.
func (f *Fleet) RunJob(m *Machine, class RequestClass, rnd *random.Source) *Job {
	n := f.nextID.Add(1)
	h := f.History
	body := []byte(fmt.Sprintf("%0*d", class.BodySize, rnd.Uint64()))[:class.BodySize]
	if class.BodySize == 0 {
		body = nil
	}
	path := fmt.Sprintf("%s%d?of=%x", class.Path, rnd.IntN(50), rnd.Uint64()&0xffff)
	job := &Job{ID: fmt.Sprintf("v%d", n), Node: m.Name, StartedAt: h.Now()}
	deadline := job.StartedAt + cmp.Or(class.Timeout, 2*time.Second)
	chunked, newConn := rnd.Float64() < chunkedShare, rnd.Float64() < newConnShare
	backoff := initialBackoff
	for {
		attempt := f.newAttempt(m, class.Method+" "+class.Host+" "+path, fmt.Sprintf("%s-%d", job.ID, job.Attempts))
		attempt.FirstID, attempt.Deadline, attempt.Digest = job.ID+"-0", deadline, digest(body)
		job.Route, job.LatencyTarget = attempt.Route, attempt.LatencyTarget
		job.Attempts++
		outcome := m.client.do(attempt, body, chunked && len(body) > 0, newConn || job.Attempts > 1, "Curlew-Caller: nobody", "X-Kept: "+job.ID)
		job.recordOutcome(attempt, outcome, h.Now())
		if job.Succeeded || job.Attempts >= maxAttempts || m.retired.Load() || !mayRetry(attempt.Repeat, outcome) {
			break
		}
		wait := backoff
		if outcome.RetryAfter > 0 {
			wait = min(outcome.RetryAfter, time.Duration(maxRetryAfterShare*float64(deadline-h.Now())))
		}
		backoff *= 2
		if h.Now()+wait >= deadline-20*time.Millisecond {
			break
		}
		base.Await(f.Scope, wait)
		if m.retired.Load() {
			break
		}
	}
	appendRecord(h, &h.jobs, job)
	return job
}

// recordOutcome adds the outcome of an attempt to the job.
func (j *Job) recordOutcome(attempt *Attempt, outcome *Outcome, now time.Duration) {
	j.Status, j.EndedAt = outcome.Status, now
	if outcome.TransportError == "" && outcome.Status == http.StatusOK && outcome.Mismatch == "" {
		j.Succeeded, j.SuccessLatency = true, now-attempt.SentAt
	}
}

// rejectedBeforeExecution reports whether a response guarantees that the attempt was not executed.
func rejectedBeforeExecution(outcome *Outcome) bool {
	switch outcome.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return outcome.TransportError == ""
	}
	return false
}

// mayRetry reports whether a client sends a further attempt. If the route forbids retries, that takes a response or a
// transport error that rules out an execution.
func mayRetry(repeat wire.Repeat, outcome *Outcome) bool {
	switch {
	case outcome.TransportError == "" && (outcome.Status < 300 || outcome.Status == 400 || outcome.Status == 401 || outcome.Status == 404 || outcome.Status == 413 || outcome.Status == 431):
		return false
	case repeat != wire.Repeat_ONCE:
		return true
	}
	return rejectedBeforeExecution(outcome) || outcome.TransportError != "" && !outcome.RequestRead
}

// RequestFromAll sends one request to every node in rotation, on a path that may have no route, so that the History
// shows which configuration each node uses. These requests belong to no job.
func (f *Fleet) RequestFromAll(method, host, path string) {
	base.Parallel(f.currentNodes(), func(m *Machine) {
		if !m.inRotation.Load() {
			return
		}
		attempt := f.newAttempt(m, method+" "+host+" "+path, fmt.Sprintf("proof%d", f.nextID.Add(1)))
		attempt.RejectionAllowed, attempt.Deadline = true, attempt.SentAt+time.Second
		m.client.do(attempt, nil, false, true)
	})
}

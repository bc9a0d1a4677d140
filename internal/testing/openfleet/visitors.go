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
	mostTries    = 4
	firstPause   = 40 * time.Millisecond
	heedMost     = 1.0 / 3
	freshShare   = 0.15
	chunkedShare = 0.3
	missesOut    = 2
)

// RequestClass describes one class of requests in the client workload. Part is its share of all requests, relative
// to the sum of the parts; Body is the request body size in bytes; Within is the client's deadline for a
// job, retries included, and 2 s if zero. A number is appended to Path for each job.
type RequestClass struct {
	Method   string
	Host     string
	Path     string
	Weight   float64
	BodySize int
	Timeout  time.Duration
}

// StartLoad brings visitors to the machines whose nodes are ready, so many a second, until Away.
func (f *Fleet) StartLoad(rate float64) {
	f.StartVariableLoad(func(time.Duration) float64 { return rate })
}

// StartVariableLoad starts Poisson arrivals of clients at the ready nodes, until Away. rate returns the arrivals per
// second, given the time since the call. Repeated calls add their loads.
func (f *Fleet) StartVariableLoad(rate func(since time.Duration) float64) {
	if f.visiting == nil {
		s, cancel := f.Scope.WithCancel()
		f.visiting = cancel
		f.crew.Go(func() { f.probe(s) })
	}
	s, cancel := f.Scope.WithCancel()
	before := f.visiting
	f.visiting = func() {
		before()
		cancel()
	}
	f.crew.Go(func() { f.arrive(s, rate) })
}

// StopLoad stops all client load and waits for the jobs under way to end.
func (f *Fleet) StopLoad() {
	if f.visiting != nil {
		f.visiting()
		f.crew.Wait()
		f.visiting = nil
	}
}

func (f *Fleet) probe(s base.Scope) {
	web := &http.Client{Transport: &http.Transport{DialContext: f.World.At("10.9.9.7", "platform").Dial, DisableKeepAlives: true}, Timeout: 500 * time.Millisecond}
	look := func(base.Scope) {
		base.Parallel(f.nodes(), func(m *Machine) {
			if status, err := get(s, web, "http://"+m.Address(readyPort)+"/"); err == nil && status == http.StatusOK {
				m.misses = 0
				m.in.Store(true)
				return
			}
			if m.misses++; m.misses >= missesOut {
				m.in.Store(false)
			}
		})
	}
	look(s)
	base.Tick(s, time.Second, look)
}

func (f *Fleet) nodes() []*Machine {
	f.living.Lock()
	defer f.living.Unlock()
	return append([]*Machine(nil), f.Nodes...)
}

func (f *Fleet) arrive(s base.Scope, rate func(time.Duration) float64) {
	draws := f.rand(fmt.Sprint("arrivals ", f.count.Load()))
	began := f.Scope.Clock.Mono()
	base.Await(s, 50*time.Millisecond)
	var crew base.Group
	for s.Err() == nil {
		now := rate(f.Scope.Clock.Mono() - began)
		gap := -math.Log(1-draws.Float64()) / max(now, 0.001)
		base.Await(s, time.Duration(min(gap, 0.1)*float64(time.Second)))
		if s.Err() != nil || gap > 0.1 {
			continue
		}
		var in []*Machine
		for _, m := range f.nodes() {
			if m.in.Load() {
				in = append(in, m)
			}
		}
		if len(in) == 0 {
			continue
		}
		m, plan, spice := in[draws.IntN(len(in))], f.pick(draws.Float64()), draws.Uint64()
		crew.Go(func() { f.RunJob(m, plan, random.Seeded(spice)) })
	}
	crew.Wait()
}

func (f *Fleet) pick(at float64) RequestClass {
	total := 0.0
	for _, each := range f.Workload {
		total += each.Weight
	}
	at *= total
	for _, each := range f.Workload {
		if at -= each.Weight; at < 0 {
			return each
		}
	}
	return f.Workload[0]
}

// ask fills in what the newest acked configuration says of a call "METHOD host/path".
func (f *Fleet) ask(m *Machine, call, id string) *Attempt {
	var method, host, path string
	_, _ = fmt.Sscanf(call, "%s %s %s", &method, &host, &path)
	a := &Attempt{SentAt: f.History.Now(), ID: id, FirstID: id, Node: m.Name, Incarnation: int(m.lives.Load()), Service: m.Service, Method: method, Host: host, Target: path, Digest: digest(nil)}
	f.living.Lock()
	current := f.configuration
	f.living.Unlock()
	if route, known := config.NewRoutingTable(current).Find(host, path); known {
		a.Route, a.Repeat, a.LatencyTarget = route.Name(), route.Raw.Repeat, route.LatencyTarget()
	}
	return a
}

// RunJob is one visitor's wish: tries within its time, each on a new connection after the first.
func (f *Fleet) RunJob(m *Machine, plan RequestClass, random *random.Source) *Job {
	n := f.count.Add(1)
	h := f.History
	body := []byte(fmt.Sprintf("%0*d", plan.BodySize, random.Uint64()))[:plan.BodySize]
	if plan.BodySize == 0 {
		body = nil
	}
	path := fmt.Sprintf("%s%d?of=%x", plan.Path, random.IntN(50), random.Uint64()&0xffff)
	job := &Job{ID: fmt.Sprintf("v%d", n), Node: m.Name, StartedAt: h.Now()}
	until := job.StartedAt + cmp.Or(plan.Timeout, 2*time.Second)
	chunked, fresh := random.Float64() < chunkedShare, random.Float64() < freshShare
	pause := firstPause
	for {
		ask := f.ask(m, plan.Method+" "+plan.Host+" "+path, fmt.Sprintf("%s-%d", job.ID, job.Attempts))
		ask.FirstID, ask.Deadline, ask.Digest = job.ID+"-0", until, digest(body)
		job.Route, job.LatencyTarget = ask.Route, ask.LatencyTarget
		job.Attempts++
		told := m.visitors.ask(ask, body, chunked && len(body) > 0, fresh || job.Attempts > 1, "Curlew-Caller: nobody", "X-Kept: "+job.ID)
		job.hear(ask, told, h.Now())
		if job.Succeeded || job.Attempts >= mostTries || m.retired.Load() || !again(ask.Repeat, told) {
			break
		}
		wait := pause
		if told.RetryAfter > 0 {
			wait = min(told.RetryAfter, time.Duration(heedMost*float64(until-h.Now())))
		}
		pause *= 2
		if h.Now()+wait >= until-20*time.Millisecond {
			break
		}
		base.Await(f.Scope, wait)
		if m.retired.Load() {
			break
		}
	}
	note(h, &h.jobs, job)
	return job
}

// hear notes what a try was told.
func (j *Job) hear(ask *Attempt, told *Outcome, now time.Duration) {
	j.Status, j.EndedAt = told.Status, now
	if told.TransportError == "" && told.Status == http.StatusOK && told.Mismatch == "" {
		j.Succeeded, j.SuccessLatency = true, now-ask.SentAt
		return
	}
	if j.Attempts == 1 && promised(told) {
		j.RejectedAfter = now - j.StartedAt
	}
}

func promised(told *Outcome) bool {
	switch told.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return told.TransportError == ""
	}
	return false
}

func again(repeat wire.Repeat, told *Outcome) bool {
	switch {
	case told.TransportError == "" && (told.Status < 300 || told.Status == 400 || told.Status == 401 || told.Status == 404 || told.Status == 413 || told.Status == 431):
		return false
	case repeat != wire.Repeat_ONCE:
		return true
	}
	return promised(told) || told.TransportError != "" && !told.RequestRead
}

// RequestFromAll asks every ready node directly, on a path that may have no route, and earns nothing.
func (f *Fleet) RequestFromAll(method, host, path string) {
	base.Parallel(f.nodes(), func(m *Machine) {
		if !m.in.Load() {
			return
		}
		ask := f.ask(m, method+" "+host+" "+path, fmt.Sprintf("proof%d", f.count.Add(1)))
		ask.RejectionAllowed, ask.Deadline = true, ask.SentAt+time.Second
		m.visitors.ask(ask, nil, false, true)
	})
}

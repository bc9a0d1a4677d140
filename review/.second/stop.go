package main

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// longWork is how long an upstream works on a long report: the longest work of the site, at half speed. It is well
	// within the deadline of the report.
	longWork  = 4800 * time.Millisecond
	shortWork = 250 * time.Millisecond
	// longReportsAt is when the long reports are sent, after the SIGTERM.
	longReportsAt = 800 * time.Millisecond
	ledgerSlots   = 6
	reportTimeout = 8 * time.Second
)

// ledgerConfiguration has two routes to the ledger: reports, which may run again, and orders, which may not.
func ledgerConfiguration() map[string]any {
	return map[string]any{
		"Version": "r1", "BaseVersion": 0,
		"Routing": map[string]any{
			"Fields": []string{"Name", "Host", "Prefix", "Kind", "CutoffMs", "SetpointMs", "Priority", "Tries", "Target"},
			"Records": [][]any{
				{"r-report", routeHost, "/report/", "idempotent", 8000, 1200, 2, 2, "ledger"},
				{"r-order", routeHost, "/order/", "mutating", 8000, 1200, 1, 2, "ledger"},
				{"r-desk", routeHost, "/desk/", "idempotent", 3000, 500, 2, 2, "circdesk"},
			},
		},
		"Targets": map[string]any{
			"Fields":  []string{"Name", "Probe", "ConnLimit", "Protocol", "Tls"},
			"Records": [][]any{{"ledger", "/health", 110, "h1", false}, {"circdesk", "/health", 110, "h1", false}},
		},
		"Saturation": map[string]any{"HeaderBytes": 16384, "BodyBytes": 67108864, "HeaderDeadlineMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// clients sends requests in the background and keeps them for the judge.
type clients struct {
	mu      sync.Mutex
	sent    []*request
	pending sync.WaitGroup
}

// begin sends a request from a client on a machine, unless its node is out of rotation.
func (c *clients) begin(m *machine, r *request) {
	if !m.inRotation() {
		return
	}
	c.mu.Lock()
	c.sent = append(c.sent, r)
	c.mu.Unlock()
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		m.send(r)
	}()
}

// playStop stops a node with SIGTERM. Shortly after that, clients of another node send long reports, which take all
// slots of the ledger. Orders that the clients of the stopping node send before it is out of rotation wait their turn.
func playStop(f *fleet, trouble bool) (broken bool, err error) {
	workOf := func(r *http.Request) time.Duration {
		if strings.Contains(r.URL.Path, "/long-") {
			return longWork
		}
		return shortWork
	}
	for _, m := range f.nodes {
		if err := m.startUpstream(ledgerSlots, 2*ledgerSlots, workOf); err != nil {
			return false, err
		}
	}
	if err := f.start(ledgerConfiguration()); err != nil {
		return false, errNotRun{err.Error()}
	}
	stopping, other := f.nodes[0], f.nodes[1]
	var c clients
	// Ordinary work, so that the nodes know how long requests take.
	for range 25 {
		for _, m := range f.nodes {
			c.begin(m, f.newRequest("order", http.MethodPost, reportTimeout))
			c.begin(m, f.newRequest("report", http.MethodGet, reportTimeout))
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	stoppedAt := time.Now()
	if trouble {
		f.restart(stopping)
	}
	time.Sleep(longReportsAt)
	for range 2*ledgerSlots + 4 { // the two upstreams of the ledger work on twelve at once
		r := f.newRequest("report", http.MethodGet, reportTimeout)
		r.id = strings.Replace(r.id, "report-", "long-", 1)
		r.path = "/report/" + r.id
		c.begin(other, r)
		time.Sleep(5 * time.Millisecond)
	}
	for time.Since(stoppedAt) < 3*time.Second {
		c.begin(stopping, f.newRequest("order", http.MethodPost, reportTimeout))
		time.Sleep(150 * time.Millisecond)
	}
	c.pending.Wait()
	return f.judgeStop(c.sent, stopping, stoppedAt), nil
}

// restart stops a process with SIGTERM, kills it after the grace period and starts it again once it has ended.
func (f *fleet) restart(m *machine) {
	m.signal(syscall.SIGTERM)
	ended := m.hasEnded()
	f.tasks.Add(1)
	go func() {
		defer f.tasks.Done()
		select {
		case <-ended:
		case <-time.After(graceBound):
			m.signal(syscall.SIGKILL)
			<-ended
		}
		select {
		case <-f.done:
		case <-time.After(300 * time.Millisecond):
			_ = m.launch()
		}
	}()
}

// judgeStop applies the rule LOST to the requests that the stopped machine took from its clients.
func (f *fleet) judgeStop(sent []*request, stopped *machine, stoppedAt time.Time) (broken bool) {
	const lastSixth = graceBound * 5 / 6
	for _, r := range sent {
		around := !r.ended.Before(stoppedAt) && r.ended.Before(stoppedAt.Add(graceBound+time.Second))
		if r.node != stopped.name || r.refused || r.status != 0 || r.sent.IsZero() || !around {
			continue // taken by another machine, never read, answered, or not around the planned work
		}
		reached, atWork := false, false
		for _, m := range f.nodes {
			for _, each := range m.upstream.runsOf(r.id) {
				reached = true
				atWork = atWork || !each.began.IsZero() && (each.ended.IsZero() || each.ended.After(stoppedAt.Add(lastSixth)))
			}
		}
		held := r.ended.Sub(r.sent)
		switch {
		case r.timedOut || held >= r.timeout:
			f.rec.log("judge: %s: not counted, its deadline was reached", r.id)
		case atWork && !r.sent.After(stoppedAt.Add(3*time.Second)):
			f.rec.log("judge: %s: not counted, its upstream was still at work in the last sixth of GraceS", r.id)
		case reached || held > lossSlack:
			f.rec.log("judge: %s: LOST: sent %.3f s after the SIGTERM, its connection ended %.3f s later with no answer; it had reached an upstream: %v", r.id, r.sent.Sub(stoppedAt).Seconds(), held.Seconds(), reached)
			broken = true
		}
	}
	return broken
}

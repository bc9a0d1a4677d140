package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// uploadBytes is the body of a long order, more than the buffers of a connection hold. The configuration allows
	// 64 MiB.
	uploadBytes = 12 << 20
	longOrders  = 3
	// orderWork is how long the ledger works on a long order.
	orderWork = 2 * time.Second
	// stopAfter is when the SIGTERM comes, after the long orders were sent.
	stopAfter = 300 * time.Millisecond
)

// playReading stops a node with SIGTERM while the ledger works on long orders that the node has taken. With the trouble
// the ledger reads their bodies only at the end of its work, otherwise at once.
func playReading(f *fleet, trouble bool) (broken bool, err error) {
	isLong := func(r *http.Request) bool { return strings.Contains(r.URL.Path, "/long-") }
	for _, m := range f.nodes {
		workOf := func(r *http.Request) time.Duration {
			if isLong(r) {
				return orderWork
			}
			return shortWork
		}
		readsLate := func(r *http.Request) bool { return trouble && isLong(r) }
		if err := m.startUpstreamReading(ledgerSlots, 2*ledgerSlots, workOf, readsLate); err != nil {
			return false, err
		}
	}
	if err := f.start(ledgerConfiguration()); err != nil {
		return false, errNotRun{err.Error()}
	}
	stopping := f.nodes[0]
	var c clients
	for range 10 { // ordinary work
		for _, m := range f.nodes {
			c.begin(m, f.newRequest("order", http.MethodPost, reportTimeout))
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	for range longOrders {
		r := f.newRequest("order", http.MethodPost, reportTimeout)
		r.id = strings.Replace(r.id, "order-", "long-", 1)
		r.headers = fmt.Sprintf("Content-Length: %d\r\n", uploadBytes)
		r.body = func(w io.Writer) error {
			_, err := w.Write(make([]byte, uploadBytes))
			return err
		}
		c.begin(stopping, r)
	}
	time.Sleep(stopAfter)
	stoppedAt := time.Now()
	f.restart(stopping)
	c.pending.Wait()
	time.Sleep(2 * orderWork) // until the upstreams know how their work ended
	for _, r := range c.sent {
		if strings.HasPrefix(r.id, "long-") && f.replacedAnswer(r, stoppedAt) {
			broken = true
		}
	}
	return broken, nil
}

// replacedAnswer applies the second sentence of LOST: after a SIGTERM, a request that its upstream was working on was
// broken off, and the client got an answer of the system's own, or none.
func (f *fleet) replacedAnswer(r *request, stoppedAt time.Time) bool {
	if r.refused || r.sent.IsZero() || r.ended.Before(stoppedAt) || r.sealed && r.status == http.StatusOK {
		return false
	}
	if held := r.ended.Sub(r.sent); r.timedOut || held >= r.timeout {
		f.rec.log("judge: %s: not counted, its deadline was reached", r.id)
		return false
	}
	for _, m := range f.nodes {
		for _, each := range m.upstream.runsOf(r.id) {
			atWork := !each.began.IsZero() && each.began.Before(r.ended) && (each.ended.IsZero() || each.ended.After(r.ended))
			if !atWork || !each.cut {
				continue
			}
			f.rec.log("judge: %s: LOST: %.3f s after the SIGTERM the client got status %d, not sealed, while upstream %s had worked on it for %.3f s; the deadline was %.3f s away; the upstream's connection was closed on it",
				r.id, r.ended.Sub(stoppedAt).Seconds(), r.status, each.upstream, r.ended.Sub(each.began).Seconds(), (r.timeout - r.ended.Sub(r.sent)).Seconds())
			return true
		}
	}
	f.rec.log("judge: %s: not counted: no upstream was at work", r.id)
	return false
}

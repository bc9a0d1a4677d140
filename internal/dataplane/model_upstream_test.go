package dataplane

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
)

// modelUpstream runs requests, one at a time on each connection, and misbehaves at random.
type modelUpstream struct {
	cluster    *modelCluster
	generation int
	conns      []*modelConn
}

// modelConn is a connection from a node to its upstream. inbox holds the answers that the node has not read.
type modelConn struct {
	upstream   *modelUpstream
	generation int
	ended      bool
	inbox      []modelAnswer
	reader     func()
	inUse      bool
}

// modelAnswer is a response of a model upstream. notRun marks a rejection before execution.
type modelAnswer struct {
	id     string
	notRun bool
	status int
	body   string
}

// restart closes all connections and starts a new generation of the upstream.
func (u *modelUpstream) restart() {
	u.generation++
	for _, c := range slices.Clone(u.conns) {
		c.endConnection()
	}
	u.conns = nil
}

func (u *modelUpstream) dial() *modelConn {
	c := &modelConn{upstream: u, generation: u.generation, inUse: true}
	u.conns = append(u.conns, c)
	return c
}

// acquire returns an idle connection or a new one. An idle connection that has ended, or has data to read, must not
// be reused.
func (u *modelUpstream) acquire() *modelConn {
	m := u.cluster
	for _, c := range slices.Clone(u.conns) {
		if c.inUse {
			continue
		}
		if over := c.ended || len(c.inbox) > 0; over && !m.defects.idleCheckSkipped {
			u.drop(c)
			continue
		} else if over {
			m.addViolation("a request was written to a connection that was over")
		}
		c.inUse = true
		return c
	}
	return u.dial()
}

// drop ends a connection on the node's side and forgets it.
func (u *modelUpstream) drop(c *modelConn) {
	c.ended, c.reader = true, nil
	u.conns = slices.DeleteFunc(u.conns, func(each *modelConn) bool { return each == c })
}

// endConnection ends the connection on the upstream's side. Answers in the inbox can still be read.
func (c *modelConn) endConnection() {
	c.ended = true
	c.wake()
}

// receive delivers an answer to the node, unless the connection has ended.
func (c *modelConn) receive(a modelAnswer) {
	if c.ended {
		return
	}
	c.inbox = append(c.inbox, a)
	c.wake()
}

// wake lets the waiting reader, if there is one, look at the connection again.
func (c *modelConn) wake() {
	if c.reader != nil {
		c.reader()
	}
}

// handleRequest runs a request at the upstream, rejects it, or breaks the connection.
func (c *modelConn) handleRequest(id string) {
	u := c.upstream
	m := u.cluster
	if c.generation != u.generation || c.ended {
		return
	}
	m.arrivals[id]++
	if m.chance(12) {
		m.after(m.delay(), func() { c.receive(modelAnswer{notRun: true, status: http.StatusServiceUnavailable}) })
		return
	}
	m.runs[id]++
	a := modelAnswer{id: id, status: http.StatusOK, body: fmt.Sprint(id, " whole ", m.runs[id])}
	if m.chance(10) {
		a.status, a.body = http.StatusServiceUnavailable, "failed"
	}
	m.answers[modelAnswerKey(id, a.status, a.body)] = true
	work := m.delay()
	switch {
	case m.chance(8):
		m.after(work, c.endConnection)
	case m.chance(10):
		m.after(work, func() { c.receive(a) })
		m.after(work+m.delay(), func() { c.receive(a) })
	default:
		m.after(work, func() { c.receive(a) })
	}
	if m.chance(10) {
		m.after(work+m.delay(), func() {
			if !c.inUse {
				c.endConnection()
			}
		})
	}
}

// exchange sends a request to the upstream and calls done once with the outcome. stop abandons the request.
func (u *modelUpstream) exchange(id string, left time.Duration, done func(forwarding.Outcome)) (stop func()) {
	return u.exchangeOn(u.acquire(), id, left, done, u.cluster.defects.requestResent)
}

func (u *modelUpstream) exchangeOn(c *modelConn, id string, left time.Duration, done func(forwarding.Outcome), retry bool) (stop func()) {
	m, finished := u.cluster, false
	finish := func(o forwarding.Outcome, keep bool) {
		if finished {
			return
		}
		finished = true
		if keep {
			c.inUse, c.reader = false, nil
		} else {
			u.drop(c)
		}
		done(o)
	}
	stop = func() {
		finish(forwarding.IndeterminateOutcome(base.Expired, "no answer in time"), m.defects.connectionReusedAfterTimeout)
	}
	c.reader = func() {
		if a, found := c.nextAnswer(id, m.defects.idNotCompared); found {
			finish(a.outcome(), true)
		} else if c.ended && retry {
			finished = true
			u.drop(c)
			u.exchangeOn(u.dial(), id, left, done, false)
		} else if c.ended {
			finish(forwarding.IndeterminateOutcome(base.ResponseLost, "the connection ended"), false)
		}
	}
	m.after(m.delay(), func() { c.handleRequest(id) })
	m.after(left, stop)
	c.reader()
	return stop
}

// nextAnswer reads up to this request's answer. A rejection may come without an ID.
func (c *modelConn) nextAnswer(id string, acceptAny bool) (modelAnswer, bool) {
	for len(c.inbox) > 0 {
		a := c.inbox[0]
		c.inbox = c.inbox[1:]
		if a.id == id || a.id == "" && a.notRun || acceptAny {
			return a, true
		}
	}
	return modelAnswer{}, false
}

// outcome returns the answer's outcome as a node reads it.
func (a modelAnswer) outcome() forwarding.Outcome {
	if a.notRun {
		o := forwarding.NotRunOutcome(base.NewFault(base.Overloaded, "", "the upstream rejected the request"))
		o.ReachedUpstream = true
		return o
	}
	answer := &forwarding.Response{Status: a.status, Header: http.Header{}, Body: []byte(a.body), Size: int64(len(a.body))}
	answer.Header.Set(forwarding.DefaultHeaderNames.Seal, "sealed")
	answer.Header.Set(forwarding.DefaultHeaderNames.RequestID, a.id)
	return forwarding.Outcome{State: forwarding.StateOf(a.status), ReachedUpstream: true, Response: answer}
}

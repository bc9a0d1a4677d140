package dataplane

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
)

// modelUpstream works on requests, one at a time on a connection, and misbehaves as drawn.
type modelUpstream struct {
	cluster    *modelCluster
	generation int
	conns      []*modelConn
}

// modelConn is one connection from the node to its upstream; what waits on it unread is in inbox.
type modelConn struct {
	upstream   *modelUpstream
	generation int
	ended      bool
	inbox      []modelAnswer
	reader     func()
	inUse      bool
}

type modelAnswer struct {
	id     string
	notRun bool
	status int
	body   string
}

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

// acquire gives a connection that rests, or a fresh one. A resting one must have nothing to read and no end.
func (u *modelUpstream) acquire() *modelConn {
	w := u.cluster
	for _, c := range slices.Clone(u.conns) {
		if c.inUse {
			continue
		}
		if over := c.ended || len(c.inbox) > 0; over && !w.defects.idleCheckSkipped {
			u.drop(c)
			continue
		} else if over {
			w.addViolation("a request was written to a connection that was over")
		}
		c.inUse = true
		return c
	}
	return u.dial()
}

func (u *modelUpstream) drop(c *modelConn) {
	c.ended, c.reader = true, nil
	u.conns = slices.DeleteFunc(u.conns, func(each *modelConn) bool { return each == c })
}

func (c *modelConn) endConnection() {
	c.ended = true
	c.wake()
}

func (c *modelConn) receive(a modelAnswer) {
	if c.ended {
		return
	}
	c.inbox = append(c.inbox, a)
	c.wake()
}

func (c *modelConn) wake() {
	if c.reader != nil {
		c.reader()
	}
}

// handleRequest is a request arriving at the upstream.
func (c *modelConn) handleRequest(id string) {
	u := c.upstream
	w := u.cluster
	if c.generation != u.generation || c.ended {
		return
	}
	w.arrivals[id]++
	if w.chance(12) {
		w.after(w.delay(), func() { c.receive(modelAnswer{notRun: true, status: http.StatusServiceUnavailable}) })
		return
	}
	w.runs[id]++
	a := modelAnswer{id: id, status: http.StatusOK, body: fmt.Sprint(id, " whole ", w.runs[id])}
	if w.chance(10) {
		a.status, a.body = http.StatusServiceUnavailable, "failed"
	}
	w.answers[modelAnswerKey(id, a.status, a.body)] = true
	work := w.delay()
	switch {
	case w.chance(8):
		w.after(work, c.endConnection)
	case w.chance(10):
		w.after(work, func() { c.receive(a) })
		w.after(work+w.delay(), func() { c.receive(a) })
	default:
		w.after(work, func() { c.receive(a) })
	}
	if w.chance(10) {
		w.after(work+w.delay(), func() {
			if !c.inUse {
				c.endConnection()
			}
		})
	}
}

// exchange writes one request to the upstream and tells how it ended, once. stop breaks it off.
func (u *modelUpstream) exchange(id string, left time.Duration, done func(forwarding.Outcome)) (stop func()) {
	return u.exchangeOn(u.acquire(), id, left, done, u.cluster.defects.writeRepeated)
}

func (u *modelUpstream) exchangeOn(c *modelConn, id string, left time.Duration, done func(forwarding.Outcome), retry bool) (stop func()) {
	w, finished := u.cluster, false
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
	stop = func() { finish(forwarding.Doubt(base.Expired, "no answer in time"), w.defects.lateAnswerAccepted) }
	c.reader = func() {
		if a, found := c.nextAnswer(id, w.defects.idNotCompared); found {
			finish(a.outcome(), true)
		} else if c.ended && retry {
			finished = true
			u.drop(c)
			u.exchangeOn(u.dial(), id, left, done, false)
		} else if c.ended {
			finish(forwarding.Doubt(base.Lost, "the connection ended"), false)
		}
	}
	w.after(w.delay(), func() { c.handleRequest(id) })
	w.after(left, stop)
	c.reader()
	return stop
}

// nextAnswer reads on to this request's answer. A rejection may come without an id.
func (c *modelConn) nextAnswer(id string, any bool) (modelAnswer, bool) {
	for len(c.inbox) > 0 {
		a := c.inbox[0]
		c.inbox = c.inbox[1:]
		if a.id == id || a.id == "" && a.notRun || any {
			return a, true
		}
	}
	return modelAnswer{}, false
}

// outcome reads an upstream's answer as the node beside it does.
func (a modelAnswer) outcome() forwarding.Outcome {
	if a.notRun {
		o := forwarding.NotRunBy(base.NewFault(base.Overloaded, "", "the upstream turned it away"))
		o.Arrived = true
		return o
	}
	answer := &forwarding.Answer{Status: a.status, Header: http.Header{}, Body: []byte(a.body), Size: int64(len(a.body))}
	answer.Header.Set(forwarding.Plain.Seal, "sealed")
	answer.Header.Set(forwarding.Plain.Attempt, a.id)
	return forwarding.Outcome{State: forwarding.StateOf(a.status), Arrived: true, Answer: answer}
}

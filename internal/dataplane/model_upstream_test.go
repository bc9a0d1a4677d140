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
	world *modelWorld
	life  int
	conns []*modelConn
}

// modelConn is one connection from the node to its upstream; what waits on it unread is in inbox.
type modelConn struct {
	upstream *modelUpstream
	life     int
	ended    bool
	inbox    []modelAnswer
	reader   func()
	inUse    bool
}

type modelAnswer struct {
	id     string
	notRun bool
	status int
	body   string
}

func (u *modelUpstream) restart() {
	u.life++
	for _, c := range slices.Clone(u.conns) {
		c.end()
	}
	u.conns = nil
}

func (u *modelUpstream) dial() *modelConn {
	c := &modelConn{upstream: u, life: u.life, inUse: true}
	u.conns = append(u.conns, c)
	return c
}

// take gives a connection that rests, or a fresh one. A resting one must have nothing to read and no end.
func (u *modelUpstream) take() *modelConn {
	w := u.world
	for _, c := range slices.Clone(u.conns) {
		if c.inUse {
			continue
		}
		if over := c.ended || len(c.inbox) > 0; over && !w.spoilt.idleCheckLeftOut {
			u.drop(c)
			continue
		} else if over {
			w.violated("a request was written to a connection that was over")
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

func (c *modelConn) end() {
	c.ended = true
	c.wake()
}

func (c *modelConn) say(a modelAnswer) {
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

// serve is a request arriving at the upstream.
func (c *modelConn) serve(id string) {
	u := c.upstream
	w := u.world
	if c.life != u.life || c.ended {
		return
	}
	w.arrivals[id]++
	if w.chance(12) {
		w.after(w.delay(), func() { c.say(modelAnswer{notRun: true, status: http.StatusServiceUnavailable}) })
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
		w.after(work, c.end)
	case w.chance(10):
		w.after(work, func() { c.say(a) })
		w.after(work+w.delay(), func() { c.say(a) })
	default:
		w.after(work, func() { c.say(a) })
	}
	if w.chance(10) {
		w.after(work+w.delay(), func() {
			if !c.inUse {
				c.end()
			}
		})
	}
}

// exchange writes one request to the upstream and tells how it ended, once. stop breaks it off.
func (u *modelUpstream) exchange(id string, left time.Duration, told func(forwarding.Outcome)) (stop func()) {
	return u.exchangeOn(u.take(), id, left, told, u.world.spoilt.writeRepeated)
}

func (u *modelUpstream) exchangeOn(c *modelConn, id string, left time.Duration, told func(forwarding.Outcome), again bool) (stop func()) {
	w, over := u.world, false
	finish := func(o forwarding.Outcome, keep bool) {
		if over {
			return
		}
		over = true
		if keep {
			c.inUse, c.reader = false, nil
		} else {
			u.drop(c)
		}
		told(o)
	}
	stop = func() {
		finish(forwarding.IndeterminateOutcome(base.Expired, "no answer in time"), w.spoilt.lateAnswerTaken)
	}
	c.reader = func() {
		if a, found := c.next(id, w.spoilt.idNotCompared); found {
			finish(a.outcome(), true)
		} else if c.ended && again {
			over = true
			u.drop(c)
			u.exchangeOn(u.dial(), id, left, told, false)
		} else if c.ended {
			finish(forwarding.IndeterminateOutcome(base.Lost, "the connection ended"), false)
		}
	}
	w.after(w.delay(), func() { c.serve(id) })
	w.after(left, stop)
	c.reader()
	return stop
}

// next reads on to this request's answer. A rejection may come without an id.
func (c *modelConn) next(id string, any bool) (modelAnswer, bool) {
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
		o := forwarding.NotRunOutcome(base.NewFault(base.Overloaded, "", "the upstream turned it away"))
		o.ReachedUpstream = true
		return o
	}
	told := &forwarding.Response{Status: a.status, Header: http.Header{}, Body: []byte(a.body), Size: int64(len(a.body))}
	told.Header.Set(forwarding.DefaultHeaderNames.Seal, "sealed")
	told.Header.Set(forwarding.DefaultHeaderNames.RequestID, a.id)
	return forwarding.Outcome{State: forwarding.StateOf(a.status), ReachedUpstream: true, Response: told}
}

package fencing

import (
	"net/http"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/proto/wire"
)

// ReplyFromOutcome is an outcome as it is remembered.
func ReplyFromOutcome(o forwarding.Outcome) *wire.AttemptReply {
	switch {
	case o.State == forwarding.NotRun:
		refusal := &wire.AttemptRefusal{Kind: string(o.Kind), Arrived: o.ReachedUpstream, AfterMs: uint64(max(o.RetryAfter.Milliseconds(), 0))}
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_TURNED_AWAY, Refusal: refusal}
	case o.Response == nil:
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_LOST}
	case o.Response.Remaining != nil:
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_FINISHED}
	}
	return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_FINISHED, Answer: answerMessage(o.Response)}
}

// answerMessage is an answer as it is sent with a reply.
func answerMessage(a *forwarding.Response) *wire.AttemptAnswer {
	message := &wire.AttemptAnswer{Status: uint32(a.Status), Body: a.Body, Headers: make([]*wire.AttemptHeader, 0, len(a.Header))}
	headers := make([]wire.AttemptHeader, len(a.Header))
	for name, values := range a.Header {
		next := &headers[len(message.Headers)]
		next.Name, next.Values = name, values
		message.Headers = append(message.Headers, next)
	}
	return message
}

// answerOf reads an answer that was sent with a reply.
func answerOf(message *wire.AttemptAnswer) *forwarding.Response {
	a := &forwarding.Response{Status: int(message.Status), Header: http.Header{}, Body: message.Body, Size: int64(len(message.Body))}
	for _, header := range message.Headers {
		a.Header[header.Name] = header.Values
	}
	return a
}

// OutcomeFromReply reads a reply about an attempt. own tells whether an answer is this request's; doubted is what holds where the
// reply settles nothing.
func OutcomeFromReply(reply *wire.AttemptReply, own func(*forwarding.Response) bool, doubted forwarding.Outcome) forwarding.Outcome {
	switch reply.State {
	case wire.AttemptState_ATTEMPT_NEVER_BEGAN:
		return forwarding.NotRunOutcome(base.NewFault(base.Fenced, "", "the connection broke before it began"))
	case wire.AttemptState_ATTEMPT_TURNED_AWAY:
		refusal := reply.GetRefusal()
		return forwarding.Outcome{State: forwarding.NotRun, Kind: base.Kind(refusal.GetKind()), ReachedUpstream: refusal.GetArrived(), RetryAfter: time.Duration(refusal.GetAfterMs()) * time.Millisecond}
	case wire.AttemptState_ATTEMPT_FINISHED:
		if reply.Answer == nil {
			return doubted
		}
		a := answerOf(reply.Answer)
		if !own(a) {
			return doubted
		}
		return forwarding.Outcome{State: forwarding.StateOf(a.Status), ReachedUpstream: true, Response: a}
	}
	return doubted
}

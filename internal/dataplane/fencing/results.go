package fencing

import (
	"net/http"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/proto/wire"
)

// ResultOf is an outcome as it is remembered.
func ResultOf(o forwarding.Outcome) *wire.AttemptReply {
	switch {
	case o.State == forwarding.NotRun:
		refusal := &wire.AttemptRefusal{Kind: string(o.Kind), Arrived: o.Arrived, AfterMs: uint64(max(o.After.Milliseconds(), 0))}
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_TURNED_AWAY, Refusal: refusal}
	case o.Answer == nil:
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_LOST}
	case o.Answer.Rest != nil:
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_FINISHED}
	}
	return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_FINISHED, Answer: answerMessage(o.Answer)}
}

// answerMessage is an answer as it is sent with a reply.
func answerMessage(a *forwarding.Answer) *wire.AttemptAnswer {
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
func answerOf(message *wire.AttemptAnswer) *forwarding.Answer {
	a := &forwarding.Answer{Status: int(message.Status), Header: http.Header{}, Body: message.Body, Size: int64(len(message.Body))}
	for _, header := range message.Headers {
		a.Header[header.Name] = header.Values
	}
	return a
}

// OutcomeOf reads a reply about an attempt. own tells whether an answer is this request's; doubted is what holds where the
// reply settles nothing.
func OutcomeOf(reply *wire.AttemptReply, own func(*forwarding.Answer) bool, doubted forwarding.Outcome) forwarding.Outcome {
	switch reply.State {
	case wire.AttemptState_ATTEMPT_NEVER_BEGAN:
		return forwarding.NotRunBy(base.NewFault(base.Fenced, "", "the connection broke before it began"))
	case wire.AttemptState_ATTEMPT_TURNED_AWAY:
		refusal := reply.GetRefusal()
		return forwarding.Outcome{State: forwarding.NotRun, Kind: base.Kind(refusal.GetKind()), Arrived: refusal.GetArrived(), After: time.Duration(refusal.GetAfterMs()) * time.Millisecond}
	case wire.AttemptState_ATTEMPT_FINISHED:
		if reply.Answer == nil {
			return doubted
		}
		a := answerOf(reply.Answer)
		if !own(a) {
			return doubted
		}
		return forwarding.Outcome{State: forwarding.StateOf(a.Status), Arrived: true, Answer: a}
	}
	return doubted
}

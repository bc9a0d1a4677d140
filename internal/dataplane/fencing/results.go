package fencing

import (
	"net/http"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/proto/wire"
)

// ReplyFromOutcome returns the reply in which an outcome is recorded. A response that was not read completely
// is left out.
func ReplyFromOutcome(outcome forwarding.Outcome) *wire.AttemptReply {
	switch {
	case outcome.State == forwarding.NotRun:
		refusal := &wire.AttemptRefusal{Kind: string(outcome.Kind), Arrived: outcome.ReachedUpstream, AfterMs: uint64(max(outcome.RetryAfter.Milliseconds(), 0))}
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_TURNED_AWAY, Refusal: refusal}
	case outcome.Response == nil:
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_LOST}
	case outcome.Response.Remaining != nil:
		return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_FINISHED}
	}
	return &wire.AttemptReply{State: wire.AttemptState_ATTEMPT_FINISHED, Answer: answerToWire(outcome.Response)}
}

// answerToWire encodes a response for a reply.
func answerToWire(r *forwarding.Response) *wire.AttemptAnswer {
	message := &wire.AttemptAnswer{Status: uint32(r.Status), Body: r.Body, Headers: make([]*wire.AttemptHeader, 0, len(r.Header))}
	headers := make([]wire.AttemptHeader, len(r.Header))
	for name, values := range r.Header {
		next := &headers[len(message.Headers)]
		next.Name, next.Values = name, values
		message.Headers = append(message.Headers, next)
	}
	return message
}

// answerFromWire decodes the response in a reply.
func answerFromWire(message *wire.AttemptAnswer) *forwarding.Response {
	r := &forwarding.Response{Status: int(message.Status), Header: http.Header{}, Body: message.Body, Size: int64(len(message.Body))}
	for _, header := range message.Headers {
		r.Header[header.Name] = header.Values
	}
	return r
}

// OutcomeFromReply returns the outcome that a reply about an attempt describes. isOwn reports whether a
// response belongs to this request; fallback is the outcome if the reply does not determine it.
func OutcomeFromReply(reply *wire.AttemptReply, isOwn func(*forwarding.Response) bool, fallback forwarding.Outcome) forwarding.Outcome {
	switch reply.State {
	case wire.AttemptState_ATTEMPT_NEVER_BEGAN:
		return forwarding.NotRunOutcome(base.NewFault(base.Fenced, "", "the connection broke before the attempt began"))
	case wire.AttemptState_ATTEMPT_TURNED_AWAY:
		refusal := reply.GetRefusal()
		return forwarding.Outcome{State: forwarding.NotRun, Kind: base.Kind(refusal.GetKind()), ReachedUpstream: refusal.GetArrived(), RetryAfter: time.Duration(refusal.GetAfterMs()) * time.Millisecond}
	case wire.AttemptState_ATTEMPT_FINISHED:
		if reply.Answer == nil {
			return fallback
		}
		r := answerFromWire(reply.Answer)
		if !isOwn(r) {
			return fallback
		}
		return forwarding.Outcome{State: forwarding.StateOf(r.Status), ReachedUpstream: true, Response: r}
	}
	return fallback
}

package fencing

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"curlewreach/internal/attempts"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/proto/wire"
)

// IsQuery reports whether a request is a query about an attempt. Requests forwarded between nodes always
// carry MetadataHeader, queries never do.
func IsQuery(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, PathPrefix) && r.Header.Get(forwarding.MetadataHeader) == ""
}

// attemptsServer serves queries about attempts.
type attemptsServer struct{ fences *Fences }

// Resolve returns what is known of an attempt. If asked to, it first waits for the end of an attempt at work.
func (s attemptsServer) Resolve(ctx context.Context, request *connect.Request[wire.AttemptQuestion]) (*connect.Response[wire.AttemptReply], error) {
	q, table := request.Msg, s.fences.Table
	reply, entry := table.Resolve(attempts.ID(q.Id), attempts.MarkFromWire(q.Mark))
	if entry != nil && q.WaitMs > 0 {
		waitForEnd(ctx, entry, time.Duration(q.WaitMs)*time.Millisecond)
		reply, _ = table.Resolve(attempts.ID(q.Id), attempts.MarkFromWire(q.Mark))
	}
	return connect.NewResponse(&wire.AttemptReply{State: reply.State, Refusal: reply.Refusal, Answer: reply.Answer, Mark: table.CurrentMark().ToWire()}), nil
}

// waitForEnd returns when the attempt ends, after the longest time, or when ctx is done.
func waitForEnd(ctx context.Context, entry *attempts.Entry, longest time.Duration) {
	ended, leave := entry.Watch()
	defer leave()
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ServeHTTP answers a query about an attempt.
func (f *Fences) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.queryHandler.ServeHTTP(w, r) }

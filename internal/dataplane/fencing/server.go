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

// IsQuery tells questions about attempts from requests; those always say which way they go.
func IsQuery(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, PathPrefix) && r.Header.Get(forwarding.MetadataHeader) == ""
}

type attemptsServer struct{ fences *Fences }

// Resolve tells what is known of an attempt, and waits for the end of one at work if it is asked to.
func (s attemptsServer) Resolve(ctx context.Context, request *connect.Request[wire.AttemptQuestion]) (*connect.Response[wire.AttemptReply], error) {
	q, table := request.Msg, s.fences.Table
	reply, entry := table.Resolve(attempts.ID(q.Id), attempts.MarkFromWire(q.Mark))
	if entry != nil && q.WaitMs > 0 {
		wait(ctx, entry, time.Duration(q.WaitMs)*time.Millisecond)
		reply, _ = table.Resolve(attempts.ID(q.Id), attempts.MarkFromWire(q.Mark))
	}
	return connect.NewResponse(&wire.AttemptReply{State: reply.State, Refusal: reply.Refusal, Answer: reply.Answer, Mark: table.CurrentMark().ToWire()}), nil
}

func wait(ctx context.Context, entry *attempts.Entry, longest time.Duration) {
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

// ServeHTTP answers a question about an attempt.
func (f *Fences) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.questions.ServeHTTP(w, r) }

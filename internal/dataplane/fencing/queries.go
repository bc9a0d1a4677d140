package fencing

import (
	"context"
	"errors"
	"strings"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/internal/attempts"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/httpserver"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

// Bounds of queries about attempts.
const (
	// QueryTimeRatio is the fraction of the time left within which it must be known whether an attempt began.
	QueryTimeRatio = 0.45
	// queryTimeoutRatio is the timeout of one query, as a ratio of the in-force bound.
	queryTimeoutRatio = 0.15
	// maxQueries is how often the state of an attempt is queried.
	maxQueries = 6
	// maxFetches is how often a response is fetched.
	maxFetches = 4
	// initialQueryBackoff is the pause after the first failed query; it doubles with each further one.
	initialQueryBackoff = 10 * time.Millisecond
	// fetchMargin is how long before the deadline fetching a response ends.
	fetchMargin = 10 * time.Millisecond
	// maxReplyBytes is the size limit of a query and of a reply.
	maxReplyBytes = 1 << 20
	// maxMarks is the number of nodes whose marks are kept.
	maxMarks = 4096
	// PathPrefix is the path prefix of queries.
	PathPrefix = "/" + wireconnect.AttemptsName + "/"
)

// IsStaleMark reports whether a peer rejected an attempt as fenced in a response of its own, which also
// carried its current mark.
func IsStaleMark(ref attempts.Reference, o forwarding.Outcome) bool {
	return ref.IsSet() && o.State == forwarding.NotRun && o.Kind == base.Fenced && o.Load != nil
}

// Peer is the node to which an attempt was sent.
type Peer struct {
	Node string
	// Address is where the node answers queries about attempts.
	Address string
}

// Resolve determines the outcome of an attempt whose connection to another node broke, by querying that node
// on a new connection. Queries take at most QueryTimeRatio of the time left; only the response of an attempt
// known to be at work is awaited for longer. fallback is the outcome if nothing can be learned.
func (f *Fences) Resolve(ctx context.Context, to Peer, ref attempts.Reference, requestID string, deadline time.Duration, fallback forwarding.Outcome) forwarding.Outcome {
	if !ref.IsSet() {
		return fallback
	}
	f.count(CountBroken)
	o := f.queryOutcome(ctx, to, ref, requestID, deadline, fallback)
	if o.State == forwarding.Indeterminate {
		f.count(CountIndeterminate)
	}
	f.scope.Record("attempt-settled", to.Node, string(o.Kind))
	return o
}

// Withdraw fences an attempt whose connection to another node is intact, and reports whether it has not begun and never
// will. If the other node does not reply by the deadline, or the attempt has begun, nothing changes.
func (f *Fences) Withdraw(ctx context.Context, to Peer, ref attempts.Reference, deadline time.Duration) (neverBegins bool) {
	if !ref.Mark.IsSet() {
		f.count(CountNoMark)
		return false
	}
	return f.query(ctx, to, ref, deadline).GetState() == wire.AttemptState_ATTEMPT_NEVER_BEGAN
}

// queryOutcome returns the outcome of an attempt as far as the other node knows it.
func (f *Fences) queryOutcome(ctx context.Context, to Peer, ref attempts.Reference, requestID string, deadline time.Duration, fallback forwarding.Outcome) forwarding.Outcome {
	if !ref.Mark.IsSet() {
		f.count(CountNoMark)
		return fallback
	}
	reply := f.query(ctx, to, ref, deadline)
	if reply.GetState() == wire.AttemptState_ATTEMPT_AT_WORK {
		reply = f.fetchResponse(ctx, to, ref, deadline)
	}
	if reply == nil {
		return fallback
	}
	isOwn := func(r *forwarding.Response) bool { return r.Header.Get(f.requestIDHeader) == requestID }
	return OutcomeFromReply(reply, isOwn, fallback)
}

// query sends queries until there is a reply, within QueryTimeRatio of the time left. It stops if the
// connection is refused: then the incarnation that knew the attempt is gone.
func (f *Fences) query(ctx context.Context, to Peer, ref attempts.Reference, deadline time.Duration) *wire.AttemptReply {
	now := f.scope.Clock.Mono()
	queryDeadline := now + time.Duration(QueryTimeRatio*float64(deadline-now))
	pause := initialQueryBackoff
	for range maxQueries {
		left := min(queryDeadline-f.scope.Clock.Mono(), f.queryTimeout)
		if left <= 0 || ctx.Err() != nil {
			break
		}
		f.count(CountAsked)
		reply, err := f.queryOnce(ctx, to, ref, 0, left)
		if err == nil {
			f.count(CountReplied + strings.ToLower(strings.TrimPrefix(reply.State.String(), "ATTEMPT_")))
			return reply
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		base.Await(f.scope.WithContext(ctx), min(pause, max(queryDeadline-f.scope.Clock.Mono(), 0)))
		pause *= 2
	}
	f.count(CountUnanswered)
	return nil
}

// fetchResponse waits for the response of an attempt at work. If the connection breaks again, it repeats the
// query, up to maxFetches times.
func (f *Fences) fetchResponse(ctx context.Context, to Peer, ref attempts.Reference, deadline time.Duration) *wire.AttemptReply {
	for range maxFetches {
		left := deadline - f.scope.Clock.Mono() - fetchMargin
		if left <= 0 || ctx.Err() != nil {
			break
		}
		if reply, err := f.queryOnce(ctx, to, ref, left, left); err == nil {
			f.count(CountFetched)
			return reply
		}
	}
	f.count(CountFetchFailed)
	return nil
}

// queryOnce sends one query. wait is how long the other node may wait for the end of the attempt, within the
// timeout of the query.
func (f *Fences) queryOnce(ctx context.Context, to Peer, ref attempts.Reference, wait, timeout time.Duration) (*wire.AttemptReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := wireconnect.NewAttemptsClient(f.client, "http://"+to.Address, httpserver.HandlerOptions(), connect.WithReadMaxBytes(maxReplyBytes))
	query := &wire.AttemptQuestion{Id: string(ref.ID), Mark: ref.Mark.ToWire(), WaitMs: uint64(max(wait.Milliseconds(), 0))}
	reply, err := client.Resolve(ctx, connect.NewRequest(query))
	if err != nil {
		return nil, err
	}
	f.Learn(to.Node, attempts.MarkFromWire(reply.Msg.Mark))
	return reply.Msg, nil
}

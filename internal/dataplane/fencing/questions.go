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

// Bounds of a question about an attempt.
const (
	// QueryTimeRatio, of the time left, is how long asking whether an attempt began may take.
	QueryTimeRatio = 0.45
	questionRatio  = 0.15
	mostQuestions  = 6
	mostFetches    = 4
	firstAskPause  = 10 * time.Millisecond
	fetchMargin    = 10 * time.Millisecond
	questionBytes  = 1 << 20
	mostMarksKept  = 4096
	PathPrefix     = "/" + wireconnect.AttemptsName + "/"
)

// IsStaleMark tells whether an attempt was turned away by a peer that told its present mark with it.
func IsStaleMark(ref attempts.Reference, o forwarding.Outcome) bool {
	return ref.IsSet() && o.State == forwarding.NotRun && o.Kind == base.Fenced && o.Load != nil
}

// Peer is the node that an attempt went to.
type Peer struct {
	Node string
	// Address is where it answers questions about attempts.
	Address string
}

// Resolve settles an attempt whose connection to another node broke by asking that node on a fresh connection. The question
// takes at most a part of the time left; only the answer of an attempt known to be at work is waited for longer. doubted is
// the outcome if nothing can be learned.
func (f *Fences) Resolve(ctx context.Context, to Peer, ref attempts.Reference, requestID string, until time.Duration, doubted forwarding.Outcome) forwarding.Outcome {
	if !ref.IsSet() {
		return doubted
	}
	f.count(CountBroken)
	o := f.settled(ctx, to, ref, requestID, until, doubted)
	if o.State == forwarding.Indeterminate {
		f.count(CountIndeterminate)
	}
	f.scope.Record("attempt-settled", to.Node, string(o.Kind))
	return o
}

// settled is the outcome of an attempt as far as the other node can tell.
func (f *Fences) settled(ctx context.Context, to Peer, ref attempts.Reference, requestID string, until time.Duration, doubted forwarding.Outcome) forwarding.Outcome {
	if !ref.Mark.IsSet() {
		f.count(CountNoMark)
		return doubted
	}
	reply := f.askAbout(ctx, to, ref, until)
	if reply.GetState() == wire.AttemptState_ATTEMPT_AT_WORK {
		reply = f.fetch(ctx, to, ref, until)
	}
	if reply == nil {
		return doubted
	}
	own := func(a *forwarding.Response) bool { return a.Header.Get(f.attemptName) == requestID }
	return OutcomeFromReply(reply, own, doubted)
}

// askAbout asks until there is a reply, within the part of the time left that a question may take. Where nobody listens any
// more, the incarnation that knew is gone.
func (f *Fences) askAbout(ctx context.Context, to Peer, ref attempts.Reference, until time.Duration) *wire.AttemptReply {
	now := f.scope.Clock.Mono()
	giveUp := now + time.Duration(QueryTimeRatio*float64(until-now))
	pause := firstAskPause
	for range mostQuestions {
		left := min(giveUp-f.scope.Clock.Mono(), f.question)
		if left <= 0 || ctx.Err() != nil {
			break
		}
		f.count(CountAsked)
		reply, err := f.ask(ctx, to, ref, 0, left)
		if err == nil {
			f.count(CountReplied + strings.ToLower(strings.TrimPrefix(reply.State.String(), "ATTEMPT_")))
			return reply
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		base.Await(f.scope.WithContext(ctx), min(pause, max(giveUp-f.scope.Clock.Mono(), 0)))
		pause *= 2
	}
	f.count(CountUnanswered)
	return nil
}

// fetch waits for the answer of an attempt at work. If that breaks as well, it asks again a few times.
func (f *Fences) fetch(ctx context.Context, to Peer, ref attempts.Reference, until time.Duration) *wire.AttemptReply {
	for range mostFetches {
		left := until - f.scope.Clock.Mono() - fetchMargin
		if left <= 0 || ctx.Err() != nil {
			break
		}
		if reply, err := f.ask(ctx, to, ref, left, left); err == nil {
			f.count(CountFetched)
			return reply
		}
	}
	f.count(CountFetchFailed)
	return nil
}

// ask asks once; wait is how long the other node may wait for the end of the attempt.
func (f *Fences) ask(ctx context.Context, to Peer, ref attempts.Reference, wait, within time.Duration) (*wire.AttemptReply, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	client := wireconnect.NewAttemptsClient(f.web, "http://"+to.Address, httpserver.HandlerOptions(), connect.WithReadMaxBytes(questionBytes))
	question := &wire.AttemptQuestion{Id: string(ref.ID), Mark: ref.Mark.ToWire(), WaitMs: uint64(max(wait.Milliseconds(), 0))}
	reply, err := client.Resolve(ctx, connect.NewRequest(question))
	if err != nil {
		return nil, err
	}
	f.Learn(to.Node, attempts.MarkFromWire(reply.Msg.Mark))
	return reply.Msg, nil
}

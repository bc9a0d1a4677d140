package quorum

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// acceptor is one machine's disk in its role as a Paxos acceptor. This machine's
// own disk is called directly, the others by RPC.
type acceptor interface {
	Promise(context.Context, *connect.Request[wire.PromiseRequest]) (*connect.Response[wire.PromiseReply], error)
	Accept(context.Context, *connect.Request[wire.AcceptRequest]) (*connect.Response[wire.AcceptReply], error)
	Settle(context.Context, *connect.Request[wire.SettleRequest]) (*connect.Response[wire.SettleReply], error)
	TakeOver(context.Context, *connect.Request[wire.TakeOverRequest]) (*connect.Response[wire.TakeOverReply], error)
	Keys(context.Context, *connect.Request[wire.KeysRequest]) (*connect.Response[wire.KeysReply], error)
}

// Reply is the reply of one acceptor, or the error of the call to it. The field
// acceptor is its index.
type Reply[T any] struct {
	acceptor int
	body     *T
	err      error
}

// poll calls all acceptors concurrently. It returns the replies received so far
// once the required number of calls have succeeded or all calls have ended; it
// always waits for at least one. The remaining calls continue in the background.
// Calls are not cancelled together with the scope, but they end at the timeout.
func poll[T any](s base.Scope, acceptors []acceptor, required int, timeout time.Duration, call func(context.Context, acceptor) (*T, error)) []Reply[T] {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.Context), timeout)
	replies := make(chan Reply[T], len(acceptors))
	for i, target := range acceptors {
		go func() {
			body, err := callWithContext(ctx, func() (*T, error) { return call(ctx, target) })
			replies <- Reply[T]{i, body, err}
		}()
	}
	var received []Reply[T]
	succeeded := 0
	for range acceptors {
		reply := <-replies
		received = append(received, reply)
		if reply.err == nil {
			succeeded++
		}
		if succeeded >= required {
			break
		}
	}
	pending := len(acceptors) - len(received)
	go func() {
		for range pending {
			<-replies
		}
		cancel()
	}()
	return received
}

// callWithContext returns the result of call, or an error once ctx ends. It does
// not rely on call to return by then: an operation on a stalled local disk does
// not.
func callWithContext[T any](ctx context.Context, call func() (*T, error)) (*T, error) {
	type result struct {
		body *T
		err  error
	}
	done := make(chan result, 1)
	go func() {
		body, err := call()
		done <- result{body, err}
	}()
	select {
	case finished := <-done:
		return finished.body, finished.err
	case <-ctx.Done():
		return nil, base.NewFault(base.Unreachable, "", "a disk did not answer in time")
	}
}

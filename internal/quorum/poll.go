package quorum

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// acceptor is a machine's disk as this one reaches it: its own directly, others by
// calls.
type acceptor interface {
	Promise(context.Context, *connect.Request[wire.PromiseRequest]) (*connect.Response[wire.PromiseReply], error)
	Accept(context.Context, *connect.Request[wire.AcceptRequest]) (*connect.Response[wire.AcceptReply], error)
	Settle(context.Context, *connect.Request[wire.SettleRequest]) (*connect.Response[wire.SettleReply], error)
	TakeOver(context.Context, *connect.Request[wire.TakeOverRequest]) (*connect.Response[wire.TakeOverReply], error)
	Keys(context.Context, *connect.Request[wire.KeysRequest]) (*connect.Response[wire.KeysReply], error)
}

// Reply is one disk's answer.
type Reply[T any] struct {
	acceptor int
	body     *T
	err      error
}

// poll asks all disks at a time and returns their answers once enough are
// without an error, or all have come.
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

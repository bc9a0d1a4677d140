package quorum

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// disk is a machine's disk as this one reaches it: its own directly, others by
// calls.
type disk interface {
	Promise(context.Context, *connect.Request[wire.PromiseRequest]) (*connect.Response[wire.PromiseReply], error)
	Accept(context.Context, *connect.Request[wire.AcceptRequest]) (*connect.Response[wire.AcceptReply], error)
	Settle(context.Context, *connect.Request[wire.SettleRequest]) (*connect.Response[wire.SettleReply], error)
	TakeOver(context.Context, *connect.Request[wire.TakeOverRequest]) (*connect.Response[wire.TakeOverReply], error)
	Keys(context.Context, *connect.Request[wire.KeysRequest]) (*connect.Response[wire.KeysReply], error)
}

// Reply is one disk's answer.
type Reply[T any] struct {
	disk int
	body *T
	err  error
}

// poll asks all disks at a time and returns their answers once enough are
// without an error, or all have come.
func poll[T any](s base.Scope, disks []disk, need int, round time.Duration, ask func(context.Context, disk) (*T, error)) []Reply[T] {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.Context), round)
	replies := make(chan Reply[T], len(disks))
	for i, each := range disks {
		go func() {
			body, err := retry(ctx, func() (*T, error) { return ask(ctx, each) })
			replies <- Reply[T]{i, body, err}
		}()
	}
	var got []Reply[T]
	good := 0
	for range disks {
		reply := <-replies
		got = append(got, reply)
		if reply.err == nil {
			good++
		}
		if good >= need {
			break
		}
	}
	left := len(disks) - len(got)
	go func() {
		for range left {
			<-replies
		}
		cancel()
	}()
	return got
}

func retry[T any](ctx context.Context, ask func() (*T, error)) (*T, error) {
	type said struct {
		body *T
		err  error
	}
	answer := make(chan said, 1)
	go func() {
		body, err := ask()
		answer <- said{body, err}
	}()
	select {
	case got := <-answer:
		return got.body, got.err
	case <-ctx.Done():
		return nil, base.NewFault(base.Unreachable, "", "a disk did not answer in time")
	}
}

package quorum

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

type server struct{ replica *Replica }

// Handler returns the path and handler of this machine's disk.
func Handler(t *Replica) (string, http.Handler) {
	return wireconnect.NewTroveHandler(server{t}, httpserver.HandlerOptions())
}

func (v server) Promise(ctx context.Context, request *connect.Request[wire.PromiseRequest]) (*connect.Response[wire.PromiseReply], error) {
	ask := request.Msg
	if ask.Epoch == nil {
		promised, entry := v.replica.store.Peek(ask.Key)
		if entry != nil && ask.Have != nil && compareEntries(entry, &wire.Entry{Epoch: ask.Have, Serial: ask.HaveSerial}) == 0 {
			entry = &wire.Entry{Key: entry.Key, Epoch: entry.Epoch, Serial: entry.Serial}
		}
		if v.replica.store.Phase() != wire.Phase_FOUNDED || v.replica.store.IsDamaged(ask.Key) {
			return nil, base.NewFault(base.NoState, ask.Key, "this disk has not recovered")
		}
		return connect.NewResponse(&wire.PromiseReply{Promised: promised, Entry: entry}), nil
	}
	granted, promised, entry, err := v.replica.store.Promise(ctx, ask.Key, ask.Epoch)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.PromiseReply{Granted: granted, Promised: promised, Entry: entry}), nil
}

func (v server) Accept(ctx context.Context, request *connect.Request[wire.AcceptRequest]) (*connect.Response[wire.AcceptReply], error) {
	if request.Msg.GetEntry().GetKey() == "" || request.Msg.Entry.GetEpoch().GetNumber() == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, base.NewFault(base.Malformed, "entry", "an entry has a key and an epoch"))
	}
	granted, promised, err := v.replica.store.Accept(ctx, request.Msg.Entry)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.AcceptReply{Granted: granted, Promised: promised}), nil
}

func (v server) Settle(_ context.Context, request *connect.Request[wire.SettleRequest]) (*connect.Response[wire.SettleReply], error) {
	_, entry := v.replica.store.Peek(request.Msg.Key)
	if entry != nil && compareEntries(entry, &wire.Entry{Epoch: request.Msg.Epoch, Serial: request.Msg.Serial}) == 0 {
		v.replica.settle(entry)
	}
	return connect.NewResponse(&wire.SettleReply{}), nil
}

func (v server) TakeOver(ctx context.Context, request *connect.Request[wire.TakeOverRequest]) (*connect.Response[wire.TakeOverReply], error) {
	t := v.replica
	s, cancel := t.scope.WithContext(ctx).WithTimeout(t.round)
	defer cancel()
	at := t.ownerOf(request.Msg.Key)
	if !at.latch.Lock(s) {
		return nil, errBusy(request.Msg.Key)
	}
	defer at.latch.Unlock()
	if err := t.promise(s, request.Msg.Key, at); err != nil {
		at.epoch = nil
		return nil, err
	}
	return connect.NewResponse(&wire.TakeOverReply{}), nil
}

func (v server) Keys(context.Context, *connect.Request[wire.KeysRequest]) (*connect.Response[wire.KeysReply], error) {
	return connect.NewResponse(&wire.KeysReply{Keys: v.replica.store.Keys(), Phase: v.replica.store.Phase()}), nil
}

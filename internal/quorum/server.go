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

// server makes this machine's disk available to the other machines. It is also
// the acceptor through which this machine calls its own disk.
type server struct{ replica *Replica }

// Handler returns the path and handler of the RPC service for this machine's
// disk.
func Handler(r *Replica) (string, http.Handler) {
	return wireconnect.NewTroveHandler(server{r}, httpserver.HandlerOptions())
}

// Promise handles the first phase of Paxos. Without an epoch it is a read: it
// returns the promise and the entry, without the entry's value if the caller has
// it already.
func (srv server) Promise(ctx context.Context, request *connect.Request[wire.PromiseRequest]) (*connect.Response[wire.PromiseReply], error) {
	message := request.Msg
	if message.Epoch == nil {
		promised, entry := srv.replica.store.Peek(message.Key)
		if entry != nil && message.Have != nil && compareEntries(entry, &wire.Entry{Epoch: message.Have, Serial: message.HaveSerial}) == 0 {
			entry = &wire.Entry{Key: entry.Key, Epoch: entry.Epoch, Serial: entry.Serial}
		}
		if srv.replica.store.Phase() != wire.Phase_FOUNDED || srv.replica.store.IsDamaged(message.Key) {
			return nil, base.NewFault(base.NoState, message.Key, "this disk has not recovered")
		}
		return connect.NewResponse(&wire.PromiseReply{Promised: promised, Entry: entry}), nil
	}
	granted, promised, entry, err := srv.replica.store.Promise(ctx, message.Key, message.Epoch)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.PromiseReply{Granted: granted, Promised: promised, Entry: entry}), nil
}

// Accept handles the second phase of Paxos.
func (srv server) Accept(ctx context.Context, request *connect.Request[wire.AcceptRequest]) (*connect.Response[wire.AcceptReply], error) {
	if request.Msg.GetEntry().GetKey() == "" || request.Msg.Entry.GetEpoch().GetNumber() == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, base.NewFault(base.Malformed, "entry", "an entry has a key and an epoch"))
	}
	granted, promised, err := srv.replica.store.Accept(ctx, request.Msg.Entry)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.AcceptReply{Granted: granted, Promised: promised}), nil
}

// Settle handles the notice that an entry is on a majority of disks. The notice
// is ignored unless this disk has the same entry.
func (srv server) Settle(_ context.Context, request *connect.Request[wire.SettleRequest]) (*connect.Response[wire.SettleReply], error) {
	_, entry := srv.replica.store.Peek(request.Msg.Key)
	if entry != nil && compareEntries(entry, &wire.Entry{Epoch: request.Msg.Epoch, Serial: request.Msg.Serial}) == 0 {
		srv.replica.markChosen(entry)
	}
	return connect.NewResponse(&wire.SettleReply{}), nil
}

// TakeOver handles the request of a key's owner, which is stopping, to become the
// owner.
func (srv server) TakeOver(ctx context.Context, request *connect.Request[wire.TakeOverRequest]) (*connect.Response[wire.TakeOverReply], error) {
	r := srv.replica
	s, cancel := r.scope.WithContext(ctx).WithTimeout(r.roundTimeout)
	defer cancel()
	state := r.ownerStateOf(request.Msg.Key)
	if !state.lock.Lock(s) {
		return nil, errBusy(request.Msg.Key)
	}
	defer state.lock.Unlock()
	if err := r.acquireOwnership(s, request.Msg.Key, state); err != nil {
		state.epoch = nil
		return nil, err
	}
	return connect.NewResponse(&wire.TakeOverReply{}), nil
}

// Keys returns the keys and the phase of this disk.
func (srv server) Keys(context.Context, *connect.Request[wire.KeysRequest]) (*connect.Response[wire.KeysReply], error) {
	return connect.NewResponse(&wire.KeysReply{Keys: srv.replica.store.Keys(), Phase: srv.replica.store.Phase()}), nil
}

package tracing

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/gammazero/deque"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/storage"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

// traceFolder is the folder, in the process's data folder, of the store's
// files.
const traceFolder = "traces"

// mostFiles is the most files that the store keeps, one for each interval in
// which spans came.
const mostFiles = 64

// Store keeps the newest spans on a core machine, in memory and in files.
type Store struct {
	scope       base.Scope
	bound       int
	incarnation string
	mu          sync.Mutex
	spans       deque.Deque[*wire.Span]
	first       uint64
	fresh       []*wire.Span
	number      uint64
	owed        deque.Deque[*wire.Batch]
	peers       func() []wireconnect.LensClient
}

// OpenStore returns a store of at most bound spans, with those that the disk
// still holds. Files that can't be read are deleted.
func OpenStore(s base.Scope, bound int) *Store {
	store := &Store{scope: s, bound: bound, incarnation: s.Rand.Hex(6)}
	_ = s.Disk.MakeFolder(traceFolder)
	names, _ := s.Disk.List(traceFolder)
	slices.Sort(names)
	for _, name := range names {
		raw, err := s.Disk.Read(traceFolder + "/" + name)
		batch := &wire.Batch{}
		if err != nil || proto.Unmarshal(raw, batch) != nil {
			_ = s.Disk.Remove(traceFolder + "/" + name)
			continue
		}
		for _, span := range batch.Spans {
			store.push(span)
		}
		_, _ = fmt.Sscanf(name, "%016x", &store.number)
	}
	return store
}

func (t *Store) push(span *wire.Span) {
	t.spans.PushBack(span)
	if t.spans.Len() > t.bound {
		t.spans.PopFront()
		t.first++
	}
}

// Add stores spans. They are on disk after the next Flush.
func (t *Store) Add(spans []*wire.Span) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, span := range spans {
		t.push(span)
	}
	t.fresh = append(t.fresh, spans...)
	if over := len(t.fresh) - t.bound; over > 0 {
		t.fresh = t.fresh[over:]
	}
}

// SetPeers sets the other core machines, which get the copies that this one keeps
// for them. It is called once, before Run.
func (t *Store) SetPeers(web *http.Client, addresses []string) {
	var clients []wireconnect.LensClient
	for _, address := range addresses {
		clients = append(clients, wireconnect.NewLensClient(web, "http://"+address))
	}
	t.SetPeerFunc(func() []wireconnect.LensClient { return clients })
}

// SetPeerFunc names the other stores by a function that is asked each time, as they may change.
// It must be called before Run.
func (t *Store) SetPeerFunc(peers func() []wireconnect.LensClient) { t.peers = peers }

func (t *Store) others() []wireconnect.LensClient {
	if t.peers == nil {
		return nil
	}
	return t.peers()
}

// Run writes files and delivers copies at each interval until the scope ends.
func (t *Store) Run(s base.Scope, every time.Duration) {
	base.Tick(s, every, func(base.Scope) {
		t.Flush()
		t.handOver(s, every)
	})
}

func (t *Store) owe(batch *wire.Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.owed.PushBack(batch)
	if t.owed.Len() > owedMost {
		t.owed.PopFront()
		t.scope.Record("copy-lost", "", "a mate was away for too long")
	}
}

// Len returns how many spans are held in memory.
func (t *Store) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spans.Len() + len(t.fresh)
}

// PendingCopies returns how many batches are held for other core machines.
func (t *Store) PendingCopies() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.owed.Len()
}

func (t *Store) handOver(s base.Scope, every time.Duration) {
	for t.PendingCopies() > 0 {
		t.mu.Lock()
		batch := t.owed.Front()
		t.mu.Unlock()
		if !slices.ContainsFunc(t.others(), func(peer wireconnect.LensClient) bool {
			return keep(s, peer, &wire.KeepRequest{Batch: batch}, every)
		}) {
			return
		}
		t.mu.Lock()
		if t.owed.Len() > 0 && t.owed.Front() == batch {
			t.owed.PopFront()
		}
		t.mu.Unlock()
		t.scope.Record("handed-over", "spans", batch.Id)
	}
}

// Flush writes the spans that came since the last call to a file, and removes
// the oldest files beyond mostFiles. A failure is noted and the spans stay in
// memory only.
func (t *Store) Flush() {
	t.mu.Lock()
	fresh := t.fresh
	t.fresh = nil
	t.number++
	number := t.number
	t.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	raw, err := proto.Marshal(&wire.Batch{Spans: fresh})
	if err == nil {
		err = storage.WriteAtomically(t.scope.Disk, fmt.Sprintf("%s/%016x", traceFolder, number), raw)
	}
	if err != nil {
		t.scope.Record("trace-lost", "", err.Error())
		return
	}
	names, _ := t.scope.Disk.List(traceFolder)
	slices.Sort(names)
	for len(names) > mostFiles {
		_ = t.scope.Disk.Remove(traceFolder + "/" + names[0])
		names = names[1:]
	}
}

// Recent returns at most limit spans that came after the number given, and the
// number of the last of them.
func (t *Store) Recent(after uint64, limit int) ([]*wire.Span, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	after = max(after, t.first)
	var spans []*wire.Span
	for i := int(after - t.first); i < t.spans.Len() && len(spans) < limit; i++ {
		spans = append(spans, t.spans.At(i))
		after++
	}
	return spans, after
}

// Trace returns all spans held of a trace.
func (t *Store) Trace(trace string) []*wire.Span {
	t.mu.Lock()
	defer t.mu.Unlock()
	var spans []*wire.Span
	for i := range t.spans.Len() {
		if span := t.spans.At(i); span.Trace == trace {
			spans = append(spans, span)
		}
	}
	return spans
}

type server struct{ store *Store }

// Handler returns the path and handler of the store's service.
func Handler(t *Store) (string, http.Handler) {
	return wireconnect.NewLensHandler(server{t}, httpserver.HandlerOptions())
}

func (v server) Keep(_ context.Context, request *connect.Request[wire.KeepRequest]) (*connect.Response[wire.KeepReply], error) {
	if request.Msg.Copy {
		v.store.owe(request.Msg.Batch)
		return connect.NewResponse(&wire.KeepReply{}), nil
	}
	v.store.Add(request.Msg.GetBatch().GetSpans())
	return connect.NewResponse(&wire.KeepReply{}), nil
}

func (v server) Recent(_ context.Context, request *connect.Request[wire.RecentRequest]) (*connect.Response[wire.RecentReply], error) {
	spans, after := v.store.Recent(request.Msg.After, int(request.Msg.Limit))
	return connect.NewResponse(&wire.RecentReply{Spans: spans, After: after, Incarnation: v.store.incarnation}), nil
}

func (v server) Trace(_ context.Context, request *connect.Request[wire.TraceRequest]) (*connect.Response[wire.TraceReply], error) {
	return connect.NewResponse(&wire.TraceReply{Spans: v.store.Trace(request.Msg.Trace)}), nil
}

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

// storeFolder is the folder of the store's files, relative to the data folder of
// the process.
const storeFolder = "traces"

// maxFiles is the maximum number of files that the store keeps. It writes one for
// each interval in which spans arrived.
const maxFiles = 64

// Store keeps the newest spans on a control machine, in memory and in files.
type Store struct {
	scope         base.Scope
	capacity      int
	incarnation   string // changes with each start, as span numbers start again
	mu            sync.Mutex
	spans         deque.Deque[*wire.Span]
	firstIndex    uint64       // number of the oldest span in memory
	unflushed     []*wire.Span // spans that are not yet in a file
	fileNumber    uint64
	pendingCopies deque.Deque[*wire.Batch] // batches that a peer is to store as well
	peers         func() []wireconnect.LensClient
}

// OpenStore returns a store of at most capacity spans, loaded with the spans
// still on disk. Files that can't be read or decoded are deleted.
func OpenStore(s base.Scope, capacity int) *Store {
	store := &Store{scope: s, capacity: capacity, incarnation: s.Rand.Hex(6)}
	_ = s.Disk.MakeFolder(storeFolder)
	names, _ := s.Disk.List(storeFolder)
	slices.Sort(names)
	for _, name := range names {
		raw, err := s.Disk.Read(storeFolder + "/" + name)
		batch := &wire.Batch{}
		if err != nil || proto.Unmarshal(raw, batch) != nil {
			_ = s.Disk.Remove(storeFolder + "/" + name)
			continue
		}
		for _, span := range batch.Spans {
			store.appendSpan(span)
		}
		_, _ = fmt.Sscanf(name, "%016x", &store.fileNumber)
	}
	return store
}

func (t *Store) appendSpan(span *wire.Span) {
	t.spans.PushBack(span)
	if t.spans.Len() > t.capacity {
		t.spans.PopFront()
		t.firstIndex++
	}
}

// Add stores spans in memory. The next Flush writes them to disk.
func (t *Store) Add(spans []*wire.Span) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, span := range spans {
		t.appendSpan(span)
	}
	t.unflushed = append(t.unflushed, spans...)
	if over := len(t.unflushed) - t.capacity; over > 0 {
		t.unflushed = t.unflushed[over:]
	}
}

// SetPeers sets the addresses of the other control machines, to which this store
// passes copies of batches. It must be called before Run.
func (t *Store) SetPeers(client *http.Client, addresses []string) {
	var clients []wireconnect.LensClient
	for _, address := range addresses {
		clients = append(clients, wireconnect.NewLensClient(client, "http://"+address))
	}
	t.SetPeerFunc(func() []wireconnect.LensClient { return clients })
}

// SetPeerFunc sets a function that returns the current other stores. It is called
// before each delivery, because the peers may change. It must be set before Run.
func (t *Store) SetPeerFunc(peers func() []wireconnect.LensClient) { t.peers = peers }

func (t *Store) currentPeers() []wireconnect.LensClient {
	if t.peers == nil {
		return nil
	}
	return t.peers()
}

// Run flushes the store and delivers pending copies at each interval until the
// scope ends.
func (t *Store) Run(s base.Scope, interval time.Duration) {
	base.Tick(s, interval, func(base.Scope) {
		t.Flush()
		t.deliverCopies(s, interval)
	})
}

func (t *Store) queueCopy(batch *wire.Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingCopies.PushBack(batch)
	if t.pendingCopies.Len() > maxPendingBatches {
		t.pendingCopies.PopFront()
		t.scope.Record("copy-lost", "", "a mate was away for too long")
	}
}

// Len returns how many spans are held in memory.
func (t *Store) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spans.Len() + len(t.unflushed)
}

// PendingCopies returns the number of batches that wait to be copied to a peer.
func (t *Store) PendingCopies() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pendingCopies.Len()
}

// deliverCopies sends the pending copies, oldest first, each to the first peer
// that accepts it. It stops at the first copy that no peer accepts.
func (t *Store) deliverCopies(s base.Scope, timeout time.Duration) {
	for t.PendingCopies() > 0 {
		t.mu.Lock()
		batch := t.pendingCopies.Front()
		t.mu.Unlock()
		if !slices.ContainsFunc(t.currentPeers(), func(peer wireconnect.LensClient) bool {
			return sendBatch(s, peer, &wire.KeepRequest{Batch: batch}, timeout)
		}) {
			return
		}
		t.mu.Lock()
		if t.pendingCopies.Len() > 0 && t.pendingCopies.Front() == batch {
			t.pendingCopies.PopFront()
		}
		t.mu.Unlock()
		t.scope.Record("handed-over", "spans", batch.Id)
	}
}

// Flush writes the spans added since the last call to a file and removes the
// oldest files beyond maxFiles. A write error is recorded in the journal; these
// spans then exist in memory only.
func (t *Store) Flush() {
	t.mu.Lock()
	spans := t.unflushed
	t.unflushed = nil
	t.fileNumber++
	fileNumber := t.fileNumber
	t.mu.Unlock()
	if len(spans) == 0 {
		return
	}
	raw, err := proto.Marshal(&wire.Batch{Spans: spans})
	if err == nil {
		err = storage.WriteAtomically(t.scope.Disk, fmt.Sprintf("%s/%016x", storeFolder, fileNumber), raw)
	}
	if err != nil {
		t.scope.Record("trace-lost", "", err.Error())
		return
	}
	names, _ := t.scope.Disk.List(storeFolder)
	slices.Sort(names)
	for len(names) > maxFiles {
		_ = t.scope.Disk.Remove(storeFolder + "/" + names[0])
		names = names[1:]
	}
}

// Recent returns at most limit spans that were added after the span with the
// given number, and the number of the last one returned.
func (t *Store) Recent(after uint64, limit int) ([]*wire.Span, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	after = max(after, t.firstIndex)
	var spans []*wire.Span
	for i := int(after - t.firstIndex); i < t.spans.Len() && len(spans) < limit; i++ {
		spans = append(spans, t.spans.At(i))
		after++
	}
	return spans, after
}

// Trace returns the spans of a trace that are still in memory.
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

// storeService implements the RPC service of a store.
type storeService struct{ store *Store }

// Handler returns the path and the HTTP handler of the store's RPC service.
func Handler(t *Store) (string, http.Handler) {
	return wireconnect.NewLensHandler(storeService{t}, httpserver.HandlerOptions())
}

// Keep stores a batch, or queues it for a peer if the caller asks for a copy.
func (s storeService) Keep(_ context.Context, request *connect.Request[wire.KeepRequest]) (*connect.Response[wire.KeepReply], error) {
	if request.Msg.Copy {
		s.store.queueCopy(request.Msg.Batch)
		return connect.NewResponse(&wire.KeepReply{}), nil
	}
	s.store.Add(request.Msg.GetBatch().GetSpans())
	return connect.NewResponse(&wire.KeepReply{}), nil
}

func (s storeService) Recent(_ context.Context, request *connect.Request[wire.RecentRequest]) (*connect.Response[wire.RecentReply], error) {
	spans, after := s.store.Recent(request.Msg.After, int(request.Msg.Limit))
	return connect.NewResponse(&wire.RecentReply{Spans: spans, After: after, Incarnation: s.store.incarnation}), nil
}

func (s storeService) Trace(_ context.Context, request *connect.Request[wire.TraceRequest]) (*connect.Response[wire.TraceReply], error) {
	return connect.NewResponse(&wire.TraceReply{Spans: s.store.Trace(request.Msg.Trace)}), nil
}

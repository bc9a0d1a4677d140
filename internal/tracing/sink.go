package tracing

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gammazero/deque"

	"curlewreach/base"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

// Bounds of the way from nodes to the store.
const (
	// copiesEach is the number of core machines that store each batch.
	copiesEach = 2
	// batchMost is the most spans in one batch.
	batchMost = 512
	// owedMost is the most batches that wait to be delivered; the oldest are
	// dropped beyond it.
	owedMost = 64
)

// Sink sends a node's spans to the core machines in batches, off the requests'
// way. Spans and batches beyond its bounds are dropped and noted.
type Sink struct {
	scope base.Scope
	spans chan *wire.Span
	cores []wireconnect.LensClient
	turn  int
	owed  deque.Deque[*wire.Batch]
}

// NewSink returns a sink that holds at most bound spans and sends to the core
// machines at the addresses seeds.
func NewSink(s base.Scope, web *http.Client, seeds []string, bound int) *Sink {
	sink := &Sink{scope: s, spans: make(chan *wire.Span, bound)}
	for _, seed := range seeds {
		sink.cores = append(sink.cores, wireconnect.NewLensClient(web, "http://"+seed))
	}
	return sink
}

// Waiting returns the queue of spans not yet in a batch.
func (k *Sink) Waiting() <-chan *wire.Span { return k.spans }

// Push queues a span, or drops it if the queue is full. It never blocks.
func (k *Sink) Push(span *wire.Span) {
	select {
	case k.spans <- span:
	default:
		k.scope.Note("span-dropped", Identifier(span), "queue full")
	}
}

// Run sends what is queued at each interval until the scope ends. A call to a
// core machine is given up after the interval.
func (k *Sink) Run(s base.Scope, every time.Duration) {
	base.Tick(s, every, func(s base.Scope) {
		k.flush()
		for k.owed.Len() > 0 && k.deliver(s, k.owed.Front(), every) {
			k.owed.PopFront()
		}
	})
}

func (k *Sink) flush() {
	batch := &wire.Batch{Id: k.scope.Rand.Name(8)}
	for len(batch.Spans) < batchMost {
		select {
		case span := <-k.spans:
			batch.Spans = append(batch.Spans, span)
			continue
		default:
		}
		break
	}
	if len(batch.Spans) == 0 {
		return
	}
	k.owed.PushBack(batch)
	if k.owed.Len() > owedMost {
		k.owed.PopFront()
		k.scope.Note("batch-lost", "", "no core kept it for long")
	}
}

func (k *Sink) deliver(s base.Scope, batch *wire.Batch, every time.Duration) bool {
	var keepers []wireconnect.LensClient
	k.turn++
	for i := range k.cores {
		if len(keepers) == copiesEach {
			break
		}
		core := k.cores[(k.turn+i)%len(k.cores)]
		if keep(s, core, &wire.KeepRequest{Batch: batch}, every) {
			keepers = append(keepers, core)
		}
	}
	if len(keepers) == 1 && len(k.cores) > 1 {
		keep(s, keepers[0], &wire.KeepRequest{Batch: batch, Copy: true}, every)
	}
	return len(keepers) > 0
}

func keep(s base.Scope, core wireconnect.LensClient, request *wire.KeepRequest, every time.Duration) bool {
	ctx, cancel := context.WithTimeout(s, every)
	defer cancel()
	_, err := core.Keep(ctx, connect.NewRequest(request))
	return err == nil
}

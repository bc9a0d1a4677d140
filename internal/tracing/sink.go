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

const (
	copiesEach = 2
	batchMost  = 512
	owedMost   = 64
)

type Sink struct {
	scope base.Scope
	spans chan *wire.Span
	cores []wireconnect.LensClient
	turn  int
	owed  deque.Deque[*wire.Batch]
}

func NewSink(s base.Scope, web *http.Client, seeds []string, bound int) *Sink {
	sink := &Sink{scope: s, spans: make(chan *wire.Span, bound)}
	for _, seed := range seeds {
		sink.cores = append(sink.cores, wireconnect.NewLensClient(web, "http://"+seed))
	}
	return sink
}

func (k *Sink) Waiting() <-chan *wire.Span { return k.spans }

func (k *Sink) Push(span *wire.Span) {
	select {
	case k.spans <- span:
	default:
		k.scope.Note("span-dropped", Identifier(span), "queue full")
	}
}

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

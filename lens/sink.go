package lens

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	copiesEach = 2
	batchMost  = 512
)

type Sink struct {
	scope base.Scope
	spans chan *wire.Span
	cores []wireconnect.LensClient
	turn  int
}

func NewSink(s base.Scope, web *http.Client, seeds []string, bound int) *Sink {
	sink := &Sink{scope: s, spans: make(chan *wire.Span, bound)}
	for _, seed := range seeds {
		sink.cores = append(sink.cores, wireconnect.NewLensClient(web, "http://"+seed))
	}
	return sink
}

func (k *Sink) Push(span *wire.Span) {
	select {
	case k.spans <- span:
	default:
		k.scope.Note("span-dropped", Identifier(span), "queue full")
	}
}

func (k *Sink) Run(s base.Scope, every time.Duration) {
	base.Tick(s, every, func(s base.Scope) { k.flush(s, every) })
}

func (k *Sink) flush(s base.Scope, every time.Duration) {
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
	kept := 0
	k.turn++
	for i := range k.cores {
		if kept == copiesEach {
			break
		}
		ctx, cancel := context.WithTimeout(s, every)
		if _, err := k.cores[(k.turn+i)%len(k.cores)].Keep(ctx, connect.NewRequest(&wire.KeepRequest{Batch: batch})); err == nil {
			kept++
		}
		cancel()
	}
	if kept == 0 {
		k.scope.Note("batch-lost", "", "no core kept it")
	}
}

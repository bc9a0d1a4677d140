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

// Targets names the control machines that may store spans: those that answer, and
// others to be tried if none of those does.
type Targets func() (live, rest []string)

// StaticTargets returns targets that are the same machines each time.
func StaticTargets(addresses []string) Targets {
	return func() ([]string, []string) { return addresses, nil }
}

// Exporter sends a node's spans to the core machines in batches, off the requests'
// way. Spans and batches beyond its bounds are dropped and noted.
type Exporter struct {
	scope   base.Scope
	spans   chan *wire.Span
	web     *http.Client
	targets Targets
	turn    int
	owed    deque.Deque[*wire.Batch]
}

// NewExporter returns a sink that holds at most bound spans and sends to the targets.
func NewExporter(s base.Scope, web *http.Client, targets Targets, bound int) *Exporter {
	return &Exporter{scope: s, spans: make(chan *wire.Span, bound), web: web, targets: targets}
}

// Queue returns the queue of spans not yet in a batch.
func (k *Exporter) Queue() <-chan *wire.Span { return k.spans }

// Enqueue queues a span, or drops it if the queue is full. It never blocks.
func (k *Exporter) Enqueue(span *wire.Span) {
	select {
	case k.spans <- span:
	default:
		k.scope.Record("span-dropped", Identifier(span), "queue full")
	}
}

// Run sends what is queued at each interval until the scope ends. A call to a
// core machine is given up after the interval.
func (k *Exporter) Run(s base.Scope, every time.Duration) {
	base.Tick(s, every, func(s base.Scope) {
		k.flush()
		for k.owed.Len() > 0 && k.deliver(s, k.owed.Front(), every) {
			k.owed.PopFront()
		}
	})
}

func (k *Exporter) flush() {
	batch := &wire.Batch{Id: k.scope.Rand.Hex(8)}
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
		k.scope.Record("batch-lost", "", "no core kept it for long")
	}
}

// deliver gives a batch to two of the live control machines, or to any that takes it. If there is only one, that one
// passes a copy on as soon as it can.
func (k *Exporter) deliver(s base.Scope, batch *wire.Batch, every time.Duration) bool {
	live, rest := k.targets()
	k.turn++
	keepers := k.offer(s, batch, live, copiesEach, every)
	if len(keepers) == 0 {
		keepers = k.offer(s, batch, rest, 1, every)
	}
	if len(keepers) == 1 && len(live)+len(rest) > 1 {
		keep(s, keepers[0], &wire.KeepRequest{Batch: batch, Copy: true}, every)
	}
	return len(keepers) > 0
}

func (k *Exporter) offer(s base.Scope, batch *wire.Batch, addresses []string, need int, every time.Duration) (keepers []wireconnect.LensClient) {
	for i := range addresses {
		if len(keepers) == need {
			break
		}
		client := wireconnect.NewLensClient(k.web, "http://"+addresses[(k.turn+i)%len(addresses)])
		if keep(s, client, &wire.KeepRequest{Batch: batch}, every) {
			keepers = append(keepers, client)
		}
	}
	return keepers
}

func keep(s base.Scope, core wireconnect.LensClient, request *wire.KeepRequest, every time.Duration) bool {
	ctx, cancel := context.WithTimeout(s, every)
	defer cancel()
	_, err := core.Keep(ctx, connect.NewRequest(request))
	return err == nil
}

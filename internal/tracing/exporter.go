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

// Limits of the export of spans from nodes to stores.
const (
	// copiesPerBatch is the number of control machines that store each batch.
	copiesPerBatch = 2
	// maxBatchSpans is the maximum number of spans in one batch.
	maxBatchSpans = 512
	// maxPendingBatches is the maximum number of batches that wait for delivery;
	// beyond it the oldest are dropped.
	maxPendingBatches = 64
)

// Targets returns the addresses of the control machines that may store spans:
// those that currently answer, and the rest, which are tried only if no live one
// accepts a batch.
type Targets func() (live, rest []string)

// StaticTargets returns Targets that always lists the given addresses as live.
func StaticTargets(addresses []string) Targets {
	return func() ([]string, []string) { return addresses, nil }
}

// Exporter sends a node's spans to control machines in batches, asynchronously to
// the requests that recorded them. Spans and batches beyond its limits are
// dropped, with an event in the journal.
type Exporter struct {
	scope    base.Scope
	spans    chan *wire.Span
	client   *http.Client
	targets  Targets
	rotation int // offset into the targets, to spread batches over them
	pending  deque.Deque[*wire.Batch]
}

// NewExporter returns an exporter that queues at most queueSize spans and sends
// them to the targets.
func NewExporter(s base.Scope, client *http.Client, targets Targets, queueSize int) *Exporter {
	return &Exporter{scope: s, spans: make(chan *wire.Span, queueSize), client: client, targets: targets}
}

// Queue returns the channel of spans that are not yet in a batch.
func (e *Exporter) Queue() <-chan *wire.Span { return e.spans }

// Enqueue adds a span to the queue, or drops it if the queue is full. It never blocks.
func (e *Exporter) Enqueue(span *wire.Span) {
	select {
	case e.spans <- span:
	default:
		e.scope.Record("span-dropped", Identifier(span), "queue full")
	}
}

// Run sends the queued spans at each interval until the scope ends. The interval
// is also the timeout of each call to a control machine.
func (e *Exporter) Run(s base.Scope, interval time.Duration) {
	base.Tick(s, interval, func(s base.Scope) {
		e.collectBatch()
		for e.pending.Len() > 0 && e.deliver(s, e.pending.Front(), interval) {
			e.pending.PopFront()
		}
	})
}

// collectBatch moves up to maxBatchSpans queued spans into a new pending batch.
func (e *Exporter) collectBatch() {
	batch := &wire.Batch{Id: e.scope.Rand.Hex(8)}
	for len(batch.Spans) < maxBatchSpans {
		select {
		case span := <-e.spans:
			batch.Spans = append(batch.Spans, span)
			continue
		default:
		}
		break
	}
	if len(batch.Spans) == 0 {
		return
	}
	e.pending.PushBack(batch)
	if e.pending.Len() > maxPendingBatches {
		e.pending.PopFront()
		e.scope.Record("batch-lost", "", "no core kept it for long")
	}
}

// deliver sends a batch to copiesPerBatch live control machines, or to one of the
// others if no live one accepts it. If only one control machine accepted it and
// others exist, that one is asked to pass a copy on to a peer when it can. It
// reports whether the batch was accepted at all.
func (e *Exporter) deliver(s base.Scope, batch *wire.Batch, timeout time.Duration) bool {
	live, others := e.targets()
	e.rotation++
	accepted := e.sendTo(s, batch, live, copiesPerBatch, timeout)
	if len(accepted) == 0 {
		accepted = e.sendTo(s, batch, others, 1, timeout)
	}
	if len(accepted) == 1 && len(live)+len(others) > 1 {
		sendBatch(s, accepted[0], &wire.KeepRequest{Batch: batch, Copy: true}, timeout)
	}
	return len(accepted) > 0
}

// sendTo sends a batch to the addresses in turn until enough copies are stored,
// and returns the clients of those that accepted it.
func (e *Exporter) sendTo(s base.Scope, batch *wire.Batch, addresses []string, copies int, timeout time.Duration) (accepted []wireconnect.LensClient) {
	for i := range addresses {
		if len(accepted) == copies {
			break
		}
		client := wireconnect.NewLensClient(e.client, "http://"+addresses[(e.rotation+i)%len(addresses)])
		if sendBatch(s, client, &wire.KeepRequest{Batch: batch}, timeout) {
			accepted = append(accepted, client)
		}
	}
	return accepted
}

// sendBatch reports whether the control machine accepted the batch in time.
func sendBatch(s base.Scope, client wireconnect.LensClient, request *wire.KeepRequest, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(s, timeout)
	defer cancel()
	_, err := client.Keep(ctx, connect.NewRequest(request))
	return err == nil
}

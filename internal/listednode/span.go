package listednode

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

func (n *Node) watched(span *wire.Span, ledger *Ledger, began time.Duration) {
	now := n.scope.Clock.Mono()
	var tries []interval
	for _, attempt := range ledger.Attempts {
		ended := attempt.EndedAt
		if attempt.State == Running {
			ended = now
		}
		tries = append(tries, interval{attempt.StartedAt, ended})
		child := proto.Clone(span).(*wire.Span)
		child.Id, child.Parent, child.Side, child.Seat = attempt.ID, span.Id, tracing.AttemptSide, attempt.Instance
		child.Tags = map[string]string{"node": attempt.Node, "state": attempt.State.String()}
		if attempt.Fault != nil {
			child.Tags["kind"] = string(attempt.Fault.Kind)
		}
		n.timed(child, attempt.StartedAt, ended, 0)
		n.sink.Enqueue(child)
	}
	span.Tags = map[string]string{"attempts": strconv.Itoa(len(ledger.Attempts))}
	if last := ledger.Last(); last != nil {
		span.Tags["state"] = last.State.String()
	}
	n.timed(span, began, now, union(tries, began, now))
	n.sink.Enqueue(span)
}

func (n *Node) timed(span *wire.Span, from, till, others time.Duration) {
	span.StartedUs = n.scope.Clock.Wall().Add(from - n.scope.Clock.Mono()).UnixMicro()
	span.DurationUs, span.SelfUs = uint64((till - from).Microseconds()), uint64((till - from - others).Microseconds())
}

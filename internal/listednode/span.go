package listednode

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

// recordSpans exports the span of a request and one for each of its attempts. The attempts don't count
// towards the request's self time.
func (n *Node) recordSpans(span *wire.Span, ledger *Ledger, startedAt time.Duration) {
	now := n.scope.Clock.Mono()
	var attempts []interval
	for _, attempt := range ledger.Attempts {
		endedAt := attempt.EndedAt
		if attempt.State == Running {
			endedAt = now
		}
		attempts = append(attempts, interval{attempt.StartedAt, endedAt})
		child := proto.Clone(span).(*wire.Span)
		child.Id, child.Parent, child.Side, child.Seat = attempt.ID, span.Id, tracing.AttemptSide, attempt.Instance
		child.Tags = map[string]string{"node": attempt.Node, "state": attempt.State.String()}
		if attempt.Fault != nil {
			child.Tags["kind"] = string(attempt.Fault.Kind)
		}
		n.setTimes(child, attempt.StartedAt, endedAt, 0)
		n.exporter.Enqueue(child)
	}
	span.Tags = map[string]string{"attempts": strconv.Itoa(len(ledger.Attempts))}
	if last := ledger.Last(); last != nil {
		span.Tags["state"] = last.State.String()
	}
	n.setTimes(span, startedAt, now, coveredTime(attempts, startedAt, now))
	n.exporter.Enqueue(span)
}

// setTimes sets the times of a span. Its self time is its duration without excluded.
func (n *Node) setTimes(span *wire.Span, from, to, excluded time.Duration) {
	span.StartedUs = n.scope.Clock.Wall().Add(from - n.scope.Clock.Mono()).UnixMicro()
	span.DurationUs, span.SelfUs = uint64((to - from).Microseconds()), uint64((to - from - excluded).Microseconds())
}

package dataplane

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/internal/dataplane/admission"
	"curlewreach/internal/dataplane/balancer"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/dataplane/retry"
	"curlewreach/internal/random"
	"curlewreach/internal/testing/simulation"
	"curlewreach/proto/wire"
)

const (
	selectionService = "books"
	selectionPeers   = 5
	selectionSlots   = 4
)

// selectionState is a node's knowledge at the moment at which it selects an upstream.
type selectionState struct {
	clock *simulation.ManualClock
	peers *balancer.Table
	seed  uint64
}

// drawSelectionState draws peers with the load that they reported.
func drawSelectionState(t *rapid.T) *selectionState {
	clock := &simulation.ManualClock{Now: time.Hour}
	s := &selectionState{clock: clock, peers: balancer.NewTable(clock, "app-1", time.Hour), seed: rapid.Uint64().Draw(t, "seed")}
	var observations []*wire.Observation
	for i := range selectionPeers {
		instance := &wire.Instance{Id: fmt.Sprint("upstream-", i), Service: selectionService, Capacity: selectionSlots}
		observations = append(observations, &wire.Observation{NodeStatus: &wire.NodeStatus{Node: peerName(i), Number: 1, Inward: peerName(i), Service: selectionService, Instance: instance}})
	}
	s.peers.ApplyObservations("core-1", true, observations)
	allTaken := rapid.Bool().Draw(t, "every slot is taken")
	for i := range selectionPeers {
		s.peers.AttemptBegun(peerName(i))
		s.peers.AttemptEnded(peerName(i), drawLoad(t, allTaken), 100*time.Millisecond, 100*time.Millisecond, true)
	}
	clock.Now += time.Duration(rapid.IntRange(0, 300).Draw(t, "age of the reports in ms")) * time.Millisecond
	return s
}

func peerName(i int) string { return fmt.Sprint("peer-", i) }

func drawLoad(t *rapid.T, taken bool) *forwarding.LoadReport {
	load := admission.Load{Limit: selectionSlots, InFlight: selectionSlots}
	if !taken {
		load.InFlight = rapid.IntRange(0, selectionSlots).Draw(t, "in flight")
	}
	if load.InFlight == selectionSlots {
		load.Waiting = rapid.IntRange(0, selectionSlots).Draw(t, "waiting")
		load.QueueWaitMs = int(drawMilliseconds(t, "wait").Milliseconds())
	}
	return &forwarding.LoadReport{Load: load}
}

// drawLedger draws the attempts that a call has made at the first peers. One of them at most was let wait.
func drawLedger(t *rapid.T) []retry.Attempt {
	attempts := make([]retry.Attempt, rapid.IntRange(0, 3).Draw(t, "attempts"))
	for i := range attempts {
		attempts[i] = retry.Attempt{Node: peerName(i), State: forwarding.NotRun, Kind: base.Overloaded, RetryAfter: drawMilliseconds(t, "Retry-After")}
	}
	if len(attempts) > 0 {
		attempts[0].MayWait = rapid.Bool().Draw(t, "the first was let wait")
	}
	return attempts
}

// drawMilliseconds draws a time of up to 4 s, short ones and long ones alike.
func drawMilliseconds(t *rapid.T, label string) time.Duration {
	return rapid.SampledFrom([]time.Duration{20, 100, 300, 600, 1000, 1600, 2500, 4000}).Draw(t, label) * time.Millisecond
}

// routeOf returns a route with a target, a rank and a limit of tries.
func routeOf(target time.Duration, rank, tries uint32) *config.Route {
	service := selectionService
	return config.NewRoute(&wire.ConfigurationRoute{
		Name: "search", Host: "books.example", Prefix: "/", Repeat: wire.Repeat_REPEATABLE, CutoffMs: 8000,
		AimMs: float64(target.Milliseconds()), Rank: rank, Tries: tries, Service: &service,
	})
}

// callOf returns a call of a client with the given time left.
func (s *selectionState) callOf(route *config.Route, attempts []retry.Attempt, timeLeft, usualLatency time.Duration) *clientCall {
	node := &Node{
		scope: base.Scope{Clock: s.clock, Rand: random.Seeded(s.seed)}, peers: s.peers, shutdown: newShutdown(s.clock, 6*time.Second),
		params: &wire.NodeParams{Beat: durationpb.New(300 * time.Millisecond)},
	}
	ledger := &retry.Ledger{Repeatable: route.Repeatable(), MaxTries: route.MaxAttempts(), Deadline: s.clock.Now + timeLeft}
	for _, attempt := range attempts {
		ledger.Attempts = append(ledger.Attempts, &attempt)
	}
	return &clientCall{
		node: node, route: route, startedAt: s.clock.Now, deadline: ledger.Deadline, usualLatency: usualLatency, workTime: usualLatency * 3 / 2, ledger: ledger,
		metadata: forwarding.Metadata{Service: selectionService, Route: route.Name(), Rank: int(route.Raw.Rank), AtMostOnce: !route.Repeatable()},
	}
}

// selectionResult is what a call does next.
type selectionResult struct {
	node       string
	mayWait    bool
	rejected   base.Kind
	retryAfter time.Duration
}

// selectFor returns what a call does next.
func selectFor(call *clientCall) selectionResult {
	candidate, metadata, fault := call.selectUpstream(false)
	if fault != nil {
		return selectionResult{rejected: fault.Kind, retryAfter: fault.RetryAfter}
	}
	return selectionResult{node: candidate.Node, mayWait: metadata.MayWait}
}

// TestSelectionFollowsTheCallersTime checks that calls with the same time left, work and knowledge of the upstreams are
// treated alike, whatever their route's target, rank and tries.
func TestSelectionFollowsTheCallersTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, attempts := drawSelectionState(t), drawLedger(t)
		timeLeft := drawMilliseconds(t, "time left")
		usualLatency := time.Duration(rapid.IntRange(0, 400).Draw(t, "usual latency in ms")) * time.Millisecond
		first := selectFor(state.callOf(routeOf(120*time.Millisecond, 0, 3), attempts, timeLeft, usualLatency))
		second := selectFor(state.callOf(routeOf(2*time.Second, 3, 1), attempts, timeLeft, usualLatency))
		if first != second {
			t.Fatalf("targets of 120 ms and 2 s: %+v and %+v", first, second)
		}
	})
}

// TestMoreTimeIsNoWorse checks that a call isn't rejected where one with less time goes on, and that a call with time for
// its work is rejected for overload only after minRejections others have refused it.
func TestMoreTimeIsNoWorse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, attempts := drawSelectionState(t), drawLedger(t)
		timeLeft := drawMilliseconds(t, "time left")
		more := drawMilliseconds(t, "more time")
		usualLatency := time.Duration(rapid.IntRange(0, 400).Draw(t, "usual latency in ms")) * time.Millisecond
		route := routeOf(300*time.Millisecond, 2, 2)
		short := state.callOf(route, attempts, timeLeft, usualLatency)
		less, longer := selectFor(short), selectFor(state.callOf(route, attempts, timeLeft+more, usualLatency))
		if less.rejected == "" && longer.rejected != "" {
			t.Fatalf("with %s left %+v, with %s %+v", timeLeft, less, timeLeft+more, longer)
		}
		if less.rejected != "" && less.retryAfter <= 0 {
			t.Fatalf("rejected without Retry-After: %+v", less)
		}
		if less.rejected == base.Overloaded && short.countOverloaded() < minRejections && timeLeft > short.workTime {
			t.Fatalf("rejected after %d refusals with time for the work: %+v", short.countOverloaded(), less)
		}
	})
}

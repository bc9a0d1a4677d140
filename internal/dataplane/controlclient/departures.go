package controlclient

import (
	"context"
	"hash/crc32"
	"slices"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

// Ratios of the in-force bound.
const (
	// recordTimeoutRatio is how long the recording of a departure may take, over all controllers. An instance gives
	// up its call after a second.
	recordTimeoutRatio = 0.4
	// recordHedgeRatio is the wait for one controller before another one is asked as well.
	recordHedgeRatio = 0.1
	// listTimeoutRatio is the timeout of one request for the recorded departures.
	listTimeoutRatio = 0.25
	// minDeparturePauseRatio is the pause after a request that failed. For requests of the recorded departures it
	// doubles with each failure, up to maxDeparturePauseRatio.
	minDeparturePauseRatio = 0.025
	maxDeparturePauseRatio = 0.25
)

// maxRecordRequests is the number of requests in flight to record one departure.
const maxRecordRequests = 3

// departureTargets hands out controllers in turn and tracks which of those that reply to polls keep no departures,
// since they are of the previous version.
type departureTargets struct {
	addresses   []string
	responsive  int // the first addresses, which have replied recently
	next        int
	unsupported map[string]bool
}

// departureTargets returns the controllers to ask about departures: first those that have replied recently, from one
// on that depends on the node, so that nodes spread over them, then the others.
func (c *Client) departureTargets() *departureTargets {
	responsive, others := c.directory.responsive()
	targets := &departureTargets{responsive: len(responsive), unsupported: map[string]bool{}}
	if len(responsive) > 0 {
		start := int(crc32.ChecksumIEEE([]byte(c.settings.NodeAddress)) % uint32(len(responsive)))
		targets.addresses = append(targets.addresses, responsive[start:]...)
		targets.addresses = append(targets.addresses, responsive[:start]...)
	}
	targets.addresses = append(targets.addresses, others...)
	return targets
}

// take returns the next controller.
func (t *departureTargets) take() string {
	address := t.addresses[t.next%len(t.addresses)]
	t.next++
	return address
}

// allUnsupported records the error of a controller and reports whether none of those that reply to polls keeps
// departures. Others don't count: an address of a former controller may belong to another server.
func (t *departureTargets) allUnsupported(address string, err error) bool {
	if connect.CodeOf(err) == connect.CodeUnimplemented && slices.Contains(t.addresses[:t.responsive], address) {
		t.unsupported[address] = true
	}
	return t.responsive > 0 && len(t.unsupported) == t.responsive
}

// recordResult is the result of one request to record a departure.
type recordResult struct {
	address string
	err     error
}

// RecordDeparture has the control plane record that an instance is leaving or gone. It returns nil once a majority of
// disks holds the record, or if all controllers are of a version that keeps none.
func (c *Client) RecordDeparture(s base.Scope, instance string) *base.Fault {
	s, cancel := s.WithTimeout(base.ScaleDuration(c.settings.InForce, recordTimeoutRatio))
	defer cancel()
	targets := c.departureTargets()
	if len(targets.addresses) == 0 {
		return base.NewFault(base.Unreachable, "", "no controller is known")
	}
	results, pending := make(chan recordResult, maxRecordRequests), 0
	nextRequest := time.NewTimer(0)
	defer nextRequest.Stop()
	for {
		select {
		case <-nextRequest.C:
			if pending < maxRecordRequests {
				pending++
				address := targets.take()
				go func() { results <- recordResult{address, c.recordAt(s, address, instance)} }()
			}
			nextRequest.Reset(base.ScaleDuration(c.settings.InForce, recordHedgeRatio))
		case result := <-results:
			if result.err == nil || targets.allUnsupported(result.address, result.err) {
				return nil
			}
			pending--
			c.scope.Record("departure-unrecorded", result.address, result.err.Error())
			nextRequest.Reset(base.ScaleDuration(c.settings.InForce, minDeparturePauseRatio))
		case <-s.Done():
			return base.NewFault(base.Unreachable, "", "the departure of %s is not recorded yet", instance)
		}
	}
}

// recordAt sends a departure to one controller.
func (c *Client) recordAt(s base.Scope, address, instance string) error {
	departure := &wire.Departure{Instance: instance, NodeAddress: c.settings.NodeAddress}
	_, err := c.controller(address).RecordDeparture(s, connect.NewRequest(&wire.RecordDepartureRequest{Departure: departure}))
	return err
}

// learnDepartures asks for the departures that earlier processes of this node had recorded, until a majority has
// confirmed them or the scope ends.
func (c *Client) learnDepartures(s base.Scope) {
	pause, longest := base.ScaleDuration(c.settings.InForce, minDeparturePauseRatio), base.ScaleDuration(c.settings.InForce, maxDeparturePauseRatio)
	targets := &departureTargets{}
	for s.Err() == nil {
		if targets.next >= len(targets.addresses) {
			targets = c.departureTargets()
		}
		if len(targets.addresses) > 0 && c.learnDeparturesFrom(s, targets) {
			return
		}
		base.Await(s, pause)
		pause = min(2*pause, longest)
	}
}

// learnDeparturesFrom asks the next controller. It reports whether the departures are known now.
func (c *Client) learnDeparturesFrom(s base.Scope, targets *departureTargets) (known bool) {
	ctx, cancel := context.WithTimeout(s, base.ScaleDuration(c.settings.InForce, listTimeoutRatio))
	defer cancel()
	address := targets.take()
	reply, err := c.controller(address).ListDepartures(ctx, connect.NewRequest(&wire.ListDeparturesRequest{NodeAddress: c.settings.NodeAddress}))
	switch {
	case err == nil:
		c.hooks.ApplyDepartures(reply.Msg.Instances, reply.Msg.Confirmed)
		if reply.Msg.Confirmed {
			c.scope.Log.Info("departures known", "instances", len(reply.Msg.Instances), "after", c.scope.Clock.Mono()-c.startedAt)
		}
		return reply.Msg.Confirmed
	case targets.allUnsupported(address, err):
		c.scope.Log.Warn("the controllers keep no departures")
		c.hooks.ApplyDepartures(nil, true)
		return true
	}
	return false
}

// controller returns a client of a controller, with the connections of refreshes.
func (c *Client) controller(address string) wireconnect.MoorClient {
	return wireconnect.NewMoorClient(c.refreshHTTP, "http://"+address)
}

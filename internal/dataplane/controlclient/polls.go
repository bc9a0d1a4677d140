package controlclient

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	// MaxPollWait is the longest time for which a controller may hold a poll that it has no news for.
	MaxPollWait = 600 * time.Millisecond
	// pollTimeoutMargin is how long a reply may take beyond the wait; the sum of both is doubled if the poll
	// fetches a configuration. It is not a ratio of the in-force bound, since a poll that is cancelled early
	// on a slow link starts over and never completes. runRefreshes compensates for a poll that hangs.
	pollTimeoutMargin = 500 * time.Millisecond
)

// Ratios of the in-force bound.
const (
	// pollWaitRatio is how long a controller may hold a poll that it has no news for.
	pollWaitRatio = 0.3
	// pollRetryDelayRatio is the delay after a failed poll.
	pollRetryDelayRatio = 0.075
	// fetchHeadStartRatio is how long other polls and refreshes leave a fetch to the one that has started it.
	fetchHeadStartRatio = 0.1
)

// controllerPoll is the polling of one controller. The client's mu guards its fields, except for client.
type controllerPoll struct {
	address string
	client  wireconnect.MoorClient
	// controllerID is the controller's name for itself and registryVersion the version of its observations,
	// both from its last reply; requests state them.
	controllerID    string
	registryVersion uint64
	// fetching is set if the current poll, or the next one, is to fetch a configuration.
	fetching bool
	// startedAt is when the current poll started.
	startedAt time.Duration
	// cancelRequest cancels the current poll, stop ends the polling of this controller.
	cancelRequest context.CancelFunc
	stop          context.CancelFunc
}

// poll sends one poll to a controller. newer reports that the controller has a newer configuration that is
// still to be fetched.
func (c *Client) poll(s base.Scope, p *controllerPoll, fetch bool) (newer bool) {
	confirm := !c.Confirmed()
	inForce := c.settings.InForce
	wait := min(MaxPollWait, base.ScaleDuration(inForce, pollWaitRatio))
	if confirm {
		wait = min(wait, base.ScaleDuration(inForce, confirmationTTLRatio/2))
	}
	timeout := wait + pollTimeoutMargin
	if fetch {
		timeout *= 2
	}
	ctx, cancel := context.WithTimeout(s, timeout)
	defer cancel()
	c.mu.Lock()
	p.cancelRequest, p.fetching, p.startedAt = cancel, fetch, s.Clock.Mono()
	c.mu.Unlock()
	request, current := c.newPollRequest(fetch)
	request.Confirm, request.Controller, request.Registry, request.WaitMs = confirm, p.controllerID, p.registryVersion, uint64(wait.Milliseconds())
	sentAt := s.Clock.Mono()
	response, err := p.client.Hail(ctx, connect.NewRequest(request))
	if err != nil {
		if s.Err() == nil && c.hooks.Status().Number == request.NodeStatus.Number {
			base.Await(s, base.ScaleDuration(inForce, pollRetryDelayRatio))
		}
		return false
	}
	reply := response.Msg
	c.hooks.ApplyObservations(p.address, reply.Whole || reply.Controller != p.controllerID, reply.Observations)
	c.mu.Lock()
	p.controllerID, p.registryVersion = reply.Controller, reply.Registry // other polls read controllerID in fetchInProgress
	c.mu.Unlock()
	if reply.Odds != nil {
		if fault := c.hooks.Sampling.Update(reply.Odds); fault != nil {
			c.scope.Log.Warn("odds rejected", "reason", fault.Reason)
		}
	}
	c.applyPollReply(request, current, reply, sentAt)
	c.directory.recordReply(p.address, reply.MajorityMs, reply.Controllers)
	return reply.Configuration == nil && reply.Serial > c.newestSerial()
}

// newPollRequest returns a request that states the newest configuration held here. If fetch is set, it also
// returns that configuration, which a change in the reply applies to.
func (c *Client) newPollRequest(fetch bool) (request *wire.PollRequest, current *wire.Configuration) {
	request = &wire.PollRequest{NodeStatus: c.hooks.Status(), Wants: fetch, Odds: c.hooks.Sampling.Serial(), Unpacks: true}
	if !fetch {
		request.Serial = c.newestSerial()
		return request, nil
	}
	current = c.newestConfiguration()
	request.Serial = current.GetSerial()
	if current != nil {
		request.Fingerprint = c.fingerprintOf(current)
	}
	return request, current
}

// unpack replaces a compressed configuration, or a compressed change to the current one, by the resulting
// configuration in the reply.
func unpack(reply *wire.PollReply, current *wire.Configuration) error {
	switch {
	case reply.PackedChange != nil:
		change := &wire.ConfigurationChange{}
		if err := config.Unpack(reply.PackedChange, change); err != nil {
			return err
		}
		reply.Configuration = config.Apply(current, change)
	case reply.PackedConfiguration != nil:
		configuration := &wire.Configuration{}
		if err := config.Unpack(reply.PackedConfiguration, configuration); err != nil {
			return err
		}
		reply.Configuration = configuration
	}
	reply.PackedChange, reply.PackedConfiguration = nil, nil
	return nil
}

// applyPollReply applies what a reply says about the configuration. A confirmation is ignored if it is older
// than confirmationTTLRatio allows.
func (c *Client) applyPollReply(request *wire.PollRequest, current *wire.Configuration, reply *wire.PollReply, sentAt time.Duration) {
	if err := unpack(reply, current); err != nil {
		c.scope.Log.Warn("configuration can't be read", "serial", reply.Serial, "error", err)
		return
	}
	defer c.recordFreshness(reply, sentAt)
	elapsed := c.scope.Clock.Mono() - sentAt
	isConfirmed := reply.Confirmed && request.Confirm && elapsed <= base.ScaleDuration(c.settings.InForce, confirmationTTLRatio)
	if isConfirmed && reply.Serial < request.Serial {
		c.revertToConfirmed(reply.Configuration, request.Serial)
		return
	}
	c.Adopt(reply.Configuration, isConfirmed)
	if isConfirmed && reply.Serial == request.Serial {
		c.confirmSerial(reply.Serial)
	}
}

// runPolls polls one controller repeatedly until the scope ends.
func (c *Client) runPolls(s base.Scope, p *controllerPoll) {
	fetch := false
	for s.Err() == nil {
		confirmed := c.Confirmed()
		fetch = c.poll(s, p, fetch || !confirmed) && c.shouldFetch(s, p)
		if !confirmed {
			base.Await(s, c.fetchHeadStart()/4)
		}
	}
}

// shouldFetch reports whether p is to fetch the newer configuration. If another fetch has just started, it
// waits for the head start and reports whether nothing newer has arrived by then.
func (c *Client) shouldFetch(s base.Scope, p *controllerPoll) bool {
	c.mu.Lock()
	serial := max(c.Serial(), c.candidate.GetSerial())
	busy := c.fetchInProgress(p, s.Clock.Mono())
	if !busy {
		p.fetching = true
	}
	c.mu.Unlock()
	if !busy {
		return true
	}
	base.Await(s, c.fetchHeadStart())
	return c.newestSerial() == serial
}

// fetchInProgress reports whether a refresh, or a poll other than p of a controller that has replied before,
// has started to fetch a configuration within the head start. c.mu must be held.
func (c *Client) fetchInProgress(p *controllerPoll, now time.Duration) bool {
	if now-c.freshness.fetchStartedAt < c.fetchHeadStart() {
		return true
	}
	for _, other := range c.polls {
		if other != p && other.fetching && other.controllerID != "" && now-other.startedAt < c.fetchHeadStart() {
			return true
		}
	}
	return false
}

// fetchHeadStart returns how long a fetch is left to the poll or refresh that has started it.
func (c *Client) fetchHeadStart() time.Duration {
	return base.ScaleDuration(c.settings.InForce, fetchHeadStartRatio)
}

// maintainPolls keeps polling the controllers that the directory selects, until the scope ends.
func (c *Client) maintainPolls(s base.Scope) {
	for s.Err() == nil {
		c.updatePolls()
		intervalRatio := reviewIntervalRatio
		if !c.Confirmed() {
			intervalRatio = unconfirmedReviewIntervalRatio
		}
		base.Await(s, c.directory.ratioOfContact(intervalRatio))
	}
}

// updatePolls starts and stops polls as the directory selects.
func (c *Client) updatePolls() {
	start, stop := c.directory.selectPolls(!c.Confirmed())
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range stop {
		if p := c.polls[address]; p != nil {
			p.stop()
			delete(c.polls, address)
			c.hooks.RemoveController(address)
			c.scope.Log.Info("control machine given up", "address", address)
		}
	}
	for _, address := range start {
		s, stop := c.scope.WithCancel()
		p := &controllerPoll{address: address, client: wireconnect.NewMoorClient(c.pollHTTP, "http://"+address), stop: stop}
		c.polls[address] = p
		c.scope.Record("asking", address, "")
		c.tasks.Go(func() { c.runPolls(s, p) })
	}
}

// StatusChanged cancels the polls under way, so that new ones report the node's changed status at once. Polls
// that fetch a configuration go on.
func (c *Client) StatusChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.polls {
		if p.cancelRequest != nil && !p.fetching {
			p.cancelRequest()
		}
	}
}

package controlclient

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// These constants govern refreshes: requests beyond the polls, sent when the polls have not brought a newer
// configuration in time. Those named ratios are ratios of the in-force bound. The delays that add up until a
// configuration is in force, with a status round of a controller, stay below that bound
// (docs/control-plane-cutoff.md, the in-force bound).
const (
	// refreshAgeRatio is the time since the configuration in force was last known to be the newest after
	// which refreshes are sent.
	refreshAgeRatio = 0.5
	// hintGraceRatio is how long the polls have to bring a configuration that a peer already serves before a
	// refresh is sent.
	hintGraceRatio = 0.075
	// hintTTLRatio is how long a hint of a peer counts if no controller has that configuration.
	hintTTLRatio = 1.0
	// refreshIntervalRatio is the interval between refreshes, which go to different controllers.
	refreshIntervalRatio = 0.075
	// refreshTimeoutRatio is the timeout of a refresh, fetchTimeoutRatio that of a refresh that fetches a
	// configuration.
	refreshTimeoutRatio = 0.5
	fetchTimeoutRatio   = 1.0
	// refreshDialTimeoutRatio is how long a refresh waits for a connection. It is less than twice
	// refreshIntervalRatio, so that at most two such connections are being established at a time.
	refreshDialTimeoutRatio = 0.145
	// maxRefreshIntervalRatio limits the backoff of refreshes that bring no progress.
	maxRefreshIntervalRatio = 0.5
	// refreshesBeforeBackoff is the number of refreshes sent at the shortest interval before backoff starts.
	refreshesBeforeBackoff = 4
	// maxRefreshes is the maximum number of refreshes in flight.
	maxRefreshes = 3
)

// configFreshness tracks the latest time at which the configuration in force was known to be the newest
// acknowledged one, and whether a peer serves a newer one. All times are readings of the node's monotonic
// clock. The client's mu guards it.
type configFreshness struct {
	// inForce is the in-force bound.
	inForce time.Duration
	// currentAsOf is a time before which no configuration newer than the one in force was acknowledged.
	currentAsOf time.Duration
	// hintedSerial is the highest serial that a peer has been seen to serve, hintedAt when that was first
	// seen.
	hintedSerial uint64
	hintedAt     time.Duration
	// refreshedAt is when the last refresh was sent.
	refreshedAt time.Duration
	// fetchStartedAt is when a refresh last started to fetch a configuration.
	fetchStartedAt time.Duration
	// unproductive counts the refreshes since the last proof or the last new hint.
	unproductive int
	// inFlight counts the refreshes in flight.
	inFlight int
}

// newConfigFreshness assumes that the configuration in force is the newest at now, and allows a refresh at
// once.
func newConfigFreshness(inForce, now time.Duration) configFreshness {
	return configFreshness{inForce: inForce, currentAsOf: now, refreshedAt: now - inForce, fetchStartedAt: now - inForce}
}

// ratioOfInForce returns the given ratio of the in-force bound.
func (f *configFreshness) ratioOfInForce(ratio float64) time.Duration {
	return base.ScaleDuration(f.inForce, ratio)
}

// recordCurrent records proof that the configuration in force was the newest at the given time.
func (f *configFreshness) recordCurrent(asOf time.Duration) {
	if asOf > f.currentAsOf {
		f.currentAsOf, f.unproductive = asOf, 0
	}
}

// recordHint records that a peer serves the configuration with the given serial.
func (f *configFreshness) recordHint(serial uint64, now time.Duration) {
	if serial > f.hintedSerial {
		f.hintedSerial, f.hintedAt, f.unproductive = serial, now, 0
	}
}

// hasHintAbove reports whether there is an unexpired hint of a serial above the given one.
func (f *configFreshness) hasHintAbove(serial uint64, now time.Duration) bool {
	return f.hintedSerial > serial && now-f.hintedAt < f.ratioOfInForce(hintTTLRatio)
}

// nextRefreshAt returns when to send the next refresh, given the serial of the configuration in force.
func (f *configFreshness) nextRefreshAt(serial uint64, now time.Duration) time.Duration {
	due := f.currentAsOf + f.ratioOfInForce(refreshAgeRatio)
	if f.hasHintAbove(serial, now) {
		due = min(due, f.hintedAt+f.ratioOfInForce(hintGraceRatio))
	}
	return max(due, f.refreshedAt+f.refreshInterval())
}

// refreshInterval returns the interval to the next refresh. It doubles with each refresh without progress
// after the first refreshesBeforeBackoff ones.
func (f *configFreshness) refreshInterval() time.Duration {
	interval, longest := f.ratioOfInForce(refreshIntervalRatio), f.ratioOfInForce(maxRefreshIntervalRatio)
	for range f.unproductive - refreshesBeforeBackoff {
		interval = min(2*interval, longest)
	}
	return interval
}

// beginRefresh records that a refresh is due. ok is false if it must not be sent because too many are in
// flight; it counts for the backoff nevertheless.
func (f *configFreshness) beginRefresh(now time.Duration) (ok bool) {
	f.refreshedAt = now
	f.unproductive++
	if f.inFlight >= maxRefreshes {
		return false
	}
	f.inFlight++
	return true
}

// ObservePeerSerial records the serial by which a peer handles requests. A peer that is ahead indicates that
// this node's polls are late, and leads to a refresh. It never cancels a poll, since a poll that is cancelled
// repeatedly never brings a configuration.
func (c *Client) ObservePeerSerial(serial uint64) {
	if serial <= c.Serial() {
		return
	}
	c.mu.Lock()
	previous := c.freshness.hintedSerial
	c.freshness.recordHint(serial, c.scope.Clock.Mono())
	c.mu.Unlock()
	if serial > previous {
		c.hintReceived.Notify()
	}
}

// recordFreshness derives from a controller's reply since when the configuration in force is known to be the
// newest. FreshMs is the age, when the reply was made, of a majority round that found no configuration newer
// than the reply's serial; HeldMs is how long the controller had held the request by then. The request
// arrived no earlier than it was sent, so sentAt + held - age is never later than the start of that round, no
// matter where or how long a process was suspended.
func (c *Client) recordFreshness(reply *wire.PollReply, sentAt time.Duration) {
	if reply.FreshMs == nil {
		return
	}
	age, held := boundedMillis(*reply.FreshMs), boundedMillis(reply.HeldMs)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Confirmed() && c.Serial() >= reply.Serial {
		c.freshness.recordCurrent(sentAt + held - age)
	}
}

// boundedMillis converts a number of milliseconds reported by another process to a duration, limited so that
// sums do not overflow.
func boundedMillis(reported uint64) time.Duration {
	return time.Duration(min(reported, 1<<40)) * time.Millisecond
}

// ConfigurationAge returns how long ago the configuration in force was last known to be the newest.
func (c *Client) ConfigurationAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scope.Clock.Mono() - c.freshness.currentAsOf
}

// IsStale reports whether a configuration age exceeds the in-force bound.
func (c *Client) IsStale(age time.Duration) bool { return age > c.settings.InForce }

// logStale logs when the age of the configuration starts to exceed the in-force bound and when it no longer
// does. It returns whether the configuration is stale now.
func (c *Client) logStale(wasStale bool) (stale bool) {
	age := c.ConfigurationAge()
	stale = c.IsStale(age)
	switch {
	case stale && !wasStale:
		c.scope.Log.Warn("configuration may be out of date", "serial", c.Serial(), "age", age)
		c.scope.Record("config-stale", "", "no control machine with a majority answers")
	case wasStale && !stale:
		c.scope.Log.Info("configuration known to be current again", "serial", c.Serial())
		c.scope.Record("config-current", "", "")
	}
	return stale
}

// runRefreshes sends refreshes, until the scope ends, whenever the polls have not proven the configuration to
// be the newest for too long or a peer serves a newer one.
func (c *Client) runRefreshes(s base.Scope) {
	stale := false
	for s.Err() == nil {
		stale = c.logStale(stale)
		hintReceived, now := c.hintReceived.Next(), s.Clock.Mono()
		c.mu.Lock()
		due := c.freshness.nextRefreshAt(c.Serial(), now)
		begun := now >= due && c.freshness.beginRefresh(now)
		c.mu.Unlock()
		if begun {
			c.tasks.Go(func() { c.refresh(s) })
		}
		if now < due {
			base.Await(s, due-now, hintReceived)
		}
	}
}

// refresh asks one controller for the newest configuration, independently of the polls and their connections.
func (c *Client) refresh(s base.Scope) {
	defer func() {
		c.mu.Lock()
		c.freshness.inFlight--
		c.mu.Unlock()
	}()
	address := c.directory.selectForRefresh()
	if address == "" {
		return
	}
	newer := c.refreshFrom(s, address, false, refreshTimeoutRatio)
	if newer && c.beginFetch(s.Clock.Mono()) {
		c.refreshFrom(s, address, true, fetchTimeoutRatio)
	}
}

// beginFetch records that a refresh starts to fetch a configuration. It returns false if another fetch has
// started within the head start.
func (c *Client) beginFetch(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fetchInProgress(nil, now) {
		return false
	}
	c.freshness.fetchStartedAt = now
	return true
}

// refreshFrom sends a request for only the configuration to one controller. If fetch is set, the reply may
// contain the configuration. newer reports that the controller has a newer one that is still to be fetched.
// timeoutRatio is a ratio of the in-force bound.
func (c *Client) refreshFrom(s base.Scope, address string, fetch bool, timeoutRatio float64) (newer bool) {
	ctx, cancel := context.WithTimeout(s, base.ScaleDuration(c.settings.InForce, timeoutRatio))
	defer cancel()
	request, current := c.newPollRequest(fetch)
	request.ConfigOnly, request.Confirm = true, !c.Confirmed()
	sentAt := s.Clock.Mono()
	response, err := c.controller(address).Hail(ctx, connect.NewRequest(request))
	if err != nil {
		return false
	}
	reply := response.Msg
	c.applyPollReply(request, current, reply, sentAt)
	c.directory.recordReply(address, reply.MajorityMs, reply.Controllers)
	return reply.Configuration == nil && reply.Serial > c.newestSerial()
}

package controlclient

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

// How a node makes up for polls that fail to bring a newer configuration. All are ratios of the in-force bound; their sum,
// with a status round of a control machine, stays below it (docs/control-plane-cutoff.md, the in-force bound).
const (
	// staleRatio is the age of what the node knows to be the newest from which it asks beyond its polls.
	staleRatio = 0.5
	// hintGraceRatio is how long the polls have to bring a configuration that a peer already serves.
	hintGraceRatio = 0.075
	// hintLifeRatio is how long a hint counts that no control machine bears out.
	hintLifeRatio = 1.0
	// refreshPauseRatio is the pause between two refreshes; each asks another control machine.
	refreshPauseRatio = 0.075
	// refreshWaitRatio is how long one refresh may take, and fetchWaitRatio how long it may take to fetch a configuration.
	refreshWaitRatio = 0.5
	fetchWaitRatio   = 1.0
	// refreshDialRatio is how long a refresh waits for a connection. It is below twice the pause, so that no more than two
	// such connections are coming up at a time.
	refreshDialRatio = 0.145
	// longestRefreshPauseRatio bounds the backoff of refreshes that bring nothing.
	longestRefreshPauseRatio = 0.5
	// eagerRefreshes follow each other without backoff.
	eagerRefreshes = 4
	// refreshesMost is how many refreshes may be in flight.
	refreshesMost = 3
)

// configFreshness knows as of which moment the configuration in force is the newest acknowledged one, and whether a peer
// has hinted at a newer one. All times are by the node's steady clock; the client's mu guards it.
type configFreshness struct {
	inForce   time.Duration // the in-force bound
	asOf      time.Duration // no configuration acknowledged before is newer than the one in force
	hinted    uint64        // the highest serial that a peer was seen to serve
	hintedAt  time.Duration
	refreshed time.Duration // when the last refresh was sent
	fetched   time.Duration // when the last refresh began to fetch a configuration
	fruitless int           // refreshes since the last progress
	inFlight  int
}

func newConfigFreshness(inForce, now time.Duration) configFreshness {
	return configFreshness{inForce: inForce, asOf: now, refreshed: now - inForce, fetched: now - inForce}
}

func (f *configFreshness) ratioOf(ratio float64) time.Duration { return base.Ratio(f.inForce, ratio) }

// proven takes a proof that the configuration in force was the newest as of some moment.
func (f *configFreshness) proven(asOf time.Duration) {
	if asOf > f.asOf {
		f.asOf, f.fruitless = asOf, 0
	}
}

// hint notes that a peer serves a configuration newer than the one in force.
func (f *configFreshness) hint(serial uint64, now time.Duration) {
	if serial > f.hinted {
		f.hinted, f.hintedAt, f.fruitless = serial, now, 0
	}
}

// hintedAbove says whether a hint at a serial above the one in force still counts.
func (f *configFreshness) hintedAbove(serial uint64, now time.Duration) bool {
	return f.hinted > serial && now-f.hintedAt < f.ratioOf(hintLifeRatio)
}

// nextRefresh says when to ask beyond the polls, given the serial in force.
func (f *configFreshness) nextRefresh(serial uint64, now time.Duration) time.Duration {
	due := f.asOf + f.ratioOf(staleRatio)
	if f.hintedAbove(serial, now) {
		due = min(due, f.hintedAt+f.ratioOf(hintGraceRatio))
	}
	return max(due, f.refreshed+f.pause())
}

// pause doubles after each refresh that brought nothing, once the eager ones are over.
func (f *configFreshness) pause() time.Duration {
	pause, longest := f.ratioOf(refreshPauseRatio), f.ratioOf(longestRefreshPauseRatio)
	for range f.fruitless - eagerRefreshes {
		pause = min(2*pause, longest)
	}
	return pause
}

// begin notes that a refresh is sent; ok is false if too many are in flight.
func (f *configFreshness) begin(now time.Duration) (ok bool) {
	f.refreshed = now
	f.fruitless++
	if f.inFlight >= refreshesMost {
		return false
	}
	f.inFlight++
	return true
}

// ObservePeerSerial takes the serial by which a peer handles requests. A peer that is ahead is a hint that the polls of this
// node are late; it never ends one, since a poll that is ended again and again brings nothing at all.
func (c *Client) ObservePeerSerial(serial uint64) {
	if serial <= c.Serial() {
		return
	}
	c.mu.Lock()
	before := c.freshness.hinted
	c.freshness.hint(serial, c.scope.Clock.Mono())
	c.mu.Unlock()
	if serial > before {
		c.hinted.Notify()
	}
}

// proveFresh takes from a control machine's answer as of when no configuration newer than its serial had been
// acknowledged. The question was held there before the answer was made, and it came no sooner than it was sent; so the
// moment that the answer speaks of lies no earlier than the result, whatever stood still on either side and for however
// long.
func (c *Client) proveFresh(m *wire.PollReply, sent time.Duration) {
	if m.FreshMs == nil {
		return
	}
	age, held := milliseconds(*m.FreshMs), milliseconds(m.HeldMs)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Confirmed() && c.Serial() >= m.Serial {
		c.freshness.proven(sent + held - age)
	}
}

// milliseconds reads a span that another process told, bounded so that sums of it don't overflow.
func milliseconds(told uint64) time.Duration {
	return time.Duration(min(told, 1<<40)) * time.Millisecond
}

// ConfigurationAge is how long ago the configuration in force was last known to be the newest.
func (c *Client) ConfigurationAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scope.Clock.Mono() - c.freshness.asOf
}

// IsStale tells whether so long without word of the newest configuration exceeds the in-force bound.
func (c *Client) IsStale(age time.Duration) bool { return age > c.settings.InForce }

// logStale logs when the node begins to be in doubt about its configuration for longer than the in-force bound, and when
// that is over.
func (c *Client) logStale(was bool) (is bool) {
	age := c.ConfigurationAge()
	is = c.IsStale(age)
	switch {
	case is && !was:
		c.scope.Log.Warn("configuration may be out of date", "serial", c.Serial(), "age", age)
		c.scope.Record("config-stale", "", "no control machine with a majority answers")
	case was && !is:
		c.scope.Log.Info("configuration known to be current again", "serial", c.Serial())
		c.scope.Record("config-current", "", "")
	}
	return is
}

// keepFresh asks a further control machine whenever the polls leave the node in doubt about the newest configuration.
func (c *Client) keepFresh(s base.Scope) {
	stale := false
	for s.Err() == nil {
		stale = c.logStale(stale)
		hinted, now := c.hinted.Next(), s.Clock.Mono()
		c.mu.Lock()
		due := c.freshness.nextRefresh(c.Serial(), now)
		begins := now >= due && c.freshness.begin(now)
		c.mu.Unlock()
		if begins {
			c.tasks.Go(func() { c.refresh(s) })
		}
		if now < due {
			base.Await(s, due-now, hinted)
		}
	}
}

// refresh asks one control machine for the newest configuration, apart from the polls and their connections.
func (c *Client) refresh(s base.Scope) {
	defer func() {
		c.mu.Lock()
		c.freshness.inFlight--
		c.mu.Unlock()
	}()
	address := c.directory.chooseRefresh()
	if address == "" {
		return
	}
	newer := c.refreshFrom(s, address, false, refreshWaitRatio)
	if newer && c.beginFetch(s.Clock.Mono()) {
		c.refreshFrom(s, address, true, fetchWaitRatio)
	}
}

// beginFetch notes that a refresh fetches a configuration, unless somebody else began to a moment ago.
func (c *Client) beginFetch(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fetchUnderWay(nil, now) {
		return false
	}
	c.freshness.fetched = now
	return true
}

// refreshFrom asks one control machine for nothing but the configuration and says whether it has a newer one, still to be
// fetched. waitRatio is of the in-force bound.
func (c *Client) refreshFrom(s base.Scope, address string, wants bool, waitRatio float64) (newer bool) {
	ctx, cancel := context.WithTimeout(s, base.Ratio(c.settings.InForce, waitRatio))
	defer cancel()
	ask, held := c.pollRequest(wants)
	ask.ConfigOnly, ask.Confirm = true, !c.Confirmed()
	sent := s.Clock.Mono()
	reply, err := wireconnect.NewMoorClient(c.refreshHTTP, "http://"+address).Hail(ctx, connect.NewRequest(ask))
	if err != nil {
		return false
	}
	m := reply.Msg
	c.applyPollReply(ask, held, m, sent)
	c.directory.recordAnswer(address, m.MajorityMs, m.Controllers)
	return m.Configuration == nil && m.Serial > c.known()
}

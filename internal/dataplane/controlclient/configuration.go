package controlclient

import (
	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/proto/wire"
)

// confirmationRatio is the part of the in-force bound for which a confirmation holds, from the sending of the question on by
// this node's steady clock: whatever stood still meanwhile, no configuration acknowledged before the question is missed, and
// those acknowledged since are younger than that.
const confirmationRatio = 0.5

// Confirmed tells whether a majority has confirmed the configuration in force since this node started.
func (c *Client) Confirmed() bool { return c.isConfirmed.Load() }

// known is the newest serial this node holds, in force or waiting to be confirmed.
func (c *Client) known() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.Serial(), c.candidate.GetSerial())
}

// held is the newest configuration this node holds, in force or waiting to be confirmed; nil if there is none.
func (c *Client) held() *wire.Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.candidate.GetSerial() > c.Serial() {
		return c.candidate
	}
	if table := c.table.Load(); table != nil {
		return table.Configuration()
	}
	return nil
}

// fingerprinted is a configuration with its fingerprint, which takes a while to work out.
type fingerprinted struct {
	configuration *wire.Configuration
	fingerprint   uint64
}

// fingerprintOf returns the fingerprint of a configuration held here, and remembers that of the newest one.
func (c *Client) fingerprintOf(held *wire.Configuration) uint64 {
	c.mu.Lock()
	known := c.fingerprinted
	c.mu.Unlock()
	if known.configuration == held {
		return known.fingerprint
	}
	fingerprint := config.Fingerprint(held)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fingerprinted = fingerprinted{held, fingerprint}
	return fingerprint
}

// Adopt takes a configuration. A node without a confirmed one keeps an unconfirmed configuration aside, and serves it only when its
// patience is over. Serials only rise.
func (c *Client) Adopt(next *wire.Configuration, isConfirmed bool) {
	if next == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case isConfirmed && next.Serial == c.Serial():
		c.markConfirmed()
	case next.Serial <= c.Serial():
	case isConfirmed || c.Confirmed() || c.table.Load() != nil || c.confirmationWaitOver():
		c.activate(next, isConfirmed || c.Confirmed())
	case next.Serial > c.candidate.GetSerial():
		c.candidate = next
	}
}

// confirmSerial takes the word that a majority holds nothing newer than a serial this node holds.
func (c *Client) confirmSerial(serial uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case serial == 0:
	case c.Serial() == serial:
		c.markConfirmed()
	case c.candidate.GetSerial() == serial:
		c.activate(c.candidate, true)
	}
}

// correct replaces an unconfirmed configuration by an older confirmed one. Control machines hand out only what a majority had
// accepted, so it happens only after more disks were lost than is tolerated. The question was asked with the configuration in
// hand: a majority read after it would have found that configuration, had it ever been in force.
func (c *Client) correct(next *wire.Configuration, asked uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next == nil || c.Confirmed() || asked != max(c.Serial(), c.candidate.GetSerial()) {
		return
	}
	c.scope.Log.Warn("going back to the confirmed configuration", "serial", next.Serial, "from", asked)
	c.scope.Record("configuration-corrected", "", "an unconfirmed configuration was never in force")
	c.activate(next, true)
}

// serveUnconfirmed puts the configuration kept aside in force once the node's patience is over.
func (c *Client) serveUnconfirmed(s base.Scope) {
	base.Await(s, c.confirmationWait)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Err() == nil && c.table.Load() == nil && c.candidate != nil {
		c.activate(c.candidate, false)
	}
}

// confirmationWaitOver tells whether this node has waited long enough for a confirmation to serve without one.
func (c *Client) confirmationWaitOver() bool {
	return c.scope.Clock.Mono()-c.startedAt >= c.confirmationWait
}

// activate puts a configuration in force; c.mu is held.
func (c *Client) activate(next *wire.Configuration, isConfirmed bool) {
	c.table.Store(config.NewRoutingTable(next))
	c.candidate = nil
	c.scope.Log.Info("configuration in force", "serial", next.Serial, "routes", len(next.Routes), "confirmed", isConfirmed)
	c.scope.Record("in-force", "", map[bool]string{false: "unconfirmed"}[isConfirmed])
	if isConfirmed {
		c.markConfirmed()
	}
}

// markConfirmed notes that a majority has confirmed the configuration in force; c.mu is held.
func (c *Client) markConfirmed() {
	if c.isConfirmed.Swap(true) {
		return
	}
	c.scope.Log.Info("configuration confirmed", "serial", c.Serial(), "after", c.scope.Clock.Mono()-c.startedAt)
	c.scope.Record("confirmed", "", "")
}

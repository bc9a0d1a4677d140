package controlclient

import (
	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/proto/wire"
)

// confirmationTTLRatio is the fraction of the in-force bound for which a confirmation is valid, counted on
// this node's monotonic clock from the time the request was sent. A confirmation covers every configuration
// acknowledged before the request; those acknowledged since are younger than this, no matter how long a
// process was suspended in between.
const confirmationTTLRatio = 0.5

// Confirmed reports whether a majority has confirmed the configuration in force since this node started.
func (c *Client) Confirmed() bool { return c.isConfirmed.Load() }

// newestSerial returns the highest serial of the configuration in force and the candidate.
func (c *Client) newestSerial() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.Serial(), c.candidate.GetSerial())
}

// newestConfiguration returns the candidate if it is newer than the configuration in force, otherwise the one
// in force; nil if there is neither.
func (c *Client) newestConfiguration() *wire.Configuration {
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

// cachedFingerprint holds a configuration and its fingerprint, which is expensive to compute.
type cachedFingerprint struct {
	configuration *wire.Configuration
	fingerprint   uint64
}

// fingerprintOf returns the fingerprint of a configuration and caches the last one computed.
func (c *Client) fingerprintOf(configuration *wire.Configuration) uint64 {
	c.mu.Lock()
	cached := c.newestFingerprint
	c.mu.Unlock()
	if cached.configuration == configuration {
		return cached.fingerprint
	}
	fingerprint := config.Fingerprint(configuration)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newestFingerprint = cachedFingerprint{configuration, fingerprint}
	return fingerprint
}

// Adopt puts a configuration in force if its serial is higher than that of the one in force; a confirmed
// configuration with an equal serial only confirms the one in force. While no configuration is in force, an
// unconfirmed one is held back as the candidate until it is confirmed or the wait for a confirmation is over.
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

// confirmSerial applies the confirmation that a majority holds no configuration newer than the given serial.
// It has no effect unless this node holds the configuration with that serial.
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

// revertToConfirmed replaces an unconfirmed configuration by an older, confirmed one. Controllers send only
// configurations that a majority had accepted, so this happens only after more disks were lost than is
// tolerated. requestedSerial is the serial stated in the request and must still be the newest held here: the
// majority read came after the request and would have found that configuration, had it ever been in force.
func (c *Client) revertToConfirmed(next *wire.Configuration, requestedSerial uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next == nil || c.Confirmed() || requestedSerial != max(c.Serial(), c.candidate.GetSerial()) {
		return
	}
	c.scope.Log.Warn("going back to the confirmed configuration", "serial", next.Serial, "from", requestedSerial)
	c.scope.Record("configuration-corrected", "", "an unconfirmed configuration was never in force")
	c.activate(next, true)
}

// serveUnconfirmed puts the candidate in force once the wait for a confirmation is over, unless another
// configuration is in force by then.
func (c *Client) serveUnconfirmed(s base.Scope) {
	base.Await(s, c.confirmationWait)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Err() == nil && c.table.Load() == nil && c.candidate != nil {
		c.activate(c.candidate, false)
	}
}

// confirmationWaitOver reports whether this node has waited long enough for a confirmation to serve an
// unconfirmed configuration.
func (c *Client) confirmationWaitOver() bool {
	return c.scope.Clock.Mono()-c.startedAt >= c.confirmationWait
}

// activate puts a configuration in force. c.mu must be held.
func (c *Client) activate(next *wire.Configuration, isConfirmed bool) {
	c.table.Store(config.NewRoutingTable(next))
	c.candidate = nil
	c.scope.Log.Info("configuration in force", "serial", next.Serial, "routes", len(next.Routes), "confirmed", isConfirmed)
	c.scope.Record("in-force", "", map[bool]string{false: "unconfirmed"}[isConfirmed])
	if isConfirmed {
		c.markConfirmed()
	}
}

// markConfirmed records that a majority has confirmed the configuration in force. c.mu must be held.
func (c *Client) markConfirmed() {
	if c.isConfirmed.Swap(true) {
		return
	}
	c.scope.Log.Info("configuration confirmed", "serial", c.Serial(), "after", c.scope.Clock.Mono()-c.startedAt)
	c.scope.Record("confirmed", "", "")
}

package dataplane

import (
	"time"

	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/proto/wire"
)

// confirmationRatio is the part of the in-force bound for which a confirmation holds, from the sending of the question on by
// this node's steady clock: whatever stood still meanwhile, no configuration acknowledged before the question is missed, and
// those acknowledged since are younger than that.
const confirmationRatio = 0.5

// confirmed tells whether a majority has confirmed the configuration in force since this node started.
func (n *Node) confirmed() bool { return n.isConfirmed.Load() }

// known is the newest serial this node holds, in force or waiting to be confirmed.
func (n *Node) known() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.serial(), n.candidate.GetSerial())
}

// held is the newest configuration this node holds, in force or waiting to be confirmed; nil if there is none.
func (n *Node) held() *wire.Configuration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.candidate.GetSerial() > n.serial() {
		return n.candidate
	}
	if table := n.table.Load(); table != nil {
		return table.Configuration()
	}
	return nil
}

// adopt takes a configuration. A node without a confirmed one keeps an unconfirmed configuration aside, and serves it only when its
// patience is over. Serials only rise.
func (n *Node) adopt(c *wire.Configuration, isConfirmed bool) {
	if c == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case isConfirmed && c.Serial == n.serial():
		n.markConfirmed()
	case c.Serial <= n.serial():
	case isConfirmed || n.confirmed() || n.table.Load() != nil || n.confirmationWaitOver():
		n.activate(c, isConfirmed || n.confirmed())
	case c.Serial > n.candidate.GetSerial():
		n.candidate = c
	}
}

// confirmSerial takes the word that a majority holds nothing newer than a serial this node holds.
func (n *Node) confirmSerial(serial uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case serial == 0:
	case n.serial() == serial:
		n.markConfirmed()
	case n.candidate.GetSerial() == serial:
		n.activate(n.candidate, true)
	}
}

// correct replaces an unconfirmed configuration by an older confirmed one. Control machines hand out only what a majority had
// accepted, so it happens only after more disks were lost than is tolerated. The question was asked with the configuration in
// hand: a majority read after it would have found that configuration, had it ever been in force.
func (n *Node) correct(c *wire.Configuration, asked uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c == nil || n.confirmed() || asked != max(n.serial(), n.candidate.GetSerial()) {
		return
	}
	n.scope.Log.Warn("going back to the confirmed configuration", "serial", c.Serial, "from", asked)
	n.scope.Note("configuration-corrected", "", "an unconfirmed configuration was never in force")
	n.activate(c, true)
}

// serveUnconfirmed puts the configuration kept aside in force once the node's patience is over.
func (n *Node) serveUnconfirmed(s base.Scope) {
	base.Await(s, n.confirmationWait)
	n.mu.Lock()
	defer n.mu.Unlock()
	if s.Err() == nil && n.table.Load() == nil && n.candidate != nil {
		n.activate(n.candidate, false)
	}
}

// confirmationWaitOver tells whether this node has waited long enough for a confirmation to serve without one.
func (n *Node) confirmationWaitOver() bool {
	return n.scope.Clock.Mono()-n.startedAt >= n.confirmationWait
}

// activate puts a configuration in force; n.mu is held.
func (n *Node) activate(c *wire.Configuration, isConfirmed bool) {
	n.table.Store(config.NewTable(c))
	n.candidate = nil
	n.scope.Log.Info("configuration in force", "serial", c.Serial, "routes", len(c.Routes), "confirmed", isConfirmed)
	n.scope.Note("in-force", "", map[bool]string{false: "unconfirmed"}[isConfirmed])
	if isConfirmed {
		n.markConfirmed()
	}
}

// markConfirmed notes that a majority has confirmed the configuration in force; n.mu is held.
func (n *Node) markConfirmed() {
	if n.isConfirmed.Swap(true) {
		return
	}
	n.scope.Log.Info("configuration confirmed", "serial", n.serial(), "after", n.scope.Clock.Mono()-n.startedAt)
	n.scope.Note("confirmed", "", "")
}

// ratioOf returns a ratio of a bound.
func ratioOf(bound time.Duration, ratio float64) time.Duration {
	return time.Duration(float64(bound) * ratio)
}

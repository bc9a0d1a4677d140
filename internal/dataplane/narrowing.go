package dataplane

import (
	"net/url"

	"curlewreach/internal/dataplane/connection"
	"curlewreach/internal/dataplane/forwarding"
)

// repeatableNow tells whether the configuration in force here still lets a request be sent once more, and to how many
// upstreams in all. Under the configuration that it began with nothing changes.
func (n *Node) repeatableNow(way forwarding.Metadata, m *connection.Request) (repeatable bool, tries int, changed bool) {
	table := n.control.Table()
	if table == nil || table.Serial() <= way.Serial {
		return true, 0, false
	}
	target, err := url.ParseRequestURI(m.Target)
	if err != nil {
		return false, 0, true
	}
	route, known := table.Find(m.Host, target.Path)
	if !known {
		return false, 0, true
	}
	return route.Repeatable(), route.MaxAttempts(), true
}

// narrow holds a request to what the configuration it began with and the one in force now both allow.
func (c *clientCall) narrow() {
	if repeatable, tries, changed := c.node.repeatableNow(c.metadata, c.request); changed {
		c.ledger.Narrow(repeatable, tries)
	}
}

// mayHedge tells whether one more upstream may be asked beside the one that is silent.
func (c *clientCall) mayHedge() bool {
	c.narrow()
	return c.ledger.MayHedge()
}

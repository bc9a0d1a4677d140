package dataplane

import (
	"net/url"

	"curlewreach/internal/dataplane/connection"
	"curlewreach/internal/dataplane/forwarding"
)

// currentRepeatability reports whether the configuration in force on this node still allows the request to be
// repeated, and on how many upstreams in all. changed is false if that configuration is not newer than the one that
// the request began with; then the request's own limits stay. A request whose route no longer exists must not be
// repeated.
func (n *Node) currentRepeatability(metadata forwarding.Metadata, request *connection.Request) (repeatable bool, tries int, changed bool) {
	table := n.controlClient.Table()
	if table == nil || table.Serial() <= metadata.Serial {
		return true, 0, false
	}
	target, err := url.ParseRequestURI(request.Target)
	if err != nil {
		return false, 0, true
	}
	route, known := table.Find(request.Host, target.Path)
	if !known {
		return false, 0, true
	}
	return route.Repeatable(), route.MaxAttempts(), true
}

// applyCurrentConfiguration restricts a running request to what both the configuration that it began with and the
// one in force allow.
func (c *clientCall) applyCurrentConfiguration() {
	if repeatable, tries, changed := c.node.currentRepeatability(c.metadata, c.request); changed {
		c.ledger.Narrow(repeatable, tries)
	}
}

// mayHedge reports whether the configuration in force and the ledger allow a second attempt beside a slow one.
func (c *clientCall) mayHedge() bool {
	c.applyCurrentConfiguration()
	return c.ledger.MayHedge()
}

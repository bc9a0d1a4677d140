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
	return route.Repeatable(), route.Tries(), true
}

// narrow holds a request to what the configuration it began with and the one in force now both allow.
func (v *clientCall) narrow() {
	if repeatable, tries, changed := v.node.repeatableNow(v.way, v.m); changed {
		v.ledger.Narrow(repeatable, tries)
	}
}

// mayHedge tells whether one more upstream may be asked beside the one that is silent.
func (v *clientCall) mayHedge() bool {
	v.narrow()
	return v.ledger.MayHedge()
}

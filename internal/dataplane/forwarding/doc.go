// Package forwarding is what nodes tell each other about a request on its way from the node of a client to the node beside an
// upstream: its metadata, how the attempt ended, the answer, and how full the upstream is.
package forwarding

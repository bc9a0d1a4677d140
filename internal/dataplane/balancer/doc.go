// Package balancer selects the upstream instance for a request. It combines what the controllers report about
// the peer nodes and their upstreams with what this node observed in its own requests.
package balancer

// Package balancer chooses the upstream for a request: by what the control machines tell of the peers and the upstreams beside
// them, and by what requests saw of both.
package balancer

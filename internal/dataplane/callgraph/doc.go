// Package callgraph derives spans from the requests that a node relays, finds the request that a call of the upstream beside the
// node belongs to, and learns which routes upstreams call.
package callgraph

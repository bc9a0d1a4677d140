// Package callgraph creates spans for the requests that a node forwards to its upstream, attributes the calls
// that the upstream makes to these requests, and detects which routes upstreams call.
package callgraph

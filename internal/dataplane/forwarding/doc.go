// Package forwarding defines what nodes tell each other about a request on its way from the client's node to
// the node of an upstream: the request's metadata, the outcome of the attempt, the response and the load of
// the upstream.
package forwarding

// Package connection provides pools of HTTP/1.1 connections to upstreams and other nodes. A pool never sends
// a request twice. The package also closes idle connections of clients.
package connection

// Package connection keeps HTTP/1.1 connections to upstreams and other nodes, on which a request is never sent twice, and
// closes the idle connections of clients.
package connection

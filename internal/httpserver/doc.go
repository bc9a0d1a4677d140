// Package httpserver provides the HTTP servers of a process, the diagnostic pages on
// them, and the HTTP clients for calls between processes.
package httpserver

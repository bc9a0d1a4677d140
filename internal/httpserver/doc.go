// Package httpserver opens the HTTP servers of a process and the operators' pages on them, and makes the clients for calls
// between processes.
package httpserver

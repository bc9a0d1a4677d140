// Package storage is the disk that a process keeps its state on. Simulations give each machine a disk of its own, which may
// lose what was not synced, lag or fail.
package storage

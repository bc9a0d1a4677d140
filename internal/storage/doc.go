// Package storage abstracts the disk on which a process persists its state. Simulations give each machine a simulated
// disk, which may lose unsynced data, be slow or fail.
package storage

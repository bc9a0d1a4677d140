// Package admission decides what may be at an upstream, in memory and on the link of a machine at a time: a queue in front
// of the upstream, a bound on the bodies in memory, and a pacer of large answers.
package admission

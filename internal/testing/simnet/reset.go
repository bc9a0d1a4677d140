package simnet

import (
	"cmp"
	"slices"
	"syscall"
)

// ResetConns breaks every connection of a machine to other machines, both ways at once. Its listeners stay.
func (w *Network) ResetConns(ip string) {
	w.ResetConnsTo(ip, func(remote string) bool { return remote != ip })
}

// ResetConnsTo breaks a machine's connections with the chosen other machines.
func (w *Network) ResetConnsTo(ip string, chosen func(remote string) bool) {
	w.mu.Lock()
	var ends []*end
	for each := range w.ends {
		if each.local == ip && chosen(host(each.remote)) {
			ends = append(ends, each)
		}
	}
	w.mu.Unlock()
	slices.SortFunc(ends, func(a, b *end) int { return cmp.Compare(a.serial, b.serial) })
	for _, each := range ends {
		each.in.fail(syscall.ECONNRESET)
		each.out.fail(syscall.ECONNRESET)
	}
}

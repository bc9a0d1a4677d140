package simnet

import (
	"cmp"
	"slices"
	"syscall"
)

// ResetConns resets every connection between a machine and other machines, in both directions at once. Its listeners
// stay open.
func (n *Network) ResetConns(ip string) {
	n.ResetConnsTo(ip, func(remote string) bool { return remote != ip })
}

// ResetConnsTo resets a machine's connections with the machines for whose IP address chosen returns true.
func (n *Network) ResetConnsTo(ip string, chosen func(remote string) bool) {
	n.mu.Lock()
	var conns []*conn
	for each := range n.conns {
		if each.local == ip && chosen(host(each.remote)) {
			conns = append(conns, each)
		}
	}
	n.mu.Unlock()
	slices.SortFunc(conns, func(a, b *conn) int { return cmp.Compare(a.serial, b.serial) })
	for _, each := range conns {
		each.in.fail(syscall.ECONNRESET)
		each.out.fail(syscall.ECONNRESET)
	}
}

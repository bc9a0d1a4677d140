// Package simnet simulates the network, disks and clocks of machines, with injected faults, for fleets that run in
// memory within a testing/synctest bubble. The simulated network, disk and clock are passed to processes in a
// base.Scope.
package simnet

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"curlewreach/base"
	"curlewreach/internal/random"
)

// Latency returns the usual one-way delay of a packet between two IP addresses.
type Latency func(from, to string) time.Duration

// Network is a simulated TCP network of machines, which are identified by their IP addresses. Lock order: a pipe's mu
// before the network's mu.
type Network struct {
	rand        *random.Source
	latency     Latency
	mu          sync.Mutex
	listeners   map[string]*listener
	conns       map[*conn]bool
	cuts        map[[2]string]bool // by source and destination, as are links and swaps
	cutsChanged base.Broadcast     // also notified by HealAll and Close
	lastSerial  int                // of listeners and connections; gives iterations over them a fixed order
	closed      bool
	noJitter    bool
	frozen      map[string]chan struct{} // by process, closed on Thaw
	links       map[[2]string]Link
	bandwidths  map[string]*limitedLink // by the receiving machine
	swaps       map[[2]string]*writeSwap
	crashed     map[string]bool // processes, which can't dial any more
	sentBytes   atomic.Uint64
	sentPackets atomic.Uint64
}

// NewNetwork returns a network with the given latency. Jitter and losses are drawn from rand.
func NewNetwork(rand *random.Source, latency Latency) *Network {
	return &Network{
		rand: rand, latency: latency, listeners: map[string]*listener{}, conns: map[*conn]bool{}, cuts: map[[2]string]bool{},
		frozen: map[string]chan struct{}{}, links: map[[2]string]Link{}, bandwidths: map[string]*limitedLink{}, swaps: map[[2]string]*writeSwap{}, crashed: map[string]bool{},
	}
}

// host returns the IP address of an "ip:port" address.
func host(address string) string { return netip.MustParseAddrPort(address).Addr().String() }

// Cut holds back all packets from one machine to another, in this direction only, until Heal. Dials between the two
// machines block, in both directions.
func (n *Network) Cut(from, to string) { n.setCut(from, to, true) }

// Heal ends a cut. Packets that were held back are delivered.
func (n *Network) Heal(from, to string) { n.setCut(from, to, false) }

func (n *Network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	n.cuts[[2]string{from, to}] = cut
	n.mu.Unlock()
	n.cutsChanged.Notify()
}

// HealAll ends all cuts and all impairments set with SetLink.
func (n *Network) HealAll() {
	n.mu.Lock()
	clear(n.cuts)
	clear(n.links)
	n.mu.Unlock()
	n.cutsChanged.Notify()
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}]
}

func (n *Network) isClosed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// delay returns the delay of one packet: the usual delay, the link's extra delay, a random jitter of up to the usual
// delay, and retransmitDelay if the packet is lost.
func (n *Network) delay(from, to string) time.Duration {
	usual := n.latency(from, to)
	n.mu.Lock()
	link := n.links[[2]string{from, to}]
	n.mu.Unlock()
	delay := usual + link.ExtraDelay
	if !n.noJitter {
		delay += time.Duration(float64(usual) * n.rand.Float64())
	}
	if link.Loss > 0 && n.rand.Float64() < link.Loss {
		delay += retransmitDelay
	}
	return delay
}

// At returns the network as seen by the process named owner on the machine with the given IP address.
func (n *Network) At(ip, owner string) base.Net { return &processNet{network: n, ip: ip, owner: owner} }

// Crash closes the connections and listeners of a process, or of the whole machine if owner is empty. Peers see a
// connection reset. If silent is set they see nothing, as when a machine loses power, until the timeout set with
// Patience.
func (n *Network) Crash(ip, owner string, silent bool) {
	n.mu.Lock()
	if owner != "" {
		n.crashed[owner] = true
	}
	var conns []*conn
	var listeners []*listener
	for each := range n.conns {
		if each.local == ip && (owner == "" || each.owner == owner) {
			conns = append(conns, each)
		}
	}
	for address, each := range n.listeners {
		if host(address) == ip && (owner == "" || each.owner == owner) {
			listeners = append(listeners, each)
		}
	}
	n.mu.Unlock()
	slices.SortFunc(listeners, func(a, b *listener) int { return cmp.Compare(a.serial, b.serial) })
	slices.SortFunc(conns, func(a, b *conn) int { return cmp.Compare(a.serial, b.serial) })
	for _, each := range listeners {
		_ = each.Close()
	}
	for _, each := range conns {
		each.crashed.Store(true)
		each.in.fail(syscall.ECONNRESET)
		if silent {
			each.peer.failAfterTimeout()
			continue
		}
		each.out.fail(syscall.ECONNRESET)
	}
}

// Sent returns the number of bytes and packets sent so far; each write counts as one packet.
func (n *Network) Sent() (bytes, packets uint64) { return n.sentBytes.Load(), n.sentPackets.Load() }

// Close closes all listeners and connections and fails pending dials that wait for a cut to end, so that no goroutine
// stays blocked.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	var conns []*conn
	var listeners []*listener
	for each := range n.conns {
		conns = append(conns, each)
	}
	for _, each := range n.listeners {
		listeners = append(listeners, each)
	}
	n.mu.Unlock()
	for _, each := range listeners {
		_ = each.Close()
	}
	n.cutsChanged.Notify()
	for _, each := range conns {
		each.in.fail(net.ErrClosed)
		each.out.fail(net.ErrClosed)
	}
}

// Package simnet simulates the surroundings of machines, network, disks and
// clocks, with their troubles, for fleets that run in memory within a
// testing/synctest bubble. Its network, disk and clock are those that a
// base.Scope carries.
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

// Latency returns the usual time that a packet takes between two IP addresses.
type Latency func(from, to string) time.Duration

// Network is a network of machines by their IP addresses. Lock order: a pipe's mu
// before the world's mu.
type Network struct {
	rand      *random.Source
	latency   Latency
	mu        sync.Mutex
	listeners map[string]*listener
	ends      map[*end]bool
	cuts      map[[2]string]bool
	bell      base.Broadcast
	serial    int
	closed    bool
	even      bool
	frozen    map[string]chan struct{}
	links     map[[2]string]Link
	thin      map[string]*thinLink
	crossing  map[[2]string]*crossed
	dead      map[string]bool
	sent      atomic.Uint64
	packets   atomic.Uint64
}

// NewNetwork returns a network with the latency given. What is random, as are its
// jitter and losses, is drawn from rand.
func NewNetwork(rand *random.Source, latency Latency) *Network {
	return &Network{
		rand: rand, latency: latency, listeners: map[string]*listener{}, ends: map[*end]bool{}, cuts: map[[2]string]bool{},
		frozen: map[string]chan struct{}{}, links: map[[2]string]Link{}, thin: map[string]*thinLink{}, crossing: map[[2]string]*crossed{}, dead: map[string]bool{},
	}
}

func host(address string) string { return netip.MustParseAddrPort(address).Addr().String() }

// Cut holds back all packets from one machine to another, until Heal. New
// connections between them wait.
func (w *Network) Cut(from, to string) { w.setCut(from, to, true) }

// Heal ends a cut; what was held back arrives.
func (w *Network) Heal(from, to string) { w.setCut(from, to, false) }

func (w *Network) setCut(from, to string, cut bool) {
	w.mu.Lock()
	w.cuts[[2]string{from, to}] = cut
	w.mu.Unlock()
	w.bell.Notify()
}

// HealAll ends all cuts and all changes of links.
func (w *Network) HealAll() {
	w.mu.Lock()
	clear(w.cuts)
	clear(w.links)
	w.mu.Unlock()
	w.bell.Notify()
}

func (w *Network) severed(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{from, to}]
}

func (w *Network) over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

func (w *Network) delay(from, to string) time.Duration {
	usual := w.latency(from, to)
	w.mu.Lock()
	link := w.links[[2]string{from, to}]
	w.mu.Unlock()
	delay := usual + link.ExtraDelay
	if !w.even {
		delay += time.Duration(float64(usual) * w.rand.Float64())
	}
	if link.Loss > 0 && w.rand.Float64() < link.Loss {
		delay += resend
	}
	return delay
}

// At returns the network as the process owner on the machine at ip has it.
func (w *Network) At(ip, owner string) base.Net { return &port{world: w, ip: ip, owner: owner} }

// Crash ends the connections and listeners of a process, or of the whole
// machine if owner is empty. Their peers see a reset, or nothing if the crash
// is silent, as when a machine loses power.
func (w *Network) Crash(ip, owner string, silent bool) {
	w.mu.Lock()
	if owner != "" {
		w.dead[owner] = true
	}
	var ends []*end
	var listeners []*listener
	for each := range w.ends {
		if each.local == ip && (owner == "" || each.owner == owner) {
			ends = append(ends, each)
		}
	}
	for address, each := range w.listeners {
		if host(address) == ip && (owner == "" || each.owner == owner) {
			listeners = append(listeners, each)
		}
	}
	w.mu.Unlock()
	slices.SortFunc(listeners, func(a, b *listener) int { return cmp.Compare(a.serial, b.serial) })
	slices.SortFunc(ends, func(a, b *end) int { return cmp.Compare(a.serial, b.serial) })
	for _, each := range listeners {
		_ = each.Close()
	}
	for _, each := range ends {
		each.gone.Store(true)
		each.in.fail(syscall.ECONNRESET)
		if silent {
			each.other.abandon()
			continue
		}
		each.out.fail(syscall.ECONNRESET)
	}
}

// Sent returns the bytes and packets sent so far.
func (w *Network) Sent() (bytes, packets uint64) { return w.sent.Load(), w.packets.Load() }

// Close ends everything, so that no goroutine is left waiting.
func (w *Network) Close() {
	w.mu.Lock()
	w.closed = true
	var ends []*end
	var listeners []*listener
	for each := range w.ends {
		ends = append(ends, each)
	}
	for _, each := range w.listeners {
		listeners = append(listeners, each)
	}
	w.mu.Unlock()
	for _, each := range listeners {
		_ = each.Close()
	}
	w.bell.Notify()
	for _, each := range ends {
		each.in.fail(net.ErrClosed)
		each.out.fail(net.ErrClosed)
	}
}

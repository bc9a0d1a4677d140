package dataplane

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	hailWait   = 600 * time.Millisecond
	hailSlack  = 500 * time.Millisecond
	hailPause  = 150 * time.Millisecond
	fetchPause = 80 * time.Millisecond
	keelsAsked = 3
	youth      = 1500 * time.Millisecond
	freshSlack = 4 * hailWait
)

type caller struct {
	address string
	client  wireconnect.MoorClient
	keel    string
	roster  uint64
	wants   bool
	cancel  context.CancelFunc
	stop    context.CancelFunc
}

// post is what this node tells the keels of itself.
func (n *Node) post() *wire.Post {
	berth, _, number := n.dock.Now()
	p := n.params
	return &wire.Post{
		Node: p.Name, Incarnation: n.incarnation, Number: number + n.turns.Load(), Inward: p.Inward, Zone: p.Zone, Service: p.Service,
		Stopping: n.stopping.Load(), Berth: berth, Serial: n.serial(), Mates: p.Mates,
	}
}

func (n *Node) adopt(c *wire.Chart, settled bool) {
	if c == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.Serial <= n.serial() {
		return
	}
	if n.table.Load() == nil && !settled && n.scope.Clock.Mono()-n.born < youth {
		return
	}
	n.table.Store(config.NewTable(c))
	n.scope.Log.Info("chart in force", "serial", c.Serial, "routes", len(c.Routes))
	n.scope.Note("in-force", "", "")
}

func (n *Node) hail(s base.Scope, c *caller, wants bool) (again bool) {
	wait, most := hailWait, hailWait+hailSlack
	if wants {
		most *= 2
	}
	ctx, cancel := context.WithTimeout(s, most)
	defer cancel()
	n.mu.Lock()
	c.cancel, c.wants = cancel, wants
	n.mu.Unlock()
	_, _, sent := n.dock.Now()
	told := sent + n.turns.Load()
	reply, err := c.client.Hail(ctx, connect.NewRequest(&wire.HailRequest{
		Post: n.post(), Serial: n.serial(), Wants: wants, Odds: n.keeper.Serial(), Keel: c.keel, Roster: c.roster, WaitMs: uint64(wait.Milliseconds()),
	}))
	if err != nil {
		_, _, now := n.dock.Now()
		if s.Err() == nil && now+n.turns.Load() == told {
			base.Await(s, hailPause)
		}
		return false
	}
	m := reply.Msg
	n.roster.Heard(c.address, m.Whole || m.Keel != c.keel, m.Sights)
	c.keel, c.roster = m.Keel, m.Roster
	if m.Odds != nil {
		if mishap := n.keeper.Load(m.Odds); mishap != nil {
			n.scope.Log.Warn("odds bounced", "reason", mishap.Reason)
		}
	}
	n.adopt(m.Chart, m.Settled)
	n.enlist(m.Keels)
	return m.Chart == nil && m.Serial > n.serial()
}

func (n *Node) call(s base.Scope, c *caller) {
	wants := n.table.Load() == nil
	for s.Err() == nil {
		wants = n.hail(s, c, wants) && n.fetches(s, c)
		if n.table.Load() == nil {
			wants = true
			base.Await(s, fetchPause/4)
		}
	}
}

// fetches tells whether this caller is to fetch the newer chart; while another does, it gives that one a moment.
func (n *Node) fetches(s base.Scope, c *caller) bool {
	n.mu.Lock()
	serial, busy := n.serial(), false
	for _, other := range n.keels {
		busy = busy || other != c && other.wants
	}
	if !busy {
		c.wants = true
	}
	n.mu.Unlock()
	if !busy {
		return true
	}
	base.Await(s, fetchPause)
	return n.serial() == serial
}

// enlist keeps a hail open to up to three keels, the ones told of first.
func (n *Node) enlist(keels []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range keels {
		if n.keels[address] != nil || len(n.keels) >= keelsAsked {
			continue
		}
		s, stop := n.scope.Child()
		c := &caller{address: address, client: wireconnect.NewMoorClient(n.web, "http://"+address), stop: stop}
		n.keels[address] = c
		n.crew.Go(func() { n.call(s, c) })
	}
}

func (n *Node) rehail() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.keels {
		if c.cancel != nil && !c.wants {
			c.cancel()
		}
	}
}

func (n *Node) watchDock(s base.Scope) {
	_, _, told := n.dock.Now()
	for s.Err() == nil {
		heard, behind := n.dock.changed.Heard(), n.behind.Heard()
		if _, _, now := n.dock.Now(); now != told {
			told = now
			n.rehail()
		}
		if base.Await(s, time.Minute, heard, behind) {
			select {
			case <-behind:
				n.rehail()
				base.Await(s, hailPause)
			default:
			}
		}
	}
}

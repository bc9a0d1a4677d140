package ford

import (
	"sync"
)

const (
	earned   = 0.4
	slackCut = 0.4
)

// Purse pays for repeats, per service: each request earns a part of the fleet's ratio, the slack is divided among the nodes.
type Purse struct {
	ratio float64
	slack float64
	nodes func() int
	mu    sync.Mutex
	coins map[string]float64
}

// NewPurse starts each service with half of this node's part.
func NewPurse(ratio, slack float64, nodes func() int) *Purse {
	return &Purse{ratio: ratio, slack: slack, nodes: nodes, coins: map[string]float64{}}
}

func (p *Purse) most() float64 { return max(p.slack*slackCut/float64(p.nodes()), 1) }

func (p *Purse) held(service string, most float64) float64 {
	coins, known := p.coins[service]
	if !known {
		coins = most / 2
	}
	return coins
}

// Earn counts a first request.
func (p *Purse) Earn(service string) {
	most := p.most()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coins[service] = min(p.held(service, most)+p.ratio*earned, most)
}

// Spend takes one repeat, if there is one.
func (p *Purse) Spend(service string) bool {
	most := p.most()
	p.mu.Lock()
	defer p.mu.Unlock()
	coins := p.held(service, most)
	if coins < 1 {
		return false
	}
	p.coins[service] = coins - 1
	return true
}

// Refund gives a repeat back that never arrived.
func (p *Purse) Refund(service string) {
	most := p.most()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coins[service] = min(p.held(service, most)+1, most)
}

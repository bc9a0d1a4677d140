// Package controlclient is a node's side of the control plane: which control machines it asks, how it learns of the newest
// configuration within the in-force bound, and what it tells them of itself.
package controlclient

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

// DefaultContactRatio is the contact bound where none is set, as a ratio of the in-force bound.
const DefaultContactRatio = 1.5

// Settings are a client's bounds and the control machines that it asks first.
type Settings struct {
	// InForce is the longest time from the acknowledgement of a configuration until it is in force here.
	InForce time.Duration
	// Contact is the longest time without word of a majority while one can be reached.
	Contact time.Duration
	// Seeds are addresses of control machines.
	Seeds []string
}

// Hooks are what a client needs of its node. All are called by several goroutines.
type Hooks struct {
	// Status returns what the node tells of itself; its number rises with every change.
	Status func() *wire.NodeStatus
	// ApplyObservations takes what a control machine knows of peers; whole if it replaces all that this one said before.
	ApplyObservations func(address string, whole bool, observations []*wire.Observation)
	// RemoveController takes the address of a control machine that is asked no longer.
	RemoveController func(address string)
	// Sampling takes the sampling probabilities that control machines hand out.
	Sampling *tracing.Sampler
}

// Client asks control machines on behalf of a node. It is safe for concurrent use.
type Client struct {
	scope            base.Scope
	settings         Settings
	hooks            Hooks
	http             *http.Client
	refreshHTTP      *http.Client // so that a refresh never waits behind a poll's connection
	startedAt        time.Duration
	confirmationWait time.Duration
	directory        *directory
	table            atomic.Pointer[config.RoutingTable]
	isConfirmed      atomic.Bool
	hinted           base.Broadcast
	tasks            base.Group

	mu            sync.Mutex
	candidate     *wire.Configuration // newer than the one in force, waiting to be confirmed
	fingerprinted fingerprinted
	freshness     configFreshness
	controllers   map[string]*controlPoll
}

// New returns a client that asks nobody before Run. Polls go by httpClient.
func New(s base.Scope, settings Settings, httpClient *http.Client, hooks Hooks) *Client {
	now := s.Clock.Mono()
	return &Client{
		scope: s, settings: settings, hooks: hooks, http: httpClient,
		refreshHTTP: httpserver.NewClientWithDialTimeout(s, base.Ratio(settings.InForce, refreshDialRatio)),
		startedAt:   now, confirmationWait: base.Ratio(settings.Contact, patienceRatio),
		directory:   newDirectory(s.Clock, s.Rand, settings.Contact, settings.Seeds),
		freshness:   newConfigFreshness(settings.InForce, now),
		controllers: map[string]*controlPoll{},
	}
}

// DialTimeout is how long a node waits for a connection to a control machine, given the contact bound.
func DialTimeout(contact time.Duration) time.Duration { return base.Ratio(contact, dialPatience) }

// Run asks control machines until the scope ends.
func (c *Client) Run(s base.Scope) {
	c.tasks.Go(func() { c.maintainPolls(s) })
	c.tasks.Go(func() { c.serveUnconfirmed(s) })
	c.tasks.Go(func() { c.keepFresh(s) })
	c.tasks.Wait()
}

// Table returns the configuration in force; nil if there is none yet.
func (c *Client) Table() *config.RoutingTable { return c.table.Load() }

// Serial returns the version of the configuration in force; 0 if there is none yet.
func (c *Client) Serial() uint64 {
	if table := c.table.Load(); table != nil {
		return table.Serial()
	}
	return 0
}

// SetSeeds replaces the seeds.
func (c *Client) SetSeeds(seeds []string) { c.directory.setSeeds(seeds) }

// Responsive lists the control machines that answer, and the others that are known.
func (c *Client) Responsive() (live, rest []string) { return c.directory.live() }

// Polled lists the control machines that are polled now, for operators.
func (c *Client) Polled() []*wire.ControlView { return c.directory.view() }

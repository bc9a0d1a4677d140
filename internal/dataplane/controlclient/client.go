// Package controlclient implements a node's side of the control plane: it selects the controllers to poll,
// learns of new configurations within the in-force bound, reports the node's status and has departures of
// instances recorded.
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

// DefaultContactRatio is the ratio of the default contact bound to the in-force bound.
const DefaultContactRatio = 1.5

// Settings holds the time bounds of a client and the addresses of its first controllers.
type Settings struct {
	// InForce is the in-force bound: the longest time from the acknowledgement of a configuration until it is
	// in force on this node.
	InForce time.Duration
	// Contact is the contact bound: the longest time without contact to a controller that has a majority,
	// while one can be reached.
	Contact time.Duration
	// Seeds are the addresses of the controllers to try first.
	Seeds []string
	// NodeAddress is the address at which the node serves other nodes. Departures are recorded under it.
	NodeAddress string
}

// Hooks connects a client to its node. The functions are called from several goroutines.
type Hooks struct {
	// Status returns the status that the node reports. Its number increases with every change.
	Status func() *wire.NodeStatus
	// ApplyObservations receives what the controller at address reports about peers. If full is set, the
	// report replaces all that this controller has reported before.
	ApplyObservations func(address string, full bool, observations []*wire.Observation)
	// RemoveController receives the address of a controller that is no longer polled.
	RemoveController func(address string)
	// ApplyDepartures receives the instances beside this node that are recorded as leaving or gone. Once they are
	// confirmed, they include all that any earlier process of the node has acknowledged.
	ApplyDepartures func(instances []string, confirmed bool)
	// Sampling receives the sampling probabilities that controllers distribute.
	Sampling *tracing.Sampler
}

// Client polls controllers on behalf of a node. It is safe for concurrent use.
type Client struct {
	scope            base.Scope
	settings         Settings
	hooks            Hooks
	pollHTTP         *http.Client
	refreshHTTP      *http.Client // separate from pollHTTP, so that a refresh never waits for a connection used by a poll
	startedAt        time.Duration
	confirmationWait time.Duration
	directory        *directory
	table            atomic.Pointer[config.RoutingTable]
	isConfirmed      atomic.Bool
	hintReceived     base.Broadcast
	tasks            base.Group

	mu                sync.Mutex
	candidate         *wire.Configuration // newer than the one in force, not yet confirmed; nil if there is none
	newestFingerprint cachedFingerprint
	freshness         configFreshness
	polls             map[string]*controllerPoll
}

// New returns a client that sends nothing before Run is called. Polls use httpClient; refreshes use
// connections of their own.
func New(s base.Scope, settings Settings, httpClient *http.Client, hooks Hooks) *Client {
	now := s.Clock.Mono()
	return &Client{
		scope: s, settings: settings, hooks: hooks, pollHTTP: httpClient,
		refreshHTTP: httpserver.NewClientWithDialTimeout(s, base.ScaleDuration(settings.InForce, refreshDialTimeoutRatio)),
		startedAt:   now, confirmationWait: base.ScaleDuration(settings.Contact, confirmationWaitRatio),
		directory: newDirectory(s.Clock, s.Rand, settings.Contact, settings.Seeds),
		freshness: newConfigFreshness(settings.InForce, now),
		polls:     map[string]*controllerPoll{},
	}
}

// DialTimeout returns how long a node waits for a connection to a controller, given the contact bound.
func DialTimeout(contact time.Duration) time.Duration {
	return base.ScaleDuration(contact, dialTimeoutRatio)
}

// Run polls controllers until the scope ends.
func (c *Client) Run(s base.Scope) {
	c.tasks.Go(func() { c.maintainPolls(s) })
	c.tasks.Go(func() { c.serveUnconfirmed(s) })
	c.tasks.Go(func() { c.runRefreshes(s) })
	c.tasks.Go(func() { c.learnDepartures(s) })
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

// Responsive returns the addresses of the controllers that have replied recently, and of the others that are
// known. If any controller has a majority, those that lag count among the others.
func (c *Client) Responsive() (responsive, others []string) { return c.directory.responsive() }

// Polled returns the controllers that are polled at present, for operators.
func (c *Client) Polled() []*wire.ControlView { return c.directory.view() }

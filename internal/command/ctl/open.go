package ctl

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/internal/listedcore"
	"curlewreach/proto/wire"
)

// requestTimeout bounds one request to one controller or node, so that a few silent machines
// don't use up the command's timeout.
const requestTimeout = 2 * time.Second

// openViews are the subcommands of 'open', for completion in the shell.
var openViews = []string{"nodes", "node", "controllers", "configuration", "routes", "odds", "wrong", "journal"}

// journalArgs are the arguments of 'open journal'.
type journalArgs struct {
	Node    string `arg:"positional,required" help:"a node or controller by name"`
	Subject string `arg:"positional" help:"print only events about this subject"`
	Last    int    `arg:"--last" default:"50" help:"how many of the newest events to print"`
}

// openArgs are the subcommands of 'open'.
type openArgs struct {
	Nodes         *noArgs      `arg:"subcommand:nodes" help:"list the nodes with their standing, upstreams and gates"`
	Node          *idArgs      `arg:"subcommand:node" help:"print one node: its state, its peers, its retry budgets and its usual latencies"`
	Controllers   *noArgs      `arg:"subcommand:controllers" help:"list the controllers with their agreement, the owner of the configuration and the learner of the odds"`
	Configuration *noArgs      `arg:"subcommand:configuration" help:"print the configuration that a majority of disks holds"`
	Routes        *noArgs      `arg:"subcommand:routes" help:"list the routes of the configuration with the highest mean latency that any node sees"`
	Odds          *noArgs      `arg:"subcommand:odds" help:"rank identifiers by utility, with confidence and sampling odds"`
	Wrong         *noArgs      `arg:"subcommand:wrong" help:"list what is wrong with the fleet now; exits with 1 if anything is"`
	Journal       *journalArgs `arg:"subcommand:journal" help:"print the newest events in the journal of a node or controller"`
}

// empty reports whether no subcommand was given.
func (o *openArgs) empty() bool { return *o == openArgs{} }

// fleetView is what the controllers and nodes of an open fleet report about themselves.
type fleetView struct {
	// controllers holds the views of the controllers that replied, by address.
	controllers map[string]*wire.ControllerView
	// silentControllers are the addresses of those that didn't.
	silentControllers []string
	// observations holds what the controllers know about each node, by node name.
	observations map[string]*nodeObservation
	// nodeViews holds the views of the nodes that replied, by node name.
	nodeViews map[string]*wire.NodeView
}

// nodeObservation is what all controllers together know about a node. The status and the
// silence are those of the controller that heard from the node last.
type nodeObservation struct {
	status    *wire.NodeStatus
	silenceMs uint64
	// presentAt and absentAt are the names of the controllers that report the node present or
	// absent.
	presentAt []string
	absentAt  []string
}

// isAbsent reports whether every controller reports the node absent.
func (n *nodeObservation) isAbsent() bool { return len(n.presentAt) == 0 }

// clientFor returns a client that asks a single address.
func clientFor(client *listedcore.Client, address string) *listedcore.Client {
	return &listedcore.Client{HTTPClient: client.HTTPClient, Controllers: []string{address}}
}

// askAll asks all targets in parallel, each within requestTimeout. It returns the replies by
// target and the sorted targets that gave none.
func askAll[T any](ctx context.Context, targets []string, ask func(context.Context, string) (T, error)) (replies map[string]T, silent []string) {
	var mu sync.Mutex
	replies = map[string]T{}
	base.Parallel(targets, func(name string) {
		bounded, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		reply, err := ask(bounded, name)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			silent = append(silent, name)
			return
		}
		replies[name] = reply
	})
	slices.Sort(silent)
	return replies, silent
}

// askControllers adds the views of the controllers at the addresses.
func (fleet *fleetView) askControllers(ctx context.Context, client *listedcore.Client, addresses []string) {
	found, silent := askAll(ctx, addresses, func(ctx context.Context, address string) (*wire.ControllerView, error) {
		return clientFor(client, address).ControllerView(ctx)
	})
	maps.Copy(fleet.controllers, found)
	fleet.silentControllers = append(fleet.silentControllers, silent...)
}

// askFleet asks the controllers given, the peers that they name, and all nodes that any of
// them knows.
func askFleet(ctx context.Context, client *listedcore.Client) (*fleetView, error) {
	fleet := &fleetView{controllers: map[string]*wire.ControllerView{}, observations: map[string]*nodeObservation{}}
	fleet.askControllers(ctx, client, client.Controllers)
	if len(fleet.controllers) == 0 {
		return nil, listedcore.ErrNoController
	}
	var more []string
	for _, controller := range fleet.controllers {
		for _, peer := range controller.Peers {
			if !slices.Contains(client.Controllers, peer.Address) && !slices.Contains(more, peer.Address) {
				more = append(more, peer.Address)
			}
		}
	}
	fleet.askControllers(ctx, client, more)
	fleet.mergeObservations()
	fleet.nodeViews, _ = askAll(ctx, slices.Sorted(maps.Keys(fleet.observations)), func(ctx context.Context, name string) (*wire.NodeView, error) {
		node := fleet.observations[name]
		if node.isAbsent() || node.status.Peers == "" {
			return nil, errors.New("the node is absent or has no address for peers")
		}
		return clientFor(client, node.status.Peers).NodeView(ctx)
	})
	return fleet, nil
}

// mergeObservations combines what the controllers know about each node.
func (fleet *fleetView) mergeObservations() {
	for _, address := range slices.Sorted(maps.Keys(fleet.controllers)) {
		controller := fleet.controllers[address]
		for _, each := range controller.Nodes {
			node := fleet.observations[each.NodeStatus.Node]
			if node == nil {
				node = &nodeObservation{status: each.NodeStatus, silenceMs: each.SilenceMs}
				fleet.observations[each.NodeStatus.Node] = node
			}
			if each.SilenceMs < node.silenceMs {
				node.status, node.silenceMs = each.NodeStatus, each.SilenceMs
			}
			if each.Absent {
				node.absentAt = append(node.absentAt, controller.Controller)
			} else {
				node.presentAt = append(node.presentAt, controller.Controller)
			}
		}
	}
}

// open runs the subcommands of 'open'.
func (a *args) open(ctx context.Context, client *listedcore.Client) error {
	switch o := a.Open; {
	case o.Configuration != nil:
		configuration, err := askAnyController(ctx, client, (*listedcore.Client).Configuration)
		if err != nil {
			return err
		}
		return printProto(configuration)
	case o.Odds != nil:
		reply, err := askAnyController(ctx, client, (*listedcore.Client).OpenFleetOdds)
		return a.printReply(reply, err, func() { a.printOdds(reply) })
	}
	fleet, err := askFleet(ctx, client)
	if err != nil {
		return err
	}
	switch o := a.Open; {
	case o.Nodes != nil:
		return a.openNodes(fleet)
	case o.Node != nil:
		return a.openNode(fleet, o.Node.ID)
	case o.Controllers != nil:
		return a.openControllers(fleet)
	case o.Routes != nil:
		return a.openRoutes(ctx, client, fleet)
	case o.Wrong != nil:
		configuration, _ := askAnyController(ctx, client, (*listedcore.Client).Configuration)
		return a.printOpenProblems(fleet.problems(configuration))
	}
	return a.openJournal(ctx, client, fleet)
}

// askAnyController asks the controllers in turn until one replies without an error. If none
// does, it returns the last error that a controller replied with, as a plain error that doesn't
// count as a rejected change, or ErrNoController.
func askAnyController[T any](ctx context.Context, client *listedcore.Client, ask func(*listedcore.Client, context.Context) (T, error)) (result T, err error) {
	err = listedcore.ErrNoController
	for _, one := range client.EachController() {
		bounded, cancel := context.WithTimeout(ctx, requestTimeout)
		reply, failure := ask(one, bounded)
		cancel()
		if failure == nil {
			return reply, nil
		}
		if !errors.Is(failure, listedcore.ErrNoController) {
			err = errors.New(failure.Error())
		}
	}
	return result, err
}

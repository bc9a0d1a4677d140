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

const eachAsk = 2 * time.Second

var views = []string{"nodes", "node", "controllers", "configuration", "routes", "odds", "wrong", "journal"}

type journal struct {
	Node    string `arg:"positional,required" help:"a node or controller by name"`
	Subject string `arg:"positional" help:"only what is about this"`
	Last    int    `arg:"--last" default:"50"`
}

type open struct {
	Nodes         *none    `arg:"subcommand:nodes" help:"nodes, standing, upstreams and gates"`
	Node          *named   `arg:"subcommand:node" help:"one node: what it holds, sees, may repeat and is used to"`
	Controllers   *none    `arg:"subcommand:controllers" help:"controllers, who agrees, who owns the configuration and learns the odds"`
	Configuration *none    `arg:"subcommand:configuration" help:"the configuration that a majority of disks has"`
	Routes        *none    `arg:"subcommand:routes" help:"its routes, with the slowest usual pace of any node"`
	Odds          *none    `arg:"subcommand:odds" help:"ranking by utility, confidence and keep odds"`
	Wrong         *none    `arg:"subcommand:wrong" help:"what is wrong now? exit 1 if anything is"`
	Journal       *journal `arg:"subcommand:journal" help:"what a node or controller noted lately"`
}

func (o *open) empty() bool { return *o == open{} }

// look is what the controllers and nodes of an open fleet said of themselves.
type look struct {
	controllers  map[string]*wire.ControllerView
	silent       []string
	observations map[string]*sighted
	views        map[string]*wire.NodeView
}

// sighted is a node as the controllers see it, the one that heard it last first of all.
type sighted struct {
	post      *wire.NodeStatus
	silenceMs uint64
	there     []string
	absent    []string
}

func (n *sighted) gone() bool { return len(n.there) == 0 }

func at(client *listedcore.Client, address string) *listedcore.Client {
	return &listedcore.Client{HTTPClient: client.HTTPClient, Controllers: []string{address}}
}

func gather[T any](ctx context.Context, among []string, ask func(context.Context, string) (T, error)) (found map[string]T, silent []string) {
	var mu sync.Mutex
	found = map[string]T{}
	base.Parallel(among, func(name string) {
		bounded, cancel := context.WithTimeout(ctx, eachAsk)
		defer cancel()
		said, err := ask(bounded, name)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			silent = append(silent, name)
			return
		}
		found[name] = said
	})
	slices.Sort(silent)
	return found, silent
}

func (l *look) ask(ctx context.Context, client *listedcore.Client, addresses []string) {
	found, silent := gather(ctx, addresses, func(ctx context.Context, address string) (*wire.ControllerView, error) {
		return at(client, address).ControllerView(ctx)
	})
	maps.Copy(l.controllers, found)
	l.silent = append(l.silent, silent...)
}

// around asks the controllers named, those that they name, and the nodes that any of them knows.
func around(ctx context.Context, client *listedcore.Client) (*look, error) {
	l := &look{controllers: map[string]*wire.ControllerView{}, observations: map[string]*sighted{}}
	l.ask(ctx, client, client.Controllers)
	if len(l.controllers) == 0 {
		return nil, listedcore.ErrNoController
	}
	var more []string
	for _, controller := range l.controllers {
		for _, peer := range controller.Peers {
			if !slices.Contains(client.Controllers, peer.Address) && !slices.Contains(more, peer.Address) {
				more = append(more, peer.Address)
			}
		}
	}
	l.ask(ctx, client, more)
	l.merge()
	l.views, _ = gather(ctx, slices.Sorted(maps.Keys(l.observations)), func(ctx context.Context, name string) (*wire.NodeView, error) {
		node := l.observations[name]
		if node.gone() || node.post.Peers == "" {
			return nil, errors.New("can't be asked")
		}
		return at(client, node.post.Peers).NodeView(ctx)
	})
	return l, nil
}

func (l *look) merge() {
	for _, address := range slices.Sorted(maps.Keys(l.controllers)) {
		controller := l.controllers[address]
		for _, each := range controller.Nodes {
			node := l.observations[each.NodeStatus.Node]
			if node == nil {
				node = &sighted{post: each.NodeStatus, silenceMs: each.SilenceMs}
				l.observations[each.NodeStatus.Node] = node
			}
			if each.SilenceMs < node.silenceMs {
				node.post, node.silenceMs = each.NodeStatus, each.SilenceMs
			}
			if each.Absent {
				node.absent = append(node.absent, controller.Controller)
			} else {
				node.there = append(node.there, controller.Controller)
			}
		}
	}
}

func (a *args) open(ctx context.Context, client *listedcore.Client) error {
	switch o := a.Open; {
	case o.Configuration != nil:
		configuration, err := anyController(ctx, client, (*listedcore.Client).Configuration)
		if err != nil {
			return err
		}
		return printProto(configuration)
	case o.Odds != nil:
		reply, err := anyController(ctx, client, (*listedcore.Client).OpenFleetOdds)
		return a.table(reply, err, func() { a.tellOdds(reply) })
	}
	l, err := around(ctx, client)
	if err != nil {
		return err
	}
	switch o := a.Open; {
	case o.Nodes != nil:
		return a.openNodes(l)
	case o.Node != nil:
		return a.openNode(l, o.Node.ID)
	case o.Controllers != nil:
		return a.openControllers(l)
	case o.Routes != nil:
		return a.openRoutes(ctx, client, l)
	case o.Wrong != nil:
		configuration, _ := anyController(ctx, client, (*listedcore.Client).Configuration)
		return a.openWrong(l.wrong(configuration))
	}
	return a.openJournal(ctx, client, l)
}

// anyController goes from controller to controller until one can answer.
func anyController[T any](ctx context.Context, client *listedcore.Client, ask func(*listedcore.Client, context.Context) (T, error)) (said T, err error) {
	err = listedcore.ErrNoController
	for _, one := range client.EachController() {
		bounded, cancel := context.WithTimeout(ctx, eachAsk)
		reply, fault := ask(one, bounded)
		cancel()
		if fault == nil {
			return reply, nil
		}
		if !errors.Is(fault, listedcore.ErrNoController) {
			err = errors.New(fault.Error())
		}
	}
	return said, err
}

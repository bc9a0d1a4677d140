package main

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/helm"
	"curlewreach/proto/wire"
)

const eachAsk = 2 * time.Second

var views = []string{"nodes", "node", "keels", "chart", "routes", "odds", "wrong", "journal"}

type journal struct {
	Node    string `arg:"positional,required" help:"a node or keel by name"`
	Subject string `arg:"positional" help:"only what is about this"`
	Last    int    `arg:"--last" default:"50"`
}

type open struct {
	Nodes   *none    `arg:"subcommand:nodes" help:"nodes, standing, upstreams and gates"`
	Node    *named   `arg:"subcommand:node" help:"one node: what it holds, sees, may repeat and is used to"`
	Keels   *none    `arg:"subcommand:keels" help:"keels, who agrees, who owns the chart and learns the odds"`
	Chart   *none    `arg:"subcommand:chart" help:"the chart that a majority of disks has"`
	Routes  *none    `arg:"subcommand:routes" help:"its routes, with the slowest usual pace of any node"`
	Odds    *none    `arg:"subcommand:odds" help:"ranking by utility, confidence and keep odds"`
	Wrong   *none    `arg:"subcommand:wrong" help:"what is wrong now? exit 1 if anything is"`
	Journal *journal `arg:"subcommand:journal" help:"what a node or keel noted lately"`
}

func (o *open) empty() bool { return *o == open{} }

// look is what the keels and nodes of an open fleet said of themselves.
type look struct {
	keels  map[string]*wire.ControllerView
	silent []string
	sights map[string]*sighted
	views  map[string]*wire.NodeView
}

// sighted is a node as the keels see it, the one that heard it last first of all.
type sighted struct {
	post      *wire.NodeStatus
	silenceMs uint64
	there     []string
	absent    []string
}

func (n *sighted) gone() bool { return len(n.there) == 0 }

func at(clerk *helm.Clerk, address string) *helm.Clerk {
	return &helm.Clerk{Web: clerk.Web, Keels: []string{address}}
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

func (l *look) ask(ctx context.Context, clerk *helm.Clerk, addresses []string) {
	found, silent := gather(ctx, addresses, func(ctx context.Context, address string) (*wire.ControllerView, error) {
		return at(clerk, address).KeelView(ctx)
	})
	maps.Copy(l.keels, found)
	l.silent = append(l.silent, silent...)
}

// around asks the keels named, those that they name, and the nodes that any of them knows.
func around(ctx context.Context, clerk *helm.Clerk) (*look, error) {
	l := &look{keels: map[string]*wire.ControllerView{}, sights: map[string]*sighted{}}
	l.ask(ctx, clerk, clerk.Keels)
	if len(l.keels) == 0 {
		return nil, helm.ErrNoKeel
	}
	var more []string
	for _, keel := range l.keels {
		for _, mate := range keel.Peers {
			if !slices.Contains(clerk.Keels, mate.Address) && !slices.Contains(more, mate.Address) {
				more = append(more, mate.Address)
			}
		}
	}
	l.ask(ctx, clerk, more)
	l.merge()
	l.views, _ = gather(ctx, slices.Sorted(maps.Keys(l.sights)), func(ctx context.Context, name string) (*wire.NodeView, error) {
		node := l.sights[name]
		if node.gone() || node.post.Peers == "" {
			return nil, errors.New("can't be asked")
		}
		return at(clerk, node.post.Peers).NodeView(ctx)
	})
	return l, nil
}

func (l *look) merge() {
	for _, address := range slices.Sorted(maps.Keys(l.keels)) {
		keel := l.keels[address]
		for _, each := range keel.Nodes {
			node := l.sights[each.NodeStatus.Node]
			if node == nil {
				node = &sighted{post: each.NodeStatus, silenceMs: each.SilenceMs}
				l.sights[each.NodeStatus.Node] = node
			}
			if each.SilenceMs < node.silenceMs {
				node.post, node.silenceMs = each.NodeStatus, each.SilenceMs
			}
			if each.Absent {
				node.absent = append(node.absent, keel.Controller)
			} else {
				node.there = append(node.there, keel.Controller)
			}
		}
	}
}

func (a *args) open(ctx context.Context, clerk *helm.Clerk) error {
	switch o := a.Open; {
	case o.Chart != nil:
		chart, err := anyKeel(ctx, clerk, (*helm.Clerk).Chart)
		if err != nil {
			return err
		}
		return printProto(chart)
	case o.Odds != nil:
		reply, err := anyKeel(ctx, clerk, (*helm.Clerk).OpenOdds)
		return a.table(reply, err, func() { a.tellOdds(reply) })
	}
	l, err := around(ctx, clerk)
	if err != nil {
		return err
	}
	switch o := a.Open; {
	case o.Nodes != nil:
		return a.openNodes(l)
	case o.Node != nil:
		return a.openNode(l, o.Node.ID)
	case o.Keels != nil:
		return a.openKeels(l)
	case o.Routes != nil:
		return a.openRoutes(ctx, clerk, l)
	case o.Wrong != nil:
		chart, _ := anyKeel(ctx, clerk, (*helm.Clerk).Chart)
		return a.openWrong(l.wrong(chart))
	}
	return a.openJournal(ctx, clerk, l)
}

// anyKeel goes from keel to keel until one can answer.
func anyKeel[T any](ctx context.Context, clerk *helm.Clerk, ask func(*helm.Clerk, context.Context) (T, error)) (said T, err error) {
	err = helm.ErrNoKeel
	for _, one := range clerk.Each() {
		bounded, cancel := context.WithTimeout(ctx, eachAsk)
		reply, mishap := ask(one, bounded)
		cancel()
		if mishap == nil {
			return reply, nil
		}
		if !errors.Is(mishap, helm.ErrNoKeel) {
			err = errors.New(mishap.Error())
		}
	}
	return said, err
}

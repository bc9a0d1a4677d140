package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"curlewreach/internal/listedcore"
	"curlewreach/proto/wire"
)

func printAll(lists map[string][]proto.Message, silent []string) error {
	all := map[string]any{"silent": append([]string{}, silent...)}
	for name, list := range lists {
		rows := []json.RawMessage{}
		for _, each := range list {
			body, err := protojson.Marshal(each)
			if err != nil {
				return err
			}
			rows = append(rows, body)
		}
		all[name] = rows
	}
	body, err := json.MarshalIndent(all, "", "  ")
	fmt.Println(string(body))
	return err
}

func messages[T proto.Message](rows map[string]T) (list []proto.Message) {
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		list = append(list, rows[name])
	}
	return list
}

func span(ms uint64) string { return (time.Duration(ms) * time.Millisecond).String() }

func (l *look) mute() (names []string) {
	for _, name := range slices.Sorted(maps.Keys(l.observations)) {
		if l.views[name] == nil && !l.observations[name].gone() {
			names = append(names, name)
		}
	}
	return names
}

func (n *sighted) standing(view *wire.NodeView) string {
	switch {
	case n.gone():
		return "absent"
	case view.GetStopping() || n.post.Stopping:
		return "stopping"
	case len(n.absent) > 0:
		return "unheard by " + strings.Join(n.absent, ",")
	case view != nil && !view.Ready:
		return "not ready"
	}
	return "well"
}

func upstream(instance *wire.Instance) string {
	switch {
	case instance == nil:
		return "none"
	case instance.Leaving:
		return instance.Service + "@" + instance.Address + " leaving"
	}
	return instance.Service + "@" + instance.Address
}

func (a *args) openNodes(l *look) error {
	if a.JSON {
		return printAll(map[string][]proto.Message{"nodes": messages(l.views)}, l.mute())
	}
	t := tableOf("NODE", "ZONE", "SERVICE", "STANDING", "SILENT", "SERIAL", "UPSTREAM", "GATE", "WAITING", "LOOK")
	for _, name := range slices.Sorted(maps.Keys(l.observations)) {
		node, view := l.observations[name], l.views[name]
		serial, gate, waiting, instance := any("?"), "?", any("?"), node.post.Instance
		if view != nil {
			serial, gate, waiting, instance = view.Serial, fmt.Sprintf("%d/%d", view.Gate.GetFlying(), view.Gate.GetLimit()), view.Gate.GetWaiting(), view.Instance
		}
		t.add(name, node.post.Zone, node.post.Service, node.standing(view), span(node.silenceMs), serial, upstream(instance), gate, waiting, cmp.Or(node.post.Peers, "-"))
	}
	t.print(a.Sort, a.Filter)
	for _, name := range l.mute() {
		fmt.Printf("%s did not reply\n", name)
	}
	return nil
}

func (a *args) openNode(l *look, name string) error {
	view, known := l.views[name]
	if !known {
		if l.observations[name] == nil {
			return errors.Errorf("no controller knows a node %q", name)
		}
		return errors.Errorf("%s did not reply", name)
	}
	if a.JSON {
		return printProto(view)
	}
	fmt.Printf("%s, zone %s, service %s, life %s, up %s, %s\n", view.Node, view.Zone, view.Service, view.Incarnation, span(view.UpMs), l.observations[name].standing(view))
	fmt.Printf("serial %d, odds %d, %d requests inside, link behind by %s\n", view.Serial, view.Odds, view.Inside, span(view.BacklogMs))
	fmt.Printf("upstream %s, heard %s ago; gate %d of %d, %d waiting, usual hold %s\n", upstream(view.Instance), span(view.InstanceSilenceMs), view.Gate.GetFlying(), view.Gate.GetLimit(), view.Gate.GetWaiting(), span(view.Gate.GetHoldMs()))
	for _, controller := range slices.Sorted(maps.Keys(view.Controllers)) {
		fmt.Printf("controller %s spoke %s ago\n", controller, span(view.Controllers[controller]))
	}
	fmt.Println("counts:", sorted(view.Counts))
	fmt.Println("further calls:", strings.Join(view.Further, " "))
	fmt.Println()
	t := tableOf("MATE", "ZONE", "SERVICE", "SEEN", "SPEED", "FLYING", "LAST NEWS")
	for _, peer := range view.Peers {
		seen := "there"
		switch {
		case peer.Absent:
			seen = "absent"
		case peer.AvoidedMs > 0:
			seen = "avoided"
		case peer.Stopping:
			seen = "stopping"
		case peer.Instance == "":
			seen = "no upstream"
		case peer.Leaving || peer.Barred == peer.Instance:
			seen = "leaving"
		}
		t.add(peer.Node, peer.Zone, peer.Service, seen, fmt.Sprintf("%.2f", peer.Speed), peer.Flying, span(peer.SilenceMs))
	}
	t.print(a.Sort, a.Filter)
	fmt.Println()
	t = tableOf("REPEATS OF", "HELD", "MOST", "REQUESTS LATELY")
	for _, each := range view.RetryBudgets {
		t.add(each.Service, fmt.Sprintf("%.1f", each.Held), fmt.Sprintf("%.1f", each.Most), each.Lately)
	}
	t.print(a.Sort, a.Filter)
	fmt.Println()
	t = tableOf("ROUTE", "USUAL MS", "LONG MS", "ANSWERED")
	for _, each := range view.Latencies {
		t.add(each.Route, fmt.Sprintf("%.1f", each.MeanMs), fmt.Sprintf("%.1f", each.LongMs), each.Seen)
	}
	t.print(a.Sort, a.Filter)
	return nil
}

func (a *args) openControllers(l *look) error {
	if a.JSON {
		return printAll(map[string][]proto.Message{"controllers": messages(l.controllers)}, l.silent)
	}
	t := tableOf("CONTROLLER", "ADDRESS", "ZONE", "PHASE", "GENERATION", "SPARE", "SETTLED", "AGREED", "SERIAL", "OWNER", "LEARNER", "NODES", "ABSENT", "KEYS")
	for _, address := range slices.Sorted(maps.Keys(l.controllers)) {
		controller := l.controllers[address]
		agreed, absent, keys := "never", 0, []string{}
		if controller.AgreedMs != nil {
			agreed = span(controller.GetAgreedMs()) + " ago"
		}
		for _, each := range controller.Nodes {
			if each.Absent {
				absent++
			}
		}
		for _, key := range controller.Keys {
			sick := ""
			if key.Sick {
				sick = " under repair"
			}
			keys = append(keys, fmt.Sprintf("%s:%d%s", key.Key, key.Serial, sick))
		}
		t.add(controller.Controller, address, controller.Zone, controller.Phase, controller.Generation, controller.Spare, controller.Settled, agreed, controller.Serial, controller.Owner, controller.Learner, len(controller.Nodes), absent, strings.Join(keys, " "))
	}
	t.print(a.Sort, a.Filter)
	for _, address := range l.silent {
		fmt.Printf("%s did not reply\n", address)
	}
	return nil
}

func (a *args) openRoutes(ctx context.Context, client *listedcore.Client, l *look) error {
	configuration, err := anyController(ctx, client, (*listedcore.Client).Configuration)
	return a.table(configuration, err, func() {
		slowest, further := l.paces()
		fmt.Printf("serial %d\n", configuration.Serial)
		t := tableOf("ROUTE", "HOST", "PREFIX", "TO", "REPEAT", "RANK", "TRIES", "AIM MS", "CUTOFF MS", "USUAL MS", "FURTHER")
		for _, route := range configuration.Routes {
			usual := "-"
			if slowest[route.Name] > 0 {
				usual = fmt.Sprintf("%.1f", slowest[route.Name])
			}
			t.add(route.Name, route.Host, route.Prefix, targets(route), strings.ToLower(route.Repeat.String()), route.Rank, route.Tries, route.AimMs, route.CutoffMs, usual, further[route.Name])
		}
		t.print(a.Sort, a.Filter)
	})
}

// paces returns, by route, the slowest mean that any node is used to, in
// milliseconds, and whether any node takes it for a route of further calls.
func (l *look) paces() (slowest map[string]float64, further map[string]bool) {
	slowest, further = map[string]float64{}, map[string]bool{}
	for _, view := range l.views {
		for _, each := range view.Latencies {
			slowest[each.Route] = max(slowest[each.Route], each.MeanMs)
		}
		for _, route := range view.Further {
			further[route] = true
		}
	}
	return slowest, further
}

// targets returns the services that a route leads to, with their weights.
func targets(route *wire.ConfigurationRoute) string {
	var to []string
	for _, destination := range route.Destinations {
		to = append(to, fmt.Sprintf("%s:%g", destination.Service, destination.Weight))
	}
	if route.Service != nil {
		to = append(to, route.GetService())
	}
	return strings.Join(to, " ")
}

func (a *args) openJournal(ctx context.Context, client *listedcore.Client, l *look) error {
	ask := a.Open.Journal
	address := ""
	if node := l.observations[ask.Node]; node != nil {
		address = node.post.Peers
	}
	for _, controller := range l.controllers {
		if controller.Controller == ask.Node || controller.Address == ask.Node {
			address = controller.Address
		}
	}
	if address == "" {
		return errors.Errorf("no controller knows a node %q that can be asked", ask.Node)
	}
	reply, err := at(client, address).Journal(ctx, ask.Subject, ask.Last)
	if errors.Is(err, listedcore.ErrNoController) {
		err = errors.Errorf("%s did not reply", ask.Node)
	}
	return a.table(reply, err, func() {
		t := tableOf("AT", "TOPIC", "SUBJECT", "DETAIL")
		for _, each := range reply.Happenings {
			t.add(time.UnixMicro(each.AtUs).UTC().Format("15:04:05.000"), each.Topic, each.Subject, each.Detail)
		}
		t.print(a.Sort, a.Filter)
		fmt.Println("counts:", sorted(reply.Counts))
	})
}

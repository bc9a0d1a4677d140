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

// printLists prints lists of messages as one JSON object, with the targets that didn't reply
// under the key "silent".
func printLists(lists map[string][]proto.Message, silent []string) error {
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

// sortedMessages returns the values of the map, sorted by key.
func sortedMessages[T proto.Message](rows map[string]T) (list []proto.Message) {
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		list = append(list, rows[name])
	}
	return list
}

// formatMillis formats a duration in milliseconds.
func formatMillis(ms uint64) string { return (time.Duration(ms) * time.Millisecond).String() }

// silentNodes returns the names of the nodes that a controller reports present but that didn't
// reply.
func (fleet *fleetView) silentNodes() (names []string) {
	for _, name := range slices.Sorted(maps.Keys(fleet.observations)) {
		if fleet.nodeViews[name] == nil && !fleet.observations[name].isAbsent() {
			names = append(names, name)
		}
	}
	return names
}

// state returns the node's entry in the column STANDING; view is nil if the node didn't reply.
func (n *nodeObservation) state(view *wire.NodeView) string {
	switch {
	case n.isAbsent():
		return "absent"
	case view.GetStopping() || n.status.Stopping:
		return "stopping"
	case len(n.absentAt) > 0:
		return "unheard by " + strings.Join(n.absentAt, ",")
	case view != nil && !view.Ready:
		return "not ready"
	}
	return "well"
}

// formatUpstream formats an upstream instance as service@address.
func formatUpstream(instance *wire.Instance) string {
	switch {
	case instance == nil:
		return "none"
	case instance.Leaving:
		return instance.Service + "@" + instance.Address + " leaving"
	}
	return instance.Service + "@" + instance.Address
}

// openNodes prints a line per node.
func (a *args) openNodes(fleet *fleetView) error {
	if a.JSON {
		return printLists(map[string][]proto.Message{"nodes": sortedMessages(fleet.nodeViews)}, fleet.silentNodes())
	}
	t := newTable("NODE", "ZONE", "SERVICE", "STANDING", "SILENT", "SERIAL", "UPSTREAM", "GATE", "WAITING", "LOOK")
	for _, name := range slices.Sorted(maps.Keys(fleet.observations)) {
		node, view := fleet.observations[name], fleet.nodeViews[name]
		serial, gate, waiting, instance := any("?"), "?", any("?"), node.status.Instance
		if view != nil {
			serial, gate, waiting, instance = view.Serial, fmt.Sprintf("%d/%d", view.Gate.GetFlying(), view.Gate.GetLimit()), view.Gate.GetWaiting(), view.Instance
		}
		t.add(name, node.status.Zone, node.status.Service, node.state(view), formatMillis(node.silenceMs), serial, formatUpstream(instance), gate, waiting, cmp.Or(node.status.Peers, "-"))
	}
	t.print(a.Sort, a.Filter)
	for _, name := range fleet.silentNodes() {
		fmt.Printf("%s did not reply\n", name)
	}
	return nil
}

// openNode prints a node's own view: its state, peers, retry budgets and usual latencies.
func (a *args) openNode(fleet *fleetView, name string) error {
	view, known := fleet.nodeViews[name]
	if !known {
		if fleet.observations[name] == nil {
			return errors.Errorf("no controller knows a node %q", name)
		}
		return errors.Errorf("%s did not reply", name)
	}
	if a.JSON {
		return printProto(view)
	}
	fmt.Printf("%s, zone %s, service %s, life %s, up %s, %s\n", view.Node, view.Zone, view.Service, view.Incarnation, formatMillis(view.UpMs), fleet.observations[name].state(view))
	fmt.Printf("serial %d, odds %d, %d requests inside, link behind by %s\n", view.Serial, view.Odds, view.Inside, formatMillis(view.BacklogMs))
	fmt.Printf("upstream %s, heard %s ago; gate %d of %d, %d waiting, usual hold %s\n", formatUpstream(view.Instance), formatMillis(view.InstanceSilenceMs), view.Gate.GetFlying(), view.Gate.GetLimit(), view.Gate.GetWaiting(), formatMillis(view.Gate.GetHoldMs()))
	for _, controller := range slices.Sorted(maps.Keys(view.Controllers)) {
		fmt.Printf("controller %s spoke %s ago\n", controller, formatMillis(view.Controllers[controller]))
	}
	fmt.Println("counts:", formatCounts(view.Counts))
	fmt.Println("further calls:", strings.Join(view.Further, " "))
	fmt.Println()
	t := newTable("MATE", "ZONE", "SERVICE", "SEEN", "SPEED", "FLYING", "LAST NEWS")
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
		t.add(peer.Node, peer.Zone, peer.Service, seen, fmt.Sprintf("%.2f", peer.Speed), peer.Flying, formatMillis(peer.SilenceMs))
	}
	t.print(a.Sort, a.Filter)
	fmt.Println()
	t = newTable("REPEATS OF", "HELD", "MOST", "REQUESTS LATELY")
	for _, each := range view.RetryBudgets {
		t.add(each.Service, fmt.Sprintf("%.1f", each.Held), fmt.Sprintf("%.1f", each.Most), each.Lately)
	}
	t.print(a.Sort, a.Filter)
	fmt.Println()
	t = newTable("ROUTE", "USUAL MS", "LONG MS", "ANSWERED")
	for _, each := range view.Latencies {
		t.add(each.Route, fmt.Sprintf("%.1f", each.MeanMs), fmt.Sprintf("%.1f", each.LongMs), each.Seen)
	}
	t.print(a.Sort, a.Filter)
	return nil
}

// openControllers prints a line per controller.
func (a *args) openControllers(fleet *fleetView) error {
	if a.JSON {
		return printLists(map[string][]proto.Message{"controllers": sortedMessages(fleet.controllers)}, fleet.silentControllers)
	}
	t := newTable("CONTROLLER", "ADDRESS", "ZONE", "PHASE", "GENERATION", "SPARE", "SETTLED", "AGREED", "SERIAL", "OWNER", "LEARNER", "NODES", "ABSENT", "KEYS")
	for _, address := range slices.Sorted(maps.Keys(fleet.controllers)) {
		controller := fleet.controllers[address]
		agreed, absent, keys := "never", 0, []string{}
		if controller.AgreedMs != nil {
			agreed = formatMillis(controller.GetAgreedMs()) + " ago"
		}
		for _, each := range controller.Nodes {
			if each.Absent {
				absent++
			}
		}
		for _, key := range controller.Keys {
			suffix := ""
			if key.Sick {
				suffix = " under repair"
			}
			keys = append(keys, fmt.Sprintf("%s:%d%s", key.Key, key.Serial, suffix))
		}
		t.add(controller.Controller, address, controller.Zone, controller.Phase, controller.Generation, controller.Spare, controller.Settled, agreed, controller.Serial, controller.Owner, controller.Learner, len(controller.Nodes), absent, strings.Join(keys, " "))
	}
	t.print(a.Sort, a.Filter)
	for _, address := range fleet.silentControllers {
		fmt.Printf("%s did not reply\n", address)
	}
	return nil
}

// openRoutes prints the routes of the configuration with the highest mean latency that any
// node sees.
func (a *args) openRoutes(ctx context.Context, client *listedcore.Client, fleet *fleetView) error {
	configuration, err := askAnyController(ctx, client, (*listedcore.Client).Configuration)
	return a.printReply(configuration, err, func() {
		slowest, further := fleet.latencies()
		fmt.Printf("serial %d\n", configuration.Serial)
		t := newTable("ROUTE", "HOST", "PREFIX", "TO", "REPEAT", "RANK", "TRIES", "AIM MS", "CUTOFF MS", "USUAL MS", "FURTHER")
		for _, route := range configuration.Routes {
			usual := "-"
			if slowest[route.Name] > 0 {
				usual = fmt.Sprintf("%.1f", slowest[route.Name])
			}
			t.add(route.Name, route.Host, route.Prefix, formatDestinations(route), strings.ToLower(route.Repeat.String()), route.Rank, route.Tries, route.AimMs, route.CutoffMs, usual, further[route.Name])
		}
		t.print(a.Sort, a.Filter)
	})
}

// latencies returns, by route, the highest mean latency that any node sees, in milliseconds,
// and whether any node treats the route as one of further calls, which upstreams make.
func (fleet *fleetView) latencies() (slowest map[string]float64, further map[string]bool) {
	slowest, further = map[string]float64{}, map[string]bool{}
	for _, view := range fleet.nodeViews {
		for _, each := range view.Latencies {
			slowest[each.Route] = max(slowest[each.Route], each.MeanMs)
		}
		for _, route := range view.Further {
			further[route] = true
		}
	}
	return slowest, further
}

// formatDestinations formats the services that a route leads to, with their weights.
func formatDestinations(route *wire.ConfigurationRoute) string {
	var to []string
	for _, destination := range route.Destinations {
		to = append(to, fmt.Sprintf("%s:%g", destination.Service, destination.Weight))
	}
	if route.Service != nil {
		to = append(to, route.GetService())
	}
	return strings.Join(to, " ")
}

// openJournal prints the newest events in the journal of a node or controller, which is named
// or, for a controller, given by address.
func (a *args) openJournal(ctx context.Context, client *listedcore.Client, fleet *fleetView) error {
	journal := a.Open.Journal
	address := ""
	if node := fleet.observations[journal.Node]; node != nil {
		address = node.status.Peers
	}
	for _, controller := range fleet.controllers {
		if controller.Controller == journal.Node || controller.Address == journal.Node {
			address = controller.Address
		}
	}
	if address == "" {
		return errors.Errorf("no controller knows a node %q that can be asked", journal.Node)
	}
	reply, err := clientFor(client, address).Journal(ctx, journal.Subject, journal.Last)
	if errors.Is(err, listedcore.ErrNoController) {
		err = errors.Errorf("%s did not reply", journal.Node)
	}
	return a.printReply(reply, err, func() {
		t := newTable("AT", "TOPIC", "SUBJECT", "DETAIL")
		for _, each := range reply.Happenings {
			t.add(time.UnixMicro(each.AtUs).UTC().Format("15:04:05.000"), each.Topic, each.Subject, each.Detail)
		}
		t.print(a.Sort, a.Filter)
		fmt.Println("counts:", formatCounts(reply.Counts))
	})
}

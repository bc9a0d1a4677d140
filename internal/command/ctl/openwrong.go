package ctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"curlewreach/proto/wire"
)

const (
	wholePhase = "founded"
	catchingUp = "catching-up"
	// fewestSpared is the least number of voters that can bear a loss.
	fewestSpared = 3
	muchBehind   = 100
)

// wrong says in plain words what is wrong now; configuration is nil if no controller could tell it.
func (l *look) wrong(configuration *wire.Configuration) (found []string) {
	add := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for _, address := range l.silent {
		add("controller %s can't be reached", address)
	}
	newest := configuration.GetSerial()
	for _, controller := range l.controllers {
		newest = max(newest, controller.Serial)
	}
	for _, address := range slices.Sorted(maps.Keys(l.controllers)) {
		l.controllerWrong(l.controllers[address], newest, add)
	}
	l.copiesWrong(add)
	switch {
	case configuration == nil:
		add("no controller can tell the configuration: no majority of disks answers")
	case newest == 0:
		add("there is no configuration yet: nodes serve nobody")
	}
	offered := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(l.observations)) {
		if instance := l.nodeSeen(name, newest, add); instance != nil && !instance.Leaving {
			offered[instance.Service] = true
		}
	}
	for _, service := range configuration.GetServices() {
		if !offered[service.Name] {
			add("service %s has no upstream anywhere", service.Name)
		}
	}
	return found
}

// nodeSeen adds what is wrong with a node and returns its upstream, as far as
// it is known; nil if the node is gone.
func (l *look) nodeSeen(name string, newest uint64, add func(string, ...any)) *wire.Instance {
	node, view := l.observations[name], l.views[name]
	if node.gone() {
		add("node %s is absent, silent for %s", name, span(node.silenceMs))
		return nil
	}
	if len(node.absent) > 0 {
		add("node %s is not heard by %s, though by %s", name, strings.Join(node.absent, ", "), strings.Join(node.there, ", "))
	}
	if view == nil {
		add("node %s did not reply at its door for views (%s)", name, node.post.Peers)
		return node.post.Instance
	}
	nodeWrong(name, view, newest, add)
	return view.Instance
}

func (l *look) controllerWrong(controller *wire.ControllerView, newest uint64, add func(string, ...any)) {
	name := controller.Controller
	switch controller.Phase {
	case wholePhase:
	case catchingUp:
		add("controller %s has no vote, and generation %d has its voters", name, controller.Generation)
	default:
		add("controller %s has not recovered its disk: %s", name, controller.Phase)
	}
	if !controller.Settled {
		agreed := "never did"
		if controller.AgreedMs != nil {
			agreed = "last did " + span(controller.GetAgreedMs()) + " ago"
		}
		add("controller %s does not agree with a majority of disks; it %s", name, agreed)
	}
	if controller.Serial < newest {
		add("controller %s is on serial %d, the newest is %d", name, controller.Serial, newest)
	}
	if controller.Stopping {
		add("controller %s is stopping", name)
	}
	for _, peer := range controller.Peers {
		if !peer.Heard && l.controllers[peer.Address] != nil {
			add("controller %s does not hear controller %s", name, peer.Address)
		}
	}
	controllerRepairs(controller, add)
	controllerMembers(controller, add)
	if newest > 0 && controller.Phase == wholePhase && controller.Learner == "" {
		add("controller %s knows of nobody who learns the odds", name)
	}
}

// controllerMembers tells what stands between a controller's voters and the next loss.
func controllerMembers(controller *wire.ControllerView, add func(string, ...any)) {
	if controller.Phase == wholePhase && len(controller.Peers) >= fewestSpared && controller.Spare < 1 {
		add("controller %s hears so few of the %d voters of generation %d that one more lost would stop changes", controller.Controller, len(controller.Peers), controller.Generation)
	}
	if controller.Sealed {
		add("controller %s has ended generation %d and waits for the next", controller.Controller, controller.Generation)
	}
	for _, learner := range controller.Learners {
		if !learner.CaughtUp {
			add("controller %s sees %s still catching up", controller.Controller, learner.Address)
		}
	}
}

func controllerRepairs(controller *wire.ControllerView, add func(string, ...any)) {
	for _, key := range controller.Keys {
		if key.Sick {
			add("controller %s repairs the key %s on its disk", controller.Controller, key.Key)
		}
	}
	if controller.Owed > 0 {
		add("controller %s owes %d batches of spans to a peer", controller.Controller, controller.Owed)
	}
}

// copiesWrong tells once of each key that is not on every disk, by the controller that sees the fewest copies.
func (l *look) copiesWrong(add func(string, ...any)) {
	fewest, of := map[string]int{}, map[string]int{}
	for _, controller := range l.controllers {
		for _, key := range controller.Keys {
			copies, known := fewest[key.Key]
			if key.Copies > 0 && (!known || int(key.Copies) < copies) {
				fewest[key.Key], of[key.Key] = int(key.Copies), len(controller.Peers)
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(fewest)) {
		if fewest[key] < of[key] {
			add("the newest %s is on %d of %d disks", keyName(key), fewest[key], of[key])
		}
	}
}

func nodeWrong(name string, view *wire.NodeView, newest uint64, add func(string, ...any)) {
	if view.Serial > 0 && !view.Confirmed && len(view.Polled) > 0 {
		add("node %s serves a configuration that no majority has vouched for since it started", name)
	}
	if view.ConfigStale {
		add("node %s last knew its configuration to be the newest %s ago", name, span(view.ConfigAgeMs))
	}
	switch {
	case view.Stopping:
		add("node %s is stopping", name)
	case !view.Ready:
		add("node %s is not ready: it has no configuration", name)
	case view.Serial < newest:
		add("node %s is on serial %d, the newest is %d", name, view.Serial, newest)
	}
	if view.Instance == nil {
		add("the upstream beside node %s is silent", name)
	}
	if gate := view.Gate; gate.GetWaiting() > 0 && gate.GetFlying() >= gate.GetLimit() {
		add("the gate at node %s is full: %d of %d taken, %d wait, a new request would wait %s", name, gate.Flying, gate.Limit, gate.Waiting, span(gate.RestMs))
	}
	if view.BacklogMs > muchBehind {
		add("the link of node %s is behind by %s", name, span(view.BacklogMs))
	}
	for _, budget := range view.RetryBudgets {
		if budget.Spent {
			add("node %s has spent its repeats for service %s", name, budget.Service)
		}
	}
	for _, peer := range view.Peers {
		if peer.AvoidedMs > 0 && !peer.Absent {
			add("node %s could lately not reach node %s", name, peer.Node)
		}
	}
}

func (a *args) openWrong(found []string) error {
	if a.JSON {
		body, err := json.MarshalIndent(map[string][]string{"wrong": append([]string{}, found...)}, "", "  ")
		if err != nil {
			return err
		}
		fmt.Println(string(body))
	} else {
		for _, line := range found {
			fmt.Println("!", line)
		}
		if len(found) == 0 {
			fmt.Println("nothing is wrong")
		}
	}
	if len(found) > 0 {
		return errWrong
	}
	return nil
}

// keyName is what a register is called; its key may be stored under an older name.
func keyName(key string) string {
	if key == "chart" {
		return "configuration"
	}
	return key
}

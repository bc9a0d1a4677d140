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
	// phaseFounded is the phase of a controller with a complete disk.
	phaseFounded = "founded"
	// phaseCatchingUp is the phase of a controller that isn't a voter yet.
	phaseCatchingUp = "catching-up"
	// minRedundantVoters is the smallest number of voters that keeps a majority when one is lost.
	minRedundantVoters = 3
	// maxBacklogMs is the backlog of a node's link above which it is reported.
	maxBacklogMs = 100
)

// problems lists what is wrong with the fleet. configuration is nil if no controller could
// return it.
func (fleet *fleetView) problems(configuration *wire.Configuration) (found []string) {
	add := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for _, address := range fleet.silentControllers {
		add("controller %s can't be reached", address)
	}
	newest := configuration.GetSerial()
	for _, controller := range fleet.controllers {
		newest = max(newest, controller.Serial)
	}
	for _, address := range slices.Sorted(maps.Keys(fleet.controllers)) {
		fleet.checkController(fleet.controllers[address], newest, add)
	}
	fleet.checkCopies(add)
	switch {
	case configuration == nil:
		add("no controller can tell the configuration: no majority of disks answers")
	case newest == 0:
		add("there is no configuration yet: nodes serve nobody")
	}
	served := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(fleet.observations)) {
		if instance := fleet.checkNode(name, newest, add); instance != nil && !instance.Leaving {
			served[instance.Service] = true
		}
	}
	for _, service := range configuration.GetServices() {
		if !served[service.Name] {
			add("service %s has no upstream anywhere", service.Name)
		}
	}
	return found
}

// checkNode adds what is wrong with a node and returns its upstream as far as it is known, or
// nil if the node is absent.
func (fleet *fleetView) checkNode(name string, newest uint64, add func(string, ...any)) *wire.Instance {
	node, view := fleet.observations[name], fleet.nodeViews[name]
	if node.isAbsent() {
		add("node %s is absent, silent for %s", name, formatMillis(node.silenceMs))
		return nil
	}
	if len(node.absentAt) > 0 {
		add("node %s is not heard by %s, though by %s", name, strings.Join(node.absentAt, ", "), strings.Join(node.presentAt, ", "))
	}
	if view == nil {
		add("node %s did not reply at its door for views (%s)", name, node.status.Peers)
		return node.status.Instance
	}
	checkNodeView(name, view, newest, add)
	return view.Instance
}

// checkController adds what is wrong with a controller; newest is the newest serial that any
// controller reports.
func (fleet *fleetView) checkController(controller *wire.ControllerView, newest uint64, add func(string, ...any)) {
	name := controller.Controller
	switch controller.Phase {
	case phaseFounded:
	case phaseCatchingUp:
		add("controller %s has no vote, and generation %d has its voters", name, controller.Generation)
	default:
		add("controller %s has not recovered its disk: %s", name, controller.Phase)
	}
	if !controller.Settled {
		agreed := "never did"
		if controller.AgreedMs != nil {
			agreed = "last did " + formatMillis(controller.GetAgreedMs()) + " ago"
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
		if !peer.Heard && fleet.controllers[peer.Address] != nil {
			add("controller %s does not hear controller %s", name, peer.Address)
		}
	}
	checkRepairs(controller, add)
	checkVoters(controller, add)
	if newest > 0 && controller.Phase == phaseFounded && controller.Learner == "" {
		add("controller %s knows of no learner of the sampling odds", name)
	}
}

// checkVoters adds what would make the loss of one more voter stop changes, and learners that
// aren't caught up.
func checkVoters(controller *wire.ControllerView, add func(string, ...any)) {
	if controller.Phase == phaseFounded && len(controller.Peers) >= minRedundantVoters && controller.Spare < 1 {
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

// checkRepairs adds keys that the controller repairs and spans that it has yet to deliver to
// peers.
func checkRepairs(controller *wire.ControllerView, add func(string, ...any)) {
	for _, key := range controller.Keys {
		if key.Sick {
			add("controller %s repairs the key %s on its disk", controller.Controller, key.Key)
		}
	}
	if controller.Owed > 0 {
		add("controller %s owes %d batches of spans to a peer", controller.Controller, controller.Owed)
	}
}

// checkCopies adds each key that isn't on every disk, once, with the smallest number of copies
// that any controller sees.
func (fleet *fleetView) checkCopies(add func(string, ...any)) {
	fewestCopies, disks := map[string]int{}, map[string]int{}
	for _, controller := range fleet.controllers {
		for _, key := range controller.Keys {
			copies, known := fewestCopies[key.Key]
			if key.Copies > 0 && (!known || int(key.Copies) < copies) {
				fewestCopies[key.Key], disks[key.Key] = int(key.Copies), len(controller.Peers)
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(fewestCopies)) {
		if fewestCopies[key] < disks[key] {
			add("the newest %s is on %d of %d disks", displayName(key), fewestCopies[key], disks[key])
		}
	}
}

// checkNodeView adds what is wrong according to a node's own view.
func checkNodeView(name string, view *wire.NodeView, newest uint64, add func(string, ...any)) {
	if view.Serial > 0 && !view.Confirmed && len(view.Polled) > 0 {
		add("node %s serves a configuration that no majority has confirmed since it started", name)
	}
	if view.ConfigStale {
		add("node %s last knew its configuration to be the newest %s ago", name, formatMillis(view.ConfigAgeMs))
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
		add("the gate at node %s is full: %d of %d taken, %d wait, a new request would wait %s", name, gate.Flying, gate.Limit, gate.Waiting, formatMillis(gate.RestMs))
	}
	if view.BacklogMs > maxBacklogMs {
		add("the link of node %s is behind by %s", name, formatMillis(view.BacklogMs))
	}
	for _, budget := range view.RetryBudgets {
		if budget.Spent {
			add("node %s has used up its retry budget for service %s", name, budget.Service)
		}
	}
	for _, peer := range view.Peers {
		if peer.AvoidedMs > 0 && !peer.Absent {
			add("node %s could not reach node %s lately", name, peer.Node)
		}
	}
}

// printOpenProblems prints the problems found and returns errUnhealthy if there are any.
func (a *args) printOpenProblems(found []string) error {
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
		return errUnhealthy
	}
	return nil
}

// displayName returns the name of a key for operators; the configuration is stored under an
// older name.
func displayName(key string) string {
	if key == "chart" {
		return "configuration"
	}
	return key
}

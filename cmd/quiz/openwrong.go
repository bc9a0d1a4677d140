package main

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

// wrong says in plain words what is wrong now; chart is nil if no keel could tell it.
func (l *look) wrong(chart *wire.Configuration) (found []string) {
	add := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for _, address := range l.silent {
		add("keel %s can't be reached", address)
	}
	newest := chart.GetSerial()
	for _, keel := range l.keels {
		newest = max(newest, keel.Serial)
	}
	for _, address := range slices.Sorted(maps.Keys(l.keels)) {
		l.keelWrong(l.keels[address], newest, add)
	}
	l.copiesWrong(add)
	switch {
	case chart == nil:
		add("no keel can tell the chart: no majority of disks answers")
	case newest == 0:
		add("there is no chart yet: nodes serve nobody")
	}
	offered := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(l.sights)) {
		if berth := l.nodeSeen(name, newest, add); berth != nil && !berth.Leaving {
			offered[berth.Service] = true
		}
	}
	for _, service := range chart.GetServices() {
		if !offered[service.Name] {
			add("service %s has no upstream anywhere", service.Name)
		}
	}
	return found
}

// nodeSeen adds what is wrong with a node and returns its upstream, as far as
// it is known; nil if the node is gone.
func (l *look) nodeSeen(name string, newest uint64, add func(string, ...any)) *wire.Instance {
	node, view := l.sights[name], l.views[name]
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

func (l *look) keelWrong(keel *wire.ControllerView, newest uint64, add func(string, ...any)) {
	name := keel.Controller
	switch keel.Phase {
	case wholePhase:
	case catchingUp:
		add("keel %s has no vote, and generation %d has its voters", name, keel.Generation)
	default:
		add("keel %s has not recovered its disk: %s", name, keel.Phase)
	}
	if !keel.Settled {
		agreed := "never did"
		if keel.AgreedMs != nil {
			agreed = "last did " + span(keel.GetAgreedMs()) + " ago"
		}
		add("keel %s does not agree with a majority of disks; it %s", name, agreed)
	}
	if keel.Serial < newest {
		add("keel %s is on serial %d, the newest is %d", name, keel.Serial, newest)
	}
	if keel.Stopping {
		add("keel %s is stopping", name)
	}
	for _, mate := range keel.Peers {
		if !mate.Heard && l.keels[mate.Address] != nil {
			add("keel %s does not hear keel %s", name, mate.Address)
		}
	}
	keelRepairs(keel, add)
	keelMembers(keel, add)
	if newest > 0 && keel.Phase == wholePhase && keel.Learner == "" {
		add("keel %s knows of nobody who learns the odds", name)
	}
}

// keelMembers tells what stands between a keel's voters and the next loss.
func keelMembers(keel *wire.ControllerView, add func(string, ...any)) {
	if keel.Phase == wholePhase && len(keel.Peers) >= fewestSpared && keel.Spare < 1 {
		add("keel %s hears so few of the %d voters of generation %d that one more lost would stop changes", keel.Controller, len(keel.Peers), keel.Generation)
	}
	if keel.Sealed {
		add("keel %s has ended generation %d and waits for the next", keel.Controller, keel.Generation)
	}
	for _, learner := range keel.Learners {
		if !learner.CaughtUp {
			add("keel %s sees %s still catching up", keel.Controller, learner.Address)
		}
	}
}

func keelRepairs(keel *wire.ControllerView, add func(string, ...any)) {
	for _, key := range keel.Keys {
		if key.Sick {
			add("keel %s repairs the key %s on its disk", keel.Controller, key.Key)
		}
	}
	if keel.Owed > 0 {
		add("keel %s owes %d batches of spans to a mate", keel.Controller, keel.Owed)
	}
}

// copiesWrong tells once of each key that is not on every disk, by the keel that sees the fewest copies.
func (l *look) copiesWrong(add func(string, ...any)) {
	fewest, of := map[string]int{}, map[string]int{}
	for _, keel := range l.keels {
		for _, key := range keel.Keys {
			copies, known := fewest[key.Key]
			if key.Copies > 0 && (!known || int(key.Copies) < copies) {
				fewest[key.Key], of[key.Key] = int(key.Copies), len(keel.Peers)
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(fewest)) {
		if fewest[key] < of[key] {
			add("the newest %s is on %d of %d disks", key, fewest[key], of[key])
		}
	}
}

func nodeWrong(name string, view *wire.NodeView, newest uint64, add func(string, ...any)) {
	if view.Serial > 0 && !view.Confirmed && len(view.Polled) > 0 {
		add("node %s serves a chart that no majority has vouched for since it started", name)
	}
	if view.ConfigStale {
		add("node %s last knew its chart to be the newest %s ago", name, span(view.ConfigAgeMs))
	}
	switch {
	case view.Stopping:
		add("node %s is stopping", name)
	case !view.Ready:
		add("node %s is not ready: it has no chart", name)
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
	for _, purse := range view.RetryBudgets {
		if purse.Spent {
			add("node %s has spent its repeats for service %s", name, purse.Service)
		}
	}
	for _, mate := range view.Peers {
		if mate.AvoidedMs > 0 && !mate.Absent {
			add("node %s could lately not reach node %s", name, mate.Node)
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

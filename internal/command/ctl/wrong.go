package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"curlewreach/internal/listedcore"
	"curlewreach/internal/membership"
	"curlewreach/proto/wire"
)

const wholeCopies = 3

type findings struct {
	Wrong  []string `json:"wrong"`
	Shares []string `json:"shares"`
}

func (w *findings) add(format string, args ...any) {
	w.Wrong = append(w.Wrong, fmt.Sprintf(format, args...))
}

var errWrong = errors.New("something is wrong")

func (a *args) wrong(ctx context.Context, client *listedcore.Client) error {
	w := &findings{Wrong: []string{}}
	w.core(ctx, client)
	if err := w.nodes(ctx, client); err != nil {
		return err
	}
	if told, err := client.QueryJournals(ctx, ""); err == nil {
		for _, node := range told.Silent {
			w.add("%s did not reply", node)
		}
		w.shares(ctx, client, told)
	}
	if a.JSON {
		body, err := json.MarshalIndent(w, "", "  ")
		if err != nil {
			return err
		}
		fmt.Println(string(body))
	} else {
		for _, line := range w.Wrong {
			fmt.Println("!", line)
		}
		if len(w.Wrong) == 0 {
			fmt.Println("nothing is wrong")
		}
		for _, line := range w.Shares {
			fmt.Println(" ", line)
		}
	}
	if len(w.Wrong) > 0 {
		return errWrong
	}
	return nil
}

func (w *findings) core(ctx context.Context, client *listedcore.Client) {
	for controller, one := range client.EachController() {
		state, err := one.State(ctx)
		if err != nil {
			w.add("controller %s can't be reached", controller)
			continue
		}
		w.controller(state)
	}
}

func (w *findings) controller(state *wire.StateReply) {
	if state.Phase != wholePhase {
		w.add("%s has not recovered its disk: %s", state.Keel, state.Phase)
	}
	if state.Staged > 0 {
		w.add("%s sees serial %d staged and not settled", state.Keel, state.Staged)
	}
	if state.Owed > 0 {
		w.add("%s owes %d batches of spans to a mate", state.Keel, state.Owed)
	}
	for _, key := range state.Keys {
		if key.Sick {
			w.add("key %s is under repair at %s", key.Key, state.Keel)
		}
		if key.Key == listedcore.BundleKey && key.Copies > 0 && key.Copies < wholeCopies {
			w.add("the newest %s has %d copies, seen from %s", key.Key, key.Copies, state.Keel)
		}
	}
}

func (w *findings) nodes(ctx context.Context, client *listedcore.Client) error {
	holdings, err := client.Holdings(ctx)
	if err != nil {
		return err
	}
	for _, each := range holdings.Holdings {
		if each.Standing != membership.Alive {
			w.add("%s is %s", each.Node, each.Standing)
		}
		if each.Serial < holdings.Serial {
			w.add("%s is on serial %d, the newest is %d", each.Node, each.Serial, holdings.Serial)
		}
	}
	for _, silent := range holdings.Silent {
		w.add("%s was never heard", silent)
	}
	return nil
}

func (w *findings) shares(ctx context.Context, client *listedcore.Client, told *wire.ToldReply) {
	shown, err := client.Bundle(ctx, 0)
	if err != nil {
		return
	}
	carried, watched := map[string]uint64{}, map[string]uint64{}
	var allCarried, allWatched uint64
	for _, each := range told.Told {
		for group, count := range each.Carried {
			carried[group] += count
			allCarried += count
		}
		for group, count := range each.Watched {
			watched[group] += count
			allWatched += count
		}
	}
	var oweCarried, oweWatched float64
	owed := map[string]*wire.Share{}
	for _, share := range shown.Bundle.GetCommon().GetShares() {
		oweCarried += share.Carried
		oweWatched += share.Watched
		owed[share.Group] = share
	}
	for _, group := range slices.Sorted(maps.Keys(owed)) {
		w.Shares = append(w.Shares, fmt.Sprintf("%-16s carried %3.0f%% (owed %.0f%% when all ask), watched %3.0f%% (owed %.0f%%)", group,
			part(carried[group], allCarried), 100*owed[group].Carried/oweCarried, part(watched[group], allWatched), 100*owed[group].Watched/oweWatched))
	}
}

func part(count, all uint64) float64 {
	if all == 0 {
		return 0
	}
	return 100 * float64(count) / float64(all)
}

func (a *args) watch(ctx context.Context, client *listedcore.Client) error {
	last := ""
	for begun := time.Now(); ; {
		holdings, err := client.Holdings(ctx)
		if err != nil {
			return err
		}
		on, behind := 0, []string{}
		for _, each := range holdings.Holdings {
			if each.Serial >= holdings.Serial {
				on++
			} else {
				behind = append(behind, each.Node)
			}
		}
		behind = append(behind, holdings.Silent...)
		slices.Sort(behind)
		line := fmt.Sprintf("serial %d held by %d, behind or silent: %v", holdings.Serial, on, behind)
		if line != last {
			fmt.Printf("%6s %s\n", time.Since(begun).Round(100*time.Millisecond), line)
			last = line
		}
		if len(behind) == 0 && holdings.Serial >= a.Watch.Serial {
			return nil
		}
		if time.Since(begun) > time.Duration(a.Watch.Seconds)*time.Second {
			return errWrong
		}
		time.Sleep(200 * time.Millisecond)
	}
}

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

// bundleCopies is the number of core disks that must hold the newest bundle.
const bundleCopies = 3

// healthReport is what 'wrong' prints: problems, and how the load is shared between groups.
type healthReport struct {
	Problems []string `json:"wrong"`
	Shares   []string `json:"shares"`
}

// add adds a problem.
func (report *healthReport) add(format string, args ...any) {
	report.Problems = append(report.Problems, fmt.Sprintf(format, args...))
}

// errUnhealthy makes the command exit with 1 if the fleet has problems or a roll-out takes too
// long.
var errUnhealthy = errors.New("something is wrong")

// wrong prints what is wrong with a fleet of listed machines.
func (a *args) wrong(ctx context.Context, client *listedcore.Client) error {
	report := &healthReport{Problems: []string{}}
	report.checkCore(ctx, client)
	if err := report.checkNodes(ctx, client); err != nil {
		return err
	}
	if reply, err := client.QueryJournals(ctx, ""); err == nil {
		for _, node := range reply.Silent {
			report.add("%s did not reply", node)
		}
		report.addShares(ctx, client, reply)
	}
	if a.JSON {
		body, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		fmt.Println(string(body))
	} else {
		for _, line := range report.Problems {
			fmt.Println("!", line)
		}
		if len(report.Problems) == 0 {
			fmt.Println("nothing is wrong")
		}
		for _, line := range report.Shares {
			fmt.Println(" ", line)
		}
	}
	if len(report.Problems) > 0 {
		return errUnhealthy
	}
	return nil
}

// checkCore adds problems of the controllers.
func (report *healthReport) checkCore(ctx context.Context, client *listedcore.Client) {
	for controller, single := range client.EachController() {
		state, err := single.State(ctx)
		if err != nil {
			report.add("controller %s can't be reached", controller)
			continue
		}
		report.checkController(state)
	}
}

// checkController adds problems in the state of one controller.
func (report *healthReport) checkController(state *wire.StateReply) {
	if state.Phase != phaseFounded {
		report.add("%s has not recovered its disk: %s", state.Keel, state.Phase)
	}
	if state.Staged > 0 {
		report.add("%s sees serial %d staged and not settled", state.Keel, state.Staged)
	}
	if state.Owed > 0 {
		report.add("%s owes %d batches of spans to a peer", state.Keel, state.Owed)
	}
	for _, key := range state.Keys {
		if key.Sick {
			report.add("key %s is under repair at %s", key.Key, state.Keel)
		}
		if key.Key == listedcore.BundleKey && key.Copies > 0 && key.Copies < bundleCopies {
			report.add("the newest %s has %d copies, seen from %s", key.Key, key.Copies, state.Keel)
		}
	}
}

// checkNodes adds nodes that aren't alive, were never heard from or use an older serial.
func (report *healthReport) checkNodes(ctx context.Context, client *listedcore.Client) error {
	holdings, err := client.Holdings(ctx)
	if err != nil {
		return err
	}
	for _, each := range holdings.Holdings {
		if each.Standing != membership.Alive {
			report.add("%s is %s", each.Node, each.Standing)
		}
		if each.Serial < holdings.Serial {
			report.add("%s is on serial %d, the newest is %d", each.Node, each.Serial, holdings.Serial)
		}
	}
	for _, silent := range holdings.Silent {
		report.add("%s was never heard", silent)
	}
	return nil
}

// addShares adds the share of requests and spans that each group got, next to the share that
// the bundle assigns to it.
func (report *healthReport) addShares(ctx context.Context, client *listedcore.Client, reply *wire.ToldReply) {
	shown, err := client.Bundle(ctx, 0)
	if err != nil {
		return
	}
	carried, watched := map[string]uint64{}, map[string]uint64{}
	var allCarried, allWatched uint64
	for _, each := range reply.Told {
		for group, count := range each.Carried {
			carried[group] += count
			allCarried += count
		}
		for group, count := range each.Watched {
			watched[group] += count
			allWatched += count
		}
	}
	var weightCarried, weightWatched float64
	assigned := map[string]*wire.Share{}
	for _, share := range shown.Bundle.GetCommon().GetShares() {
		weightCarried += share.Carried
		weightWatched += share.Watched
		assigned[share.Group] = share
	}
	for _, group := range slices.Sorted(maps.Keys(assigned)) {
		report.Shares = append(report.Shares, fmt.Sprintf("%-16s carried %3.0f%% (owed %.0f%% when all ask), watched %3.0f%% (owed %.0f%%)", group,
			percent(carried[group], allCarried), 100*assigned[group].Carried/weightCarried, percent(watched[group], allWatched), 100*assigned[group].Watched/weightWatched))
	}
}

// percent returns count as a percentage of all, or 0 if all is 0.
func percent(count, all uint64) float64 {
	if all == 0 {
		return 0
	}
	return 100 * float64(count) / float64(all)
}

// watch polls the serials of the nodes and prints each change. It returns once every node uses
// the newest serial and that is at least the one waited for, or errUnhealthy when the time is
// up.
func (a *args) watch(ctx context.Context, client *listedcore.Client) error {
	last := ""
	for started := time.Now(); ; {
		holdings, err := client.Holdings(ctx)
		if err != nil {
			return err
		}
		current, behind := 0, []string{}
		for _, each := range holdings.Holdings {
			if each.Serial >= holdings.Serial {
				current++
			} else {
				behind = append(behind, each.Node)
			}
		}
		behind = append(behind, holdings.Silent...)
		slices.Sort(behind)
		line := fmt.Sprintf("serial %d held by %d, behind or silent: %v", holdings.Serial, current, behind)
		if line != last {
			fmt.Printf("%6s %s\n", time.Since(started).Round(100*time.Millisecond), line)
			last = line
		}
		if len(behind) == 0 && holdings.Serial >= a.Watch.Serial {
			return nil
		}
		if time.Since(started) > time.Duration(a.Watch.Seconds)*time.Second {
			return errUnhealthy
		}
		time.Sleep(200 * time.Millisecond)
	}
}

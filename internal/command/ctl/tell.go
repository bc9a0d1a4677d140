package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"curlewreach/internal/listedcore"
	"curlewreach/proto/wire"
)

func (a *args) state(ctx context.Context, client *listedcore.Client) error {
	answered := 0
	for controller, one := range client.EachController() {
		reply, err := one.State(ctx)
		if err != nil {
			fmt.Printf("%s did not reply\n", controller)
			continue
		}
		answered++
		if a.JSON {
			if err := printProto(reply); err != nil {
				return err
			}
			continue
		}
		fmt.Printf("%s %s, serial %d, staged %d, learner %s\n", reply.Keel, reply.Phase, reply.Committed, reply.Staged, reply.Learner)
		for _, key := range reply.Keys {
			sick := ""
			if key.Sick {
				sick = " under repair"
			}
			fmt.Printf("  %-12s owner %-20s epoch %-4d change %d%s\n", key.Key, key.Owner, key.Epoch, key.Serial, sick)
		}
	}
	if answered == 0 {
		return listedcore.ErrNoController
	}
	return nil
}

func tellWhy(reply *wire.ToldReply) {
	type line struct {
		at   int64
		text string
	}
	var lines []line
	for _, each := range reply.Told {
		for _, event := range each.Happenings {
			at := time.UnixMicro(event.AtUs).UTC().Format("15:04:05.000000")
			lines = append(lines, line{event.AtUs, fmt.Sprintf("%s %-10s %-18s %s", at, each.Node, event.Topic, event.Detail)})
		}
	}
	slices.SortFunc(lines, func(a, b line) int { return int(a.at - b.at) })
	for _, each := range lines {
		fmt.Println(each.text)
	}
	if len(lines) == 0 {
		fmt.Println("no node remembers it")
	}
	tellSilent(reply)
}

func tellShares(reply *wire.ToldReply) {
	fmt.Printf("%-16s %-16s %-10s %s\n", "NODE", "GROUP", "CARRIED", "WATCHED")
	carried, watched := map[string]uint64{}, map[string]uint64{}
	for _, each := range reply.Told {
		for _, group := range slices.Sorted(maps.Keys(each.Watched)) {
			fmt.Printf("%-16s %-16s %-10d %d\n", each.Node, group, each.Carried[group], each.Watched[group])
			carried[group] += each.Carried[group]
			watched[group] += each.Watched[group]
		}
	}
	for _, group := range slices.Sorted(maps.Keys(watched)) {
		fmt.Printf("%-16s %-16s %-10d %d\n", "all", group, carried[group], watched[group])
	}
	tellSilent(reply)
}

func tellCounts(reply *wire.ToldReply) {
	for _, each := range reply.Told {
		fmt.Println(each.Node, sorted(each.Counts))
	}
	tellSilent(reply)
}

func tellSilent(reply *wire.ToldReply) {
	for _, node := range reply.Silent {
		fmt.Printf("%s did not reply\n", node)
	}
}

func sorted(counts map[string]uint64) string {
	var pairs []string
	for _, topic := range slices.Sorted(maps.Keys(counts)) {
		pairs = append(pairs, fmt.Sprintf("%s=%d", topic, counts[topic]))
	}
	return strings.Join(pairs, " ")
}

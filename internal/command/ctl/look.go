package ctl

import (
	"cmp"
	"context"
	"fmt"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"curlewreach/internal/bundle"
	"curlewreach/internal/listedcore"
	"curlewreach/proto/wire"
)

func (a *args) show(ctx context.Context, client *listedcore.Client) error {
	reply, err := client.Bundle(ctx, a.Show.Serial)
	if err != nil {
		return err
	}
	return printProto(reply.Bundle)
}

func (a *args) diff(ctx context.Context, client *listedcore.Client) error {
	before, err := client.Bundle(ctx, a.Diff.Before)
	if err != nil {
		return err
	}
	after, err := client.Bundle(ctx, a.Diff.After)
	if err != nil {
		return err
	}
	fmt.Println(strings.Join(bundle.Diff(before.Bundle, after.Bundle), "\n"))
	return nil
}

func (a *args) holdings(ctx context.Context, client *listedcore.Client) error {
	reply, err := client.Holdings(ctx)
	return a.table(reply, err, func() {
		fmt.Printf("newest serial %d\n", reply.Serial)
		t := tableOf("NODE", "SERIAL", "ODDS", "STANDING")
		for _, each := range reply.Holdings {
			t.add(each.Node, each.Serial, each.Odds, each.Standing)
		}
		t.print(a.Sort, a.Filter)
		for _, silent := range reply.Silent {
			fmt.Printf("%-16s did not reply\n", silent)
		}
	})
}

func (a *args) nodes(ctx context.Context, client *listedcore.Client) error {
	reply, err := client.Nodes(ctx)
	return a.table(reply, err, func() {
		t := tableOf("NODE", "ZONE", "KIND", "STANDING", "SILENT", "UPSTREAMS")
		for _, each := range reply.Sightings {
			kind := "node"
			if each.Roster.Core {
				kind = "controller"
			}
			var seats []string
			for _, seat := range each.Roster.Seats {
				seats = append(seats, seat.Service+"@"+seat.Address)
			}
			t.add(each.Roster.Node, each.Roster.Zone, kind, each.Standing, human(each.SilenceUs), strings.Join(seats, " "))
		}
		t.print(a.Sort, a.Filter)
	})
}

func (a *args) trace(ctx context.Context, client *listedcore.Client) error {
	reply, err := client.Trace(ctx, a.Trace.ID)
	return a.table(reply, err, func() {
		sort.Slice(reply.Spans, func(i, j int) bool { return reply.Spans[i].StartedUs < reply.Spans[j].StartedUs })
		t := tableOf("SPAN", "PARENT", "SIDE", "IDENTIFIER", "TOOK", "SELF", "STATUS", "NODE", "STATE")
		for _, span := range reply.Spans {
			t.add(span.Id, span.Parent, cmp.Or(span.Side, "far"), span.Service+"/"+span.Route, human(span.DurationUs), human(span.SelfUs), span.Status, span.Node, strings.TrimSpace(span.Tags["state"]+" "+span.Tags["kind"]))
		}
		t.print(a.Sort, a.Filter)
	})
}

func (a *args) tellOdds(reply *wire.Learning) {
	sort.Slice(reply.Beliefs, func(i, j int) bool { return reply.Beliefs[i].Utility > reply.Beliefs[j].Utility })
	fmt.Printf("cycle %d, learner %s\n", reply.Cycle, reply.Holder)
	t := tableOf("IDENTIFIER", "UTILITY", "MEAN", "CONFIDENCE", "ODDS", "SPANS")
	for _, each := range reply.Beliefs {
		t.add(each.Identifier, fmt.Sprintf("%.0f", each.Utility), fmt.Sprintf("%.3f", each.Alpha/(each.Alpha+each.Beta)), fmt.Sprintf("%.1f", each.Alpha+each.Beta), fmt.Sprintf("%.3f", each.Odds), each.Samples)
	}
	t.print(a.Sort, a.Filter)
	for _, each := range reply.Correlations {
		fmt.Printf("%-32s %s goes with latency, r = %.2f over %d spans\n", each.Identifier, each.Tag, each.R, each.Spans)
	}
}

func (a *args) table(reply proto.Message, err error, text func()) error {
	if err != nil {
		return err
	}
	if a.JSON {
		return printProto(reply)
	}
	text()
	return nil
}

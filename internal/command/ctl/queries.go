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

// show prints a bundle as JSON.
func (a *args) show(ctx context.Context, client *listedcore.Client) error {
	reply, err := client.Bundle(ctx, a.Show.Serial)
	if err != nil {
		return err
	}
	return printProto(reply.Bundle)
}

// diff prints the differences between the bundles of two serials.
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

// holdings prints the serial that each node uses.
func (a *args) holdings(ctx context.Context, client *listedcore.Client) error {
	reply, err := client.Holdings(ctx)
	return a.printReply(reply, err, func() {
		fmt.Printf("newest serial %d\n", reply.Serial)
		t := newTable("NODE", "SERIAL", "ODDS", "STANDING")
		for _, each := range reply.Holdings {
			t.add(each.Node, each.Serial, each.Odds, each.Standing)
		}
		t.print(a.Sort, a.Filter)
		for _, silent := range reply.Silent {
			fmt.Printf("%-16s did not reply\n", silent)
		}
	})
}

// nodes prints the machines as a controller sees them.
func (a *args) nodes(ctx context.Context, client *listedcore.Client) error {
	reply, err := client.Nodes(ctx)
	return a.printReply(reply, err, func() {
		t := newTable("NODE", "ZONE", "KIND", "STANDING", "SILENT", "UPSTREAMS")
		for _, each := range reply.Sightings {
			kind := "node"
			if each.Roster.Core {
				kind = "controller"
			}
			var upstreams []string
			for _, upstream := range each.Roster.Seats {
				upstreams = append(upstreams, upstream.Service+"@"+upstream.Address)
			}
			t.add(each.Roster.Node, each.Roster.Zone, kind, each.Standing, formatMicros(each.SilenceUs), strings.Join(upstreams, " "))
		}
		t.print(a.Sort, a.Filter)
	})
}

// trace prints the spans of a trace by start time.
func (a *args) trace(ctx context.Context, client *listedcore.Client) error {
	reply, err := client.Trace(ctx, a.Trace.ID)
	return a.printReply(reply, err, func() {
		sort.Slice(reply.Spans, func(i, j int) bool { return reply.Spans[i].StartedUs < reply.Spans[j].StartedUs })
		t := newTable("SPAN", "PARENT", "SIDE", "IDENTIFIER", "TOOK", "SELF", "STATUS", "NODE", "STATE")
		for _, span := range reply.Spans {
			t.add(span.Id, span.Parent, cmp.Or(span.Side, "far"), span.Service+"/"+span.Route, formatMicros(span.DurationUs), formatMicros(span.SelfUs), span.Status, span.Node, strings.TrimSpace(span.Tags["state"]+" "+span.Tags["kind"]))
		}
		t.print(a.Sort, a.Filter)
	})
}

// printOdds prints the learned sampling odds by falling utility, and the tags that correlate
// with latency.
func (a *args) printOdds(reply *wire.Learning) {
	sort.Slice(reply.Beliefs, func(i, j int) bool { return reply.Beliefs[i].Utility > reply.Beliefs[j].Utility })
	fmt.Printf("cycle %d, learner %s\n", reply.Cycle, reply.Holder)
	t := newTable("IDENTIFIER", "UTILITY", "MEAN", "CONFIDENCE", "ODDS", "SPANS")
	for _, each := range reply.Beliefs {
		t.add(each.Identifier, fmt.Sprintf("%.0f", each.Utility), fmt.Sprintf("%.3f", each.Alpha/(each.Alpha+each.Beta)), fmt.Sprintf("%.1f", each.Alpha+each.Beta), fmt.Sprintf("%.3f", each.Odds), each.Samples)
	}
	t.print(a.Sort, a.Filter)
	for _, each := range reply.Correlations {
		fmt.Printf("%-32s %s goes with latency, r = %.2f over %d spans\n", each.Identifier, each.Tag, each.R, each.Spans)
	}
}

// printReply prints a reply as JSON if JSON was asked for, else by calling text. It passes an
// error on.
func (a *args) printReply(reply proto.Message, err error, text func()) error {
	if err != nil {
		return err
	}
	if a.JSON {
		return printProto(reply)
	}
	text()
	return nil
}

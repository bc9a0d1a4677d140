// Package ctl is the operators' command: it makes keys, drafts and signs bundles,
// submits them, and shows what a fleet is doing.
package ctl

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"curlewreach/internal/listedcore"
)

// Main runs the command with the arguments of the process.
func Main() {
	var a args
	parser := arg.MustParse(&a)
	if parser.Subcommand() == nil {
		parser.WriteHelp(os.Stderr)
		os.Exit(2)
	}
	if a.Open != nil && a.Open.empty() {
		parser.WriteHelpForSubcommand(os.Stderr, "open")
		os.Exit(2)
	}
	ask := a.once
	if a.Shell != nil {
		ask = a.shell
	}
	if err := ask(); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(exitCode(err))
	}
}

func (a *args) controllers() []string {
	return strings.FieldsFunc(a.Controllers, func(r rune) bool { return r == ',' })
}

func (a *args) once() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return a.run(ctx)
}

func (a *args) run(ctx context.Context) error {
	client := &listedcore.Client{HTTPClient: http.DefaultClient, Controllers: a.controllers()}
	if known, err := a.operate(ctx, client); known {
		return err
	}
	return a.look(ctx, client)
}

// operate runs the commands that make keys and drafts or change the fleet. It
// reports whether the command is one of them.
func (a *args) operate(ctx context.Context, client *listedcore.Client) (known bool, err error) {
	switch {
	case a.Keygen != nil:
		return true, a.Keygen.run()
	case a.Draft != nil:
		return true, a.Draft.run(ctx, client)
	case a.Sign != nil:
		return true, a.Sign.run()
	case a.Submit != nil:
		return true, a.submit(ctx, client)
	case a.Apply != nil:
		return true, a.apply(ctx, client)
	case a.Adopt != nil:
		return true, a.adopt(ctx, client)
	}
	return false, nil
}

// look runs the commands that change nothing.
func (a *args) look(ctx context.Context, client *listedcore.Client) error {
	switch {
	case a.Status != nil:
		return a.outcome(client.Status(ctx, a.Status.ID))
	case a.Show != nil:
		return a.show(ctx, client)
	case a.Diff != nil:
		return a.diff(ctx, client)
	case a.Holdings != nil:
		return a.holdings(ctx, client)
	case a.Nodes != nil:
		return a.nodes(ctx, client)
	case a.Odds != nil:
		reply, err := client.Odds(ctx)
		return a.table(reply, err, func() { a.tellOdds(reply) })
	case a.State != nil:
		return a.state(ctx, client)
	case a.Why != nil:
		reply, err := client.QueryJournals(ctx, a.Why.ID)
		return a.table(reply, err, func() { tellWhy(reply) })
	case a.Shares != nil:
		reply, err := client.QueryJournals(ctx, "")
		return a.table(reply, err, func() { tellShares(reply) })
	case a.Counts != nil:
		reply, err := client.QueryJournals(ctx, "")
		return a.table(reply, err, func() { tellCounts(reply) })
	case a.Wrong != nil:
		return a.wrong(ctx, client)
	case a.Open != nil:
		return a.open(ctx, client)
	case a.Watch != nil:
		return a.watch(ctx, client)
	case a.Place != nil:
		return a.place()
	case a.Trace != nil:
		return a.trace(ctx, client)
	}
	return nil
}

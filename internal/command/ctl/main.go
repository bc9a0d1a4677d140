// Package ctl implements the operators' command. It generates keys, drafts, signs and
// submits bundles, and shows the state of a fleet.
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

// Main runs the command with the process's arguments and exits with one of the exit codes of
// this package.
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
	run := a.runOnce
	if a.Shell != nil {
		run = a.shell
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(exitCode(err))
	}
}

// controllers returns the addresses given with --controllers.
func (a *args) controllers() []string {
	return strings.FieldsFunc(a.Controllers, func(r rune) bool { return r == ',' })
}

// runOnce runs the subcommand with a timeout of 10 s.
func (a *args) runOnce() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return a.run(ctx)
}

// run runs the subcommand.
func (a *args) run(ctx context.Context) error {
	client := &listedcore.Client{HTTPClient: http.DefaultClient, Controllers: a.controllers()}
	if known, err := a.runWriteCommand(ctx, client); known {
		return err
	}
	return a.runReadCommand(ctx, client)
}

// runWriteCommand runs the subcommands that create keys or drafts or change the fleet. It
// reports whether the subcommand is one of them.
func (a *args) runWriteCommand(ctx context.Context, client *listedcore.Client) (known bool, err error) {
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

// runReadCommand runs the subcommands that change nothing.
func (a *args) runReadCommand(ctx context.Context, client *listedcore.Client) error {
	switch {
	case a.Status != nil:
		return a.printOutcome(client.Status(ctx, a.Status.ID))
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
		return a.printReply(reply, err, func() { a.printOdds(reply) })
	case a.State != nil:
		return a.state(ctx, client)
	case a.Why != nil:
		reply, err := client.QueryJournals(ctx, a.Why.ID)
		return a.printReply(reply, err, func() { printEvents(reply) })
	case a.Shares != nil:
		reply, err := client.QueryJournals(ctx, "")
		return a.printReply(reply, err, func() { printShares(reply) })
	case a.Counts != nil:
		reply, err := client.QueryJournals(ctx, "")
		return a.printReply(reply, err, func() { printCounts(reply) })
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

// Command quiz is the operators' shell: it makes keys, drafts and signs bundles,
// hands them in, and shows what a fleet is doing.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"curlewreach/helm"
)

func main() {
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
		fmt.Fprintln(os.Stderr, "quiz:", err)
		os.Exit(exitCode(err))
	}
}

func (a *args) keels() []string {
	return strings.FieldsFunc(a.Keels, func(r rune) bool { return r == ',' })
}

func (a *args) once() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return a.run(ctx)
}

func (a *args) run(ctx context.Context) error {
	clerk := &helm.Clerk{Web: http.DefaultClient, Keels: a.keels()}
	if known, err := a.operate(ctx, clerk); known {
		return err
	}
	return a.look(ctx, clerk)
}

// operate runs the commands that make keys and drafts or change the fleet. It
// reports whether the command is one of them.
func (a *args) operate(ctx context.Context, clerk *helm.Clerk) (known bool, err error) {
	switch {
	case a.Keygen != nil:
		return true, a.Keygen.run()
	case a.Draft != nil:
		return true, a.Draft.run(ctx, clerk)
	case a.Sign != nil:
		return true, a.Sign.run()
	case a.Submit != nil:
		return true, a.submit(ctx, clerk)
	case a.Apply != nil:
		return true, a.apply(ctx, clerk)
	case a.Adopt != nil:
		return true, a.adopt(ctx, clerk)
	}
	return false, nil
}

// look runs the commands that change nothing.
func (a *args) look(ctx context.Context, clerk *helm.Clerk) error {
	switch {
	case a.Status != nil:
		return a.outcome(clerk.Status(ctx, a.Status.ID))
	case a.Show != nil:
		return a.show(ctx, clerk)
	case a.Diff != nil:
		return a.diff(ctx, clerk)
	case a.Holdings != nil:
		return a.holdings(ctx, clerk)
	case a.Nodes != nil:
		return a.nodes(ctx, clerk)
	case a.Odds != nil:
		reply, err := clerk.Odds(ctx)
		return a.table(reply, err, func() { a.tellOdds(reply) })
	case a.State != nil:
		return a.state(ctx, clerk)
	case a.Why != nil:
		reply, err := clerk.Why(ctx, a.Why.ID)
		return a.table(reply, err, func() { tellWhy(reply) })
	case a.Shares != nil:
		reply, err := clerk.Why(ctx, "")
		return a.table(reply, err, func() { tellShares(reply) })
	case a.Counts != nil:
		reply, err := clerk.Why(ctx, "")
		return a.table(reply, err, func() { tellCounts(reply) })
	case a.Wrong != nil:
		return a.wrong(ctx, clerk)
	case a.Open != nil:
		return a.open(ctx, clerk)
	case a.Watch != nil:
		return a.watch(ctx, clerk)
	case a.Place != nil:
		return a.place()
	case a.Trace != nil:
		return a.trace(ctx, clerk)
	}
	return nil
}

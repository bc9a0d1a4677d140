// Command drill runs a whole fleet on one machine, as processes on loopback, to
// see it work under load and trouble. It is a test tool and the only program
// that starts others.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"curlewreach/base"
	"curlewreach/internal/testing/standin"
)

type args struct {
	Example string  `arg:"--example,required" help:"folder with bundle, seats, habits, plan and change"`
	Bin     string  `arg:"--bin" default:"bin" help:"folder with vane, keel and mime"`
	Folder  string  `arg:"--folder" help:"where params, data and logs go; a temporary one when left out"`
	Seconds int     `arg:"--seconds" default:"20"`
	Rate    float64 `arg:"--rate" default:"200" help:"requests a second over the whole fleet"`
	Smoke   bool    `arg:"--smoke" help:"judge safety and that most calls are answered, for slow machines"`
	Hold    bool    `arg:"--hold" help:"start the fleet, print where it is, and wait for a signal"`
	Trouble string  `arg:"--trouble" default:"none" help:"what to cause midway; 'list' names them"`
	Old     string  `arg:"--old" help:"folder with an earlier version's vane and keel; every second machine starts with it"`
	Seed    uint64  `arg:"--seed" default:"1" help:"seed of the visitors"`
	Log     string  `arg:"--log" default:"info" help:"log level of the fleet's processes"`
}

func (args) Version() string { return "drill " + base.Version }

func (args) Description() string {
	return "runs a whole fleet on this machine; a test tool, so it starts processes; 'drill open' runs an open fleet, 'drill replace' replaces its control machines"
}

func main() {
	if len(os.Args) > 1 {
		switch os.Args[1] {
		case openWord:
			end(openMain(os.Args[2:]))
		case replaceWord:
			end(replaceMain(os.Args[2:]))
		case openKeel:
			end(openKeelMain(os.Args[2]))
		case openNode:
			end(openNodeMain(os.Args[2]))
		}
	}
	var a args
	arg.MustParse(&a)
	if a.Trouble == "list" {
		fmt.Println(troubleNames())
		return
	}
	if troubles[a.Trouble] == nil {
		fmt.Fprintln(os.Stderr, "drill: --trouble is one of", troubleNames())
		os.Exit(2)
	}
	end(run(a))
}

func end(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

func run(a args) error {
	if a.Folder == "" {
		folder, err := os.MkdirTemp("", "drill")
		if err != nil {
			return err
		}
		defer os.RemoveAll(folder)
		a.Folder = folder
	}
	s, err := base.NewScope("drill", "drill", a.Folder, "warn")
	if err != nil {
		return err
	}
	s.Clock = standin.MachineClock()
	s.Rand = base.SeededRand(a.Seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s = s.WithContext(ctx)
	fleet, err := raise(s, a)
	if err != nil {
		return err
	}
	defer fleet.fell()
	if a.Hold {
		fmt.Printf("keels %s\nvisitors %s\nkey %s\nfolder %s\n", fleet.operators(), fleet.vanes[0].at(visitorsPort), fleet.keyFile, a.Folder)
		base.Signals(func() {}, func() {})
		return nil
	}
	summary, err := fleet.day(s, time.Duration(a.Seconds)*time.Second, a.Rate)
	if err != nil {
		return err
	}
	body, err := json.MarshalIndent(summary, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(body))
	for _, verdict := range summary.verdicts {
		fmt.Println(verdict)
	}
	return summary.verdict(a.Smoke || a.Trouble != "none")
}

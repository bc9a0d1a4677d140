// Package simulate is the command that runs a whole fleet on one machine, as
// processes on loopback, to see it work under load and trouble. It is a test tool
// and the only command that starts processes.
package simulate

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"curlewreach/base"
	"curlewreach/internal/random"
	"curlewreach/internal/testing/standin"
)

const program = "curlew simulate"

// curlew is the file name of the program that the fleet's processes run.
const curlew = "curlew"

type args struct {
	Example string  `arg:"--example,required" help:"folder with bundle, seats, habits, plan and change"`
	Bin     string  `arg:"--bin" default:"bin" help:"folder with curlew"`
	Folder  string  `arg:"--folder" help:"where params, data and logs go; a temporary one when left out"`
	Seconds int     `arg:"--seconds" default:"20"`
	Rate    float64 `arg:"--rate" default:"200" help:"requests a second over the whole fleet"`
	Smoke   bool    `arg:"--smoke" help:"judge safety and that most calls are answered, for slow machines"`
	Hold    bool    `arg:"--hold" help:"start the fleet, print where it is, and wait for a signal"`
	Trouble string  `arg:"--trouble" default:"none" help:"what to cause midway; 'list' names them"`
	Old     string  `arg:"--old" help:"folder with an earlier version's curlew; every second machine starts with it"`
	Seed    uint64  `arg:"--seed" default:"1" help:"seed of the visitors"`
	Log     string  `arg:"--log" default:"info" help:"log level of the fleet's processes"`
}

func (args) Version() string { return program + " " + base.Version }

func (args) Description() string {
	return "runs a whole fleet on this machine; a test tool, so it starts processes; 'simulate open' runs an open fleet, 'simulate replace' replaces its control machines"
}

// Main runs the command with the arguments of the process.
func Main() {
	if len(os.Args) > 1 {
		switch os.Args[1] {
		case openWord:
			end(openMain(os.Args[2:]))
		case replaceWord:
			end(replaceMain(os.Args[2:]))
		case openController:
			end(openControllerMain(os.Args[2]))
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
		fmt.Fprintln(os.Stderr, program+": --trouble is one of", troubleNames())
		os.Exit(2)
	}
	end(run(a))
}

func end(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(1)
	}
	os.Exit(0)
}

func run(a args) error {
	if a.Folder == "" {
		folder, err := os.MkdirTemp("", "curlew-simulate")
		if err != nil {
			return err
		}
		defer os.RemoveAll(folder)
		a.Folder = folder
	}
	s, err := base.NewScope(program, "simulate", a.Folder, "warn")
	if err != nil {
		return err
	}
	s.Clock = standin.MachineClock()
	s.Rand = random.Seeded(a.Seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s = s.WithContext(ctx)
	fleet, err := startFleet(s, a)
	if err != nil {
		return err
	}
	defer fleet.end()
	if a.Hold {
		fmt.Printf("controllers %s\nvisitors %s\nkey %s\nfolder %s\n", fleet.operators(), fleet.nodes[0].at(clientsPort), fleet.keyFile, a.Folder)
		base.HandleSignals(func() {}, func() {})
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

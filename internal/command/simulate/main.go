// Package simulate implements the command that runs a complete fleet on one machine, as
// processes on loopback, to test it under load and faults. It is a test tool and the
// only command that starts processes.
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

// programFile is the file name of the program that the fleet's processes run.
const programFile = "curlew"

// args are the options of the command.
type args struct {
	Example string  `arg:"--example,required" help:"folder with bundle.json, seats.json, habits.json, plan.json and change.json"`
	Bin     string  `arg:"--bin" default:"bin" help:"folder of the curlew program"`
	Folder  string  `arg:"--folder" help:"folder for params, data and logs; a temporary one if left out"`
	Seconds int     `arg:"--seconds" default:"20" help:"how long clients send requests; longer if faults need time to recover from"`
	Rate    float64 `arg:"--rate" default:"200" help:"requests per second over the whole fleet"`
	Smoke   bool    `arg:"--smoke" help:"for slow machines: check safety, and that at least half of the requests succeed"`
	Hold    bool    `arg:"--hold" help:"start the fleet, print its addresses, and wait for a signal"`
	Trouble string  `arg:"--trouble" default:"none" help:"faults to inject midway; 'list' prints the choices"`
	Old     string  `arg:"--old" help:"folder of an older curlew program; every second machine starts with it"`
	Seed    uint64  `arg:"--seed" default:"1" help:"seed of the random numbers"`
	Log     string  `arg:"--log" default:"info" help:"log level of the fleet's processes"`
}

func (args) Version() string { return program + " " + base.Version }

func (args) Description() string {
	return "runs a complete fleet on this machine, in processes of its own, to test it; 'simulate open' runs an open fleet, 'simulate replace' replaces its control machines"
}

// Main runs the command with the process's arguments.
func Main() {
	if len(os.Args) > 1 {
		switch os.Args[1] {
		case openSubcommand:
			exit(openMain(os.Args[2:]))
		case replaceSubcommand:
			exit(replaceMain(os.Args[2:]))
		case openControllerSubcommand:
			exit(openControllerMain(os.Args[2]))
		case openNodeSubcommand:
			exit(openNodeMain(os.Args[2]))
		}
	}
	var a args
	arg.MustParse(&a)
	if a.Trouble == "list" {
		fmt.Println(faultScenarioNames())
		return
	}
	if faultScenarios[a.Trouble] == nil {
		fmt.Fprintln(os.Stderr, program+": --trouble is one of", faultScenarioNames())
		os.Exit(2)
	}
	exit(run(a))
}

// exit ends the process, with code 1 if there is an error.
func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(1)
	}
	os.Exit(0)
}

// run starts the fleet, sends requests to it, and prints a summary and the verdicts.
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
	defer fleet.killAll()
	if a.Hold {
		fmt.Printf("controllers %s\nvisitors %s\nkey %s\nfolder %s\n", fleet.operators(), fleet.nodes[0].address(clientsPort), fleet.keyFile, a.Folder)
		base.HandleSignals(func() {}, func() {})
		return nil
	}
	summary, err := fleet.runTraffic(s, time.Duration(a.Seconds)*time.Second, a.Rate)
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
	return summary.check(a.Smoke || a.Trouble != "none")
}

// Package standins is the command that stands in for an instance or for clients,
// to try a fleet.
package standins

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"curlewreach/base"
	"curlewreach/internal/testing/judge"
	"curlewreach/internal/testing/standin"
)

const program = "curlew standin"

type upstream struct {
	Service  string `arg:"required"`
	Address  string `arg:"required" help:"IP:port to listen on"`
	Reports  string `arg:"required" help:"IP:port where the node takes its instances' reports"`
	Zone     string `arg:"required"`
	Capacity int    `default:"16"`
	Habits   string `help:"JSON file: how each path prefix behaves"`
	Runs     string `help:"file to which each run is appended as a JSON line"`
}

type visitors struct {
	Name    string  `default:"visitor"`
	To      string  `arg:"required" help:"IP:port where the node takes clients' requests"`
	Rate    float64 `default:"10" help:"requests a second"`
	Seconds int     `default:"10"`
	Plan    string  `arg:"required" help:"JSON file: which requests to make"`
}

type args struct {
	Upstream *upstream `arg:"subcommand:upstream" help:"stand in for a back end"`
	Visitors *visitors `arg:"subcommand:visitors" help:"stand in for callers"`
}

func (args) Version() string { return program + " " + base.Version }

// Main runs the command with the arguments of the process.
func Main() {
	var a args
	parser := arg.MustParse(&a)
	folder, err := os.MkdirTemp("", "curlew-standin")
	if err != nil {
		base.ExitWithParamErrors(program, err)
	}
	defer os.RemoveAll(folder)
	s, err := base.NewScope(program, "standin", folder, "warn")
	if err != nil {
		base.ExitWithParamErrors(program, err)
	}
	s.Clock = standin.MachineClock()
	switch {
	case a.Upstream != nil:
		err = a.Upstream.run(s)
	case a.Visitors != nil:
		err = a.Visitors.run(s)
	default:
		parser.WriteHelp(os.Stderr)
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(1)
	}
}

func read(file string, into any) error {
	if file == "" {
		return nil
	}
	body, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}

func (u *upstream) run(s base.Scope) error {
	stand := &standin.Upstream{Scope: s, Service: u.Service, Address: u.Address, Zone: u.Zone, Capacity: u.Capacity, NodeAddress: u.Reports}
	if err := read(u.Habits, &stand.Behaviors); err != nil {
		return err
	}
	if u.Runs != "" {
		file, err := os.OpenFile(u.Runs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		stand.History = judge.NewHistory(s.Clock)
		stand.History.RunLog = file
	}
	if err := stand.Start(500 * time.Millisecond); err != nil {
		return err
	}
	base.HandleSignals(func() {
		stand.AnnounceLeaving()
		base.Await(s, 2*time.Second)
		stand.Kill()
	}, func() {})
	return nil
}

func (v *visitors) run(s base.Scope) error {
	history := judge.NewHistory(s.Clock)
	stand := &standin.Clients{Scope: s, Name: v.Name, NodeAddress: v.To, Rate: v.Rate, History: history}
	if err := read(v.Plan, &stand.Plan); err != nil {
		return err
	}
	bounded, cancel := s.WithTimeout(time.Duration(v.Seconds) * time.Second)
	defer cancel()
	stand.Run(bounded)
	return json.NewEncoder(os.Stdout).Encode(history.Calls())
}

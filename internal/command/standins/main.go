// Package standins implements the command that stands in for an upstream instance or for
// clients, to test a fleet.
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

// upstreamArgs are the options of 'upstream'. go-arg derives the flags from the field names.
type upstreamArgs struct {
	Service  string `arg:"required" help:"service of the instance"`
	Address  string `arg:"required" help:"IP:port to listen on"`
	Reports  string `arg:"required" help:"IP:port at which the node receives reports from its instances"`
	Zone     string `arg:"required" help:"zone of the instance"`
	Capacity int    `default:"16" help:"how many requests the instance can serve at once"`
	Habits   string `help:"JSON file with the behavior of each path prefix"`
	Runs     string `help:"file to append a JSON line to for each request that was run"`
}

// clientsArgs are the options of 'visitors'. go-arg derives the flags from the field names.
type clientsArgs struct {
	Name    string  `default:"visitor" help:"prefix of the request IDs"`
	To      string  `arg:"required" help:"IP:port at which the node serves clients"`
	Rate    float64 `default:"10" help:"requests per second"`
	Seconds int     `default:"10" help:"how long to send requests"`
	Plan    string  `arg:"required" help:"JSON file with the requests to send"`
}

// args are the subcommands of the command.
type args struct {
	Upstream *upstreamArgs `arg:"subcommand:upstream" help:"stand in for an upstream instance"`
	Visitors *clientsArgs  `arg:"subcommand:visitors" help:"stand in for clients"`
}

func (args) Version() string { return program + " " + base.Version }

// Main runs the command with the process's arguments.
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

// readJSON decodes a file; without a file name it leaves into as it is.
func readJSON(file string, into any) error {
	if file == "" {
		return nil
	}
	body, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}

// run serves requests and reports to the node until a signal. It then reports that it is
// leaving, and ends 2 s later.
func (u *upstreamArgs) run(s base.Scope) error {
	standIn := &standin.Upstream{Scope: s, Service: u.Service, Address: u.Address, Zone: u.Zone, Capacity: u.Capacity, NodeAddress: u.Reports}
	if err := readJSON(u.Habits, &standIn.Behaviors); err != nil {
		return err
	}
	if u.Runs != "" {
		file, err := os.OpenFile(u.Runs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		standIn.History = judge.NewHistory(s.Clock)
		standIn.History.RunLog = file
	}
	if err := standIn.Start(500 * time.Millisecond); err != nil {
		return err
	}
	base.HandleSignals(func() {
		standIn.AnnounceLeaving()
		base.Await(s, 2*time.Second)
		standIn.Kill()
	}, func() {})
	return nil
}

// run sends requests and prints the results as JSON.
func (c *clientsArgs) run(s base.Scope) error {
	history := judge.NewHistory(s.Clock)
	standIn := &standin.Clients{Scope: s, Name: c.Name, NodeAddress: c.To, Rate: c.Rate, History: history}
	if err := readJSON(c.Plan, &standIn.Plan); err != nil {
		return err
	}
	bounded, cancel := s.WithTimeout(time.Duration(c.Seconds) * time.Second)
	defer cancel()
	standIn.Run(bounded)
	return json.NewEncoder(os.Stdout).Encode(history.Calls())
}

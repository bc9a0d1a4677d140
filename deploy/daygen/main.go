// Command daygen generates random days for a deployment's site file. A day is a test scenario of planned work and
// faults, which the bench plays. daygen also writes changed copies of site files and summarizes the bench's reports. It
// starts no process; deploy/days/play plays the days that it generates.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

const (
	exitFailure = 1
	exitUsage   = 2
	// exitBroken is the exit code of 'summary' for a day that broke a rule or ended with a fault.
	exitBroken = 3
)

// dayArgs are the options of 'day'.
type dayArgs struct {
	Site    string   `arg:"--site,required" help:"site file to generate the day for"`
	Seed    uint64   `arg:"--seed,required" help:"seed of the random numbers; the same seed and options give the same day"`
	Stress  Stress   `arg:"--stress" default:"none" help:"which side of the system to stress: none, control, requests or config"`
	Without []string `arg:"--without" help:"kinds of events to leave out"`
	Only    []string `arg:"--only" help:"the only kinds of events to draw"`
	Entries int      `arg:"--entries" help:"number of draws; 4 to 9 if left out"`
	Out     string   `arg:"--out" help:"day file to write; standard output if left out"`
}

// siteArgs are the options of 'site'. Options that are left out leave the site file's values as they are.
type siteArgs struct {
	Site        string           `arg:"--site,required" help:"site file to copy"`
	Out         string           `arg:"--out,required" help:"folder to write the copy to"`
	LengthS     float64          `arg:"--length-s" help:"length of the traffic in seconds"`
	CoreCount   int              `arg:"--cores" help:"total number of core machines"`
	Tolerate    int              `arg:"--tolerate" help:"number of core machines that may be lost at once"`
	CrossZoneMs float64          `arg:"--cross-zone-ms" help:"network delay between zones in milliseconds"`
	CPUFactor   float64          `arg:"--cpu-factor" help:"factor for the processor share of each machine, such as 0.5"`
	LagMs       int64            `arg:"--lag-ms" help:"delay of the discovery list in milliseconds"`
	BeatMs      int64            `arg:"--beat-ms" help:"interval between an upstream's heartbeats in milliseconds"`
	Contracts   []string         `arg:"--contracts" help:"contracts in force"`
	Bounds      map[string]int64 `arg:"--bounds" help:"bounds to replace, as name=value"`
}

// summaryArgs are the options of 'summary'.
type summaryArgs struct {
	Report string `arg:"--report,required" help:"the bench's report on one day"`
	Name   string `arg:"--name,required" help:"name at the start of the line"`
}

// args are the subcommands of daygen.
type args struct {
	Day     *dayArgs     `arg:"subcommand:day" help:"generate a day file"`
	Site    *siteArgs    `arg:"subcommand:site" help:"write a changed copy of a site file"`
	Summary *summaryArgs `arg:"subcommand:summary" help:"print a line about a played day; exits with 3 if it broke a rule"`
}

func (args) Description() string {
	return "generates random days of planned work and faults for a site file, copies site files with changes, summarizes reports on days"
}

func main() {
	var settings args
	parser := arg.MustParse(&settings)
	if parser.Subcommand() == nil {
		parser.Fail("name a subcommand: day, site or summary")
	}
	if problems := settings.problems(); len(problems) > 0 {
		fmt.Fprintln(os.Stderr, "daygen:", strings.Join(problems, "; "))
		os.Exit(exitUsage)
	}
	code, err := settings.run(os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "daygen:", err)
	}
	os.Exit(code)
}

// problems returns everything that is wrong with the options, so that all of it is reported at once.
func (a args) problems() []string {
	switch {
	case a.Day != nil:
		return a.Day.problems()
	case a.Site != nil:
		return a.Site.problems()
	default:
		return nil
	}
}

func (a dayArgs) problems() []string {
	var problems []string
	if !slices.Contains(stresses, a.Stress) {
		problems = append(problems, fmt.Sprintf("--stress is one of %v, not %q", stresses, a.Stress))
	}
	for _, name := range slices.Concat(a.Without, a.Only) {
		if !slices.ContainsFunc(catalogue, func(kind Kind) bool { return kind.Name == name }) {
			problems = append(problems, fmt.Sprintf("there is no kind of event %q", name))
		}
	}
	if a.Entries < 0 {
		problems = append(problems, "--entries can't be below 0")
	}
	return problems
}

func (a siteArgs) problems() []string {
	var problems []string
	numbers := []struct {
		name  string
		value float64
	}{
		{"--length-s", a.LengthS},
		{"--cores", float64(a.CoreCount)},
		{"--tolerate", float64(a.Tolerate)},
		{"--cross-zone-ms", a.CrossZoneMs},
		{"--cpu-factor", a.CPUFactor},
		{"--lag-ms", float64(a.LagMs)},
		{"--beat-ms", float64(a.BeatMs)},
	}
	for _, number := range numbers {
		if number.value < 0 {
			problems = append(problems, number.name+" can't be below 0")
		}
	}
	if a.CoreCount > 0 && a.Tolerate > 0 && 2*a.Tolerate >= a.CoreCount {
		problems = append(problems, "--tolerate must leave a majority of --cores")
	}
	return problems
}

// run runs the subcommand and returns the exit code.
func (a args) run(out io.Writer) (int, error) {
	switch {
	case a.Day != nil:
		return a.Day.run(out)
	case a.Site != nil:
		return a.Site.run(out)
	default:
		return a.Summary.run(out)
	}
}

func (a dayArgs) run(out io.Writer) (int, error) {
	site, err := ReadSite(a.Site)
	if err != nil {
		return exitFailure, err
	}
	day, err := DrawDay(site, DrawSettings{Seed: a.Seed, Stress: a.Stress, Without: a.Without, Only: a.Only, Entries: a.Entries})
	if err != nil {
		return exitFailure, err
	}
	if a.Out != "" {
		err = os.WriteFile(a.Out, []byte(day.TOML()), 0o644)
	} else {
		_, err = io.WriteString(out, day.TOML())
	}
	if err != nil {
		return exitFailure, errors.Wrap(err, "write the day")
	}
	return 0, nil
}

func (a siteArgs) run(out io.Writer) (int, error) {
	path, err := CopySite(a.Site, a.Out, Variant{
		LengthS: a.LengthS, CoreCount: a.CoreCount, Tolerate: a.Tolerate, CrossZoneMs: a.CrossZoneMs, CPUFactor: a.CPUFactor,
		LagMs: a.LagMs, BeatMs: a.BeatMs, Contracts: a.Contracts, Bounds: a.Bounds,
	})
	if err != nil {
		return exitFailure, err
	}
	fmt.Fprintln(out, path)
	return 0, nil
}

func (a summaryArgs) run(out io.Writer) (int, error) {
	file, err := os.Open(a.Report)
	if err != nil {
		return exitFailure, errors.Wrap(err, "report")
	}
	defer file.Close()
	report, err := ReadReport(file)
	if err != nil {
		return exitFailure, err
	}
	fmt.Fprintln(out, report.Summary(a.Name))
	if report.Broken() {
		return exitBroken, nil
	}
	return 0, nil
}

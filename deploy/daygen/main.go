// Command daygen draws days of trouble for a deployment's site file, writes changed copies of site files,
// and sums up reports on played days. It starts no process; deploy/days/play plays what it draws.
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
	exitBroken  = 3
)

type dayArgs struct {
	Site    string   `arg:"--site,required" help:"site file that the day is drawn for"`
	Seed    uint64   `arg:"--seed,required" help:"the same seed draws the same day"`
	Stress  Stress   `arg:"--stress" default:"none" help:"none, control, requests or config"`
	Without []string `arg:"--without" help:"kinds that aren't drawn"`
	Only    []string `arg:"--only" help:"the only kinds that are drawn"`
	Entries int      `arg:"--entries" help:"how many times a kind is drawn; 4 to 9 when left out"`
	Out     string   `arg:"--out" help:"day file to write; standard output when left out"`
}

type siteArgs struct {
	Site        string           `arg:"--site,required" help:"site file to copy"`
	Out         string           `arg:"--out,required" help:"folder of the copy"`
	LengthS     float64          `arg:"--length-s" help:"seconds of traffic"`
	CoreCount   int              `arg:"--cores" help:"core machines in all"`
	Tolerate    int              `arg:"--tolerate" help:"core machines that may be lost at once"`
	CrossZoneMs float64          `arg:"--cross-zone-ms" help:"delay between zones"`
	CPUFactor   float64          `arg:"--cpu-factor" help:"share of each machine's processor that is left, such as 0.5"`
	LagMs       int64            `arg:"--lag-ms" help:"lag of the discovery list"`
	BeatMs      int64            `arg:"--beat-ms" help:"time between an upstream's beats"`
	Contracts   []string         `arg:"--contracts" help:"contracts in force"`
	Bounds      map[string]int64 `arg:"--bounds" help:"bounds as name=value"`
}

type summaryArgs struct {
	Report string `arg:"--report,required" help:"report of the bench on one day"`
	Name   string `arg:"--name,required" help:"name to begin the line with"`
}

type args struct {
	Day     *dayArgs     `arg:"subcommand:day" help:"draw a day file"`
	Site    *siteArgs    `arg:"subcommand:site" help:"write a changed copy of a site file"`
	Summary *summaryArgs `arg:"subcommand:summary" help:"print a line on a played day; exit code 3 if it broke a rule"`
}

func (args) Description() string {
	return "draws days of trouble for a site file, copies site files with changes, sums up reports on days"
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

// problems lists all that is wrong with the settings.
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
			problems = append(problems, fmt.Sprintf("no kind is called %q", name))
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

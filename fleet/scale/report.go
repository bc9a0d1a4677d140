package scale

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// Result is one point as measured; one that kept no pace has no figures.
type Result struct {
	Driver  string
	X       float64
	Nodes   int
	Tries   int
	Missed  []string           `json:",omitempty"`
	Figures map[string]float64 `json:",omitempty"`
}

// Fit is a straight line through a figure's points; Power is the exponent of the best curve through its logarithms.
type Fit struct {
	Driver string
	Figure string
	Slope  float64
	Base   float64
	Off    float64
	R2     float64
	Power  float64 `json:",omitempty"`
	Points int
}

// Report is a whole run.
type Report struct {
	Command  string
	Settings *Settings
	Began    time.Time
	Took     time.Duration
	Cores    int
	Load     string
	LoadLast string
	Results  []Result
	Fits     []Fit
}

func loadNow() string {
	body, _ := os.ReadFile("/proc/loadavg")
	return strings.TrimSpace(string(body))
}

func newReport(settings *Settings) *Report {
	return &Report{Command: settings.command(), Settings: settings, Began: time.Now().UTC(), Cores: runtime.NumCPU(), Load: loadNow()}
}

func (s *Settings) command() string {
	return fmt.Sprintf("drill scale --drivers %s --nodes %s --upstreams %s --routes %s --changes %s --restarts %s --spans %s --odds %s --at %d --keels %d --real %d --each %d --services %d --table %d --window %d --seed %d",
		s.Drivers, s.Nodes, s.Upstreams, s.Routes, s.Changes, s.Restarts, s.Spans, s.Odds, s.At, s.Keels, s.Real, s.Each, s.Services, s.Table, s.Window, s.Seed)
}

func fit(driver, figure string, xs, ys []float64) Fit {
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	f := Fit{Driver: driver, Figure: figure, Slope: slope, Base: base, R2: stat.RSquared(xs, ys, nil, base, slope), Points: len(xs)}
	for i, x := range xs {
		if ys[i] != 0 {
			f.Off = max(f.Off, math.Abs(base+slope*x-ys[i])/math.Abs(ys[i]))
		}
	}
	var logX, logY []float64
	for i := range xs {
		if xs[i] > 0 && ys[i] > 0 {
			logX, logY = append(logX, math.Log(xs[i])), append(logY, math.Log(ys[i]))
		}
	}
	if len(logX) > 2 {
		_, f.Power = stat.LinearRegression(logX, logY, nil, false)
	}
	for _, each := range []*float64{&f.Slope, &f.Base, &f.Off, &f.R2, &f.Power} {
		if math.IsNaN(*each) || math.IsInf(*each, 0) {
			*each = 0
		}
	}
	return f
}

func (r *Report) series(driver, figure string) (xs, ys []float64) {
	for _, each := range r.Results {
		if value, known := each.Figures[figure]; known && each.Driver == driver {
			xs, ys = append(xs, each.X), append(ys, value)
		}
	}
	return xs, ys
}

func (r *Report) drivers() (all []string) {
	for _, each := range r.Results {
		if !slices.Contains(all, each.Driver) {
			all = append(all, each.Driver)
		}
	}
	return all
}

func (r *Report) figures(driver string) []string {
	all := map[string]float64{}
	for _, each := range r.Results {
		if each.Driver == driver {
			maps.Copy(all, each.Figures)
		}
	}
	return names(all)
}

func (r *Report) fits() {
	r.Fits = nil
	for _, driver := range r.drivers() {
		for _, figure := range r.figures(driver) {
			if xs, ys := r.series(driver, figure); len(xs) > 2 {
				r.Fits = append(r.Fits, fit(driver, figure, xs, ys))
			}
		}
	}
}

func (r *Report) fit(driver, figure string) (Fit, bool) {
	at := slices.IndexFunc(r.Fits, func(f Fit) bool { return f.Driver == driver && f.Figure == figure })
	if at < 0 {
		return Fit{}, false
	}
	return r.Fits[at], true
}

func earlier(paths string) (*Report, error) {
	r := &Report{}
	for path := range strings.SplitSeq(paths, ",") {
		body, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		one := &Report{}
		if err := json.Unmarshal(body, one); err != nil {
			return nil, errors.Wrap(err, path)
		}
		if r.Command != "" {
			one.Command = r.Command + "\n" + one.Command
			one.Took += r.Took
			one.Began, one.Load = r.Began, r.Load
		}
		one.Results = append(r.Results, one.Results...)
		r = one
	}
	order := r.drivers()
	slices.SortStableFunc(r.Results, func(a, b Result) int {
		return cmp.Or(cmp.Compare(slices.Index(order, a.Driver), slices.Index(order, b.Driver)), cmp.Compare(a.X, b.X))
	})
	r.fits()
	return r, nil
}

// Json writes the report whole.
func (r *Report) Json(path string) error {
	body, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(body, '\n'), 0o644)
}

// Text writes a table a driver: a line for each figure, its points and its fit.
func (r *Report) Text(to io.Writer) error {
	out := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(out, "%s\nbegan %s, took %s, %d cores, load %s at first and %s at last\n", r.Command, r.Began.Format(time.RFC3339), r.Took.Round(time.Second), r.Cores, r.Load, r.LoadLast)
	for _, driver := range r.drivers() {
		r.table(out, driver)
	}
	for _, each := range r.Results {
		for _, why := range each.Missed {
			fmt.Fprintf(out, "no figure for %s %g: %s\n", each.Driver, each.X, why)
		}
	}
	return out.Flush()
}

func (r *Report) table(out io.Writer, driver string) {
	fmt.Fprintf(out, "\n%s\t", driver)
	var points []Result
	for _, each := range r.Results {
		if each.Driver == driver && len(each.Missed) == 0 {
			points = append(points, each)
			fmt.Fprintf(out, "%g\t", each.X)
		}
	}
	fmt.Fprint(out, "slope\tbase\toff\tr2\tpower\t\n")
	for _, figure := range r.figures(driver) {
		if slices.ContainsFunc(points, func(each Result) bool { return each.Figures[figure] != 0 }) {
			r.line(out, driver, figure, points)
		}
	}
}

func (r *Report) line(out io.Writer, driver, figure string, points []Result) {
	fmt.Fprintf(out, "%s\t", figure)
	for _, each := range points {
		if value, known := each.Figures[figure]; known {
			fmt.Fprintf(out, "%.4g\t", value)
		} else {
			fmt.Fprint(out, "-\t")
		}
	}
	if f, known := r.fit(driver, figure); known {
		fmt.Fprintf(out, "%.4g\t%.4g\t%.0f%%\t%.3f\t%.2f\t\n", f.Slope, f.Base, 100*f.Off, f.R2, f.Power)
	} else {
		fmt.Fprint(out, "\t\t\t\t\t\n")
	}
}

package scale

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/schollz/progressbar/v3"
)

// Run measures every point, each within what is left of the time.
func Run(ctx context.Context, settings *Settings, spawn Spawn, progress io.Writer) (*Report, error) {
	r := newReport(settings)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(settings.Within)*time.Second)
	defer cancel()
	points := settings.points()
	bar := progressbar.NewOptions(len(points), progressbar.OptionSetWriter(progress), progressbar.OptionShowCount(), progressbar.OptionSetDescription("points"), progressbar.OptionClearOnFinish())
	for i, p := range points {
		bar.Describe(fmt.Sprintf("%s %g", p.driver, p.x))
		result := Result{Driver: p.driver, X: p.x, Nodes: p.nodes}
		for result.Tries < settings.Tries && (result.Tries == 0 || len(result.Missed) > 0) && ctx.Err() == nil {
			result.Tries++
			result.Missed, result.Figures = try(ctx, settings, p, spawn, filepath.Join(settings.Folder, fmt.Sprintf("%02d-%s-%d", i, p.driver, result.Tries)))
		}
		if result.Tries == 0 {
			result.Missed = []string{"the run's time was over"}
		}
		r.Results = append(r.Results, result)
		_ = bar.Add(1)
	}
	_ = bar.Finish()
	r.Took, r.LoadLast = time.Since(r.Began), loadNow()
	r.fits()
	return r, nil
}

func try(ctx context.Context, settings *Settings, p point, spawn Spawn, folder string) (missed []string, figures map[string]float64) {
	defer os.RemoveAll(folder)
	f := &Field{settings: settings, point: p, ctx: ctx, spawn: spawn, folder: folder}
	if err := f.measure(); err != nil {
		f.fault("%s", err)
	}
	if len(f.missed) > 0 {
		return f.missed, nil
	}
	return nil, f.figures
}

// Main is the command; it gives the exit code.
func Main(line []string, spawn Spawn, out, progress io.Writer) int {
	settings := &Settings{tempo: usualTempo}
	parser, err := arg.NewParser(arg.Config{Program: "drill scale"}, settings)
	if err != nil {
		fmt.Fprintln(progress, "drill scale:", err)
		return 1
	}
	switch err := parser.Parse(line); {
	case err == arg.ErrHelp:
		parser.WriteHelp(out)
		return 0
	case err != nil:
		fmt.Fprintln(progress, "drill scale:", err)
		return 2
	}
	if faults := settings.Check(); len(faults) > 0 {
		for _, each := range faults {
			fmt.Fprintln(progress, "drill scale:", each)
		}
		return 2
	}
	if err := perform(settings, spawn, out, progress); err != nil {
		fmt.Fprintln(progress, "drill scale:", err)
		return 1
	}
	return 0
}

func perform(settings *Settings, spawn Spawn, out, progress io.Writer) error {
	if settings.From != "" {
		r, err := earlier(settings.From)
		if err != nil {
			return err
		}
		return r.tell(settings, out)
	}
	if settings.Folder == "" {
		folder, err := os.MkdirTemp("", "scale")
		if err != nil {
			return err
		}
		defer os.RemoveAll(folder)
		settings.Folder = folder
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	r, err := Run(ctx, settings, spawn, progress)
	if err != nil {
		return err
	}
	return r.tell(settings, out)
}

func (r *Report) tell(settings *Settings, out io.Writer) error {
	if settings.Report != "" {
		if err := r.Json(settings.Report); err != nil {
			return err
		}
	}
	if settings.Plots != "" {
		for _, driver := range r.drivers() {
			if err := r.Plot(settings.Plots, driver); err != nil {
				return err
			}
		}
	}
	return r.Text(out)
}

package scale

import (
	"math"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	columns = 3
	wide    = 10 * vg.Centimeter
	high    = 7 * vg.Centimeter
)

var shown = map[string][]string{
	"nodes": {
		"keel.cpu", "keel.out", "keel.memory", "hollow.in", "node.cpu", "node.memory",
		"change.p99.ms", "change.keel.cpu", "change.hollow.in", "one.found.p99.ms", "tenth.rose.hollow.in", "tenth.rose.keel.cpu",
	},
	"upstreams": {"keel.cpu", "keel.memory", "node.memory"},
	"routes":    {"change.p99.ms", "change.keel.cpu", "change.hollow.in", "change.keel.written", "keel.memory", "node.memory"},
	"changes":   {"keel.cpu", "hollow.in", "keel.written"},
	"restarts":  {"keel.cpu", "hollow.in", "node.cpu"},
	"odds":      {"hollow.in", "keel.cpu", "keel.written", "keel.memory", "node.cpu", "node.memory"},
	"spans":     {"keel.cpu", "keel.in", "keel.written", "keel.memory", "hollow.out", "keel.syncs"},
}

// Plot draws a driver's slopes into one SVG.
func (r *Report) Plot(folder, driver string) error {
	var tiles [][]*plot.Plot
	for _, figure := range shown[driver] {
		p, err := r.tile(driver, figure)
		if err != nil {
			return err
		}
		if len(tiles) == 0 || len(tiles[len(tiles)-1]) == columns {
			tiles = append(tiles, nil)
		}
		tiles[len(tiles)-1] = append(tiles[len(tiles)-1], p)
	}
	for last := len(tiles) - 1; len(tiles[last]) < columns; {
		tiles[last] = append(tiles[last], nil)
	}
	canvas := vgsvg.New(columns*wide, vg.Length(len(tiles))*high)
	layout := draw.Tiles{Rows: len(tiles), Cols: columns, PadX: 4 * vg.Millimeter, PadY: 4 * vg.Millimeter, PadTop: 2 * vg.Millimeter, PadRight: 4 * vg.Millimeter}
	cells := plot.Align(tiles, layout, draw.New(canvas))
	for i, row := range tiles {
		for j, p := range row {
			if p != nil {
				p.Draw(cells[i][j])
			}
		}
	}
	return write(canvas, folder, "scale-"+driver+".svg")
}

func write(canvas *vgsvg.Canvas, folder, name string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(folder, name))
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "plot")
	}
	return file.Close()
}

func (r *Report) tile(driver, figure string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = figure, driver
	p.X.Min, p.Y.Min = 0, 0
	p.Add(plotter.NewGrid())
	xs, ys := r.series(driver, figure)
	points := make(plotter.XYs, len(xs))
	for i := range xs {
		points[i].X, points[i].Y = xs[i], ys[i]
	}
	if len(points) == 0 {
		return p, nil
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	scatter.Color = plotutil.Color(0)
	p.Add(scatter)
	if f, known := r.fit(driver, figure); known {
		line := plotter.NewFunction(func(x float64) float64 { return math.Max(0, f.Base+f.Slope*x) })
		line.Color = plotutil.Color(1)
		p.Add(line)
	}
	return p, nil
}

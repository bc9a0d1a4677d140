package statestore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/quorum"
	"curlewreach/internal/storage"
	"curlewreach/internal/testing/simnet"
	"curlewreach/proto/wire"
)

const (
	// reportVariable is the environment variable with the folder to write the table and plot to. If it is set, the test
	// runs on the real disk.
	reportVariable = "STATESTORE_REPORT"
	valueBytes     = 250_000
	editBytes      = 200
	// quorumStoreChanges is small because the store of package quorum writes the whole value for each change.
	quorumStoreChanges = 100
)

// countingDisk counts the bytes written, the syncs and the bytes read.
type countingDisk struct {
	storage.Disk
	bytesWritten, syncs, bytesRead int
}

func (d *countingDisk) Create(name string) (storage.File, error) {
	file, err := d.Disk.Create(name)
	return &countingFile{file, d}, err
}

func (d *countingDisk) SyncFolder(folder string) error {
	d.syncs++
	return d.Disk.SyncFolder(folder)
}

func (d *countingDisk) Read(name string) ([]byte, error) {
	raw, err := d.Disk.Read(name)
	d.bytesRead += len(raw)
	return raw, err
}

type countingFile struct {
	storage.File
	disk *countingDisk
}

func (f *countingFile) Write(data []byte) (int, error) {
	f.disk.bytesWritten += len(data)
	return f.File.Write(data)
}

func (f *countingFile) Sync() error {
	f.disk.syncs++
	return f.File.Sync()
}

// measurement is the cost of saving a number of changes and then loading the state.
type measurement struct {
	changes                          int
	writtenPerChange, syncsPerChange float64 // writtenPerChange is in bytes
	timePerSave                      time.Duration
	peakDiskBytes                    int
	peakFiles                        int
	loadTime                         time.Duration
	loadBytes                        int // bytes read by a load
	heapBytes                        int // of the loaded store and state
}

// stateGenerator generates states with one large value, of which each change overwrites editBytes at a random offset.
type stateGenerator struct {
	rng    *rand.Rand
	value  []byte
	serial uint64
}

func newStateGenerator() *stateGenerator {
	generator := &stateGenerator{rng: rand.New(rand.NewPCG(7, 7)), value: make([]byte, valueBytes)}
	generator.fill(generator.value)
	return generator
}

func (g *stateGenerator) fill(span []byte) {
	for i := range span {
		span[i] = byte(g.rng.Uint32())
	}
}

func (g *stateGenerator) nextValue() []byte {
	g.serial++
	g.value = append([]byte(nil), g.value...)
	at := g.rng.IntN(valueBytes - editBytes)
	g.fill(g.value[at : at+editBytes])
	return g.value
}

func (g *stateGenerator) nextState() *wire.ReplicaState {
	term := &wire.Term{Number: 3, Owner: "replica-a"}
	value := g.nextValue()
	return &wire.ReplicaState{Id: "replica-a", Registers: map[string]*wire.Register{
		"configuration": {Promised: term, Accepted: &wire.Version{Term: term, Serial: g.serial, Value: value}},
	}}
}

func newMeasuredDisk(t *testing.T) storage.Disk {
	t.Helper()
	if os.Getenv(reportVariable) == "" {
		return newDisk(1)
	}
	disk, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return disk
}

func measure(t *testing.T, changes int) measurement {
	t.Helper()
	disk := &countingDisk{Disk: newMeasuredDisk(t)}
	store, _, err := Open(disk, discardEvents)
	if err != nil {
		t.Fatal(err)
	}
	generator := newStateGenerator()
	mustSave(t, store, generator.nextState())
	cost := measurement{changes: changes}
	sizes := map[string]int{}
	before := *disk
	for range changes {
		state := generator.nextState()
		start := time.Now()
		mustSave(t, store, state)
		cost.timePerSave += time.Since(start)
		cost.recordPeakSizes(t, disk.Disk, sizes)
	}
	cost.timePerSave /= time.Duration(changes)
	cost.writtenPerChange = float64(disk.bytesWritten-before.bytesWritten) / float64(changes)
	cost.syncsPerChange = float64(disk.syncs-before.syncs) / float64(changes)
	cost.measureLoad(t, disk, generator)
	return cost
}

// recordPeakSizes updates the maximum number of bytes and files on the disk. sizes caches the sizes of files by name, as
// files never change.
func (m *measurement) recordPeakSizes(t *testing.T, disk storage.Disk, sizes map[string]int) {
	t.Helper()
	names, err := disk.List("")
	if err != nil {
		t.Fatal(err)
	}
	total := 0
	for _, name := range names {
		if sizes[name] == 0 {
			raw, _ := disk.Read(name)
			sizes[name] = len(raw)
		}
		total += sizes[name]
	}
	m.peakDiskBytes, m.peakFiles = max(m.peakDiskBytes, total), max(m.peakFiles, len(names))
}

func (m *measurement) measureLoad(t *testing.T, disk *countingDisk, generator *stateGenerator) {
	t.Helper()
	heapBefore, readBefore := heapBytes(), disk.bytesRead
	start := time.Now()
	store, state, err := Open(disk, discardEvents)
	m.loadTime, m.loadBytes = time.Since(start), disk.bytesRead-readBefore
	if err != nil || string(state.Registers["configuration"].Accepted.Value) != string(generator.value) {
		t.Fatalf("loaded a different state, error %v", err)
	}
	m.heapBytes = heapBytes() - heapBefore
	runtime.KeepAlive(generator)
	runtime.KeepAlive(store)
	runtime.KeepAlive(state)
}

func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// measureQuorumStore measures the same changes on the store of package quorum, which is the baseline of the report.
func measureQuorumStore(t *testing.T) measurement {
	t.Helper()
	disk := &countingDisk{Disk: newMeasuredDisk(t)}
	writeFramed(t, disk, "brand", &wire.Brand{Phase: wire.Phase_FOUNDED})
	writeFramed(t, disk, "roll-0000000000000001", &wire.Roll{Number: 1})
	scope := base.Scope{
		Context: context.Background(), Clock: simnet.NewClock(time.Now()), Disk: disk,
		Log: hclog.NewNullLogger(), Journal: base.NewJournal(10),
	}
	store, err := quorum.OpenStore(scope, 2)
	if err != nil {
		t.Fatal(err)
	}
	generator, before := newStateGenerator(), *disk
	cost := measurement{changes: quorumStoreChanges}
	start := time.Now()
	for range quorumStoreChanges {
		entry := &wire.Entry{Key: "configuration", Epoch: &wire.Epoch{Number: 3}, Value: generator.nextValue(), Serial: generator.serial}
		if granted, _, err := store.Accept(scope, entry); err != nil || !granted {
			t.Fatalf("accept: granted %t, error %v", granted, err)
		}
	}
	cost.timePerSave = time.Since(start) / quorumStoreChanges
	cost.writtenPerChange = float64(disk.bytesWritten-before.bytesWritten) / quorumStoreChanges
	cost.syncsPerChange = float64(disk.syncs-before.syncs) / quorumStoreChanges
	return cost
}

func writeFramed(t *testing.T, disk storage.Disk, name string, message proto.Message) {
	t.Helper()
	raw, err := storage.Frame(message)
	if err == nil {
		err = storage.WriteAtomically(disk, name, raw)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestCostOfAChangeDoesNotGrowWithTheNumberOfChanges guards against stores whose files accumulate, or whose Save or load
// gets more expensive the more changes have been saved.
func TestCostOfAChangeDoesNotGrowWithTheNumberOfChanges(t *testing.T) {
	const (
		// maxWrittenPerChange is the size of a change plus its share of a snapshot, doubled to allow for framing.
		maxWrittenPerChange = 2 * (editBytes + valueBytes/maxChangesPerSnapshot)
		// maxDiskBytes is the size of two snapshots and the changes after each of them.
		maxDiskBytes = 2 * (1 + maxChangesRatio) * valueBytes
		maxFiles     = 2 * (maxChangesPerSnapshot + 1)
		maxLoadBytes = (1 + maxChangesRatio) * valueBytes * 1.1
	)
	var rows []measurement
	counts := []int{100, 1_000, 10_000}
	if os.Getenv("SEEDS") == "1" {
		counts = counts[:2] // the pass under the race detector, see failureStride
	}
	for _, changes := range counts {
		cost := measure(t, changes)
		rows = append(rows, cost)
		if cost.writtenPerChange > maxWrittenPerChange || cost.peakDiskBytes > maxDiskBytes || cost.peakFiles > maxFiles || cost.loadBytes > maxLoadBytes {
			t.Errorf("%+v", cost)
		}
	}
	if folder := os.Getenv(reportVariable); folder != "" {
		writeReport(t, folder, rows, measureQuorumStore(t))
	}
}

func writeReport(t *testing.T, folder string, rows []measurement, quorumRow measurement) {
	t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "One replica with a value of %d bytes, of which each change overwrites %d; real disk, %d cores. Generated by\n", valueBytes, editBytes, runtime.NumCPU())
	fmt.Fprintf(&text, "%s=FOLDER go test -run TestCostOfAChange ./internal/statestore\n\n", reportVariable)
	text.WriteString("| store | changes | bytes written per change | syncs per change | ms per Save | peak bytes on disk | peak files | load ms | bytes read by a load | heap bytes after a load |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, row := range rows {
		fmt.Fprintf(&text, "| statestore | %d | %.0f | %.2f | %.2f | %d | %d | %.1f | %d | %d |\n",
			row.changes, row.writtenPerChange, row.syncsPerChange, milliseconds(row.timePerSave), row.peakDiskBytes, row.peakFiles, milliseconds(row.loadTime), row.loadBytes, row.heapBytes)
	}
	fmt.Fprintf(&text, "| quorum | %d | %.0f | %.2f | %.2f | | | | | |\n", quorumRow.changes, quorumRow.writtenPerChange, quorumRow.syncsPerChange, milliseconds(quorumRow.timePerSave))
	if err := os.WriteFile(filepath.Join(folder, "statestore.md"), []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
	writePlot(t, filepath.Join(folder, "statestore.svg"), rows)
}

func milliseconds(duration time.Duration) float64 { return duration.Seconds() * 1000 }

func writePlot(t *testing.T, name string, rows []measurement) {
	t.Helper()
	const width, height = 36 * vg.Centimeter, 8 * vg.Centimeter
	panels := [][]*plot.Plot{{
		newPanel(t, "bytes written per change", rows, func(row measurement) float64 { return row.writtenPerChange }),
		newPanel(t, "peak bytes on disk", rows, func(row measurement) float64 { return float64(row.peakDiskBytes) }),
		newPanel(t, "load, ms", rows, func(row measurement) float64 { return milliseconds(row.loadTime) }),
		newPanel(t, "heap after a load, bytes", rows, func(row measurement) float64 { return float64(row.heapBytes) }),
	}}
	canvas := vgsvg.New(width, height)
	layout := draw.Tiles{Rows: 1, Cols: len(panels[0]), PadX: 4 * vg.Millimeter, PadTop: 2 * vg.Millimeter, PadRight: 4 * vg.Millimeter}
	for i, cell := range plot.Align(panels, layout, draw.New(canvas))[0] {
		panels[0][i].Draw(cell)
	}
	file, err := os.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if _, err := canvas.WriteTo(file); err != nil {
		t.Fatal(err)
	}
}

func newPanel(t *testing.T, title string, rows []measurement, value func(measurement) float64) *plot.Plot {
	t.Helper()
	panel := plot.New()
	panel.Title.Text, panel.X.Label.Text = title, "changes"
	panel.X.Scale, panel.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	points := make(plotter.XYs, len(rows))
	for i, row := range rows {
		points[i] = plotter.XY{X: float64(row.changes), Y: value(row)}
		panel.Y.Max = max(panel.Y.Max, 1.2*points[i].Y)
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		t.Fatal(err)
	}
	line.Color, dots.Color = plotutil.Color(0), plotutil.Color(0)
	panel.Add(plotter.NewGrid(), line, dots)
	panel.Y.Min = 0
	return panel
}

// BenchmarkSave measures the CPU time of saving one change to an in-memory disk.
func BenchmarkSave(b *testing.B) {
	store, _, err := Open(newDisk(1), discardEvents)
	if err != nil {
		b.Fatal(err)
	}
	generator := newStateGenerator()
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		state := generator.nextState()
		b.StartTimer()
		if err := store.Save(state); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLoad measures the CPU time of loading a snapshot and the changes saved after it, from an in-memory disk.
func BenchmarkLoad(b *testing.B) {
	disk := newDisk(1)
	store, _, err := Open(disk, discardEvents)
	if err != nil {
		b.Fatal(err)
	}
	generator := newStateGenerator()
	for range maxChangesPerSnapshot + 1 {
		if err := store.Save(generator.nextState()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := Open(disk, discardEvents); err != nil {
			b.Fatal(err)
		}
	}
}

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
	// reportVariable names a folder for the table and plot; with it, the test runs on the real disk.
	reportVariable = "STATESTORE_REPORT"
	valueBytes     = 250_000
	editBytes      = 200
	// oldStoreChanges are few, as the store of package quorum writes the whole value each time.
	oldStoreChanges = 100
)

// meter is a disk that counts what is written, synced and read.
type meter struct {
	storage.Disk
	written, syncs, read int
}

func (m *meter) Create(name string) (storage.File, error) {
	file, err := m.Disk.Create(name)
	return &meteredFile{file, m}, err
}

func (m *meter) SyncFolder(folder string) error {
	m.syncs++
	return m.Disk.SyncFolder(folder)
}

func (m *meter) Read(name string) ([]byte, error) {
	raw, err := m.Disk.Read(name)
	m.read += len(raw)
	return raw, err
}

type meteredFile struct {
	storage.File
	meter *meter
}

func (f *meteredFile) Write(data []byte) (int, error) {
	f.meter.written += len(data)
	return f.File.Write(data)
}

func (f *meteredFile) Sync() error {
	f.meter.syncs++
	return f.File.Sync()
}

// figures are what a number of changes cost.
type figures struct {
	changes        int
	written, syncs float64 // a change
	save           time.Duration
	diskBytes      int // most at any time
	files          int // most at any time
	load           time.Duration
	read           int // by a load
	heap           int // of the loaded store and state, in bytes
}

// bigState is a state whose one large value each change edits at a random place.
type bigState struct {
	random *rand.Rand
	value  []byte
	serial uint64
}

func newBigState() *bigState {
	big := &bigState{random: rand.New(rand.NewPCG(7, 7)), value: make([]byte, valueBytes)}
	big.fill(big.value)
	return big
}

func (b *bigState) fill(span []byte) {
	for i := range span {
		span[i] = byte(b.random.Uint32())
	}
}

func (b *bigState) next() []byte {
	b.serial++
	b.value = append([]byte(nil), b.value...)
	at := b.random.IntN(valueBytes - editBytes)
	b.fill(b.value[at : at+editBytes])
	return b.value
}

func (b *bigState) nextState() *wire.ReplicaState {
	term := &wire.Term{Number: 3, Owner: "replica-a"}
	value := b.next()
	return &wire.ReplicaState{Id: "replica-a", Registers: map[string]*wire.Register{
		"configuration": {Promised: term, Accepted: &wire.Version{Term: term, Serial: b.serial, Value: value}},
	}}
}

func emptyDisk(t *testing.T) storage.Disk {
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

func measure(t *testing.T, changes int) figures {
	t.Helper()
	disk := &meter{Disk: emptyDisk(t)}
	store, _, err := Open(disk, discard)
	if err != nil {
		t.Fatal(err)
	}
	big := newBigState()
	mustSave(t, store, big.nextState())
	cost := figures{changes: changes}
	sizes := map[string]int{}
	first := *disk
	for range changes {
		state := big.nextState()
		began := time.Now()
		mustSave(t, store, state)
		cost.save += time.Since(began)
		cost.noteSizes(t, disk.Disk, sizes)
	}
	cost.save /= time.Duration(changes)
	cost.written = float64(disk.written-first.written) / float64(changes)
	cost.syncs = float64(disk.syncs-first.syncs) / float64(changes)
	cost.measureLoad(t, disk, big)
	return cost
}

// noteSizes keeps the most bytes and files that the disk held; sizes are those of known files, which never change.
func (f *figures) noteSizes(t *testing.T, disk storage.Disk, sizes map[string]int) {
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
	f.diskBytes, f.files = max(f.diskBytes, total), max(f.files, len(names))
}

func (f *figures) measureLoad(t *testing.T, disk *meter, big *bigState) {
	t.Helper()
	before, read := heapBytes(), disk.read
	began := time.Now()
	store, state, err := Open(disk, discard)
	f.load, f.read = time.Since(began), disk.read-read
	if err != nil || string(state.Registers["configuration"].Accepted.Value) != string(big.value) {
		t.Fatalf("loaded another state, error %v", err)
	}
	f.heap = heapBytes() - before
	runtime.KeepAlive(big)
	runtime.KeepAlive(store)
	runtime.KeepAlive(state)
}

func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// measureOldStore writes the same changes to the store of package quorum.
func measureOldStore(t *testing.T) figures {
	t.Helper()
	disk := &meter{Disk: emptyDisk(t)}
	keepFramed(t, disk, "brand", &wire.Brand{Phase: wire.Phase_FOUNDED})
	keepFramed(t, disk, "roll-0000000000000001", &wire.Roll{Number: 1})
	scope := base.Scope{
		Context: context.Background(), Clock: simnet.NewClock(time.Now()), Disk: disk,
		Log: hclog.NewNullLogger(), Journal: base.NewJournal(10),
	}
	store, err := quorum.OpenStore(scope, 2)
	if err != nil {
		t.Fatal(err)
	}
	big, first := newBigState(), *disk
	cost := figures{changes: oldStoreChanges}
	began := time.Now()
	for range oldStoreChanges {
		entry := &wire.Entry{Key: "configuration", Epoch: &wire.Epoch{Number: 3}, Value: big.next(), Serial: big.serial}
		if granted, _, err := store.Accept(scope, entry); err != nil || !granted {
			t.Fatal(granted, err)
		}
	}
	cost.save = time.Since(began) / oldStoreChanges
	cost.written = float64(disk.written-first.written) / oldStoreChanges
	cost.syncs = float64(disk.syncs-first.syncs) / oldStoreChanges
	return cost
}

func keepFramed(t *testing.T, disk storage.Disk, name string, message proto.Message) {
	t.Helper()
	raw, err := storage.Frame(message)
	if err == nil {
		err = storage.WriteAtomically(disk, name, raw)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func TestCostOfAChangeDoesNotGrowWithTheirNumber(t *testing.T) {
	const (
		// mostWritten is a change of its own and its share of a snapshot, with as much again for its frame.
		mostWritten = 2 * (editBytes + valueBytes/changesPerSnapshot)
		// mostDiskBytes is two snapshots and the changes after each.
		mostDiskBytes = 2 * (1 + outweighRatio) * valueBytes
		mostFiles     = 2 * (changesPerSnapshot + 1)
		mostRead      = (1 + outweighRatio) * valueBytes * 1.1
	)
	var rows []figures
	counts := []int{100, 1_000, 10_000}
	if os.Getenv("SEEDS") == "1" {
		counts = counts[:2] // the pass under the race detector, see stride
	}
	for _, changes := range counts {
		cost := measure(t, changes)
		rows = append(rows, cost)
		if cost.written > mostWritten || cost.diskBytes > mostDiskBytes || cost.files > mostFiles || cost.read > mostRead {
			t.Errorf("%+v", cost)
		}
	}
	if folder := os.Getenv(reportVariable); folder != "" {
		writeReport(t, folder, rows, measureOldStore(t))
	}
}

func writeReport(t *testing.T, folder string, rows []figures, old figures) {
	t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "One replica, a value of %d bytes, each change %d bytes of it; real disk, %d cores. Written by\n", valueBytes, editBytes, runtime.NumCPU())
	fmt.Fprintf(&text, "%s=FOLDER go test -run TestCostOfAChange ./internal/statestore\n\n", reportVariable)
	text.WriteString("| store | changes | bytes written a change | syncs a change | ms a Save | most bytes on disk | most files | load ms | bytes read by a load | heap bytes after a load |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, row := range rows {
		fmt.Fprintf(&text, "| statestore | %d | %.0f | %.2f | %.2f | %d | %d | %.1f | %d | %d |\n",
			row.changes, row.written, row.syncs, milliseconds(row.save), row.diskBytes, row.files, milliseconds(row.load), row.read, row.heap)
	}
	fmt.Fprintf(&text, "| quorum | %d | %.0f | %.2f | %.2f | | | | | |\n", old.changes, old.written, old.syncs, milliseconds(old.save))
	if err := os.WriteFile(filepath.Join(folder, "statestore.md"), []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
	writePlot(t, filepath.Join(folder, "statestore.svg"), rows)
}

func milliseconds(duration time.Duration) float64 { return duration.Seconds() * 1000 }

func writePlot(t *testing.T, name string, rows []figures) {
	t.Helper()
	const width, height = 36 * vg.Centimeter, 8 * vg.Centimeter
	tiles := [][]*plot.Plot{{
		tile(t, "bytes written a change", rows, func(row figures) float64 { return row.written }),
		tile(t, "most bytes on disk", rows, func(row figures) float64 { return float64(row.diskBytes) }),
		tile(t, "load, ms", rows, func(row figures) float64 { return milliseconds(row.load) }),
		tile(t, "heap after a load, bytes", rows, func(row figures) float64 { return float64(row.heap) }),
	}}
	canvas := vgsvg.New(width, height)
	layout := draw.Tiles{Rows: 1, Cols: len(tiles[0]), PadX: 4 * vg.Millimeter, PadTop: 2 * vg.Millimeter, PadRight: 4 * vg.Millimeter}
	for i, cell := range plot.Align(tiles, layout, draw.New(canvas))[0] {
		tiles[0][i].Draw(cell)
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

func tile(t *testing.T, title string, rows []figures, figure func(figures) float64) *plot.Plot {
	t.Helper()
	shown := plot.New()
	shown.Title.Text, shown.X.Label.Text = title, "changes"
	shown.X.Scale, shown.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	points := make(plotter.XYs, len(rows))
	for i, row := range rows {
		points[i] = plotter.XY{X: float64(row.changes), Y: figure(row)}
		shown.Y.Max = max(shown.Y.Max, 1.2*points[i].Y)
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		t.Fatal(err)
	}
	line.Color, dots.Color = plotutil.Color(0), plotutil.Color(0)
	shown.Add(plotter.NewGrid(), line, dots)
	shown.Y.Min = 0
	return shown
}

// BenchmarkSave is the processor time of one change, on a disk in memory.
func BenchmarkSave(b *testing.B) {
	store, _, err := Open(newDisk(1), discard)
	if err != nil {
		b.Fatal(err)
	}
	big := newBigState()
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		state := big.nextState()
		b.StartTimer()
		if err := store.Save(state); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLoad is the processor time of a load of a snapshot and as many changes as ever follow one.
func BenchmarkLoad(b *testing.B) {
	disk := newDisk(1)
	store, _, err := Open(disk, discard)
	if err != nil {
		b.Fatal(err)
	}
	big := newBigState()
	for range changesPerSnapshot + 1 {
		if err := store.Save(big.nextState()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := Open(disk, discard); err != nil {
			b.Fatal(err)
		}
	}
}

package base

import (
	"bytes"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// steps are the upper bounds of a histogram's buckets: Prometheus' usual ones
// in the range that calls between machines and their deadlines span.
var steps = [...]time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second,
}

// Histogram counts durations in fixed buckets without a lock. The zero value is
// empty.
type Histogram struct {
	counts [len(steps) + 1]atomic.Uint64
	sum    atomic.Int64
}

// Add counts one duration.
func (h *Histogram) Add(d time.Duration) {
	at := 0
	for at < len(steps) && d > steps[at] {
		at++
	}
	h.counts[at].Add(1)
	h.sum.Add(int64(d))
}

// Metrics is a page of samples in Prometheus' text format.
type Metrics struct{ page bytes.Buffer }

// Kind writes a metric's header: its name, kind ("counter", "gauge" or
// "histogram") and help text. Its samples follow by Add.
func (m *Metrics) Kind(name, kind, help string) {
	m.page.WriteString("# HELP " + name + " " + help + "\n# TYPE " + name + " " + kind + "\n")
}

// Add writes a sample. Labels are names and values by turns.
func (m *Metrics) Add(name string, value float64, labels ...string) {
	m.page.WriteString(name)
	for i := 0; i+1 < len(labels); i += 2 {
		mark := ","
		if i == 0 {
			mark = "{"
		}
		m.page.WriteString(mark + labels[i] + `="` + escaped.Replace(labels[i+1]) + `"`)
	}
	if len(labels) > 1 {
		m.page.WriteByte('}')
	}
	m.page.WriteString(" " + strconv.FormatFloat(value, 'g', -1, 64) + "\n")
}

// Single writes a metric of a single sample without labels.
func (m *Metrics) Single(name, kind, help string, value float64) {
	m.Kind(name, kind, help)
	m.Add(name, value)
}

// Histogram writes a histogram's samples, with durations in seconds.
func (m *Metrics) Histogram(name string, h *Histogram, labels ...string) {
	sum, all := h.sum.Load(), uint64(0)
	labels = labels[:len(labels):len(labels)]
	for i := range h.counts {
		edge := "+Inf"
		if i < len(steps) {
			edge = strconv.FormatFloat(steps[i].Seconds(), 'g', -1, 64)
		}
		all += h.counts[i].Load()
		m.Add(name+"_bucket", float64(all), append(labels, "le", edge)...)
	}
	m.Add(name+"_sum", time.Duration(sum).Seconds(), labels...)
	m.Add(name+"_count", float64(all), labels...)
}

var escaped = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// BoolValue returns a flag as a sample: 1 for true, 0 for false.
func BoolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

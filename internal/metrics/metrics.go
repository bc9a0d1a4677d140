// Package metrics tells Prometheus what a process counts. Samples are taken from the process's state when they are asked for.
package metrics

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Kind is the kind of a metric.
type Kind = prometheus.ValueType

// The kinds of metrics of single values.
const (
	Counter = prometheus.CounterValue
	Gauge   = prometheus.GaugeValue
)

// bounds are the upper bounds of a histogram's buckets: Prometheus' usual ones in the range that calls between machines and
// their deadlines span.
var bounds = [...]time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second,
}

// Histogram counts durations in fixed buckets without a lock. The zero value is empty.
type Histogram struct {
	counts [len(bounds) + 1]atomic.Uint64
	sum    atomic.Int64
}

// Add counts one duration.
func (h *Histogram) Add(d time.Duration) {
	at := 0
	for at < len(bounds) && d > bounds[at] {
		at++
	}
	h.counts[at].Add(1)
	h.sum.Add(int64(d))
}

// read returns the number of durations, their sum in seconds, and by upper bound in seconds how many are no longer.
func (h *Histogram) read() (count uint64, sum float64, buckets map[float64]uint64) {
	sum = time.Duration(h.sum.Load()).Seconds()
	buckets = make(map[float64]uint64, len(bounds))
	for i := range h.counts {
		count += h.counts[i].Load()
		if i < len(bounds) {
			buckets[bounds[i].Seconds()] = count
		}
	}
	return count, sum, buckets
}

// Samples takes the samples of one scrape.
type Samples struct{ out chan<- prometheus.Metric }

// Labels are a sample's labels by name.
type Labels map[string]string

// split returns the names and the values of labels in the same order.
func (l Labels) split() (names, values []string) {
	for name, value := range l {
		names, values = append(names, name), append(values, value)
	}
	return names, values
}

// Add adds a sample. A metric has the same kind, help text and label names in all its samples.
func (s *Samples) Add(name string, kind Kind, help string, value float64, labels Labels) {
	names, values := labels.split()
	s.out <- prometheus.MustNewConstMetric(prometheus.NewDesc(name, help, names, nil), kind, value, values...)
}

// AddHistogram adds the samples of a histogram, with durations in seconds.
func (s *Samples) AddHistogram(name, help string, h *Histogram, labels Labels) {
	names, values := labels.split()
	count, sum, buckets := h.read()
	s.out <- prometheus.MustNewConstHistogram(prometheus.NewDesc(name, help, names, nil), count, sum, buckets, values...)
}

// collector calls a function at each scrape.
type collector func(*Samples)

// Describe describes nothing: what there is to collect is known only when it is collected.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect takes the samples.
func (c collector) Collect(out chan<- prometheus.Metric) { c(&Samples{out}) }

// Handler serves the samples that collect adds, in the formats that Prometheus reads.
func Handler(collect func(*Samples)) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector(collect))
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

// BoolValue returns a flag as a sample: 1 for true, 0 for false.
func BoolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

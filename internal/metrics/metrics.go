// Package metrics exposes a process's metrics to Prometheus. Samples are collected
// from the state of the process at each scrape.
package metrics

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Kind is the kind of a metric.
type Kind = prometheus.ValueType

// The kinds of metrics with a single value per sample.
const (
	Counter = prometheus.CounterValue
	Gauge   = prometheus.GaugeValue
)

// bucketBounds are the upper bounds of a histogram's buckets: the defaults of
// Prometheus, in the range of calls between machines and their deadlines.
var bucketBounds = [...]time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second,
}

// Histogram counts durations in fixed buckets. It is safe for concurrent use and
// lock-free. The zero value is an empty histogram.
type Histogram struct {
	counts [len(bucketBounds) + 1]atomic.Uint64
	sum    atomic.Int64
}

// Add counts one duration.
func (h *Histogram) Add(d time.Duration) {
	bucket := 0
	for bucket < len(bucketBounds) && d > bucketBounds[bucket] {
		bucket++
	}
	h.counts[bucket].Add(1)
	h.sum.Add(int64(d))
}

// snapshot returns the number of durations, their sum in seconds, and the cumulative
// count of each bucket by its upper bound in seconds.
func (h *Histogram) snapshot() (count uint64, sum float64, buckets map[float64]uint64) {
	sum = time.Duration(h.sum.Load()).Seconds()
	buckets = make(map[float64]uint64, len(bucketBounds))
	for i := range h.counts {
		count += h.counts[i].Load()
		if i < len(bucketBounds) {
			buckets[bucketBounds[i].Seconds()] = count
		}
	}
	return count, sum, buckets
}

// Samples receives the samples of one scrape.
type Samples struct{ out chan<- prometheus.Metric }

// Labels holds the values of a sample's labels by name.
type Labels map[string]string

// split returns the names and the values of the labels in the same order.
func (l Labels) split() (names, values []string) {
	for name, value := range l {
		names, values = append(names, name), append(values, value)
	}
	return names, values
}

// Add adds a sample. All samples of a metric must have the same kind, help text and
// label names.
func (s *Samples) Add(name string, kind Kind, help string, value float64, labels Labels) {
	names, values := labels.split()
	s.out <- prometheus.MustNewConstMetric(prometheus.NewDesc(name, help, names, nil), kind, value, values...)
}

// AddHistogram adds the samples of a histogram of durations in seconds.
func (s *Samples) AddHistogram(name, help string, h *Histogram, labels Labels) {
	names, values := labels.split()
	count, sum, buckets := h.snapshot()
	s.out <- prometheus.MustNewConstHistogram(prometheus.NewDesc(name, help, names, nil), count, sum, buckets, values...)
}

// collector implements prometheus.Collector with a function that is called at each
// scrape.
type collector func(*Samples)

// Describe sends no descriptions, which makes the collector unchecked: its metrics
// are known only when they are collected.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the samples to out.
func (c collector) Collect(out chan<- prometheus.Metric) { c(&Samples{out}) }

// namespace begins the names of the metrics that the client library adds.
const namespace = "curlew"

// Process returns a collector of the memory, descriptors, processor time and start time
// of this process.
func Process() prometheus.Collector {
	return collectors.NewProcessCollector(collectors.ProcessCollectorOpts{Namespace: namespace})
}

// Handler returns a handler that serves the samples added by collect and those of more
// collectors, in the formats that Prometheus accepts.
func Handler(collect func(*Samples), more ...prometheus.Collector) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector(collect))
	registry.MustRegister(more...)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

// BoolValue returns a flag as a sample's value: 1 for true, 0 for false.
func BoolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

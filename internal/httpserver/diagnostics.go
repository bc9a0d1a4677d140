package httpserver

import (
	"net/http"
	"runtime"
	"strconv"
	"sync"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/metrics"
	"curlewreach/proto/wire"
)

const (
	// defaultEvents is the number of events that /journal returns if the request
	// doesn't give one.
	defaultEvents = 100
	// maxEvents is the maximum number of events that /journal returns.
	maxEvents = 2000
)

// HandleDiagnostics registers the operators' read-only pages: GET /view (the state of
// the process), GET /journal?subject=&last= (its newest events) and GET /metrics
// (Prometheus). The state and the metrics are collected for one request at a time,
// to bound the cost of diagnostics.
func HandleDiagnostics(mux *http.ServeMux, s base.Scope, state func() proto.Message, collect func(*metrics.Samples)) {
	var mutex sync.Mutex
	mux.HandleFunc("GET /view", func(w http.ResponseWriter, _ *http.Request) {
		mutex.Lock()
		message := state()
		mutex.Unlock()
		ReplyProto(w, message)
	})
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, r *http.Request) {
		last, err := strconv.Atoi(r.URL.Query().Get("last"))
		if err != nil || last <= 0 {
			last = defaultEvents
		}
		reply := &wire.TellReply{Node: s.Node, Counts: s.Journal.Counts()}
		for _, event := range s.Journal.Last(r.URL.Query().Get("subject"), min(last, maxEvents)) {
			reply.Happenings = append(reply.Happenings, &wire.Happening{Serial: event.Serial, AtUs: event.At.UnixMicro(), Topic: event.Topic, Subject: event.Subject, Detail: event.Detail})
		}
		ReplyProto(w, reply)
	})
	mux.Handle("GET /metrics", metrics.Handler(func(samples *metrics.Samples) {
		mutex.Lock()
		collect(samples)
		mutex.Unlock()
		for topic, count := range s.Journal.Counts() {
			samples.Add("curlew_events_total", metrics.Counter, "journal events by topic", float64(count), metrics.Labels{"topic": topic})
		}
		if s.DroppedLogLines != nil {
			samples.Add("curlew_log_lines_dropped_total", metrics.Counter, "log lines that no reader took in time", float64(s.DroppedLogLines()), nil)
		}
		samples.Add("curlew_goroutines", metrics.Gauge, "goroutines of the process", float64(runtime.NumGoroutine()), nil)
	}, metrics.Process()))
}

// ReplyProto writes a response with the message encoded as JSON.
func ReplyProto(w http.ResponseWriter, message proto.Message) {
	body, err := protojson.Marshal(message)
	if err != nil {
		ReplyJSON(w, http.StatusInternalServerError, map[string]any{"mishap": base.FaultOf(err)})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

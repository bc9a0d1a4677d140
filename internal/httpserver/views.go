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
	// usualEvents is how many events /journal returns if not told.
	usualEvents = 100
	// mostEvents is the most events that /journal returns at once.
	mostEvents = 2000
)

// HandleDiagnostics serves the operators' read-only pages: GET /view (the process's state),
// GET /journal?subject=&last= (its newest events) and GET /metrics
// (Prometheus). One view or metrics page is made at a time, to bound what
// looking costs.
func HandleDiagnostics(mux *http.ServeMux, s base.Scope, view func() proto.Message, collect func(*metrics.Samples)) {
	var turn sync.Mutex
	mux.HandleFunc("GET /view", func(w http.ResponseWriter, _ *http.Request) {
		turn.Lock()
		seen := view()
		turn.Unlock()
		ReplyProto(w, seen)
	})
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, r *http.Request) {
		last, err := strconv.Atoi(r.URL.Query().Get("last"))
		if err != nil || last <= 0 {
			last = usualEvents
		}
		told := &wire.TellReply{Node: s.Node, Counts: s.Journal.Counts()}
		for _, event := range s.Journal.Last(r.URL.Query().Get("subject"), min(last, mostEvents)) {
			told.Happenings = append(told.Happenings, &wire.Happening{Serial: event.Serial, AtUs: event.At.UnixMicro(), Topic: event.Topic, Subject: event.Subject, Detail: event.Detail})
		}
		ReplyProto(w, told)
	})
	mux.Handle("GET /metrics", metrics.Handler(func(samples *metrics.Samples) {
		turn.Lock()
		collect(samples)
		turn.Unlock()
		for topic, count := range s.Journal.Counts() {
			samples.Add("curlew_events_total", metrics.Counter, "journal events by topic", float64(count), metrics.Labels{"topic": topic})
		}
		samples.Add("curlew_goroutines", metrics.Gauge, "goroutines of the process", float64(runtime.NumGoroutine()), nil)
	}))
}

// ReplyProto answers with a message as JSON.
func ReplyProto(w http.ResponseWriter, message proto.Message) {
	body, err := protojson.Marshal(message)
	if err != nil {
		ReplyJSON(w, http.StatusInternalServerError, map[string]any{"mishap": base.FaultOf(err)})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

package dataplane

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/internal/dataplane/admission"
	"curlewreach/internal/dataplane/balancer"
	"curlewreach/internal/dataplane/callgraph"
	"curlewreach/internal/dataplane/connection"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/dataplane/retry"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/random"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

const benchIPPrefix = "127.77.8."

func benchScope(b *testing.B) base.Scope {
	s, err := base.NewScope("bench", "bench", "", "error")
	if err != nil {
		b.Fatal(err)
	}
	s.Rand = random.Seeded(1)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	return s.WithContext(ctx)
}

func benchConfiguration(routes, services int) *wire.Configuration {
	c := &wire.Configuration{Serial: 1}
	for i := range services {
		c.Services = append(c.Services, &wire.ConfigurationService{Name: fmt.Sprint("service-", i)})
	}
	for i := range routes {
		service := fmt.Sprint("service-", i%services)
		c.Routes = append(c.Routes, &wire.ConfigurationRoute{
			Name: fmt.Sprint("route-", i), Host: service + ".example", Prefix: fmt.Sprintf("/part-%d/", i), CutoffMs: 60000, AimMs: 500, Tries: 1, Service: &service,
		})
	}
	return c
}

func benchHeader() http.Header {
	header := http.Header{}
	for i := range 12 {
		header.Set(fmt.Sprint("X-Header-", i), "some value of a usual length, about so")
	}
	header.Set(forwarding.DefaultHeaderNames.RequestID, "attempt-1")
	header.Set(forwarding.DefaultHeaderNames.TimeLeft, "60000")
	return header
}

// benchObservations returns reports of total nodes, of which the first matching ones serve service-0.
func benchObservations(total, matching int, address func(i int) string) (observations []*wire.Observation) {
	for i := range total {
		service := "service-0"
		if i >= matching {
			service = "other-" + strconv.Itoa(i%559)
		}
		name := fmt.Sprintf("peer-%05d", i)
		observations = append(observations, &wire.Observation{NodeStatus: &wire.NodeStatus{
			Node: name, Incarnation: "one", Number: 1, Inward: address(i), Zone: fmt.Sprint("zone-", i%23), Service: service,
			Instance: &wire.Instance{Id: "i-" + name, Service: service, Address: address(i), Zone: fmt.Sprint("zone-", i%23), Capacity: 64},
		}})
	}
	return observations
}

func benchTable(total, matching int) *balancer.Table {
	table := balancer.NewTable(base.RealClock(), "here", time.Hour)
	for _, controller := range []string{"a", "b", "c"} {
		table.ApplyObservations(controller, true, benchObservations(total, matching, func(int) string { return "10.0.0.1:1" }))
	}
	return table
}

func BenchmarkPathFind(b *testing.B) {
	for _, routes := range []int{40, 1000, 10000} {
		table := config.NewRoutingTable(benchConfiguration(routes, min(routes, 560)))
		host, path := "service-7.example", "/part-7/shelf/12?x=1"
		b.Run(fmt.Sprint("routes=", routes), func(b *testing.B) {
			defer reportCPUTime(b)()
			for b.Loop() {
				if _, known := table.Find(host, path); !known {
					b.Fatal("no route")
				}
			}
		})
	}
}

func BenchmarkPathCandidates(b *testing.B) {
	for _, size := range []struct{ all, fitting int }{{29, 29}, {100, 29}, {500, 29}, {2000, 29}, {4000, 29}, {16000, 29}, {100, 100}, {500, 500}, {2000, 2000}} {
		table := benchTable(size.all, size.fitting)
		rand := random.Seeded(1)
		b.Run(fmt.Sprintf("all=%d/fitting=%d", size.all, size.fitting), func(b *testing.B) {
			defer reportCPUTime(b)()
			for b.Loop() {
				table.Candidates("service-0", time.Millisecond, func(string) bool { return false }, rand)
			}
		})
	}
}

func BenchmarkPathRetryBudget(b *testing.B) {
	for _, total := range []int{100, 2000, 16000} {
		table := benchTable(total, 29)
		retryBudget := retry.NewBudget(base.RealClock(), 0.2, 10, 10*time.Second, table.Size)
		b.Run(fmt.Sprint("all=", total), func(b *testing.B) {
			defer reportCPUTime(b)()
			for b.Loop() {
				retryBudget.Earn("service-0")
			}
		})
	}
}

func BenchmarkPathQueue(b *testing.B) {
	queue := admission.NewQueue(base.RealClock(), 64)
	defer reportCPUTime(b)()
	for b.Loop() {
		leave, fault := queue.Acquire(context.Background(), admission.Request{Rank: 1, WantedStart: time.Hour, LatestStart: time.Hour, MayWait: true})
		if fault != nil {
			b.Fatal(fault)
		}
		leave()
	}
}

func BenchmarkPathHeader(b *testing.B) {
	header := benchHeader()
	defer reportCPUTime(b)()
	for b.Loop() {
		forwarding.EndToEnd(forwarding.EndToEnd(header))
	}
}

func BenchmarkPathMetadata(b *testing.B) {
	metadata := forwarding.Metadata{Service: "service-0", Instance: "i-node-00001", Route: "route-0", Rank: 3, MayWait: true, LatestStartIn: time.Second, Serial: 4711, Sampled: true, Trace: "abcdef012345.abcdef012345"}
	defer reportCPUTime(b)()
	for b.Loop() {
		if _, ok := forwarding.ParseMetadata(metadata.String()); !ok {
			b.Fatal("unread")
		}
	}
}

func BenchmarkPathTracker(b *testing.B) {
	s := benchScope(b)
	for _, inFlight := range []int{1, 16, 256} {
		tracker := callgraph.NewTracker(s, "node", tracing.NewSampler(s.Rand), func(*wire.Span) {})
		metadata := forwarding.Metadata{Service: "service-0", Route: "route-0", Sampled: true}
		for i := range inFlight {
			tracker.Begin(metadata, time.Duration(i+2)*time.Hour, time.Second)
		}
		b.Run(fmt.Sprint("flying=", inFlight), func(b *testing.B) {
			defer reportCPUTime(b)()
			for b.Loop() {
				tracker.FindParent("route-1", time.Hour, false)
				tracker.End(tracker.Begin(metadata, time.Hour, time.Second), &wire.Instance{Id: "i"}, 200)
			}
		})
	}
}

func benchUpstream(b *testing.B, s base.Scope, address string) {
	body := make([]byte, 1024)
	server, err := httpserver.Serve(s, address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(forwarding.DefaultHeaderNames.Seal, "whole")
		w.Header()[forwarding.DefaultHeaderNames.RequestID] = r.Header[forwarding.DefaultHeaderNames.RequestID]
		_, _ = w.Write(body)
	}))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Close)
}

// cpuTime returns the CPU time that the process has used, in nanoseconds.
func cpuTime() int64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// reportCPUTime returns a function that reports the CPU time per iteration since the call.
func reportCPUTime(b *testing.B) func() {
	b.ReportAllocs()
	before := cpuTime()
	return func() { b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns") }
}

// benchLatency runs the loop of a benchmark, after 50 warm-up runs, and reports latency quantiles and CPU time.
func benchLatency(b *testing.B, run func()) {
	latencies := hdr.New(1, int64(time.Minute), 3)
	for range 50 {
		run()
	}
	defer reportCPUTime(b)()
	for b.Loop() {
		startedAt := time.Now()
		run()
		_ = latencies.RecordValue(int64(time.Since(startedAt)))
	}
	b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-ns")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-ns")
}

func BenchmarkPathConnection(b *testing.B) {
	s := benchScope(b)
	address := benchIPPrefix + "1:28401"
	benchUpstream(b, s, address)
	pool := connection.NewPool(s.Net, s.Clock, time.Minute, time.Second, time.Second)
	request := &connection.Request{Method: http.MethodGet, Target: "/part-0/", Host: "service-0.example", Header: benchHeader()}
	b.Run("kept", func(b *testing.B) { benchLatency(b, func() { benchExchange(b, pool, address, request) }) })
	b.Run("dialled", func(b *testing.B) {
		benchLatency(b, func() {
			pool.CloseIdle(address)
			benchExchange(b, pool, address, request)
		})
	})
}

// benchExchange sends a request on a pooled connection and reads its answer.
func benchExchange(b *testing.B, pool *connection.Pool, address string, request *connection.Request) {
	r, _, err := pool.Exchange(context.Background(), address, request, func(*http.Response) bool { return true })
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	r.Finish()
}

func benchNode(b *testing.B, s base.Scope, i int) *Node {
	ip := benchIPPrefix + strconv.Itoa(i)
	p := &wire.NodeParams{
		Name: fmt.Sprintf("node-%05d", i), Zone: "zone-0", Service: "service-0", Outward: ip + ":28402", Inward: ip + ":28403", Ready: ip + ":28404", Control: ip + ":28405",
		Seeds: []string{benchIPPrefix + "99:28406"}, Beat: durationpb.New(time.Hour), Leaving: durationpb.New(time.Second), InForce: durationpb.New(2 * time.Second), Grace: durationpb.New(time.Second),
	}
	p.Log = "error"
	n, err := Start(s, p, forwarding.DefaultHeaderNames, func(*Node) http.Handler { return http.NotFoundHandler() })
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(n.Kill)
	n.instance.ApplyDepartures(nil, true) // no controller runs that could confirm it
	n.controlClient.Adopt(benchConfiguration(1000, 560), true)
	return n
}

func BenchmarkPathNodes(b *testing.B) {
	s := benchScope(b)
	upstream := benchIPPrefix + "4:28401"
	benchUpstream(b, s, upstream)
	clientNode, peerNode := benchNode(b, s, 2), benchNode(b, s, 3)
	if fault := peerNode.Heartbeat(&wire.Instance{Id: "i-node-00003", Service: "service-0", Address: upstream, Zone: "zone-0", Capacity: 64}); fault != nil {
		b.Fatal(fault)
	}
	observation := &wire.Observation{NodeStatus: peerNode.nodeStatus()}
	pool := connection.NewPool(s.Net, s.Clock, time.Minute, time.Second, time.Second)
	header := benchHeader()
	request := &connection.Request{Method: http.MethodGet, Target: "/part-0/", Host: "service-0.example", Header: header}
	b.Run("direct", func(b *testing.B) { benchLatency(b, func() { benchExchange(b, pool, upstream, request) }) })
	for _, total := range []int{29, 500, 2000, 4000, 16000} {
		observations := benchObservations(total, 0, func(int) string { return "10.0.0.1:1" })
		clientNode.peers.ApplyObservations("core-2", true, append(observations, observation))
		b.Run(fmt.Sprint("mesh/roster=", total), func(b *testing.B) {
			benchLatency(b, func() { benchCall(b, pool, clientNode.params.Outward, request) })
		})
	}
}

// benchCall sends a request to a node and reads its answer, which must be a success.
func benchCall(b *testing.B, pool *connection.Pool, address string, request *connection.Request) {
	r, _, err := pool.Exchange(context.Background(), address, request, func(*http.Response) bool { return true })
	if err != nil {
		b.Fatal(err)
	}
	if r.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(r.Body)
		b.Fatal(r.StatusCode, string(body))
	}
	_, _ = io.Copy(io.Discard, r.Body)
	r.Finish()
}

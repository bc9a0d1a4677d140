package scale

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/config"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

func measured(services, routes int) (*Field, *Crowd, *member) {
	f := &Field{point: point{services: services, routes: routes}}
	c := &Crowd{task: Task{Services: services, Routes: routes}}
	return f, c, &member{at: 4711, name: nodeName(4711), rand: base.SeededRand(1)}
}

func BenchmarkSizes(b *testing.B) {
	f, c, m := measured(560, 2800)
	for b.Loop() {
	}
	whole := f.chart()
	f.serial = 1
	odds := &wire.Odds{Serial: 1, Epsilon: 0.05, Table: map[string]float64{}}
	beliefs := &wire.Learning{}
	for _, route := range whole.Routes {
		id := route.GetService() + "/" + route.Name
		odds.Table[id] = 0.05
		beliefs.Beliefs = append(beliefs.Beliefs, &wire.Belief{Identifier: id, Alpha: 3.1, Beta: 5.2, Mean: 0.4, Odds: 0.05, Utility: 0.3, Samples: 400})
	}
	for name, size := range map[string]int{
		"post": proto.Size(c.post(m, "first123", 1)), "sight": proto.Size(&wire.PollReply{Observations: []*wire.Observation{{NodeStatus: c.post(m, "first123", 1), SilenceMs: 300}}}),
		"span": proto.Size(&wire.Batch{Spans: []*wire.Span{c.span(m)}}), "route": (proto.Size(whole) - 40) / len(whole.Routes),
		"chart": proto.Size(whole), "delta": proto.Size(f.next()), "odds": proto.Size(odds), "beliefs": proto.Size(beliefs),
	} {
		b.ReportMetric(float64(size), name+"-bytes")
	}
}

func BenchmarkLearn(b *testing.B) {
	usual := &wire.Bundle{Common: &wire.Common{Tracing: &wire.Tracing{Cycle: durationpb.New(5 * time.Second)}}}
	bundle.Normalise(usual, bundle.UsualLimits(6*time.Second))
	for _, size := range []struct{ routes, spans int }{{40, 5000}, {300, 5000}, {1000, 5000}, {3000, 5000}, {300, 15000}, {300, 45000}} {
		_, c, m := measured(20, size.routes)
		var spans []*wire.Span
		for i := range size.spans {
			m.at = i
			spans = append(spans, c.span(m))
		}
		b.Run(fmt.Sprintf("routes=%d/spans=%d", size.routes, size.spans), func(b *testing.B) {
			b.ReportAllocs()
			prior := &wire.Learning{}
			for b.Loop() {
				prior = tracing.Learn(prior, spans, usual.Common.Tracing, base.SeededRand(1), func(string) bool { return true })
			}
		})
	}
}

func BenchmarkChart(b *testing.B) {
	for _, routes := range []int{40, 300, 1000, 3000, 10000} {
		f, _, _ := measured(560, routes)
		whole, change := f.chart(), f.next().Change
		body, err := proto.Marshal(whole)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("adopt/routes=%d", routes), func(b *testing.B) { adoptChart(b, body) })
		b.Run(fmt.Sprintf("judge/routes=%d", routes), func(b *testing.B) { judgeChange(b, whole, change) })
	}
}

func adoptChart(b *testing.B, body []byte) {
	b.ReportAllocs()
	for b.Loop() {
		read := &wire.Configuration{}
		if err := proto.Unmarshal(body, read); err != nil {
			b.Fatal(err)
		}
		config.NewTable(read)
	}
}

func judgeChange(b *testing.B, whole *wire.Configuration, change *wire.ConfigurationChange) {
	b.ReportAllocs()
	for b.Loop() {
		if faults := config.Check(config.Apply(whole, change)); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}

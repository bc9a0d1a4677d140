package scale

import (
	"maps"
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

func (f *Field) kept(s sweep) {
	for _, each := range s[crowdRole] {
		if late := each.Crowd.Late; late > time.Duration(f.settings.Pace)*time.Millisecond {
			f.fault("hollow nodes kept no pace: p99 of a tick %s late", late.Round(time.Millisecond))
			return
		}
	}
}

func (f *Field) note(name string, value float64) { f.figures[name] = value }

func (f *Field) spread(prefix string, h *hdr.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	for name, value := range map[string]int64{"p50": h.ValueAtQuantile(50), "p99": h.ValueAtQuantile(99), "max": h.Max()} {
		f.note(prefix+"."+name+".ms", float64(value)/1000)
	}
	f.note(prefix+".count", float64(h.TotalCount()))
}

func mean(from, to []Stat, of func(Stat) float64) (middle, most float64) {
	for i := range to {
		each := of(to[i]) - of(from[i])
		middle += each / float64(len(to))
		most = max(most, each)
	}
	return middle, most
}

var measures = map[string]func(Stat) float64{
	"cpu":     func(s Stat) float64 { return s.Cpu.Seconds() },
	"in":      func(s Stat) float64 { return float64(s.In) },
	"out":     func(s Stat) float64 { return float64(s.Out) },
	"sends":   func(s Stat) float64 { return float64(s.Sends) },
	"syncs":   func(s Stat) float64 { return float64(s.Syncs) },
	"written": func(s Stat) float64 { return float64(s.Written) },
}

func (f *Field) account(prefix string, from, to sweep, per float64) {
	for _, role := range []string{keelRole, nodeRole} {
		if len(to[role]) == 0 {
			continue
		}
		for name, of := range measures {
			middle, most := mean(from[role], to[role], of)
			f.note(prefix+role+"."+name, middle/per)
			if name == "cpu" {
				f.note(prefix+role+"."+name+".most", most/per)
			}
		}
		resident := 0.0
		for _, each := range to[role] {
			resident = max(resident, float64(each.Memory))
		}
		f.note(prefix+role+".memory", resident)
	}
	each := per * float64(f.live())
	sum := func(of func(Stat) float64) (total float64) {
		for i := range to[crowdRole] {
			total += of(to[crowdRole][i]) - of(from[crowdRole][i])
		}
		return total / each
	}
	f.note(prefix+"hollow.in", sum(measures["in"]))
	f.note(prefix+"hollow.out", sum(measures["out"]))
	f.note(prefix+"hollow.hails", sum(func(s Stat) float64 { return float64(s.Crowd.Hails) }))
	f.note(prefix+"hollow.sights", sum(func(s Stat) float64 { return float64(s.Crowd.Sights) }))
	f.note(prefix+"hollow.charts", sum(func(s Stat) float64 { return float64(s.Crowd.Charts) }))
	f.note(prefix+"hollow.errors", sum(func(s Stat) float64 { return float64(s.Crowd.Errors) }))
	f.note(prefix+"hollow.spans", sum(func(s Stat) float64 { return float64(s.Crowd.Spans) }))
	f.note(prefix+"hollow.owed", sum(func(s Stat) float64 { return float64(s.Crowd.Owed) }))
}

func seconds(from, to sweep) float64 { return (to[keelRole][0].At - from[keelRole][0].At).Seconds() }

func names(figures map[string]float64) []string { return slices.Sorted(maps.Keys(figures)) }

// Package scale measures how the open fleet's control grows: real keels and nodes beside hollow nodes that share processes.
package scale

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	mostProcesses = 200
	mostHollow    = 8000
	mostPort      = 60000
	leastMemory   = 256 << 20
	learnedSpans  = 5
)

// Settings of a scale run.
type Settings struct {
	Drivers   string `arg:"--drivers" default:"nodes,upstreams,routes,changes,restarts,spans,odds" help:"what grows, each alone"`
	Nodes     string `arg:"--nodes" default:"50,200,500,1000,2000" help:"sizes of the nodes' series"`
	Upstreams string `arg:"--upstreams" default:"1,4,20,100,200" help:"upstreams of each service, at --at nodes"`
	Routes    string `arg:"--routes" default:"10,100,300,1000,3000"`
	Changes   string `arg:"--changes" default:"0,1800,3600,7200,14400" help:"changes of configuration an hour"`
	Restarts  string `arg:"--restarts" default:"0,3600,7200,14400,28800" help:"restarts of nodes an hour"`
	Spans     string `arg:"--spans" default:"0,5,20,50,100" help:"spans a second from each node"`
	Odds      string `arg:"--odds" default:"20,100,300,1000,3000" help:"routes in the chart while each node sends five spans a second"`
	At        int    `arg:"--at" default:"200" help:"nodes while another driver grows"`
	Keels     int    `arg:"--keels" default:"3"`
	Real      int    `arg:"--real" default:"3" help:"real nodes, each a process, beside the hollow ones"`
	Each      int    `arg:"--each" default:"250" help:"hollow nodes that share a process"`
	Services  int    `arg:"--services" default:"20"`
	Table     int    `arg:"--table" default:"40" help:"routes in the chart while another driver grows"`
	Window    int    `arg:"--window" default:"10" help:"seconds counted at each point"`
	Pace      int    `arg:"--pace" default:"100" help:"ms by which 99 in 100 of the hollow ones' own ticks may be late; a later point gives no figure"`
	Tries     int    `arg:"--tries" default:"2" help:"how often a point is measured at most while it keeps no pace"`
	Within    int    `arg:"--within" default:"1800" help:"seconds for the whole run"`
	Memory    int    `arg:"--memory" default:"12000" help:"MB for all processes together; a larger run ends"`
	Port      int    `arg:"--port" default:"28100" help:"first of six ports on 127.77.0.0/16"`
	Seed      uint64 `arg:"--seed" default:"1"`
	Folder    string `arg:"--folder" help:"disks and logs; a temporary one when left out"`
	Report    string `arg:"--report" help:"the JSON report's file; stdout has the text"`
	From      string `arg:"--from" help:"tell and draw earlier JSON reports, a list with commas, and measure nothing"`
	Plots     string `arg:"--plots" help:"folder for an SVG of each driver's slopes"`
	tempo     tempo
}

type tempo struct {
	calm    time.Duration
	between time.Duration
	changes int
}

var usualTempo = tempo{calm: 1500 * time.Millisecond, between: 600 * time.Millisecond, changes: 5}

// Description tells what the command is for.
func (Settings) Description() string {
	return "drill scale: measures the control plane's slopes with real keels and hollow nodes on this machine's loopback"
}

type point struct {
	driver   string
	x        float64
	nodes    int
	services int
	routes   int
	changes  float64
	restarts float64
	spans    float64
	hurt     bool
}

func (s *Settings) drivers() map[string]string {
	return map[string]string{"nodes": s.Nodes, "upstreams": s.Upstreams, "routes": s.Routes, "changes": s.Changes, "restarts": s.Restarts, "spans": s.Spans, "odds": s.Odds}
}

// Check lists every fault.
func (s *Settings) Check() (faults []string) {
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	between := func(name string, value, low, high int) {
		if value < low || value > high {
			fault("%s: %d is not within %d and %d", name, value, low, high)
		}
	}
	between("--at", s.At, 2, mostHollow)
	between("--keels", s.Keels, 1, 7)
	between("--real", s.Real, 0, 50)
	between("--each", s.Each, 1, mostHollow)
	between("--services", s.Services, 1, 5000)
	between("--table", s.Table, 1, 100000)
	between("--window", s.Window, 1, 600)
	between("--pace", s.Pace, 1, 10000)
	between("--tries", s.Tries, 1, 9)
	between("--within", s.Within, 5, 4*3600)
	between("--memory", s.Memory, leastMemory>>20, halfMemory()>>20)
	between("--port", s.Port, 1024, mostPort)
	lists, seen := s.drivers(), map[string]bool{}
	for name := range strings.SplitSeq(s.Drivers, ",") {
		if _, known := lists[name]; !known {
			fault("--drivers: %q is none of nodes, upstreams, routes, changes, restarts, spans, odds", name)
		}
		if seen[name] {
			fault("--drivers: %q stands twice", name)
		}
		seen[name] = true
	}
	for _, name := range []string{"nodes", "upstreams", "routes", "changes", "restarts", "spans", "odds"} {
		s.checkSizes(name, lists[name], fault)
	}
	return faults
}

// checkSizes tells the faults of one driver's list of sizes.
func (s *Settings) checkSizes(name, list string, fault func(format string, args ...any)) {
	values, bad := numbers(list)
	for _, each := range bad {
		fault("--%s: %q is no number from 0 on", name, each)
	}
	if len(bad) == 0 && !slices.IsSorted(values) {
		fault("--%s: sizes rise", name)
	}
	for _, value := range values {
		switch {
		case name == "nodes" && (value < 2 || value > mostHollow):
			fault("--nodes: %v is not within 2 and %d", value, mostHollow)
		case (name == "upstreams" || name == "routes" || name == "odds") && value < 1:
			fault("--%s: %v is below 1", name, value)
		}
		if name == "nodes" && s.Each > 0 && s.Keels+s.Real+int(value)/s.Each+1 > mostProcesses {
			fault("--each: %v nodes take more than %d processes", value, mostProcesses)
		}
	}
}

func numbers(list string) (values []float64, bad []string) {
	for each := range strings.SplitSeq(list, ",") {
		value, err := strconv.ParseFloat(strings.TrimSpace(each), 64)
		if err != nil || !(value >= 0) || value > 1e9 {
			bad = append(bad, each)
			continue
		}
		values = append(values, value)
	}
	return values, bad
}

func halfMemory() int {
	body, _ := os.ReadFile("/proc/meminfo")
	for line := range strings.Lines(string(body)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "MemTotal:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb << 10 / 2
		}
	}
	return 4 << 30
}

func (s *Settings) points() (all []point) {
	lists := s.drivers()
	for name := range strings.SplitSeq(s.Drivers, ",") {
		values, _ := numbers(lists[name])
		for _, x := range values {
			p := point{driver: name, x: x, nodes: s.At, services: s.Services, routes: s.Table}
			switch name {
			case "nodes":
				p.nodes, p.hurt = int(x), true
			case "upstreams":
				p.services = max(1, int(float64(s.At)/x))
			case "routes":
				p.routes = int(x)
			case "changes":
				p.changes = x / 3600
			case "restarts":
				p.restarts = x / 3600
			case "spans":
				p.spans = x
			case "odds":
				p.routes, p.spans = int(x), learnedSpans
			}
			all = append(all, p)
		}
	}
	return all
}

func (s *Settings) window() time.Duration { return time.Duration(s.Window) * time.Second }

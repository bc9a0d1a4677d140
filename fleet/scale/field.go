package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	// startWithin, phaseWithin and answerWithin bound the start of a field, one
	// phase of its measurement and one answer of a child.
	startWithin  = 150 * time.Second
	phaseWithin  = 45 * time.Second
	answerWithin = 60 * time.Second
	// look is the pause between two looks at the children.
	look = 100 * time.Millisecond
	// rampEach is the number of hollow nodes that start a second.
	rampEach = 400
	// tenth is how many nodes there are to each one that falls in the larger
	// fall.
	tenth = 10
	// leastKept is the part of the work due that must have been done for a
	// figure to count.
	leastKept = 0.95
)

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// Field is one point's processes.
type Field struct {
	settings *Settings
	point    point
	ctx      context.Context
	spawn    Spawn
	folder   string
	children []*child
	moors    []wireconnect.MoorClient
	serial   uint64
	missed   []string
	figures  map[string]float64
}

func (f *Field) fault(format string, args ...any) {
	f.missed = append(f.missed, fmt.Sprintf(format, args...))
}

func (f *Field) start(task Task) error {
	task.Seed = f.settings.Seed*1000003 + uint64(len(f.children))
	task.Folder = filepath.Join(f.folder, task.Name)
	task.Services, task.Routes, task.Spans, task.Port = f.point.services, f.point.routes, f.point.spans, f.settings.Port
	if err := os.MkdirAll(task.Folder, 0o755); err != nil {
		return err
	}
	to, from, end, err := f.spawn(task)
	if err != nil {
		return err
	}
	c := &child{task: task, to: to, from: json.NewDecoder(bufio.NewReader(from)), end: sync.OnceFunc(end)}
	f.children = append(f.children, c)
	return errors.Wrap(json.NewEncoder(to).Encode(task), task.Name)
}

func (f *Field) end() {
	base.Parallel(f.children, func(c *child) {
		_ = c.to.Close()
		c.end()
	})
}

func (f *Field) live() int { return f.point.nodes }

func (f *Field) raise() error {
	var seeds []string
	for i := range f.settings.Keels {
		seeds = append(seeds, address(fmt.Sprintf("127.77.1.%d", i+1), f.settings.Port))
	}
	web := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	for i, seed := range seeds {
		f.moors = append(f.moors, wireconnect.NewMoorClient(web, "http://"+seed))
		if err := f.start(Task{Role: keelRole, Name: fmt.Sprint("keel-", i+1), Ip: fmt.Sprintf("127.77.1.%d", i+1), Seeds: seeds}); err != nil {
			return err
		}
	}
	if err := f.until(startWithin, "keels ready", func(s sweep) bool {
		return !slices.ContainsFunc(s[keelRole], func(each Stat) bool { return !each.Ready })
	}); err != nil {
		return err
	}
	if err := f.change(&wire.ConfigurationProposal{Configuration: f.chart()}); err != nil {
		return err
	}
	for first := 0; first < f.point.nodes; first += f.settings.Each {
		count := min(f.settings.Each, f.point.nodes-first)
		task := Task{Role: crowdRole, Name: fmt.Sprint("crowd-", first), First: first, Count: count, Seeds: seeds, Ramp: time.Duration(f.point.nodes) * time.Second / rampEach}
		if err := f.start(task); err != nil {
			return err
		}
	}
	for i := range f.settings.Real {
		if err := f.start(Task{Role: nodeRole, Name: fmt.Sprint("node-", i+1), Ip: fmt.Sprintf("127.77.2.%d", i+1), Seeds: seeds}); err != nil {
			return err
		}
	}
	if err := f.until(startWithin, "every node with a chart", func(s sweep) bool {
		return s.crowds(func(c *CrowdStat) int64 { return int64(c.Charted) }) == int64(f.live()) &&
			!slices.ContainsFunc(s[nodeRole], func(each Stat) bool { return !each.Ready })
	}); err != nil {
		return err
	}
	return f.quiet()
}

// measure runs one point to its end.
func (f *Field) measure() error {
	f.figures = map[string]float64{}
	defer f.end()
	before, began := spent(), now()
	if err := f.raise(); err != nil {
		return err
	}
	if err := f.window(); err != nil {
		return err
	}
	if f.point.changes == 0 && f.point.restarts == 0 && f.point.spans == 0 {
		if err := f.changes(); err != nil {
			return err
		}
	}
	if f.point.hurt {
		if err := f.hurt(); err != nil {
			return err
		}
	}
	f.note("drill.cpu", (spent()-before).Seconds()/(now()-began).Seconds())
	return nil
}

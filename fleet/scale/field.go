package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	startWithin  = 150 * time.Second
	phaseWithin  = 45 * time.Second
	answerWithin = 60 * time.Second
	look         = 100 * time.Millisecond
	rampEach     = 400
	tenth        = 10
	leastKept    = 0.95
)

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

type child struct {
	task  Task
	to    io.WriteCloser
	from  *json.Decoder
	mu    sync.Mutex
	end   func()
	stats Stat
}

// Spawn starts a child and gives its input and output.
type Spawn func(task Task) (to io.WriteCloser, from io.Reader, end func(), err error)

// Processes spawns children as processes of this program, which must run Child when told word.
func Processes(word string) Spawn {
	return func(task Task) (io.WriteCloser, io.Reader, func(), error) {
		program, err := os.Executable()
		if err != nil {
			return nil, nil, nil, err
		}
		log, err := os.Create(filepath.Join(task.Folder, "log"))
		if err != nil {
			return nil, nil, nil, err
		}
		defer log.Close()
		process := exec.Command(program, word)
		process.Stderr = log
		process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		to, err := process.StdinPipe()
		if err != nil {
			return nil, nil, nil, err
		}
		from, err := process.StdoutPipe()
		if err != nil {
			return nil, nil, nil, err
		}
		if err := process.Start(); err != nil {
			return nil, nil, nil, err
		}
		return to, from, func() {
			_ = process.Process.Kill()
			_ = process.Wait()
		}, nil
	}
}

// Inside runs children within this process, for tests.
func Inside(task Task) (io.WriteCloser, io.Reader, func(), error) {
	in, to := io.Pipe()
	from, out := io.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = out.CloseWithError(Child(in, out, false))
	}()
	return to, from, func() {
		_ = to.Close()
		<-done
	}, nil
}

func (c *child) order(o Order) (Stat, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answered := time.AfterFunc(answerWithin, c.end)
	defer answered.Stop()
	if err := json.NewEncoder(c.to).Encode(o); err != nil {
		return c.stats, errors.Wrap(err, c.task.Name)
	}
	var stat Stat
	if err := c.from.Decode(&stat); err != nil {
		return c.stats, errors.Wrap(err, c.task.Name)
	}
	c.stats = stat
	return stat, nil
}

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
	base.All(f.children, func(c *child) {
		_ = c.to.Close()
		c.end()
	})
}

type sweep map[string][]Stat

func (f *Field) all(o Order) (sweep, error) {
	answers := make([]Stat, len(f.children))
	faults := make([]error, len(f.children))
	indices := slices.Collect(func(yield func(int) bool) {
		for i := range f.children {
			if !yield(i) {
				return
			}
		}
	})
	base.All(indices, func(i int) { answers[i], faults[i] = f.children[i].order(o) })
	found := sweep{}
	memory := int64(0)
	for i, c := range f.children {
		if faults[i] != nil {
			return nil, faults[i]
		}
		memory += answers[i].Memory
		found[c.task.Role] = append(found[c.task.Role], answers[i])
	}
	if memory>>20 > int64(f.settings.Memory) {
		return nil, errors.Errorf("%d MB in use, more than %d", memory>>20, f.settings.Memory)
	}
	return found, f.ctx.Err()
}

func (s sweep) crowds(of func(*CrowdStat) int64) (sum int64) {
	for _, each := range s[crowdRole] {
		sum += of(each.Crowd)
	}
	return sum
}

func (s sweep) times(what string) *hdr.Histogram {
	whole := histogram()
	for _, each := range s[crowdRole] {
		if raw := each.Crowd.Times[what]; len(raw) > 0 {
			if one, err := hdr.Decode(raw); err == nil {
				whole.Merge(one)
			}
		}
	}
	return whole
}

func (f *Field) until(within time.Duration, what string, reached func(sweep) bool) error {
	for began := time.Now(); ; time.Sleep(look) {
		seen, err := f.all(Order{Do: "stat"})
		if err != nil {
			return err
		}
		if reached(seen) {
			return nil
		}
		if time.Since(began) > within {
			return errors.Errorf("gave up after %s waiting for: %s", within, what)
		}
	}
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
	if err := f.change(&wire.ChartProposal{Chart: f.chart()}); err != nil {
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

func (f *Field) quiet() error {
	last, since := int64(-1), time.Now()
	return f.until(startWithin, "no more news of nodes", func(s sweep) bool {
		if sights := s.crowds(func(c *CrowdStat) int64 { return c.Sights }); sights != last {
			last, since = sights, time.Now()
		}
		return time.Since(since) > f.settings.tempo.calm
	})
}

func (f *Field) chart() *wire.Chart {
	c := &wire.Chart{Serial: 1, Limits: &wire.ChartLimits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderMs: 3000, IdleMs: 9000}}
	for i := range f.point.services {
		c.Services = append(c.Services, &wire.ChartService{Name: serviceName(i), Probe: "/health", ConnLimit: 9, Protocol: "h1"})
	}
	for i := range f.point.routes {
		c.Routes = append(c.Routes, f.route(i, 500))
	}
	return c
}

func (f *Field) route(i int, aim float64) *wire.ChartRoute {
	service := serviceName(i % f.point.services)
	return &wire.ChartRoute{
		Name: "route-" + strconv.Itoa(i), Host: service + ".example", Prefix: fmt.Sprintf("/part-%d/", i), CutoffMs: 2000, AimMs: aim, Tries: 2, Service: &service,
	}
}

func (f *Field) change(p *wire.ChartProposal) error {
	serial := max(p.GetChart().GetSerial(), p.GetChange().GetSerial())
	var err error
	for i := range 3 * len(f.moors) {
		ctx, cancel := context.WithTimeout(f.ctx, 4*time.Second)
		var reply *connect.Response[wire.ChartOutcome]
		reply, err = f.moors[(int(serial)+i)%len(f.moors)].Propose(ctx, connect.NewRequest(p))
		cancel()
		if err == nil && reply.Msg.Kind == "" {
			f.serial = serial
			return nil
		}
		if err == nil {
			return errors.Errorf("change %d bounced: %s %v", serial, reply.Msg.Kind, reply.Msg.Reasons)
		}
	}
	return errors.Wrapf(err, "change %d", serial)
}

func (f *Field) next() *wire.ChartProposal {
	serial := f.serial + 1
	return &wire.ChartProposal{Change: &wire.ChartChange{Serial: serial, Base: f.serial, Routes: []*wire.ChartRoute{f.route(int(serial)%f.point.routes, 500+float64(serial))}}}
}

func (f *Field) timed() (took time.Duration, err error) {
	p := f.next()
	began := now()
	if _, err := f.all(Order{Do: "expect", Serial: p.Change.Serial, At: now()}); err != nil {
		return 0, err
	}
	if err := f.change(p); err != nil {
		return 0, err
	}
	return now() - began, nil
}

func (f *Field) everywhere() error {
	return f.until(phaseWithin, fmt.Sprintf("change %d everywhere", f.serial), func(s sweep) bool {
		for _, each := range s[crowdRole] {
			if each.Crowd.Live > 0 && each.Crowd.Least < f.serial {
				return false
			}
		}
		return true
	})
}

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

func (f *Field) window() error {
	before, err := f.all(Order{Do: "forget"})
	if err != nil {
		return err
	}
	began, length := time.Now(), f.settings.window()
	changed, restarted := 0, 0
	for time.Since(began) < length {
		passed := time.Since(began).Seconds()
		switch {
		case float64(changed) < passed*f.point.changes:
			if _, err := f.timed(); err != nil {
				return err
			}
			changed++
		case float64(restarted) < passed*f.point.restarts:
			if _, err := f.all(Order{Do: "rise", Which: []int{restarted % f.point.nodes}, At: now()}); err != nil {
				return err
			}
			restarted++
		default:
			base.Await(base.Scope{Context: f.ctx}, 5*time.Millisecond)
			if err := f.ctx.Err(); err != nil {
				return err
			}
		}
	}
	after, err := f.all(Order{Do: "stat"})
	if err != nil {
		return err
	}
	f.kept(after)
	took := seconds(before, after)
	for what, done := range map[string][2]float64{"changes": {float64(changed), f.point.changes * took}, "restarts": {float64(restarted), f.point.restarts * took}} {
		if done[0] < leastKept*done[1]-1 {
			f.fault("%s kept no pace: %.0f of %.1f due", what, done[0], done[1])
		}
	}
	f.account("", before, after, took)
	if owed := f.figures["hollow.owed"]; f.figures["hollow.spans"] < leastKept*owed-1/took {
		f.fault("spans kept no pace: %.1f of %.1f a second were taken", f.figures["hollow.spans"], owed)
	}
	if f.point.changes > 0 {
		f.spread("change", after.times("change"))
	}
	return nil
}

func (f *Field) changes() error {
	before, err := f.all(Order{Do: "forget"})
	if err != nil {
		return err
	}
	acks := histogram()
	for range f.settings.tempo.changes {
		took, err := f.timed()
		if err != nil {
			return err
		}
		_ = acks.RecordValue(took.Microseconds())
		if err := f.everywhere(); err != nil {
			return err
		}
		time.Sleep(f.settings.tempo.between)
	}
	after, err := f.all(Order{Do: "stat"})
	if err != nil {
		return err
	}
	f.kept(after)
	f.spread("change", after.times("change"))
	f.spread("ack", acks)
	quiet := seconds(before, after)
	f.account("change.", before, after, float64(f.settings.tempo.changes))
	for _, name := range []string{"keel.cpu", "keel.out", "keel.in", "node.cpu", "hollow.in", "hollow.out", "hollow.hails"} {
		if usual, known := f.figures[name]; known {
			f.note("change."+name, f.figures["change."+name]-usual*quiet/float64(f.settings.tempo.changes))
		}
	}
	return nil
}

func (f *Field) hurt() error {
	var some []int
	for at := 0; at < f.point.nodes; at += tenth {
		some = append(some, at)
	}
	if err := f.fall("one", []int{f.point.nodes - 1}); err != nil {
		return err
	}
	if err := f.rise("one", []int{f.point.nodes - 1}); err != nil {
		return err
	}
	if err := f.fall("tenth", some); err != nil {
		return err
	}
	return f.rise("tenth", some)
}

func (f *Field) fall(prefix string, which []int) error {
	before, err := f.all(Order{Do: "forget"})
	if err != nil {
		return err
	}
	if _, err := f.all(Order{Do: "fall", Which: which, At: now()}); err != nil {
		return err
	}
	owed := int64(len(which)) * int64(f.live()-len(which))
	if err := f.until(phaseWithin, "everyone knowing who fell", func(s sweep) bool {
		return s.crowds(func(c *CrowdStat) int64 { return int64(c.Found) }) >= owed
	}); err != nil {
		return err
	}
	after, err := f.all(Order{Do: "stat"})
	if err != nil {
		return err
	}
	f.kept(after)
	f.spread(prefix+".found", after.times("found"))
	f.account(prefix+".fell.", before, after, 1)
	f.note(prefix+".fell.seconds", seconds(before, after))
	return nil
}

func (f *Field) rise(prefix string, which []int) error {
	before, err := f.all(Order{Do: "forget"})
	if err != nil {
		return err
	}
	if _, err := f.all(Order{Do: "rise", Which: which, At: now()}); err != nil {
		return err
	}
	owed := int64(len(which)) * int64(f.live()-len(which))
	if err := f.until(phaseWithin, "everyone knowing who rose", func(s sweep) bool {
		return s.crowds(func(c *CrowdStat) int64 { return int64(c.Back) }) >= owed && s.crowds(func(c *CrowdStat) int64 { return int64(c.Charted) }) == int64(f.live())
	}); err != nil {
		return err
	}
	after, err := f.all(Order{Do: "stat"})
	if err != nil {
		return err
	}
	f.kept(after)
	f.spread(prefix+".ready", after.times("ready"))
	f.spread(prefix+".seen", after.times("seen"))
	f.account(prefix+".rose.", before, after, 1)
	f.note(prefix+".rose.seconds", seconds(before, after))
	return f.quiet()
}

// Measure runs one point to its end.
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

func names(figures map[string]float64) []string { return slices.Sorted(maps.Keys(figures)) }

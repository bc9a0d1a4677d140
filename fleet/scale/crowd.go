package scale

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"curlewreach/base"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	hailWait   = 600 * time.Millisecond
	hailSlack  = 500 * time.Millisecond
	hailPause  = 150 * time.Millisecond
	keelsAsked = 3
	youth      = 1500 * time.Millisecond
	paceEvery  = 50 * time.Millisecond
	lanesKept  = 20000
	longestUs  = int64(10 * time.Minute / time.Microsecond)
)

// CrowdStat is what hollow nodes count and time.
type CrowdStat struct {
	Live    int
	Charted int
	Least   uint64
	Hails   int64
	Errors  int64
	Sights  int64
	Charts  int64
	Keeps   int64
	Spans   int64
	Owed    int64
	Late    time.Duration
	Found   int
	Back    int
	Times   map[string][]byte
}

type member struct {
	at      int
	name    string
	life    string
	born    time.Duration
	mu      sync.Mutex
	serial  uint64
	odds    uint64
	rand    *base.Rand
	stop    context.CancelFunc
	gone    map[string]uint8
	back    map[string]bool
	revived bool
}

// Crowd is many hollow nodes in one process: all of a node's words to the keels and none of its requests.
type Crowd struct {
	scope   base.Scope
	task    Task
	hailers []*connect.Client[wire.PollRequest, Glance]
	lenses  []wireconnect.LensClient
	rand    *base.Rand
	crew    base.Group

	hails, errors, sights, charts, keeps, spans, owed atomic.Int64

	mu      sync.Mutex
	members []*member
	lives   int
	due     map[uint64]time.Duration
	fell    map[string]time.Duration
	rose    map[string]time.Duration
	found   int
	back    int
	times   map[string]*hdr.Histogram
	late    *hdr.Histogram
}

func newCrowd(s base.Scope, task Task) *Crowd {
	c := &Crowd{scope: s, task: task, rand: s.Rand, due: map[uint64]time.Duration{}, fell: map[string]time.Duration{}, rose: map[string]time.Duration{}}
	c.times, c.late = map[string]*hdr.Histogram{}, histogram()
	web := &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial, MaxIdleConnsPerHost: lanesKept, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}
	for _, seed := range task.Seeds {
		if len(c.hailers) < keelsAsked {
			c.hailers = append(c.hailers, connect.NewClient[wire.PollRequest, Glance](web, "http://"+seed+wireconnect.MoorHailProcedure, connect.WithCodec(thin{})))
		}
		c.lenses = append(c.lenses, wireconnect.NewLensClient(web, "http://"+seed))
	}
	for i := range task.Count {
		c.members = append(c.members, &member{at: task.First + i, name: nodeName(task.First + i)})
	}
	return c
}

func histogram() *hdr.Histogram { return hdr.New(1, longestUs, 3) }

func nodeName(at int) string { return fmt.Sprintf("hollow-%05d", at) }

func serviceName(at int) string { return fmt.Sprintf("service-%04d", at) }

func (c *Crowd) run(ramp time.Duration) {
	c.crew.Go(c.watchPace)
	for i, m := range c.members {
		c.crew.Go(func() {
			if ramp > 0 {
				base.Await(c.scope, ramp*time.Duration(i)/time.Duration(len(c.members)))
			}
			c.raise(m, "first")
		})
	}
}

func (c *Crowd) watchPace() {
	next := time.Now()
	for c.scope.Err() == nil {
		next = next.Add(paceEvery)
		base.Await(c.scope, time.Until(next))
		c.mu.Lock()
		_ = c.late.RecordValue(max(time.Since(next).Microseconds(), 1))
		c.mu.Unlock()
	}
}

func (c *Crowd) raise(m *member, prefix string) {
	if c.scope.Err() != nil {
		return
	}
	s, stop := c.scope.WithCancel()
	c.mu.Lock()
	c.lives++
	life := prefix + strconv.Itoa(c.lives)
	rand := base.SeededRand(c.rand.Uint64())
	c.mu.Unlock()
	m.mu.Lock()
	m.life, m.serial, m.odds, m.born, m.stop, m.rand, m.revived = life, 0, 0, now(), stop, rand, prefix == again
	m.gone, m.back = map[string]uint8{}, map[string]bool{}
	m.mu.Unlock()
	for k := range c.hailers {
		c.crew.Go(func() { c.call(s, m, life, k) })
	}
	if c.task.Spans > 0 {
		c.crew.Go(func() { c.report(s, m) })
	}
}

func (m *member) alive(life string) bool { return m.stop != nil && m.life == life }

func (c *Crowd) fellOne(m *member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stop != nil {
		m.stop()
		m.stop = nil
	}
}

func (c *Crowd) post(m *member, life string, serial uint64) *wire.NodeStatus {
	service := serviceName(m.at % c.task.Services)
	ip := fmt.Sprintf("10.%d.%d.%d", 64+m.at>>16, m.at>>8&255, m.at&255)
	zone := "zone-" + strconv.Itoa(m.at%zones)
	return &wire.NodeStatus{
		Node: m.name, Incarnation: life, Number: 1, Inward: ip + ":7002", Zone: zone, Service: service, Serial: serial,
		Instance: &wire.Instance{Id: "i-" + m.name, Service: service, Address: ip + ":8080", Zone: zone, Capacity: 8, Sequence: uint64((now() - m.born) / time.Second)},
	}
}

func (c *Crowd) call(s base.Scope, m *member, life string, k int) {
	keel, roster, wants := "", uint64(0), true
	for s.Err() == nil {
		m.mu.Lock()
		serial, odds := m.serial, m.odds
		m.mu.Unlock()
		wait := hailWait
		if wants {
			wait = 0
		}
		ctx, cancel := context.WithTimeout(s, wait+hailSlack)
		c.hails.Add(1)
		reply, err := c.hailers[k].CallUnary(ctx, connect.NewRequest(&wire.PollRequest{
			NodeStatus: c.post(m, life, serial), Serial: serial, Wants: wants, Odds: odds, Controller: keel, Registry: roster, WaitMs: uint64(wait.Milliseconds()),
		}))
		cancel()
		if err != nil {
			if s.Err() == nil {
				c.errors.Add(1)
				base.Await(s, hailPause)
			}
			wants = false
		} else {
			keel, roster = reply.Msg.Keel, reply.Msg.Roster
			wants = c.heard(m, life, k, reply.Msg)
		}
		m.mu.Lock()
		wants = wants || m.serial == 0 && now()-m.born < youth
		m.mu.Unlock()
	}
}

func (c *Crowd) heard(m *member, life string, k int, g *Glance) (wants bool) {
	c.sights.Add(int64(g.Sights))
	if g.Chart > 0 {
		c.charts.Add(1)
	}
	at := now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.alive(life) {
		return false
	}
	m.odds = max(m.odds, g.Odds)
	if g.Chart > m.serial {
		c.adopted(m, g.Chart, at)
		m.serial = g.Chart
	}
	if len(g.Gone)+len(g.Back) > 0 {
		c.news(m, k, g, at)
	}
	return g.Chart == 0 && g.Serial > m.serial
}

func (c *Crowd) adopted(m *member, serial uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.serial == 0 {
		if m.revived {
			c.time("ready", at-m.born)
		}
		return
	}
	for each, began := range c.due {
		if each > m.serial && each <= serial {
			c.time("change", at-began)
		}
	}
}

func (c *Crowd) news(m *member, k int, g *Glance, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range g.Gone {
		began, known := c.fell[name]
		if !known || m.gone[name]&(1<<k) != 0 {
			continue
		}
		if m.gone[name] |= 1 << k; m.gone[name] == 1<<len(c.hailers)-1 {
			c.time("found", at-began)
			c.found++
		}
	}
	for _, name := range g.Back {
		if began, known := c.rose[name]; known && !m.back[name] {
			m.back[name] = true
			c.time("seen", at-began)
			c.back++
		}
	}
}

func (c *Crowd) time(what string, took time.Duration) {
	if c.times[what] == nil {
		c.times[what] = histogram()
	}
	_ = c.times[what].RecordValue(min(max(took.Microseconds(), 1), longestUs))
}

func (c *Crowd) report(s base.Scope, m *member) {
	owed := 0.0
	turn := m.rand.IntN(len(c.lenses))
	base.Await(s, time.Duration(m.rand.Float64()*float64(time.Second)))
	base.Tick(s, time.Second, func(s base.Scope) {
		owed += c.task.Spans
		batch := &wire.Batch{Id: m.rand.Name(8)}
		for ; owed >= 1; owed-- {
			batch.Spans = append(batch.Spans, c.span(m))
		}
		if len(batch.Spans) == 0 {
			return
		}
		c.owed.Add(int64(len(batch.Spans)))
		copies := min(2, len(c.lenses))
		for range copies {
			turn++
			bounded, cancel := s.WithTimeout(time.Second)
			_, err := c.lenses[turn%len(c.lenses)].Keep(bounded, connect.NewRequest(&wire.KeepRequest{Batch: batch}))
			cancel()
			if c.keeps.Add(1); err != nil {
				c.errors.Add(1)
				return
			}
		}
		c.spans.Add(int64(len(batch.Spans)))
	})
}

func (c *Crowd) span(m *member) *wire.Span {
	own := m.at % c.task.Services
	route := "route-" + strconv.Itoa(own+c.task.Services*m.rand.IntN(max((c.task.Routes-own+c.task.Services-1)/c.task.Services, 1)))
	return &wire.Span{
		Trace: m.rand.Name(6), Id: m.rand.Name(6), Parent: m.rand.Name(6), Service: serviceName(m.at % c.task.Services), Route: route, Node: m.name, Seat: "i-" + m.name,
		StartedUs: time.Now().UnixMicro(), DurationUs: uint64(1000 + m.rand.IntN(50000)), SelfUs: uint64(1000 + m.rand.IntN(900)), Status: http.StatusOK, Tags: map[string]string{"zone": "zone-0"},
	}
}

func (c *Crowd) pick(names []int) (mine []*member) {
	for _, at := range names {
		if i := at - c.task.First; i >= 0 && i < len(c.members) {
			mine = append(mine, c.members[i])
		}
	}
	return mine
}

func (c *Crowd) expect(serial uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due[serial] = at
}

func (c *Crowd) fall(which []int, at time.Duration) {
	c.mu.Lock()
	clear(c.fell)
	c.found = 0
	for _, each := range which {
		c.fell[nodeName(each)] = at
	}
	c.mu.Unlock()
	for _, m := range c.members {
		m.mu.Lock()
		clear(m.gone)
		m.mu.Unlock()
	}
	for _, m := range c.pick(which) {
		c.fellOne(m)
	}
}

func (c *Crowd) rise(which []int, at time.Duration) {
	c.mu.Lock()
	clear(c.rose)
	c.back = 0
	for _, each := range which {
		c.rose[nodeName(each)] = at
	}
	c.mu.Unlock()
	for _, m := range c.members {
		m.mu.Lock()
		clear(m.back)
		m.mu.Unlock()
	}
	for _, m := range c.pick(which) {
		c.fellOne(m)
		c.raise(m, again)
	}
}

func (c *Crowd) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.times)
	c.late.Reset()
}

func (c *Crowd) stat() *CrowdStat {
	told := &CrowdStat{
		Hails: c.hails.Load(), Errors: c.errors.Load(), Sights: c.sights.Load(), Charts: c.charts.Load(), Keeps: c.keeps.Load(), Spans: c.spans.Load(), Owed: c.owed.Load(),
		Times: map[string][]byte{},
	}
	for _, m := range c.members {
		m.mu.Lock()
		if m.stop != nil {
			if told.Live == 0 || m.serial < told.Least {
				told.Least = m.serial
			}
			told.Live++
			if m.serial > 0 {
				told.Charted++
			}
		}
		m.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	told.Found, told.Back = c.found, c.back
	told.Late = time.Duration(c.late.ValueAtQuantile(99)) * time.Microsecond
	for what, each := range c.times {
		told.Times[what], _ = each.Encode(hdr.V2CompressedEncodingCookieBase)
	}
	return told
}

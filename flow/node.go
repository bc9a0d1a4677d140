package flow

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	validation "github.com/go-ozzo/ozzo-validation/v4"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/membership"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	ReportPath  = "/curlewreach/report"
	beatRatio   = 0.1
	oldestRatio = 1.5
	patience    = 0.25
	wholeRatio  = 8
	sliceFile   = "slice"
	oddsFile    = "odds"

	mostCapacity = 1 << 20
	mostWeight   = 1 << 20
)

type outlook struct {
	sighting *wire.Sighting
	heard    time.Duration
}

type Dials struct {
	Held    int
	Longest int
	Trust   bundle.Trust
}

func (n *Node) Turn(params *wire.VaneParams, trust bundle.Trust) {
	n.dials.Store(&Dials{Held: int(params.Held), Longest: int(params.Longest), Trust: trust})
	n.gate.Resize(int(params.Flights))
	n.scope.Note("params", "", "turned")
}

// Lock order: picking before any other; ties, seats, gates, fences and repeats never nest.
type Node struct {
	scope     base.Scope
	self      string
	zone      string
	dials     atomic.Pointer[Dials]
	patience  time.Duration
	force     time.Duration
	web       *http.Client
	outward   *http.Transport
	member    *membership.Member
	seats     *Seats
	fences    *Fences
	ties      *Ties
	gate      *Gate
	repeats   *Repeats
	room      room
	budget    *Budget
	keeper    *tracing.Keeper
	sink      *tracing.Sink
	slice     atomic.Pointer[bundle.Bundle]
	stopping  atomic.Bool
	ends      atomic.Int64
	flying    atomic.Int64
	adopting  sync.Mutex
	mates     base.Table[wireconnect.FlowClient]
	atlas     base.Table[outlook]
	keels     []wireconnect.HelmClient
	heard     []atomic.Int64
	first     int
	kept      base.Bell
	keptOdds  base.Bell
	claims    *Claims
	risenBell base.Bell
	picking   sync.Mutex
	records   map[string]*record
}

func NewNode(s base.Scope, web *http.Client, params *wire.VaneParams, trust bundle.Trust) *Node {
	bounds := params.Bounds
	leaving := bounds.Leaving.AsDuration()
	n := &Node{
		room:  room{most: int64(params.Room)},
		scope: s, self: params.Name, zone: params.Zone,
		patience: time.Duration(float64(leaving) * patience), force: bounds.InForce.AsDuration(), web: web,
		outward: outwards(s.Net),
		fences:  NewFences(s.Clock, 2*bounds.Grace.AsDuration()), ties: NewTies(s.Clock),
		gate: NewGate(s.Clock, int(params.Flights), int(params.Queue)), repeats: NewRepeats(), budget: NewBudget(s.Clock),
		keeper: tracing.NewKeeper(s.Rand), sink: tracing.NewSink(s, web, params.Seeds, int(params.Queue)), records: map[string]*record{},
	}
	n.claims = NewClaims(s.Clock, params.Name, len(params.Seeds), time.Duration(float64(bounds.SlideBack.AsDuration())*claimRatio), bounds.InForce.AsDuration(), bounds.Alone.AsDuration())
	n.dials.Store(&Dials{Held: int(params.Held), Longest: int(params.Longest), Trust: trust})
	self := &wire.Roster{Node: params.Name, Address: params.Mates, Zone: params.Zone}
	n.member = membership.NewMember(s, web, self, params.Seeds, nil, time.Duration(float64(leaving)*beatRatio))
	n.member.Enrich = func(reply *wire.TellReply) {
		reply.Carried, reply.Watched = n.gate.Granted(), n.budget.Spent()
	}
	n.seats = NewSeats(s, time.Duration(float64(leaving)*oldestRatio), int(params.Queue), func(rows []*wire.Seat) {
		slices.SortFunc(rows, func(a, b *wire.Seat) int { return strings.Compare(a.Address, b.Address) })
		n.member.Change(func(roster *wire.Roster) { roster.Seats = rows })
	})
	n.heard, n.first = make([]atomic.Int64, len(params.Seeds)), membership.Turn(params.Name, len(params.Seeds))
	for _, seed := range params.Seeds {
		n.keels = append(n.keels, wireconnect.NewHelmClient(web, "http://"+seed))
	}
	return n
}

func outwards(net base.Net) *http.Transport {
	return &http.Transport{DialContext: net.Dial, DisableKeepAlives: true, DisableCompression: true}
}

func (n *Node) enter() func() {
	n.flying.Add(1)
	return func() { n.flying.Add(-1) }
}

func (n *Node) Run(s base.Scope) {
	n.recall()
	var crew base.Crew
	crew.Go(func() { n.member.Run(s) })
	crew.Go(func() { n.sink.Run(s, n.force/4) })
	crew.Go(func() {
		base.Tick(s, n.force/8, func(base.Scope) {
			n.seats.Sweep()
			n.fences.Sweep()
			n.sweep()
		})
	})
	crew.Go(func() { n.remember(s) })
	crew.Go(func() { n.vouch(s) })
	for index, keel := range n.keels {
		crew.Go(func() { n.follow(s, index, keel) })
	}
	crew.Wait()
	n.seats.Close()
}

func (n *Node) recallOdds() {
	raw, err := n.scope.Disk.Read(oddsFile)
	odds := &wire.Odds{}
	if err != nil {
		return
	}
	if err := base.Unframe(raw, odds); err != nil {
		n.scope.Note("odds-bounced", "", "from disk: "+err.Error())
		return
	}
	n.load(odds)
}

func (n *Node) load(odds *wire.Odds) {
	if odds.GetSerial() <= n.keeper.Serial() {
		return
	}
	if mishap := n.keeper.Load(odds); mishap != nil {
		n.scope.Note("odds-bounced", "", mishap.Error())
		return
	}
	n.member.Change(func(roster *wire.Roster) { roster.Odds = odds.Serial })
	n.keptOdds.Ring()
}

func (n *Node) recall() {
	n.recallOdds()
	raw, err := n.scope.Disk.Read(sliceFile)
	sealed := &wire.Sealed{}
	if err != nil || proto.Unmarshal(raw, sealed) != nil {
		return
	}
	if signed := n.open(sealed); signed != nil {
		n.claims.Recall(signed)
		n.scope.Note("recalled", "", "a slice from disk, in force once a majority confirms it")
	}
}

func (n *Node) open(sealed *wire.Sealed) *bundle.Bundle {
	if sealed == nil {
		return nil
	}
	if _, mishap := n.dials.Load().Trust.Verify(sealed); mishap != nil {
		n.scope.Note("slice-bounced", "", mishap.Error())
		return nil
	}
	raw, mishap := bundle.Open(sealed)
	if mishap != nil {
		n.scope.Note("slice-bounced", "", mishap.Error())
		return nil
	}
	return bundle.Index(sealed, raw)
}

func (n *Node) remember(s base.Scope) {
	if !base.HasFolder(n.scope.Disk) {
		return
	}
	var crew base.Crew
	crew.Go(func() {
		n.keepEach(s, &n.kept, sliceFile, func() ([]byte, error) {
			signed := n.slice.Load()
			if signed == nil {
				return nil, nil
			}
			return proto.Marshal(signed.Sealed)
		})
	})
	crew.Go(func() {
		n.keepEach(s, &n.keptOdds, oddsFile, func() ([]byte, error) {
			odds := n.keeper.Odds()
			if odds == nil {
				return nil, nil
			}
			return base.Frame(odds)
		})
	})
	crew.Wait()
}

func (n *Node) keepEach(s base.Scope, bell *base.Bell, file string, body func() ([]byte, error)) {
	for s.Err() == nil {
		heard := bell.Heard()
		raw, err := body()
		if err == nil && raw != nil {
			err = base.Keep(n.scope.Disk, file, raw)
		}
		if err != nil {
			n.scope.Note(file+"-unkept", "", err.Error())
		}
		base.Await(s, time.Hour, heard)
	}
}

func (n *Node) Stop(ctx context.Context, grace time.Duration) {
	n.ends.Store(int64(n.scope.Clock.Mono() + grace))
	n.stopping.Store(true)
	n.member.Change(func(roster *wire.Roster) { roster.Stopping = true })
	n.scope.Note("stopping", "", "")
	s := n.scope.Under(ctx)
	for base.Await(s, n.patience); n.flying.Load() > 0 && s.Err() == nil; {
		base.Await(s, n.patience/64)
	}
}

func (n *Node) Ready() bool {
	_, _, ready := n.Serving()
	return ready
}

func (n *Node) Serving() (serial uint64, digest string, ready bool) {
	signed := n.slice.Load()
	if signed == nil {
		return 0, "", false
	}
	return signed.Serial, bundle.Digest(signed.Sealed), n.claims.Good(signed.Serial) && !n.stopping.Load()
}

func (n *Node) Bundle() *bundle.Bundle { return n.slice.Load() }

func (n *Node) Keeper() *tracing.Keeper { return n.keeper }

func (n *Node) Incarnation() string { return n.member.Incarnation() }

func (n *Node) Watched() map[string]uint64 { return n.budget.Spent() }

func (n *Node) follow(s base.Scope, index int, keel wireconnect.HelmClient) {
	ask := &wire.NewsRequest{Node: n.self}
	var concern string
	var committed uint64
	var whole time.Duration
	for s.Err() == nil {
		n.fill(ask)
		if now := fmt.Sprint(ask.Serial, ask.Seats, committed); now != concern || s.Clock.Mono()-whole > wholeRatio*n.force {
			concern, whole, ask.Keel = now, s.Clock.Mono(), ""
		}
		ask.Patient = n.spare(index)
		asked := s.Clock.Mono()
		bounded, cancel := s.Within(n.force)
		reply, err := keel.News(bounded, connect.NewRequest(ask))
		cancel()
		if err != nil {
			ask.Keel = ""
			n.heard[index].Store(0)
			base.Await(s, n.force/16)
			continue
		}
		n.heard[index].Store(int64(s.Clock.Mono()))
		n.risen(n.claims.Heard(index, asked, reply.Msg, n.open))
		n.learn(reply.Msg)
		ask.Keel, ask.Roster, committed = reply.Msg.Keel, reply.Msg.Roster, reply.Msg.Serial
	}
}

func (n *Node) spare(index int) bool {
	hearing := 0
	for i := range n.keels {
		at := (n.first + i) % len(n.keels)
		if heard := time.Duration(n.heard[at].Load()); heard == 0 || n.scope.Clock.Mono()-heard > n.force/4 {
			continue
		}
		if at == index {
			return hearing > len(n.keels)/2
		}
		hearing++
	}
	return false
}

func (n *Node) fill(ask *wire.NewsRequest) {
	ask.Odds = n.keeper.Serial()
	ask.Parts, ask.Seats, ask.Serial, ask.Staged = nil, nil, 0, 0
	signed, staged, ballot := n.claims.Held()
	ask.Ballot = ballot
	if staged != nil {
		ask.Staged = staged.Serial
	}
	if signed != nil {
		ask.Serial = signed.Serial
		for _, part := range signed.Sealed.Parts {
			ask.Parts = append(ask.Parts, part.Name)
		}
	}
	for _, seat := range n.member.Roster().Seats {
		if !slices.Contains(ask.Seats, seat.Service) {
			ask.Seats = append(ask.Seats, seat.Service)
		}
	}
}

func (n *Node) learn(news *wire.NewsReply) {
	n.load(news.Odds)
	now := n.scope.Clock.Mono()
	n.atlas.Change(func(rows map[string]outlook) {
		for _, sighting := range news.Sightings {
			name := sighting.Roster.Node
			known, had := rows[name]
			if had && known.sighting.Roster.Incarnation == sighting.Roster.Incarnation && known.sighting.Roster.Serial > sighting.Roster.Serial {
				continue
			}
			rows[name] = outlook{sighting, now}
		}
	})
}

func (n *Node) risen(signed *bundle.Bundle) {
	if signed == nil {
		return
	}
	n.adopting.Lock()
	defer n.adopting.Unlock()
	if held := n.slice.Load(); held != nil && held.Serial > signed.Serial {
		return
	}
	n.repeats.Set(signed)
	n.budget.Set(signed)
	n.member.Place(signed.Machines())
	n.slice.Store(signed)
	n.member.Change(func(roster *wire.Roster) { roster.Holding = signed.Serial })
	n.scope.Note("in-force", "", strconv.FormatUint(signed.Serial, 10))
	n.kept.Ring()
	n.risenBell.Ring()
}

func (n *Node) Visitors() http.Handler { return n.door(false) }

func (n *Node) Upstreams() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ReportPath, n.report)
	mux.Handle("/", n.door(true))
	return mux
}

func (n *Node) Mates() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewFlowHandler(farServer{n}, base.Plain()))
	mux.Handle(membership.Handler(n.member))
	return mux
}

func (n *Node) Ops() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		status := http.StatusOK
		serial, digest, ready := n.Serving()
		if !ready {
			status = http.StatusServiceUnavailable
		}
		base.Reply(w, status, map[string]any{"ready": ready, "name": n.self, "serial": serial, "digest": digest, "odds": n.keeper.Serial()})
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) { base.Reply(w, http.StatusOK, n.scope.Journal.Counts()) })
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, r *http.Request) {
		base.Reply(w, http.StatusOK, slices.Collect(n.scope.Journal.About(r.URL.Query().Get("subject"))))
	})
	return mux
}

func (n *Node) report(w http.ResponseWriter, r *http.Request) {
	var said struct {
		Service  string  `json:"service"`
		Address  string  `json:"address"`
		Zone     string  `json:"zone"`
		Capacity uint32  `json:"capacity"`
		Leaving  bool    `json:"leaving"`
		Weight   float64 `json:"weight"`
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 4096))
	if err == nil {
		err = json.Unmarshal(body, &said)
	}
	if err == nil {
		err = validation.Errors{
			"service":  validation.Validate(said.Service, validation.Required, validation.Match(named)),
			"address":  validation.Validate(said.Address, validation.Required, base.IsAddress),
			"zone":     validation.Validate(said.Zone, validation.Match(named)),
			"capacity": validation.Validate(said.Capacity, validation.Max(uint32(mostCapacity))),
			"weight":   validation.Validate(said.Weight, validation.Min(0.0), validation.Max(float64(mostWeight))),
		}.Filter()
	}
	if err != nil {
		bounceTo(w, base.Bounce(base.Malformed, "", "%s", strings.Join(base.Mishaps(err), "; ")))
		return
	}
	seat := &wire.Seat{Service: said.Service, Address: said.Address, Zone: said.Zone, Capacity: max(said.Capacity, 1), Leaving: said.Leaving, Weight: max(said.Weight, 0)}
	if mishap := n.seats.Report(n.scope.Under(r.Context()), seat); mishap != nil {
		bounceTo(w, mishap)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

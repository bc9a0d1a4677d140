package openfleet

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/internal/config"
	"curlewreach/internal/testing/judge"
	"curlewreach/proto/wire"
)

// The names of the rules that Check judges.
const (
	// RuleAtMostOnce requires: no request of a route that forbids retries runs more than once.
	RuleAtMostOnce = "twice"
	// RuleRejectedNotRun requires: a request of such a route that was rejected as not run has not run.
	RuleRejectedNotRun = "refused"
	// RuleResponseIntegrity requires: each response is well formed and belongs to its request, and nothing else is received.
	RuleResponseIntegrity = "mixed"
	// RuleRequestIntegrity requires: upstreams receive only requests that were sent, unchanged, with the true caller.
	RuleRequestIntegrity = "unasked"
	// RuleRouting requires: a request runs only at a service to which some configuration routes it.
	RuleRouting = "route"
	// RuleDrain requires: a leaving instance gets no request once the leaving bound has passed.
	RuleDrain = "drain"
	// RuleGracefulStop requires: a graceful stop of a node fails no request that could be served.
	RuleGracefulStop = "lost"
	// RuleConfigInForce requires: a request is handled by a configuration that may be in force at the time.
	RuleConfigInForce = "config"
	// RuleNoConfigRollback requires: a node that used a configuration doesn't return to an older one.
	RuleNoConfigRollback = "going back"
	// RuleProposalConflict requires: no invalid configuration is accepted, nor two on the same base version.
	RuleProposalConflict = "race"
	// RuleConfigDurability requires: an accepted configuration is not lost and is read back as it was sent.
	RuleConfigDurability = "kept"
	// RuleRetryBudget requires: retries towards a service stay within its retry budget.
	RuleRetryBudget = "budget"
	// RuleFewClientErrors requires: nodes don't reject requests of known routes as client errors, but for a few.
	RuleFewClientErrors = "denied"
)

type book struct {
	*History
	verdict *judge.Verdict
	by      map[string]*Attempt
	runs    map[string][]*Arrival
	tables  map[*Proposal]*config.RoutingTable
}

func (b *book) found(format string, args ...any) {
	b.verdict.Violations = append(b.verdict.Violations, fmt.Sprintf(format, args...))
}

func (b *book) judged() { b.verdict.Checked++ }

// Check judges a whole history, rule by rule.
func Check(h *History) []judge.Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	slices.SortStableFunc(h.arrivals, func(a, b *Arrival) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
	slices.SortStableFunc(h.asks, func(a, b *Attempt) int { return cmp.Compare(a.SentAt, b.SentAt) })
	by, runs, tables := map[string]*Attempt{}, map[string][]*Arrival{}, map[*Proposal]*config.RoutingTable{}
	for _, ask := range h.asks {
		by[ask.ID] = ask
	}
	for _, each := range h.arrivals {
		runs[each.ID] = append(runs[each.ID], each)
	}
	for _, sent := range h.sent {
		tables[sent] = config.NewRoutingTable(sent.Configuration)
	}
	rules := []struct {
		name  string
		judge func(*book)
	}{
		{RuleAtMostOnce, twice},
		{RuleRejectedNotRun, refused},
		{RuleResponseIntegrity, mixed},
		{RuleRequestIntegrity, unasked},
		{RuleRouting, routed},
		{RuleDrain, drain},
		{RuleGracefulStop, lost},
		{RuleConfigInForce, configRule},
		{RuleNoConfigRollback, back},
		{RuleProposalConflict, race},
		{RuleConfigDurability, keeping},
		{RuleRetryBudget, budget},
		{RuleFewClientErrors, denied},
	}
	verdicts := make([]judge.Verdict, len(rules))
	for i, rule := range rules {
		verdicts[i].Rule = rule.name
		rule.judge(&book{h, &verdicts[i], by, runs, tables})
	}
	return verdicts
}

func twice(b *book) {
	for id, arrivals := range b.runs {
		if ask := b.by[id]; ask == nil || ask.Repeat != wire.Repeat_ONCE {
			continue
		}
		b.judged()
		if ran := count(arrivals, (*Arrival).ran); ran > 1 {
			b.found("%s ran %d times, first by %s, last by %s", id, ran, arrivals[0].Instance, arrivals[len(arrivals)-1].Instance)
		}
	}
}

func (a *Arrival) ran() bool { return a.Executed }

func count[T any](rows []T, fits func(T) bool) (n int) {
	for _, each := range rows {
		if fits(each) {
			n++
		}
	}
	return n
}

func refused(b *book) {
	for id, told := range b.told {
		ask := b.by[id]
		if ask.Repeat != wire.Repeat_ONCE || !promised(told) {
			continue
		}
		b.judged()
		if slices.ContainsFunc(b.runs[id], (*Arrival).ran) {
			b.found("%s was told %d %s at %s, yet ran at %s", id, told.Status, told.ErrorKind, told.EndedAt, b.runs[id][0].ArrivedAt)
		}
	}
}

func mixed(b *book) {
	for id, told := range b.told {
		if told.TransportError == "" {
			b.judged()
		}
		success := told.TransportError == "" && told.Status >= 200 && told.Status < 300
		switch {
		case told.Mismatch != "":
			b.found("%s: %s", id, told.Mismatch)
		case strings.Contains(told.TransportError, "malformed"):
			b.found("%s: %s", id, told.TransportError)
		case success && !slices.ContainsFunc(b.runs[id], func(a *Arrival) bool { return a.Status == told.Status }):
			b.found("%s was told %d, which no upstream answered", id, told.Status)
		}
	}
	for _, stray := range b.strays {
		b.found("stray bytes at %s", stray)
	}
}

func unasked(b *book) {
	for _, each := range b.arrivals {
		b.judged()
		ask := b.by[each.ID]
		switch {
		case ask == nil:
			b.found("%s came to %s, which nobody asked", each.ID, each.Instance)
		case each.Method != ask.Method || each.Target != ask.Target || each.Host != ask.Host || each.Digest != ask.Digest:
			b.found("%s came to %s as %s %s%s (%s)", each.ID, each.Instance, each.Method, each.Host, each.Target, each.Digest)
		case each.Caller != ask.Service:
			b.found("%s came to %s as a call of %q", each.ID, each.Instance, each.Caller)
		}
	}
}

func path(target string) string {
	before, _, _ := strings.Cut(target, "?")
	return before
}

func (b *book) allows(sent *Proposal, ask *Attempt, service string) bool {
	route, known := b.tables[sent].Find(ask.Host, path(ask.Target))
	return known && route.RoutesTo(service)
}

func (b *book) knows(sent *Proposal, ask *Attempt) bool {
	_, known := b.tables[sent].Find(ask.Host, path(ask.Target))
	return known
}

func routed(b *book) {
	for _, each := range b.arrivals {
		ask := b.by[each.ID]
		if ask == nil || !each.Executed {
			continue
		}
		b.judged()
		if !slices.ContainsFunc(b.sent, func(sent *Proposal) bool { return b.allows(sent, ask, each.Service) }) {
			b.found("%s %s%s ran at %s of %s", each.ID, ask.Host, ask.Target, each.Instance, each.Service)
		}
	}
}

func drain(b *book) {
	for _, left := range b.left {
		for _, each := range b.arrivals {
			if each.Instance != left.Instance || each.Misdirected || each.ArrivedAt <= left.AckedAt {
				continue
			}
			b.judged()
			if late := each.ArrivedAt - left.AckedAt; late > leavingBound {
				b.found("%s came to %s %s after its leaving was acked", each.ID, left.Instance, late)
			}
		}
		b.judged()
	}
}

func overlaps(s *judge.Disturbance, from, till time.Duration) bool {
	return s.From <= till && (s.Until < 0 || s.Until >= from)
}

func (b *book) troubled(from, till time.Duration, names ...string) bool {
	return slices.ContainsFunc(b.spells, func(s *judge.Disturbance) bool {
		return !s.Planned && (len(names) == 0 || slices.Contains(names, s.Node)) && overlaps(s, from-contact, till)
	})
}

func lost(b *book) {
	for id, told := range b.told {
		ask := b.by[id]
		at := slices.IndexFunc(b.spells, func(s *judge.Disturbance) bool {
			return s.Planned && s.Node == ask.Node && overlaps(s, ask.SentAt, told.EndedAt)
		})
		if at < 0 || b.troubled(ask.SentAt, told.EndedAt) {
			continue
		}
		b.judged()
		b.lostAround(b.spells[at], ask, told)
	}
}

// lostAround judges a request that met planned work at its node.
func (b *book) lostAround(stop *judge.Disturbance, ask *Attempt, told *Outcome) {
	arrivals, half := b.runs[ask.ID], stop.From+graceBound/2
	broke := slices.ContainsFunc(arrivals, func(a *Arrival) bool {
		return a.ResponseBroken || a.Executed && a.ArrivedAt < half && a.EndedAt > half+lossSlack
	})
	if broke || told.EndedAt >= ask.Deadline-20*time.Millisecond {
		return
	}
	if told.TransportError != "" {
		if told.RequestRead && (len(arrivals) > 0 || told.EndedAt > ask.SentAt+lossSlack) {
			b.found("%s at %s broke off after %s: %s (%d arrivals)", ask.ID, ask.Node, told.EndedAt-ask.SentAt, told.TransportError, len(arrivals))
		}
		return
	}
	working := slices.ContainsFunc(arrivals, func(a *Arrival) bool { return a.Executed && a.CallerGone })
	if !told.Sealed && told.Status >= 500 && working {
		b.found("%s at %s was told %d %s while an upstream worked on it", ask.ID, ask.Node, told.Status, told.ErrorKind)
	}
}

// standing lists the configurations that may rule a request sent at one time and ended at another.
func (b *book) standing(from, till time.Duration) []*Proposal {
	newest := uint64(0)
	for _, each := range b.sent {
		if each.AckedAt >= 0 && each.AckedAt+inForceBound < from {
			newest = max(newest, each.Configuration.Serial)
		}
	}
	var all []*Proposal
	for _, each := range b.sent {
		if each.Configuration.Serial >= newest && !each.Rejected && each.SentAt <= till {
			all = append(all, each)
		}
	}
	return all
}

// inTouch tells whether the bounds of the configuration hold for a request: neither its node nor the core was in trouble
// from a contact bound before it until it was answered. Trouble of other nodes is no excuse.
func (b *book) inTouch(ask *Attempt, told *Outcome) bool {
	return !slices.ContainsFunc(b.spells, func(s *judge.Disturbance) bool {
		concerned := s.Node == ask.Node || strings.HasPrefix(s.Node, corePrefix) || s.Node == allLinks
		return concerned && !s.Planned && overlaps(s, ask.SentAt-contact, told.EndedAt)
	})
}

func configRule(b *book) {
	for _, ask := range b.asks {
		told := b.told[ask.ID]
		if told == nil || !b.inTouch(ask, told) {
			continue
		}
		configurations := b.standing(ask.SentAt, told.EndedAt)
		b.judgeRuns(ask, configurations)
		if told.noRoute() {
			b.judged()
			if !slices.ContainsFunc(configurations, func(sent *Proposal) bool { return !b.knows(sent, ask) }) {
				b.found("%s %s%s, asked at %s of %s, had no route", ask.ID, ask.Host, ask.Target, ask.SentAt, ask.Node)
			}
		}
	}
}

// judgeRuns looks whether one of the configurations allows each run of a request.
func (b *book) judgeRuns(ask *Attempt, configurations []*Proposal) {
	for _, each := range b.runs[ask.ID] {
		if !each.Executed {
			continue
		}
		b.judged()
		if !slices.ContainsFunc(configurations, func(sent *Proposal) bool { return b.allows(sent, ask, each.Service) }) {
			b.found("%s %s%s, asked at %s of %s, ran at %s, which only older or refused configurations allow", ask.ID, ask.Host, ask.Target, ask.SentAt, ask.Node, each.Instance)
		}
	}
}

// noRoute tells whether a node answered by itself that no route fits.
func (t *Outcome) noRoute() bool { return t.Status == http.StatusNotFound && !t.Sealed }

func (b *book) span(fits func(*Proposal) bool) (low, high uint64) {
	for _, each := range b.sent {
		if fits(each) {
			if low == 0 || each.Configuration.Serial < low {
				low = each.Configuration.Serial
			}
			high = max(high, each.Configuration.Serial)
		}
	}
	return low, high
}

type effect struct {
	asked, seen time.Duration
	low, high   uint64
	id          string
}

func back(b *book) {
	lives := b.effects()
	for _, life := range sorted(lives) {
		b.neverBack(life, lives[life])
	}
}

// effects lists, by life of a node, what upstreams and visitors saw of the configurations in force there.
func (b *book) effects() map[string][]effect {
	lives := map[string][]effect{}
	for _, ask := range b.asks {
		life := fmt.Sprint(ask.Node, " ", ask.Incarnation)
		for _, each := range b.runs[ask.ID] {
			if each.Executed {
				low, high := b.span(func(sent *Proposal) bool { return b.allows(sent, ask, each.Service) })
				lives[life] = append(lives[life], effect{ask.SentAt, each.ArrivedAt, low, high, ask.ID})
			}
		}
		if told := b.told[ask.ID]; told != nil && told.noRoute() {
			if low, high := b.span(func(sent *Proposal) bool { return !b.knows(sent, ask) }); low > 0 {
				lives[life] = append(lives[life], effect{ask.SentAt, told.EndedAt, low, high, ask.ID})
			}
		}
	}
	return lives
}

// neverBack looks whether each effect in a life fits the newest configuration seen there before its request was sent.
func (b *book) neverBack(life string, effects []effect) {
	slices.SortFunc(effects, func(a, b effect) int { return cmp.Compare(a.seen, b.seen) })
	newest := make([]uint64, len(effects)+1)
	for i, each := range effects {
		newest[i+1] = max(newest[i], each.low)
	}
	for _, each := range effects {
		seen, _ := slices.BinarySearchFunc(effects, each.asked-revertSlack, func(e effect, at time.Duration) int { return cmp.Compare(e.seen, at) })
		b.judged()
		if each.high < newest[seen] {
			b.found("%s in %s was handled by %d at most, after %d had been seen", each.id, life, each.high, newest[seen])
		}
	}
}

func race(b *book) {
	bases := map[uint64]uint64{}
	for _, each := range b.sent {
		b.judged()
		if each.Invalid && each.AckedAt >= 0 {
			b.found("%d is bad, yet was acked", each.Configuration.Serial)
		}
		if each.AckedAt < 0 {
			continue
		}
		if other, held := bases[each.Configuration.Base]; held && other != each.Configuration.Serial {
			b.found("%d and %d were both acked on top of %d", other, each.Configuration.Serial, each.Configuration.Base)
		}
		bases[each.Configuration.Base] = each.Configuration.Serial
	}
}

func keeping(b *book) {
	for _, read := range b.reads {
		newest := uint64(0)
		for _, each := range b.sent {
			if each.AckedAt >= 0 && each.AckedAt < read.At {
				newest = max(newest, each.Configuration.Serial)
			}
		}
		b.judged()
		if read.Err != nil {
			b.found("%s: %s", read.Controller, read.Err)
			continue
		}
		if read.Configuration.Serial < newest {
			b.found("%s reads %d, acked was %d", read.Controller, read.Configuration.Serial, newest)
		}
		if newest > 0 && !slices.ContainsFunc(b.sent, func(sent *Proposal) bool { return proto.Equal(sent.Configuration, read.Configuration) }) {
			b.found("%s reads a configuration %d that nobody sent", read.Controller, read.Configuration.Serial)
		}
	}
}

type coming struct {
	at    time.Duration
	again bool
}

func within(all []time.Duration, from, till time.Duration) int {
	low, _ := slices.BinarySearch(all, from)
	high, _ := slices.BinarySearch(all, till)
	return high - low
}

func budget(b *book) {
	comings, asked := b.comings(), b.askedOf()
	worst, most := -1e9, 0.0
	for _, service := range sorted(comings) {
		over, share := b.repeatsOf(service, comings[service], asked[service])
		worst, most = max(worst, over), max(most, share)
	}
	b.verdict.Note = fmt.Sprintf("(most above the ratio: %.1f, largest share %.2f)", worst, most)
}

// comings lists the arrivals at each service, and which of them are repeats.
func (b *book) comings() map[string][]coming {
	comings := map[string][]coming{}
	seen := map[string]bool{}
	for _, each := range b.arrivals {
		ask := b.by[each.ID]
		if ask == nil {
			continue
		}
		comings[each.Service] = append(comings[each.Service], coming{each.ArrivedAt, seen[each.ID] || ask.DuringRetry})
		seen[each.ID] = true
	}
	return comings
}

// askedOf lists when requests were sent for each service.
func (b *book) askedOf() map[string][]time.Duration {
	asked := map[string][]time.Duration{}
	for _, ask := range b.asks {
		for service := range b.named(ask) {
			asked[service] = append(asked[service], ask.SentAt)
		}
	}
	return asked
}

// named gives the services to which any configuration lets a request go.
func (b *book) named(ask *Attempt) map[string]bool {
	named := map[string]bool{}
	for _, sent := range b.sent {
		route, known := b.tables[sent].Find(ask.Host, path(ask.Target))
		if !known {
			continue
		}
		for _, service := range sent.Configuration.Services {
			if route.RoutesTo(service.Name) {
				named[service.Name] = true
			}
		}
	}
	return named
}

// repeatsOf judges the repeats within each window that ends with an arrival. It gives the most above the ratio, and the
// largest share of repeats where there were enough requests to tell.
func (b *book) repeatsOf(service string, comings []coming, asked []time.Duration) (worst, most float64) {
	worst = -1e9
	start, again := 0, 0
	for _, last := range comings {
		if last.again {
			again++
			b.judged()
		}
		for last.at-comings[start].at > repeatWindow {
			if comings[start].again {
				again--
			}
			start++
		}
		requests := requestsFor(asked, last.at)
		over := float64(again) - repeatRatio*float64(requests)
		worst = max(worst, over)
		if requests > 50 {
			most = max(most, float64(again)/float64(requests))
		}
		if over > repeatSlack {
			b.found("%s: %d repeats of %d requests at %s", service, again, requests, last.at)
			break
		}
	}
	return worst, most
}

// requestsFor counts the requests in the window that ends at a moment, in the one before it, or in the one half a window
// before it, whichever holds the most.
func requestsFor(asked []time.Duration, at time.Duration) int {
	from := at - repeatWindow
	return max(
		within(asked, from, at+1),
		within(asked, from-repeatWindow, from),
		within(asked, from-repeatWindow/2, at-repeatWindow/2),
	)
}

func denied(b *book) {
	many := 0
	var first string
	for _, ask := range b.asks {
		told := b.told[ask.ID]
		if told == nil || ask.RejectionAllowed || b.troubled(ask.SentAt, told.EndedAt) {
			continue
		}
		b.judged()
		own := told.TransportError == "" && !told.Sealed && told.Status >= 300 && told.Status < 500 && !promised(told)
		configurations := b.standing(ask.SentAt, told.EndedAt)
		if own && len(configurations) > 0 && !slices.ContainsFunc(configurations, func(sent *Proposal) bool { return !b.knows(sent, ask) }) {
			many++
			first = fmt.Sprintf("%s told %d %s", ask.ID, told.Status, told.ErrorKind)
		}
	}
	if many > 5+b.verdict.Checked/500 {
		b.found("%d requests denied, like %s", many, first)
	}
}

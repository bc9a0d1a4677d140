package controlclient

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"curlewreach/base"
	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

const (
	pollsMost = 3  // control machines asked at once
	knownMost = 64 // control machines remembered

	// Ratios of the contact bound.
	lagRatio        = 0.5  // a majority heard longer ago than that makes a control machine a laggard
	silencePatience = 0.5  // patience with a silent one
	hurryPatience   = 0.25 // the same while this node has no confirmed configuration
	searchRatio     = 0.25 // pause between two looks at who is asked
	hurrySearch     = 1.0 / 16
	patienceRatio   = 0.5 // a node without a confirmed configuration waits so long before it serves an unconfirmed one
	dialPatience    = 0.5 // a connection that does not come up

	never = -time.Duration(1 << 62)
)

// controlMachine is what a node knows of one control machine. All times are by the node's steady clock.
type controlMachine struct {
	listed    time.Duration // a list last named it
	chosen    time.Duration // the node last began to ask it
	answered  time.Duration // it last answered
	majority  time.Duration // it last heard a majority, as far as it told
	refreshed time.Duration // the node last asked it beyond its polls
	polled    bool
}

// directory knows the control machines that a node was told of and decides which of them it asks: those that heard a
// majority latest. Its size is bounded; seeds are always in it.
type directory struct {
	clock   base.Clock
	rand    *random.Source
	contact time.Duration
	mu      sync.Mutex
	seeds   []string
	entries map[string]*controlMachine
	newest  time.Duration // when the newest list came
	// unanswered counts the control machines given up as silent since any last answered: where all are slow to answer,
	// giving up one after the other ends what they are about to say.
	unanswered int
}

func newDirectory(clock base.Clock, rand *random.Source, contact time.Duration, seeds []string) *directory {
	d := &directory{clock: clock, rand: rand, contact: contact, entries: map[string]*controlMachine{}, newest: never}
	d.setSeeds(seeds)
	return d
}

// ratioOfContact returns a ratio of the contact bound.
func (d *directory) ratioOfContact(ratio float64) time.Duration {
	return base.Ratio(d.contact, ratio)
}

// setSeeds takes the seeds of changed settings.
func (d *directory) setSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = slices.Clone(seeds)
	for _, address := range seeds {
		d.entry(address)
	}
	d.trim()
}

// entry returns what is known of an address, a new entry if nothing is.
func (d *directory) entry(address string) *controlMachine {
	at := d.entries[address]
	if at == nil {
		at = &controlMachine{listed: never, chosen: never, answered: never, majority: never, refreshed: never}
		d.entries[address] = at
	}
	return at
}

// trim forgets those that no list has named for the longest time.
func (d *directory) trim() {
	if len(d.entries) <= knownMost {
		return
	}
	spare := slices.DeleteFunc(slices.Collect(maps.Keys(d.entries)), func(address string) bool {
		return d.entries[address].polled || slices.Contains(d.seeds, address)
	})
	slices.SortFunc(spare, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.entries[a].listed, d.entries[b].listed), cmp.Compare(a, b))
	})
	for _, address := range spare[:min(len(spare), len(d.entries)-knownMost)] {
		delete(d.entries, address)
	}
}

// recordAnswer folds in an answer: how long ago its sender heard a majority, and whom it lists. The list of one that lags
// counts only while nobody is known to have a majority.
func (d *directory) recordAnswer(address string, majorityMs *uint64, list []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Mono()
	at := d.entry(address)
	at.answered, d.unanswered = now, 0
	if majorityMs != nil {
		at.majority = max(at.majority, now-time.Duration(min(*majorityMs, 1<<40))*time.Millisecond)
	}
	if len(list) == 0 || d.lags(at, now) && d.knowsMajority(now) {
		return
	}
	d.newest = now
	for _, each := range list[:min(len(list), knownMost)] {
		d.entry(each).listed = now
	}
	d.trim()
}

// lags tells whether a control machine last heard a majority too long ago.
func (d *directory) lags(at *controlMachine, now time.Duration) bool {
	return now-at.majority > d.ratioOfContact(lagRatio)
}

// knowsMajority says whether any control machine is known to have a majority.
func (d *directory) knowsMajority(now time.Duration) bool {
	for _, at := range d.entries {
		if !d.lags(at, now) {
			return true
		}
	}
	return false
}

// choose decides whom to begin and whom to cease asking; it replaces one at most each time. In a hurry, while the node
// has no confirmed configuration, it is less patient.
func (d *directory) choose(hurry bool) (start, stop []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Mono()
	for asked := d.asked(); asked < pollsMost; asked++ {
		next := d.next(now)
		if next == "" {
			return start, nil
		}
		d.begin(next, now)
		start = append(start, next)
	}
	if len(start) > 0 {
		return start, nil
	}
	worst := d.chooseReplaced(now, hurry)
	next := d.next(now)
	if worst == "" || next == "" {
		return nil, nil
	}
	if now-d.entries[worst].last() > d.patience(hurry) {
		d.unanswered++
	}
	d.entries[worst].polled = false
	d.begin(next, now)
	return []string{next}, []string{worst}
}

// begin notes that an address is polled from now on.
func (d *directory) begin(address string, now time.Duration) {
	d.entries[address].chosen, d.entries[address].polled = now, true
}

// asked counts the control machines polled now.
func (d *directory) asked() (count int) {
	for _, at := range d.entries {
		if at.polled {
			count++
		}
	}
	return count
}

// next picks the one not asked for the longest time, out of the newest lists; out of all that are known, the seeds
// too, while nobody is known to have a majority.
func (d *directory) next(now time.Duration) string {
	guided := d.knowsMajority(now)
	var candidates []string
	for _, address := range slices.Sorted(maps.Keys(d.entries)) {
		at := d.entries[address]
		if !at.polled && (!guided || d.newest-at.listed <= d.contact) {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	start := d.rand.IntN(len(candidates))
	candidates = append(candidates[start:], candidates[:start]...)
	return slices.MinFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.entries[a].chosen, d.entries[b].chosen), cmp.Compare(d.entries[b].listed, d.entries[a].listed))
	})
}

// chooseRefresh picks whom to ask beyond the polls: of those that heard a majority lately, or of all where none did, the
// one asked so the longest time ago. It returns "" if nobody is known.
func (d *directory) chooseRefresh() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Mono()
	guided := d.knowsMajority(now)
	chosen := ""
	for _, address := range slices.Sorted(maps.Keys(d.entries)) {
		at := d.entries[address]
		eligible := !guided || !d.lags(at, now) || at.majority == never && d.newest-at.listed <= d.contact
		if eligible && (chosen == "" || d.beforeInRefresh(at, d.entries[chosen])) {
			chosen = address
		}
	}
	if chosen != "" {
		d.entries[chosen].refreshed = now
	}
	return chosen
}

// beforeInRefresh orders control machines for a refresh: the one not asked so for longer first, then the one that heard a
// majority later.
func (d *directory) beforeInRefresh(a, b *controlMachine) bool {
	return cmp.Or(cmp.Compare(a.refreshed, b.refreshed), cmp.Compare(b.majority, a.majority)) < 0
}

// chooseReplaced names one to cease asking: the one silent for the longest time, else one that lags behind, as long as another
// one that answers is left.
func (d *directory) chooseReplaced(now time.Duration, hurry bool) string {
	patience := d.patience(hurry)
	silent, laggard, answering := "", "", 0
	for _, address := range slices.Sorted(maps.Keys(d.entries)) {
		at := d.entries[address]
		switch {
		case !at.polled:
		case now-at.last() > patience:
			if silent == "" || at.last() < d.entries[silent].last() {
				silent = address
			}
		case at.answered >= at.chosen:
			answering++
			if d.lags(at, now) && (hurry || now-at.chosen > patience) && (laggard == "" || at.majority < d.entries[laggard].majority) {
				laggard = address
			}
		}
	}
	switch {
	case silent != "":
		return silent
	case answering > 1:
		return laggard
	}
	return ""
}

// patience is how long a control machine may be silent before another is asked in its place. It doubles with each one
// given up while none at all answers, up to the contact bound.
func (d *directory) patience(hurry bool) time.Duration {
	patience := d.ratioOfContact(silencePatience)
	if hurry {
		patience = d.ratioOfContact(hurryPatience)
	}
	for range d.unanswered / pollsMost {
		patience = min(2*patience, d.contact)
	}
	return patience
}

// last is when a control machine last answered, or else when polling it began.
func (at *controlMachine) last() time.Duration { return max(at.chosen, at.answered) }

// live lists those that answer, the ones with a majority only where there are such; rest lists the others that are known.
func (d *directory) live() (live, rest []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Mono()
	guided := d.knowsMajority(now)
	for _, address := range slices.Sorted(maps.Keys(d.entries)) {
		at := d.entries[address]
		switch {
		case now-at.answered <= d.ratioOfContact(silencePatience) && !(guided && d.lags(at, now)):
			live = append(live, address)
		case at.polled || d.newest-at.listed <= d.contact:
			rest = append(rest, address)
		}
	}
	return live, rest
}

// view lists the control machines polled now, for operators.
func (d *directory) view() (views []*wire.ControlView) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Mono()
	for _, address := range slices.Sorted(maps.Keys(d.entries)) {
		at := d.entries[address]
		if !at.polled {
			continue
		}
		view := &wire.ControlView{Address: address, SilenceMs: base.Milliseconds(now - at.last())}
		if at.majority > never {
			age := base.Milliseconds(now - at.majority)
			view.MajorityMs = &age
		}
		views = append(views, view)
	}
	return views
}

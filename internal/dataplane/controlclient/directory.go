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
	// maxPolls is the number of controllers polled at the same time, maxEntries the number remembered.
	maxPolls   = 3
	maxEntries = 64

	// Ratios of the contact bound.

	// lagThresholdRatio is the time without contact to a majority after which a controller counts as lagging.
	lagThresholdRatio = 0.5
	// silenceTimeoutRatio is how long a polled controller may be silent before it is replaced;
	// unconfirmedSilenceTimeoutRatio is the same while this node has no confirmed configuration.
	silenceTimeoutRatio            = 0.5
	unconfirmedSilenceTimeoutRatio = 0.25
	// reviewIntervalRatio is the interval between reviews of which controllers are polled;
	// unconfirmedReviewIntervalRatio is the same while this node has no confirmed configuration.
	reviewIntervalRatio            = 0.25
	unconfirmedReviewIntervalRatio = 1.0 / 16
	// confirmationWaitRatio is how long a node without a confirmed configuration waits before it serves an
	// unconfirmed one.
	confirmationWaitRatio = 0.5
	// dialTimeoutRatio is how long a node waits for a connection to a controller.
	dialTimeoutRatio = 0.5

	// never is the time of an event that has not happened.
	never = -time.Duration(1 << 62)
)

// controllerState is what a node knows of one controller. All times are readings of the node's monotonic
// clock.
type controllerState struct {
	// listedAt is when a list of controllers last named it.
	listedAt time.Duration
	// pollStartedAt is when the node last started to poll it.
	pollStartedAt time.Duration
	// repliedAt is when it last replied.
	repliedAt time.Duration
	// majorityAt is when it last heard from a majority, as far as it has reported.
	majorityAt time.Duration
	// refreshedAt is when the node last sent it a refresh.
	refreshedAt time.Duration
	polled      bool
}

// directory holds the known controllers and decides which of them to poll, preferring those that heard from a
// majority most recently. Entries beyond maxEntries are evicted; seeds and polled controllers never are.
type directory struct {
	clock        base.Clock
	rand         *random.Source
	contactBound time.Duration
	mu           sync.Mutex
	seeds        []string
	entries      map[string]*controllerState
	// newestListAt is when the newest list of controllers arrived.
	newestListAt time.Duration
	// silentReplaced counts the controllers replaced as silent since any last replied. If all are slow to
	// reply, replacing one after the other cancels the replies that they are about to send, so silenceTimeout
	// grows with this count.
	silentReplaced int
}

// newDirectory returns a directory of the seeds.
func newDirectory(clock base.Clock, rand *random.Source, contact time.Duration, seeds []string) *directory {
	d := &directory{clock: clock, rand: rand, contactBound: contact, entries: map[string]*controllerState{}, newestListAt: never}
	d.setSeeds(seeds)
	return d
}

// ratioOfContact returns the given ratio of the contact bound.
func (d *directory) ratioOfContact(ratio float64) time.Duration {
	return base.ScaleDuration(d.contactBound, ratio)
}

// setSeeds replaces the seeds.
func (d *directory) setSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = slices.Clone(seeds)
	for _, address := range seeds {
		d.entry(address)
	}
	d.evict()
}

// entry returns the entry of an address and adds one if there is none. d.mu must be held, as for the other
// methods below that do not lock it.
func (d *directory) entry(address string) *controllerState {
	entry := d.entries[address]
	if entry == nil {
		entry = &controllerState{listedAt: never, pollStartedAt: never, repliedAt: never, majorityAt: never, refreshedAt: never}
		d.entries[address] = entry
	}
	return entry
}

// evict removes entries beyond maxEntries, those listed least recently first. Polled controllers and seeds
// stay.
func (d *directory) evict() {
	if len(d.entries) <= maxEntries {
		return
	}
	evictable := slices.DeleteFunc(slices.Collect(maps.Keys(d.entries)), func(address string) bool {
		return d.entries[address].polled || slices.Contains(d.seeds, address)
	})
	slices.SortFunc(evictable, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.entries[a].listedAt, d.entries[b].listedAt), cmp.Compare(a, b))
	})
	for _, address := range evictable[:min(len(evictable), len(d.entries)-maxEntries)] {
		delete(d.entries, address)
	}
}

// recordReply records a reply: how long ago its sender heard from a majority (nil if never), and the
// controllers that it lists. The list of a lagging controller is ignored if any controller is known to have a
// majority.
func (d *directory) recordReply(address string, majorityMs *uint64, listed []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Mono()
	entry := d.entry(address)
	entry.repliedAt, d.silentReplaced = now, 0
	if majorityMs != nil {
		entry.majorityAt = max(entry.majorityAt, now-time.Duration(min(*majorityMs, 1<<40))*time.Millisecond)
	}
	if len(listed) == 0 || d.lags(entry, now) && d.knowsMajority(now) {
		return
	}
	d.newestListAt = now
	for _, other := range listed[:min(len(listed), maxEntries)] {
		d.entry(other).listedAt = now
	}
	d.evict()
}

// lags reports whether a controller last heard from a majority too long ago.
func (d *directory) lags(entry *controllerState, now time.Duration) bool {
	return now-entry.majorityAt > d.ratioOfContact(lagThresholdRatio)
}

// knowsMajority reports whether any controller is known to have a majority.
func (d *directory) knowsMajority(now time.Duration) bool {
	for _, entry := range d.entries {
		if !d.lags(entry, now) {
			return true
		}
	}
	return false
}

// selectPolls returns the controllers to start and to stop polling. It first fills free places and otherwise
// replaces at most one controller per call. While the node has no confirmed configuration, which unconfirmed
// says, controllers are replaced sooner.
func (d *directory) selectPolls(unconfirmed bool) (start, stop []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Mono()
	for polled := d.countPolled(); polled < maxPolls; polled++ {
		next := d.nextCandidate(now)
		if next == "" {
			return start, nil
		}
		d.startPoll(next, now)
		start = append(start, next)
	}
	if len(start) > 0 {
		return start, nil
	}
	replaced := d.selectForReplacement(now, unconfirmed)
	next := d.nextCandidate(now)
	if replaced == "" || next == "" {
		return nil, nil
	}
	if now-d.entries[replaced].lastActiveAt() > d.silenceTimeout(unconfirmed) {
		d.silentReplaced++
	}
	d.entries[replaced].polled = false
	d.startPoll(next, now)
	return []string{next}, []string{replaced}
}

// startPoll records that a controller is polled from now on.
func (d *directory) startPoll(address string, now time.Duration) {
	d.entries[address].pollStartedAt, d.entries[address].polled = now, true
}

// countPolled returns the number of controllers polled at present.
func (d *directory) countPolled() (count int) {
	for _, entry := range d.entries {
		if entry.polled {
			count++
		}
	}
	return count
}

// nextCandidate selects the controller to poll next: the one whose polling started the longest ago, of equal
// ones the one listed most recently, of equal ones a random one. If any controller is known to have a
// majority, only controllers of recent lists are eligible; otherwise all known ones are, including the seeds.
// It returns "" if there is none.
func (d *directory) nextCandidate(now time.Duration) string {
	majorityKnown := d.knowsMajority(now)
	var candidates []string
	for _, address := range slices.Sorted(maps.Keys(d.entries)) {
		entry := d.entries[address]
		if !entry.polled && (!majorityKnown || d.newestListAt-entry.listedAt <= d.contactBound) {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	start := d.rand.IntN(len(candidates))
	candidates = append(candidates[start:], candidates[:start]...)
	return slices.MinFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.entries[a].pollStartedAt, d.entries[b].pollStartedAt), cmp.Compare(d.entries[b].listedAt, d.entries[a].listedAt))
	})
}

// selectForRefresh selects the controller to send the next refresh to, the one refreshed the longest ago. If
// any controller is known to have a majority, only such controllers are eligible, and those of recent lists
// that have not reported on a majority yet; otherwise all are. It returns "" if no controller is known.
func (d *directory) selectForRefresh() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Mono()
	majorityKnown := d.knowsMajority(now)
	selected := ""
	for _, address := range slices.Sorted(maps.Keys(d.entries)) {
		entry := d.entries[address]
		eligible := !majorityKnown || !d.lags(entry, now) || entry.majorityAt == never && d.newestListAt-entry.listedAt <= d.contactBound
		if eligible && (selected == "" || d.refreshesBefore(entry, d.entries[selected])) {
			selected = address
		}
	}
	if selected != "" {
		d.entries[selected].refreshedAt = now
	}
	return selected
}

// refreshesBefore reports whether a is to be sent a refresh before b: the one refreshed longer ago goes
// first, then the one that heard from a majority more recently.
func (d *directory) refreshesBefore(a, b *controllerState) bool {
	return cmp.Or(cmp.Compare(a.refreshedAt, b.refreshedAt), cmp.Compare(b.majorityAt, a.majorityAt)) < 0
}

// selectForReplacement returns the polled controller to replace: the one silent for the longest time beyond
// the timeout; if none is silent, the one that lags most, provided that another polled controller replies. It
// returns "" if all are to stay.
func (d *directory) selectForReplacement(now time.Duration, unconfirmed bool) string {
	timeout := d.silenceTimeout(unconfirmed)
	longestSilent, lagging, replying := "", "", 0
	for _, address := range slices.Sorted(maps.Keys(d.entries)) {
		entry := d.entries[address]
		switch {
		case !entry.polled:
		case now-entry.lastActiveAt() > timeout:
			if longestSilent == "" || entry.lastActiveAt() < d.entries[longestSilent].lastActiveAt() {
				longestSilent = address
			}
		case entry.repliedAt >= entry.pollStartedAt:
			replying++
			if d.lags(entry, now) && (unconfirmed || now-entry.pollStartedAt > timeout) && (lagging == "" || entry.majorityAt < d.entries[lagging].majorityAt) {
				lagging = address
			}
		}
	}
	switch {
	case longestSilent != "":
		return longestSilent
	case replying > 1:
		return lagging
	}
	return ""
}

// silenceTimeout returns how long a controller may be silent before it is replaced. It doubles with every
// maxPolls controllers replaced as silent without a reply from any, up to the contact bound.
func (d *directory) silenceTimeout(unconfirmed bool) time.Duration {
	timeout := d.ratioOfContact(silenceTimeoutRatio)
	if unconfirmed {
		timeout = d.ratioOfContact(unconfirmedSilenceTimeoutRatio)
	}
	for range d.silentReplaced / maxPolls {
		timeout = min(2*timeout, d.contactBound)
	}
	return timeout
}

// lastActiveAt returns when a controller last replied or its polling started, whichever is later.
func (s *controllerState) lastActiveAt() time.Duration { return max(s.pollStartedAt, s.repliedAt) }

// responsive returns the controllers that have replied recently; if any is known to have a majority, without
// those that lag. others are the remaining ones that are polled or in a recent list.
func (d *directory) responsive() (responsive, others []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Mono()
	majorityKnown := d.knowsMajority(now)
	for _, address := range slices.Sorted(maps.Keys(d.entries)) {
		entry := d.entries[address]
		switch {
		case now-entry.repliedAt <= d.ratioOfContact(silenceTimeoutRatio) && !(majorityKnown && d.lags(entry, now)):
			responsive = append(responsive, address)
		case entry.polled || d.newestListAt-entry.listedAt <= d.contactBound:
			others = append(others, address)
		}
	}
	return responsive, others
}

// view returns the controllers polled at present, for operators.
func (d *directory) view() (views []*wire.ControlView) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Mono()
	for _, address := range slices.Sorted(maps.Keys(d.entries)) {
		entry := d.entries[address]
		if !entry.polled {
			continue
		}
		view := &wire.ControlView{Address: address, SilenceMs: base.Milliseconds(now - entry.lastActiveAt())}
		if entry.majorityAt > never {
			age := base.Milliseconds(now - entry.majorityAt)
			view.MajorityMs = &age
		}
		views = append(views, view)
	}
	return views
}

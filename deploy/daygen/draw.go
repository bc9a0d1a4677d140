package main

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const (
	minDraws = 4
	maxDraws = 9
	// firstEntryS is the earliest time of an entry, in seconds from the start of the day, and the shortest time between
	// two entries of a series.
	firstEntryS = 0.5
	// closingMarginS is the shortest time between the last entry and the end of the traffic.
	closingMarginS = 2.0
	closingChance  = 0.75
	roleChance     = 0.6
	modifierChance = 0.35
	placeChance    = 0.3
	// seriesSpacingS is the longest time between two entries of a series.
	seriesSpacingS = 3.0
	daySeedBound   = 1 << 28
	// minDownS and maxDownS bound how long machines are down at the end of a day.
	minDownS = 0.4
	maxDownS = 2.0
	// roundingFactor rounds numbers to three decimals.
	roundingFactor = 1000
	// dayRandomStream selects the random sequence. Another value gives other days for the same seeds.
	dayRandomStream = 17
	// minPauseS is the shortest pause between two changes of the configuration; the longest pause of a day is up to
	// maxExtraPauseS longer.
	minPauseS      = 0.6
	maxExtraPauseS = 2.5
)

// Words for 'how'. A word that is listed twice is drawn twice as often.
var (
	machineRoles   = []string{"leader", "reader", "seed"}
	followUps      = []string{"meet", "race", "hard", "drain"}
	cutStyles      = []string{"reset", "refuse"}
	changeVariants = []string{"route", "route", "weights", "timeout", "idle"}
)

// DrawSettings are the options for drawing a day.
type DrawSettings struct {
	Seed   uint64
	Stress Stress
	// Without names the kinds to leave out.
	Without []string
	// Only names the only kinds to draw; empty means all.
	Only []string
	// Entries is the number of draws; with 0 the number is drawn as well. Long days need more draws than that gives.
	Entries int
}

// drawer draws the entries of one day with one random number generator.
type drawer struct {
	DrawSettings
	site   Site
	random *rand.Rand
}

// DrawDay draws a day for a site. The same site and settings always give the same day.
func DrawDay(site Site, settings DrawSettings) (Day, error) {
	d := drawer{DrawSettings: settings, site: site, random: rand.New(rand.NewPCG(settings.Seed, dayRandomStream))}
	kinds := d.eligibleKinds()
	if len(kinds) == 0 {
		return Day{}, errors.New("no kind of event is left to draw from")
	}
	day := Day{
		Name:    fmt.Sprintf("drawn-%s-%d", settings.Stress, settings.Seed),
		Comment: d.comment(),
		Seed:    d.random.Uint64N(daySeedBound),
	}
	draws := d.intIn(IntRange{minDraws, maxDraws})
	if d.Entries > 0 {
		draws = d.Entries
	}
	for range draws {
		d.addEntries(&day, d.drawKind(kinds))
	}
	if d.Stress == StressConfig {
		day.Plan = append(day.Plan, d.drawChanges()...)
	}
	slices.SortStableFunc(day.Plan, compareTimes)
	slices.SortStableFunc(day.Faults, compareTimes)
	day.Closing = d.drawClosing()
	return day, nil
}

// drawChanges returns changes of the configuration from the beginning of the day to its end.
func (d drawer) drawChanges() []Entry {
	var changes []Entry
	pauses := Range{minPauseS, minPauseS + d.floatIn(Range{0, maxExtraPauseS})}
	for at := firstEntryS; at < d.site.LengthS-closingMarginS; at = round(at + d.floatIn(pauses)) {
		changes = append(changes, Entry{At: at, Kind: "config_change", How: pick(d.random, changeVariants)})
	}
	return changes
}

// compareTimes orders entries by time.
func compareTimes(a, b Entry) int { return cmp.Compare(a.At, b.At) }

// comment returns the command that generates the day, without the site.
func (d drawer) comment() string {
	text := fmt.Sprintf("daygen day --seed %d --stress %s", d.Seed, d.Stress)
	if len(d.Without) > 0 {
		text += " --without " + strings.Join(d.Without, " ")
	}
	if len(d.Only) > 0 {
		text += " --only " + strings.Join(d.Only, " ")
	}
	if d.Entries > 0 {
		text += fmt.Sprintf(" --entries %d", d.Entries)
	}
	return text
}

// eligibleKinds returns the kinds that the site and the settings allow.
func (d drawer) eligibleKinds() []Kind {
	var kinds []Kind
	for _, kind := range catalogue {
		if kind.Contract != "" && !slices.Contains(d.site.Contracts, kind.Contract) {
			continue
		}
		if slices.Contains(d.Without, kind.Name) {
			continue
		}
		if kind.OnlyStress != "" && kind.OnlyStress != d.Stress || kind.weight(d.Stress) == 0 {
			continue
		}
		if len(d.Only) > 0 && !slices.Contains(d.Only, kind.Name) {
			continue
		}
		kinds = append(kinds, kind)
	}
	return kinds
}

// drawKind draws a kind by weight.
func (d drawer) drawKind(kinds []Kind) Kind {
	total := 0
	for _, kind := range kinds {
		total += kind.weight(d.Stress)
	}
	left := d.random.IntN(total)
	for _, kind := range kinds {
		left -= kind.weight(d.Stress)
		if left < 0 {
			return kind
		}
	}
	panic("weights don't sum up")
}

// addEntries adds one entry of the kind, or a series of them, to the kind's section.
func (d drawer) addEntries(day *Day, kind Kind) {
	at := d.floatIn(Range{firstEntryS, d.site.LengthS - closingMarginS})
	entries := 1
	if d.Stress == StressControl && kind.Series.High > 0 {
		entries = d.intIn(kind.Series)
	}
	for range entries {
		entry := d.drawEntry(kind, at)
		if kind.Section == Plan {
			day.Plan = append(day.Plan, entry)
		} else {
			day.Faults = append(day.Faults, entry)
		}
		at = round(math.Min(at+d.floatIn(Range{firstEntryS, seriesSpacingS}), d.site.LengthS-closingMarginS))
	}
}

// drawEntry draws the fields of an entry.
func (d drawer) drawEntry(kind Kind, at float64) Entry {
	entry := Entry{
		At: at, Kind: kind.Name,
		Share: d.floatIn(kind.Share), X: d.floatIn(kind.X), GapS: d.floatIn(kind.GapS),
		ForS: d.floatIn(d.durationRange(kind)), Count: d.intIn(kind.Count), How: d.drawHow(kind),
	}
	if kind.OnCore {
		entry.On = coreClass
	}
	if kind.CountUpToTolerated {
		entry.Count = d.intIn(IntRange{1, max(d.site.Tolerate.Machines, 1)})
	}
	d.drawPlace(&entry, kind.Place)
	return entry
}

// durationRange returns the range of an entry's duration.
func (d drawer) durationRange(kind Kind) Range {
	if d.Stress == StressControl && kind.LongForS.High > 0 {
		return kind.LongForS
	}
	return kind.ForS
}

// drawHow joins a role, a variant, a cut style, follow-ups and modifiers, as far as the kind allows them.
func (d drawer) drawHow(kind Kind) string {
	var words []string
	if kind.Targeting.Roles && d.chance(roleChance) {
		words = append(words, pick(d.random, machineRoles))
	}
	if len(kind.Variants) > 0 {
		words = append(words, pick(d.random, kind.Variants))
	}
	if kind.Targeting.CutStyles && d.chance(modifierChance) {
		words = append(words, pick(d.random, cutStyles))
	}
	if kind.Targeting.FollowUps {
		words = append(words, d.sample(followUps)...)
	}
	words = append(words, d.sample(kind.Modifiers)...)
	words = slices.DeleteFunc(words, func(word string) bool { return word == "" })
	return strings.Join(words, " ")
}

// drawPlace names a zone, service or class in some of the entries. In the others the bench chooses one.
func (d drawer) drawPlace(entry *Entry, place Place) {
	zones := d.site.zoneNames()
	if place.ToZone {
		order := d.random.Perm(len(zones))
		entry.ToZone = zones[order[0]]
		if place.Zone && len(zones) > 1 {
			entry.Zone = zones[order[1]]
		}
	} else if place.Zone && d.chance(placeChance) {
		entry.Zone = pick(d.random, zones)
	}
	if place.Service && d.chance(placeChance) {
		entry.Service = pick(d.random, d.site.Services).Name
	}
	if place.Class && entry.Zone == "" && d.chance(placeChance) {
		entry.Class = pick(d.random, d.site.outerClasses())
	}
}

// drawClosing draws the fault that ends the day, or none.
func (d drawer) drawClosing() *Closing {
	if !d.chance(closingChance) {
		return nil
	}
	kind := pick(d.random, closingKinds)
	return &Closing{Kind: kind.Name, DownS: d.floatIn(Range{minDownS, maxDownS}), How: pick(d.random, kind.Variants)}
}

// chance returns true with the given probability.
func (d drawer) chance(probability float64) bool { return d.random.Float64() < probability }

// sample returns each of the words with the probability modifierChance.
func (d drawer) sample(words []string) []string {
	var chosen []string
	for _, word := range words {
		if d.chance(modifierChance) {
			chosen = append(chosen, word)
		}
	}
	return chosen
}

// floatIn draws a number.
func (d drawer) floatIn(bounds Range) float64 {
	return round(bounds.Low + d.random.Float64()*(bounds.High-bounds.Low))
}

// intIn draws an integer.
func (d drawer) intIn(bounds IntRange) int {
	return bounds.Low + d.random.IntN(bounds.High-bounds.Low+1)
}

func round(value float64) float64 { return math.Round(value*roundingFactor) / roundingFactor }

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

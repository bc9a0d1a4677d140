package main

import (
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const seedsDrawn = 300

var _ = ginkgo.Describe("Drawing a day", func() {
	drawAll := func(site Site, settings DrawSettings) []Day {
		var days []Day
		for seed := range uint64(seedsDrawn) {
			settings.Seed = seed
			day, err := DrawDay(site, settings)
			Expect(err).NotTo(HaveOccurred())
			days = append(days, day)
		}
		return days
	}
	entriesOf := func(days []Day) []Entry {
		var entries []Entry
		for _, day := range days {
			entries = slices.Concat(entries, day.Plan, day.Faults)
		}
		return entries
	}
	count := func(entries []Entry, kind string) int {
		matching := 0
		for _, entry := range entries {
			if entry.Kind == kind {
				matching++
			}
		}
		return matching
	}

	ginkgo.It("gives the same day for the same seed and another day for another seed", func() {
		site := readExample()
		first, err := DrawDay(site, DrawSettings{Seed: 5, Stress: StressControl})
		Expect(err).NotTo(HaveOccurred())
		again, err := DrawDay(site, DrawSettings{Seed: 5, Stress: StressControl})
		Expect(err).NotTo(HaveOccurred())
		other, err := DrawDay(site, DrawSettings{Seed: 6, Stress: StressControl})
		Expect(err).NotTo(HaveOccurred())
		Expect(again.TOML()).To(Equal(first.TOML()))
		Expect(other.TOML()).NotTo(Equal(first.TOML()))
	})

	ginkgo.It("draws 4 to 9 entries within the time of the traffic, each in the section of its kind", func() {
		site := readExample()
		for _, day := range drawAll(site, DrawSettings{Stress: StressNone}) {
			Expect(len(day.Plan) + len(day.Faults)).To(And(BeNumerically(">=", 4), BeNumerically("<=", 9)))
			for _, entry := range slices.Concat(day.Plan, day.Faults) {
				Expect(entry.At).To(And(BeNumerically(">=", firstEntryS), BeNumerically("<=", site.LengthS-closingMarginS)))
			}
			for _, entry := range day.Plan {
				Expect(entry.Kind).To(BeElementOf(kindsIn(Plan)))
			}
			for _, entry := range day.Faults {
				Expect(entry.Kind).To(BeElementOf(kindsIn(Faults)))
			}
		}
	})

	ginkgo.It("draws the given number of entries", func() {
		for _, day := range drawAll(readExample(), DrawSettings{Stress: StressNone, Entries: 30}) {
			Expect(len(day.Plan) + len(day.Faults)).To(Equal(30))
			Expect(day.Comment).To(HaveSuffix("--entries 30"))
		}
	})

	ginkgo.It("draws every kind whose contract is in force, and no other", func() {
		drawn := entriesOf(drawAll(readExample(), DrawSettings{Stress: StressNone}))
		for _, kind := range catalogue {
			if kind.Contract == "" {
				Expect(count(drawn, kind.Name)).To(BeNumerically(">", 0), kind.Name)
			} else {
				Expect(count(drawn, kind.Name)).To(BeZero(), kind.Name)
			}
		}
		site := readExample()
		site.Contracts = append(site.Contracts, contractPool, contractHealth)
		drawn = entriesOf(drawAll(site, DrawSettings{Stress: StressRequests}))
		for _, kind := range catalogue {
			if kind.Contract != "" {
				Expect(count(drawn, kind.Name)).To(BeNumerically(">", 0), kind.Name)
			}
		}
	})

	ginkgo.It("leaves out the kinds in Without and draws only those in Only", func() {
		site := readExample()
		without := entriesOf(drawAll(site, DrawSettings{Stress: StressControl, Without: []string{"replace_core"}}))
		Expect(count(without, "replace_core")).To(BeZero())
		only := entriesOf(drawAll(site, DrawSettings{Stress: StressControl, Only: []string{"core_cut"}}))
		Expect(count(only, "core_cut")).To(Equal(len(only)))
		_, err := DrawDay(site, DrawSettings{Only: []string{"hup"}, Without: []string{"hup"}})
		Expect(err).To(MatchError(ContainSubstring("no kind")))
	})

	ginkgo.It("cuts core machines off for 16 to 20 s under control stress, with every variant", func() {
		cuts := entriesOf(drawAll(readExample(), DrawSettings{Stress: StressControl, Only: []string{"core_cut"}}))
		words := map[string]bool{}
		for _, cut := range cuts {
			Expect(cut.ForS).To(And(BeNumerically(">=", 16), BeNumerically("<=", 20)))
			Expect(cut.Count).To(And(BeNumerically(">=", 1), BeNumerically("<=", 2)))
			Expect(cut.How).To(Equal(strings.Join(strings.Fields(cut.How), " ")))
			for _, word := range strings.Fields(cut.How) {
				words[word] = true
			}
		}
		for _, word := range slices.Concat(machineRoles, cutStyles, followUps, []string{"one_way", "seeds", "both"}) {
			Expect(words).To(HaveKey(word))
		}
	})

	ginkgo.It("changes the configuration throughout the day under config stress, with every variant of core_cut", func() {
		site := readExample()
		variants := map[string]bool{}
		for _, day := range drawAll(site, DrawSettings{Stress: StressConfig}) {
			changes := []float64{}
			for _, entry := range day.Plan {
				if entry.Kind == "config_change" {
					changes = append(changes, entry.At)
				}
			}
			Expect(changes).NotTo(BeEmpty())
			for i, at := range changes[1:] {
				Expect(at - changes[i]).To(BeNumerically("<=", minPauseS+maxExtraPauseS+0.01))
			}
			Expect(changes[len(changes)-1]).To(BeNumerically(">", site.LengthS-closingMarginS-minPauseS-maxExtraPauseS-0.01))
			for _, entry := range day.Faults {
				if entry.Kind == "core_cut" {
					variants[entry.How] = true
				}
			}
		}
		for _, how := range []string{"oldest", "behind", "split", "lure", "relieve", "near", "seeds", "both", "one_way"} {
			Expect(variants).To(HaveKey(how))
		}
	})

	ginkgo.It("draws the kinds that a stress favours more often", func() {
		site := readExample()
		control := entriesOf(drawAll(site, DrawSettings{Stress: StressControl}))
		requests := entriesOf(drawAll(site, DrawSettings{Stress: StressRequests}))
		for _, kind := range []string{"core_cut", "config_race", "after_ack_wipe"} {
			Expect(count(control, kind)).To(BeNumerically(">", 2*count(requests, kind)), kind)
		}
		for _, kind := range []string{"give_up", "garble", "answer_lost"} {
			Expect(count(requests, kind)).To(BeNumerically(">", 2*count(control, kind)), kind)
		}
	})

	ginkgo.It("draws each closing fault with each of its variants", func() {
		seen := map[Closing]bool{}
		for _, day := range drawAll(readExample(), DrawSettings{Stress: StressNone}) {
			if day.Closing != nil {
				seen[Closing{Kind: day.Closing.Kind, How: day.Closing.How}] = true
			}
		}
		for _, kind := range closingKinds {
			for _, variant := range kind.Variants {
				Expect(seen).To(HaveKey(Closing{Kind: kind.Name, How: variant}))
			}
		}
	})
})

func kindsIn(section Section) []string {
	var names []string
	for _, kind := range catalogue {
		if kind.Section == section {
			names = append(names, kind.Name)
		}
	}
	return names
}

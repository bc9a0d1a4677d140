package openfleet

import (
	"fmt"
	"os"

	"curlewreach/internal/testing/judge"
)

// tell prints the verdicts with TELL=1 and whoever wasn't served with TELL=2.
func (f *Fleet) tell(verdicts []judge.Verdict) {
	how := os.Getenv("TELL")
	if how == "" {
		return
	}
	fmt.Println(f.Story)
	fmt.Println("  ", f.Tally(0, 0, nil), f.Slowest(0.5), f.Slowest(0.99))
	for _, each := range verdicts {
		fmt.Println("  ", each)
	}
	if how != "2" {
		return
	}
	for _, job := range f.History.Jobs() {
		if job.Served {
			continue
		}
		fmt.Println("  ", job.ID, job.Route, "at", job.Node, job.At)
		for i := range job.Tries {
			id := fmt.Sprint(job.ID, "-", i)
			told := f.History.told[id]
			fmt.Println("     ", told.At, told.Status, told.Kind, told.Broken, "again in", told.Again)
			for _, each := range f.History.Arrivals(id) {
				fmt.Println("        ", each.At, each.Instance, "missed", each.Missed, "ran", each.Ran, "status", each.Status, "broke", each.Broke, "gone", each.Gone)
			}
		}
	}
}

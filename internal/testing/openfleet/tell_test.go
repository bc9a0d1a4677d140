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
	fmt.Println(f.Description)
	fmt.Println("  ", f.JobStats(0, 0, nil), f.LatencyQuantile(0.5), f.LatencyQuantile(0.99))
	for _, each := range verdicts {
		fmt.Println("  ", each)
	}
	if how != "2" {
		return
	}
	for _, job := range f.History.Jobs() {
		if job.Succeeded {
			continue
		}
		fmt.Println("  ", job.ID, job.Route, "at", job.Node, job.StartedAt)
		for i := range job.Attempts {
			id := fmt.Sprint(job.ID, "-", i)
			told := f.History.told[id]
			fmt.Println("     ", told.EndedAt, told.Status, told.ErrorKind, told.TransportError, "again in", told.RetryAfter)
			for _, each := range f.History.Arrivals(id) {
				fmt.Println("        ", each.ArrivedAt, each.Instance, "missed", each.Misdirected, "ran", each.Executed, "status", each.Status, "broke", each.ResponseBroken, "gone", each.CallerGone)
			}
		}
	}
}

package openfleet

import (
	"fmt"
	"os"

	"curlewreach/internal/testing/judge"
)

// printReport prints statistics and verdicts if the environment variable TELL is set, and with TELL=2 also every failed
// job with its attempts and their arrivals at upstreams.
func (f *Fleet) printReport(verdicts []judge.Verdict) {
	level := os.Getenv("TELL")
	if level == "" {
		return
	}
	fmt.Println(f.Description)
	fmt.Println("  ", f.JobStats(0, 0, nil), f.LatencyQuantile(0.5), f.LatencyQuantile(0.99))
	for _, verdict := range verdicts {
		fmt.Println("  ", verdict)
	}
	if level != "2" {
		return
	}
	for _, job := range f.History.Jobs() {
		if job.Succeeded {
			continue
		}
		fmt.Println("  ", job.ID, job.Route, "at", job.Node, job.StartedAt)
		for i := range job.Attempts {
			id := fmt.Sprint(job.ID, "-", i)
			outcome := f.History.outcomes[id]
			fmt.Println("     ", outcome.EndedAt, outcome.Status, outcome.ErrorKind, outcome.TransportError, "retry after", outcome.RetryAfter)
			for _, arrival := range f.History.Arrivals(id) {
				fmt.Println("        ", arrival.ArrivedAt, arrival.Instance, "misdirected", arrival.Misdirected, "executed", arrival.Executed, "status", arrival.Status, "response broken", arrival.ResponseBroken, "caller gone", arrival.CallerGone)
			}
		}
	}
}
